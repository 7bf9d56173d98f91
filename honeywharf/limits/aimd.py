"""AIMD on the aim: grows by one a round trip, shrinks by a part when answers come past the target."""

from __future__ import annotations

from honeywharf.limits.base import Limiter

BACKOFF = 0.9


class AimdLimiter(Limiter):
    """Additive increase, multiplicative decrease (Chiu and Jain 1989; RFC 5681), judged by the target alone.

    At most one decrease for each answer time: the answers of one round trip tell of one limit.
    """

    __slots__ = ("lowered_ms",)

    def __init__(self, first: float, part: float = 1.0) -> None:
        super().__init__(first, part)
        self.lowered_ms = float("-inf")

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
        if dropped or latency_ms > target_ms:
            if now_ms - self.lowered_ms >= latency_ms:
                self.lowered_ms = now_ms
                self.bound(self.limit * BACKOFF, 0.25 * self.first)
        elif in_flight > self.limit / 2.0:
            self.bound(self.limit + 1.0 / max(1.0, self.limit), 0.25 * self.first)
