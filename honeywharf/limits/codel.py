"""CoDel on a concurrency limit: lowered while an interval's least queue delay stays over its target."""

from __future__ import annotations

import math

from honeywharf.limits.base import Limiter

DELAY_PART = 0.25  # of the target that a standing queue may delay answers
INTERVAL_PART = 0.5  # of the target: longer than an answer at ease takes
MIN_INTERVAL_MS = 20.0
BACKOFF = 0.9


class CodelLimiter(Limiter):
    """After Nichols and Jacobson, "Controlled Delay Active Queue Management" (RFC 8289).

    The queue delay of an answer is its time over the base time. The least one of an interval tells of a
    standing queue, which bursts do not. While it is over the target the limit is lowered, each time sooner,
    by the law of the square root; else it grows by one an answer time where it binds.
    """

    __slots__ = ("count", "due_ms", "least_ms")

    def __init__(self, first: float, part: float = 1.0) -> None:
        super().__init__(first, part)
        self.count, self.due_ms, self.least_ms = 0, 0.0, float("inf")

    def learn(
        self,
        now_ms: float,
        latency_ms: float,
        base_ms: float,
        target_ms: float,
        in_flight: float,
        *,
        one: float = 0.0,
        dropped: bool = False,
    ) -> None:
        """Move the limit by one answer."""
        interval = max(MIN_INTERVAL_MS, INTERVAL_PART * target_ms)
        delay = target_ms if dropped else latency_ms - base_ms
        self.least_ms = min(self.least_ms, delay)
        if now_ms >= self.due_ms:
            standing = self.least_ms > DELAY_PART * target_ms
            self.count = self.count + 1 if standing else 0
            if standing:
                self.bound(min(self.limit, in_flight) * BACKOFF, 0.25 * self.first)
            self.due_ms = now_ms + interval / math.sqrt(max(1, self.count))
            self.least_ms = float("inf")
        if self.count == 0 and in_flight > self.limit / 2.0:
            self.bound(self.limit + 1.0 / max(1.0, self.limit), 0.25 * self.first)
