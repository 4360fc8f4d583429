"""Which running tasks make room for an urgent job, the mildest way first."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
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


def choose_victims(
    demand: Demand, workers: Iterable[tuple[Worker, Sequence[RunningTask]]]
) -> Preemption | None:
    """Return the mildest preemption that lets a demand fit, or None.

    Takes time linear in the tasks (apart from sorting those of one worker).
    """
    best: Preemption | None = None
    for worker, tasks in workers:
        if not worker.open() or not demand.within(worker.capacity):
            continue
        found = _on_worker(demand, worker, tasks)
        if found is not None and (best is None or found.cost < best.cost):
            best = found
    return best


def _on_worker(
    demand: Demand, worker: Worker, tasks: Sequence[RunningTask]
) -> Preemption | None:
    missing = Demand(
        demand.cores - worker.free_cores,
        demand.memory_bytes - worker.free_memory_bytes,
        demand.accelerators - worker.free_accelerators,
    )
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
    freed = Demand(0.0, 0, 0)
    for victim in victims:
        freed = replace(
            freed,
            cores=freed.cores + victim.freed.cores,
            memory_bytes=freed.memory_bytes + victim.freed.memory_bytes,
            accelerators=freed.accelerators + victim.freed.accelerators,
        )
    return missing.within(replace(freed, cores=freed.cores + 1e-6))
