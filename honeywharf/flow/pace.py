"""Slow peers, told by their rate over all they have sent or taken, not by one pause.

Time in which this side held the peer up does not count. Times are ms.
"""

from __future__ import annotations

HEAD_MS = 2400.0  # from the first byte of a head to its last: callers may take 2 s
MIN_PER_S = 32_000.0  # bytes a second of a body: callers may be as slow as 64 kB/s
STALL_MS = 15_000.0  # in which a peer that takes an answer has to take something


class Pace:
    """One body's pace, from when its head was whole."""

    __slots__ = ("begun_ms", "bytes", "held_ms", "held_since_ms")

    def __init__(self, now_ms: float) -> None:
        self.begun_ms, self.bytes = now_ms, 0
        self.held_ms, self.held_since_ms = 0.0, -1.0

    def hold(self, now_ms: float, held: bool) -> None:
        """This side holds the peer up from now on, or no longer."""
        if held and self.held_since_ms < 0:
            self.held_since_ms = now_ms
        elif not held and self.held_since_ms >= 0:
            self.held_ms += now_ms - self.held_since_ms
            self.held_since_ms = -1.0

    def late(self, now_ms: float) -> bool:
        """Whether less has come than the least rate brings, after the time that a head may take."""
        held = self.held_ms + (now_ms - self.held_since_ms if self.held_since_ms >= 0 else 0.0)
        spent = now_ms - self.begun_ms - held - HEAD_MS
        return spent * MIN_PER_S / 1000.0 > self.bytes
