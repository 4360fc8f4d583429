"""One term of the scheduler role, with one fencing token."""

from __future__ import annotations

import heapq
from collections.abc import Mapping, Sequence
from dataclasses import replace
from datetime import datetime, timedelta

import anyio
import logbook

from ..clock import Clock
from ..decisions import Candidate, Decision, DecisionKind, DecisionLog
from ..errors import StoreError
from ..fleet_state import FleetState
from ..keyvalue.records import ConflictError, commit_changes
from ..keyvalue.store import Compare, Entry, Store, WatchEvent
from ..workers.client import WorkerClient
from ..workers.connections import TASK_LEASE, AssignedTask, WorkerConnections
from ..workers.tasks import TaskStart
from .capacity import CapacityIndex, Demand
from .estimates import Estimates
from .job import Job, JobDecision, JobReason, JobState, pools_of
from .placement import Placement, Placer, Plan
from .preemptor import Preemptor
from .store import commit_groups
from .table import JobTable
from .task_follower import TaskFollower
from .team_shares import TeamLimits
from .transitions import ended, not_started
from .worker_drain import WorkerDrain
from .worker_roster import WorkerRoster

TICK_INTERVAL = timedelta(seconds=0.1)
PLAN_INTERVAL = timedelta(seconds=1)
"""Maximum time between plans; a tick in which jobs changed also makes one."""
REMOVE_INTERVAL = timedelta(seconds=10)
REASON_INTERVAL = timedelta(seconds=2)
STORE_RETRY_INTERVAL = timedelta(seconds=1)
MAX_REASON_UPDATES = 100
MAX_REMOVALS = 100
MAX_REVISION = 2**62
"""Revision above all others, for a key that was read as absent."""

log = logbook.Logger("pomeloyard.jobs.scheduler")


