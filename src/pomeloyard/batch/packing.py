"""Arithmetic on several resources for packing tasks onto executors (no I/O).

Load pattern: on some deployments the memory of a pool runs out before its cores, and
tasks of half an executor wait beside many small ones.
"""

from __future__ import annotations

import bisect
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING

from .model import NO_RESOURCES, Resources, StepSpec
from .peaks import NO_ARRIVALS, ArrivalRate

if TYPE_CHECKING:
    from .executor_link import ExecutorLink


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


def largest_of(amounts: Iterable[Resources]) -> Resources:
    """Return the largest amount of each resource, nothing without amounts."""
    largest = NO_RESOURCES
    for amount in amounts:
        largest = Resources(*map(max, _values(largest), _values(amount)))
    return largest


def is_large(need: Resources, capacity: Resources) -> bool:
    """Tell whether an amount is at least half of an executor by any resource."""
    return (
        0 < capacity.cpu_millis <= 2 * need.cpu_millis
        or 0 < capacity.memory_mb <= 2 * need.memory_mb
        or 0 < capacity.accelerators <= 2 * need.accelerators
    )


def mean_of(amounts: Iterable[Resources]) -> Resources:
    """Return the mean amount of each resource, nothing without amounts."""
    found = list(amounts)
    total = sum(found, NO_RESOURCES)
    return Resources(*(value // max(1, len(found)) for value in _values(total)))


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


@dataclass(frozen=True, slots=True)
class Work:
    """Work by resource, in core-seconds and memory-seconds."""

    core_seconds: float = 0.0
    memory_gb_seconds: float = 0.0

    def __add__(self, other: Work) -> Work:
        return Work(
            self.core_seconds + other.core_seconds,
            self.memory_gb_seconds + other.memory_gb_seconds,
        )

    def dominant(self, cores_per_gb: float) -> float:
        """Return the larger of both in core-seconds.

        The sums are compared, not single tasks: tasks that need much cpu and tasks
        that need much memory share executors.
        """
        return max(self.core_seconds, self.memory_gb_seconds * cores_per_gb)


def work_of(spec: StepSpec, tasks: int, run_ms: float) -> Work:
    """Return the work of some tasks of a step that run for ``run_ms`` each."""
    return Work(
        tasks * (spec.cpu_millis * run_ms / 1_000_000),
        tasks * (spec.memory_mb * run_ms / 1_000_000),
    )


def cores_per_gb(capacity: Resources) -> float:
    """Return how many cores an amount of executors has for each GB, 0 if unknown.

    Memory times this is how many cores become unusable by its use.
    """
    if capacity.memory_mb <= 0:
        return 0.0
    return capacity.cpu_millis / capacity.memory_mb


def cores_per_gb_by_pool(links: Iterable[ExecutorLink]) -> Mapping[str, float]:
    """Return the cores for each GB of the executors of each pool."""
    capacities: dict[str, Resources] = {}
    for link in links:
        if link.usable or link.cordoned_for_move:
            pool = link.executor.service
            before = capacities.get(pool, NO_RESOURCES)
            capacities[pool] = before + link.executor.capacity
    return {pool: cores_per_gb(capacity) for pool, capacity in capacities.items()}


@dataclass(frozen=True, slots=True)
class ShortTaskLoad:
    """Load of a pool's short tasks by one resource, in cores."""

    rate: ArrivalRate | None
    busy_cores: float
    """In use by short tasks."""
    capacity_cores: float
    """Not used by long-running tasks."""

    def missing_cores(self, lead: timedelta) -> float:
        """Return the cores that are missing after ``lead``, negative if some remain."""
        rate = self.rate or NO_ARRIVALS
        return rate.cores_after(lead, self.busy_cores) - self.capacity_cores


def dominant_load(
    by_cpu: ShortTaskLoad, by_memory: ShortTaskLoad, lead: timedelta
) -> ShortTaskLoad:
    """Return the load by the resource that will be missing most, cpu if none will."""
    missing = by_memory.missing_cores(lead)
    if missing > 0 and missing > by_cpu.missing_cores(lead):
        return by_memory
    return by_cpu
