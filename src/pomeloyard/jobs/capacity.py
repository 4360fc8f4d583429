"""Index of the workers' free capacity, for best-fit search."""

from __future__ import annotations

from collections.abc import Collection, Iterator
from dataclasses import dataclass, field

CORE_STEP = 0.25
"""Bucket width of free cores; learned core demands are multiples of it."""
MEMORY_LEVELS = 64
"""Number of buckets into which a worker's memory is divided."""
CLOSED_LEVEL = (-1, -1)
"""Level of workers that cannot start another task."""


@dataclass(frozen=True, slots=True)
class Demand:
    """Resources that a job needs or a worker has."""

    cores: float
    memory_bytes: int
    accelerators: int = 0

    def within(self, other: Demand) -> bool:
        """Tell whether no amount exceeds the other's.

        >>> Demand(1, 10).within(Demand(2, 10))
        True
        """
        return (
            self.cores <= other.cores
            and self.memory_bytes <= other.memory_bytes
            and self.accelerators <= other.accelerators
        )


@dataclass(slots=True)
class Worker:
    """A worker's capacity and its allocations, ``demands_by_job``."""

    name: str
    pool: str
    availability_zone: str
    rack: str
    capacity: Demand
    accepts_work: bool = True
    max_tasks: int | None = None
    demands_by_job: dict[str, Demand] = field(default_factory=dict)
    free_cores: float = 0.0
    free_memory_bytes: int = 0
    free_accelerators: int = 0

    def refresh(self) -> None:
        """Recompute the free resources; they are negative when overcommitted."""
        # Recomputed from the allocations, since rounding errors of incremental
        # updates with fractions of cores would accumulate.
        demands = self.demands_by_job.values()
        cores = round(self.capacity.cores - sum(d.cores for d in demands), 6)
        self.free_cores = cores
        memory = sum(d.memory_bytes for d in demands)
        self.free_memory_bytes = self.capacity.memory_bytes - memory
        accelerators = sum(d.accelerators for d in demands)
        self.free_accelerators = self.capacity.accelerators - accelerators

    def can_start_task(self) -> bool:
        """Tell whether the worker accepts another task of any size."""
        full = self.max_tasks is not None and len(self.demands_by_job) >= self.max_tasks
        return self.accepts_work and not full

    def fits(self, demand: Demand) -> bool:
        """Tell whether a task with this demand can start now."""
        return (
            self.can_start_task()
            and demand.cores <= self.free_cores
            and demand.memory_bytes <= self.free_memory_bytes
            and demand.accelerators <= self.free_accelerators
        )


Shape = tuple[float, int, int, int]
"""A worker's cores, memory and accelerators, and its free accelerators."""
Level = tuple[int, int]
"""Bucket numbers of free cores and free memory."""
Buckets = dict[int, dict[int, dict[str, "Worker"]]]
"""Workers of one shape by level of free cores, level of free memory and name."""


