"""CoDel on a concurrency limit: lowered while the minimum queue delay of an interval exceeds its target."""

from __future__ import annotations

import math

from honeywharf.limits.base import Limiter

DELAY_PART = 0.25  # a standing queue may delay answers by this part of the latency target
INTERVAL_PART = 0.5  # this part of the latency target is longer than an unloaded server's answer time
MIN_INTERVAL_MS = 20.0
BACKOFF = 0.9


class CodelLimiter(Limiter):
    """After Nichols and Jacobson, "Controlled Delay Active Queue Management" (RFC 8289).

    The queue delay of an answer is its time beyond the base time. A high minimum over an interval shows a
    standing queue, which a burst does not cause. While it exceeds its target, the limit is lowered at
    intervals that shrink with the square root of their count; else a limit in use grows by one per answer
    time.
    """

    __slots__ = ("count", "interval_ends_ms", "min_delay_ms")

    def __init__(self, first_limit: float, proxy_share: float = 1.0) -> None:
        super().__init__(first_limit, proxy_share)
        self.count, self.interval_ends_ms, self.min_delay_ms = 0, 0.0, float("inf")

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
        interval = max(MIN_INTERVAL_MS, INTERVAL_PART * target_ms)
        delay = target_ms if dropped else latency_ms - base_ms
        self.min_delay_ms = min(self.min_delay_ms, delay)
        if now_ms >= self.interval_ends_ms:
            standing = self.min_delay_ms > DELAY_PART * target_ms
            self.count = self.count + 1 if standing else 0
            if standing:
                self.set_limit(min(self.limit, in_flight) * BACKOFF, 0.25 * self.first_limit)
            self.interval_ends_ms = now_ms + interval / math.sqrt(max(1, self.count))
            self.min_delay_ms = float("inf")
        if self.count == 0 and in_flight > self.limit / 2.0:
            self.set_limit(self.limit + 1.0 / max(1.0, self.limit), 0.25 * self.first_limit)
