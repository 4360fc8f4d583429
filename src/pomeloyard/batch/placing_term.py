"""One term of the placing role: loads jobs, assigns tasks and stores progress.

Effects happen in a fixed order. An assignment is durable before the executor is told
to start it; an end is durable before it is acknowledged to the executor. Every write
compares the role's epoch and the last revision of each record that it replaces.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Collection, Coroutine, Mapping, Sequence
from datetime import timedelta
from typing import Any

import anyio
import logbook
import msgspec

from ..clock import Clock
from ..concurrency import run_both
from ..errors import CompactedError, StoreError
from ..keyvalue.store import (
    Compare,
    Delete,
    Entry,
    PollingStore,
    Put,
    Transaction,
    WatchEvent,
)
from ..roles import HeldRole, RoleYieldedError
from . import layout
from .admission import JobSize, StoredJobs
from .advice import AdviceService, Advisor
from .call_losses import CallLosses
from .configuration_follower import ConfigurationFollower
from .crash_trials import CrashTrials
from .decision_log import JobDecisionLog
from .demand import PoolDemand
from .denials import SeenDenials
from .disruption import DisruptionBudgets
from .executor_link import MAX_REQUEST_DELAY, ExecutorLink
from .executor_registry import ExecutorRegistry
from .executors import (
    EndedTask,
    Executor,
    ExecutorClient,
    RunningTask,
    StartAnswer,
)
from .failed_items import FailedItems
from .fenced_records import FencedRecords
from .full_teams import FullTeams
from .headway import Headway
from .job_ranking import core_seconds_of, critical_path_ms, measured_path_ms
from .job_reload import JobReload, scan_with_retries
from .marker_sweep import MarkerSweep
from .model import (
    MAX_GANG_TASKS,
    NO_RESOURCES,
    JobRecord,
    JobState,
    Queue,
)
from .peaks import PeakForecaster
from .placed_run import LossCause, Phase, PlacedRun
from .planner import Planner
from .policy import DefaultPolicy, Policy
from .pool_shares import TeamShare
from .progress import EndKind, JobRun, Task
from .progress_writer import ProgressWriter, RecordGroup
from .run_estimates import RunEstimates
from .run_monitor import RunMonitor
from .run_time_records import RunTimeRecords
from .start_queue import OVERDUE_AFTER, PendingStart, StartQueue
from .usage import Usage
from .vm_controller import VmController

RETRY_DELAY = timedelta(milliseconds=80)
"""Pause after a store error. Retries are unlimited: if the store stays unreachable,
the role's lease expires and ends the term."""
WATCH_WAIT = timedelta(seconds=1)
"""A connection that silently stopped delivering hides new jobs and cancellations for
this long plus 0.6 s; cancellations must take effect within 3 s."""
RETRY_WATCH_WAIT = timedelta(seconds=0.3)
"""Wait of the poll after a failed one, so that two silent connections in a row do not
delay a cancellation beyond its 3 s."""
HOUSEKEEPING_INTERVAL = timedelta(milliseconds=500)
"""Interval between checks for unreachable executors, due occurrences and expired
jobs."""
HEADWAY_INTERVAL = timedelta(milliseconds=500)
"""Interval between checks whether the term makes progress."""
MARKER_INTERVAL = timedelta(seconds=1)
"""Interval between deletions of markers; the count of waiting jobs may be 2 s old."""
REFUSED_START_DELAY = timedelta(milliseconds=400)
"""Delay before a task whose start was refused is placed again, which prevents a tight
loop while the executor's state is still unknown."""
FAILED_TASK_DELAY = timedelta(milliseconds=50)
"""Delay before a failed task is placed again, so that a failing executor is detected
first."""

STARTS_BEFORE_REPLAN = 64
"""Answered starts after which tasks are assigned that the limit on unanswered starts
held back; a planning round costs more than a start."""
MAX_CONCURRENT_FIRST_POLLS = 100
"""Concurrent first polls of executors in a new term. A poll takes about a millisecond
of CPU time and times out after half a second, so thousands at once would time out."""

log = logbook.Logger("pomeloyard.batch.term")


