"""Hinted handoff: what a missing machine should have had, kept by others within bounds until its return."""
