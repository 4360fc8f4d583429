"""One term of the placing role: loads, places, stores and follows jobs.

Effects follow one order. An assignment is durable before its order is sent; an end
is durable before it is acknowledged to the executor. Every write compares the
role's epoch and the last revision of each record that it replaces.
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
from ..concurrency import both
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
"""Pause after a store error; the role ends with its lease meanwhile."""
WATCH_WAIT = timedelta(seconds=1)
"""A channel that went silent hides new jobs and cancellations for this long and 0.6 s;
callers' cancellations must take effect within 3 s."""
DOUBTED_WATCH_WAIT = timedelta(seconds=0.3)
"""The wait after a poll that failed: a second channel that is silent too must not hide
a cancellation beyond its 3 s."""
HOUSEKEEPING_INTERVAL = timedelta(milliseconds=500)
"""Between checks of silent executors, due occurrences and old jobs."""
REFUSAL_PAUSE = timedelta(milliseconds=400)
"""A task whose start was refused waits this long, so that it is not ordered in a
tight loop while the executor's state is being learned."""
FAILURE_PAUSE = timedelta(milliseconds=50)
"""A failed task waits this long, so that a failing executor is noticed first."""

MAX_FIRST_CONTACTS = 100
"""Executors that a new term looks at for the first time at once. A look takes about a
millisecond of processor time and has half a second; thousands at once run out of it."""

log = logbook.Logger("pomeloyard.batch.term")


