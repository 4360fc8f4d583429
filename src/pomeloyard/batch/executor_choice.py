"""Choice of an executor for a task (no I/O).

Short tasks are bin-packed on few executors, so that large tasks still fit when a pool
is nearly full, and slow executors are used last. Long-running tasks share VMs, so that
an idle pool needs few VMs, but only as many of a step as maintenance can move off one
by one; they are spread over racks, as a rack fails as a whole. At a peak, hundreds of
tasks are placed at once on a hundred executors that are nearly all full, so executors
are kept sorted by free cpu.
"""

from __future__ import annotations

import bisect
import sys
from collections.abc import Collection, Iterable, Iterator
from datetime import timedelta

from .executor_link import ExecutorLink
from .model import StepSpec
from .progress import StepRun, Task
from .run_estimates import SLOW_FACTOR, RunEstimates
from .usage import Usage

ANY_CPU = -sys.maxsize
"""Lower bound that includes all executors, for tasks whose cpu is not counted."""

LASTING_TASKS_PER_VM = 2
"""Preferred number of tasks of a long-running step on one VM. Each further task extends
the VM's maintenance by a task restart and makes the loss of one VM more severe."""

_Entry = tuple[int, str]
"""Free cpu and id of an executor."""


def can_place(link: ExecutorLink, step: StepRun, usage: Usage) -> bool:
    """Tell whether an executor can take a task of a step now."""
    spec = step.spec
    executor = link.executor
    if spec.label and spec.label not in executor.labels:
        return False
    if not usage.fits(executor.executor_id, executor.capacity, spec):
        return False
    on_executor = usage.tasks_of_step(executor.executor_id, step)
    return not spec.max_per_executor or on_executor < spec.max_per_executor


