"""Which running tasks make room for an urgent job, the mildest way first."""

from __future__ import annotations

import heapq
from collections import defaultdict
from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass, replace
from enum import IntEnum

from .capacity import Demand, Worker

THROTTLED_SHARE = 0.5
"""Share of its cores that a throttled task keeps."""


class Mildness(IntEnum):
    """Ways to free capacity, the mildest first."""

    CHECKPOINT = 1
    THROTTLE = 2
    STOP = 3


@dataclass(frozen=True, slots=True)
class RunningTask:
    """A task that may have to make room; never an urgent one.

    ``over_share`` orders teams by how far they are over their share.
    """

    job_key: str
    demand: Demand
    checkpointable: bool
    idempotent: bool
    throttled: bool
    over_share: float
    run_seconds: float


@dataclass(frozen=True, slots=True)
class Victim:
    """A task that makes room, how, and what it frees."""

    task: RunningTask
    way: Mildness
    freed: Demand


@dataclass(frozen=True, slots=True)
class Preemption:
    """A worker on which an urgent job fits once the victims have made room."""

    worker: str
    victims: tuple[Victim, ...]

    @property
    def cost(self) -> tuple[float, ...]:
        """Return the order of choice: mildest way, fewest and cheapest victims."""
        if not self.victims:
            return (0.0, 0.0, 0.0, 0.0)
        worst = max(v.way for v in self.victims)
        # A checkpointed task loses no work; a stopped one all that it has done.
        lost = sum(v.task.run_seconds for v in self.victims if v.way is Mildness.STOP)
        least_over = min(v.task.over_share for v in self.victims)
        return (float(worst), lost, float(len(self.victims)), -least_over)


def ways(task: RunningTask) -> list[Victim]:
    """Return how a task can make room; a task that must run on has no stop."""
    found: list[Victim] = []
    if task.checkpointable:
        found.append(Victim(task, Mildness.CHECKPOINT, task.demand))
    elif not task.throttled:
        freed = Demand(task.demand.cores * (1 - THROTTLED_SHARE), 0, 0)
        found.append(Victim(task, Mildness.THROTTLE, freed))
    if task.idempotent and not task.checkpointable:
        found.append(Victim(task, Mildness.STOP, task.demand))
    return found


class VictimChooser:
    """Chooses victims for several urgent jobs in one step.

    The cheapest preemption of each worker is found once for each size of job and
    again only for workers that were chosen, so that n workers and m jobs cost
    n log n + m log n and not m * n. Each worker comes with the tasks that may
    have to make room and the victims that are already doing so.
    """

    def __init__(
        self, workers: Iterable[tuple[Worker, Sequence[RunningTask], Sequence[Victim]]]
    ) -> None:
        self._workers: dict[str, tuple[Worker, Sequence[RunningTask]]] = {}
        self._leaving: dict[str, list[Victim]] = {}
        for worker, tasks, leaving in workers:
            self._workers[worker.name] = (worker, tasks)
            self._leaving[worker.name] = list(leaving)
        self._used: dict[str, int] = defaultdict(int)
        self._heaps: dict[
            tuple[Demand, Collection[str]],
            list[tuple[tuple[float, ...], str, int, Preemption]],
        ] = {}

    def choose(
        self, demand: Demand, pools: Collection[str], avoid: Collection[str] = ()
    ) -> Preemption | None:
        """Return the mildest preemption that lets a demand fit, or None."""
        heap = self._heaps.get((demand, pools))
        if heap is None:
            heap = self._heaps[(demand, pools)] = []
            for worker, _ in self._workers.values():
                if worker.pool in pools:
                    self._push(heap, demand, worker.name)
        skipped = []
        chosen: Preemption | None = None
        while heap and chosen is None:
            entry = heapq.heappop(heap)
            _, name, used, preemption = entry
            if used != self._used[name]:
                self._push(heap, demand, name)
            elif name in avoid:
                skipped.append(entry)
            else:
                chosen = preemption
        for entry in skipped:
            heapq.heappush(heap, entry)
        return chosen

    def use(self, preemption: Preemption) -> None:
        """Take a preemption's tasks out of the choice; room must be held already."""
        worker, tasks = self._workers[preemption.worker]
        keys = {victim.task.job_key for victim in preemption.victims}
        left = [task for task in tasks if task.job_key not in keys]
        self._workers[preemption.worker] = (worker, left)
        self._leaving[preemption.worker].extend(preemption.victims)
        self._used[preemption.worker] += 1

    def _push(self, heap: list, demand: Demand, name: str) -> None:
        worker, tasks = self._workers[name]
        if not worker.open() or not demand.within(worker.capacity):
            return
        found = _on_worker(demand, worker, tasks, self._leaving[name])
        if found is not None:
            heapq.heappush(heap, (found.cost, name, self._used[name], found))


def _on_worker(
    demand: Demand,
    worker: Worker,
    tasks: Sequence[RunningTask],
    leaving: Sequence[Victim],
) -> Preemption | None:
    coming = _sum(leaving)
    missing = Demand(
        demand.cores - worker.free_cores - coming.cores,
        demand.memory_bytes - worker.free_memory_bytes - coming.memory_bytes,
        demand.accelerators - worker.free_accelerators - coming.accelerators,
    )
    if _freed((), missing):
        return Preemption(worker.name, ())
    options = [victim for task in tasks for victim in ways(task)]
    for allowed in Mildness:
        victims = _enough(missing, [v for v in options if v.way <= allowed])
        if victims:
            return Preemption(worker.name, tuple(victims))
    return None


def _enough(missing: Demand, options: list[Victim]) -> list[Victim] | None:
    """Return a minimal set of victims that frees what is missing, or None."""
    options.sort(
        key=lambda v: (v.way, -v.task.over_share, v.task.run_seconds, v.task.job_key)
    )
    chosen: dict[str, Victim] = {}
    for victim in options:
        if _freed(chosen.values(), missing):
            break
        # A stop of a task that would only be throttled replaces the throttling.
        chosen.pop(victim.task.job_key, None)
        chosen[victim.task.job_key] = victim
    if not _freed(chosen.values(), missing):
        return None
    for key in reversed(list(chosen)):
        rest = [victim for k, victim in chosen.items() if k != key]
        if _freed(rest, missing):
            del chosen[key]
    return list(chosen.values())


def _freed(victims: Iterable[Victim], missing: Demand) -> bool:
    freed = _sum(victims)
    return missing.within(replace(freed, cores=freed.cores + 1e-6))


def _sum(victims: Iterable[Victim]) -> Demand:
    cores, memory, accelerators = 0.0, 0, 0
    for victim in victims:
        cores += victim.freed.cores
        memory += victim.freed.memory_bytes
        accelerators += victim.freed.accelerators
    return Demand(cores, memory, accelerators)
