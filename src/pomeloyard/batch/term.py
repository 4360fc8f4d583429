"""One term of the placing role: loads, places, stores and follows jobs.

Effects follow one order. An assignment is durable before its order is sent; an end
is durable before it is acknowledged to the executor. Every write compares the
role's epoch and the last revision of each record that it replaces.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Coroutine, Iterable, Mapping
from datetime import timedelta
from typing import Any

import anyio
import logbook
import msgspec

from ..clock import Clock
from ..errors import StoreError, StoreOutcomeUnknownError
from ..keyvalue.store import (
    Compare,
    Delete,
    Entry,
    Operation,
    PollingStore,
    Put,
    Transaction,
    WatchEvent,
    scan_all,
)
from . import layout
from .advice import MAX_ASKED, AdviceService, Advisor
from .decisions import DecisionLines
from .executors import Executor, ExecutorClient, RunningTask, StartAnswer
from .follow import OperatorFollower
from .learning import Learning
from .link import ExecutorLink, Phase, PlacedRun
from .model import (
    NOTHING,
    Configuration,
    JobRecord,
    JobState,
    PlacementAdvice,
    Queue,
    Resources,
)
from .order import rank, work_of
from .pacing import next_pace
from .progress import EndKind, JobRun, StepRun, Task, TaskState
from .registry import ExecutorRegistry
from .spread import choose_executor, may_run
from .stalls import AVOID_TIME, STALLED_TIME, STILL_TIME, slowness, still_for
from .turns import Peak, Turns
from .usage import Usage
from .vm_keeper import VmKeeper

MAX_TRANSACTION_ENTRIES = 30
"""The platform's store takes 32 in one transaction."""
RETRY_DELAY = timedelta(milliseconds=80)
WATCH_WAIT = timedelta(seconds=1)
"""A channel that went silent hides new jobs and cancellations for this long and 0.6 s;
callers' cancellations must take effect within 3 s."""
HOUSEKEEPING_INTERVAL = timedelta(milliseconds=500)
REFUSAL_PAUSE = timedelta(milliseconds=400)
"""A task whose start was refused waits this long, so that it is not ordered in a
tight loop while the executor's state is being learned."""
FAILURE_PAUSE = timedelta(milliseconds=50)
MEAN_WORK_WEIGHT = 0.05
"""Weight of a new job in its queue's mean work."""

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
        epoch: int,
        guard: Compare,
        retention: timedelta,
        new_keeper: Callable[[PlacingTerm], VmKeeper] | None = None,
        advice: AdviceService | None = None,
    ) -> None:
        self._clock = clock
        self._store = store
        self._follower = follower
        self._registry = registry
        self._client = client
        self._lines = lines
        self.epoch = epoch
        self.guard = guard
        self._retention = retention
        self.keeper = new_keeper(self) if new_keeper else None
        self._advisor = Advisor(clock, advice, self.wake) if advice else None
        self.jobs_by_id: dict[str, JobRun] = {}
        self.links_by_id: dict[str, ExecutorLink] = {}
        self.usage = Usage()
        self.learning = Learning()
        self.turns = Turns()
        self._dirty: dict[str, JobRun] = {}
        self._to_start: list[tuple[ExecutorLink, PlacedRun]] = []
        self._wake = anyio.Event()
        self._touched: set[str] = set()
        """Services with news since the last plan."""
        self._all_touched = True
        self._stored = anyio.Event()
        self._changes = 0
        """Changes of progress so far; those up to ``_changes_stored`` are durable."""
        self._changes_stored = 0
        self._tasks: anyio.abc.TaskGroup | None = None
        self._over = anyio.Event()
        self._mean_work_by_queue: dict[str, float] = {}
        self._live_jobs: dict[str, JobRun] = {}

    # Running

    async def run(self) -> None:
        """Work until the role is lost or the term is cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            tasks.start_soon(self._registry.run)
            await self._registry.loaded.wait()
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
        incoming = await self._scan(layout.INCOMING)
        runs = await self._scan(layout.RUNS)
        runs_by_id = {e.key.removeprefix(layout.RUNS): e for e in runs[0]}
        cancelled = []
        for entry in incoming[0]:
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
            job.restore(run.value, run.mod_revision)
        self.jobs_by_id[job_id] = job
        if job.final:
            job.ended_at = now
        else:
            self._live_jobs[job_id] = job
            job.open_due(self._unix_ms())
        for task in job.placed_tasks():
            self._adopt(task)
        queue = self._queue(record)
        if queue is not None and not job.lasting:
            work = work_of(job, self.learning.expected_ms, remaining=False)
            mean = self._mean_work_by_queue.get(queue.name, work)
            mean += MEAN_WORK_WEIGHT * (work - mean)
            self._mean_work_by_queue[queue.name] = mean
            self.turns.arrived(queue.service, job.seen_at, work)
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

    def _adopt(self, task: Task) -> None:
        """Follow a run that an earlier term assigned."""
        link = self._link_of(task.executor)
        placed = PlacedRun(task, task.run, Phase.UNSURE, self.epoch - 1)
        self.usage.add(task.executor, link.executor.rack, task)
        task.started_at = self._clock.monotonic()
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
        while True:
            try:
                batch = await self._store.poll_changes(
                    layout.INCOMING, position, WATCH_WAIT
                )
                for event in batch.events:
                    self._apply(event)
                position = batch.revision
            except StoreError as error:
                log.info("jobs are not followed: {}", error)
                await self._clock.sleep(RETRY_DELAY)
                entries, position = await self._scan(layout.INCOMING)
                for entry in entries:
                    self._apply(WatchEvent(entry.key, entry, entry.mod_revision))

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
            self._wake = anyio.Event()
            self._plan()
            await self._flush()

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
            if job.placed_tasks() or job_id in self._dirty:
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
        """Run a coroutine function in the background of the term."""
        if self._tasks is not None and not self._over.is_set():
            self._tasks.start_soon(work, *args)

    def fence_lost(self, link: ExecutorLink) -> None:
        """End the term, as an executor knows a higher fencing token."""
        self._lines.decided(
            "role", f"epoch/{self.epoch}", "lost", by=link.executor.executor_id
        )
        self._over.set()

    def end_term(self, reason: str) -> None:
        """Give the role up."""
        self._lines.decided("role", f"epoch/{self.epoch}", "lost", reason=reason)
        self._over.set()

    def pool_loads(self) -> dict[str, float]:
        """Return the core-seconds that could run now if there were room, by pool."""
        loads: dict[str, float] = defaultdict(float)
        for job in self._live_jobs.values():
            queue = self._queue(job.record)
            if queue is None:
                continue
            for step in job.ready_steps():
                if step.spec.lasting:
                    continue
                each = (
                    step.spec.cpu_millis * self.learning.expected_ms(step) / 1_000_000
                )
                loads[queue.service] += len(step.waiting) * each
        return loads

    def lasting_vms(self, pool: str) -> int:
        """Return how many VMs the lasting tasks of a pool need, one for each."""
        most = 0
        for job in self._live_jobs.values():
            queue = self._queue(job.record)
            if job.lasting and queue is not None and queue.service == pool:
                counts = [s.spec.count for s in job.steps() if s.spec.lasting]
                most = max([most, *counts])
        return most

    def next_peak(self, pool: str) -> Peak | None:
        """Return a pool's present or next peak, if it can be told."""
        return self.turns.peak(pool, self._clock.monotonic())

    def rests(self, pool: str) -> bool:
        """Tell whether a pool's peak is over and its next one cannot come yet."""
        return self.turns.rests(pool, self._clock.monotonic())

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

    async def ends_stored(self, link: ExecutorLink) -> None:
        """Return once all ends applied before are durable."""
        target = self._changes
        while self._changes_stored < target:
            stored = self._stored
            self._wake.set()
            await stored.wait()

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
        resumed = placed.resumed
        self._learn(task, executor_id, kind, run_ms, resumed, now)
        was_final = job.final
        job.end(task, placed.run, kind, saved)
        if kind is EndKind.FAILED:
            task.not_before = now + FAILURE_PAUSE
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
        if job.final and not was_final:
            self._note_ended(job)
        self._mark(job)

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
        resumed: bool,
        now: timedelta,
    ) -> None:
        spec = task.step.spec
        if spec.lasting:
            return
        if kind is EndKind.DONE:
            self.learning.task_done(
                task.step, executor_id, run_ms, now, resumed=resumed
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
        if not placed.resumed:
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
        self._mark(task.step.job)

    # Planning

    def _plan(self) -> None:
        """Assign waiting tasks of the services with news to executors with room."""
        configuration = self._follower.current
        if configuration is None:
            return
        now = self._clock.monotonic()
        touched = None if self._all_touched else self._touched
        self._all_touched = False
        self._touched = set()
        links_by_service = self._links_by_service(touched, now)
        free_by_service = {
            service: max(
                self.usage.free_cpu(ln.executor.executor_id, ln.executor.capacity)
                for ln in links
            )
            for service, links in links_by_service.items()
        }
        ranked_by_service: dict[str, list[tuple[tuple[float, ...], JobRun]]]
        ranked_by_service = defaultdict(list)
        for job in self._live_jobs.values():
            queue = self._queue(job.record)
            if queue is None or queue.service not in links_by_service:
                continue
            smallest = job.smallest_ready_cpu()
            if smallest is None or smallest > free_by_service[queue.service]:
                continue
            key = self._rank(job, queue, now)
            ranked_by_service[queue.service].append((key, job))
        if self._advisor is not None and touched is None:
            self._advisor.clear_wanted()
        for service, ranked in ranked_by_service.items():
            ranked.sort(key=lambda pair: pair[0])
            jobs = [job for _, job in ranked]
            self._place_jobs(jobs, links_by_service[service], configuration, now)

    def _links_by_service(
        self, touched: set[str] | None, now: timedelta
    ) -> dict[str, list[ExecutorLink]]:
        """Return the executors that may get tasks now, of the touched services."""
        sound: dict[str, list[ExecutorLink]] = defaultdict(list)
        doubtful: dict[str, list[ExecutorLink]] = defaultdict(list)
        for link in self.links_by_id.values():
            service = link.executor.service
            if not link.usable or (touched is not None and service not in touched):
                continue
            aside = self.learning.is_aside(link.executor.executor_id, now)
            (doubtful if aside else sound)[service].append(link)
        # Doubtful executors are better than none.
        return {**doubtful, **sound}

    def _rank(self, job: JobRun, queue: Queue, now: timedelta) -> tuple[float, ...]:
        mean = self._mean_work_by_queue.get(queue.name)
        if mean is None:
            mean = work_of(job, self.learning.expected_ms, remaining=False)
            self._mean_work_by_queue[queue.name] = mean
        return rank(job, queue, now - job.seen_at, self.learning.expected_ms, mean)

    def _place_jobs(
        self,
        jobs: Iterable[JobRun],
        links: list[ExecutorLink],
        configuration: Configuration,
        now: timedelta,
    ) -> None:
        for job in jobs:
            team = configuration.teams_by_name.get(job.record.team)
            maximum = team.maximum if team else NOTHING
            queue = self._queue(job.record)
            advice = queue.advice if queue is not None else None
            for step in list(job.ready_steps()):
                if advice is not None:
                    self._place_advised(step, links, maximum, advice, now)
                else:
                    self._place_step(step, links, maximum, now)

    def _place_advised(
        self,
        step: StepRun,
        links: list[ExecutorLink],
        maximum: Resources,
        advice: PlacementAdvice,
        now: timedelta,
    ) -> None:
        """Place a step on the executors that its queue's policy allows."""
        if self._advisor is None:
            return
        tickets = self._advisor.tickets(step, now)
        allowed = [ln for ln in links if ln.executor.executor_id in tickets]
        self._place_step(step, allowed, maximum, now, tickets)
        if not step.waiting or any(now < task.not_before for task in step.tasks):
            return
        roomy = [
            link
            for link in links
            if may_run(link, step, self.usage)
            and link.executor.executor_id not in tickets
        ]
        roomy.sort(
            key=lambda ln: (
                -self.usage.free_cpu(ln.executor.executor_id, ln.executor.capacity)
            )
        )
        executors = [link.executor.executor_id for link in roomy]
        if executors:
            duration = advice.decide + advice.each * min(len(executors), MAX_ASKED)
            self._advisor.want(step, executors, duration)

    def _place_step(
        self,
        step: StepRun,
        links: list[ExecutorLink],
        maximum: Resources,
        now: timedelta,
        tickets: Mapping[str, str] | None = None,
    ) -> None:
        if step.spec.gang:
            self._place_gang(step, links, maximum, now, tickets)
            return
        for task in list(step.waiting.values()):
            if now < task.not_before:
                continue
            if not self.usage.team_fits(step.job.record.team, maximum, step.spec):
                break
            rack = step.spec.data_rack or self._rack_of(step)
            link = choose_executor(task, links, self.usage, self.learning, now, rack)
            if link is None:
                break
            self._assign(task, link, task.run + 1, now, tickets)

    def _rack_of(self, step: StepRun) -> str:
        """Return the rack of a step's placed tasks, if it has to stay in one."""
        if not step.spec.same_rack:
            return ""
        for task in step.tasks:
            if task.state is TaskState.PLACED:
                link = self.links_by_id.get(task.executor)
                return link.executor.rack if link else ""
        return ""

    def _place_gang(
        self,
        step: StepRun,
        links: list[ExecutorLink],
        maximum: Resources,
        now: timedelta,
        tickets: Mapping[str, str] | None = None,
    ) -> None:
        """Place all members of a gang, or none."""
        if step.placed or len(step.waiting) < step.spec.count:
            return
        if any(now < task.not_before for task in step.tasks):
            return
        run = max(task.run for task in step.tasks) + 1
        team = step.job.record.team
        racks = [step.spec.data_rack]
        if step.spec.same_rack:
            racks += sorted({link.executor.rack for link in links})
        elif not racks[0]:
            racks = [""]
        for rack in racks:
            strict = step.spec.same_rack and rack
            pool = [ln for ln in links if not strict or ln.executor.rack == rack]
            chosen: list[tuple[Task, ExecutorLink]] = []
            for task in step.tasks:
                link = None
                if self.usage.team_fits(team, maximum, step.spec):
                    link = choose_executor(
                        task, pool, self.usage, self.learning, now, rack
                    )
                if link is None:
                    break
                executor = link.executor
                self.usage.add(executor.executor_id, executor.rack, task)
                chosen.append((task, link))
            for task, link in chosen:
                executor = link.executor
                self.usage.remove(executor.executor_id, executor.rack, task)
            if len(chosen) == step.spec.count:
                saved = max((task.saved for task in step.tasks), default="")
                for task, link in chosen:
                    task.saved = saved
                    self._assign(task, link, run, now, tickets)
                return

    def _assign(
        self,
        task: Task,
        link: ExecutorLink,
        run: int,
        now: timedelta,
        tickets: Mapping[str, str] | None = None,
    ) -> None:
        executor = link.executor
        job = task.step.job
        placed = PlacedRun(task, run, Phase.ASSIGNED, self.epoch)
        if tickets is not None:
            placed.ticket = tickets[executor.executor_id]
        job.place(task, executor.executor_id, run, now)
        self.usage.add(executor.executor_id, executor.rack, task)
        link.assign(placed)
        self._to_start.append((link, placed))
        self._mark(job)
        self._lines.decided(
            "place",
            task.name,
            executor.executor_id,
            run=run,
            age_ms=round((now - job.seen_at) / timedelta(milliseconds=1)),
            free_cpu=self.usage.free_cpu(executor.executor_id, executor.capacity),
        )

    # Storing

    def _mark(self, job: JobRun) -> None:
        self._dirty[job.job_id] = job
        self._changes += 1
        self._touch_queue(job.record)

    async def _flush(self) -> None:
        """Store all changed jobs, then send the orders that waited for it."""
        changed = list(self._dirty.values())
        self._dirty = {}
        changes = self._changes
        starts = self._to_start
        self._to_start = []
        group: list[JobRun] = []
        entries = 1
        for job in changed:
            cost = 3 if job.marker_stored and (job.begun or job.final) else 2
            if entries + cost > MAX_TRANSACTION_ENTRIES:
                await self._commit(group)
                group, entries = [], 1
            group.append(job)
            entries += cost
        if group:
            await self._commit(group)
        for link, placed in starts:
            link.start(placed)
        self._changes_stored = changes
        self._stored.set()
        self._stored = anyio.Event()

    async def _commit(self, jobs: list[JobRun]) -> None:
        """Store the records of some jobs; returns only when they are durable."""
        compares = [self.guard]
        operations: list[Operation] = []
        contents: list[tuple[JobRun, str, bytes]] = []
        for job in jobs:
            key = layout.RUNS + job.job_id
            content = job.pack()
            compares.append(Compare(key, job.revision))
            operations.append(Put(key, content))
            contents.append((job, key, content))
            if job.marker_stored and (job.begun or job.final):
                marker = layout.waiting_prefix(job.record.queue) + job.job_id
                operations.append(Delete(marker))
                job.marker_stored = False
        transaction = Transaction(tuple(compares), tuple(operations))
        lost = False
        while True:
            try:
                result = await self._store.commit(transaction)
            except StoreError as error:
                lost = lost or isinstance(error, StoreOutcomeUnknownError)
                log.info("progress is not stored yet: {}", error)
                await self._clock.sleep(RETRY_DELAY)
                continue
            if result.succeeded:
                for job, _, _ in contents:
                    job.revision = result.revision
                return
            if lost and await self._read_back(contents):
                return
            log.warning("epoch {} or a record was replaced", self.epoch)
            self._over.set()
            await anyio.sleep_forever()

    async def _read_back(self, contents: list[tuple[JobRun, str, bytes]]) -> bool:
        """Tell whether a write whose answer was lost has taken effect."""
        for job, key, content in contents:
            while True:
                try:
                    entry = await self._store.get(key)
                except StoreError as error:
                    log.info("reading {} back: {}", key, error)
                    await self._clock.sleep(RETRY_DELAY)
                    continue
                break
            if entry is None or entry.value != content:
                return False
            job.revision = entry.mod_revision
        return True

    def _queue(self, record: JobRecord) -> Queue | None:
        """Return a job's queue; one that was removed is as it was at acceptance."""
        configuration = self._follower.current
        queues = configuration.queues_by_name if configuration else {}
        return queues.get(record.queue, record.accepted_queue)

    def _unix_ms(self) -> float:
        return self._clock.now().timestamp() * 1000
