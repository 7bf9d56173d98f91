"""The drift monitor: whether what decides on a node is what the operator ordered, proved on live traffic.

`digests` is the canonical form, `second` a reading of the told text of its own, `scan` takes the digests of
what is alive, `judge` settles what a destination does with what a source decided by, `states` is what follows
from a doubt. On one sidecar `watch` heals or refuses, `rounds` compares in idle time, `requests` reads and
judges what comes by; on a control node `gather` collects views and `history` keeps words and slips on disk.
"""
