"""Hinted handoff: updates for an unreachable machine are kept by others, within bounds, until it returns."""
