"""Gossip of node state: rumours spread changes, and anti-entropy repairs what the rumours missed.

`entry` holds the state that one node publishes and its encoding in datagrams; `table` keeps the newest entry
of each node; `peers` selects the nodes to send to; `dissemination` spreads changes; `anti_entropy` finds and
repairs missed changes; `gossip` combines these for one node; `membership` runs gossip on a host together with
the failure detector. Only `membership` performs I/O.
"""
