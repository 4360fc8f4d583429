"""Derive health observations from request outcomes and worker states."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta

from ..clock import Clock
from ..jobs.quarantine import WorkerHealth
from ..jobs.scheduler import Scheduler
from .repair_planning import ObservationKind

RecordObservation = Callable[[str, ObservationKind], None]

WORKER_INTERVAL = timedelta(seconds=5)
"""A worker set aside for a minute yields the ten failed outcomes at which it
counts as failed."""


def record_executor_outcome(
    record: RecordObservation, vm: str, *, failed: bool, unresponsive: bool
) -> None:
    """Record the outcome of one request at an executor."""
    if unresponsive:
        record(vm, ObservationKind.UNRESPONSIVE)
    elif failed:
        record(vm, ObservationKind.REQUEST_FAILED)
    else:
        record(vm, ObservationKind.REQUEST_DONE)


class WorkerObserver:
    """Reports workers that do not answer or fail their tasks.

    Outcomes of single tasks are not reported, as a faulty job also fails on healthy
    workers; the quarantine distinguishes the two.
    """

    def __init__(
        self, clock: Clock, scheduler: Scheduler, record: RecordObservation
    ) -> None:
        self._clock = clock
        self._scheduler = scheduler
        self._record = record

    async def run(self) -> None:
        """Observe the workers regularly until cancelled."""
        while True:
            await self._clock.sleep(WORKER_INTERVAL)
            self.observe()

    def observe(self) -> None:
        """Record the state of each worker if this daemon is the scheduler."""
        term = self._scheduler.term
        if term is None:
            return
        for name, worker_state in term.links.by_name.items():
            if worker_state.reachable:
                self._record(name, ObservationKind.RESPONSIVE)
            elif worker_state.failures:
                self._record(name, ObservationKind.UNRESPONSIVE)
            health = term.follower.quarantine.health(name)
            if health is WorkerHealth.QUARANTINED:
                self._record(name, ObservationKind.TASK_FAILED)
