"""Percentiles, slopes and how a load grows with the size; no input or output."""

from __future__ import annotations

import math
from collections.abc import Sequence

from attrs import frozen


class TooFewValues(ValueError):
    """A figure cannot be worked out from so few values."""


@frozen
class Spread:
    """Median, 99th percentile and worst of some values."""

    p50: float
    p99: float
    worst: float
    count: int


@frozen
class Line:
    """A straight line through measurements: `fixed + slope * size`."""

    fixed: float
    slope: float

    def at(self, size: float) -> float:
        """The value that the line gives at a size."""
        return self.fixed + self.slope * size


@frozen
class Verdict:
    """A figure beside what is allowed."""

    value: float
    allowed: float

    @property
    def over(self) -> bool:
        """Whether the figure is above the allowance."""
        return self.value > self.allowed

    @property
    def share(self) -> float:
        """The figure as a part of the allowance."""
        return self.value / self.allowed


def percentile(values: Sequence[float], share: float) -> float:
    """The nearest-rank percentile: the smallest value that `share` of all values do not exceed."""
    if not values:
        raise TooFewValues("no values")
    if not 0 < share <= 1:
        raise ValueError(f"{share} is no share")
    rank = math.ceil(share * len(values))
    return sorted(values)[rank - 1]


def spread(values: Sequence[float]) -> Spread:
    """The percentiles that are reported of a distribution."""
    return Spread(percentile(values, 0.5), percentile(values, 0.99), max(values), len(values))


def fit_line(sizes: Sequence[float], values: Sequence[float]) -> Line:
    """The line of least squares through measurements at several sizes."""
    if len(sizes) != len(values):
        raise ValueError("as many values as sizes are needed")
    if len(set(sizes)) < 2:
        raise TooFewValues("two different sizes are needed")
    mean_size = sum(sizes) / len(sizes)
    mean_value = sum(values) / len(values)
    spread_of_sizes = sum((size - mean_size) ** 2 for size in sizes)
    together = sum(
        (size - mean_size) * (value - mean_value) for size, value in zip(sizes, values, strict=True)
    )
    slope = together / spread_of_sizes
    return Line(mean_value - slope * mean_size, slope)


def growth_exponent(sizes: Sequence[float], values: Sequence[float]) -> float:
    """The power of the size with which a value grows: 0 stays, 1 is linear, 2 is quadratic."""
    if min(*sizes, *values) <= 0:
        raise ValueError("only positive sizes and values have an exponent")
    line = fit_line([math.log(size) for size in sizes], [math.log(value) for value in values])
    return line.slope


def per_unit(before: float, after: float, units: float) -> float:
    """What one unit adds, from a total before and after `units` of them."""
    if units <= 0:
        raise ValueError("at least one unit is needed")
    return (after - before) / units
