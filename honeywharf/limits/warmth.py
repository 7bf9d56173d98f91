"""How much of its capacity a server has that has just started."""

from __future__ import annotations

COLD_MARGIN = 3.0  # of the multiple that pushes a cold server over, a third: calls come by chance and differ


def warmth(now: float, started_ms: float, cold_share: float, warm_after_ms: float) -> float:
    """The part of its capacity that a server has at least, by when it started; 0 for long ago. Times in ms.

    Guards against pushing over a cold server: its part of the calls never exceeds its part of capacity.
    """
    if started_ms <= 0.0 or warm_after_ms <= 0:
        return 1.0
    return min(1.0, cold_share + (1.0 - cold_share) * max(0.0, now - started_ms) / warm_after_ms)


def spacing(warmth: float, cold_multiple: float, per_ms: float) -> float:
    """The ms between two calls to a cold server from a balancer that gets `per_ms` answers of a warm one.

    Guards against pushing it over: all balancers together send its part of what warm servers answered.
    `cold_multiple`: times its part of capacity that push it over, from the settings.
    """
    return COLD_MARGIN / (cold_multiple * warmth * per_ms)
