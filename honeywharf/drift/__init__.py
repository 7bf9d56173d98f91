"""Drift detection: whether each node routes requests by the configuration that the operator ordered.

`digests` defines the canonical form of rules, `reference_parser` parses the configuration's text a second
time with independent code, and `scan` compares the tables in use with it. `destination_check` decides how
a destination treats a request by the rule that its source used, and `states` is the state machine of a node.
In a sidecar, `remediation` repairs or quarantines the node, `periodic_scan` compares in the background, and
`monitor` checks requests as they pass. On a control node `aggregator` collects the sidecars' views, and
`history` stores configuration revisions and drift reports on disk.
"""
