"""One term of the placing role: loads jobs, assigns tasks and stores progress.

Effects happen in a fixed order. An assignment is durable before the executor is told
to start it; an end is durable before it is acknowledged to the executor. Every write
compares the role's epoch and the last revision of each record that it replaces.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Collection, Coroutine
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
    scan_all,
)
from ..roles import HeldRole
from . import layout
from .advice import AdviceService, Advisor
from .availability import Availability
from .decisions import DecisionLines
from .demand import PoolDemand
from .executors import (
    EndedTask,
    Executor,
    ExecutorClient,
    RunningTask,
    StartAnswer,
)
from .follow import OperatorFollower
from .learning import Learning
from .link import LATE_ORDER, ExecutorLink, Phase, PlacedRun
from .losses import CallLosses
from .model import (
    NOTHING,
    JobRecord,
    JobState,
    Queue,
)
from .order import longest_chain_ms, work_of
from .pacing import next_pace
from .planner import Planner
from .policy import Policy, UsualPolicy
from .progress import EndKind, JobRun, Task
from .progress_writer import ProgressWriter, RecordGroup
from .registry import ExecutorRegistry
from .stalls import AVOID_TIME, STALLED_TIME, STILL_TIME, slowness, still_for
from .turns import Turns
from .usage import Usage
from .vm_keeper import VmKeeper

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
REFUSED_START_DELAY = timedelta(milliseconds=400)
"""Delay before a task whose start was refused is placed again, which prevents a tight
loop while the executor's state is still unknown."""
FAILED_TASK_DELAY = timedelta(milliseconds=50)
"""Delay before a failed task is placed again, so that a failing executor is detected
first."""

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
        follower: OperatorFollower,
        registry: ExecutorRegistry,
        client: ExecutorClient,
        lines: DecisionLines,
        role: HeldRole,
        guard: Compare,
        retention: timedelta,
        new_keeper: Callable[[PlacingTerm], VmKeeper] | None = None,
        advice: AdviceService | None = None,
        *,
        ids_kept: bool = False,
        policy: Policy | None = None,
    ) -> None:
        self._clock = clock
        self._store = store
        self._follower = follower
        self._registry = registry
        self._client = client
        self._decision_log = lines
        self.role = role
        self.epoch = role.epoch
        self.guard = guard
        self._retention = retention
        self._advisor = Advisor(clock, advice, self.wake) if advice else None
        self.jobs_by_id: dict[str, JobRun] = {}
        self.links_by_id: dict[str, ExecutorLink] = {}
        self.availability = Availability(self.links_by_id)
        self.policy = policy or UsualPolicy()
        self.usage = Usage()
        self.learning = Learning()
        self.turns = Turns()
        self.first_contacts = anyio.Semaphore(MAX_CONCURRENT_FIRST_POLLS)
        self._lost_calls = CallLosses()
        self._ids_survive_restarts = ids_kept
        """Whether an executor can restart under the same id."""
        self._plan_requested = anyio.Event()
        self._services_to_plan: set[str] = set()
        """Services with changes since the last planning round."""
        self._replan_all = True
        self._tasks: anyio.abc.TaskGroup | None = None
        self._over = anyio.Event()
        self._active_jobs: dict[str, JobRun] = {}
        self.keeper = new_keeper(self) if new_keeper else None
        self._writer = ProgressWriter(clock, store, guard)
        self.demand = PoolDemand(
            clock, self._active_jobs, self.learning, self.turns, self._queue_of
        )
        self._planner = Planner(
            clock,
            follower,
            self.usage,
            self.learning,
            lines,
            role.epoch,
            self.links_by_id,
            self._active_jobs,
            self._advisor,
            self._queue_of,
            self._job_changed,
            self.policy,
        )

    # Running

    async def run(self) -> None:
        """Run until the role is lost or the term is cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            tasks.start_soon(self._registry.run)
            position = await self._load()
            self._registry.on_change = self._update_links
            self._update_links()
            tasks.start_soon(self._watch_jobs, position)
            tasks.start_soon(self._run_housekeeping)
            tasks.start_soon(self._run_planner)
            if self.keeper is not None:
                tasks.start_soon(self.keeper.run)
            if self._advisor is not None:
                tasks.start_soon(self._advisor.run)
            await self._over.wait()
            tasks.cancel_scope.cancel()

    async def _load(self) -> int:
        """Load all jobs and their progress; return the revision to watch from."""
        (incoming, runs), id_flags = await run_both(
            lambda: run_both(
                lambda: self._scan(layout.INCOMING), lambda: self._scan(layout.RUNS)
            ),
            lambda: self._scan(layout.EXECUTOR_IDS_REUSED),
        )
        await self._registry.loaded.wait()
        self._ids_survive_restarts = self._ids_survive_restarts or bool(id_flags[0])
        runs_by_id = {e.key.removeprefix(layout.RUNS): e for e in runs[0]}
        cancelled = []
        # In order of acceptance, which the prediction of load peaks depends on.
        for entry in sorted(incoming[0], key=lambda e: e.mod_revision):
            if entry.key.startswith(layout.CANCELS):
                cancelled.append(entry.key.removeprefix(layout.CANCELS))
            else:
                job_id = entry.key.removeprefix(layout.JOBS)
                self._add_job(job_id, entry, runs_by_id.get(job_id))
        for job_id in cancelled:
            self._cancel(job_id)
        log.info(
            "epoch {}: loaded {} jobs, {} with progress",
            self.epoch,
            len(self.jobs_by_id),
            len(runs_by_id),
        )
        return incoming[1]

    async def _scan(self, prefix: str) -> tuple[list[Entry], int]:
        while True:
            try:
                page = await scan_all(self._store, prefix)
            except StoreError as error:
                log.info("scan of {} failed, retrying: {}", prefix, error)
                await self._clock.sleep(RETRY_DELAY)
                continue
            return list(page.entries), page.revision

    def _add_job(self, job_id: str, entry: Entry, run: Entry | None) -> None:
        if job_id in self.jobs_by_id:
            return
        try:
            record = msgspec.msgpack.decode(entry.value, type=JobRecord)
        except msgspec.MsgspecError as error:
            log.error("job {} cannot be decoded and is not run: {}", job_id, error)
            return
        now = self._clock.monotonic()
        age = max(timedelta(0), self._clock.now() - record.submitted_at)
        job = JobRun(job_id, record, self._queue_of(record), now - age)
        if run is not None:
            try:
                job.restore(run.value, run.mod_revision)
            except (msgspec.MsgspecError, LookupError, ValueError) as error:
                # Unknown which tasks have run, so none is started.
                log.error(
                    "progress of job {} cannot be decoded, job is not run: {}",
                    job_id,
                    error,
                )
                return
        self.jobs_by_id[job_id] = job
        job.open_due_occurrences(self._unix_ms())
        queue = self._queue_of(record)
        if queue is not None and not job.lasting:
            work = work_of(job, self.learning.expected_ms, remaining=False)
            self._planner.note_job(queue, work)
            chain_ms = longest_chain_ms(job, self.learning.expected_ms, remaining=False)
            chain = timedelta(milliseconds=chain_ms)
            self.turns.arrived(queue.service, job.seen_at, work, chain)
        for task in job.placed_tasks():
            self._restore_run(task)
        if job.final:
            # Most jobs that a new term loads have ended; they are not logged.
            job.ended_at = now
            return
        self._active_jobs[job_id] = job
        if run is not None and self._ids_survive_restarts:
            self._delay_waiting_tasks(job, now)
        self._planner.job_changed(job)
        self._decision_log.decided(
            "job",
            job_id,
            "found",
            queue=record.queue,
            team=record.team,
            state=job.state.value,
            tasks=sum(step.count for step in record.spec.steps),
            steps=len(record.spec.steps),
            lasting=job.lasting,
            at_most=max(step.max_per_executor for step in record.spec.steps),
            away=max(step.may_be_away for step in record.spec.steps),
            cpu=max(step.cpu_millis for step in record.spec.steps),
        )

    def _delay_waiting_tasks(self, job: JobRun, now: timedelta) -> None:
        """Delay waiting tasks until unanswered starts of the previous term are void.

        Which starts were answered is not stored.
        """
        for step in job.steps():
            for task in step.waiting.values():
                if task.run and not step.spec.lasting:
                    task.not_before = now + LATE_ORDER

    def _restore_run(self, task: Task) -> None:
        """Track a run that an earlier term assigned."""
        link = self._get_or_create_link(task.executor)
        placed = PlacedRun(task, task.run, Phase.UNSURE, self.epoch - 1)
        self.usage.add(task.executor, link.executor.rack, task)
        task.started_at = self._clock.monotonic()
        # Neither its start time nor whether the start was answered is stored.
        placed.partial = True
        placed.unsure = True
        placed.ordered_at = task.started_at
        link.assign(placed)
        if task.step.job.final:
            link.stop(placed)

    def _get_or_create_link(self, executor_id: str) -> ExecutorLink:
        """Return an executor's link, creating it even if it is not registered."""
        link = self.links_by_id.get(executor_id)
        if link is None:
            known = self._registry.executors_by_id.get(executor_id)
            executor = known or Executor(executor_id, "", "", "", NOTHING, (), True, 0)
            link = ExecutorLink(self._clock, self._client, executor, self.epoch, self)
            link.registered = known is not None
            if known is None:
                # It has no address to poll; the VM list may show that it is gone.
                link.silent_since = self._clock.monotonic()
            self.links_by_id[executor_id] = link
            if known is not None:
                self.spawn(link, link.run)
        return link

    def _update_links(self) -> None:
        """Update the links to match the registered executors."""
        for executor_id, executor in self._registry.executors_by_id.items():
            link = self._get_or_create_link(executor_id)
            if not link.executor.address:
                self.spawn(link, link.run)
            link.update(executor)
        for executor_id, link in self.links_by_id.items():
            if executor_id not in self._registry.executors_by_id:
                link.registered = False
        self.wake()

    async def _watch_jobs(self, position: int) -> None:
        wait = WATCH_WAIT
        while True:
            try:
                batch = await self._store.poll_changes(layout.INCOMING, position, wait)
                wait = WATCH_WAIT
                for event in batch.events:
                    self._apply(event)
                position = batch.revision
            except CompactedError as error:
                log.info("watch revision was compacted, reloading all jobs: {}", error)
                entries, position = await self._scan(layout.INCOMING)
                # Sorted so that a job is applied before its cancellation, whose key
                # sorts first.
                for entry in sorted(entries, key=lambda e: e.mod_revision):
                    self._apply(WatchEvent(entry.key, entry, entry.mod_revision))
            except StoreError as error:
                # The next poll resumes from the same revision and misses no event.
                log.info("job watch failed, retrying: {}", error)
                wait = RETRY_WATCH_WAIT
                await self._clock.sleep(RETRY_DELAY)

    def _apply(self, event: WatchEvent) -> None:
        if event.entry is None:
            return
        if event.key.startswith(layout.CANCELS):
            self._cancel(event.key.removeprefix(layout.CANCELS))
        else:
            job_id = event.key.removeprefix(layout.JOBS)
            if job_id not in self.jobs_by_id:
                self._add_job(job_id, event.entry, None)
                job = self.jobs_by_id.get(job_id)
                if job is not None:
                    self._plan_queue_soon(job.record)
                    if self.keeper is not None:
                        self.keeper.job_arrived()

    def _cancel(self, job_id: str) -> None:
        job = self.jobs_by_id.get(job_id)
        if job is None or not job.cancel():
            return
        self._decision_log.decided("cancel", job_id, "stopped", running=job.begun)
        self._end_job(job)

    def _end_job(self, job: JobRun) -> None:
        """Store the final state of a job and stop its remaining runs."""
        job.ended_at = self._clock.monotonic()
        self._active_jobs.pop(job.job_id, None)
        if self._advisor is not None:
            self._advisor.forget(job.job_id)
        self._job_changed(job)
        for task in job.placed_tasks():
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

    def wake(self) -> None:
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
            self._planner.plan(services)
            self._writer.defer_starts(self._planner.take_starts())
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
        for link, placed in group.starts:
            link.start(placed)
        if self._writer.has_unwritten_changes:
            self._plan_requested.set()

    async def _run_housekeeping(self) -> None:
        while True:
            await self._clock.sleep(HOUSEKEEPING_INTERVAL)
            now = self._clock.monotonic()
            for job in list(self._active_jobs.values()):
                if job.open_due_occurrences(self._unix_ms()):
                    self._job_changed(job)
            for link in list(self.links_by_id.values()):
                self._check_link(link, now)
            self._expire_jobs(now)
            self.wake()

    def _check_link(self, link: ExecutorLink, now: timedelta) -> None:
        silent = not link.reachable
        if silent and link.runs_by_name and link.certainly_over(now):
            link.lose_all("unreachable until all task leases expired")
        if not link.registered and not link.runs_by_name and silent:
            link.closed = True
            link.wake()
            self.links_by_id.pop(link.executor.executor_id, None)

    def _expire_jobs(self, now: timedelta) -> None:
        """Delete ended jobs after the retention period."""
        for job_id, job in list(self.jobs_by_id.items()):
            if job.ended_at is None or now - job.ended_at < self._retention:
                continue
            if job.placed_tasks() or self._writer.has_undurable_changes(job_id):
                continue
            self.spawn(None, self._delete_job, job)
            del self.jobs_by_id[job_id]

    async def _delete_job(self, job: JobRun) -> None:
        operations = tuple(
            Delete(prefix + job.job_id)
            for prefix in (layout.JOBS, layout.CANCELS, layout.RUNS)
        )
        try:
            await self._store.commit(Transaction((self.guard,), operations))
        except StoreError as error:
            log.info("expired job {} was not deleted: {}", job.job_id, error)

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
        if self._tasks is None or self._over.is_set():
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
            link.doubt(repr(error))

    def may_stop(self, placed: PlacedRun) -> bool:
        """Tell whether stopping a run respects its step's disruption budget."""
        return self.availability.may_end([placed])

    def fence_lost(self, link: ExecutorLink) -> None:
        """End the term after an executor reported a higher fencing token."""
        self._decision_log.decided(
            "role", f"epoch/{self.epoch}", "lost", by=link.executor.executor_id
        )
        self._over.set()

    def id_kept(self, link: ExecutorLink) -> None:
        """Record durably that executors restart under the same ids."""
        if not self._ids_survive_restarts:
            self._ids_survive_restarts = True
            self._decision_log.decided("executor", link.executor.executor_id, "id-kept")
            self.spawn(link, self._store_ids_survive_restarts)

    async def _store_ids_survive_restarts(self) -> None:
        operation = Put(layout.EXECUTOR_IDS_REUSED, b"1")
        try:
            await self._store.commit(Transaction((self.guard,), (operation,)))
        except StoreError as error:
            # Stored at the next restart that a term detects.
            log.info("reuse of executor ids was not stored: {}", error)

    def call_lost(self, link: ExecutorLink) -> None:
        """Record that a call to an executor got no answer."""
        self._lost_calls.note(link.executor.executor_id, self._clock.monotonic())

    def calls_get_lost(self) -> bool:
        """Tell whether calls to several executors were recently lost."""
        return self._lost_calls.recent(self._clock.monotonic())

    def end_term(self, reason: str) -> None:
        """End the term and give up the role."""
        self._decision_log.decided("role", f"epoch/{self.epoch}", "lost", reason=reason)
        self._over.set()

    def short_work(self, link: ExecutorLink) -> float:
        """Return the unsaved work of batch tasks on an executor, in core-seconds."""
        now = self._clock.monotonic()
        return sum(
            placed.task.step.spec.cpu_millis
            * ((now - placed.task.started_at) / timedelta(seconds=1) + 0.1)
            / 1000
            for placed in link.runs_by_name.values()
            if not placed.task.step.spec.lasting
        )

    def link_changed(self, link: ExecutorLink) -> None:
        """Replan the service of an executor that became usable or unusable."""
        self._plan_service_soon(link.executor.service)

    async def jobs_stored(self, job_ids: Collection[str]) -> None:
        """Return once all earlier changes to the given jobs are durable."""
        self._plan_requested.set()
        await self._writer.wait_until_durable(job_ids)

    def run_ended(
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
        self._update_estimates(task, executor_id, kind, run_ms, partial, now)
        was_final = job.final
        job.end(task, placed.run, kind, saved)
        if kind is EndKind.FAILED:
            task.not_before = now + FAILED_TASK_DELAY
        if kind is EndKind.LOST and placed.unsure:
            # Prefer another executor, as this one may not answer at all.
            task.avoid_executor(executor_id)
            self._delay_after_unanswered_start(link, placed)
        if kind is not EndKind.DONE or job.final:
            self._decision_log.decided(
                "end",
                task.name,
                kind.value,
                run=placed.run,
                executor=executor_id,
                run_ms=round(run_ms),
                job=job.state.value,
            )
        if kind is not EndKind.DONE:
            self._stop_gang(task, placed.run)
        if job.final and not was_final:
            self._finish_job(job)
        self._job_changed(job)

    def unassigned_end(self, link: ExecutorLink, end: EndedTask) -> str:
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
        executor_id = link.executor.executor_id
        self._decision_log.decided(
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
        until = placed.ordered_at + LATE_ORDER
        if task.step.spec.lasting:
            task.only_on, task.only_on_until = link.executor.executor_id, until
        else:
            task.not_before = until

    def _stop_gang(self, task: Task, run: int) -> None:
        """Stop the other members of a gang, which cannot run incomplete."""
        if not task.step.spec.gang:
            return
        for member in task.step.tasks:
            link = self.links_by_id.get(member.executor)
            placed = link.runs_by_name.get(member.name) if link else None
            if link is not None and placed is not None and placed.run == run:
                link.stop(placed)

    def _finish_job(self, job: JobRun) -> None:
        age = self._clock.monotonic() - job.seen_at
        self._decision_log.decided(
            "job",
            job.job_id,
            job.state.value,
            queue=job.record.queue,
            team=job.record.team,
            age_ms=round(age / timedelta(milliseconds=1)),
        )
        self._end_job(job)

    def _update_estimates(
        self,
        task: Task,
        executor_id: str,
        kind: EndKind,
        run_ms: float,
        partial: bool,
        now: timedelta,
    ) -> None:
        spec = task.step.spec
        if spec.lasting:
            return
        if kind is EndKind.DONE:
            self.learning.task_done(
                task.step, executor_id, run_ms, now, partial=partial
            )
        elif kind is EndKind.FAILED:
            job_id = task.step.job.job_id
            if self.learning.task_failed(executor_id, job_id, now):
                self._decision_log.decided(
                    "executor", executor_id, "set-aside", job=job_id
                )

    def run_listed(
        self, link: ExecutorLink, placed: PlacedRun, row: RunningTask
    ) -> None:
        """Throttle filler tasks and detect stalled or slow batch runs."""
        if placed.phase is not Phase.RUNNING:
            return
        spec = placed.task.step.spec
        if spec.fills:
            percent = next_pace(placed, link.runs_by_name.values(), self._clock)
            if percent is not None:
                link.pace(placed, percent)
        elif not spec.lasting and not spec.gang and placed.percent < 100:
            self._check_progress(link, placed)

    def _check_progress(self, link: ExecutorLink, placed: PlacedRun) -> None:
        now = self._clock.monotonic()
        executor_id = link.executor.executor_id
        expected_ms = self.learning.expected_ms(placed.task.step)
        stalled_for = still_for(placed.moved_at, expected_ms, now)
        if stalled_for >= STILL_TIME:
            self.learning.set_aside(executor_id, now + AVOID_TIME)
        if stalled_for >= STALLED_TIME:
            self._decision_log.decided(
                "end",
                placed.task.name,
                "stalled",
                run=placed.run,
                executor=executor_id,
                percent=placed.percent,
                still_ms=round(stalled_for / timedelta(milliseconds=1)),
            )
            link.stop(placed)
            return
        if not placed.partial:
            running_for = now - placed.task.started_at
            ratio = slowness(placed.percent, running_for, expected_ms)
            if ratio is not None:
                self.learning.run_seen(executor_id, ratio, now)

    def order_refused(
        self, link: ExecutorLink, placed: PlacedRun, answer: StartAnswer
    ) -> None:
        """Requeue a task whose start was refused and certainly had no effect."""
        task = placed.task
        now = self._clock.monotonic()
        if answer is StartAnswer.NO_TICKET and self._advisor is not None:
            self._advisor.reject(task.step, link.executor.executor_id)
        self._decision_log.decided(
            "start",
            task.name,
            answer.value,
            run=placed.run,
            executor=link.executor.executor_id,
        )
        self.usage.remove(link.executor.executor_id, link.executor.rack, task)
        task.step.job.end(task, placed.run, EndKind.LOST, "")
        task.not_before = now + REFUSED_START_DELAY
        self._stop_gang(task, placed.run)
        self._job_changed(task.step.job)

    def _job_changed(self, job: JobRun) -> None:
        """Schedule a job's progress to be stored and its queue to be replanned."""
        self._writer.mark_changed(job)
        self._planner.job_changed(job)
        self._plan_queue_soon(job.record)

    def _queue_of(self, record: JobRecord) -> Queue | None:
        """Return a job's queue, or its state at acceptance if it was removed."""
        configuration = self._follower.current
        queues = configuration.queues_by_name if configuration else {}
        return queues.get(record.queue, record.accepted_queue)

    def _unix_ms(self) -> float:
        return self._clock.now().timestamp() * 1000
