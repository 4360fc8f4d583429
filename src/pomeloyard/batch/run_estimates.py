"""Estimates learned from runs about steps, queues and executors (no I/O).

Executors may fail, stall or slow down while they report themselves healthy. A long task
is told apart from a slow executor: an executor is slow if several of its tasks are.
"""

from __future__ import annotations

import bisect
from collections import defaultdict
from dataclasses import dataclass, field
from datetime import timedelta

from .job_ranking import PathTimes
from .progress import StepRun, Task, TaskState
from .run_times import RunTimes

MAX_STEP_RATIO = 3.0
"""Ratio to the expected run time from which the first task of a step that is done says
nothing about the others until a second one is done."""
SLOWNESS_TASKS = 4
"""Latest tasks of an executor whose ratios to the usual run time are kept."""
MIN_SLOW_TASKS = 2
"""Tasks that must be slow for an executor to count as slow. A single one may be a long
task; of those there are a few in a hundred in some queues."""
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
    ratios_by_task: dict[str, float] = field(default_factory=dict)
    """Ratio to the usual run time of its latest tasks, oldest first."""
    slowness_at: timedelta = timedelta(0)
    failed_jobs: list[str] = field(default_factory=list)
    quarantined_until: timedelta = timedelta(0)

    @property
    def slowness(self) -> float:
        """Return the lower median of the ratios; one long task has no effect on it."""
        ratios = sorted(self.ratios_by_task.values())
        if len(ratios) < MIN_SLOW_TASKS:
            return 1.0
        return ratios[(len(ratios) - 1) // 2]


def _inputs(step: StepRun) -> tuple[str, float, float | None]:
    return step.job.record.queue, float(step.spec.estimate_ms), step.usual_ms


class RunEstimates:
    """Expected run times of steps, and speed and failures by executor."""

    def __init__(self, run_times: RunTimes | None = None) -> None:
        self.run_times = run_times or RunTimes()
        self._by_executor: dict[str, _ExecutorRecord] = defaultdict(_ExecutorRecord)

    def expected_ms(self, step: StepRun) -> float:
        """Return the expected run time of a step's tasks."""
        return self.run_times.expected_ms(*_inputs(step))

    def quantile_ms(self, step: StepRun, quantile: float) -> float:
        """Return the time that a share ``quantile`` of a step's tasks stays below."""
        return self.run_times.quantile_ms(*_inputs(step), quantile)

    def mean_ms(self, step: StepRun) -> float:
        """Return the mean run time of a step's tasks, long ones included."""
        return self.run_times.mean_ms(*_inputs(step))

    def slowest_ms(self, step: StepRun) -> float:
        """Return the expected run time of the slowest of a step's tasks."""
        return self.run_times.slowest_ms(*_inputs(step), step.spec.count)

    def remaining_ms(
        self, step: StepRun, elapsed: timedelta, quantile: float | None = None
    ) -> float:
        """Return the expected rest of a run, or a quantile of it."""
        elapsed_ms = elapsed / timedelta(milliseconds=1)
        return self.run_times.remaining_ms(*_inputs(step), elapsed_ms, quantile)

    def path_times(self, now: timedelta) -> PathTimes:
        """Return the times of steps on a critical path."""
        return PathTimes(self.slowest_ms, lambda step: self.rest_ms(step, now))

    def rest_ms(self, step: StepRun, now: timedelta) -> float:
        """Return the expected time until the slowest task of a step is done."""
        if step.waiting or not step.placed:
            return self.slowest_ms(step)
        running = (t for t in step.tasks.known() if t.state is TaskState.PLACED)
        # A damaged run record may count tasks as placed that are not.
        elapsed = now - min((task.started_at for task in running), default=now)
        quantile = step.placed / (step.placed + 1)
        return self.remaining_ms(step, max(elapsed, timedelta(0)), quantile)

    def record_completion(
        self,
        task: Task,
        executor: str,
        run_ms: float,
        now: timedelta,
        *,
        partial: bool,
    ) -> None:
        """Update the estimates from a task that completed after ``run_ms``.

        A partial run is ignored for run times: it resumed from saved progress, its
        start was not observed, or it ran away from its data.
        """
        record = self._by_executor[executor]
        record.failed_jobs.clear()
        record.quarantined_until = timedelta(0)
        if partial:
            return
        step = task.step
        ratio = run_ms / max(self.expected_ms(step), 1.0)
        self._update_slowness(record, task.name, ratio, now)
        if record.slowness >= SLOW_FACTOR:
            return
        self._learn(step, run_ms, ratio)

    def _learn(self, step: StepRun, run_ms: float, ratio: float) -> None:
        """Learn from the run time of a task, ``ratio`` times as long as expected.

        The typical run time of a step is that of its median task. Its first tasks that
        are done are its fastest ones.
        """
        queue, estimate_ms, _ = _inputs(step)
        if step.median_known:
            self.run_times.record(
                queue, estimate_ms, step.usual_ms, run_ms, whole_step=False
            )
            return
        run_times = step.run_times_ms
        bisect.insort(run_times, run_ms)
        median = (step.spec.count + 1) // 2
        if len(run_times) < median:
            # A single one may be a long task, or of an executor that turned slow.
            if len(run_times) > 1 or ratio < MAX_STEP_RATIO:
                # The middle one of these, as a long task may be among them.
                middle = (len(run_times) - 1) // 2
                share = (middle + 0.5) / step.spec.count
                step.usual_ms = self.run_times.typical_ms(
                    queue, run_times[middle], share
                )
            return
        typical_ms = run_times[median - 1]
        self.run_times.record(queue, estimate_ms, None, typical_ms, whole_step=True)
        for task_ms in run_times:
            self.run_times.record(
                queue, estimate_ms, typical_ms, task_ms, whole_step=False
            )
        step.usual_ms, step.median_known = typical_ms, True
        run_times.clear()

    def record_progress(
        self, executor: str, task: str, ratio: float, now: timedelta
    ) -> None:
        """Record the ratio of projected to usual run time of a run in progress."""
        self._update_slowness(self._by_executor[executor], task, ratio, now)

    def _update_slowness(
        self, record: _ExecutorRecord, task: str, ratio: float, now: timedelta
    ) -> None:
        record.ratios_by_task.pop(task, None)
        record.ratios_by_task[task] = ratio
        while len(record.ratios_by_task) > SLOWNESS_TASKS:
            del record.ratios_by_task[next(iter(record.ratios_by_task))]
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
