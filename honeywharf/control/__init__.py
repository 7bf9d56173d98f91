"""The control plane: the operator's word, kept by a register without a log or a leader."""
