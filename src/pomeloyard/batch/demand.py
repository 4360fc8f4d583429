"""Present and expected demand on each pool, by its dominant resource.

Load pattern: the memory of a pool runs out while a third of its cores is free, so that
by cores alone it asks for too few VMs.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterator, Mapping
from dataclasses import replace
from datetime import timedelta
from math import ceil

from ..clock import Clock
from .executor_choice import lasting_tasks_per_vm
from .executor_link import ExecutorLink
from .job_ranking import finish_and_objective_ms
from .model import JobRecord, Queue
from .packing import Work, cores_per_gb_by_pool, work_of
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
        links_by_id: Mapping[str, ExecutorLink],
    ) -> None:
        self._clock = clock
        self._live_jobs = live_jobs
        self._estimates = estimates
        self._peaks = peaks
        self._queue_of = queue_of
        self._links_by_id = links_by_id

    def record_arrival(self, pool: str, job: JobRun, core_seconds: float) -> None:
        """Record a job for the forecast of the pool's load."""
        work = Work()
        for step in job.steps():
            if not step.spec.lasting:
                run_ms = self._estimates.expected_ms(step)
                work += work_of(step.spec, step.spec.count, run_ms)
        self._peaks.record_arrival(
            pool,
            job.accepted_at,
            core_seconds,
            timedelta(milliseconds=job.expected_path_ms),
            work.memory_gb_seconds,
        )

    def backlog(self) -> dict[str, float]:
        """Return the work of ready short tasks by dominant resource, by pool."""
        loads: dict[str, Work] = defaultdict(Work)
        for job, queue in self._jobs():
            for step in job.ready_steps():
                if not step.spec.lasting:
                    loads[queue.service] += self._waiting_work(step)
        return self._dominant(loads)

    def urgent_backlog(self) -> dict[str, float]:
        """Return the part of ``backlog`` whose jobs can still meet their objective."""
        now = self._clock.monotonic()
        loads: dict[str, Work] = defaultdict(Work)
        for job, queue in self._jobs():
            if job.lasting or job.smallest_ready() is None:
                continue
            finish_ms, objective_ms = finish_and_objective_ms(
                job, queue, now - job.accepted_at, self._estimates.path_times(now)
            )
            if finish_ms > objective_ms:
                continue
            for step in job.ready_steps():
                loads[queue.service] += self._waiting_work(step)
        return self._dominant(loads)

    def _dominant(self, loads: Mapping[str, Work]) -> dict[str, float]:
        factors = cores_per_gb_by_pool(self._links_by_id.values())
        return {pool: w.dominant(factors.get(pool, 0.0)) for pool, w in loads.items()}

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
            memory_mb = sum(step.placed * step.spec.memory_mb for step in steps)
            loads[queue.service] = LongRunningLoad(
                max(before.vms, vms),
                before.cores + millis / 1000,
                before.memory_gb + memory_mb / 1000,
            )
        return loads

    def arrival_rate(self, pool: str) -> ArrivalRate | None:
        """Return the arrival rate of a pool; None if no job has arrived yet."""
        return self._peaks.arrival_rate(pool, self._clock.monotonic())

    def next_peak(self, pool: str) -> Peak | None:
        """Return the current or next peak of a pool; None if not predictable.

        Its rate is that of the dominant resource.
        """
        peak = self._peaks.next_peak(pool, self._clock.monotonic())
        if peak is None:
            return None
        links = self._links_by_id.values()
        factor = cores_per_gb_by_pool(links).get(pool, 0.0)
        return replace(peak, core_rate=max(peak.core_rate, peak.memory_rate * factor))

    def _jobs(self) -> Iterator[tuple[JobRun, Queue]]:
        for job in self._live_jobs.values():
            queue = self._queue_of(job.record)
            if queue is not None:
                yield job, queue

    def _waiting_work(self, step: StepRun) -> Work:
        run_ms = self._estimates.mean_ms(step)
        return work_of(step.spec, len(step.waiting), run_ms)
