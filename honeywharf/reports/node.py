"""One node's reports: what it holds between them, and whether it is believed. Without I/O.

A report is a snapshot, renewed by the node every so often and late on its way, with noise: several answers
may carry the same one. The figure follows reports in continuous time (an exponential filter; its weight
grows with the time since the last), and grows old to nothing. Weighed (docs/design/reports.md): a Kalman
filter needs the variances of a process that changes with the load, and settles to this filter's gain; an
alpha-beta filter overshoots at the end of each jam, where its rate is still that of the growth.

    believed -> doubted     answers take far longer, or far less, than the reports explain; or one figure
                            other than zero is told for STUCK_MS, while answers' times differ
    doubted -> believed     reports explain the answers again, for as many answers
"""

from __future__ import annotations

import math

FOLLOW_MS = 200.0  # in which the figure takes over two thirds of what is reported
OLD_MS = 1500.0  # after which a report counts a third; three times that: nothing
NOTHING_MS = 3.0 * OLD_MS
STUCK_MS = 5000.0
STUCK_REPORTS = 8
EXPLAINS = 2.5  # times what a report leads one to expect that an answer may take, and as much less
DOUBT = 0.2  # weight of one answer in the belief
BELIEVED, DOUBTED = 0.5, 0.35  # the share of answers that reports explain, with a gap against flapping


class NodeReports:
    """What one node says."""

    __slots__ = ("at_ms", "believed", "explained", "last", "same", "same_ms", "wait_ms")

    def __init__(self) -> None:
        self.wait_ms = 0.0
        self.at_ms = -math.inf  # when the last report came
        self.last, self.same, self.same_ms = -1.0, 0, 0.0
        self.explained, self.believed = 1.0, True

    def heard(self, now: float, value: float, wait_ms: float) -> None:
        """A report came: its figure, and the wait that it comes to."""
        gap = now - self.at_ms
        weight = 1.0 - math.exp(-gap / FOLLOW_MS) if gap < NOTHING_MS else 1.0
        self.wait_ms += (wait_ms - self.wait_ms) * weight
        self.at_ms = now
        if value != self.last:
            self.last, self.same, self.same_ms = value, 0, now
        self.same += 1

    def compared(self, ratio: float) -> None:
        """An answer took `ratio` times what the report led one to expect."""
        good = 1.0 / EXPLAINS <= ratio <= EXPLAINS
        self.explained += ((1.0 if good else 0.0) - self.explained) * DOUBT
        if self.believed and self.explained < DOUBTED:
            self.believed = False
        elif not self.believed and self.explained > BELIEVED:
            self.believed = True

    def stuck(self, now: float) -> bool:
        """Whether one figure other than zero has been told for too long to be a node's."""
        return self.last > 0.0 and self.same >= STUCK_REPORTS and now - self.same_ms > STUCK_MS

    def weight(self, now: float) -> float:
        """How much its figure counts, 0 to 1."""
        age = now - self.at_ms
        if age >= NOTHING_MS or not self.believed or self.stuck(now):
            return 0.0
        return math.exp(-age / OLD_MS)
