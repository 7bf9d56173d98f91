"""AIMD on the latency target: grows by one per round trip, shrinks by a factor when answers are late."""

from __future__ import annotations

from honeywharf.limits.base import Limiter

BACKOFF = 0.9


class AimdLimiter(Limiter):
    """Additive increase, multiplicative decrease (Chiu and Jain 1989; RFC 5681), by the latency target alone.

    There is at most one decrease per answer time, as the answers of one round trip were sent under one limit.
    """

    __slots__ = ("lowered_ms",)

    def __init__(self, first_limit: float, proxy_share: float = 1.0) -> None:
        super().__init__(first_limit, proxy_share)
        self.lowered_ms = float("-inf")

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
        if dropped or latency_ms > target_ms:
            if now_ms - self.lowered_ms >= latency_ms:
                self.lowered_ms = now_ms
                self.set_limit(self.limit * BACKOFF, 0.25 * self.first_limit)
        elif in_flight > self.limit / 2.0:
            self.set_limit(self.limit + 1.0 / max(1.0, self.limit), 0.25 * self.first_limit)
