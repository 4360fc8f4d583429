"""Preemption for urgent jobs, and capacity reservations until they are placed."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from datetime import timedelta
from typing import Any

from ..clock import Clock
from ..decisions import Candidate, DecisionKind
from ..workers.connections import WorkerConnections
from ..workers.tasks import TaskAction
from .capacity import Demand, Worker
from .job import Job, JobDecision, JobReason, JobState
from .placement import CandidateReason, Placement, Placer, Plan, WorkerCandidate
from .preemption import (
    THROTTLED_CORE_FRACTION,
    Preemption,
    PreemptionMethod,
    RunningTask,
    Victim,
    VictimChooser,
)
from .table import JobTable

MAX_URGENT = 64
"""Urgent jobs of each team for which tasks are preempted at the same time."""
CHECKPOINT_TIMEOUT = timedelta(seconds=3)
"""An idempotent task that has not written its checkpoint by then is stopped; for
any other task the reservation is dropped and other victims are selected. The retry
has a shorter timeout, so that the urgent job still starts within 7.2 s."""
RETRY_CHECKPOINT_TIMEOUT = timedelta(seconds=1.5)
STUCK_EXCLUSION = timedelta(seconds=60)
"""Time for which a task whose checkpoint hung is not selected again."""
RESERVATION_TIMEOUT = timedelta(seconds=6)
SELECTION_INTERVAL = timedelta(seconds=0.5)
"""Minimum time between selections, since each one scans all running tasks."""
POLL_INTERVAL = timedelta(seconds=0.4)
RESERVATION_PREFIX = "hold:"
STARVED_AFTER = timedelta(seconds=30)
"""A job that has not fitted for this long gets a worker reserved, because smaller
jobs could otherwise starve it."""
STARVED_TIMEOUT = timedelta(minutes=30)
MAX_RESERVED_FRACTION = 0.05
"""Fraction of the workers, but at least one, reserved for starved jobs."""

_ACTIONS = {
    PreemptionMethod.CHECKPOINT: TaskAction.CHECKPOINT,
    PreemptionMethod.THROTTLE: TaskAction.THROTTLE,
    PreemptionMethod.STOP: TaskAction.STOP,
}


@dataclass
class _Reservation:
    """Capacity of a worker reserved for one job while victims are preempted."""

    job: Job
    demand: Demand
    preemption: Preemption
    began: timedelta
    reason: CandidateReason = CandidateReason.PREEMPTED
    timeout: timedelta = RESERVATION_TIMEOUT
    escalated: bool = False


class Preemptor:
    """Selects and signals victims, and places the jobs with reservations."""

    def __init__(
        self,
        clock: Clock,
        table: JobTable,
        placer: Placer,
        links: WorkerConnections,
        record_decision: Callable[..., Any],
    ) -> None:
        self._clock = clock
        self._table = table
        self._placer = placer
        self._index = placer.index
        self._links = links
        self._record_decision = record_decision
        self._reservations: dict[str, _Reservation] = {}
        self._throttled: set[str] = set()
        self._next_selection = timedelta(0)
        self._stuck_until: dict[str, timedelta] = {}
        self._retried: set[str] = set()

    def take_ready(self, now: timedelta) -> list[Placement]:
        """Return placements of jobs whose reserved capacity has become free."""
        placements: list[Placement] = []
        for key, reservation in list(self._reservations.items()):
            job = self._table.get(key)
            worker = self._index.workers_by_name.get(reservation.preemption.worker)
            if (
                job is None
                or job.state is not JobState.QUEUED
                or worker is None
                or not worker.accepts_work
                or now >= reservation.began + reservation.timeout
            ):
                self._release(key)
            elif _within_capacity(worker):
                self._release(key)
                self._retried.discard(key)
                self._placer.reserve(job, worker.name, reservation.demand)
                candidate = WorkerCandidate(worker.name, reservation.reason)
                placements.append(
                    Placement(job, worker.name, reservation.demand, (candidate,))
                )
            else:
                self._check_progress(reservation, now)
        self._restore_throttled()
        return placements

    def preempt_for_urgent(self, now: timedelta) -> None:
        """Start preempting tasks for queued urgent jobs."""
        if now < self._next_selection:
            return
        waiting = [
            job
            for job in self._placer.queued_urgent(MAX_URGENT)
            if job.key not in self._reservations
        ]
        if not waiting:
            return
        reserved_units: dict[str, int] = {}
        for reservation in self._reservations.values():
            reserved_units[reservation.job.team] = (
                reserved_units.get(reservation.job.team, 0) + reservation.job.units
            )
        self._next_selection = now + SELECTION_INTERVAL
        chooser = VictimChooser(self._running_tasks())
        for job in waiting:
            pools = self._placer.pools_for(job)
            if not pools or not self._placer.within_limit(
                job, reserved_units.get(job.team, 0)
            ):
                continue
            demand = self._placer.fitting_demand(job, pools)
            if demand is None:
                continue
            chosen = chooser.choose(demand, pools, job.failed_on)
            if chosen is not None:
                reserved_units[job.team] = reserved_units.get(job.team, 0) + job.units
                self._reserve(_Reservation(job, demand, chosen, now))
                chooser.accept(chosen)

    def reserve_for_starved(self, now: timedelta, plan: Plan) -> None:
        """Reserve workers for the oldest jobs that smaller jobs keep overtaking."""
        workers = self._index.workers_by_name
        starved = [
            reservation
            for reservation in self._reservations.values()
            if reservation.reason is CandidateReason.RESERVED
        ]
        limit = max(1, int(len(workers) * MAX_RESERVED_FRACTION))
        oldest = self._clock.now() - STARVED_AFTER
        waiting = [
            job
            for job, reason in plan.waiting
            if reason in (JobReason.NO_ROOM, JobReason.SHARE_USED)
            and job.submitted_at <= oldest
            and job.key not in self._reservations
        ]
        waiting.sort(key=lambda job: (job.submitted_at, job.job_id))
        reserved_workers = {
            reservation.preemption.worker for reservation in self._reservations.values()
        }
        for job in waiting[: limit - len(starved)] if limit > len(starved) else ():
            pools = self._placer.pools_for(job) or ()
            demand = self._placer.fitting_demand(job, pools)
            if demand is None:
                continue
            fitting = [
                worker
                for name, worker in workers.items()
                if worker.pool in pools
                and worker.can_start_task()
                and demand.within(worker.capacity)
                and name not in reserved_workers
                and name not in job.failed_on
            ]
            if fitting:
                worker = max(fitting, key=lambda w: (w.free_cores, w.name))
                reserved_workers.add(worker.name)
                reason = CandidateReason.RESERVED
                chosen = Preemption(worker.name, ())
                self._reserve(
                    _Reservation(job, demand, chosen, now, reason, STARVED_TIMEOUT)
                )

    def _reserve(self, reservation: _Reservation) -> None:
        job, worker = reservation.job, reservation.preemption.worker
        self._reservations[job.key] = reservation
        self._index.allocate(worker, RESERVATION_PREFIX + job.key, reservation.demand)
        for victim in reservation.preemption.victims:
            self._signal(worker, victim)
        victims = tuple(
            Candidate(victim.task.job_key.rpartition("/")[2], victim.method)
            for victim in reservation.preemption.victims
        )
        if victims:
            reason = JobReason.PREEMPTED
            self._record_decision(job, DecisionKind.PREEMPT, worker, reason, victims)

    def _signal(self, worker: str, victim: Victim) -> None:
        task = self._table.get(victim.task.job_key)
        worker_state = self._links.by_name.get(worker)
        if task is None or not task.placed or worker_state is None:
            return
        self._links.signal(worker_state, task.task_id, _ACTIONS[victim.method])
        if victim.method is PreemptionMethod.THROTTLE:
            demand = victim.task.demand
            smaller = replace(demand, cores=demand.cores * THROTTLED_CORE_FRACTION)
            self._placer.resize(task, smaller)
            self._throttled.add(task.key)
            task = replace(task, throttled=True)
        decision = JobDecision(
            self._clock.now(), "preempt", victim.method.name.lower(), "urgent-job"
        )
        self._table.set(replace(task, decisions=task.decided(decision)))

    def _check_progress(self, reservation: _Reservation, now: timedelta) -> None:
        """Poll the worker, and escalate when checkpoints take too long."""
        if reservation.reason is CandidateReason.RESERVED:
            return
        worker_state = self._links.by_name.get(reservation.preemption.worker)
        if worker_state is not None:
            self._links.call_soon(worker_state, POLL_INTERVAL)
        retried = reservation.job.key in self._retried
        checkpoint_timeout = RETRY_CHECKPOINT_TIMEOUT if retried else CHECKPOINT_TIMEOUT
        if reservation.escalated or now < reservation.began + checkpoint_timeout:
            return
        reservation.escalated = True
        for victim in reservation.preemption.victims:
            if not self._frees_later(victim, reservation.preemption.worker):
                continue
            if victim.method is PreemptionMethod.CHECKPOINT and victim.task.idempotent:
                stop = replace(victim, method=PreemptionMethod.STOP)
                self._signal(reservation.preemption.worker, stop)
            elif victim.method is PreemptionMethod.CHECKPOINT:
                self._stuck_until[victim.task.job_key] = now + STUCK_EXCLUSION
                self._retried.add(reservation.job.key)
        if any(
            v.task.job_key in self._stuck_until for v in reservation.preemption.victims
        ):
            self._release(reservation.job.key)
            self._next_selection = now

    def _release(self, key: str) -> None:
        reservation = self._reservations.pop(key)
        self._index.release(reservation.preemption.worker, RESERVATION_PREFIX + key)

    def _restore_throttled(self) -> None:
        """Lift the throttling of tasks whose workers have enough free cores again."""
        for key in list(self._throttled):
            job = self._table.get(key)
            if job is None or not job.placed:
                self._throttled.discard(key)
                continue
            worker = self._index.workers_by_name.get(job.worker)
            worker_state = self._links.by_name.get(job.worker)
            demand = self._placer.demand_on_worker(key)
            if worker is None or worker_state is None or demand is None:
                continue
            full_cores = demand.cores / THROTTLED_CORE_FRACTION
            if worker.free_cores >= full_cores - demand.cores:
                self._throttled.discard(key)
                self._placer.resize(job, replace(demand, cores=full_cores))
                self._links.signal(worker_state, job.task_id, TaskAction.UNTHROTTLE)
                self._table.set(replace(job, throttled=False))

    def _running_tasks(
        self,
    ) -> Iterator[tuple[Worker, list[RunningTask], list[Victim]]]:
        now = self._clock.now()
        pending: dict[str, list[Victim]] = {}
        stuck_until = self._stuck_until
        stuck_until = {
            k: until
            for k, until in stuck_until.items()
            if until > self._clock.monotonic()
        }
        self._stuck_until = stuck_until
        excluded = set(stuck_until)
        for reservation in self._reservations.values():
            for victim in reservation.preemption.victims:
                excluded.add(victim.task.job_key)
                if self._frees_later(victim, reservation.preemption.worker):
                    pending.setdefault(reservation.preemption.worker, []).append(victim)
        for worker in self._index.workers_by_name.values():
            tasks: list[RunningTask] = []
            for key, demand in worker.demands_by_job.items():
                job = self._table.get(key)
                if job is None or job.request.urgent or key in excluded:
                    continue
                if not job.placed or job.cancel_requested:
                    continue
                started = job.assigned_at or now
                tasks.append(
                    RunningTask(
                        key,
                        demand,
                        job.request.checkpointable,
                        job.request.idempotent,
                        job.throttled,
                        self._placer.shares.held_by_weight(job.team),
                        (now - started).total_seconds(),
                    )
                )
            yield worker, tasks, pending.get(worker.name, [])

    def _frees_later(self, victim: Victim, worker: str) -> bool:
        """Tell whether a victim still has to release its resources."""
        job = self._table.get(victim.task.job_key)
        if victim.method is PreemptionMethod.THROTTLE or job is None:
            return False  # Throttling reduces the allocation immediately.
        return job.placed and job.worker == worker


def _within_capacity(worker: Worker) -> bool:
    """Tell whether all allocations, with reservations, are within the capacity."""
    return (
        worker.free_cores >= 0
        and worker.free_memory_bytes >= 0
        and worker.free_accelerators >= 0
    )