class SchedulerTerm:
    """Scheduler state and main loop from acquiring the role until losing it."""

    def __init__(
        self,
        clock: Clock,
        state: FleetState,
        store: Store,
        workers: WorkerClient,
        decisions: DecisionLog,
        epoch: int,
        guard: Compare,
    ) -> None:
        self._clock = clock
        self._state = state
        self._store = store
        self._decisions = decisions
        self._epoch = epoch
        self._guard = guard
        self.ended = anyio.Event()
        self.table = JobTable(self._job_changed)
        self.index = CapacityIndex()
        self.estimates = Estimates()
        self.placer = Placer(
            self.index,
            self.table.get,
            self._demand,
            self._pools,
            self._teams,
            clock.monotonic,
        )
        self.follower = TaskFollower(
            clock, self.table, self.estimates, self.placer.units_by_team, epoch
        )
        self.links = WorkerConnections(clock, workers, epoch, self.follower)
        self.follower.links = self.links
        self.roster = WorkerRoster(
            clock, state, self.index, self.links, self.follower.quarantine
        )
        self.preemptor = Preemptor(
            clock, self.table, self.placer, self.links, self._record_decision
        )
        self.drain = WorkerDrain(clock, state, self.table, self.links)
        self._delayed: list[tuple[datetime, str]] = []
        self._pending_starts: dict[str, bool] = {}
        self._last_key_state = (0, 0)
        self._unchecked_keys: set[str] = set()
        """Store keys of jobs queued since the last check for withdrawn API keys."""
        self._loaded = False
        self._store_available = True
        self._plan_needed = True
        self._next_plan = self._next_reasons = self._next_removal = timedelta(0)
        self._next_flush = timedelta(0)
        self.last_plan = Plan()
        self.transactions = 0

    def load(self, entries: tuple[Entry, ...]) -> None:
        """Load a complete scan of the job records."""
        first = not self._loaded
        self.table.load(entries, self._learn_from_ended if first else None)
        self._loaded = True
        self._store_available = True

    def _learn_from_ended(self, job: Job) -> None:
        if job.state is JobState.SUCCEEDED:
            self.estimates.learn(job, completed=True)

    def store_lost(self) -> None:
        """Mark the store as unavailable after the watch of job records broke."""
        self._store_available = False
        self._next_flush = timedelta(0)

    async def run(self) -> None:
        """Run ticks until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._end_when_stale)
            while True:
                if self._loaded:
                    await self.tick()
                await self._clock.sleep(TICK_INTERVAL)

    async def _end_when_stale(self) -> None:
        await self.links.stale.wait()
        self.ended.set()

    async def tick(self) -> None:
        """Update workers and tasks, plan, write changes and start tasks."""
        now = self._clock.monotonic()
        self._plan_needed = self.roster.update(now) or self._plan_needed
        self.follower.check(now)
        self.drain.check(now)
        self._enqueue_delayed()
        if self.roster.recovered(now) and (self._plan_needed or now >= self._next_plan):
            self._plan_needed = False
            self._next_plan = now + PLAN_INTERVAL
            self._plan(now)
        if now >= self._next_flush:
            await self._flush()
        self._start_assigned()
        if self._store_available and now >= self._next_removal:
            self._next_removal = now + REMOVE_INTERVAL
            await self._remove_expired()

    def _cancel_jobs_of_withdrawn_keys(self) -> None:
        """Cancel queued jobs whose API key was withdrawn; running jobs continue."""
        state = self._state
        key_state = (state.keys.version, len(state.withdrawn_key_ids))
        if key_state != self._last_key_state:
            self._last_key_state = key_state
            self._unchecked_keys.update(self.placer.queued_keys())
        now = self._clock.now()
        for key in self._unchecked_keys:
            job = self.table.get(key)
            if job is None or job.state is not JobState.QUEUED:
                continue
            if state.is_withdrawn(job.key_id):
                reason = JobReason.KEY_WITHDRAWN
                self.table.set(ended(job, JobState.CANCELLED, reason, now))
        self._unchecked_keys.clear()

    def _plan(self, now: timedelta) -> None:
        for placement in self.preemptor.take_ready(now):
            self._assign(placement)
        self._cancel_jobs_of_withdrawn_keys()
        plan = self.last_plan = self.placer.plan(now)
        for placement in plan.placements:
            self._assign(placement)
        for job, reason in plan.impossible:
            decision = JobDecision(self._clock.now(), "place", "", reason.value)
            job = ended(job, JobState.IMPOSSIBLE, reason, self._clock.now())
            self.table.set(replace(job, decisions=job.decided(decision)))
        self.preemptor.preempt_for_urgent(now)
        self.preemptor.reserve_for_starved(now, plan)
        if self._store_available and now >= self._next_reasons:
            self._next_reasons = now + REASON_INTERVAL
            self._record_waiting_reasons(plan)

    def _assign(self, placement: Placement) -> None:
        job = placement.job
        if not self._store_available and not job.request.idempotent:
            # Without a record, the next scheduler could start the job again.
            self.placer.unreserve(job)
            self.placer.enqueue(job)
            return
        worker_state = self.links.by_name[placement.worker]
        attempt = job.attempt + 1
        now = self._clock.now()
        reason = JobReason.PLACED
        considered = tuple((c.worker, c.reason.value) for c in placement.considered)
        decision = JobDecision(now, "place", placement.worker, reason.value, considered)
        self.table.set(
            replace(
                job,
                state=JobState.ASSIGNED,
                reason=JobReason.NONE,
                worker=placement.worker,
                worker_boot=worker_state.boot_id,
                task_id=f"{job.job_id}.{attempt}",
                attempt=attempt,
                fence=self._epoch,
                not_before=None,
                assigned_at=now,
                decisions=job.decided(decision),
            )
        )
        self._pending_starts[job.key] = False
        candidates = tuple(Candidate(c.worker, c.reason) for c in placement.considered)
        self._record_decision(
            job, DecisionKind.PLACE, placement.worker, reason, candidates
        )

    async def _flush(self) -> None:
        """Write pending changes; keep them while the store is unavailable."""
        changes = self.table.changes()
        if not changes:
            return
        try:
            result = await commit_groups(self._store, changes, [self._guard])
        except StoreError as error:
            log.info("writing job records failed: {}", error)
            self._store_available = False
            self._next_flush = self._clock.monotonic() + STORE_RETRY_INTERVAL
            return
        self._store_available = True
        self.transactions += result.transactions
        for key, revision in result.revisions_by_key.items():
            if key in self._pending_starts:
                self._pending_starts[key] = True
            self.table.written(result.changes_by_key[key], revision)
        if result.conflicts:
            await self._resolve_conflicts([change.key for change in result.conflicts])

    async def _resolve_conflicts(self, keys: Sequence[str]) -> None:
        """Reload records that others changed; end the term if the role was lost."""
        try:
            epoch = await self._store.get(self._guard.key)
            if epoch is None or epoch.mod_revision != self._guard.mod_revision:
                self.ended.set()
                return
            for key in keys:
                entry = await self._store.get(key)
                revision = MAX_REVISION if entry is None else entry.mod_revision
                self.table.apply(WatchEvent(key, entry, revision))
        except StoreError as error:
            log.info("reloading conflicting job records failed: {}", error)

    def _start_assigned(self) -> None:
        """Start the tasks whose assignments are recorded."""
        for key, written in list(self._pending_starts.items()):
            job, pending = self.table.get(key), key in self.table.pending
            if job is None or job.state is not JobState.ASSIGNED:
                del self._pending_starts[key]
            elif written or (not self._store_available and job.request.idempotent):
                del self._pending_starts[key]
                self._start(job)
            elif not pending:
                # A call whose answer was lost wrote the record at an unknown time,
                # perhaps too long ago to start the task, so requeue the job.
                del self._pending_starts[key]
                self.table.set(not_started(job, self._clock.now()))

    def _start(self, job: Job) -> None:
        worker_state = self.links.by_name.get(job.worker)
        if worker_state is None:
            self.table.set(not_started(job, self._clock.now()))
            return
        demand = self.placer.demand_on_worker(job.key) or self._demand(job)
        order = TaskStart(
            task_id=job.task_id,
            job_id=job.job_id,
            team=job.team,
            fence=self._epoch,
            lease_seconds=TASK_LEASE.total_seconds(),
            cores=demand.cores,
            memory_bytes=demand.memory_bytes,
            accelerators=demand.accelerators,
            command=job.request.command,
            checkpoint=job.checkpoint,
        )
        now = self._clock.monotonic()
        assigned_task = AssignedTask(
            job.key, order, now, idempotent=job.request.idempotent
        )
        self.links.start(worker_state, job.task_id, assigned_task)

    async def _remove_expired(self) -> None:
        changes = self.table.removals(self._clock.now(), MAX_REMOVALS)
        if not changes:
            return
        try:
            await commit_changes(self._store, changes, [self._guard])
        except (StoreError, ConflictError) as error:
            # The scan of the next term finds these records again.
            log.info("removing expired job records failed: {}", error)
            return
        for change in changes:
            self.table.removed(change.key)

    def _record_waiting_reasons(self, plan: Plan) -> None:
        """Record why jobs wait, for a bounded number of changed reasons."""
        remaining = MAX_REASON_UPDATES
        for first, reason in plan.waiting:
            reason = self.roster.refine_reason(reason)
            for key in self.placer.same_class(first, remaining):
                job = self.table.get(key)
                if job is None or job.reason is reason:
                    continue
                self.table.set(replace(job, reason=reason))
                remaining -= 1
            if remaining <= 0:
                return

    def _enqueue_delayed(self) -> None:
        now = self._clock.now()
        while self._delayed and self._delayed[0][0] <= now:
            _, key = heapq.heappop(self._delayed)
            job = self.table.get(key)
            if job is not None and job.state is JobState.QUEUED:
                self.placer.enqueue(job)
                self._plan_needed = True

    def _job_changed(self, key: str, before: Job | None, after: Job | None) -> None:
        self.placer.job_changed(key, before, after)
        self.follower.job_changed(before, after)
        self._plan_needed = True
        if after is None or after.state is not JobState.QUEUED:
            return
        if before is not None and before.state is JobState.QUEUED:
            return
        self._unchecked_keys.add(key)
        if after.not_before is not None and after.not_before > self._clock.now():
            heapq.heappush(self._delayed, (after.not_before, key))
        else:
            self.placer.enqueue(after)

    def _demand(self, job: Job) -> Demand:
        return self.estimates.demand(job)

    def _pools(self, job: Job) -> tuple[str, ...] | None:
        return pools_of(self._state.config, job.team, job.request.queue)

    def _teams(self) -> Mapping[str, TeamLimits]:
        return {
            name: TeamLimits(team.share, team.job_limit)
            for name, team in self._state.config.teams_by_name.items()
        }

    def _record_decision(
        self,
        job: Job,
        kind: DecisionKind,
        choice: str,
        reason: JobReason,
        candidates: tuple[Candidate, ...] = (),
    ) -> None:
        subject = f"job/{job.job_id}"
        at = self._clock.now()
        self._decisions.record(Decision(at, kind, subject, choice, reason, candidates))
