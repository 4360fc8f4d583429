"""Makes room for urgent jobs and holds it until they are placed."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from datetime import timedelta
from typing import Any

from ..clock import Clock
from ..decisions import Candidate, DecisionKind
from ..workers.links import WorkerLinks
from ..workers.tasks import TaskAction
from .capacity import Demand, Worker
from .job import Job, JobDecision, JobReason, JobState
from .placement import CandidateReason, Considered, Placement, Placer, Plan
from .preemption import (
    THROTTLED_SHARE,
    Mildness,
    Preemption,
    RunningTask,
    Victim,
    VictimChooser,
)
from .table import JobTable

MAX_URGENT = 64
"""Urgent jobs of each team for which room is made at the same time."""
CHECKPOINT_TIMEOUT = timedelta(seconds=3)
"""After this time an idempotent task that has not written its checkpoint is
stopped; if another has not, room is made elsewhere. With a shorter time for the
second choice the urgent job still starts within 7.2 s."""
SECOND_CHECKPOINT_TIMEOUT = timedelta(seconds=1.5)
STUCK_FOR = timedelta(seconds=60)
"""For this long a task whose checkpoint hung is not chosen again."""
HOLD_TIMEOUT = timedelta(seconds=6)
CHOICE_INTERVAL = timedelta(seconds=0.5)
"""Victims are chosen at most this often, since it looks at all running tasks."""
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
        self._next_choice = timedelta(0)
        self._stuck_until: dict[str, timedelta] = {}
        self._second_choice: set[str] = set()

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
                self._second_choice.discard(key)
                self._placer.reserve(job, worker.name, hold.demand)
                made = Considered(worker.name, hold.reason)
                placements.append(Placement(job, worker.name, hold.demand, (made,)))
            else:
                self._press(hold, now)
        self._restore_throttled()
        return placements

    def make_room(self, now: timedelta) -> None:
        """Start making room for urgent jobs that wait."""
        if now < self._next_choice:
            return
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
        self._next_choice = now + CHOICE_INTERVAL
        chooser = VictimChooser(self._running_tasks())
        for job in waiting:
            pools = self._placer.pools_for(job)
            if not pools or not self._placer.within_limit(job, held.get(job.team, 0)):
                continue
            demand = self._placer.fitting_demand(job, pools)
            if demand is None:
                continue
            chosen = chooser.choose(demand, pools, job.failed_on)
            if chosen is not None:
                held[job.team] = held.get(job.team, 0) + job.units
                self._begin(_Hold(job, demand, chosen, now))
                chooser.use(chosen)

    def keep_room(self, now: timedelta, plan: Plan) -> None:
        """Keep a worker free for the oldest jobs that smaller ones have passed."""
        workers = self._index.workers_by_name
        kept = [
            hold
            for hold in self._holds.values()
            if hold.reason is CandidateReason.ROOM_KEPT
        ]
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
        if hold.reason is CandidateReason.ROOM_KEPT:
            return
        link = self._links.by_name.get(hold.preemption.worker)
        if link is not None:
            self._links.hurry(link, POLL)
        second = hold.job.key in self._second_choice
        patience = SECOND_CHECKPOINT_TIMEOUT if second else CHECKPOINT_TIMEOUT
        if hold.escalated or now < hold.began + patience:
            return
        hold.escalated = True
        for victim in hold.preemption.victims:
            if not self._still_frees(victim, hold.preemption.worker):
                continue
            if victim.way is Mildness.CHECKPOINT and victim.task.idempotent:
                stop = replace(victim, way=Mildness.STOP)
                self._signal(hold.preemption.worker, stop)
            elif victim.way is Mildness.CHECKPOINT:
                self._stuck_until[victim.task.job_key] = now + STUCK_FOR
                self._second_choice.add(hold.job.key)
        if any(v.task.job_key in self._stuck_until for v in hold.preemption.victims):
            self._drop(hold.job.key)
            self._next_choice = now

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

    def _running_tasks(
        self,
    ) -> Iterator[tuple[Worker, list[RunningTask], list[Victim]]]:
        now = self._clock.now()
        leaving: dict[str, list[Victim]] = {}
        stuck = self._stuck_until
        stuck = {
            k: until for k, until in stuck.items() if until > self._clock.monotonic()
        }
        self._stuck_until = stuck
        busy = set(stuck)
        for hold in self._holds.values():
            for victim in hold.preemption.victims:
                busy.add(victim.task.job_key)
                if self._still_frees(victim, hold.preemption.worker):
                    leaving.setdefault(hold.preemption.worker, []).append(victim)
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
            yield worker, tasks, leaving.get(worker.name, [])

    def _still_frees(self, victim: Victim, worker: str) -> bool:
        """Tell whether a victim's room is not free yet but will be."""
        job = self._table.get(victim.task.job_key)
        if victim.way is Mildness.THROTTLE or job is None:
            return False  # A throttled task's smaller size is counted at once.
        return job.placed and job.worker == worker


def _has_room(worker: Worker) -> bool:
    """Tell whether all allocations, with those held, are within the capacity."""
    return (
        worker.free_cores >= 0
        and worker.free_memory_bytes >= 0
        and worker.free_accelerators >= 0
    )
