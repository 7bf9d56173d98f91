"""The data plane: clients at one end, the backend at the other, the gate that judges between them.

`outbound` holds clients, `course` is a request's life at its source, `source` what courses share, `inbound`
and `gate` judge at the destination, `backend` holds the connections beside it, `word` is the operator's word
as this proxy runs it.
"""
