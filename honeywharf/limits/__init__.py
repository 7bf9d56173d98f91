"""Concurrency limiters: how many calls a pool of servers may have in flight, learned from its answer times.

Theory of operation. A limiter belongs to one pool (the decision module keeps one for each zone) and counts
calls in flight per unit of capacity; a warm server is one unit. It is fed the time of each answer. It sees no
request, clock or socket, and rejects nothing itself: the decision module compares `limit` with its own calls
in flight. All limiters have one interface (`Limiter`), so that they can be compared on the same simulated
days (`python -m bench.limiters`); `DEFAULT` names the one in use.

Every limiter here may rely on these conditions:

- `latency_ms` is the servers' own time: the caller has subtracted the time that the proxy's event loop added.
- `base_ms` is the answer time of unloaded servers, and `target_ms` the part of the latency target that
  answers may take.
- A limit is bounded below (`Limiter.min_limit`) by Little's law: a server that answers in `base_ms` when
  alone answers `target_ms / base_ms` calls one after the other within the target, so that many in flight are
  safe as long as nothing but `base_ms` is known of it; and above by `MAX_LIMIT`.
"""

from __future__ import annotations

from collections.abc import Callable

from honeywharf.limits.aimd import AimdLimiter
from honeywharf.limits.base import MAX_LIMIT, Limiter, littles_law
from honeywharf.limits.codel import CodelLimiter
from honeywharf.limits.event_loop import LoopLimiter
from honeywharf.limits.gradient import GradientLimiter
from honeywharf.limits.lateness import LatenessLimiter, base_time_only, open_start
from honeywharf.limits.vegas import VegasLimiter

#: All limiters by name; each is built from a first limit, in calls per unit of capacity, and a proxy's share.
LIMITERS: dict[str, Callable[[float, float], Limiter]] = {
    "lateness": LatenessLimiter,
    "open": open_start,
    "formerly": base_time_only,
    "gradient": GradientLimiter,
    "vegas": VegasLimiter,
    "aimd": AimdLimiter,
    "codel": CodelLimiter,
}
DEFAULT = "lateness"


def make(name: str, first_limit: float, proxy_share: float = 1.0) -> Limiter:
    """Returns a limiter of that name; the ValueError for an unknown name lists the known ones."""
    if name not in LIMITERS:
        raise ValueError(f"limiter: expected one of {', '.join(sorted(LIMITERS))}, got {name!r}")
    return LIMITERS[name](first_limit, proxy_share)


__all__ = [
    "DEFAULT",
    "LIMITERS",
    "MAX_LIMIT",
    "AimdLimiter",
    "CodelLimiter",
    "GradientLimiter",
    "LatenessLimiter",
    "Limiter",
    "LoopLimiter",
    "VegasLimiter",
    "base_time_only",
    "littles_law",
    "make",
    "open_start",
]
