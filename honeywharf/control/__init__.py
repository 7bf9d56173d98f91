"""The control plane: the mesh state, kept by a quorum register without a log or a leader."""
