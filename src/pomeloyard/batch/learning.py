"""What runs teach about steps, queues and executors; pure.

Answers two load patterns: declared run times that are off by a factor of two, and
executors that fail, stall or slow down while their health looks good.
"""

from __future__ import annotations

import math
from collections import defaultdict
from dataclasses import dataclass, field
from datetime import timedelta

from .progress import StepRun

QUEUE_WEIGHT = 0.05
"""Weight of a new run time in its queue's mean; steps of a queue differ by half."""
STEP_WEIGHT = 0.3
"""Weight of a new run time in its step's mean; tasks of a step differ by a quarter."""
ESTIMATE_WEIGHT = 0.5
"""Weight of the submitter's estimate against the queue's mean, in logarithms: both
are off by about the same factor."""
DEFAULT_RUN_MS = 1000.0
"""Assumed of the first tasks of a queue whose submitter gave no estimate."""
SLOWNESS_WEIGHT = 0.5
"""Weight of a new ratio; an executor's slow spell lasts some seconds."""
SLOW_FACTOR = 2.0
"""Above this many times the usual run time an executor is taken for slow."""
SLOW_MEMORY = timedelta(seconds=4)
"""A slow executor is tried again after this time without news."""
FAILURES_TO_SUSPECT = 3
"""Failures in a row, of at least two jobs, that set an executor aside."""
QUARANTINE = timedelta(seconds=5)
"""About as long as the spells in which executors fail."""


@dataclass
class _ExecutorRecord:
    slowness: float = 1.0
    slowness_at: timedelta = timedelta(0)
    failed_jobs: list[str] = field(default_factory=list)
    aside_until: timedelta = timedelta(0)


class Learning:
    """Run times by step and queue, and speed and failures by executor."""

    def __init__(self) -> None:
        self._log_ms_by_queue: dict[str, float] = {}
        self._by_executor: dict[str, _ExecutorRecord] = defaultdict(_ExecutorRecord)

    def expected_ms(self, step: StepRun) -> float:
        """Return the usual run time of a step's tasks.

        Before the first of them is done, it lies between the submitter's estimate
        and what is usual in the queue.
        """
        if step.usual_ms is not None:
            return step.usual_ms
        estimate = step.spec.estimate_ms
        usual = self._log_ms_by_queue.get(step.job.record.queue)
        if usual is None:
            return float(estimate or DEFAULT_RUN_MS)
        if not estimate:
            return math.exp(usual)
        share = ESTIMATE_WEIGHT
        return math.exp(share * math.log(estimate) + (1 - share) * usual)

    def task_done(
        self,
        step: StepRun,
        executor: str,
        run_ms: float,
        now: timedelta,
        *,
        partial: bool,
    ) -> None:
        """Learn from a task that was done after ``run_ms``.

        A partial run tells nothing of the step: it went on from saved progress, or its
        start was not seen.
        """
        record = self._by_executor[executor]
        record.failed_jobs.clear()
        record.aside_until = timedelta(0)
        if partial:
            return
        self._note_speed(record, run_ms / max(self.expected_ms(step), 1.0), now)
        if record.slowness >= SLOW_FACTOR:
            return
        before = step.usual_ms
        step.usual_ms = (
            run_ms if before is None else before + STEP_WEIGHT * (run_ms - before)
        )
        queue = step.job.record.queue
        log_ms = math.log(max(run_ms, 1.0))
        usual = self._log_ms_by_queue.get(queue, log_ms)
        self._log_ms_by_queue[queue] = usual + QUEUE_WEIGHT * (log_ms - usual)

    def run_seen(self, executor: str, ratio: float, now: timedelta) -> None:
        """Learn from a running task that projects to ``ratio`` of the usual time."""
        self._note_speed(self._by_executor[executor], ratio, now)

    def _note_speed(
        self, record: _ExecutorRecord, ratio: float, now: timedelta
    ) -> None:
        record.slowness += SLOWNESS_WEIGHT * (ratio - record.slowness)
        record.slowness_at = now

    def task_failed(self, executor: str, job_id: str, now: timedelta) -> bool:
        """Note a failure; return whether the executor is now set aside.

        One job that fails everywhere does not condemn an executor.
        """
        record = self._by_executor[executor]
        record.failed_jobs.append(job_id)
        jobs = record.failed_jobs[-2 * FAILURES_TO_SUSPECT :]
        if len(jobs) >= FAILURES_TO_SUSPECT and len(set(jobs)) >= 2:
            record.aside_until = now + QUARANTINE
            return True
        return False

    def set_aside(self, executor: str, until: timedelta) -> None:
        """Give an executor no new work until a time."""
        self._by_executor[executor].aside_until = until

    def is_aside(self, executor: str, now: timedelta) -> bool:
        """Tell whether an executor gets no new work now."""
        record = self._by_executor.get(executor)
        return record is not None and now < record.aside_until

    def slowness(self, executor: str, now: timedelta) -> float:
        """Return how many times the usual run time tasks take on an executor."""
        record = self._by_executor.get(executor)
        if record is None or now - record.slowness_at > SLOW_MEMORY:
            return 1.0
        return record.slowness
