"""Bounded distribution of positive values that follows drift (no I/O)."""

from __future__ import annotations

import math
from collections.abc import Sequence
from functools import cached_property

from ddsketch import LogCollapsingLowestDenseDDSketch

RELATIVE_ACCURACY = 0.02
MAX_BINS = 512
"""Bins of a sketch; with this accuracy they span a factor of 10^8."""
POINTS = 64
"""Quantiles that represent a distribution in decisions and records; the last one shows
a tail of 1 in 64."""
MIN_VALUE = 1e-9
MAX_VALUE = 1e9
"""Values beyond these count as these; run times of a week and their ratios to estimates
lie between them. A stored record may hold any number, and those near the limits of a
float lead to infinite durations or a logarithm of 0."""
SUMMARY_AGE = 1 / 8
"""New observations after which the quantiles are computed again, as a part of all. They
take 0.4 to 1.2 ms, and a pool at its peak ends a task every 2 ms."""
ONE_SIGMA = (0.16, 0.84)
"""Quantiles of a normal distribution one standard deviation from its mean."""


def _new_sketch() -> LogCollapsingLowestDenseDDSketch:
    return LogCollapsingLowestDenseDDSketch(RELATIVE_ACCURACY, MAX_BINS)


class Summary:
    """Quantiles of a distribution at one time."""

    def __init__(self, count: int, points: Sequence[float]) -> None:
        self.count = count
        self.points = tuple(points)
        """Sorted values at equally spaced probabilities; empty without observations."""

    def quantile(self, probability: float) -> float:
        """Return a quantile; there must be an observation.

        >>> Summary(4, (1.0, 2.0, 3.0, 4.0)).quantile(0.6)
        3.0
        """
        last = len(self.points) - 1
        return self.points[min(last, max(0, int(probability * len(self.points))))]

    @cached_property
    def mean(self) -> float:
        """Return the mean; there must be an observation."""
        return sum(self.points) / len(self.points)

    @cached_property
    def log_median(self) -> float:
        """Return the logarithm of the median; there must be an observation."""
        return math.log(self.quantile(0.5))

    @cached_property
    def log_spread(self) -> float:
        """Return the standard deviation of the logarithms, insensitive to the tails."""
        low, high = map(self.quantile, ONE_SIGMA)
        return (math.log(high) - math.log(low)) / 2

    def above(self, value: float) -> Sequence[float]:
        """Return the points above a value.

        >>> Summary(4, (1.0, 2.0, 3.0, 4.0)).above(2.0)
        (3.0, 4.0)
        """
        return tuple(point for point in self.points if point > value)


class Distribution:
    """The latest observations of a positive quantity.

    Two generations of ``generation_size`` observations are kept, so that between one
    and two times that number count and older ones are forgotten. Values above
    ``maximum`` count as this.
    """

    def __init__(self, generation_size: int, maximum: float = MAX_VALUE) -> None:
        self._generation_size = generation_size
        self._maximum = maximum
        self._current = _new_sketch()
        self._previous = _new_sketch()
        self._summary: Summary | None = None
        self._new_observations = 0
        """Observations that the summary does not show."""

    @property
    def count(self) -> int:
        """Return the number of observations that count."""
        return int(self._current.count + self._previous.count)

    def add(self, value: float) -> None:
        """Record an observation; other than positive finite values are ignored."""
        if not 0 < value < math.inf:
            return
        if self._current.count >= self._generation_size:
            self._previous, self._current = self._current, _new_sketch()
        self._current.add(self._bounded(value))
        self._new_observations += 1

    def summary(self) -> Summary:
        """Return the quantiles, which all but a few of the observations show."""
        summary = self._summary
        if summary is None or self._new_observations > SUMMARY_AGE * summary.count:
            merged = _new_sketch()
            merged.merge(self._previous)
            merged.merge(self._current)
            probabilities = ((i + 0.5) / POINTS for i in range(POINTS))
            values = (merged.get_quantile_value(p) for p in probabilities)
            points = [value for value in values if value is not None]
            summary = self._summary = Summary(self.count, points)
            self._new_observations = 0
        return summary

    def restore(self, count: int, points: Sequence[float]) -> None:
        """Merge a stored distribution into the previous generation."""
        restored = _new_sketch()
        weight = min(count, 2 * self._generation_size) / max(1, len(points))
        for point in points:
            if 0 < point < math.inf and weight > 0:
                restored.add(self._bounded(point), weight)
        restored.merge(self._previous)
        self._previous = restored
        self._summary = None

    def _bounded(self, value: float) -> float:
        return min(max(value, MIN_VALUE), self._maximum)
