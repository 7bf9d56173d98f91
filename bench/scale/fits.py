"""Least-squares fits of a figure against the fleet's size: a line and a power."""

from __future__ import annotations

import math
from dataclasses import dataclass

Points = list[tuple[float, float]]  # The size and the figure of each point.


@dataclass(frozen=True)
class Line:
    """figure = `start` + `slope` x size, by least squares. `error` is the largest relative deviation."""

    intercept: float
    slope: float
    error: float

    def at(self, size: float) -> float:
        """Returns the figure that the line gives for a size."""
        return self.intercept + self.slope * size


@dataclass(frozen=True)
class Power:
    """figure = `factor` x size ** `exponent`, by least squares of the logarithms.

    `error` is the largest relative deviation.
    """

    factor: float
    exponent: float
    error: float

    def at(self, size: float) -> float:
        """Returns the figure that the power gives for a size."""
        return float(self.factor * size**self.exponent)


def _least_squares(points: Points) -> tuple[float, float]:
    """Returns the intercept and the slope of the least-squares line."""
    count = len(points)
    mean_x, mean_y = sum(x for x, _ in points) / count, sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread if spread else 0.0
    return mean_y - slope * mean_x, slope


def _error(points: Points, fit: Line | Power) -> float:
    return max(abs(fit.at(x) - y) / abs(y) if y else abs(fit.at(x)) for x, y in points)


def fit_line(points: Points) -> Line:
    """Fits a line. ValueError without points."""
    if not points:
        raise ValueError("points: expected one or more, got no points")
    start, slope = _least_squares(points)
    return Line(start, slope, _error(points, Line(start, slope, 0.0)))


def fit_power(points: Points) -> Power | None:
    """Fits a power; None where a figure is not above 0."""
    if not points or min(y for _, y in points) <= 0.0:
        return None
    start, exponent = _least_squares([(math.log(x), math.log(y)) for x, y in points])
    fit = Power(math.exp(start), exponent, 0.0)
    return Power(fit.factor, fit.exponent, _error(points, fit))


def percentile(values: list[float], share: float) -> float:
    """Returns the smallest value that at least `share` of all values do not exceed; 0 without values."""
    if not values:
        return 0.0
    return sorted(values)[min(len(values) - 1, max(0, math.ceil(share * len(values)) - 1))]