def room_on(link: ExecutorLink, step: StepRun, usage: Usage) -> int:
    """Return how many tasks of a step an executor can take now."""
    spec = step.spec
    executor = link.executor
    if not can_place(link, step, usage):
        return 0
    free = usage.free(executor.executor_id, executor.capacity)
    amounts = [
        (free.cpu_millis, 0 if spec.fills else spec.cpu_millis),
        (free.memory_mb, spec.memory_mb),
        (free.accelerators, spec.accelerators),
    ]
    limits = [available // needed for available, needed in amounts if needed]
    if spec.max_per_executor:
        on_executor = usage.tasks_of_step(executor.executor_id, step)
        limits.append(spec.max_per_executor - on_executor)
    return min(limits, default=spec.count)


def lasting_tasks_per_vm(spec: StepSpec) -> int:
    """Return how many tasks of a long-running step should share a VM.

    As many tasks as may be unavailable at once need not be moved off one by one.
    """
    limit = max(LASTING_TASKS_PER_VM, spec.may_be_away)
    return min(limit, spec.max_per_executor) if spec.max_per_executor else limit


class FreeCapacityIndex:
    """Index of the usable executors of a pool by free cpu.

    While it is in use, ``usage`` may only change through ``allocate`` and ``release``.
    """

    def __init__(
        self,
        links: Iterable[ExecutorLink],
        usage: Usage,
        estimates: RunEstimates,
        now: timedelta,
        rejecting: Collection[str] = (),
    ) -> None:
        """Index executors; those in ``rejecting`` come last, as slow ones do."""
        self._usage = usage
        self._links_by_id = {link.executor.executor_id: link for link in links}
        self._slow = {
            executor_id: estimates.slowness(executor_id, now) >= SLOW_FACTOR
            or executor_id in rejecting
            for executor_id in self._links_by_id
        }
        self._entry_lists: tuple[list[_Entry], list[_Entry]] = ([], [])
        """Sorted entries of the executors of normal speed, and of those that are slow
        or reject starts."""
        for executor_id in self._links_by_id:
            self._entries_of(executor_id).append(self._entry_of(executor_id))
        for entries in self._entry_lists:
            entries.sort()

    @property
    def links(self) -> list[ExecutorLink]:
        """Return all executors."""
        return list(self._links_by_id.values())

    def contains(self, link: ExecutorLink) -> bool:
        """Tell whether an executor is in the index."""
        return self._links_by_id.get(link.executor.executor_id) is link

    @property
    def max_free_cpu(self) -> int:
        """Return the most free cpu of any executor; -1 without executors.

        It is 0 at least, as tasks whose cpu is not counted fit beside more than an
        executor's capacity, which may have shrunk.
        """
        free = [entries[-1][0] for entries in self._entry_lists if entries]
        return max(0, *free) if free else -1

    def has_room(self, step: StepRun, allowed: Collection[str] | None) -> bool:
        """Tell whether all tasks of a step may fit at once; choosing costs more."""
        missing = step.spec.count
        for executor_id, link in self._links_by_id.items():
            if allowed is None or executor_id in allowed:
                missing -= room_on(link, step, self._usage)
                if missing <= 0:
                    return True
        return False

    def allocate(self, link: ExecutorLink, task: Task) -> None:
        """Count the resources of a task on an executor."""
        executor = link.executor
        before = self._entry_of(executor.executor_id)
        self._usage.add(executor.executor_id, executor.rack, task)
        self._reposition(before)

    def release(self, link: ExecutorLink, task: Task) -> None:
        """Stop counting the resources of a task on an executor."""
        executor = link.executor
        before = self._entry_of(executor.executor_id)
        self._usage.remove(executor.executor_id, executor.rack, task)
        self._reposition(before)

    def discard(self, link: ExecutorLink) -> None:
        """Remove an executor that takes no further tasks."""
        executor_id = link.executor.executor_id
        entries = self._entries_of(executor_id)
        del entries[bisect.bisect_left(entries, self._entry_of(executor_id))]
        del self._links_by_id[executor_id]

    def choose_for_trial(
        self, task: Task, allowed: Collection[str] | None = None
    ) -> ExecutorLink | None:
        """Return the best executor for a task that may crash it, or None.

        It is one without other suspects if there is any, then one whose other runs have
        passed the trial time, then the one with the least to lose.
        """
        best: ExecutorLink | None = None
        best_score: tuple[float, ...] = ()
        for link in self._links_by_id.values():
            executor_id = link.executor.executor_id
            if allowed is not None and executor_id not in allowed:
                continue
            if not can_place(link, task.step, self._usage):
                continue
            runs = link.runs_by_name.values()
            score = (
                float(link.has_suspects_beside(task)),
                float(sum(not run.has_passed_trial_time for run in runs)),
                float(len(runs)),
                float(self._slow[executor_id]),
            )
            if best is None or score < best_score:
                best, best_score = link, score
        return best

    def _reposition(self, before: _Entry) -> None:
        entries = self._entries_of(before[1])
        del entries[bisect.bisect_left(entries, before)]
        bisect.insort(entries, self._entry_of(before[1]))

    def _entries_of(self, executor_id: str) -> list[_Entry]:
        return self._entry_lists[self._slow[executor_id]]

    def _entry_of(self, executor_id: str) -> _Entry:
        capacity = self._links_by_id[executor_id].executor.capacity
        return self._usage.free_cpu(executor_id, capacity), executor_id

    def _with_cpu(self, cpu_millis: int) -> Iterator[ExecutorLink]:
        """Yield executors with enough free cpu: normal ones first, then by free cpu."""
        for entries in self._entry_lists:
            for _, executor_id in entries[
                bisect.bisect_left(entries, (cpu_millis, "")) :
            ]:
                yield self._links_by_id[executor_id]

    def choose(
        self, task: Task, rack: str = "", allowed: Collection[str] | None = None
    ) -> ExecutorLink | None:
        """Return the best executor for a task, or None.

        ``rack`` is the preferred rack, that of the data or of the step's other tasks.
        ``allowed`` limits the choice to some executors; None allows all of them.
        """
        spec = task.step.spec
        if spec.lasting:
            return self._choose_lasting(task, allowed)
        fallback: ExecutorLink | None = None
        fallback_score = (True, True)
        for link in self._with_cpu(ANY_CPU if spec.fills else spec.cpu_millis):
            executor = link.executor
            if allowed is not None and executor.executor_id not in allowed:
                continue
            if not can_place(link, task.step, self._usage):
                continue
            score = (
                executor.executor_id in task.failed_on,
                bool(rack) and executor.rack != rack,
            )
            if score == (False, False):
                return link
            if fallback is None or score < fallback_score:
                fallback, fallback_score = link, score
        return fallback

    def _choose_lasting(
        self, task: Task, allowed: Collection[str] | None
    ) -> ExecutorLink | None:
        best: ExecutorLink | None = None
        best_score: tuple[float, ...] = ()
        step = task.step
        limit = lasting_tasks_per_vm(step.spec)
        for link in self._links_by_id.values():
            executor = link.executor
            executor_id = executor.executor_id
            if allowed is not None and executor_id not in allowed:
                continue
            if not can_place(link, step, self._usage):
                continue
            free = self._usage.free_cpu(executor_id, executor.capacity)
            score = (
                float(link.spreading_tasks),
                float(executor_id in task.failed_on),
                float(self._slow[executor_id]),
                float(link.needs_maintenance),
                float(self._usage.tasks_of_step(executor_id, step) >= limit),
                float(not self._usage.lasting_tasks(executor_id)),
                float(self._usage.tasks_in_rack(step, executor.rack)),
                float(-free) if step.spec.fills else float(free),
            )
            if best is None or score < best_score:
                best, best_score = link, score
        return best
