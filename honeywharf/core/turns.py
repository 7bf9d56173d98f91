"""The loop's turns: how late this proxy itself is, by the clock alone.

Guards against taking its own lateness for a zone's: while it is busy, an answer that came in the last turn is
read in this one, behind others.
"""

from __future__ import annotations

from honeywharf.core.transport import Clock

LOOP_MS = 100.0  # how often the module is told of the loop's turns: of the shortest in that time
BUSY_MS = 0.5  # a wait for I/O shorter than that is none: the loop knows its own time by the ms only
NOTHING = -1.0


class Turns:
    """When turns began and ended. Times are ms of the proxy's clock, but for the loop's own, in seconds."""

    __slots__ = ("began_ms", "blind_ms", "clock", "least_ms", "marked", "tell_ms", "waits_ms")

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.began_ms = 0.0  # this turn
        self.blind_ms = 0.0  # since then, what came in may have waited for this proxy
        self.waits_ms = 0.0  # when the loop last went to wait for I/O
        self.tell_ms = 0.0  # when the shortest turn is told next
        self.least_ms = float("inf")  # since it was told
        self.marked = False  # whether anything came in this turn

    def came(self, turn_s: float) -> float:
        """Something came in, in the loop's turn that began at `turn_s`: since when it may have waited."""
        turn = self.clock.at(turn_s)
        if turn != self.began_ms:
            busy = turn - self.waits_ms < BUSY_MS
            self.blind_ms, self.began_ms = self.began_ms if busy else turn, turn
        self.marked = True
        return self.blind_ms

    def turned(self) -> float:
        """The loop is about to wait for I/O: the shortest turn where the module is to be told, else -1."""
        before, self.waits_ms = self.waits_ms, self.clock.now()
        if not self.marked:
            return NOTHING  # nothing that counts came in this turn: its start is not known
        self.marked = False
        self.least_ms = min(self.least_ms, self.waits_ms - max(before, self.began_ms))
        if self.waits_ms < self.tell_ms:
            return NOTHING
        self.tell_ms, least, self.least_ms = self.waits_ms + LOOP_MS, self.least_ms, float("inf")
        return least
