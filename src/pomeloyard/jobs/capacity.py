"""Free capacity of workers, indexed so that a fitting one is found quickly."""

from __future__ import annotations

from collections.abc import Collection, Iterator
from dataclasses import dataclass, field

CORE_STEP = 0.25
"""Step of free cores in the index; learned sizes are multiples of it."""
MEMORY_LEVELS = 64
"""Steps into which a worker's free memory is divided in the index."""
CLOSED = (-1, -1)
"""Place in the index of workers that take no more tasks."""


@dataclass(frozen=True, slots=True)
class Demand:
    """Amounts of a job or of a worker; memory is in bytes."""

    cores: float
    memory_bytes: int
    accelerators: int = 0

    def within(self, other: Demand) -> bool:
        """Tell whether all amounts are at most the other's.

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
    """A worker as placement sees it; ``demands_by_job`` are its allocations."""

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
        """Recompute the free amounts; they are negative when overcommitted."""
        # Summed afresh each time, because adding and subtracting fractions of
        # cores in turn would let rounding errors grow without bound.
        demands = self.demands_by_job.values()
        cores = round(self.capacity.cores - sum(d.cores for d in demands), 6)
        self.free_cores = cores
        memory = sum(d.memory_bytes for d in demands)
        self.free_memory_bytes = self.capacity.memory_bytes - memory
        accelerators = sum(d.accelerators for d in demands)
        self.free_accelerators = self.capacity.accelerators - accelerators

    def open(self) -> bool:
        """Tell whether another task may be started at all."""
        full = self.max_tasks is not None and len(self.demands_by_job) >= self.max_tasks
        return self.accepts_work and not full

    def has_room(self, demand: Demand) -> bool:
        """Tell whether a demand fits now."""
        return (
            self.open()
            and demand.cores <= self.free_cores
            and demand.memory_bytes <= self.free_memory_bytes
            and demand.accelerators <= self.free_accelerators
        )


Shape = tuple[float, int, int, int]
"""Capacity of a worker and its free accelerators."""
Level = tuple[int, int]
"""Free cores and memory in steps."""
Shelf = dict[int, dict[int, dict[str, "Worker"]]]
"""Workers of one shape by step of free cores, step of free memory and name."""


class CapacityIndex:
    """Workers by pool, availability zone, shape and free capacity."""

    def __init__(self) -> None:
        self.workers_by_name: dict[str, Worker] = {}
        self._places: dict[str, tuple[str, str, Shape, Level]] = {}
        self._shelves: dict[tuple[str, str], dict[Shape, Shelf]] = {}
        self._orphans: dict[str, dict[str, Demand]] = {}

    def put(self, worker: Worker) -> None:
        """Add a worker or replace its description; allocations are kept."""
        known = self.workers_by_name.get(worker.name)
        if known is not None:
            worker.demands_by_job = known.demands_by_job
        else:
            worker.demands_by_job = self._orphans.pop(worker.name, {})
        self.workers_by_name[worker.name] = worker
        self._reindex(worker)

    def remove(self, name: str) -> None:
        """Remove a worker; its allocations are kept in case it comes back."""
        worker = self.workers_by_name.pop(name)
        self._unplace(worker)
        if worker.demands_by_job:
            self._orphans[name] = worker.demands_by_job

    def allocate(self, name: str, job_key: str, demand: Demand) -> None:
        """Set what a job takes of a worker."""
        worker = self.workers_by_name.get(name)
        if worker is None:
            self._orphans.setdefault(name, {})[job_key] = demand
            return
        worker.demands_by_job[job_key] = demand
        self._reindex(worker)

    def release(self, name: str, job_key: str) -> None:
        """Give back what a job took of a worker."""
        worker = self.workers_by_name.get(name)
        if worker is None:
            self._orphans.get(name, {}).pop(job_key, None)
        elif worker.demands_by_job.pop(job_key, None) is not None:
            self._reindex(worker)

    def shapes(self, pools: Collection[str]) -> set[Demand]:
        """Return the distinct capacities of all workers of some pools."""
        # Drained and set-aside workers are included: their state is temporary.
        return {
            Demand(*shape[:3])
            for (pool, _), shapes in self._shelves.items()
            if pool in pools
            for shape in shapes
        }

    def zones(self, pools: Collection[str]) -> set[str]:
        """Return the availability zones in which some pools have workers."""
        return {zone for pool, zone in self._shelves if pool in pools}

    def fitting(
        self, pools: Collection[str], zone: str, demand: Demand, limit: int
    ) -> list[Worker]:
        """Return up to ``limit`` workers with room, the tightest fits first.

        Workers without accelerators come first for a demand without any.
        """
        found: list[Worker] = []
        for worker in self._in_order(pools, zone, demand):
            if worker.has_room(demand):
                found.append(worker)
                if len(found) == limit:
                    break
        return found

    def _in_order(
        self, pools: Collection[str], zone: str, demand: Demand
    ) -> Iterator[Worker]:
        shapes = [
            (shape, shelf)
            for pool in pools
            for shape, shelf in self._shelves.get((pool, zone), {}).items()
            if shape[3] >= demand.accelerators
        ]
        if demand.accelerators:
            shapes.sort(key=lambda item: (item[0][3], item[0][2]))
        else:
            shapes.sort(key=lambda item: (item[0][2], item[0][3]))
        cores = _core_level(demand.cores)
        for shape, shelf in shapes:
            memory = _memory_level(demand.memory_bytes, shape[1])
            for core_level in sorted(level for level in shelf if level >= cores):
                by_memory = shelf[core_level]
                for level in sorted(level for level in by_memory if level >= memory):
                    # Only workers at the boundary of a step may not fit.
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
        level = CLOSED
        if worker.open():
            free = worker.free_memory_bytes
            level = (
                _core_level(worker.free_cores),
                _memory_level(free, capacity.memory_bytes),
            )
        place = (worker.pool, worker.availability_zone, shape, level)
        if self._places.get(worker.name) == place:
            self._bucket(place)[worker.name] = worker
            return
        self._unplace(worker)
        self._places[worker.name] = place
        self._bucket(place)[worker.name] = worker

    def _bucket(self, place: tuple[str, str, Shape, Level]) -> dict[str, Worker]:
        pool, zone, shape, (cores, memory) = place
        shapes = self._shelves.setdefault((pool, zone), {})
        by_memory = shapes.setdefault(shape, {}).setdefault(cores, {})
        return by_memory.setdefault(memory, {})

    def _unplace(self, worker: Worker) -> None:
        place = self._places.pop(worker.name, None)
        if place is None:
            return
        pool, zone, shape, (cores, memory) = place
        shapes = self._shelves[(pool, zone)]
        shelf = shapes[shape]
        del shelf[cores][memory][worker.name]
        if not shelf[cores][memory]:
            del shelf[cores][memory]
        if not shelf[cores]:
            del shelf[cores]
        if not shelf:
            del shapes[shape]
        if not shapes:
            del self._shelves[(pool, zone)]


def _core_level(cores: float) -> int:
    return int(cores // CORE_STEP)


def _memory_level(amount: int, capacity: int) -> int:
    """Return an amount in steps of the capacity, rounded down.

    >>> _memory_level(3, 128), _memory_level(128, 128)
    (1, 64)
    """
    return MEMORY_LEVELS * amount // capacity if capacity > 0 else 0
