"""Which nodes are down: heartbeats to a few watchers on rings, suspicions, and the verdict when two agree."""
