"""Present and expected demand on each pool."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterator, Mapping
from math import ceil

from ..clock import Clock
from .executor_choice import lasting_tasks_per_vm
from .job_ranking import finish_and_objective_ms
from .model import JobRecord, Queue
from .peaks import ArrivalRate, Peak, PeakForecaster
from .pool_scaling import LongRunningLoad
from .progress import JobRun, StepRun
from .run_estimates import RunEstimates


class PoolDemand:
    """Backlog, long-running tasks and forecast of each pool."""

    def __init__(
        self,
        clock: Clock,
        live_jobs: Mapping[str, JobRun],
        estimates: RunEstimates,
        peaks: PeakForecaster,
        queue_of: Callable[[JobRecord], Queue | None],
    ) -> None:
        self._clock = clock
        self._live_jobs = live_jobs
        self._estimates = estimates
        self._peaks = peaks
        self._queue_of = queue_of

    def backlog(self) -> dict[str, float]:
        """Return the core-seconds of ready short tasks, by pool."""
        loads: dict[str, float] = defaultdict(float)
        for job, queue in self._jobs():
            for step in job.ready_steps():
                if not step.spec.lasting:
                    loads[queue.service] += self._waiting_work(step)
        return loads

    def urgent_backlog(self) -> dict[str, float]:
        """Return the part of ``backlog`` whose jobs can still meet their objective."""
        now = self._clock.monotonic()
        loads: dict[str, float] = defaultdict(float)
        for job, queue in self._jobs():
            if job.lasting or job.smallest_ready_cpu() is None:
                continue
            finish_ms, objective_ms = finish_and_objective_ms(
                job, queue, now - job.accepted_at, self._estimates.path_times(now)
            )
            if finish_ms > objective_ms:
                continue
            for step in job.ready_steps():
                loads[queue.service] += self._waiting_work(step)
        return loads

    def long_running(self) -> dict[str, LongRunningLoad]:
        """Return the capacity that long-running tasks need, by pool."""
        loads: dict[str, LongRunningLoad] = {}
        for job, queue in self._jobs():
            if not job.lasting:
                continue
            before = loads.get(queue.service, LongRunningLoad())
            steps = [step for step in job.steps() if step.spec.lasting]
            vms = max(
                (ceil(s.spec.count / lasting_tasks_per_vm(s.spec)) for s in steps),
                default=0,
            )
            millis = sum(
                step.placed * step.spec.cpu_millis
                for step in steps
                if not step.spec.fills
            )
            loads[queue.service] = LongRunningLoad(
                max(before.vms, vms), before.cores + millis / 1000
            )
        return loads

    def arrival_rate(self, pool: str) -> ArrivalRate | None:
        """Return the arrival rate of a pool; None if no job has arrived yet."""
        return self._peaks.arrival_rate(pool, self._clock.monotonic())

    def next_peak(self, pool: str) -> Peak | None:
        """Return the current or next peak of a pool; None if not predictable."""
        return self._peaks.next_peak(pool, self._clock.monotonic())

    def _jobs(self) -> Iterator[tuple[JobRun, Queue]]:
        for job in self._live_jobs.values():
            queue = self._queue_of(job.record)
            if queue is not None:
                yield job, queue

    def _waiting_work(self, step: StepRun) -> float:
        task_work = step.spec.cpu_millis * self._estimates.mean_ms(step) / 1_000_000
        return len(step.waiting) * task_work
