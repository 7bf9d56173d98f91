"""How old reports are, seen by how they follow one's own calls. Without I/O.

What a call waited shows in its answer's time at once, with noise; what reports say of the same queue shows
later by their age. Both are gathered in bins of `BIN_MS`; the shift at which the second follows the first
most closely (Pearson's correlation over the last bins) is the age. Where nothing moves nothing can be told,
and the last finding stands until the waits move again: steady reports do no harm, however old.

    young -> late     calls follow closely at a shift of LATE_MS and more, and not at all at none
    late -> young     they follow closely at no shift; that nothing can be told ends nothing
"""

from __future__ import annotations

import math

BIN_MS = 250.0
BINS = 40
MAX_SHIFT = 24  # bins: six seconds
EACH_MS = 500.0  # how often it is looked
MIN_FILLED = 12  # bins with calls
MOVES = 0.3  # references that both have to move by, as a standard deviation
CLOSE, CLOSER = 0.6, 0.15  # a correlation that tells something, and how much above the one of no shift
APART = 0.4  # a correlation of no shift, under which reports may be late
LATE_MS = 1000.0


class Age:
    """The age of one zone's reports."""

    __slots__ = ("calls", "first", "late", "look_ms", "ms", "own", "told")

    def __init__(self) -> None:
        self.first = 0  # the number of the oldest bin
        self.own = [0.0] * BINS
        self.told = [0.0] * BINS
        self.calls = [0] * BINS
        self.look_ms = 0.0
        self.ms, self.late = 0.0, False

    def add(self, now: float, own_ms: float, told_ms: float, reference_ms: float) -> None:
        """An answer: what its call waited, and what the report that came with it says of the wait."""
        number = int(now // BIN_MS)
        if number >= self.first + BINS:
            if now >= self.look_ms:
                self.look_ms = now + EACH_MS
                self._look(reference_ms)
            self._turn(number)
        at = number % BINS
        self.calls[at] += 1
        part = 1.0 / self.calls[at]
        self.own[at] += (own_ms - self.own[at]) * part
        self.told[at] += (told_ms - self.told[at]) * part

    def _turn(self, number: int) -> None:
        """Begin new bins: those without calls are empty."""
        begin = max(self.first + BINS, number - BINS + 1)
        for k in range(begin, number + 1):
            self.calls[k % BINS] = 0
            self.own[k % BINS] = self.told[k % BINS] = 0.0
        self.first = number - BINS + 1

    def _look(self, reference_ms: float) -> None:
        """Find the shift at which reports follow the calls most closely."""
        own: list[float] = []
        told: list[float] = []
        filled, last_own, last_told = 0, -1.0, -1.0
        for k in range(self.first, self.first + BINS):
            at = k % BINS
            if self.calls[at]:
                last_own, last_told = self.own[at], self.told[at]
                filled += 1
            if last_own >= 0.0:  # a bin without calls is as the one before it
                own.append(last_own)
                told.append(last_told)
        if filled < MIN_FILLED or spread(own) < MOVES * reference_ms or (spread(told) < MOVES * reference_ms):
            return
        none = best = correlation(own, told, 0)
        shift = 0
        for k in range(1, min(MAX_SHIFT, len(own) // 2) + 1):
            found = correlation(own, told, k)
            if found > best:
                best, shift = found, k
        if best >= CLOSE and none < best - CLOSER:
            found_ms = shift * BIN_MS
            if found_ms < LATE_MS or none < APART:
                self.ms = found_ms
                self.late = found_ms >= LATE_MS
        elif none >= CLOSE:
            self.ms, self.late = 0.0, False


def spread(values: list[float]) -> float:
    """The standard deviation."""
    mean = sum(values) / len(values)
    total = 0.0
    for value in values:
        total += (value - mean) * (value - mean)
    return math.sqrt(total / len(values))


def correlation(first: list[float], second: list[float], shift: int) -> float:
    """Pearson's, of the first with the second `shift` places later; 0 where one of them does not move."""
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
