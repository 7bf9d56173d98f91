"""Budgets and bounds: what holds a flow back.

Rules without I/O; all times are seconds on the caller's clock.
"""