class CapacityIndex:
    """Workers by pool, availability zone, shape and free capacity."""

    def __init__(self) -> None:
        self.workers_by_name: dict[str, Worker] = {}
        self._positions: dict[str, tuple[str, str, Shape, Level]] = {}
        self._shapes_by_zone: dict[tuple[str, str], dict[Shape, Buckets]] = {}
        self._orphaned_demands: dict[str, dict[str, Demand]] = {}

    def put(self, worker: Worker) -> None:
        """Add a worker or replace its description; keep its allocations."""
        known = self.workers_by_name.get(worker.name)
        if known is not None:
            worker.demands_by_job = known.demands_by_job
        else:
            worker.demands_by_job = self._orphaned_demands.pop(worker.name, {})
        self.workers_by_name[worker.name] = worker
        self._reindex(worker)

    def remove(self, name: str) -> None:
        """Remove a worker, but keep its allocations in case it returns."""
        worker = self.workers_by_name.pop(name)
        self._remove_from_index(worker)
        if worker.demands_by_job:
            self._orphaned_demands[name] = worker.demands_by_job

    def allocate(self, name: str, job_key: str, demand: Demand) -> None:
        """Set a job's allocation on a worker."""
        worker = self.workers_by_name.get(name)
        if worker is None:
            self._orphaned_demands.setdefault(name, {})[job_key] = demand
            return
        worker.demands_by_job[job_key] = demand
        self._reindex(worker)

    def release(self, name: str, job_key: str) -> None:
        """Remove a job's allocation from a worker."""
        worker = self.workers_by_name.get(name)
        if worker is None:
            self._orphaned_demands.get(name, {}).pop(job_key, None)
        elif worker.demands_by_job.pop(job_key, None) is not None:
            self._reindex(worker)

    def shapes(self, pools: Collection[str]) -> set[Demand]:
        """Return the distinct capacities of the workers in some pools."""
        # Drained and quarantined workers count too: their state is temporary.
        return {
            Demand(*shape[:3])
            for (pool, _), shapes in self._shapes_by_zone.items()
            if pool in pools
            for shape in shapes
        }

    def zones(self, pools: Collection[str]) -> set[str]:
        """Return the availability zones in which some pools have workers."""
        return {zone for pool, zone in self._shapes_by_zone if pool in pools}

    def fitting(
        self, pools: Collection[str], zone: str, demand: Demand, limit: int
    ) -> list[Worker]:
        """Return up to ``limit`` workers that fit a demand, best fit first.

        For a demand without accelerators, workers without any come first.
        """
        found: list[Worker] = []
        for worker in self._in_order(pools, zone, demand):
            if worker.fits(demand):
                found.append(worker)
                if len(found) == limit:
                    break
        return found

    def _in_order(
        self, pools: Collection[str], zone: str, demand: Demand
    ) -> Iterator[Worker]:
        shapes = [
            (shape, buckets)
            for pool in pools
            for shape, buckets in self._shapes_by_zone.get((pool, zone), {}).items()
            if shape[3] >= demand.accelerators
        ]
        if demand.accelerators:
            shapes.sort(key=lambda item: (item[0][3], item[0][2]))
        else:
            shapes.sort(key=lambda item: (item[0][2], item[0][3]))
        cores = _core_level(demand.cores)
        for shape, buckets in shapes:
            memory = _memory_level(demand.memory_bytes, shape[1])
            for core_level in sorted(level for level in buckets if level >= cores):
                by_memory = buckets[core_level]
                for level in sorted(level for level in by_memory if level >= memory):
                    # The caller checks each worker: those in the lowest bucket may
                    # still be too small.
                    yield from by_memory[level].values()

    def _reindex(self, worker: Worker) -> None:
        worker.refresh()
        capacity = worker.capacity
        shape = (
            capacity.cores,
            capacity.memory_bytes,
            capacity.accelerators,
            worker.free_accelerators,
        )
        level = CLOSED_LEVEL
        if worker.can_start_task():
            free = worker.free_memory_bytes
            level = (
                _core_level(worker.free_cores),
                _memory_level(free, capacity.memory_bytes),
            )
        position = (worker.pool, worker.availability_zone, shape, level)
        if self._positions.get(worker.name) == position:
            self._bucket(position)[worker.name] = worker
            return
        self._remove_from_index(worker)
        self._positions[worker.name] = position
        self._bucket(position)[worker.name] = worker

    def _bucket(self, position: tuple[str, str, Shape, Level]) -> dict[str, Worker]:
        pool, zone, shape, (cores, memory) = position
        shapes = self._shapes_by_zone.setdefault((pool, zone), {})
        by_memory = shapes.setdefault(shape, {}).setdefault(cores, {})
        return by_memory.setdefault(memory, {})

    def _remove_from_index(self, worker: Worker) -> None:
        position = self._positions.pop(worker.name, None)
        if position is None:
            return
        pool, zone, shape, (cores, memory) = position
        shapes = self._shapes_by_zone[(pool, zone)]
        buckets = shapes[shape]
        del buckets[cores][memory][worker.name]
        if not buckets[cores][memory]:
            del buckets[cores][memory]
        if not buckets[cores]:
            del buckets[cores]
        if not buckets:
            del shapes[shape]
        if not shapes:
            del self._shapes_by_zone[(pool, zone)]


def _core_level(cores: float) -> int:
    return int(cores // CORE_STEP)


def _memory_level(amount: int, capacity: int) -> int:
    """Return the memory bucket of an amount, rounded down.

    >>> _memory_level(3, 128), _memory_level(128, 128)
    (1, 64)
    """
    return MEMORY_LEVELS * amount // capacity if capacity > 0 else 0
