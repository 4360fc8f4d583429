"""Estimates learned from runs about steps, queues and executors (no I/O).

Estimates of submitters may be off by a factor of two, and executors may fail, stall or
slow down while they report themselves healthy.
"""

from __future__ import annotations

import math
from collections import defaultdict
from dataclasses import dataclass, field
from datetime import timedelta

from .progress import StepRun

QUEUE_WEIGHT = 0.05
"""Weight of a new run time in its queue's mean; steps of a queue vary by half."""
STEP_WEIGHT = 0.3
"""Weight of a new run time in its step's mean; tasks of a step vary by a quarter."""
ESTIMATE_WEIGHT = 0.5
"""Weight of the submitter's estimate against the queue's mean, as logarithms; both
have about the same relative error."""
DEFAULT_RUN_MS = 1000.0
"""Estimate for the first tasks of a queue if the submitter gave none."""
SLOWNESS_WEIGHT = 0.5
"""Weight of a new ratio; an executor stays slow for some seconds."""
SLOW_FACTOR = 2.0
"""Ratio to the usual run time from which an executor counts as slow."""
SLOWNESS_MAX_AGE = timedelta(seconds=4)
"""Time without new measurements after which a slow executor is tried again."""
FAILURES_TO_QUARANTINE = 3
"""Consecutive failures, of at least two jobs, that quarantine an executor."""
QUARANTINE_TIME = timedelta(seconds=5)
"""About as long as typical periods in which an executor fails."""


@dataclass
class _ExecutorRecord:
    slowness: float = 1.0
    slowness_at: timedelta = timedelta(0)
    failed_jobs: list[str] = field(default_factory=list)
    quarantined_until: timedelta = timedelta(0)


MAX_ESTIMATE_MS = 7 * 24 * 3600 * 1000
"""Longer estimates count as this; a duration must hold the sum over a job's steps."""


class RunEstimates:
    """Run times by step and queue, and speed and failures by executor."""

    def __init__(self) -> None:
        self._log_ms_by_queue: dict[str, float] = {}
        self._by_executor: dict[str, _ExecutorRecord] = defaultdict(_ExecutorRecord)

    def expected_ms(self, step: StepRun) -> float:
        """Return the expected run time of a step's tasks.

        Until the first of them is done, it is a weighted geometric mean of the
        submitter's estimate and the queue's mean.
        """
        if step.usual_ms is not None:
            return step.usual_ms
        estimate = min(max(0, step.spec.estimate_ms), MAX_ESTIMATE_MS)
        mean_log_ms = self._log_ms_by_queue.get(step.job.record.queue)
        if mean_log_ms is None:
            return float(estimate or DEFAULT_RUN_MS)
        if not estimate:
            return math.exp(mean_log_ms)
        weight = ESTIMATE_WEIGHT
        return math.exp(weight * math.log(estimate) + (1 - weight) * mean_log_ms)

    def record_completion(
        self,
        step: StepRun,
        executor: str,
        run_ms: float,
        now: timedelta,
        *,
        partial: bool,
    ) -> None:
        """Update the estimates from a task that completed after ``run_ms``.

        A partial run is ignored for run times: it resumed from saved progress, or its
        start was not observed.
        """
        record = self._by_executor[executor]
        record.failed_jobs.clear()
        record.quarantined_until = timedelta(0)
        if partial:
            return
        self._update_slowness(record, run_ms / max(self.expected_ms(step), 1.0), now)
        if record.slowness >= SLOW_FACTOR:
            return
        before = step.usual_ms
        step.usual_ms = (
            run_ms if before is None else before + STEP_WEIGHT * (run_ms - before)
        )
        queue = step.job.record.queue
        log_ms = math.log(max(run_ms, 1.0))
        mean_log_ms = self._log_ms_by_queue.get(queue, log_ms)
        self._log_ms_by_queue[queue] = mean_log_ms + QUEUE_WEIGHT * (
            log_ms - mean_log_ms
        )

    def record_progress(self, executor: str, ratio: float, now: timedelta) -> None:
        """Record the ratio of projected to usual run time of a run in progress."""
        self._update_slowness(self._by_executor[executor], ratio, now)

    def _update_slowness(
        self, record: _ExecutorRecord, ratio: float, now: timedelta
    ) -> None:
        record.slowness += SLOWNESS_WEIGHT * (ratio - record.slowness)
        record.slowness_at = now

    def record_failure(self, executor: str, job_id: str, now: timedelta) -> bool:
        """Record a failure; return whether the executor is now quarantined.

        Failures of a single job do not quarantine an executor, as that job may fail
        on all of them.
        """
        record = self._by_executor[executor]
        record.failed_jobs.append(job_id)
        recent_jobs = record.failed_jobs[-2 * FAILURES_TO_QUARANTINE :]
        if len(recent_jobs) >= FAILURES_TO_QUARANTINE and len(set(recent_jobs)) >= 2:
            record.quarantined_until = now + QUARANTINE_TIME
            return True
        return False

    def quarantine(self, executor: str, until: timedelta) -> None:
        """Quarantine an executor: give it no new tasks until a time."""
        self._by_executor[executor].quarantined_until = until

    def is_quarantined(self, executor: str, now: timedelta) -> bool:
        """Tell whether an executor is quarantined."""
        record = self._by_executor.get(executor)
        return record is not None and now < record.quarantined_until

    def slowness(self, executor: str, now: timedelta) -> float:
        """Return the ratio of an executor's run times to the usual ones."""
        record = self._by_executor.get(executor)
        if record is None or now - record.slowness_at > SLOWNESS_MAX_AGE:
            return 1.0
        return record.slowness
