"""How much of its capacity a server has that has just started."""

from __future__ import annotations


def warmth(now: float, started_ms: float, cold_share: float, warm_after_ms: float) -> float:
    """The part of its capacity that a server has at least, by when it started; 0 for long ago. Times in ms.

    Guards against pushing over a cold server: its part of the calls never exceeds its part of capacity.
    """
    if started_ms <= 0.0 or warm_after_ms <= 0:
        return 1.0
    return min(1.0, cold_share + (1.0 - cold_share) * max(0.0, now - started_ms) / warm_after_ms)
