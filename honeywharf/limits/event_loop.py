"""The proxy's own limit: the part of arrivals that it accepts while its event loop is overloaded."""

from __future__ import annotations

# CoDel's interval (RFC 8289 section 4.3) is longer than any turn of the loop without load.
INTERVAL_MS = 100.0
BACKOFF = 0.85  # factor on the accepted share, for each interval over the target
RECOVERY = 0.05  # added to the accepted share, for each interval under the target
MIN_SHARE = 0.1  # some arrivals are always accepted, so that the end of an overload shows
TARGET_PART = 0.05  # a request waits for several turns, and the servers need most of its latency target


class LoopLimiter:
    """The share of arrivals to accept, by the length of the loop's turns; after CoDel (RFC 8289) and AIMD.

    A long minimum turn over an interval shows a standing queue; single long turns do not. Times in ms.
    """

    __slots__ = ("interval_ends_ms", "min_turn_ms", "share", "target_ms")

    def __init__(self, aim_ms: float) -> None:
        if not aim_ms > 0:
            raise ValueError(f"aim: expected more than 0 ms, got {aim_ms!r}")
        self.target_ms = aim_ms * TARGET_PART
        self.share = 1.0
        self.min_turn_ms, self.interval_ends_ms = float("inf"), 0.0

    def learn(self, now_ms: float, turn_ms: float) -> None:
        """Adjusts the share by one turn of the loop."""
        self.min_turn_ms = min(self.min_turn_ms, turn_ms)
        if now_ms < self.interval_ends_ms:
            return
        if self.min_turn_ms > self.target_ms:
            self.share = max(MIN_SHARE, self.share * BACKOFF)
        else:
            self.share = min(1.0, self.share + RECOVERY)
        self.min_turn_ms, self.interval_ends_ms = float("inf"), now_ms + INTERVAL_MS

    def accepts(self, chance: float) -> bool:
        """Whether to accept an arrival; `chance`: a uniform random number from 0 to 1."""
        return chance < self.share
