"""The failure detector: decides which nodes are down from heartbeats to watchers and shared suspicions."""
