"""The tasks of one step, kept as objects only while that is needed.

Load pattern: jobs with tens of thousands of tasks each, of which few run at a time. A
task that was never started differs from the others by its index alone, and one that is
done by its run alone, so that neither needs an object.
"""

from __future__ import annotations

from array import array
from collections.abc import Callable, Iterator, Sequence
from typing import TYPE_CHECKING, overload

if TYPE_CHECKING:
    from .progress import Task

RUN_TYPE = "I"
"""Type of array elements that hold a run number plus one."""


class TaskTable(Sequence["Task"]):
    """Tasks by index; an object is created at the first use and kept until it is done.

    ``create`` returns a task that was never started, ``create_done`` one that is done
    by a run.
    """

    def __init__(
        self,
        count: int,
        create: Callable[[int], Task],
        create_done: Callable[[int, int], Task],
    ) -> None:
        self._count = count
        self._create = create
        self._create_done = create_done
        self._known: dict[int, Task] = {}
        self._done_runs: array[int] | None = None
        """Run plus one of each task that is done, else 0; None if none is done."""
        self._done = 0

    def __len__(self) -> int:
        """Return the number of tasks."""
        return self._count

    @overload
    def __getitem__(self, index: int) -> Task: ...

    @overload
    def __getitem__(self, index: slice) -> list[Task]: ...

    def __getitem__(self, index: int | slice) -> Task | list[Task]:
        """Return the task with an index."""
        if isinstance(index, slice):
            return [self[number] for number in range(*index.indices(self._count))]
        if not 0 <= index < self._count:
            raise IndexError(index)
        task = self._known.get(index)
        if task is not None:
            return task
        if self._done_runs is not None and self._done_runs[index]:
            return self._create_done(index, self._done_runs[index] - 1)
        task = self._known[index] = self._create(index)
        return task

    def known(self) -> list[Task]:
        """Return all tasks that were started and are not done, and maybe others."""
        return list(self._known.values())

    @property
    def unknown_count(self) -> int:
        """Return how many tasks are neither done nor in ``known``."""
        return self._count - len(self._known) - self._done

    def mark_done(self, index: int, run: int) -> None:
        """Record that a task is done, and forget its object."""
        if self._done_runs is None:
            self._done_runs = array(RUN_TYPE, [0]) * self._count
        if not self._done_runs[index]:
            self._done += 1
        self._done_runs[index] = run + 1
        self._known.pop(index, None)

    def done_runs(self) -> Iterator[tuple[int, int]]:
        """Yield the index and the run of each task that is done."""
        for index, run in enumerate(self._done_runs or ()):
            if run:
                yield index, run - 1

    def forget(self, unneeded: Callable[[Task], bool]) -> None:
        """Forget the objects of tasks that are never needed again."""
        self._known = {i: t for i, t in self._known.items() if not unneeded(t)}


class WaitingTasks:
    """The tasks of a step that wait to be started: fresh ones and returned ones.

    A fresh task was never started; a returned one was, and its run is over.
    """

    def __init__(self, table: TaskTable) -> None:
        self._table = table
        self._fresh = len(table)
        self._taken: bytearray | None = None
        """1 for each task that is not fresh; None if all are."""
        self._returned: dict[int, Task] = {}

    def __len__(self) -> int:
        """Return how many tasks wait."""
        return self._fresh + len(self._returned)

    def fresh(self) -> Iterator[Task]:
        """Yield the fresh tasks by index; they may be removed meanwhile."""
        index = -1
        while self._fresh:
            if self._taken is None:
                index += 1
            else:
                index = self._taken.find(0, index + 1)
            if not 0 <= index < len(self._table):
                return
            yield self._table[index]

    def returned(self) -> list[Task]:
        """Return the returned tasks."""
        return list(self._returned.values())

    def values(self) -> Iterator[Task]:
        """Yield all waiting tasks, fresh ones first; they may be removed meanwhile."""
        yield from self.fresh()
        yield from self.returned()

    def add(self, task: Task) -> None:
        """Add a task whose run is over."""
        self._returned[task.index] = task

    def remove(self, index: int) -> None:
        """Remove a task if it waits."""
        if self._returned.pop(index, None) is not None or not self._fresh:
            return
        if self._taken is None:
            self._taken = bytearray(len(self._table))
        self._fresh -= not self._taken[index]
        self._taken[index] = 1

    def clear(self) -> None:
        """Remove all tasks."""
        self._fresh = 0
        self._taken = None
        self._returned.clear()
