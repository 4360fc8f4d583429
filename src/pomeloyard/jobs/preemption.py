"""Selection of running tasks to preempt for an urgent job."""

from __future__ import annotations

import heapq
from collections import defaultdict
from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass, replace
from enum import IntEnum

from .capacity import Demand, Worker

THROTTLED_CORE_FRACTION = 0.5
"""Fraction of its cores that a throttled task keeps."""


class PreemptionMethod(IntEnum):
    """Methods of freeing capacity, the least disruptive first."""

    CHECKPOINT = 1
    THROTTLE = 2
    STOP = 3


@dataclass(frozen=True, slots=True)
class RunningTask:
    """A task that may be preempted; never an urgent one.

    ``over_share`` orders teams by how far they exceed their fair share.
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
    """A task to preempt, the method and the resources that this frees."""

    task: RunningTask
    method: PreemptionMethod
    freed: Demand


@dataclass(frozen=True, slots=True)
class Preemption:
    """A worker on which an urgent job fits once the victims are preempted."""

    worker: str
    victims: tuple[Victim, ...]

    @property
    def cost(self) -> tuple[float, ...]:
        """Return the sort key: method, lost work, number of victims, share."""
        if not self.victims:
            return (0.0, 0.0, 0.0, 0.0)
        harshest = max(v.method for v in self.victims)
        # Checkpointing loses no work; stopping loses all work since the start.
        lost = sum(
            v.task.run_seconds
            for v in self.victims
            if v.method is PreemptionMethod.STOP
        )
        min_over_share = min(v.task.over_share for v in self.victims)
        return (float(harshest), lost, float(len(self.victims)), -min_over_share)


def options_for(task: RunningTask) -> list[Victim]:
    """Return the ways to preempt a task; only an idempotent task can be stopped."""
    found: list[Victim] = []
    if task.checkpointable:
        found.append(Victim(task, PreemptionMethod.CHECKPOINT, task.demand))
    elif not task.throttled:
        freed = Demand(task.demand.cores * (1 - THROTTLED_CORE_FRACTION), 0, 0)
        found.append(Victim(task, PreemptionMethod.THROTTLE, freed))
    if task.idempotent and not task.checkpointable:
        found.append(Victim(task, PreemptionMethod.STOP, task.demand))
    return found


class VictimChooser:
    """Chooses victims for several urgent jobs in one step.

    The cheapest preemption on each worker is computed once per demand, and again
    only for workers that were chosen, so that n workers and m jobs take
    n log n + m log n steps instead of m * n. Each worker is passed with the tasks
    that may be preempted and the victims whose preemption is in progress.
    """

    def __init__(
        self, workers: Iterable[tuple[Worker, Sequence[RunningTask], Sequence[Victim]]]
    ) -> None:
        self._workers: dict[str, tuple[Worker, Sequence[RunningTask]]] = {}
        self._pending_victims: dict[str, list[Victim]] = {}
        for worker, tasks, pending in workers:
            self._workers[worker.name] = (worker, tasks)
            self._pending_victims[worker.name] = list(pending)
        self._versions: dict[str, int] = defaultdict(int)
        self._heaps: dict[
            tuple[Demand, Collection[str]],
            list[tuple[tuple[float, ...], str, int, Preemption]],
        ] = {}

    def choose(
        self,
        demand: Demand,
        pools: Collection[str],
        excluded_workers: Collection[str] = (),
    ) -> Preemption | None:
        """Return the least disruptive preemption that fits a demand, or None."""
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
            _, name, version, preemption = entry
            if version != self._versions[name]:
                self._push(heap, demand, name)
            elif name in excluded_workers:
                skipped.append(entry)
            else:
                chosen = preemption
        for entry in skipped:
            heapq.heappush(heap, entry)
        return chosen

    def accept(self, preemption: Preemption) -> None:
        """Exclude a preemption's victims; call it after reserving the capacity."""
        worker, tasks = self._workers[preemption.worker]
        keys = {victim.task.job_key for victim in preemption.victims}
        remaining = [task for task in tasks if task.job_key not in keys]
        self._workers[preemption.worker] = (worker, remaining)
        self._pending_victims[preemption.worker].extend(preemption.victims)
        self._versions[preemption.worker] += 1

    def _push(self, heap: list, demand: Demand, name: str) -> None:
        worker, tasks = self._workers[name]
        if not worker.can_start_task() or not demand.within(worker.capacity):
            return
        found = _cheapest_on_worker(demand, worker, tasks, self._pending_victims[name])
        if found is not None:
            heapq.heappush(heap, (found.cost, name, self._versions[name], found))


def _cheapest_on_worker(
    demand: Demand,
    worker: Worker,
    tasks: Sequence[RunningTask],
    pending: Sequence[Victim],
) -> Preemption | None:
    pending_total = _total_freed(pending)
    missing = Demand(
        demand.cores - worker.free_cores - pending_total.cores,
        demand.memory_bytes - worker.free_memory_bytes - pending_total.memory_bytes,
        demand.accelerators - worker.free_accelerators - pending_total.accelerators,
    )
    if _covers((), missing):
        return Preemption(worker.name, ())
    options = [victim for task in tasks for victim in options_for(task)]
    for allowed in PreemptionMethod:
        victims = _minimal_victims(missing, [v for v in options if v.method <= allowed])
        if victims:
            return Preemption(worker.name, tuple(victims))
    return None


def _minimal_victims(missing: Demand, options: list[Victim]) -> list[Victim] | None:
    """Return a minimal set of victims that frees the missing amounts, or None."""
    options.sort(
        key=lambda v: (v.method, -v.task.over_share, v.task.run_seconds, v.task.job_key)
    )
    chosen: dict[str, Victim] = {}
    for victim in options:
        if _covers(chosen.values(), missing):
            break
        # Stopping a task replaces throttling the same task.
        chosen.pop(victim.task.job_key, None)
        chosen[victim.task.job_key] = victim
    if not _covers(chosen.values(), missing):
        return None
    for key in reversed(list(chosen)):
        rest = [victim for k, victim in chosen.items() if k != key]
        if _covers(rest, missing):
            del chosen[key]
    return list(chosen.values())


def _covers(victims: Iterable[Victim], missing: Demand) -> bool:
    freed = _total_freed(victims)
    return missing.within(replace(freed, cores=freed.cores + 1e-6))


def _total_freed(victims: Iterable[Victim]) -> Demand:
    cores, memory, accelerators = 0.0, 0, 0
    for victim in victims:
        cores += victim.freed.cores
        memory += victim.freed.memory_bytes
        accelerators += victim.freed.accelerators
    return Demand(cores, memory, accelerators)
