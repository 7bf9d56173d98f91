"""How a figure grows with the size of the fleet: a line, a power, and where each leads."""

from __future__ import annotations

import math
from dataclasses import dataclass

Points = list[tuple[float, float]]  # size, figure


@dataclass(frozen=True)
class Line:
    """figure = `start` + `slope` x size, by least squares. `error`: the largest share that it is off."""

    start: float
    slope: float
    error: float

    def at(self, size: float) -> float:
        """The figure that the line gives."""
        return self.start + self.slope * size


@dataclass(frozen=True)
class Power:
    """figure = `factor` x size ** `exponent`, by least squares of the logarithms; `error` as of a line."""

    factor: float
    exponent: float
    error: float

    def at(self, size: float) -> float:
        """The figure that the power gives."""
        return float(self.factor * size**self.exponent)


def _straight(points: Points) -> tuple[float, float]:
    """Where a straight line through points starts, and its slope."""
    count = len(points)
    mean_x, mean_y = sum(x for x, _ in points) / count, sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread if spread else 0.0
    return mean_y - slope * mean_x, slope


def _error(points: Points, fit: Line | Power) -> float:
    return max(abs(fit.at(x) - y) / abs(y) if y else abs(fit.at(x)) for x, y in points)


def line(points: Points) -> Line:
    """The best line. ValueError without points."""
    if not points:
        raise ValueError("found no points, wanted one or more")
    start, slope = _straight(points)
    return Line(start, slope, _error(points, Line(start, slope, 0.0)))


def power(points: Points) -> Power | None:
    """The best power; None where a figure is not above 0."""
    if not points or min(y for _, y in points) <= 0.0:
        return None
    start, exponent = _straight([(math.log(x), math.log(y)) for x, y in points])
    fit = Power(math.exp(start), exponent, 0.0)
    return Power(fit.factor, fit.exponent, _error(points, fit))


def percentile(values: list[float], share: float) -> float:
    """The smallest value that at least `share` of all values do not exceed; 0 without values."""
    if not values:
        return 0.0
    return sorted(values)[min(len(values) - 1, max(0, math.ceil(share * len(values)) - 1))]
