"""Gossip: what each node reports about itself, spread by rumours, repaired by anti-entropy. No I/O.

`entry` is what one node tells, and its form in datagrams; `table` keeps the newest entry of each node;
`peers` chooses whom to send to; `dissemination` spreads what is new; `anti_entropy` finds and repairs what
rumours missed; `gossip` joins these for one node; `membership` runs it on a host beside the failure
detector.
"""
