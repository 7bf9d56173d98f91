"""The life of a process in service, and what operators do to it by hand.

`life` has the states of a process as a table, `bans` who is out by an operator's word, `calls` what is said
at the second address, all without I/O; `door` is that address, `keeper` has timers and carries steps out.
"""
