"""Vegas: keeps the number of waiting calls, estimated from answer times, between two bounds."""

from __future__ import annotations

import math

from honeywharf.limits.base import Limiter

# The limit grows below ALPHA x log10(limit) waiting calls, and shrinks above BETA x log10(limit).
ALPHA, BETA = 3.0, 6.0


class VegasLimiter(Limiter):
    """After Brakmo and Peterson, "TCP Vegas" (1995), as concurrency limits use it.

    queue = limit x (1 - base / latency); below alpha the limit grows by log10(limit), above beta it shrinks
    by as much. Both bounds grow with the limit, so that large pools are not kept to a few waiting calls.
    """

    __slots__ = ()

    def learn(
        self,
        now_ms: float,
        latency_ms: float,
        base_ms: float,
        target_ms: float,
        in_flight: float,
        *,
        per_call: float = 0.0,
        dropped: bool = False,
    ) -> None:
        """Adjusts the limit by one answer."""
        step = max(0.1, math.log10(max(self.limit, 1.0)))
        queue = self.limit * (1.0 - min(1.0, base_ms / max(latency_ms, 1e-6)))
        limit = self.limit
        if dropped or queue > BETA * step:
            limit -= step / max(1.0, limit)  # there are `limit` answers per round trip
        elif in_flight > limit / 2.0 and queue < ALPHA * step:
            limit += step / max(1.0, limit)
        self.set_limit(limit, 0.25 * self.first_limit)