class PlacingTerm:
    """State and background tasks from acquiring the role until losing it."""

    def __init__(
        self,
        clock: Clock,
        store: PollingStore,
        follower: ConfigurationFollower,
        registry: ExecutorRegistry,
        executor_client: ExecutorClient,
        decision_log: JobDecisionLog,
        role: HeldRole,
        guard: Compare,
        retention: timedelta,
        new_vm_controller: Callable[[PlacingTerm], VmController] | None = None,
        advice: AdviceService | None = None,
        *,
        ids_reused: bool = False,
        policy: Policy | None = None,
        memory_for_jobs: Callable[[], int] = lambda: 0,
    ) -> None:
        self._clock = clock
        self._store = store
        self._follower = follower
        self._registry = registry
        self._executor_client = executor_client
        self._decision_log = decision_log
        self.role = role
        self.epoch = role.epoch
        self.guard = guard
        self._headway = Headway(clock, role.is_confirmed)
        self._stalled: str | None = None
        """The activity because of which the term gives the role up."""
        self._retention = retention
        self._advisor = Advisor(clock, advice, self.request_plan) if advice else None
        self.jobs_by_id: dict[str, JobRun] = {}
        self._denials = SeenDenials(clock, store, guard)
        """Ids that were cancelled before they existed. An earlier build may create
        such a job all the same."""
        self.links_by_id: dict[str, ExecutorLink] = {}
        self.disruption_budgets = DisruptionBudgets(self.links_by_id)
        self.policy = policy or DefaultPolicy()
        self.failed_items = FailedItems(clock, decision_log)
        self.usage = Usage()
        self.estimates = RunEstimates()
        self._run_monitor = RunMonitor(clock, self.estimates, decision_log)
        self.peaks = PeakForecaster()
        self.first_polls = anyio.Semaphore(MAX_CONCURRENT_FIRST_POLLS)
        self._lost_calls = CallLosses()
        self.crash_trials = CrashTrials(clock, decision_log, self.links_by_id)
        self._ids_survive_restarts = ids_reused
        """Whether an executor can restart under the same id."""
        self._plan_requested = anyio.Event()
        self._services_to_plan: set[str] = set()
        """Services with changes since the last planning round."""
        self._replan_all = True
        self._tasks: anyio.abc.TaskGroup | None = None
        self._ended = anyio.Event()
        self._active_jobs: dict[str, JobRun] = {}
        self._awake_at = clock.monotonic()
        """When the last housekeeping began."""
        self._evacuated_zones: frozenset[str] = frozenset()
        """The evacuated zones as last recorded."""
        self._loaded = False
        """Whether all jobs are known. Until then an executor must not be polled, as
        runs of jobs that are not loaded yet would be stopped."""
        self.vm_controller = new_vm_controller(self) if new_vm_controller else None
        self._writer = ProgressWriter(clock, store, guard)
        self._start_queue = StartQueue()
        self._start_timer_runs = False
        self._answered_starts = 0
        """Starts that were answered or given up since the last planning round."""
        self._run_time_records = RunTimeRecords(
            clock,
            store,
            FencedRecords(clock, store, guard),
            self.estimates.run_times,
        )
        self.stored_jobs = StoredJobs()
        self._full_teams = FullTeams(
            clock, store, guard, self.stored_jobs, memory_for_jobs, decision_log
        )
        self.demand = PoolDemand(
            clock, self._active_jobs, self.estimates, self.peaks, self._queue_of
        )
        self._planner = Planner(
            clock,
            follower,
            self.usage,
            self.estimates,
            decision_log,
            role.epoch,
            self.links_by_id,
            self._active_jobs,
            self._advisor,
            self._queue_of,
            self._job_changed,
            self.policy,
            self.crash_trials,
            self.failed_items,
        )

    # Running

    async def run(self) -> None:
        """Run until the role is lost or the term is cancelled.

        Raises RoleYieldedError if the term could not go on with its work.
        """
        self._follower.on_change.append(self._update_evacuated_zones)
        try:
            await self._run()
        finally:
            self._follower.on_change.remove(self._update_evacuated_zones)
        if self._stalled is not None:
            raise RoleYieldedError(f"no progress: {self._stalled}")

    async def _run(self) -> None:
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            tasks.start_soon(self._registry.run)
            tasks.start_soon(self._run_time_records.run)
            tasks.start_soon(self._watch_headway)
            position: int | None = None
            async with anyio.create_task_group() as loading:
                loading.start_soon(self._cancel_when_ended, loading.cancel_scope)
                position = await self._load()
                loading.cancel_scope.cancel()
            if position is None:
                tasks.cancel_scope.cancel()
                return
            self._loaded = True
            self._headway.finish("load")
            for link in self.links_by_id.values():
                if link.registered:
                    self.spawn(link, link.run)
            self._registry.on_change = self._update_links
            self._update_links()
            self._update_evacuated_zones()
            tasks.start_soon(self._watch_jobs, position)
            tasks.start_soon(self._run_housekeeping)
            tasks.start_soon(self._run_planner)
            tasks.start_soon(self._full_teams.run)
            tasks.start_soon(self._delete_markers)
            if self.vm_controller is not None:
                tasks.start_soon(self.vm_controller.run)
            if self._advisor is not None:
                tasks.start_soon(self._advisor.run)
            await self._ended.wait()
            tasks.cancel_scope.cancel()

    async def _watch_headway(self) -> None:
        """Give the role up if an activity stalls although the role is renewed."""
        self._registry.on_progress = lambda: self._headway.record("registrations")
        self._headway.record("load")
        self._headway.record("registrations")
        written = 0
        while self._stalled is None:
            await self._clock.sleep(HEADWAY_INTERVAL)
            if not self._writer.writes_in_flight or self._writer.writes_done != written:
                self._headway.finish("writes")
            written = self._writer.writes_done
            if self._writer.writes_in_flight:
                self._headway.begin("writes")
            self._stalled = self._headway.find_stalled()
        self.end_term(f"no progress: {self._stalled}")

    async def _cancel_when_ended(self, scope: anyio.CancelScope) -> None:
        await self._ended.wait()
        scope.cancel()

    async def _load(self) -> int:
        """Load all jobs and their progress; return the revision to watch from."""
        (incoming, runs), (crashes, id_flags) = await run_both(
            lambda: run_both(
                lambda: self._scan(layout.INCOMING), lambda: self._scan(layout.RUNS)
            ),
            lambda: run_both(
                lambda: self._scan(layout.CRASHES),
                lambda: self._scan(layout.EXECUTOR_IDS_REUSED),
            ),
        )
        await self._registry.loaded.wait()
        self._ids_survive_restarts = self._ids_survive_restarts or bool(id_flags[0])
        runs_by_id = {e.key.removeprefix(layout.RUNS): e for e in runs[0]}
        crashes_by_id = {e.key.removeprefix(layout.CRASHES): e for e in crashes[0]}
        cancelled = []
        # In order of acceptance, which the prediction of load peaks depends on.
        for entry in sorted(incoming[0], key=lambda e: e.mod_revision):
            # The lease of the role is renewed meanwhile.
            await anyio.lowlevel.checkpoint()
            self._headway.record("load")
            if entry.key.startswith(layout.CANCELS):
                cancelled.append((entry.key.removeprefix(layout.CANCELS), entry))
            else:
                job_id = entry.key.removeprefix(layout.JOBS)
                with self.failed_items.contain("job", job_id):
                    self._add_job(
                        job_id, entry, runs_by_id.get(job_id), crashes_by_id.get(job_id)
                    )
        for job_id, entry in cancelled:
            with self.failed_items.contain("job", job_id):
                self._cancel(job_id, entry)
        # An earlier build deletes a job without this record.
        orphans = [job_id for job_id in crashes_by_id if job_id not in self.jobs_by_id]
        for job_id in orphans:
            self.spawn(None, self._delete, (layout.CRASHES + job_id,))
        log.info(
            "epoch {}: loaded {} jobs, {} with progress",
            self.epoch,
            len(self.jobs_by_id),
            len(runs_by_id),
        )
        return incoming[1]

    async def _scan(self, prefix: str) -> tuple[list[Entry], int]:
        page = await scan_with_retries(
            self._clock, self._store, prefix, lambda: self._headway.record("load")
        )
        return list(page.entries), page.revision

    def _add_job(
        self,
        job_id: str,
        entry: Entry,
        run: Entry | None,
        crashes: Entry | None = None,
    ) -> None:
        if job_id in self.jobs_by_id:
            return
        now = self._clock.monotonic()
        job = self._decode_job(job_id, entry, run, crashes, now)
        if job is None:
            return
        record = job.record
        self.jobs_by_id[job_id] = job
        steps = record.spec.steps
        tasks = sum(step.count for step in steps) * job.occurrence_count
        self.stored_jobs.add(
            job_id, record.team, JobSize(len(entry.value), len(steps), tasks)
        )
        self.crash_trials.restore(job)
        job.open_due_occurrences(self._unix_ms())
        queue = self._queue_of(record)
        if queue is not None and not job.lasting:
            with self.failed_items.contain("job", job_id):
                self._record_arrival(job, queue, now)
        for task in job.placed_tasks():
            self._restore_run(task)
        if job.final:
            # Most jobs that a new term loads have ended; they are not logged.
            job.ended_at = now
            return
        self._active_jobs[job_id] = job
        if run is not None and self._ids_survive_restarts:
            self._delay_waiting_tasks(job, now)
        self._planner.update_backlog(job)
        gang = max((s.count for s in record.spec.steps if s.gang), default=0)
        if gang > MAX_GANG_TASKS:
            log.error("job {} is not run: it has a gang of {} tasks", job_id, gang)
        self._decision_log.record(
            "job",
            job_id,
            "found",
            queue=record.queue,
            team=record.team,
            state=job.state.value,
            tasks=sum(step.count for step in record.spec.steps),
            steps=len(record.spec.steps),
            lasting=job.lasting,
            at_most=max((s.max_per_executor for s in record.spec.steps), default=0),
            away=max((s.may_be_away for s in record.spec.steps), default=0),
            cpu=max((s.cpu_millis for s in record.spec.steps), default=0),
        )

    def _record_arrival(self, job: JobRun, queue: Queue, now: timedelta) -> None:
        """Record the expected work of a job for its rank and for load peaks."""
        work = core_seconds_of(job, self.estimates.expected_ms, remaining=False)
        self._planner.record_job(queue, work)
        times = self.estimates.path_times(now)
        job.expected_path_ms = critical_path_ms(job, times, remaining=False)
        chain = timedelta(milliseconds=job.expected_path_ms)
        self.peaks.record_arrival(queue.service, job.accepted_at, work, chain)

    def _decode_job(
        self,
        job_id: str,
        entry: Entry,
        run: Entry | None,
        crashes: Entry | None,
        now: timedelta,
    ) -> JobRun | None:
        """Return a job as its records show it, None if they cannot be decoded.

        Whatever is wrong with them, the other jobs must run.
        """
        try:
            record = msgspec.msgpack.decode(entry.value, type=JobRecord)
            age = max(timedelta(0), self._clock.now() - record.submitted_at)
            job = JobRun(job_id, record, self._queue_of(record), now - age)
            if run is not None:
                job.restore_progress(run.value, run.mod_revision)
                if crashes is not None:
                    job.restore_crashes(crashes.value)
        except Exception as error:
            # Unknown which tasks have run, so none is started.
            log.error("job {} cannot be decoded and is not run: {!r}", job_id, error)
            return None
        return job

    def _delay_waiting_tasks(self, job: JobRun, now: timedelta) -> None:
        """Delay waiting tasks until unanswered starts of the previous term are void.

        Which starts were answered is not stored.
        """
        for step in job.steps():
            for task in step.waiting.returned():
                if task.run and not step.spec.lasting:
                    task.not_before = now + MAX_REQUEST_DELAY

    def _restore_run(self, task: Task) -> None:
        """Track a run that an earlier term assigned."""
        link = self._get_or_create_link(task.executor)
        placed = PlacedRun(task, task.run, Phase.UNCONFIRMED, self.epoch - 1)
        self.usage.add(task.executor, link.executor.rack, task)
        task.started_at = self._clock.monotonic()
        # Neither its start time nor whether the start was answered is stored.
        placed.partial = True
        placed.unsure = True
        placed.may_be_stopping = True
        suspicion = task.suspicion
        passed = suspicion is not None and suspicion.passed_run == task.run
        placed.on_trial = self.crash_trials.needs_trial(task) and not passed
        placed.ordered_at = task.started_at
        link.assign(placed)
        if task.step.job.final and not task.serves_on:
            link.stop(placed)

    def _get_or_create_link(self, executor_id: str) -> ExecutorLink:
        """Return an executor's link, creating it even if it is not registered."""
        link = self.links_by_id.get(executor_id)
        if link is None:
            known = self._registry.executors_by_id.get(executor_id)
            executor = known or Executor(
                executor_id, "", "", "", NO_RESOURCES, (), True, 0
            )
            link = ExecutorLink(
                self._clock, self._executor_client, executor, self.epoch, self
            )
            link.registered = known is not None
            if known is None:
                # It has no address to poll; the VM list may show that it is gone.
                link.unreachable_since = self._clock.monotonic()
            self.links_by_id[executor_id] = link
            self._update_evacuated_zone(link)
            if known is not None and self._loaded:
                self.spawn(link, link.run)
        return link

    def _update_links(self) -> None:
        """Update the links to match the registered executors."""
        for executor_id, executor in self._registry.executors_by_id.items():
            with self.failed_items.contain("executor", executor_id):
                link = self._get_or_create_link(executor_id)
                if not link.executor.address:
                    self.spawn(link, link.run)
                link.update(executor)
                self._update_evacuated_zone(link)
        for executor_id, link in list(self.links_by_id.items()):
            if executor_id not in self._registry.executors_by_id:
                link.registered = False
            with self.failed_items.contain("executor", executor_id):
                self._end_superseded_runs(link)
        self.request_plan()

    def _update_evacuated_zones(self) -> None:
        """Update the links after evacuations changed, and record the change."""
        zones = self._follower.evacuations.zones
        for zone in sorted(zones ^ self._evacuated_zones):
            outcome = "evacuated" if zone in zones else "readmitted"
            self._decision_log.record("zone", zone, outcome)
        if zones == self._evacuated_zones:
            return
        self._evacuated_zones = zones
        for link in self.links_by_id.values():
            self._update_evacuated_zone(link)
        self.request_plan()

    def _update_evacuated_zone(self, link: ExecutorLink) -> None:
        zone = link.executor.availability_zone
        link.zone_evacuated = zone in self._follower.evacuations.zones

    async def _watch_jobs(self, position: int) -> None:
        wait = WATCH_WAIT
        reload = JobReload(
            self._clock,
            self._store,
            self.jobs_by_id.__contains__,
            self._denials,
            self._apply,
            lambda: self._headway.record("jobs"),
        )
        self._headway.record("jobs")
        while True:
            try:
                batch = await self._store.poll_changes(layout.INCOMING, position, wait)
                wait = WATCH_WAIT
                self._headway.record("jobs")
                for event in batch.events:
                    self._apply(event)
                position = batch.revision
            except CompactedError as error:
                log.info("watch revision was compacted, reading jobs again: {}", error)
                position = await reload.run()
            except StoreError as error:
                # The next poll resumes from the same revision and misses no event.
                log.info("job watch failed, retrying: {}", error)
                wait = RETRY_WATCH_WAIT
                await self._clock.sleep(RETRY_DELAY)

    def _apply(self, event: WatchEvent) -> None:
        """Apply a change of a job or cancellation; an error concerns only that job."""
        with self.failed_items.contain("job", event.key.rpartition("/")[2]):
            self._apply_change(event)

    def _apply_change(self, event: WatchEvent) -> None:
        if event.entry is None:
            self._denials.discard(event.key.removeprefix(layout.CANCELS))
            return
        if event.key.startswith(layout.CANCELS):
            self._cancel(event.key.removeprefix(layout.CANCELS), event.entry)
        else:
            job_id = event.key.removeprefix(layout.JOBS)
            if job_id not in self.jobs_by_id:
                self._add_job(job_id, event.entry, None)
                if job_id in self._denials:
                    self._cancel_job(self.jobs_by_id.get(job_id))
                job = self.jobs_by_id.get(job_id)
                if job is not None:
                    self._plan_queue_soon(job.record)
                    if self.vm_controller is not None:
                        self.vm_controller.job_arrived()

    def _cancel(self, job_id: str, entry: Entry) -> None:
        """Cancel a job, or deny one that does not exist, by the stored record."""
        if job_id in self.jobs_by_id:
            self._cancel_job(self.jobs_by_id[job_id])
        else:
            self._denials.add(job_id, entry)

    def _cancel_job(self, job: JobRun | None) -> None:
        if job is None:
            return
        if not job.cancel():
            # Long-running tasks go on after their job has failed.
            self._stop_runs(job)
            return
        self._decision_log.record(
            "cancel", job.job_id, "stopped", running=job.has_started
        )
        self._end_job(job)

    def _end_job(self, job: JobRun) -> None:
        """Store the final state of a job and stop its remaining runs."""
        self._retire_job(job)
        self._stop_runs(job)

    def _retire_job(self, job: JobRun) -> None:
        """Store the final state of a job."""
        job.ended_at = self._clock.monotonic()
        self._active_jobs.pop(job.job_id, None)
        if self._advisor is not None:
            self._advisor.discard_job(job.job_id)
        self._job_changed(job)

    async def _stop_once_durable(self, job: JobRun) -> None:
        """Stop the runs of a job that was given up, once it is stored as failed.

        Until then another holder would go on with it.
        """
        await self.wait_until_durable({job.job_id})
        for task in job.placed_tasks():
            if not task.serves_on:
                self._stop_task(task)

    def _stop_runs(self, job: JobRun) -> None:
        for task in job.placed_tasks():
            self._stop_task(task)

    def _stop_task(self, task: Task) -> None:
        link = self.links_by_id.get(task.executor)
        placed = link.runs_by_name.get(task.name) if link else None
        if link is not None and placed is not None:
            link.stop(placed)

    def job_counts(self) -> dict[JobState, int]:
        """Return how many jobs are in each state."""
        counts: dict[JobState, int] = defaultdict(int)
        for job in self.jobs_by_id.values():
            counts[job.state] += 1
        return counts

    def shares_by_pool(self) -> Mapping[str, Mapping[str, TeamShare]]:
        """Return what each team holds and its share, by full pool and team."""
        return self._planner.share_rounds.latest()

    def request_plan(self) -> None:
        """Request a planning round for all services."""
        self._replan_all = True
        self._plan_requested.set()

    def _plan_queue_soon(self, record: JobRecord) -> None:
        queue = self._queue_of(record)
        self._plan_service_soon(queue.service if queue is not None else "")

    def _plan_service_soon(self, service: str) -> None:
        """Request a planning round for one service."""
        self._services_to_plan.add(service)
        self._plan_requested.set()

    async def _run_planner(self) -> None:
        while True:
            await self._plan_requested.wait()
            await self._writer.wait_for_batching()
            self._plan_requested = anyio.Event()
            services = None if self._replan_all else self._services_to_plan
            self._replan_all = False
            self._services_to_plan = set()
            self._answered_starts = 0
            self._planner.plan(services)
            self._writer.defer_starts(self._planner.take_assignments())
            groups = self._writer.take_groups()
            for group in groups:
                self.spawn(None, self._store_group, group)
            if groups:
                self.spawn(None, self._writer.end_batching)

    async def _store_group(self, group: RecordGroup) -> None:
        """Store a group of records, then start the runs assigned in them."""
        if not await self._writer.store_group(group):
            self.end_term("the epoch or a job record was replaced by another term")
            return
        self._start_queue.extend(group.starts)
        self._send_starts()
        if self._writer.has_unwritten_changes:
            self._plan_requested.set()

    def _send_starts(self) -> None:
        """Send the starts that may be sent now."""
        while start := self._start_queue.take(self._clock.monotonic()):
            self.spawn(start[0], self._send_start, start)
        if len(self._start_queue) and not self._start_timer_runs:
            self._start_timer_runs = True
            self.spawn(None, self._send_more_starts_later)

    async def _send_more_starts_later(self) -> None:
        """Send the starts that overdue ones made room for."""
        await self._clock.sleep(OVERDUE_AFTER)
        self._start_timer_runs = False
        self._send_starts()

    async def _send_start(self, start: PendingStart) -> None:
        link, placed = start
        try:
            await link.start(placed)
        finally:
            self._start_queue.finish(start)
        self._answered_starts += 1
        self._send_starts()
        held_back = self._planner.held_back
        enough = self._answered_starts >= STARTS_BEFORE_REPLAN
        if held_back and (enough or not len(self._start_queue)):
            self._services_to_plan |= held_back
            self._plan_requested.set()

    async def _delete_markers(self) -> None:
        """Delete the markers of jobs that have begun, or that are gone."""
        await self._clock.sleep(MARKER_INTERVAL)
        sweep = MarkerSweep(self._clock, self._store, self.guard, self.jobs_by_id)
        for job in self._active_jobs.values():
            if job.begin_confirmed:
                self._writer.mark_begun(job)
        self.spawn(None, sweep.run)
        while True:
            await self._writer.delete_markers()
            await self._clock.sleep(MARKER_INTERVAL)

    async def _run_housekeeping(self) -> None:
        while True:
            await self._clock.sleep(HOUSEKEEPING_INTERVAL)
            now = self._awake_at = self._clock.monotonic()
            for job in list(self._active_jobs.values()):
                self.failed_items.handle("job", job.job_id, self._open_due, job)
            for executor_id, link in list(self.links_by_id.items()):
                self.failed_items.handle(
                    "executor", executor_id, self._check_link, link, now
                )
            self._expire_jobs(now)
            while ended := self._denials.take_due():
                self.spawn(None, self._denials.remove, ended)
            self.request_plan()

    def _open_due(self, job: JobRun) -> None:
        if job.open_due_occurrences(self._unix_ms()):
            self._job_changed(job)

    def _end_superseded_runs(self, link: ExecutorLink) -> None:
        """End the runs of a silent executor whose VM has a later one.

        The list of VMs shows the loss sooner, unless it cannot be read.
        """
        if link.unreachable_since is None or not link.runs_by_name:
            return
        successors = filter(
            self._has_answered, self._registry.successors_of(link.executor)
        )
        successor = next(successors, None)
        if successor is None:
            return
        executor_id = link.executor.executor_id
        self._decision_log.record(
            "executor", executor_id, "superseded", by=successor.executor_id
        )
        controller = self.vm_controller
        cause = controller.loss_cause(link) if controller else LossCause.UNKNOWN
        link.mark_all_lost("its VM has a later executor", cause)

    def _has_answered(self, executor: Executor) -> bool:
        """Tell whether an executor has answered as the one that its entry names."""
        link = self.links_by_id.get(executor.executor_id)
        return link is not None and link.incarnation == executor.incarnation

    def _check_link(self, link: ExecutorLink, now: timedelta) -> None:
        self._end_superseded_runs(link)
        silent = not link.reachable
        if silent and link.runs_by_name and link.all_leases_expired(now):
            link.mark_all_lost(
                "unreachable until all task leases expired", LossCause.LEASES_EXPIRED
            )
        if not link.registered and not link.runs_by_name and silent:
            link.closed = True
            link.poll_soon()
            self.links_by_id.pop(link.executor.executor_id, None)
            self.failed_items.forget("executor", link.executor.executor_id)

    def _expire_jobs(self, now: timedelta) -> None:
        """Delete ended jobs after the retention period."""
        for job_id, job in list(self.jobs_by_id.items()):
            if job.ended_at is None or now - job.ended_at < self._retention:
                continue
            if job.placed_tasks() or self._writer.has_undurable_changes(job_id):
                continue
            self.spawn(None, self._delete_job, job)
            del self.jobs_by_id[job_id]
            self.stored_jobs.remove(job_id)
            self.failed_items.forget("job", job_id)

    async def _delete_job(self, job: JobRun) -> None:
        prefixes = [layout.JOBS, layout.CANCELS, layout.RUNS]
        if job.has_suspicions:
            prefixes.append(layout.CRASHES)
        if job.waiting_marker_stored:
            prefixes.append(layout.waiting_prefix(job.record.queue))
        await self._delete([prefix + job.job_id for prefix in prefixes])

    async def _delete(self, keys: Sequence[str]) -> None:
        """Delete the records of a job that has expired."""
        operations = tuple(map(Delete, keys))
        try:
            await self._store.commit(Transaction((self.guard,), operations))
        except StoreError as error:
            log.info("expired {} was not deleted: {}", keys[0], error)

    # Callbacks of executor links

    def spawn(
        self,
        link: ExecutorLink | None,
        work: Callable[..., Coroutine[Any, Any, None]],
        *args: object,
    ) -> None:
        """Run a coroutine function in the term's task group.

        An unexpected error in work on a link affects only that executor; any other
        unexpected error ends the term.
        """
        if self._tasks is None or self._ended.is_set():
            return
        if link is None:
            self._tasks.start_soon(work, *args)
        else:
            self._tasks.start_soon(self._run_isolated, link, work, *args)

    async def _run_isolated(
        self,
        link: ExecutorLink,
        work: Callable[..., Coroutine[Any, Any, None]],
        *args: object,
    ) -> None:
        try:
            await work(*args)
        except Exception as error:
            log.exception("work on executor {} failed", link.executor.executor_id)
            link.mark_starts_unanswered(repr(error))

    def may_disrupt(self, placed: PlacedRun) -> bool:
        """Tell whether stopping a run respects its step's disruption budget."""
        return self.disruption_budgets.may_disrupt([placed])

    def may_start_on(self, link: ExecutorLink, task: Task) -> bool:
        """Tell whether the start of an assigned task may be sent to an executor now."""
        executor = link.executor
        return (
            self._follower.zone_gate.may_start_in(executor.availability_zone)
            and self._registry.is_current
            and self.usage.within(
                executor.executor_id, executor.capacity, task.step.spec
            )
        )

    async def wait_until_current(self) -> None:
        """Wait until evacuations and capacities are known well enough for starts."""
        await self._follower.wait_until_current()
        await self._registry.wait_until_current()

    def handle_stale_fence(self, link: ExecutorLink) -> None:
        """End the term after an executor reported a higher fencing token."""
        self._decision_log.record(
            "role", f"epoch/{self.epoch}", "lost", by=link.executor.executor_id
        )
        self._ended.set()

    def handle_reused_id(self, link: ExecutorLink) -> None:
        """Record durably that executors restart under the same ids."""
        if not self._ids_survive_restarts:
            self._ids_survive_restarts = True
            self._decision_log.record("executor", link.executor.executor_id, "id-kept")
            self.spawn(link, self._store_ids_survive_restarts)

    async def _store_ids_survive_restarts(self) -> None:
        operation = Put(layout.EXECUTOR_IDS_REUSED, b"1")
        try:
            await self._store.commit(Transaction((self.guard,), (operation,)))
        except StoreError as error:
            # Stored at the next restart that a term detects.
            log.info("reuse of executor ids was not stored: {}", error)

    def awake_until(self) -> timedelta:
        """Return a time until which this process was certainly not paused."""
        return self._awake_at + HOUSEKEEPING_INTERVAL

    def handle_lost_call(self, link: ExecutorLink) -> None:
        """Record that a call to an executor got no answer."""
        self._lost_calls.record(link.executor.executor_id, self._clock.monotonic())

    def calls_are_lost(self) -> bool:
        """Tell whether calls to several executors were recently lost."""
        return self._lost_calls.calls_are_lost(self._clock.monotonic())

    def end_term(self, reason: str) -> None:
        """End the term and give up the role."""
        self._decision_log.record("role", f"epoch/{self.epoch}", "lost", reason=reason)
        self._ended.set()

    def unsaved_short_work(self, link: ExecutorLink) -> float:
        """Return the unsaved work of batch tasks on an executor, in core-seconds."""
        now = self._clock.monotonic()
        return sum(
            placed.task.step.spec.cpu_millis
            * ((now - placed.task.started_at) / timedelta(seconds=1) + 0.1)
            / 1000
            for placed in link.runs_by_name.values()
            if not placed.task.step.spec.lasting
        )

    def handle_link_change(self, link: ExecutorLink) -> None:
        """Replan the service of an executor that became usable or unusable."""
        self._plan_service_soon(link.executor.service)

    async def wait_until_durable(self, job_ids: Collection[str]) -> None:
        """Return once all earlier changes to the given jobs are durable."""
        self._plan_requested.set()
        await self._writer.wait_until_durable(job_ids)

    def handle_crash(
        self, link: ExecutorLink, runs: Collection[PlacedRun], evidence: str
    ) -> None:
        """Count a crash for the tasks under it, and give up those that cause it."""
        for task in self.crash_trials.record(link, runs, evidence):
            job = task.step.job
            if job.give_up(task):
                self._log_end(job)
                self._retire_job(job)
                self.spawn(None, self._stop_once_durable, job)
        for job_id in {placed.task.step.job.job_id for placed in runs}:
            self._job_changed(self.jobs_by_id[job_id])

    def handle_trial_passed(self, link: ExecutorLink, placed: PlacedRun) -> None:
        """Let other runs start again beside a run that has passed its trial."""
        self.crash_trials.pass_trial(placed)
        self._job_changed(placed.task.step.job)
        self._plan_service_soon(link.executor.service)

    def handle_run_begun(self, placed: PlacedRun) -> None:
        """Record that a task of a job has begun."""
        job = placed.task.step.job
        job.begin_confirmed = True
        self._writer.mark_begun(job)

    def handle_run_end(
        self, link: ExecutorLink, placed: PlacedRun, kind: EndKind, saved: str
    ) -> None:
        """Record the end of a run and replan its job."""
        task = placed.task
        job = task.step.job
        now = self._clock.monotonic()
        executor_id = link.executor.executor_id
        self.usage.remove(executor_id, link.executor.rack, task)
        run_ms = (now - task.started_at) / timedelta(milliseconds=1)
        partial = placed.partial
        if kind is EndKind.DONE:
            task.step.longest_ms = max(task.step.longest_ms, run_ms)
        self._run_monitor.record_end(task, executor_id, kind, run_ms, partial, now)
        was_final = job.final
        if kind is not EndKind.LOST:
            self.handle_run_begun(placed)
        job.end(task, placed.run, kind, saved)
        if kind is EndKind.FAILED:
            task.not_before = now + FAILED_TASK_DELAY
        if kind is EndKind.LOST and placed.unsure:
            # Prefer another executor, as this one may not answer at all.
            task.avoid_executor(executor_id)
            self._delay_after_unanswered_start(link, placed)
        if kind is not EndKind.DONE or job.final:
            self._decision_log.record(
                "end",
                task.name,
                kind.value,
                run=placed.run,
                executor=executor_id,
                run_ms=round(run_ms),
                job=job.state.value,
                cause=placed.loss_cause.value if kind is EndKind.LOST else "",
            )
        if kind is not EndKind.DONE:
            self._stop_gang(task, placed.run)
        if job.final and not was_final:
            self._finish_job(job)
        self._job_changed(job)

    def handle_unassigned_end(self, link: ExecutorLink, end: EndedTask) -> str:
        """Mark a task done whose run was assumed lost but completed.

        A restarted executor may execute a start that its previous incarnation left
        unanswered. Running the task again would duplicate it. Returns the job's id,
        or "" if nothing changed.
        """
        job = self.jobs_by_id.get(end.task.partition(".")[0])
        task = job.find_task(end.task) if job is not None else None
        if job is None or task is None or end.kind is not EndKind.DONE or job.final:
            return ""
        current = self.links_by_id.get(task.executor)
        if not job.complete_superseded_run(task, end.run):
            return ""
        job.begin_confirmed = True
        executor_id = link.executor.executor_id
        self._decision_log.record(
            "end", task.name, "done-late", run=end.run, executor=executor_id
        )
        placed = current.runs_by_name.get(task.name) if current is not None else None
        if current is not None and placed is not None:
            current.stop(placed)
        if job.final:
            self._finish_job(job)
        self._job_changed(job)
        return job.job_id

    def _delay_after_unanswered_start(
        self, link: ExecutorLink, placed: PlacedRun
    ) -> None:
        """Delay a task until its unanswered start can no longer take effect.

        Needed only where executors restart under the same id: the next incarnation
        could execute the start, and neither the id nor a stop sent to the previous
        incarnation would prevent that. A long-running task restarts at once, but only
        on the same executor, where the late start cannot duplicate it.
        """
        if not self._ids_survive_restarts or placed.ordered_at is None:
            return
        task = placed.task
        until = placed.ordered_at + MAX_REQUEST_DELAY
        if task.step.spec.lasting:
            task.only_on, task.only_on_until = link.executor.executor_id, until
        else:
            task.not_before = until

    def _stop_gang(self, task: Task, run: int) -> None:
        """Stop the other members of a gang, which cannot run incomplete."""
        if not task.step.spec.gang:
            return
        for member in task.step.tasks.known():
            link = self.links_by_id.get(member.executor)
            placed = link.runs_by_name.get(member.name) if link else None
            if link is not None and placed is not None and placed.run == run:
                link.stop(placed)

    def _finish_job(self, job: JobRun) -> None:
        self._log_end(job)
        self._end_job(job)

    def _log_end(self, job: JobRun) -> None:
        age = self._clock.monotonic() - job.accepted_at
        self._decision_log.record(
            "job",
            job.job_id,
            job.state.value,
            queue=job.record.queue,
            team=job.record.team,
            age_ms=round(age / timedelta(milliseconds=1)),
            expected_ms=round(job.expected_path_ms),
            run_ms=round(measured_path_ms(job)),
        )

    def handle_run_status(
        self, link: ExecutorLink, placed: PlacedRun, row: RunningTask
    ) -> None:
        """Throttle filler tasks and detect stalled or slow batch runs."""
        if placed.task.step.spec.lasting and self.crash_trials.clear_if_proven(placed):
            self._job_changed(placed.task.step.job)
        self._run_monitor.check_status(link, placed)

    def handle_refused_start(
        self, link: ExecutorLink, placed: PlacedRun, answer: StartAnswer
    ) -> None:
        """Requeue a task whose start was refused and certainly had no effect."""
        task = placed.task
        now = self._clock.monotonic()
        if answer is StartAnswer.NO_TICKET and self._advisor is not None:
            self._advisor.discard_ticket(task.step, link.executor.executor_id)
        self._decision_log.record(
            "start",
            task.name,
            answer.value,
            run=placed.run,
            executor=link.executor.executor_id,
        )
        self.usage.remove(link.executor.executor_id, link.executor.rack, task)
        task.step.job.end(task, placed.run, EndKind.LOST, "")
        if answer is StartAnswer.NOT_ACCEPTED:
            task.avoid_executor(link.executor.executor_id)
        if answer is not StartAnswer.NOT_PERMITTED:
            task.not_before = now + REFUSED_START_DELAY
        self._stop_gang(task, placed.run)
        self._job_changed(task.step.job)

    def _job_changed(self, job: JobRun) -> None:
        """Schedule a job's progress to be stored and its queue to be replanned."""
        self._writer.mark_changed(job)
        self._planner.update_backlog(job)
        self._plan_queue_soon(job.record)

    def _queue_of(self, record: JobRecord) -> Queue | None:
        """Return a job's queue, or its state at acceptance if it was removed."""
        configuration = self._follower.current
        queues = configuration.queues_by_name if configuration else {}
        return queues.get(record.queue, record.accepted_queue)

    def _unix_ms(self) -> float:
        return self._clock.now().timestamp() * 1000
