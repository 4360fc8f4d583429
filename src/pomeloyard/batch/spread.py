"""Which executor runs a task; pure.

Answers peaks in which a pool is full: tasks are packed on few executors, so that
large tasks still find room, and go first to those that are not slow. Lasting tasks
are spread over racks, as racks fail as a whole.
"""

from __future__ import annotations

from collections.abc import Iterable
from datetime import timedelta

from .learning import SLOW_FACTOR, Learning
from .link import ExecutorLink
from .progress import StepRun, Task
from .usage import Usage


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


def choose_executor(
    task: Task,
    links: Iterable[ExecutorLink],
    usage: Usage,
    learning: Learning,
    now: timedelta,
    rack: str = "",
) -> ExecutorLink | None:
    """Return the best of the usable executors for a task, or None.

    ``rack`` is preferred before all else: that of the data, or of the step's other
    tasks.
    """
    best: ExecutorLink | None = None
    best_score: tuple[float, ...] = ()
    step = task.step
    spec = step.spec
    for link in links:
        if not may_run(link, step, usage):
            continue
        executor = link.executor
        executor_id = executor.executor_id
        slow = learning.slowness(executor_id, now) >= SLOW_FACTOR
        free = usage.free_cpu(executor_id, executor.capacity)
        score: tuple[float, ...]
        if spec.lasting:
            score = (
                float(executor_id in task.failed_on),
                float(slow),
                float(usage.tasks_of_step(executor_id, step)),
                float(link.due),
                float(usage.tasks_in_rack(step, executor.rack)),
                float(-free) if spec.fills else float(free),
            )
        else:
            score = (
                float(executor_id in task.failed_on),
                float(bool(rack) and executor.rack != rack),
                float(slow),
                float(free),
            )
        if best is None or score < best_score:
            best, best_score = link, score
    return best
