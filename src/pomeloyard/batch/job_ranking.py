"""Ranking of waiting jobs, as pure functions.

During a peak, pools in turn receive five times their mean load, which is more than
they can finish in time. Jobs that can still meet their objective rank before jobs that
cannot, as a late result has little value to the caller; among them the job with the
highest value per remaining core-second ranks first. Late jobs use the remaining
capacity. Those past three times their objective run oldest first, which prevents
starvation.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from .model import Queue
from .progress import JobRun, StepRun

BASE_VALUE_SHARE = 0.3
"""Share of a job's value that is independent of its size; the rest is proportional."""

STEP_OVERHEAD_MS = 60.0
"""Delay between dependent steps: two store writes and two calls to executors."""


StepTime = Callable[[StepRun], float]
"""Returns a time of a step in ms."""


@dataclass(frozen=True, slots=True)
class PathTimes:
    """How long the steps of a critical path take."""

    whole_ms: StepTime
    """Time until the slowest task of a step is done."""
    rest_ms: StepTime
    """Rest of that time for a step that is not complete."""

    @classmethod
    def of_tasks(cls, expected_ms: StepTime) -> PathTimes:
        """Return the times of steps whose tasks all take as long as expected."""
        return cls(expected_ms, expected_ms)


def critical_path_ms(job: JobRun, times: PathTimes, *, remaining: bool) -> float:
    """Return the critical path of a job, or of its unfinished steps, in ms."""
    longest = 0.0
    for steps in job.occurrences.values():
        path_ends_ms: list[float] = []
        for step in steps:
            dependencies_ms = max(
                (path_ends_ms[i] for i in step.spec.after), default=0.0
            )
            if not remaining:
                step_ms = times.whole_ms(step)
            elif step.complete:
                step_ms = 0.0
            else:
                step_ms = times.rest_ms(step) + STEP_OVERHEAD_MS
            path_ends_ms.append(dependencies_ms + step_ms)
        longest = max([longest, *path_ends_ms])
    return longest


def measured_path_ms(job: JobRun) -> float:
    """Return the critical path of the latest runs of a job's steps, in ms."""
    times = PathTimes.of_tasks(lambda step: step.longest_ms)
    return critical_path_ms(job, times, remaining=False)


def core_seconds_of(job: JobRun, expected_ms: StepTime, *, remaining: bool) -> float:
    """Return the work of all tasks, or of the unfinished ones, in core-seconds."""
    return sum(
        (step.spec.count - (step.done if remaining else 0))
        * step.spec.cpu_millis
        * expected_ms(step)
        / 1_000_000.0
        for step in job.steps()
        if not step.spec.lasting
    )


def finish_and_objective_ms(
    job: JobRun,
    queue: Queue,
    age: timedelta,
    times: PathTimes,
) -> tuple[float, float]:
    """Return the earliest finish time of a job and its objective, in ms.

    Both are relative to the time at which the caller first submitted the job.
    """
    objective_ms = queue.stretch * critical_path_ms(
        job, times, remaining=False
    ) + queue.objective / timedelta(milliseconds=1)
    finish_ms = age / timedelta(milliseconds=1) + critical_path_ms(
        job, times, remaining=True
    )
    return finish_ms, objective_ms


@dataclass(frozen=True, slots=True)
class Rank:
    """Sort key of a job; valid until ``valid_until`` or until the job changes."""

    key: tuple[float, ...]
    """The lowest key is placed first."""
    valid_until: timedelta
    """Time at which the key changes because the job grew older."""


def rank(
    job: JobRun,
    queue: Queue,
    now: timedelta,
    expected_ms: StepTime,
    mean_work: float,
    path: PathTimes | None = None,
) -> Rank:
    """Return the rank of a waiting job.

    ``mean_work`` is the mean work of the jobs of its queue, in core-seconds. ``path``
    has the times of its critical path, by default those of ``expected_ms``.
    """
    path = path or PathTimes.of_tasks(expected_ms)
    priority = float(queue.priority)
    if job.lasting:
        return Rank((priority, 0.0, 0.0), timedelta.max)
    age = now - job.accepted_at
    finish_ms, objective_ms = finish_and_objective_ms(job, queue, age, path)
    remaining_work = max(core_seconds_of(job, expected_ms, remaining=True), 0.001)
    if finish_ms <= objective_ms:
        total = core_seconds_of(job, expected_ms, remaining=False)
        value = BASE_VALUE_SHARE + (1 - BASE_VALUE_SHARE) * total / max(
            mean_work, 0.001
        )
        valid_until = now + timedelta(milliseconds=objective_ms - finish_ms)
        return Rank((priority, 1.0, -value / remaining_work), valid_until)
    if finish_ms <= 3 * objective_ms:
        valid_until = now + timedelta(milliseconds=3 * objective_ms - finish_ms)
        return Rank((priority, 2.0, remaining_work), valid_until)
    return Rank((priority, 3.0, job.accepted_at.total_seconds()), timedelta.max)
