"""The assay: whether what decides on a node is what the operator ordered, proved on live traffic.

`digests` is the canonical form, `second` a reading of the told text of its own, `scan` takes the digests of
what is alive, `judge` settles what a destination does with what a source decided by, `states` is what follows
from a doubt; `watch` joins them on one sluice and `history` keeps words and slips on a reservoir's disk.
"""
