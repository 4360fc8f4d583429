"""Makes room for urgent jobs and holds it until they are placed."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from datetime import timedelta
from typing import Any

from .capacity import Demand, Worker
from .clock import Clock
from .decisions import Candidate, DecisionKind
from .job_table import JobTable
from .jobs import Job, JobDecision, JobReason, JobState
from .placement import CandidateReason, Considered, Placement, Placer, Plan
from .preemption import (
    THROTTLED_SHARE,
    Mildness,
    Preemption,
    RunningTask,
    Victim,
    choose_victims,
)
from .workers.links import WorkerLinks
from .workers.tasks import TaskAction

MAX_URGENT = 64
"""Urgent jobs of each team for which room is made at the same time."""
CHECKPOINT_TIMEOUT = timedelta(seconds=3.5)
"""After this time an idempotent task that has not written its checkpoint is
stopped, so that the urgent job still starts within 7.2 s."""
HOLD_TIMEOUT = timedelta(seconds=6)
POLL = timedelta(seconds=0.4)
HOLD_PREFIX = "hold:"
KEEP_ROOM_AFTER = timedelta(seconds=30)
"""A job that found no room for this long gets a worker kept free for it, or
smaller jobs could pass it for ever."""
KEEP_ROOM_FOR = timedelta(minutes=30)
MAX_KEPT_SHARE = 0.05
"""Part of the workers, but at least one, that may be kept free in this way."""

_ACTIONS = {
    Mildness.CHECKPOINT: TaskAction.CHECKPOINT,
    Mildness.THROTTLE: TaskAction.THROTTLE,
    Mildness.STOP: TaskAction.STOP,
}


@dataclass
class _Hold:
    """Room on a worker that is being made for one urgent job."""

    job: Job
    demand: Demand
    preemption: Preemption
    began: timedelta
    reason: CandidateReason = CandidateReason.ROOM_MADE
    timeout: timedelta = HOLD_TIMEOUT
    escalated: bool = False


class Preemptor:
    """Chooses victims, signals them and places the urgent job."""

    def __init__(
        self,
        clock: Clock,
        table: JobTable,
        placer: Placer,
        links: WorkerLinks,
        record: Callable[..., Any],
    ) -> None:
        self._clock = clock
        self._table = table
        self._placer = placer
        self._index = placer.index
        self._links = links
        self._record = record
        self._holds: dict[str, _Hold] = {}
        self._throttled: set[str] = set()

    def ready(self, now: timedelta) -> list[Placement]:
        """Return placements of urgent jobs whose room has been made."""
        placements: list[Placement] = []
        for key, hold in list(self._holds.items()):
            job = self._table.get(key)
            worker = self._index.workers_by_name.get(hold.preemption.worker)
            if (
                job is None
                or job.state is not JobState.QUEUED
                or worker is None
                or not worker.accepts_work
                or now >= hold.began + hold.timeout
            ):
                self._drop(key)
            elif _has_room(worker):
                self._drop(key)
                self._placer.reserve(job, worker.name, hold.demand)
                made = Considered(worker.name, hold.reason)
                placements.append(Placement(job, worker.name, hold.demand, (made,)))
            else:
                self._press(hold, now)
        self._restore_throttled()
        return placements

    def make_room(self, now: timedelta) -> None:
        """Start making room for urgent jobs that wait."""
        waiting = [
            job
            for job in self._placer.queued_urgent(MAX_URGENT)
            if job.key not in self._holds
        ]
        if not waiting:
            return
        held: dict[str, int] = {}
        for hold in self._holds.values():
            held[hold.job.team] = held.get(hold.job.team, 0) + hold.job.units
        tasks_by_worker = dict(self._running_tasks())
        for job in waiting:
            pools = self._placer.pools_for(job)
            if not pools or not self._placer.within_limit(job, held.get(job.team, 0)):
                continue
            demand = self._placer.fitting_demand(job, pools)
            if demand is None:
                continue
            workers = [
                (worker, tasks_by_worker.get(worker.name, []))
                for worker in self._index.workers_by_name.values()
                if worker.pool in pools and worker.name not in job.failed_on
            ]
            chosen = choose_victims(demand, workers)
            if chosen is None:
                continue
            held[job.team] = held.get(job.team, 0) + job.units
            used = {victim.task.job_key for victim in chosen.victims}
            tasks = tasks_by_worker[chosen.worker]
            tasks_by_worker[chosen.worker] = [
                task for task in tasks if task.job_key not in used
            ]
            self._begin(_Hold(job, demand, chosen, now))

    def keep_room(self, now: timedelta, plan: Plan) -> None:
        """Keep a worker free for the oldest jobs that smaller ones have passed."""
        workers = self._index.workers_by_name
        kept = [h for h in self._holds.values() if not h.preemption.victims]
        limit = max(1, int(len(workers) * MAX_KEPT_SHARE))
        oldest = self._clock.now() - KEEP_ROOM_AFTER
        waiting = [
            job
            for job, reason in plan.waiting
            if reason in (JobReason.NO_ROOM, JobReason.SHARE_USED)
            and job.submitted_at <= oldest
            and job.key not in self._holds
        ]
        waiting.sort(key=lambda job: (job.submitted_at, job.job_id))
        held_workers = {hold.preemption.worker for hold in self._holds.values()}
        for job in waiting[: limit - len(kept)] if limit > len(kept) else ():
            pools = self._placer.pools_for(job) or ()
            demand = self._placer.fitting_demand(job, pools)
            if demand is None:
                continue
            fitting = [
                worker
                for name, worker in workers.items()
                if worker.pool in pools
                and worker.open()
                and demand.within(worker.capacity)
                and name not in held_workers
                and name not in job.failed_on
            ]
            if fitting:
                worker = max(fitting, key=lambda w: (w.free_cores, w.name))
                held_workers.add(worker.name)
                reason = CandidateReason.ROOM_KEPT
                chosen = Preemption(worker.name, ())
                self._begin(_Hold(job, demand, chosen, now, reason, KEEP_ROOM_FOR))

    def _begin(self, hold: _Hold) -> None:
        job, worker = hold.job, hold.preemption.worker
        self._holds[job.key] = hold
        self._index.allocate(worker, HOLD_PREFIX + job.key, hold.demand)
        for victim in hold.preemption.victims:
            self._signal(worker, victim)
        victims = tuple(
            Candidate(victim.task.job_key.rpartition("/")[2], victim.way)
            for victim in hold.preemption.victims
        )
        if victims:
            reason = JobReason.PREEMPTED
            self._record(job, DecisionKind.PREEMPT, worker, reason, victims)

    def _signal(self, worker: str, victim: Victim) -> None:
        task = self._table.get(victim.task.job_key)
        link = self._links.by_name.get(worker)
        if task is None or not task.placed or link is None:
            return
        self._links.signal(link, task.task_id, _ACTIONS[victim.way])
        if victim.way is Mildness.THROTTLE:
            demand = victim.task.demand
            smaller = replace(demand, cores=demand.cores * THROTTLED_SHARE)
            self._placer.resize(task, smaller)
            self._throttled.add(task.key)
            task = replace(task, throttled=True)
        decision = JobDecision(
            self._clock.now(), "preempt", victim.way.name.lower(), "urgent-job"
        )
        self._table.set(replace(task, decisions=task.decided(decision)))

    def _press(self, hold: _Hold, now: timedelta) -> None:
        """Ask for reports, and stop victims that take too long."""
        if not hold.preemption.victims:
            return
        link = self._links.by_name.get(hold.preemption.worker)
        if link is not None:
            self._links.hurry(link, POLL)
        if hold.escalated or now < hold.began + CHECKPOINT_TIMEOUT:
            return
        hold.escalated = True
        for victim in hold.preemption.victims:
            if victim.way is Mildness.CHECKPOINT and victim.task.idempotent:
                stop = replace(victim, way=Mildness.STOP)
                self._signal(hold.preemption.worker, stop)

    def _drop(self, key: str) -> None:
        hold = self._holds.pop(key)
        self._index.release(hold.preemption.worker, HOLD_PREFIX + key)

    def _restore_throttled(self) -> None:
        """Let throttled tasks run at full speed again where there is room."""
        for key in list(self._throttled):
            job = self._table.get(key)
            if job is None or not job.placed:
                self._throttled.discard(key)
                continue
            worker = self._index.workers_by_name.get(job.worker)
            link = self._links.by_name.get(job.worker)
            demand = self._placer.demand_on_worker(key)
            if worker is None or link is None or demand is None:
                continue
            full = demand.cores / THROTTLED_SHARE
            if worker.free_cores >= full - demand.cores:
                self._throttled.discard(key)
                self._placer.resize(job, replace(demand, cores=full))
                self._links.signal(link, job.task_id, TaskAction.UNTHROTTLE)
                self._table.set(replace(job, throttled=False))

    def _running_tasks(self) -> Iterator[tuple[str, list[RunningTask]]]:
        now = self._clock.now()
        busy = {
            victim.task.job_key
            for hold in self._holds.values()
            for victim in hold.preemption.victims
        }
        for worker in self._index.workers_by_name.values():
            tasks: list[RunningTask] = []
            for key, demand in worker.demands_by_job.items():
                job = self._table.get(key)
                if job is None or job.request.urgent or key in busy:
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
            yield worker.name, tasks


def _has_room(worker: Worker) -> bool:
    """Tell whether all allocations, with those held, are within the capacity."""
    return (
        worker.free_cores >= 0
        and worker.free_memory_bytes >= 0
        and worker.free_accelerators >= 0
    )
