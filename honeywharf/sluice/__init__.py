"""The data plane: `outbound` holds clients, `course` is a request's life at its source, `inbound` and `gate` judge at
the destination, `backend` holds the connections beside it, `word` is the operator's word as this proxy runs it."""
