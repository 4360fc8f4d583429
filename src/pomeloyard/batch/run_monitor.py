"""Learns from the runs of a term, throttles filler tasks and stops stalled runs."""

from __future__ import annotations

from datetime import timedelta

from ..clock import Clock
from .decision_log import JobDecisionLog
from .executor_link import ExecutorLink
from .pacing import next_pace
from .placed_run import Phase, PlacedRun
from .progress import EndKind, Task
from .run_estimates import RunEstimates
from .stalls import (
    STALL_AVOID_TIME,
    STALL_SUSPECT_TIME,
    STALL_TIMEOUT,
    slowness,
    stalled_for,
)


class RunMonitor:
    """Watches the progress and the ends of runs."""

    def __init__(
        self, clock: Clock, estimates: RunEstimates, decision_log: JobDecisionLog
    ) -> None:
        self._clock = clock
        self._estimates = estimates
        self._decision_log = decision_log

    def record_end(
        self,
        task: Task,
        executor_id: str,
        kind: EndKind,
        run_ms: float,
        partial: bool,
        now: timedelta,
    ) -> None:
        """Update run times and the health of an executor after the end of a run."""
        if task.step.spec.lasting:
            return
        if kind is EndKind.DONE:
            self._estimates.record_completion(
                task, executor_id, run_ms, now, partial=partial
            )
        elif kind is EndKind.FAILED:
            job_id = task.step.job.job_id
            if self._estimates.record_failure(executor_id, job_id, now):
                self._decision_log.record(
                    "executor", executor_id, "set-aside", job=job_id
                )

    def check_status(self, link: ExecutorLink, placed: PlacedRun) -> None:
        """Throttle a filler task, or detect whether a batch run is slow or stalled."""
        if placed.phase is not Phase.RUNNING:
            return
        spec = placed.task.step.spec
        if spec.fills:
            percent = next_pace(placed, link.runs_by_name.values(), self._clock)
            if percent is not None:
                placed.partial = True
                link.limit_cpu(placed, percent)
        elif not spec.lasting and not spec.gang and placed.percent < 100:
            self._check_progress(link, placed)

    def _check_progress(self, link: ExecutorLink, placed: PlacedRun) -> None:
        now = self._clock.monotonic()
        executor_id = link.executor.executor_id
        expected_ms = self._estimates.expected_ms(placed.task.step)
        stall_time = stalled_for(placed.moved_at, expected_ms, now)
        if stall_time >= STALL_SUSPECT_TIME:
            self._estimates.quarantine(executor_id, now + STALL_AVOID_TIME)
        if stall_time >= STALL_TIMEOUT:
            self._decision_log.record(
                "end",
                placed.task.name,
                "stalled",
                run=placed.run,
                executor=executor_id,
                percent=placed.percent,
                still_ms=round(stall_time / timedelta(milliseconds=1)),
            )
            link.stop(placed)
            return
        if not placed.partial:
            running_for = now - placed.task.started_at
            ratio = slowness(placed.percent, running_for, expected_ms)
            if ratio is not None:
                self._estimates.record_progress(
                    executor_id, placed.task.name, ratio, now
                )
