"""Estimates the age of load reports by the lag with which they follow the proxy's own calls. Without I/O.

A call's wait shows in its answer time at once, with noise. The reports of the same queue show it later, by
their age. Both are averaged in bins of `BIN_MS`; the shift with the highest correlation (Pearson's, over the
last bins) is the age. Without variation nothing can be estimated, and the last estimate stands until the
waits vary again: steady reports do no harm, however old.

    current -> late    the correlation is high at a shift of LATE_MS or more, and low without a shift
    late -> current    the correlation is high without a shift; a lack of variation changes nothing
"""

from __future__ import annotations

import math

BIN_MS = 250.0
BINS = 40
MAX_SHIFT = 24  # bins, which is six seconds
ESTIMATE_INTERVAL_MS = 500.0
MIN_FILLED_BINS = 12  # bins with calls
MIN_DEVIATION = 0.3  # standard deviation of both waits, in references
MIN_CORRELATION, MIN_IMPROVEMENT = 0.6, 0.15  # the second: over the correlation without a shift
MAX_UNSHIFTED_CORRELATION = 0.4  # reports count as late only below this correlation without a shift
LATE_MS = 1000.0


class ReportAge:
    """The estimated age of one zone's reports."""

    __slots__ = ("age_ms", "calls", "late", "next_estimate_ms", "observed", "oldest_bin", "reported")

    def __init__(self) -> None:
        self.oldest_bin = 0
        self.observed = [0.0] * BINS
        self.reported = [0.0] * BINS
        self.calls = [0] * BINS
        self.next_estimate_ms = 0.0
        self.age_ms, self.late = 0.0, False

    def add(self, now: float, observed_ms: float, reported_ms: float, reference_ms: float) -> None:
        """Adds an answer: the wait of its call, and the wait by the report that came with it."""
        number = int(now // BIN_MS)
        if number >= self.oldest_bin + BINS:
            if now >= self.next_estimate_ms:
                self.next_estimate_ms = now + ESTIMATE_INTERVAL_MS
                self._estimate(reference_ms)
            self._advance(number)
        at = number % BINS
        self.calls[at] += 1
        part = 1.0 / self.calls[at]
        self.observed[at] += (observed_ms - self.observed[at]) * part
        self.reported[at] += (reported_ms - self.reported[at]) * part

    def _advance(self, number: int) -> None:
        """Begins new bins; those without calls are empty."""
        begin = max(self.oldest_bin + BINS, number - BINS + 1)
        for k in range(begin, number + 1):
            self.calls[k % BINS] = 0
            self.observed[k % BINS] = self.reported[k % BINS] = 0.0
        self.oldest_bin = number - BINS + 1

    def _estimate(self, reference_ms: float) -> None:
        """Finds the shift at which reports follow the calls most closely."""
        observed: list[float] = []
        reported: list[float] = []
        filled, last_observed, last_reported = 0, -1.0, -1.0
        for k in range(self.oldest_bin, self.oldest_bin + BINS):
            at = k % BINS
            if self.calls[at]:
                last_observed, last_reported = self.observed[at], self.reported[at]
                filled += 1
            if last_observed >= 0.0:  # a bin without calls repeats the one before it
                observed.append(last_observed)
                reported.append(last_reported)
        if (
            filled < MIN_FILLED_BINS
            or standard_deviation(observed) < MIN_DEVIATION * reference_ms
            or (standard_deviation(reported) < MIN_DEVIATION * reference_ms)
        ):
            return
        unshifted = best = correlation(observed, reported, 0)
        shift = 0
        for k in range(1, min(MAX_SHIFT, len(observed) // 2) + 1):
            found = correlation(observed, reported, k)
            if found > best:
                best, shift = found, k
        if best >= MIN_CORRELATION and unshifted < best - MIN_IMPROVEMENT:
            found_age_ms = shift * BIN_MS
            if found_age_ms < LATE_MS or unshifted < MAX_UNSHIFTED_CORRELATION:
                self.age_ms = found_age_ms
                self.late = found_age_ms >= LATE_MS
        elif unshifted >= MIN_CORRELATION:
            self.age_ms, self.late = 0.0, False


def standard_deviation(values: list[float]) -> float:
    """Returns the population standard deviation."""
    mean = sum(values) / len(values)
    total = 0.0
    for value in values:
        total += (value - mean) * (value - mean)
    return math.sqrt(total / len(values))


def correlation(first: list[float], second: list[float], shift: int) -> float:
    """Returns Pearson's correlation of the first with the second, `shift` places later; 0 if constant."""
    n = len(first) - shift
    sum_a = sum_b = sum_aa = sum_bb = sum_ab = 0.0
    for i in range(n):
        a, b = first[i], second[i + shift]
        sum_a += a
        sum_b += b
        sum_aa += a * a
        sum_bb += b * b
        sum_ab += a * b
    square = (n * sum_aa - sum_a * sum_a) * (n * sum_bb - sum_b * sum_b)
    return (n * sum_ab - sum_a * sum_b) / math.sqrt(square) if square > 0.0 else 0.0
