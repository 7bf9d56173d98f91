"""Slow start: the capacity of a server that has just started, and the calls that it may get."""

from __future__ import annotations

COLD_MARGIN = 3.0  # calls stay this factor below the rate that overloads a cold server, as their rate varies


def warm_fraction(now: float, started_ms: float, cold_share: float, warm_after_ms: float) -> float:
    """Returns the part of its capacity that a server has at least, by its age. Times in ms.

    `started_ms`: 0 for a server that started long ago. Guards against overloading a cold server: its part of
    the calls never exceeds its part of capacity.
    """
    if started_ms <= 0.0 or warm_after_ms <= 0:
        return 1.0
    return min(1.0, cold_share + (1.0 - cold_share) * max(0.0, now - started_ms) / warm_after_ms)


def spacing(fraction: float, cold_multiple: float, per_ms: float) -> float:
    """Returns the ms between two calls to a cold server, where warm servers give `per_ms` answers.

    Guards against overloading the cold server: all balancers together send it no more than its part of the
    calls that warm servers answered. `cold_multiple`: the multiple of that part which overloads it, from the
    settings.
    """
    return COLD_MARGIN / (cold_multiple * fraction * per_ms)
