"""Flow control of long bodies: how many bytes may be buffered, and which peers are too slow. Without I/O.

`buffer_budget` bounds what all bodies buffer together, `pipe` is one body between two connections, and
`transfer_rate` detects slow peers.
"""
