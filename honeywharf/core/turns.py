"""Measures how late this proxy reads its input, from the start and end of each turn of the event loop.

Guards against attributing the proxy's own lateness to a zone: while the proxy is busy, an answer that arrives
during one turn is read in the next one, behind other input.
"""

from __future__ import annotations

from honeywharf.core.transport import Clock

REPORT_INTERVAL_MS = 100.0  # the interval at which the shortest turn since the last report is reported
MIN_IO_WAIT_MS = 0.5  # Shorter waits for I/O count as none, because the loop's time has a resolution of 1 ms.
NOTHING_TO_REPORT = -1.0


class LoopTurns:
    """Start and end of the loop's turns. Times are ms of the proxy's clock, except the loop's own in s."""

    __slots__ = (
        "clock",
        "earliest_arrival_ms",
        "had_arrival",
        "io_wait_began_ms",
        "next_report_ms",
        "shortest_turn_ms",
        "turn_began_ms",
    )

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.turn_began_ms = 0.0  # start of the current turn
        self.earliest_arrival_ms = 0.0  # earliest arrival of the input of this turn
        self.io_wait_began_ms = 0.0  # end of the previous turn
        self.next_report_ms = 0.0  # when the next report is due
        self.shortest_turn_ms = float("inf")  # since the last report
        self.had_arrival = False  # whether there was input in this turn

    def note_arrival(self, turn_s: float) -> float:
        """Notes input in the turn that began at `turn_s`. Returns the earliest possible arrival, in ms."""
        turn = self.clock.at(turn_s)
        if turn != self.turn_began_ms:
            busy = turn - self.io_wait_began_ms < MIN_IO_WAIT_MS
            self.earliest_arrival_ms, self.turn_began_ms = (
                self.turn_began_ms if busy else turn,
                turn,
            )
        self.had_arrival = True
        return self.earliest_arrival_ms

    def turn_ended(self) -> float:
        """Notes the end of a turn. Returns the shortest turn in ms when a report is due, otherwise -1."""
        before, self.io_wait_began_ms = self.io_wait_began_ms, self.clock.now()
        if not self.had_arrival:
            return NOTHING_TO_REPORT  # the start of a turn is known only if there was input
        self.had_arrival = False
        self.shortest_turn_ms = min(
            self.shortest_turn_ms, self.io_wait_began_ms - max(before, self.turn_began_ms)
        )
        if self.io_wait_began_ms < self.next_report_ms:
            return NOTHING_TO_REPORT
        self.next_report_ms, least, self.shortest_turn_ms = (
            self.io_wait_began_ms + REPORT_INTERVAL_MS,
            self.shortest_turn_ms,
            float("inf"),
        )
        return least
