"""Smooths one node's reports and decides whether they are trusted. Without I/O.

A report is a noisy snapshot that the node renews at intervals and that arrives late; several answers may
carry the same one. The wait follows reports through an exponential filter in continuous time, whose weight
grows with the time since the last report. Without new reports its own weight decays to zero. Alternatives
(docs/design/reports.md): a Kalman filter needs the variances of a process that changes with the load, and
settles to this filter's gain; an alpha-beta filter overshoots at the end of each overload, where its rate is
still that of the growth.

    trusted -> distrusted    answers take far longer, or far less, than the reports explain
    distrusted -> trusted    reports explain the answers again, for as many answers

A node that reports one value other than zero for over STUCK_MS has no weight until the value changes.
"""

from __future__ import annotations

import math

SMOOTHING_MS = 200.0  # time constant of the filter
DECAY_MS = 1500.0  # time constant with which a report loses weight
MAX_REPORT_AGE_MS = 3.0 * DECAY_MS  # an older report counts nothing
STUCK_MS = 5000.0
STUCK_REPORTS = 8
MAX_RATIO = 2.5  # bounds the ratio of an answer's time to the time expected by the report, and its inverse
ANSWER_WEIGHT = 0.2  # the weight of one answer in the moving average of explained answers
TRUST_ABOVE, DISTRUST_BELOW = 0.5, 0.35  # shares of explained answers; the gap guards against flapping


class NodeReports:
    """The reports of one node."""

    __slots__ = (
        "at_ms",
        "explained_share",
        "last_value",
        "same_count",
        "same_since_ms",
        "trusted",
        "wait_ms",
    )

    def __init__(self) -> None:
        self.wait_ms = 0.0
        self.at_ms = -math.inf
        self.last_value, self.same_count, self.same_since_ms = -1.0, 0, 0.0
        self.explained_share, self.trusted = 1.0, True

    def record_report(self, now: float, value: float, wait_ms: float) -> None:
        """Records a report: its value, and the wait that the value amounts to."""
        gap = now - self.at_ms
        weight = 1.0 - math.exp(-gap / SMOOTHING_MS) if gap < MAX_REPORT_AGE_MS else 1.0
        self.wait_ms += (wait_ms - self.wait_ms) * weight
        self.at_ms = now
        if value != self.last_value:
            self.last_value, self.same_count, self.same_since_ms = value, 0, now
        self.same_count += 1

    def compare(self, ratio: float) -> None:
        """Records that an answer took `ratio` times the time expected by the report."""
        good = 1.0 / MAX_RATIO <= ratio <= MAX_RATIO
        self.explained_share += ((1.0 if good else 0.0) - self.explained_share) * ANSWER_WEIGHT
        if self.trusted and self.explained_share < DISTRUST_BELOW:
            self.trusted = False
        elif not self.trusted and self.explained_share > TRUST_ABOVE:
            self.trusted = True

    def stuck(self, now: float) -> bool:
        """Whether one value other than zero has been reported for too long to be genuine."""
        return (
            self.last_value > 0.0 and self.same_count >= STUCK_REPORTS and now - self.same_since_ms > STUCK_MS
        )

    def weight(self, now: float) -> float:
        """Returns the weight of the node's wait, 0 to 1."""
        age = now - self.at_ms
        if age >= MAX_REPORT_AGE_MS or not self.trusted or self.stuck(now):
            return 0.0
        return math.exp(-age / DECAY_MS)
