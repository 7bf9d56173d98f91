"""Bodies on their way: how many bytes may wait where, and who is too slow. Without I/O.

`account` bounds what all bodies together hold, `pipe` is one body between two connections, `pace` tells a
slow peer by its rate.
"""
