"""The handover of state and client connections from an old process to the new one that replaces it.

`frames` has the encoding (versioned, checksummed), `learned_state` exports and imports a balancer's state,
and `state` has the sections that are handed over, all without I/O. `link` is the Unix socket between the
processes and the file with the operator state; `component` connects them with the proxy.
"""
