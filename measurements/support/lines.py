"""Linear fits of measured costs, with their residual and the value at a size."""

from __future__ import annotations

import gc
import math
import time
import tracemalloc
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from statistics import linear_regression
from typing import TypeVar

from measurements.figures import Figure, at_most

T = TypeVar("T")

MEGABYTE = 1_000_000
CORE_PERCENT = 4.0
MEMORY_MB = 32.0
CONTROL_BYTES_PER_SECOND = 2048.0
"""Limits of a daemon's control as stated in section 1.3 of the design document."""


@dataclass(frozen=True, slots=True)
class Line:
    """Least-squares line; ``residual`` is the largest one relative to its cost."""

    slope: float
    intercept: float
    residual: float

    def at(self, size: float) -> float:
        """Return the cost on the line."""
        return self.intercept + self.slope * size


def fit(cost_by_size: Mapping[float, float]) -> Line:
    """Fit a line through costs by size.

    >>> fit({1: 3.0, 2: 5.0, 3: 7.0})
    Line(slope=2.0, intercept=1.0, residual=0.0)
    """
    slope, intercept = linear_regression(list(cost_by_size), cost_by_size.values())
    residual = max(
        abs(intercept + slope * size - cost) / abs(cost) if cost else 0.0
        for size, cost in cost_by_size.items()
    )
    return Line(slope, intercept, residual)


def line_figures(
    name: str,
    unit: str,
    per: str,
    cost_by_size: Mapping[float, float],
    target: float,
    bound: float | None = None,
) -> Iterator[Figure]:
    """Yield the costs, the line and the line's value at the target size."""
    name = f"slopes.{name}"
    for size, cost in cost_by_size.items():
        yield Figure(name, cost, unit, deployment=f"{size:g} {per}")
    line = fit(cost_by_size)
    yield Figure(f"{name}.slope", line.slope, f"{unit} per {per}")
    yield Figure(f"{name}.intercept", line.intercept, unit)
    yield Figure(f"{name}.residual", line.residual * 100, "%")
    value, place = line.at(target), f"{target:g} {per}"
    if bound is None:
        yield Figure(f"{name}.at_target", value, unit, deployment=place)
    else:
        yield at_most(f"{name}.at_target", value, unit, bound, place)


def growth_exponent(cost_by_size: Mapping[float, float]) -> float:
    """Return the exponent of the cost's growth from the smallest to the largest size.

    >>> growth_exponent({10: 1.0, 100: 100.0})
    2.0
    """
    small, large = min(cost_by_size), max(cost_by_size)
    growth = math.log(cost_by_size[large] / cost_by_size[small])
    return growth / math.log(large / small)


def least_seconds(work: Callable[[], object], times: int = 7) -> float:
    """Return the least processor time of several calls, to exclude other load."""
    taken = []
    for _ in range(times):
        gc.collect()
        began = time.process_time()
        work()
        taken.append(time.process_time() - began)
    return min(taken)


def traced_bytes(build: Callable[[], T]) -> tuple[T, int]:
    """Return the result of ``build`` and the memory that it retains."""
    gc.collect()
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        made = build()
        gc.collect()
        return made, tracemalloc.get_traced_memory()[0] - before
    finally:
        tracemalloc.stop()
