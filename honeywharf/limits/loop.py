"""The proxy's own limit: what it takes while its event loop, not the servers, is what is late."""

from __future__ import annotations

INTERVAL_MS = 100.0  # CoDel's interval (RFC 8289 section 4.3): longer than any turn of the loop at ease
BACKOFF = 0.85  # of what is taken, for each interval over the target
RECOVERY = 0.05  # of all arrivals, for each interval under it
LEAST = 0.1  # of arrivals that are always taken: else nothing would tell that the crowd has gone
TARGET_PART = 0.05  # of an aim: a request waits for some turns of the loop, and the servers need their part


class LoopLimiter:
    """The share of arrivals to take, from how long the loop's turns are; after CoDel (RFC 8289) and AIMD.

    The least turn of an interval tells of a standing queue: single long turns do not. Times in ms.
    """

    __slots__ = ("due_ms", "least_ms", "share", "target_ms")

    def __init__(self, aim_ms: float) -> None:
        if not aim_ms > 0:
            raise ValueError(f"aim: more than 0 ms is wanted, not {aim_ms!r}")
        self.target_ms = aim_ms * TARGET_PART
        self.share = 1.0
        self.least_ms, self.due_ms = float("inf"), 0.0

    def learn(self, now_ms: float, turn_ms: float) -> None:
        """One turn of the loop took `turn_ms`."""
        self.least_ms = min(self.least_ms, turn_ms)
        if now_ms < self.due_ms:
            return
        if self.least_ms > self.target_ms:
            self.share = max(LEAST, self.share * BACKOFF)
        else:
            self.share = min(1.0, self.share + RECOVERY)
        self.least_ms, self.due_ms = float("inf"), now_ms + INTERVAL_MS

    def takes(self, chance: float) -> bool:
        """Whether to take an arrival; `chance`: evenly random from 0 to 1."""
        return chance < self.share
