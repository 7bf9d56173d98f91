"""How many answers a server of full capacity gives, to one balancer: an average that follows with time."""

from __future__ import annotations

OVER_MS = 5000.0  # in which the rate of answers follows upwards: longer than bursts of chance
KEPT_MS = 60000.0  # and downwards: what a server could do is still known when nothing answers


class AnswerRate:
    """Answers a ms for each unit of capacity; `least` where nothing is known."""

    __slots__ = ("answers", "least", "looked_ms", "per_ms")

    def __init__(self, least: float) -> None:
        self.per_ms = self.least = least
        self.answers, self.looked_ms = 0, 0.0  # since it was looked at last

    def look(self, now: float, capacity: float) -> None:
        """Take in what was answered since the last time, by so many units of capacity."""
        span = max(1.0, now - self.looked_ms)
        rate = self.answers / span / (capacity or 1.0)
        follow = OVER_MS if rate > self.per_ms else KEPT_MS
        self.per_ms += (rate - self.per_ms) * min(1.0, span / follow)
        self.per_ms = max(self.least, self.per_ms)
        self.answers, self.looked_ms = 0, now
