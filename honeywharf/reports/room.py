"""One zone's room: the wait that its nodes report, and what it is open to. Without I/O.

    open' = open * exp(-GAIN * (e - e_before) - RATE * e * dt)    e = wait / reference - 1, bounded

`open` is a factor on the calls that a proxy may hold in the zone, which every proxy moves alike. Proportional
and integral, as PIE (RFC 8033, 4.2), in e-folds: a queue's rate of change follows the logarithm of what is
let in, whatever is asked for. It grows past 1 only while it keeps calls out; `docs/design/reports.md` has the
swing of the loop over delays from 0 to 2 s.

A zone that is heard of for the first time is open at once as far as its wait says. Calls of other zones are
let in to a shorter wait than its own (`AWAY`): what spills over leaves the zone's own traffic its room, and
stops before two zones fill each other.
"""

from __future__ import annotations

import math

from honeywharf.reports.age import Age

GAIN, RATE = 0.25, 0.6  # e-folds of open: for each reference of change, and a second at one too much
HURRY = 2.0  # times that rate, from one reference too much on
MAX_ERROR = 3.0  # references over, that count; one under is as far as a wait goes
MAX_OPEN = 32.0  # times what is known to fit: nodes may hold more at once than one learns from a wait
UNUSED = 0.2  # e-folds a second by which an opening over 1 that is not used comes down
MIN_PARTS, MIN_OPEN = 2.0, 0.3  # a zone that is never tried is never heard of
LONGEST_MS = 500.0  # between reports, that the integral counts
AWAY = 0.5  # of the reference: up to that wait others' calls are let in
FOLLOW_MS = 150.0  # in which the zone's wait takes over two thirds of what its nodes say
FEW = 4.0  # reports that make a zone's wait, where they come seldom
OLD_MS = 3000.0  # after the last report, nothing is known any more


class Valve:
    """What a zone is open to, for one reference. Waits in ms."""

    __slots__ = ("error", "least", "open")

    def __init__(self, least: float) -> None:
        self.open, self.error, self.least = 1.0, 0.0, least

    def begin(self, error: float) -> None:
        """The first that is heard: open as far as the wait says."""
        self.error = error
        self.open = max(self.least, 1.0 / (1.0 + max(0.0, error)))

    def move(self, error: float, dt_s: float, part: float, binds: bool) -> None:
        """`error`: references over; `part`: of the gains; `binds`: more would be used if it were open."""
        if self.open >= 1.0 and error <= 0.0 and not binds:
            # What is not used has not been tried (RFC 7661): it comes down to what is known to fit.
            self.open, self.error = max(1.0, self.open * math.exp(-UNUSED * dt_s)), error
            return
        rate = HURRY * RATE if error > 1.0 else RATE
        moved = part * (GAIN * (error - self.error) + rate * error * dt_s)
        self.open = min(MAX_OPEN, max(self.least, self.open * math.exp(-moved)))
        self.error = error


class Room:
    """One zone. Waits in ms."""

    __slots__ = ("age", "at_ms", "away", "binds", "gap_ms", "own", "wait_ms")

    def __init__(self, part: float) -> None:
        self.wait_ms = 0.0
        self.at_ms = -math.inf
        self.gap_ms = 0.0  # between reports, on the mean
        self.age = Age()
        least = min(MIN_OPEN, MIN_PARTS * part)
        self.binds = False  # what it is open to has kept calls out since the last report
        self.own, self.away = Valve(least), Valve(least)

    def known(self, now: float) -> bool:
        """Whether anything heard of the zone is young enough to steer by."""
        return now - self.at_ms < OLD_MS and not self.age.late

    def heard(self, now: float, wait_ms: float, reference_ms: float, weight: float) -> None:
        """A node of the zone says that a call waits so long; `weight`: how far it is believed, 0 to 1."""
        if weight <= 0.0:
            return
        gap = now - self.at_ms
        fresh = gap >= OLD_MS
        self.at_ms = now
        if fresh:
            self.wait_ms, self.gap_ms = wait_ms, LONGEST_MS
            self.own.begin(bounded(wait_ms, reference_ms))
            self.away.begin(bounded(wait_ms, AWAY * reference_ms))
            return
        self.gap_ms += (gap - self.gap_ms) / 8.0
        follow = 1.0 - math.exp(-gap / FOLLOW_MS)
        self.wait_ms += (wait_ms - self.wait_ms) * weight * max(follow, self.share())
        part = 0.5 if self.gap_ms > LONGEST_MS else 1.0
        if self.age.ms > LONGEST_MS:
            part *= LONGEST_MS / self.age.ms
        dt_s = min(gap, LONGEST_MS) / 1000.0
        self.own.move(bounded(self.wait_ms, reference_ms), dt_s, part, self.binds)
        self.away.move(bounded(self.wait_ms, AWAY * reference_ms), dt_s, part, self.binds)
        if gap > 0.0:
            self.binds = False

    def share(self) -> float:
        """The least weight of one report: where they come seldom, a few make the zone's wait."""
        return 1.0 / FEW if self.gap_ms > FOLLOW_MS / FEW else 0.0


def bounded(wait_ms: float, reference_ms: float) -> float:
    """How far a wait is over its reference, in references: from -1 to MAX_ERROR."""
    return min(MAX_ERROR, wait_ms / reference_ms - 1.0)
