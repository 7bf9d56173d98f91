"""Admission control in the sidecar: a backend's queue, retry budgets, and bounds on cold starts and bodies.

The modules do no I/O; all times are seconds on the caller's clock.
"""
