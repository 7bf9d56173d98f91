"""One zone's load: the wait that its nodes report, and the factor on admitted calls. Without I/O.

    factor' = factor * exp(-PROPORTIONAL_GAIN * (e - e_before) - INTEGRAL_RATE * e * dt)
    e = wait / reference - 1, bounded

The factor multiplies the calls that a proxy may hold in the zone, and every proxy changes it alike. The terms
are proportional and integral, as in PIE (RFC 8033, 4.2), and act on the logarithm of the factor, which a
queue's rate of change follows whatever the demand. The factor grows past 1 only while it rejects calls;
`docs/design/reports.md` shows the loop's oscillation at delays from 0 to 2 s.

The first report of a zone sets its factor at once by the wait. Calls of other zones are admitted only up to a
shorter wait than the zone's own (`AWAY_REFERENCE_PART`): spill-over leaves room for the zone's own traffic,
and stops before two zones fill each other.
"""

from __future__ import annotations

import math

from honeywharf.reports.age import ReportAge

# In e-folds: for a change of the error by one reference, and per second at an error of one reference.
PROPORTIONAL_GAIN, INTEGRAL_RATE = 0.25, 0.6
OVERLOAD_RATE_FACTOR = 2.0  # factor on the integral rate while the wait exceeds twice its reference
MAX_ERROR = 3.0  # in references; an error under -1 is impossible
MAX_FACTOR = 32.0  # nodes may hold more calls at once than the waits show
UNUSED_DECAY_PER_S = 0.2  # e-folds by which an unused factor over 1 falls
MIN_SHARES, MIN_FACTOR = 2.0, 0.3  # guards against a zone that gets no calls and so sends no reports
MAX_GAP_MS = 500.0  # the longest gap between reports that the integral counts
AWAY_REFERENCE_PART = 0.5  # the wait up to which calls of other zones are admitted, in references
SMOOTHING_MS = 150.0  # time constant of the zone's wait
MIN_REPORTS = 4.0  # if reports are rare, each has at least the weight of one in this many
MAX_ZONE_AGE_MS = 3000.0  # a zone's load is unknown after this long without a report


class AdmissionFactor:
    """The factor on the calls admitted to a zone, for one reference wait."""

    __slots__ = ("error", "minimum", "value")

    def __init__(self, minimum: float) -> None:
        self.value, self.error, self.minimum = 1.0, 0.0, minimum

    def start(self, error: float) -> None:
        """Sets the factor by the first report."""
        self.error = error
        self.value = max(self.minimum, 1.0 / (1.0 + max(0.0, error)))

    def update(self, error: float, dt_s: float, part: float, binds: bool) -> None:
        """Updates the factor by `error`, in references; `part` scales the gains; `binds`: it limits calls."""
        if self.value >= 1.0 and error <= 0.0 and not binds:
            # An unused factor is not validated (RFC 7661): it falls back to 1, which is known to fit.
            self.value, self.error = max(1.0, self.value * math.exp(-UNUSED_DECAY_PER_S * dt_s)), error
            return
        rate = OVERLOAD_RATE_FACTOR * INTEGRAL_RATE if error > 1.0 else INTEGRAL_RATE
        moved = part * (PROPORTIONAL_GAIN * (error - self.error) + rate * error * dt_s)
        self.value = min(MAX_FACTOR, max(self.minimum, self.value * math.exp(-moved)))
        self.error = error


class ZoneLoad:
    """The load of one zone."""

    __slots__ = ("age", "at_ms", "away", "binds", "gap_ms", "own", "wait_ms")

    def __init__(self, part: float) -> None:
        self.wait_ms = 0.0
        self.at_ms = -math.inf
        self.gap_ms = 0.0  # moving average of the gap between reports
        self.age = ReportAge()
        minimum = min(MIN_FACTOR, MIN_SHARES * part)
        self.binds = False  # the factor has rejected calls since the last report
        self.own, self.away = AdmissionFactor(minimum), AdmissionFactor(minimum)

    def known(self, now: float) -> bool:
        """Whether the zone's reports are recent enough to act on."""
        return now - self.at_ms < MAX_ZONE_AGE_MS and not self.age.late

    def record_report(self, now: float, wait_ms: float, reference_ms: float, weight: float) -> None:
        """Records a wait reported by a node of the zone; `weight`: how far it is trusted, 0 to 1."""
        if weight <= 0.0:
            return
        gap = now - self.at_ms
        first_report = gap >= MAX_ZONE_AGE_MS
        self.at_ms = now
        if first_report:
            self.wait_ms, self.gap_ms = wait_ms, MAX_GAP_MS
            self.own.start(bounded_error(wait_ms, reference_ms))
            self.away.start(bounded_error(wait_ms, AWAY_REFERENCE_PART * reference_ms))
            return
        self.gap_ms += (gap - self.gap_ms) / 8.0
        smoothing = 1.0 - math.exp(-gap / SMOOTHING_MS)
        self.wait_ms += (wait_ms - self.wait_ms) * weight * max(smoothing, self.min_weight())
        part = 0.5 if self.gap_ms > MAX_GAP_MS else 1.0
        if self.age.age_ms > MAX_GAP_MS:
            part *= MAX_GAP_MS / self.age.age_ms
        dt_s = min(gap, MAX_GAP_MS) / 1000.0
        self.own.update(bounded_error(self.wait_ms, reference_ms), dt_s, part, self.binds)
        self.away.update(
            bounded_error(self.wait_ms, AWAY_REFERENCE_PART * reference_ms), dt_s, part, self.binds
        )
        if gap > 0.0:
            self.binds = False

    def min_weight(self) -> float:
        """Returns the least weight of one report, which is over 0 if reports are rare."""
        return 1.0 / MIN_REPORTS if self.gap_ms > SMOOTHING_MS / MIN_REPORTS else 0.0


def bounded_error(wait_ms: float, reference_ms: float) -> float:
    """Returns how far a wait exceeds its reference, in references: from -1 to MAX_ERROR."""
    return min(MAX_ERROR, wait_ms / reference_ms - 1.0)
