"""Concurrency limiters: how many calls a pool of servers may hold, learned from how its answers come.

Theory of operation. A limiter belongs to one pool (the decision module keeps one for each zone) and counts
in calls in flight for each unit of capacity, a warm server being one unit. It is told of each answer how late
it was; it never sees a request, a clock or a socket, and it turns nothing away itself: `limit` is a figure
that the decision module compares with what it has in flight. All limiters have one interface (`Limiter`), so
that they can be compared on the same days (`python -m bench.limiters`); `DEFAULT` names the one in use.

What every limiter here may rely on:

- `latency_ms` is the servers' own: what the proxy's event loop added is taken out by who measured it.
- `base_ms` is the time of an answer at ease, and `target_ms` the part of the aim that answers may take.
- A limit is bounded below (`Limiter.least`) by Little's law: a server that answers in `base_ms` when alone
  answers `target_ms / base_ms` calls one after the other within the target, so that many in flight are safe
  as long as nothing but `base_ms` is known of it; and above by `MOST`.
"""

from __future__ import annotations

from collections.abc import Callable

from honeywharf.limits.aimd import AimdLimiter
from honeywharf.limits.base import MOST, Limiter, littles_law
from honeywharf.limits.codel import CodelLimiter
from honeywharf.limits.gradient import GradientLimiter
from honeywharf.limits.lateness import LatenessLimiter, formerly, open_start
from honeywharf.limits.loop import LoopLimiter
from honeywharf.limits.vegas import VegasLimiter

#: All limiters by name; each is made of a first limit, in calls for each unit of capacity, and a part.
LIMITERS: dict[str, Callable[[float, float], Limiter]] = {
    "lateness": LatenessLimiter,
    "open": open_start,
    "formerly": formerly,
    "gradient": GradientLimiter,
    "vegas": VegasLimiter,
    "aimd": AimdLimiter,
    "codel": CodelLimiter,
}
DEFAULT = "lateness"


def make(name: str, first: float, part: float = 1.0) -> Limiter:
    """The limiter of that name; ValueError names the known ones."""
    if name not in LIMITERS:
        raise ValueError(f"limiter: one of {', '.join(sorted(LIMITERS))} is wanted, not {name!r}")
    return LIMITERS[name](first, part)


__all__ = [
    "DEFAULT",
    "LIMITERS",
    "MOST",
    "AimdLimiter",
    "CodelLimiter",
    "GradientLimiter",
    "LatenessLimiter",
    "Limiter",
    "LoopLimiter",
    "VegasLimiter",
    "formerly",
    "littles_law",
    "make",
    "open_start",
]
