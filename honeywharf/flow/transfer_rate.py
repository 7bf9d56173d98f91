"""Detects slow peers by their average rate over a complete body, rather than by one pause.

Time in which this side paused the peer does not count. Times are ms.
"""

from __future__ import annotations

HEADER_TIMEOUT_MS = 2400.0  # The limit from the first to the last byte of a head; callers are allowed 2 s.
MIN_BYTES_PER_S = 32_000.0  # Callers may send a body as slowly as 64 kB/s.
STALL_TIMEOUT_MS = 15_000.0  # A peer that reads an answer has to read some of it within this time.


class TransferRate:
    """The transfer of one body, from the time when its head was complete."""

    __slots__ = ("bytes", "paused_ms", "paused_since_ms", "started_ms")

    def __init__(self, now_ms: float) -> None:
        self.started_ms, self.bytes = now_ms, 0
        self.paused_ms, self.paused_since_ms = 0.0, -1.0

    def set_paused(self, now_ms: float, paused: bool) -> None:
        """Notes that this side pauses the peer from now on, or resumes it."""
        if paused and self.paused_since_ms < 0:
            self.paused_since_ms = now_ms
        elif not paused and self.paused_since_ms >= 0:
            self.paused_ms += now_ms - self.paused_since_ms
            self.paused_since_ms = -1.0

    def is_too_slow(self, now_ms: float) -> bool:
        """Returns whether the rate is below `MIN_BYTES_PER_S`, after an allowance of `HEADER_TIMEOUT_MS`."""
        paused = self.paused_ms + (now_ms - self.paused_since_ms if self.paused_since_ms >= 0 else 0.0)
        elapsed = now_ms - self.started_ms - paused - HEADER_TIMEOUT_MS
        return elapsed * MIN_BYTES_PER_S / 1000.0 > self.bytes
