"""The rate of answers that a server of full capacity gives to one balancer, as a running mean over time."""

from __future__ import annotations

RISE_TIME_MS = 5000.0  # the mean must not follow random bursts
FALL_TIME_MS = 60000.0  # a server's capacity outlasts a time without answers


class AnswerRate:
    """Answers per ms and unit of capacity; `min_per_ms` where nothing is known."""

    __slots__ = ("answers", "min_per_ms", "per_ms", "updated_ms")

    def __init__(self, min_per_ms: float) -> None:
        self.per_ms = self.min_per_ms = min_per_ms
        self.answers, self.updated_ms = 0, 0.0  # answers since the last update

    def update(self, now: float, capacity: float) -> None:
        """Adds the answers since the last update, which came from `capacity` units, to the mean."""
        span = max(1.0, now - self.updated_ms)
        rate = self.answers / span / (capacity or 1.0)
        time_ms = RISE_TIME_MS if rate > self.per_ms else FALL_TIME_MS
        self.per_ms += (rate - self.per_ms) * min(1.0, span / time_ms)
        self.per_ms = max(self.min_per_ms, self.per_ms)
        self.answers, self.updated_ms = 0, now