class PlacingTerm:
    """State and work from taking the role until losing it."""

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
        self._lines = lines
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
        self.first_contacts = anyio.Semaphore(MAX_FIRST_CONTACTS)
        self._losses = CallLosses()
        self._ids_are_kept = ids_kept
        """Whether a next life of an executor can have the id of the one before."""
        self._wake = anyio.Event()
        self._touched: set[str] = set()
        """Services with news since the last plan."""
        self._all_touched = True
        self._tasks: anyio.abc.TaskGroup | None = None
        self._over = anyio.Event()
        self._live_jobs: dict[str, JobRun] = {}
        self.keeper = new_keeper(self) if new_keeper else None
        self._writer = ProgressWriter(clock, store, guard)
        self.demand = PoolDemand(
            clock, self._live_jobs, self.learning, self.turns, self._queue
        )
        self._planner = Planner(
            clock,
            follower,
            self.usage,
            self.learning,
            lines,
            role.epoch,
            self.links_by_id,
            self._live_jobs,
            self._advisor,
            self._queue,
            self._mark,
            self.policy,
        )

    # Running

    async def run(self) -> None:
        """Work until the role is lost or the term is cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            tasks.start_soon(self._registry.run)
            position = await self._load()
            self._registry.on_change = self._executors_changed
            self._executors_changed()
            tasks.start_soon(self._follow_jobs, position)
            tasks.start_soon(self._keep_house)
            tasks.start_soon(self._work)
            if self.keeper is not None:
                tasks.start_soon(self.keeper.run)
            if self._advisor is not None:
                tasks.start_soon(self._advisor.run)
            await self._over.wait()
            tasks.cancel_scope.cancel()

    async def _load(self) -> int:
        """Read all jobs and their progress; return the position to follow from."""
        (incoming, runs), kept = await both(
            lambda: both(
                lambda: self._scan(layout.INCOMING), lambda: self._scan(layout.RUNS)
            ),
            lambda: self._scan(layout.IDS_KEPT),
        )
        await self._registry.loaded.wait()
        self._ids_are_kept = self._ids_are_kept or bool(kept[0])
        runs_by_id = {e.key.removeprefix(layout.RUNS): e for e in runs[0]}
        cancelled = []
        # In the order of their acceptance, by which the turns of peaks are learned.
        for entry in sorted(incoming[0], key=lambda found: found.mod_revision):
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
                log.info("reading {}: {}", prefix, error)
                await self._clock.sleep(RETRY_DELAY)
                continue
            return list(page.entries), page.revision

    def _add_job(self, job_id: str, entry: Entry, run: Entry | None) -> None:
        if job_id in self.jobs_by_id:
            return
        try:
            record = msgspec.msgpack.decode(entry.value, type=JobRecord)
        except msgspec.MsgspecError as error:
            log.error("job {} is unreadable and not run: {}", job_id, error)
            return
        now = self._clock.monotonic()
        age = max(timedelta(0), self._clock.now() - record.submitted_at)
        job = JobRun(job_id, record, self._queue(record), now - age)
        if run is not None:
            try:
                job.restore(run.value, run.mod_revision)
            except (msgspec.MsgspecError, LookupError, ValueError) as error:
                # What of it has run is not known, so none of it is started.
                log.error("progress of {} is unreadable, not run: {}", job_id, error)
                return
        self.jobs_by_id[job_id] = job
        job.open_due(self._unix_ms())
        queue = self._queue(record)
        if queue is not None and not job.lasting:
            work = work_of(job, self.learning.expected_ms, remaining=False)
            self._planner.note_job(queue, work)
            chain_ms = longest_chain_ms(job, self.learning.expected_ms, remaining=False)
            chain = timedelta(milliseconds=chain_ms)
            self.turns.arrived(queue.service, job.seen_at, work, chain)
        for task in job.placed_tasks():
            self._adopt(task)
        if job.final:
            # Most jobs that a successor loads; nothing is decided about them.
            job.ended_at = now
            return
        self._live_jobs[job_id] = job
        if run is not None and self._ids_are_kept:
            self._delay_restored(job, now)
        self._planner.job_changed(job)
        self._lines.decided(
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

    def _delay_restored(self, job: JobRun, now: timedelta) -> None:
        """Let waiting tasks wait out the orders that the term before may have lost.

        Which of their orders had an answer is not stored.
        """
        for step in job.steps():
            for task in step.waiting.values():
                if task.run and not step.spec.lasting:
                    task.not_before = now + LATE_ORDER

    def _adopt(self, task: Task) -> None:
        """Follow a run that an earlier term assigned."""
        link = self._link_of(task.executor)
        placed = PlacedRun(task, task.run, Phase.UNSURE, self.epoch - 1)
        self.usage.add(task.executor, link.executor.rack, task)
        task.started_at = self._clock.monotonic()
        # Neither its start nor whether its order had an answer is stored.
        placed.partial = True
        placed.unsure = True
        placed.ordered_at = task.started_at
        link.assign(placed)
        if task.step.job.final:
            link.stop(placed)

    def _link_of(self, executor_id: str) -> ExecutorLink:
        """Return the link of an executor, also of one that is not registered."""
        link = self.links_by_id.get(executor_id)
        if link is None:
            known = self._registry.executors_by_id.get(executor_id)
            executor = known or Executor(executor_id, "", "", "", NOTHING, (), True, 0)
            link = ExecutorLink(self._clock, self._client, executor, self.epoch, self)
            link.registered = known is not None
            if known is None:
                # Nobody can be asked; the list of VMs may say that it is gone.
                link.silent_since = self._clock.monotonic()
            self.links_by_id[executor_id] = link
            if known is not None:
                self.spawn(link, link.run)
        return link

    def _executors_changed(self) -> None:
        """Follow what is registered now."""
        for executor_id, executor in self._registry.executors_by_id.items():
            link = self._link_of(executor_id)
            if not link.executor.address:
                self.spawn(link, link.run)
            link.update(executor)
        for executor_id, link in self.links_by_id.items():
            if executor_id not in self._registry.executors_by_id:
                link.registered = False
        self.wake()

    async def _follow_jobs(self, position: int) -> None:
        wait = WATCH_WAIT
        while True:
            try:
                batch = await self._store.poll_changes(layout.INCOMING, position, wait)
                wait = WATCH_WAIT
                for event in batch.events:
                    self._apply(event)
                position = batch.revision
            except CompactedError as error:
                log.info("history was dropped, reading all jobs again: {}", error)
                entries, position = await self._scan(layout.INCOMING)
                # A job before its cancellation, which precedes it by key.
                for entry in sorted(entries, key=lambda e: e.mod_revision):
                    self._apply(WatchEvent(entry.key, entry, entry.mod_revision))
            except StoreError as error:
                # The next poll goes on from the same position and misses nothing.
                log.info("jobs are not followed: {}", error)
                wait = DOUBTED_WATCH_WAIT
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
                    self._touch_queue(job.record)
                    if self.keeper is not None:
                        self.keeper.job_arrived()

    def _cancel(self, job_id: str) -> None:
        job = self.jobs_by_id.get(job_id)
        if job is None or not job.cancel():
            return
        self._lines.decided("cancel", job_id, "stopped", running=job.begun)
        self._close(job)

    def _close(self, job: JobRun) -> None:
        """Stop what runs of a job that has ended and store its state."""
        job.ended_at = self._clock.monotonic()
        self._live_jobs.pop(job.job_id, None)
        if self._advisor is not None:
            self._advisor.forget(job.job_id)
        self._mark(job)
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
        """Plan all services soon."""
        self._all_touched = True
        self._wake.set()

    def _touch_queue(self, record: JobRecord) -> None:
        queue = self._queue(record)
        self._touch(queue.service if queue is not None else "")

    def _touch(self, service: str) -> None:
        """Plan one service soon."""
        self._touched.add(service)
        self._wake.set()

    async def _work(self) -> None:
        while True:
            await self._wake.wait()
            await self._writer.gather()
            self._wake = anyio.Event()
            touched = None if self._all_touched else self._touched
            self._all_touched = False
            self._touched = set()
            self._planner.plan(touched)
            self._writer.hold(self._planner.take_starts())
            groups = self._writer.take()
            for group in groups:
                self.spawn(None, self._store_group, group)
            if groups:
                self.spawn(None, self._writer.end_gathering)

    async def _store_group(self, group: RecordGroup) -> None:
        """Store some records, then order what was assigned in them."""
        if not await self._writer.store(group):
            self.end_term("the epoch or a record was replaced")
            return
        for link, placed in group.starts:
            link.start(placed)
        if self._writer.has_waiting:
            self._wake.set()

    async def _keep_house(self) -> None:
        while True:
            await self._clock.sleep(HOUSEKEEPING_INTERVAL)
            now = self._clock.monotonic()
            for job in list(self._live_jobs.values()):
                if job.open_due(self._unix_ms()):
                    self._mark(job)
            for link in list(self.links_by_id.values()):
                self._check_link(link, now)
            self._remove_old(now)
            self.wake()

    def _check_link(self, link: ExecutorLink, now: timedelta) -> None:
        silent = not link.reachable
        if silent and link.runs_by_name and link.certainly_over(now):
            link.lose_all("no answer until all leases have ended")
        if not link.registered and not link.runs_by_name and silent:
            link.closed = True
            link.wake()
            self.links_by_id.pop(link.executor.executor_id, None)

    def _remove_old(self, now: timedelta) -> None:
        """Forget jobs whose state callers may no longer ask for."""
        for job_id, job in list(self.jobs_by_id.items()):
            if job.ended_at is None or now - job.ended_at < self._retention:
                continue
            if job.placed_tasks() or self._writer.is_marked(job_id):
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
            log.info("old job {} is kept: {}", job.job_id, error)

    # What links report

    def spawn(
        self,
        link: ExecutorLink | None,
        work: Callable[..., Coroutine[Any, Any, None]],
        *args: object,
    ) -> None:
        """Run a coroutine function in the background of the term.

        An unexpected failure of work on a link concerns its executor only; any other
        ends the term.
        """
        if self._tasks is None or self._over.is_set():
            return
        if link is None:
            self._tasks.start_soon(work, *args)
        else:
            self._tasks.start_soon(self._contain, link, work, *args)

    async def _contain(
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
        """Tell whether a run may be stopped without too many of its step away."""
        return self.availability.may_end([placed])

    def fence_lost(self, link: ExecutorLink) -> None:
        """End the term, as an executor knows a higher fencing token."""
        self._lines.decided(
            "role", f"epoch/{self.epoch}", "lost", by=link.executor.executor_id
        )
        self._over.set()

    def id_kept(self, link: ExecutorLink) -> None:
        """Remember that executors restart under their ids, also for later terms."""
        if not self._ids_are_kept:
            self._ids_are_kept = True
            self._lines.decided("executor", link.executor.executor_id, "id-kept")
            self.spawn(link, self._store_ids_kept)

    async def _store_ids_kept(self) -> None:
        operation = Put(layout.IDS_KEPT, b"1")
        try:
            await self._store.commit(Transaction((self.guard,), (operation,)))
        except StoreError as error:
            # The next restart that a term sees stores it.
            log.info("that ids are kept is not stored: {}", error)

    def call_lost(self, link: ExecutorLink) -> None:
        """Note that a call to an executor got no answer."""
        self._losses.note(link.executor.executor_id, self._clock.monotonic())

    def calls_get_lost(self) -> bool:
        """Tell whether calls to several executors were lost just now."""
        return self._losses.recent(self._clock.monotonic())

    def end_term(self, reason: str) -> None:
        """Give the role up."""
        self._lines.decided("role", f"epoch/{self.epoch}", "lost", reason=reason)
        self._over.set()

    def short_work(self, link: ExecutorLink) -> float:
        """Return the unsaved work of short tasks on an executor, in core-seconds."""
        now = self._clock.monotonic()
        return sum(
            placed.task.step.spec.cpu_millis
            * ((now - placed.task.started_at) / timedelta(seconds=1) + 0.1)
            / 1000
            for placed in link.runs_by_name.values()
            if not placed.task.step.spec.lasting
        )

    def link_changed(self, link: ExecutorLink) -> None:
        """Plan again with an executor that became usable or unusable."""
        self._touch(link.executor.service)

    async def jobs_stored(self, job_ids: Collection[str]) -> None:
        """Return once all that was noted of some jobs is durable."""
        self._wake.set()
        await self._writer.stored(job_ids)

    def run_ended(
        self, link: ExecutorLink, placed: PlacedRun, kind: EndKind, saved: str
    ) -> None:
        """Note that a run has ended."""
        task = placed.task
        job = task.step.job
        now = self._clock.monotonic()
        executor_id = link.executor.executor_id
        self.usage.remove(executor_id, link.executor.rack, task)
        run_ms = (now - task.started_at) / timedelta(milliseconds=1)
        partial = placed.partial
        self._learn(task, executor_id, kind, run_ms, partial, now)
        was_final = job.final
        job.end(task, placed.run, kind, saved)
        if kind is EndKind.FAILED:
            task.not_before = now + FAILURE_PAUSE
        if kind is EndKind.LOST and placed.unsure:
            # Another executor is tried first, as this one may answer none.
            task.avoid(executor_id)
            self._delay_after_unanswered(link, placed)
        if kind is not EndKind.DONE or job.final:
            self._lines.decided(
                "end",
                task.name,
                kind.value,
                run=placed.run,
                executor=executor_id,
                run_ms=round(run_ms),
                job=job.state.value,
            )
        if kind is not EndKind.DONE:
            self._break_gang(task, placed.run)
        if job.final and not was_final:
            self._note_ended(job)
        self._mark(job)

    def unassigned_end(self, link: ExecutorLink, end: EndedTask) -> str:
        """Take a task for done whose run was given up and has run all the same.

        An executor's next life may carry out an order that the one before left without
        an answer. Running the task once more would double it.
        """
        job = self.jobs_by_id.get(end.task.partition(".")[0])
        task = job.task_named(end.task) if job is not None else None
        if job is None or task is None or end.kind is not EndKind.DONE or job.final:
            return ""
        later = self.links_by_id.get(task.executor)
        if not job.end_of_given_up(task, end.run):
            return ""
        executor_id = link.executor.executor_id
        self._lines.decided(
            "end", task.name, "done-late", run=end.run, executor=executor_id
        )
        placed = later.runs_by_name.get(task.name) if later is not None else None
        if later is not None and placed is not None:
            later.stop(placed)
        if job.final:
            self._note_ended(job)
        self._mark(job)
        return job.job_id

    def _delay_after_unanswered(self, link: ExecutorLink, placed: PlacedRun) -> None:
        """Let a task wait until its unanswered order cannot be carried out any more.

        Needed only where executors keep their ids: a next life could do it, and neither
        the id nor a stop of the life before would prevent that. A lasting task starts
        again at once, on the same executor, where the late order cannot double it.
        """
        if not self._ids_are_kept or placed.ordered_at is None:
            return
        task = placed.task
        until = placed.ordered_at + LATE_ORDER
        if task.step.spec.lasting:
            task.only_on, task.only_on_until = link.executor.executor_id, until
        else:
            task.not_before = until

    def _break_gang(self, task: Task, run: int) -> None:
        """Stop the other members of a gang's run, which cannot work without one."""
        if not task.step.spec.gang:
            return
        for member in task.step.tasks:
            link = self.links_by_id.get(member.executor)
            placed = link.runs_by_name.get(member.name) if link else None
            if link is not None and placed is not None and placed.run == run:
                link.stop(placed)

    def _note_ended(self, job: JobRun) -> None:
        age = self._clock.monotonic() - job.seen_at
        self._lines.decided(
            "job",
            job.job_id,
            job.state.value,
            queue=job.record.queue,
            team=job.record.team,
            age_ms=round(age / timedelta(milliseconds=1)),
        )
        self._close(job)

    def _learn(
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
                self._lines.decided("executor", executor_id, "set-aside", job=job_id)

    def run_listed(
        self, link: ExecutorLink, placed: PlacedRun, row: RunningTask
    ) -> None:
        """Pace what fills, and notice short runs that stand still or are slow."""
        if placed.phase is not Phase.RUNNING:
            return
        spec = placed.task.step.spec
        if spec.fills:
            percent = next_pace(placed, link.runs_by_name.values(), self._clock)
            if percent is not None:
                link.pace(placed, percent)
        elif not spec.lasting and not spec.gang and placed.percent < 100:
            self._check_speed(link, placed)

    def _check_speed(self, link: ExecutorLink, placed: PlacedRun) -> None:
        now = self._clock.monotonic()
        executor_id = link.executor.executor_id
        expected_ms = self.learning.expected_ms(placed.task.step)
        still = still_for(placed.moved_at, expected_ms, now)
        if still >= STILL_TIME:
            self.learning.set_aside(executor_id, now + AVOID_TIME)
        if still >= STALLED_TIME:
            self._lines.decided(
                "end",
                placed.task.name,
                "stalled",
                run=placed.run,
                executor=executor_id,
                percent=placed.percent,
                still_ms=round(still / timedelta(milliseconds=1)),
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
        """Place a task again whose start was certainly not carried out."""
        task = placed.task
        now = self._clock.monotonic()
        if answer is StartAnswer.NO_TICKET and self._advisor is not None:
            self._advisor.reject(task.step, link.executor.executor_id)
        self._lines.decided(
            "start",
            task.name,
            answer.value,
            run=placed.run,
            executor=link.executor.executor_id,
        )
        self.usage.remove(link.executor.executor_id, link.executor.rack, task)
        task.step.job.end(task, placed.run, EndKind.LOST, "")
        task.not_before = now + REFUSAL_PAUSE
        self._break_gang(task, placed.run)
        self._mark(task.step.job)

    def _mark(self, job: JobRun) -> None:
        """Store a job's progress soon."""
        self._writer.mark(job)
        self._planner.job_changed(job)
        self._touch_queue(job.record)

    def _queue(self, record: JobRecord) -> Queue | None:
        """Return a job's queue; one that was removed is as it was at acceptance."""
        configuration = self._follower.current
        queues = configuration.queues_by_name if configuration else {}
        return queues.get(record.queue, record.accepted_queue)

    def _unix_ms(self) -> float:
        return self._clock.now().timestamp() * 1000
