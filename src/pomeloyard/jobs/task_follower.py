"""Updates jobs from the workers' reports, missing reports and expired leases."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, replace
from datetime import datetime, timedelta

import logbook

from ..clock import Clock
from ..workers.connections import (
    LATE_START_WINDOW,
    RECOVERY_WAIT,
    AssignedTask,
    WorkerConnections,
    WorkerEvents,
    WorkerState,
)
from ..workers.tasks import OUT_OF_MEMORY, TaskAction, TaskReport, TaskState
from .estimates import Estimates, kind_of
from .job import Job, JobReason, JobState
from .quarantine import Quarantine
from .table import JobTable
from .transitions import after_loss, after_report, not_started

REPORT_WAIT = timedelta(seconds=60)
"""Time after its lease has expired to wait for the report of a non-idempotent task;
without the report the job ends with an unknown result."""
LEASE_CHECK_INTERVAL = timedelta(seconds=0.5)
CLOCK_MARGIN = timedelta(seconds=1)
"""Allowed clock difference between two daemons."""
STOP_RETRY_INTERVAL = timedelta(seconds=2)

log = logbook.Logger("pomeloyard.jobs.scheduler")


@dataclass(frozen=True, slots=True)
class _LateStart:
    """A start order that an unresponsive worker may still execute."""

    team: str
    units: int
    until: timedelta


class TaskFollower(WorkerEvents):
    """Tracks tasks from their start until their results are acknowledged."""

    links: WorkerConnections

    def __init__(
        self,
        clock: Clock,
        table: JobTable,
        estimates: Estimates,
        units_by_team: Counter[str],
        epoch: int,
    ) -> None:
        self._clock = clock
        self._table = table
        self._estimates = estimates
        self._units_by_team = units_by_team
        self._epoch = epoch
        self._next_lease_check = timedelta(0)
        self._late_starts: dict[str, dict[str, _LateStart]] = {}
        self.quarantine = Quarantine()
        self._ended_tasks: dict[str, tuple[str, ...]] = {}
        self._stop_sent_at: dict[str, timedelta] = {}
        self._cancelled: set[str] = set()
        self._recovered: dict[str, timedelta] = {}

    def job_changed(self, before: Job | None, after: Job | None) -> None:
        """Stop tracking a task that ended; track tasks of an earlier scheduler."""
        if before is not None and before.placed:
            still = after is not None and after.placed
            if not still or (after and after.task_id != before.task_id):
                former = self.links.by_name.get(before.worker)
                if former is not None:
                    former.tasks_by_id.pop(before.task_id, None)
                self._cancelled.discard(before.key)
                self._recovered.pop(before.key, None)
        if after is None or not after.placed:
            return
        if after.cancel_requested:
            self._cancelled.add(after.key)
        earlier = before is None or after.fence != self._epoch
        if earlier and after.key not in self._recovered:
            # Tracked as soon as its worker is known.
            now = self._clock.monotonic()
            self._recovered[after.key] = now + RECOVERY_WAIT

    def check(self, now: timedelta) -> None:
        """Handle expired leases, removed workers and requested cancellations."""
        self._follow_recovered(now)
        if now >= self._next_lease_check:
            self._next_lease_check = now + LEASE_CHECK_INTERVAL
            for worker_state in self.links.by_name.values():
                if worker_state.failures:
                    for assigned_task in list(worker_state.tasks_by_id.values()):
                        self._check_lease(assigned_task, now)
        for key in list(self._cancelled):
            job = self._table.get(key)
            if job is not None and job.placed:
                current = self.links.by_name.get(job.worker)
                if current is not None and job.task_id in current.tasks_by_id:
                    self._stop(current, job.task_id)

    def _follow_recovered(self, now: timedelta) -> None:
        for key, ended_by in list(self._recovered.items()):
            job = self._table.get(key)
            if job is None or not job.placed:
                del self._recovered[key]
                continue
            worker_state = self.links.by_name.get(job.worker)
            if worker_state is None:
                # The VM list lacks the worker or has not been read yet.
                if now >= ended_by:
                    self._mark_lost(job, JobReason.WORKER_GONE)
                continue
            del self._recovered[key]
            assigned_task = AssignedTask(
                key, None, ended_by, job.request.idempotent, recovered=True
            )
            assigned_task.superseded = job.fence != self._epoch
            worker_state.tasks_by_id.setdefault(job.task_id, assigned_task)
            self.links.call_soon(worker_state)

    def _check_lease(self, assigned_task: AssignedTask, now: timedelta) -> None:
        wait = timedelta(0) if assigned_task.idempotent else REPORT_WAIT
        job = self._table.get(assigned_task.job_key)
        if job is None or assigned_task.starting or now < assigned_task.ended_by + wait:
            return
        if assigned_task.uncertain and not assigned_task.confirmed:
            # A paused worker may execute the order when it resumes, so its units
            # count toward the team's limit until the worker has answered.
            late = _LateStart(job.team, job.units, now + LATE_START_WINDOW)
            self._late_starts.setdefault(job.worker, {})[job.task_id] = late
            self._units_by_team[job.team] += job.units
        self._mark_lost(job, JobReason.WORKER_UNREACHABLE)

    def _expire_late_starts(self, worker_state: WorkerState, running: set[str]) -> None:
        now = self._clock.monotonic()
        late_starts = self._late_starts.get(worker_state.name, {})
        for task_id, late in list(late_starts.items()):
            if task_id not in running and now >= late.until:
                del late_starts[task_id]
                self._units_by_team[late.team] -= late.units

    def worker_removed(self, worker_state: WorkerState) -> None:
        """Handle the loss of a worker that is no longer in the platform's VM list."""
        self._ended_tasks.pop(worker_state.name, None)
        for late in self._late_starts.pop(worker_state.name, {}).values():
            self._units_by_team[late.team] -= late.units
        for assigned_task in list(worker_state.tasks_by_id.values()):
            job = self._table.get(assigned_task.job_key)
            if job is not None:
                self._mark_lost(job, JobReason.WORKER_GONE)

    def reported(
        self,
        worker_state: WorkerState,
        reports: Sequence[TaskReport],
        known: frozenset[str],
    ) -> None:
        """Handle a worker's reports; it had confirmed the ``known`` tasks before."""
        ended: list[str] = []
        for report in reports:
            if report.state is not TaskState.RUNNING:
                ended.append(report.task_id)
            self._handle(worker_state, report)
        self._ended_tasks[worker_state.name] = tuple(ended)
        reported = {report.task_id for report in reports}
        self._expire_late_starts(worker_state, reported.difference(ended))
        up_since = self._up_since(reports)
        for task_id, assigned_task in list(worker_state.tasks_by_id.items()):
            if task_id not in reported:
                self._handle_missing(
                    worker_state, task_id, assigned_task, known, up_since
                )

    def acknowledgeable(self, worker_state: WorkerState) -> list[str]:
        """Return ended tasks whose results are in the store."""
        done: list[str] = []
        for task_id in self._ended_tasks.get(worker_state.name, ()):
            job = self._table.by_job_id(task_id.rpartition(".")[0])
            written = job is None or job.key not in self._table.pending
            if written and not (job and job.placed and job.task_id == task_id):
                done.append(task_id)
        return done

    def not_started(
        self, worker_state: WorkerState, task_id: str, assigned_task: AssignedTask
    ) -> None:
        """Handle a task that was definitely not started."""
        job = self._table.get(assigned_task.job_key)
        if job is not None and job.placed and job.task_id == task_id:
            self._table.set(not_started(job, self._clock.now()))

    def expected_end(self, worker_state: WorkerState) -> timedelta | None:
        """Return when the worker's next task is expected to end."""
        soonest: float | None = None
        for assigned_task in worker_state.tasks_by_id.values():
            job = self._table.get(assigned_task.job_key)
            if job is None or job.assigned_at is None:
                continue
            ran = (self._clock.now() - job.assigned_at).total_seconds()
            left = self._estimates.run_seconds(job) - ran
            # Polls of an overdue task become less and less frequent.
            left = left if left > 0 else ran / 4
            soonest = left if soonest is None else min(soonest, left)
        if soonest is None:
            return None
        return self._clock.monotonic() + timedelta(seconds=soonest)

    def _handle(self, worker_state: WorkerState, report: TaskReport) -> None:
        job = self._table.by_job_id(report.job_id)
        running = report.state is TaskState.RUNNING
        if job is not None and self._is_unrecorded(job, report):
            job = self._adopt_task(worker_state, job, report)
        if job is None or not job.placed or job.task_id != report.task_id:
            if running:
                self._stop(worker_state, report.task_id)
            elif job is not None and job.state is JobState.QUEUED:
                self._accept_late_result(job, report)
            return
        assigned_task = worker_state.tasks_by_id.get(report.task_id)
        if assigned_task is None:
            assigned_task = AssignedTask(
                job.key, None, self._clock.monotonic() + RECOVERY_WAIT
            )
            assigned_task.idempotent = job.request.idempotent
            worker_state.tasks_by_id[report.task_id] = assigned_task
        assigned_task.confirmed = True
        if not running:
            self._record_end(job, report)
        elif job.state is JobState.ASSIGNED:
            self._table.set(replace(job, state=JobState.RUNNING))

    def _is_unrecorded(self, job: Job, report: TaskReport) -> bool:
        """Tell whether the task was started while the store was unavailable."""
        attempt = report.task_id.rpartition(".")[2]
        return (
            job.state is JobState.QUEUED
            and job.request.idempotent
            and attempt.isdigit()
            and int(attempt) > job.attempt
        )

    def _adopt_task(
        self, worker_state: WorkerState, job: Job, report: TaskReport
    ) -> Job:
        adopted = replace(
            job,
            state=JobState.RUNNING,
            reason=JobReason.NONE,
            worker=worker_state.name,
            worker_boot=worker_state.boot_id,
            task_id=report.task_id,
            attempt=int(report.task_id.rpartition(".")[2]),
            fence=self._epoch,
            assigned_at=self._clock.now(),
        )
        self._table.set(adopted)
        return adopted

    def _accept_late_result(self, job: Job, report: TaskReport) -> None:
        """Accept a success that arrives after the job was requeued."""
        if report.state is TaskState.SUCCEEDED:
            self._table.set(after_report(job, report, self._clock.now()))

    def _up_since(self, reports: Sequence[TaskReport]) -> datetime:
        """Return a time since which the worker has certainly not restarted."""
        running = [r.run_seconds for r in reports if r.state is TaskState.RUNNING]
        return self._clock.now() - timedelta(seconds=max(running, default=0.0))

    def _handle_missing(
        self,
        worker_state: WorkerState,
        task_id: str,
        assigned_task: AssignedTask,
        known: frozenset[str],
        up_since: datetime,
    ) -> None:
        """Handle a task that the worker does not report."""
        job = self._table.get(assigned_task.job_key)
        if job is None or assigned_task.starting:
            return
        now = self._clock.monotonic()
        if task_id in known:
            # The worker had the task but lost it, for example in a restart.
            self._mark_lost(job, JobReason.WORKER_UNREACHABLE)
        elif assigned_task.recovered and not assigned_task.superseded:
            # An order of a failed term may still arrive: track it without renewing
            # its lease until the lease has expired.
            assigned_task.recovered, assigned_task.uncertain = False, True
        elif assigned_task.recovered:
            # The worker now rejects the previous scheduler's fencing token, so the
            # task cannot start any more. It can have run only before a restart of
            # the worker, which an older running task rules out; the boot id in the
            # VM list changes too late to rely on alone.
            assigned_at = job.assigned_at or self._clock.now()
            never_ran = (
                job.state is JobState.ASSIGNED
                and job.worker_boot == worker_state.boot_id
                and up_since + CLOCK_MARGIN < assigned_at
            )
            if never_ran or (
                job.state is JobState.ASSIGNED and assigned_task.idempotent
            ):
                self._table.set(not_started(job, self._clock.now()))
            else:
                self._mark_lost(job, JobReason.WORKER_UNREACHABLE)
        elif (
            assigned_task.uncertain
            and assigned_task.idempotent
            and assigned_task.start_request is not None
        ):
            self.links.start_again(worker_state, task_id, assigned_task)
        elif assigned_task.uncertain and now >= assigned_task.ended_by:
            self._mark_lost(job, JobReason.UNKNOWN)

    def _record_end(self, job: Job, report: TaskReport) -> None:
        after = after_report(job, report, self._clock.now())
        succeeded = report.state is TaskState.SUCCEEDED
        failed = report.state is TaskState.FAILED and report.detail != OUT_OF_MEMORY
        self._estimates.learn(after, completed=succeeded)
        self._table.set(after)
        if not (succeeded or failed):
            return
        kind = kind_of(job.team, job.request)
        change = self.quarantine.task_ended(
            self._clock.monotonic(),
            job.worker,
            job.job_id,
            kind,
            failed=failed,
            fleet_size=len(self.links.by_name),
        )
        changes = [change] if change is not None else []
        if after.reason is JobReason.FAILED_ON_SEVERAL_WORKERS:
            changes += self.quarantine.retract_failures(job.job_id, kind)
        for item in changes:
            log.warning("worker {}: {}", item.worker, item.reason.value)

    def _mark_lost(self, job: Job, reason: JobReason) -> None:
        if job.placed:
            self._table.set(after_loss(job, reason, self._clock.now()))

    def _stop(self, worker_state: WorkerState, task_id: str) -> None:
        now = self._clock.monotonic()
        last = self._stop_sent_at.get(task_id)
        if last is None or now >= last + STOP_RETRY_INTERVAL:
            if len(self._stop_sent_at) > 1000:
                self._stop_sent_at = {
                    t: at
                    for t, at in self._stop_sent_at.items()
                    if now < at + STOP_RETRY_INTERVAL
                }
            self._stop_sent_at[task_id] = now
            self.links.signal(worker_state, task_id, TaskAction.STOP)
