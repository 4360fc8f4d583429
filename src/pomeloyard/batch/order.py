"""Which waiting job goes next; pure.

Answers peaks of five times the mean that come in turns: more comes than the pool can
do in time. Jobs that can still meet their objective go before those that cannot, as
a late job is worth little to its caller; among them those with the least work left
for what they are worth. Jobs that are late already share what is left, oldest
first, so none waits for ever.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from .model import Queue
from .progress import JobRun, StepRun

BASE_WORTH = 0.3
"""Part of a job's worth that does not depend on its size; the rest grows with it."""


STEP_OVERHEAD_MS = 60.0
"""Between the end of a step and the start of the next: two writes and two calls."""


def longest_chain_ms(
    job: JobRun, expected_ms: Callable[[StepRun], float], *, remaining: bool
) -> float:
    """Return the longest chain of work, in ms; of what is left, or of the whole job."""
    longest = 0.0
    for steps in job.occurrences.values():
        chain: list[float] = []
        for step in steps:
            before = max((chain[i] for i in step.spec.after), default=0.0)
            if not remaining:
                own = expected_ms(step)
            elif step.complete:
                own = 0.0
            else:
                own = expected_ms(step) + STEP_OVERHEAD_MS
            chain.append(before + own)
        longest = max([longest, *chain])
    return longest


def work_of(
    job: JobRun, expected_ms: Callable[[StepRun], float], *, remaining: bool
) -> float:
    """Return the work of the tasks, or of those that are not done, in core-seconds."""
    return sum(
        (step.spec.count - (step.done if remaining else 0))
        * step.spec.cpu_millis
        * expected_ms(step)
        / 1_000_000.0
        for step in job.steps()
        if not step.spec.lasting
    )


def time_left_ms(
    job: JobRun,
    queue: Queue,
    age: timedelta,
    expected_ms: Callable[[StepRun], float],
) -> tuple[float, float]:
    """Return when a job would end if it ran from now on, and its objective, in ms.

    Both count from the time at which the caller first sent it.
    """
    objective_ms = queue.stretch * longest_chain_ms(
        job, expected_ms, remaining=False
    ) + queue.objective / timedelta(milliseconds=1)
    finish_ms = age / timedelta(milliseconds=1) + longest_chain_ms(
        job, expected_ms, remaining=True
    )
    return finish_ms, objective_ms


@dataclass(frozen=True, slots=True)
class Rank:
    """Place of a job among others; it holds while nothing of the job changes."""

    key: tuple[float, ...]
    """The lowest goes first."""
    valid_until: timedelta
    """When time alone gives the job another place."""


def rank(
    job: JobRun,
    queue: Queue,
    now: timedelta,
    expected_ms: Callable[[StepRun], float],
    mean_work: float,
) -> Rank:
    """Return the place of a job among those that wait.

    ``mean_work`` is the usual work of a job of its queue, in core-seconds.
    """
    priority = float(queue.priority)
    if job.lasting:
        return Rank((priority, 0.0, 0.0), timedelta.max)
    age = now - job.seen_at
    finish_ms, objective_ms = time_left_ms(job, queue, age, expected_ms)
    left = max(work_of(job, expected_ms, remaining=True), 0.001)
    if finish_ms <= objective_ms:
        whole = work_of(job, expected_ms, remaining=False)
        worth = BASE_WORTH + (1 - BASE_WORTH) * whole / max(mean_work, 0.001)
        until = now + timedelta(milliseconds=objective_ms - finish_ms)
        return Rank((priority, 1.0, -worth / left), until)
    if finish_ms <= 3 * objective_ms:
        until = now + timedelta(milliseconds=3 * objective_ms - finish_ms)
        return Rank((priority, 2.0, left), until)
    return Rank((priority, 3.0, job.seen_at.total_seconds()), timedelta.max)
