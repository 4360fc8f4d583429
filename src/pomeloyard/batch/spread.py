"""Which executor runs a task; pure.

Answers peaks in which a pool is full: tasks are packed on few executors, so that
large tasks still find room, and go first to those that are not slow. Lasting tasks
share VMs, so that an idle pool needs few, but only as many of a step as upkeep can move
off one by one; they are spread over racks, as racks fail as a whole. A peak asks for
hundreds of tasks at once of a hundred executors that are nearly all full, so executors
are kept in the order of their free cpu.
"""

from __future__ import annotations

import bisect
import sys
from collections.abc import Collection, Iterable, Iterator
from datetime import timedelta

from .learning import SLOW_FACTOR, Learning
from .link import ExecutorLink
from .model import StepSpec
from .progress import StepRun, Task
from .usage import Usage

ANY_CPU = -sys.maxsize
"""For tasks whose cpu is not counted."""


SHARED_LASTING = 2
"""Tasks of a lasting step on one VM: with each more, its upkeep takes the restart of a
task longer, and the loss of one VM takes another share of the step."""

_Place = tuple[int, str]


def may_run(link: ExecutorLink, step: StepRun, usage: Usage) -> bool:
    """Tell whether a task of a step may be placed on an executor now."""
    spec = step.spec
    executor = link.executor
    if spec.label and spec.label not in executor.labels:
        return False
    if not usage.fits(executor.executor_id, executor.capacity, spec):
        return False
    on_executor = usage.tasks_of_step(executor.executor_id, step)
    return not spec.max_per_executor or on_executor < spec.max_per_executor


def lasting_on_one_vm(spec: StepSpec) -> int:
    """Return how many tasks of a lasting step should share a VM.

    As many as may be away need not be moved off one by one.
    """
    shared = max(SHARED_LASTING, spec.may_be_away)
    return min(shared, spec.max_per_executor) if spec.max_per_executor else shared


class Rooms:
    """Usable executors of a pool by the cpu that they have free.

    ``usage`` may change only through ``fill`` and ``clear`` while this is in use.
    """

    def __init__(
        self,
        links: Iterable[ExecutorLink],
        usage: Usage,
        learning: Learning,
        now: timedelta,
    ) -> None:
        self._usage = usage
        self._links_by_id = {link.executor.executor_id: link for link in links}
        self._slow = {
            executor_id: learning.slowness(executor_id, now) >= SLOW_FACTOR
            for executor_id in self._links_by_id
        }
        self._orders: tuple[list[_Place], list[_Place]] = ([], [])
        """Free cpu and id of the sound and of the slow executors, fullest first."""
        for executor_id in self._links_by_id:
            self._order_of(executor_id).append(self._place_of(executor_id))
        for order in self._orders:
            order.sort()

    @property
    def links(self) -> list[ExecutorLink]:
        """Return all executors."""
        return list(self._links_by_id.values())

    def has(self, link: ExecutorLink) -> bool:
        """Tell whether an executor is one of these."""
        return self._links_by_id.get(link.executor.executor_id) is link

    @property
    def most_free_cpu(self) -> int:
        """Return the most cpu that one executor has free; -1 without executors."""
        return max((order[-1][0] for order in self._orders if order), default=-1)

    def fill(self, link: ExecutorLink, task: Task) -> None:
        """Count a task that was placed on an executor."""
        executor = link.executor
        before = self._place_of(executor.executor_id)
        self._usage.add(executor.executor_id, executor.rack, task)
        self._move(before)

    def clear(self, link: ExecutorLink, task: Task) -> None:
        """Count a task no longer."""
        executor = link.executor
        before = self._place_of(executor.executor_id)
        self._usage.remove(executor.executor_id, executor.rack, task)
        self._move(before)

    def _move(self, before: _Place) -> None:
        order = self._order_of(before[1])
        del order[bisect.bisect_left(order, before)]
        bisect.insort(order, self._place_of(before[1]))

    def _order_of(self, executor_id: str) -> list[_Place]:
        return self._orders[self._slow[executor_id]]

    def _place_of(self, executor_id: str) -> _Place:
        capacity = self._links_by_id[executor_id].executor.capacity
        return self._usage.free_cpu(executor_id, capacity), executor_id

    def _with_cpu(self, cpu_millis: int) -> Iterator[ExecutorLink]:
        """Return the executors with that much free cpu: sound ones, fullest first."""
        for order in self._orders:
            for _, executor_id in order[bisect.bisect_left(order, (cpu_millis, "")) :]:
                yield self._links_by_id[executor_id]

    def choose(
        self, task: Task, rack: str = "", among: Collection[str] | None = None
    ) -> ExecutorLink | None:
        """Return the best executor for a task, or None.

        ``rack`` is preferred before all else: that of the data, or of the step's
        other tasks. ``among`` names the only executors that will do.
        """
        spec = task.step.spec
        if spec.lasting:
            return self._choose_lasting(task, among)
        second: ExecutorLink | None = None
        second_score = (True, True)
        for link in self._with_cpu(ANY_CPU if spec.fills else spec.cpu_millis):
            executor = link.executor
            if among is not None and executor.executor_id not in among:
                continue
            if not may_run(link, task.step, self._usage):
                continue
            score = (
                executor.executor_id in task.failed_on,
                bool(rack) and executor.rack != rack,
            )
            if score == (False, False):
                return link
            if second is None or score < second_score:
                second, second_score = link, score
        return second

    def _choose_lasting(
        self, task: Task, among: Collection[str] | None
    ) -> ExecutorLink | None:
        best: ExecutorLink | None = None
        best_score: tuple[float, ...] = ()
        step = task.step
        shared = lasting_on_one_vm(step.spec)
        for link in self._links_by_id.values():
            executor = link.executor
            executor_id = executor.executor_id
            if among is not None and executor_id not in among:
                continue
            if not may_run(link, step, self._usage):
                continue
            free = self._usage.free_cpu(executor_id, executor.capacity)
            score = (
                float(link.separating),
                float(executor_id in task.failed_on),
                float(self._slow[executor_id]),
                float(link.due),
                float(self._usage.tasks_of_step(executor_id, step) >= shared),
                float(not self._usage.lasting_tasks(executor_id)),
                float(self._usage.tasks_in_rack(step, executor.rack)),
                float(-free) if step.spec.fills else float(free),
            )
            if best is None or score < best_score:
                best, best_score = link, score
        return best
