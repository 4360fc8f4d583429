"""What the jobs of a term ask of each pool, now and soon."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterator, Mapping
from math import ceil

from ..clock import Clock
from .learning import Learning
from .model import JobRecord, Queue
from .order import time_left_ms
from .pools import LastingLoad
from .progress import JobRun, StepRun
from .spread import lasting_on_one_vm
from .turns import ArrivalRate, Peak, Turns


class PoolDemand:
    """Work that waits, lasts or is expected, by pool."""

    def __init__(
        self,
        clock: Clock,
        live_jobs: Mapping[str, JobRun],
        learning: Learning,
        turns: Turns,
        queue_of: Callable[[JobRecord], Queue | None],
    ) -> None:
        self._clock = clock
        self._live_jobs = live_jobs
        self._learning = learning
        self._turns = turns
        self._queue_of = queue_of

    def waiting(self) -> dict[str, float]:
        """Return the core-seconds that could run now if there were room."""
        loads: dict[str, float] = defaultdict(float)
        for job, queue in self._jobs():
            for step in job.ready_steps():
                if not step.spec.lasting:
                    loads[queue.service] += self._work_of_waiting(step)
        return loads

    def urgent(self) -> dict[str, float]:
        """Return the part of ``waiting`` whose jobs can still be in time."""
        now = self._clock.monotonic()
        loads: dict[str, float] = defaultdict(float)
        for job, queue in self._jobs():
            if job.lasting or job.smallest_ready_cpu() is None:
                continue
            finish, objective = time_left_ms(
                job, queue, now - job.seen_at, self._learning.expected_ms
            )
            if finish > objective:
                continue
            for step in job.ready_steps():
                loads[queue.service] += self._work_of_waiting(step)
        return loads

    def lasting(self) -> dict[str, LastingLoad]:
        """Return what lasting tasks need."""
        loads: dict[str, LastingLoad] = {}
        for job, queue in self._jobs():
            if not job.lasting:
                continue
            before = loads.get(queue.service, LastingLoad())
            steps = [step for step in job.steps() if step.spec.lasting]
            vms = max(
                (ceil(s.spec.count / lasting_on_one_vm(s.spec)) for s in steps),
                default=0,
            )
            millis = sum(
                step.placed * step.spec.cpu_millis
                for step in steps
                if not step.spec.fills
            )
            loads[queue.service] = LastingLoad(
                max(before.vms, vms), before.cores + millis / 1000
            )
        return loads

    def rate(self, pool: str) -> ArrivalRate | None:
        """Return the rate of a pool's jobs; None if none has ever come."""
        return self._turns.rate(pool, self._clock.monotonic())

    def next_peak(self, pool: str) -> Peak | None:
        """Return a pool's present or next peak, if it can be told."""
        return self._turns.peak(pool, self._clock.monotonic())

    def _jobs(self) -> Iterator[tuple[JobRun, Queue]]:
        for job in self._live_jobs.values():
            queue = self._queue_of(job.record)
            if queue is not None:
                yield job, queue

    def _work_of_waiting(self, step: StepRun) -> float:
        each = step.spec.cpu_millis * self._learning.expected_ms(step) / 1_000_000
        return len(step.waiting) * each
