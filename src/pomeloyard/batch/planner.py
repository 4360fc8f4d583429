"""Plans which waiting tasks start where, in one term of the placing role."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Collection, Iterable, Mapping
from datetime import timedelta

from ..clock import Clock
from .advice import MAX_ASKED, Advisor
from .decisions import DecisionLines
from .follow import OperatorFollower
from .learning import Learning
from .link import ExecutorLink, Phase, PlacedRun
from .model import (
    NOTHING,
    Configuration,
    JobRecord,
    PlacementAdvice,
    Queue,
    Resources,
)
from .order import Rank, rank, work_of
from .policy import Policy
from .progress import JobRun, StepRun, Task, TaskState
from .spread import Rooms, may_run
from .usage import Usage

MEAN_WORK_WEIGHT = 0.05
"""Weight of a new job in its queue's mean work."""


class _WaitingJob:
    """A job with tasks that could run now, as it was when it last changed."""

    __slots__ = ("job", "queue", "rank", "smallest_cpu")

    def __init__(self, job: JobRun, queue: Queue, smallest_cpu: int) -> None:
        self.job = job
        self.queue = queue
        self.smallest_cpu = smallest_cpu
        self.rank: Rank | None = None


class Planner:
    """Ranks jobs, chooses executors and keeps what is to be ordered once stored."""

    def __init__(
        self,
        clock: Clock,
        follower: OperatorFollower,
        usage: Usage,
        learning: Learning,
        lines: DecisionLines,
        epoch: int,
        links_by_id: Mapping[str, ExecutorLink],
        live_jobs: Mapping[str, JobRun],
        advisor: Advisor | None,
        queue_of: Callable[[JobRecord], Queue | None],
        changed: Callable[[JobRun], None],
        policy: Policy,
    ) -> None:
        self._clock = clock
        self._follower = follower
        self._usage = usage
        self._learning = learning
        self._lines = lines
        self._epoch = epoch
        self._links_by_id = links_by_id
        self._live_jobs = live_jobs
        self._advisor = advisor
        self._queue_of = queue_of
        self._changed = changed
        self._policy = policy
        self._mean_work_by_queue: dict[str, float] = {}
        self._to_start: list[tuple[ExecutorLink, PlacedRun]] = []
        self._links_by_service: dict[str, list[ExecutorLink]] = {}
        """All links, as they stood when all services were planned last."""
        self._waiting_by_service: dict[str, dict[str, _WaitingJob]] = {}
        """Jobs with tasks that could run now if there were room, by id."""

    def take_starts(self) -> list[tuple[ExecutorLink, PlacedRun]]:
        """Return the assignments since the last call; they are not durable yet."""
        starts, self._to_start = self._to_start, []
        return starts

    def note_job(self, queue: Queue, work: float) -> None:
        """Learn the usual work of a queue's jobs, in core-seconds."""
        mean = self._mean_work_by_queue.get(queue.name, work)
        self._mean_work_by_queue[queue.name] = mean + MEAN_WORK_WEIGHT * (work - mean)

    def job_changed(self, job: JobRun) -> None:
        """Note that tasks of a job were added, placed or have ended."""
        queue = self._queue_of(job.record)
        if queue is None:
            return
        waiting = self._waiting_by_service.setdefault(queue.service, {})
        smallest = job.smallest_ready_cpu()
        if job.job_id not in self._live_jobs or smallest is None:
            waiting.pop(job.job_id, None)
        else:
            waiting[job.job_id] = _WaitingJob(job, queue, smallest)

    def plan(self, touched: set[str] | None) -> None:
        """Assign waiting tasks to executors with room.

        ``touched`` names the services with news; None stands for all.
        """
        configuration = self._follower.current
        if configuration is None:
            return
        now = self._clock.monotonic()
        if touched is None:
            self._regroup()
            if self._advisor is not None:
                self._advisor.clear_wanted()
        for service in self._links_by_service if touched is None else touched:
            waiting = self._waiting_by_service.get(service)
            if not waiting:
                continue
            links = self._usable_links(service, now)
            rooms = Rooms(links, self._usage, self._learning, now)
            ranked = self._ranked(waiting.values(), rooms.most_free_cpu, now)
            self._place_jobs(ranked, rooms, configuration, now)

    def _regroup(self) -> None:
        """Sort executors and jobs by service anew, as any of them may have moved."""
        links_by_service: dict[str, list[ExecutorLink]] = defaultdict(list)
        for link in self._links_by_id.values():
            links_by_service[link.executor.service].append(link)
        self._links_by_service = links_by_service
        self._waiting_by_service = {}
        for job in self._live_jobs.values():
            self.job_changed(job)

    def _usable_links(self, service: str, now: timedelta) -> list[ExecutorLink]:
        """Return the executors of a service that may get tasks now."""
        usable = [
            link for link in self._links_by_service.get(service, ()) if link.usable
        ]
        sound = [
            link
            for link in usable
            if not self._learning.is_aside(link.executor.executor_id, now)
        ]
        # Doubtful executors are better than none.
        return sound or usable

    def _ranked(
        self, waiting: Iterable[_WaitingJob], most_free_cpu: int, now: timedelta
    ) -> list[_WaitingJob]:
        """Return the jobs of which a task may fit, the most urgent first."""
        fitting = [entry for entry in waiting if entry.smallest_cpu <= most_free_cpu]
        fitting.sort(key=lambda entry: self._rank(entry, now))
        return fitting

    def _rank(self, entry: _WaitingJob, now: timedelta) -> tuple[float, ...]:
        if entry.rank is None or now >= entry.rank.valid_until:
            job, queue = entry.job, entry.queue
            mean = self._mean_work_by_queue.get(queue.name)
            if mean is None:
                mean = work_of(job, self._learning.expected_ms, remaining=False)
                self._mean_work_by_queue[queue.name] = mean
            entry.rank = rank(job, queue, now, self._learning.expected_ms, mean)
        return entry.rank.key

    def _place_jobs(
        self,
        ranked: Iterable[_WaitingJob],
        rooms: Rooms,
        configuration: Configuration,
        now: timedelta,
    ) -> None:
        for entry in ranked:
            if entry.smallest_cpu > rooms.most_free_cpu:
                continue
            job, advice = entry.job, entry.queue.advice
            team = configuration.teams_by_name.get(job.record.team)
            maximum = team.maximum if team else NOTHING
            for step in list(job.ready_steps()):
                if advice is not None:
                    self._place_advised(step, rooms, maximum, advice, now)
                else:
                    self._place_step(step, rooms, maximum, now)

    def _place_advised(
        self,
        step: StepRun,
        rooms: Rooms,
        maximum: Resources,
        advice: PlacementAdvice,
        now: timedelta,
    ) -> None:
        """Place a step on the executors that its queue's policy allows."""
        if self._advisor is None:
            return
        tickets = self._advisor.tickets(step, now)
        self._place_step(step, rooms, maximum, now, tickets)
        if not step.waiting or any(now < task.not_before for task in step.tasks):
            return
        roomy = [
            link
            for link in rooms.links
            if may_run(link, step, self._usage)
            and link.executor.executor_id not in tickets
        ]
        roomy.sort(
            key=lambda ln: (
                -self._usage.free_cpu(ln.executor.executor_id, ln.executor.capacity)
            )
        )
        executors = [link.executor.executor_id for link in roomy]
        if executors:
            duration = advice.decide + advice.each * min(len(executors), MAX_ASKED)
            self._advisor.want(step, executors, duration)

    def _place_step(
        self,
        step: StepRun,
        rooms: Rooms,
        maximum: Resources,
        now: timedelta,
        tickets: Mapping[str, str] | None = None,
    ) -> None:
        if step.spec.gang:
            self._place_gang(step, rooms, maximum, now, tickets)
            return
        for task in list(step.waiting.values()):
            if now < task.not_before:
                continue
            if not self._usage.team_fits(step.job.record.team, maximum, step.spec):
                break
            rack = step.spec.data_rack or self._rack_of(step)
            only_on = self._only_on(task, now)
            link = self._choose(rooms, task, rack, only_on or tickets)
            if link is None:
                if only_on:
                    continue
                break
            self._assign(task, link, rooms, task.run + 1, now, tickets)

    def _choose(
        self, rooms: Rooms, task: Task, rack: str, among: Collection[str] | None
    ) -> ExecutorLink | None:
        """Return the policy's executor, unless the task may not run there."""
        link = self._policy.choose_executor(rooms, task, rack, among)
        if link is None or not rooms.has(link):
            return None
        if among is not None and link.executor.executor_id not in among:
            return None
        return link if may_run(link, task.step, self._usage) else None

    def _only_on(self, task: Task, now: timedelta) -> tuple[str, ...]:
        """Return the one executor on which a task can't run twice, if it is bound."""
        if now >= task.only_on_until:
            return ()
        only = self._links_by_id.get(task.only_on)
        return (task.only_on,) if only is not None and only.registered else ()

    def _rack_of(self, step: StepRun) -> str:
        """Return the rack of a step's placed tasks, if it has to stay in one."""
        if not step.spec.same_rack:
            return ""
        for task in step.tasks:
            if task.state is TaskState.PLACED:
                link = self._links_by_id.get(task.executor)
                return link.executor.rack if link else ""
        return ""

    def _place_gang(
        self,
        step: StepRun,
        rooms: Rooms,
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
            racks += sorted({link.executor.rack for link in rooms.links})
        elif not racks[0]:
            racks = [""]
        for rack in racks:
            among: Collection[str] | None = tickets
            if step.spec.same_rack and rack:
                among = {
                    link.executor.executor_id
                    for link in rooms.links
                    if link.executor.rack == rack
                    and (tickets is None or link.executor.executor_id in tickets)
                }
            chosen: list[tuple[Task, ExecutorLink]] = []
            for task in step.tasks:
                link = None
                if self._usage.team_fits(team, maximum, step.spec):
                    link = self._choose(rooms, task, rack, among)
                if link is None:
                    break
                rooms.fill(link, task)
                chosen.append((task, link))
            for task, link in chosen:
                rooms.clear(link, task)
            if len(chosen) == step.spec.count:
                saved = max((task.saved for task in step.tasks), default="")
                for task, link in chosen:
                    task.saved = saved
                    self._assign(task, link, rooms, run, now, tickets)
                return

    def _assign(
        self,
        task: Task,
        link: ExecutorLink,
        rooms: Rooms,
        run: int,
        now: timedelta,
        tickets: Mapping[str, str] | None = None,
    ) -> None:
        executor = link.executor
        job = task.step.job
        placed = PlacedRun(task, run, Phase.ASSIGNED, self._epoch)
        if tickets is not None:
            placed.ticket = tickets[executor.executor_id]
        job.place(task, executor.executor_id, run, now)
        rooms.fill(link, task)
        link.assign(placed)
        self._to_start.append((link, placed))
        self._changed(job)
        self._lines.decided(
            "place",
            task.name,
            executor.executor_id,
            run=run,
            age_ms=round((now - job.seen_at) / timedelta(milliseconds=1)),
            free_cpu=self._usage.free_cpu(executor.executor_id, executor.capacity),
        )
