"""Reservation of executors for large and long-waiting tasks (no I/O).

Load pattern: a task needs half of an executor or more, while a stream of small tasks
takes each piece of capacity as it becomes free. No executor ever has enough at once, so
the large task waits as long as the stream lasts.

The executor that is expected to have enough first is reserved. Until then, other tasks
start there only if they end before (backfill) or fit beside the large task.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass
from datetime import timedelta
from itertools import chain
from typing import Protocol, TypeVar

from .executor_choice import FreeCapacityIndex, can_place
from .executor_link import ExecutorLink
from .job_ranking import Rank
from .model import Resources, StepSpec
from .packing import is_large
from .progress import JobRun, StepRun, Task
from .run_estimates import RunEstimates
from .usage import Usage

MAX_AGE = timedelta(seconds=5)
"""A reservation is chosen anew after this, as expected run times may be wrong."""
EXECUTORS_PER_RESERVATION = 8
"""A pool has one reservation for each so many executors, or part of so many."""
LASTING_WAIT = timedelta(seconds=2)
"""Time after which a long-running task of any size gets a reservation."""
QUANTILE = 0.9
"""Quantile of run times by which executors become free and backfill ends."""
MAX_EXAMINED = 64
"""Executors whose runs are examined for a reservation, those with the most free cpu
first. It takes some 10 us for each run."""
MAX_ATTEMPTS = 4
"""Steps for which an executor is searched in a round."""
SCAN_INTERVAL = timedelta(milliseconds=200)
"""Least time between two searches for steps that need a reservation, in a pool."""

MAX_NEW_RANKS = 100
"""Jobs that are ranked in a round only to find the first one; 500 took 0.15 s. If more
are missing, the search goes on in the next round."""


class WaitingJob(Protocol):
    """A job with ready tasks and its rank, if that is known."""

    job: JobRun
    rank: Rank | None
    largest: Resources
    """The most that any of its ready tasks needs of each resource."""


Entry = TypeVar("Entry", bound=WaitingJob)


@dataclass(slots=True)
class Reservation:
    """An executor that is kept free for a task of a step."""

    step: StepRun
    made_at: timedelta
    ready_at: timedelta
    """When the executor is expected to have enough free capacity."""
    beside: Resources
    """What is expected to be left beside the task then."""


class Reservations:
    """The reservations of all pools during one term; they are not stored."""

    def __init__(self, usage: Usage, estimates: RunEstimates) -> None:
        self._usage = usage
        self._estimates = estimates
        self._by_pool: dict[str, dict[str, Reservation]] = {}
        """Reservations by pool and executor id."""
        self._now = timedelta(0)
        self._current: dict[str, Reservation] = {}
        """Those of the pool that is being planned."""
        self._searched_at: dict[str, timedelta] = {}
        self._waiting_since: dict[str, dict[str, timedelta]] = {}
        """When long-running steps were first seen waiting, by pool and name."""

    def begin(self, pool: str, links: Iterable[ExecutorLink], now: timedelta) -> None:
        """Begin a round of a pool with its usable executors; end what is over."""
        self._now = now
        self._current = self._by_pool.setdefault(pool, {})
        usable = {link.executor.executor_id for link in links}
        for executor_id, reservation in list(self._current.items()):
            over = (
                executor_id not in usable
                or now >= reservation.made_at + MAX_AGE
                or not is_ready(reservation.step)
            )
            if over:
                del self._current[executor_id]

    def allows(self, executor_id: str, task: Task) -> bool:
        """Tell whether a task may start on an executor in view of its reservation."""
        reservation = self._current.get(executor_id)
        if reservation is None or reservation.step is task.step:
            return True
        if self._ends_before(reservation, task.step):
            return True
        # The tasks of a gang are chosen before any of them is counted.
        spec = task.step.spec
        return not spec.gang and spec.executor_usage.fits(reservation.beside)

    def _ends_before(self, reservation: Reservation, step: StepRun) -> bool:
        if step.spec.lasting:
            return False
        run_ms = self._estimates.quantile_ms(step, QUANTILE)
        return self._now + timedelta(milliseconds=run_ms) <= reservation.ready_at

    def placed(self, executor_id: str, task: Task) -> None:
        """Count a task that was assigned: end its reservation or use up its rest."""
        reservation = self._current.get(executor_id)
        if reservation is not None and reservation.step is task.step:
            del self._current[executor_id]
            return
        if reservation is not None and not self._ends_before(reservation, task.step):
            reservation.beside -= task.step.spec.executor_usage
        for other_id, other in self._current.items():
            if other.step is task.step:
                # One of its tasks needs no reservation any more.
                del self._current[other_id]
                return

    def reserved(self, pool: str) -> Mapping[str, Reservation]:
        """Return the reservations of a pool by executor id."""
        return dict(self._by_pool.get(pool, {}))

    def may_search(self, pool: str, executors: int) -> bool:
        """Tell whether steps that need a reservation are to be looked for now."""
        last = self._searched_at.get(pool)
        if last is not None and self._now < last + SCAN_INTERVAL:
            return False
        if len(self._current) >= max_reservations(executors):
            return False
        self._searched_at[pool] = self._now
        return True

    def long_waiting(self, pool: str, steps: Iterable[StepRun]) -> list[StepRun]:
        """Return the long-running steps that have been waiting for too long.

        ``steps`` are all that are waiting in the pool.
        """
        before = self._waiting_since.get(pool, {})
        by_name = {step.name: step for step in steps}
        since = {name: before.get(name, self._now) for name in by_name}
        self._waiting_since[pool] = since
        return [
            step
            for name, step in by_name.items()
            if self._now - since[name] > LASTING_WAIT
        ]

    def reserve(
        self,
        steps: Iterable[StepRun],
        index: FreeCapacityIndex,
        may_be_placed: Callable[[StepRun], bool],
    ) -> list[tuple[str, Reservation]]:
        """Reserve executors for steps, which are sorted; return what is new."""
        links = index.links
        limit = max_reservations(len(links))
        made: list[tuple[str, Reservation]] = []
        attempts = 0
        for step in steps:
            for _ in range(len(step.waiting) - self._count(step)):
                if len(self._current) >= limit or attempts >= MAX_ATTEMPTS:
                    return made
                attempts += 1
                if not may_be_placed(step) or any(
                    can_place(link, step, self._usage) for link in links
                ):
                    break
                found = self._first_ready(step, links, index.is_slow)
                if found is None:
                    break
                self._current[found[0]] = found[1]
                made.append(found)
        return made

    def _count(self, step: StepRun) -> int:
        return sum(other.step is step for other in self._current.values())

    def _first_ready(
        self,
        step: StepRun,
        links: list[ExecutorLink],
        is_slow: Callable[[ExecutorLink], bool],
    ) -> tuple[str, Reservation] | None:
        """Return the executor that has enough for a step first, and its reservation."""
        candidates = [
            link
            for link in links
            if link.executor.executor_id not in self._current
            and _could_take(link, step, self._usage)
        ]
        candidates.sort(
            key=lambda ln: (
                -self._usage.free_cpu(ln.executor.executor_id, ln.executor.capacity)
            )
        )
        best: tuple[str, Reservation] | None = None
        best_score: tuple[bool, timedelta] | None = None
        for link in candidates[:MAX_EXAMINED]:
            ready = self._ready(link, step.spec)
            if ready is None:
                continue
            ready_at, beside = ready
            score = (is_slow(link), ready_at)
            if best_score is None or score < best_score:
                reservation = Reservation(step, self._now, ready_at, beside)
                best = link.executor.executor_id, reservation
                best_score = score
        return best

    def _ready(
        self, link: ExecutorLink, spec: StepSpec
    ) -> tuple[timedelta, Resources] | None:
        """Return when an executor has enough for a task, and what is left then.

        None if its long-running tasks leave too little.
        """
        executor = link.executor
        free = self._usage.free(executor.executor_id, executor.capacity)
        need = spec.executor_usage
        ends = sorted(
            (
                (self._end_of(task), task.step.spec.executor_usage)
                for placed in link.runs_by_name.values()
                if not (task := placed.task).step.spec.lasting
            ),
            key=lambda end: end[0],
        )
        ready_at = self._now
        for end, amount in ends:
            if need.fits(free):
                break
            free += amount
            ready_at = end
        return (ready_at, free - need) if need.fits(free) else None

    def _end_of(self, task: Task) -> timedelta:
        elapsed = max(self._now - task.started_at, timedelta(0))
        rest_ms = self._estimates.remaining_ms(task.step, elapsed, QUANTILE)
        return self._now + timedelta(milliseconds=rest_ms)


def max_reservations(executors: int) -> int:
    """Return how many executors of a pool may be reserved."""
    return -(-executors // EXECUTORS_PER_RESERVATION)


def is_ready(step: StepRun) -> bool:
    """Tell whether a step of a job that goes on has tasks that wait for capacity."""
    return bool(step.waiting) and not step.job.final


def large_steps_ahead(
    waiting: Collection[Entry],
    capacity: Resources,
    rank_of: Callable[[Entry], tuple[float, ...]],
    may_start: Callable[[StepRun], bool],
    now: timedelta,
) -> list[StepRun]:
    """Return the large steps that rank before all other waiting steps, highest first.

    A step is large if a task needs half of ``capacity``, that of an executor.
    """
    large = [entry for entry in waiting if is_large(entry.largest, capacity)]
    if not large:
        return []
    new_ranks = 0
    keys: list[tuple[float, ...]] = []
    ranked: list[tuple[tuple[float, ...], int, Entry]] = []
    for number, entry in enumerate(chain(large, waiting)):
        if entry.rank is None or now >= entry.rank.valid_until:
            new_ranks += 1
            if new_ranks > MAX_NEW_RANKS:
                return []
        key = rank_of(entry)
        if number < len(large):
            keys.append(key)
            ranked.append((key, number, entry))
            continue
        if number == len(large):
            first, last = min(keys), max(keys)
        if key < first and any(map(may_start, entry.job.ready_steps())):
            # Most searches of a pool with a long backlog end here.
            return []
        if key < last and not is_large(entry.largest, capacity):
            ranked.append((key, number, entry))
    heapq.heapify(ranked)
    found: list[StepRun] = []
    while ranked and len(found) < MAX_ATTEMPTS:
        _, _, entry = heapq.heappop(ranked)
        for step in entry.job.ready_steps():
            if not may_start(step):
                continue
            if not is_large(step.spec.executor_usage, capacity):
                return found
            found.append(step)
    return found


def _could_take(link: ExecutorLink, step: StepRun, usage: Usage) -> bool:
    """Tell whether an executor could take a task of a step if it were empty."""
    spec, executor = step.spec, link.executor
    if spec.label and spec.label not in executor.labels:
        return False
    on_executor = usage.tasks_of_step(executor.executor_id, step)
    if spec.max_per_executor and on_executor >= spec.max_per_executor:
        return False
    return spec.executor_usage.fits(executor.capacity)
