"""Gradient: the ratio of the long-term to the current answer time scales the limit."""

from __future__ import annotations

import math

from honeywharf.limits.base import Limiter

TOLERANCE = 1.5  # times the long-term answer time, up to which no queue is assumed
LONG_SAMPLES = 600  # answers in the long-term mean
SHORT_SAMPLES = 10  # answers in the current mean
SMOOTHING = 0.2
MIN_GRADIENT = 0.5


class GradientLimiter(Limiter):
    """Gradient2 of Netflix's concurrency-limits: limit = limit x gradient + queue, smoothed.

    gradient = tolerance x long / short, within [0.5, 1]; queue = square root of the limit. The long-term
    mean falls quickly after an overload, as in the original.
    """

    __slots__ = ("long_ms", "short_ms")

    def __init__(self, first_limit: float, proxy_share: float = 1.0) -> None:
        super().__init__(first_limit, proxy_share)
        self.long_ms = self.short_ms = 0.0

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
        if dropped:
            latency_ms = max(latency_ms, 2.0 * TOLERANCE * self.long_ms)
        self.long_ms = self.long_ms or latency_ms
        self.short_ms = self.short_ms or latency_ms
        self.long_ms += (latency_ms - self.long_ms) / LONG_SAMPLES
        self.short_ms += (latency_ms - self.short_ms) / SHORT_SAMPLES
        if self.long_ms > 2.0 * self.short_ms:
            self.long_ms *= 0.95
        if in_flight < self.limit / 2.0:
            return  # the limit is not in use, so the answers say nothing about it
        gradient = max(MIN_GRADIENT, min(1.0, TOLERANCE * self.long_ms / max(self.short_ms, 1e-6)))
        target = self.limit * gradient + math.sqrt(self.limit)
        self.set_limit(self.limit + (target - self.limit) * SMOOTHING, 0.25 * self.first_limit)
