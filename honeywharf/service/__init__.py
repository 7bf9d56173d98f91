"""The lifecycle of a process in service, and the operators' commands to it.

`lifecycle` is the state machine of a process, `bans` holds the endpoints that operators have excluded, and
`operator_protocol` parses requests, all without I/O. `operator_server` is the operators' listener, and
`controller` has the timers and executes the steps and commands.
"""
