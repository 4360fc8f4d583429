"""Arithmetic on several resources for packing tasks onto executors (no I/O).

Load pattern: on some deployments the memory of a pool runs out before its cores, and
tasks of half an executor wait beside many small ones.
"""

from __future__ import annotations

import bisect
from collections.abc import Iterable

from .model import Resources


def smallest_of(amounts: Iterable[Resources]) -> Resources | None:
    """Return the smallest amount of each resource, None without amounts.

    >>> smallest_of([Resources(500, 4000), Resources(2000, 1000)])
    Resources(cpu_millis=500, memory_mb=1000, accelerators=0)
    """
    found = list(amounts)
    if not found:
        return None
    return Resources(
        min(amount.cpu_millis for amount in found),
        min(amount.memory_mb for amount in found),
        min(amount.accelerators for amount in found),
    )


class LargestFree:
    """The most of each resource that any executor has free, kept up to date."""

    def __init__(self, free: Iterable[Resources]) -> None:
        found = list(free)
        self._sorted = (
            sorted(amount.cpu_millis for amount in found),
            sorted(amount.memory_mb for amount in found),
            sorted(amount.accelerators for amount in found),
        )

    @property
    def amounts(self) -> Resources:
        """Return the largest amounts, 0 at least; -1 without executors."""
        if not self._sorted[0]:
            return Resources(-1, -1, -1)
        return Resources(*(max(0, values[-1]) for values in self._sorted))

    def add(self, free: Resources) -> None:
        """Add the free resources of an executor."""
        for values, value in zip(self._sorted, _values(free), strict=True):
            bisect.insort(values, value)

    def remove(self, free: Resources) -> None:
        """Remove the free resources of an executor."""
        for values, value in zip(self._sorted, _values(free), strict=True):
            del values[bisect.bisect_left(values, value)]


def _values(amount: Resources) -> tuple[int, int, int]:
    return amount.cpu_millis, amount.memory_mb, amount.accelerators
