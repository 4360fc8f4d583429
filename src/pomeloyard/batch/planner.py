"""Plans which waiting tasks start where, in one term of the placing role."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping
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
from .order import rank, work_of
from .progress import JobRun, StepRun, Task, TaskState
from .spread import choose_executor, may_run
from .usage import Usage

MEAN_WORK_WEIGHT = 0.05
"""Weight of a new job in its queue's mean work."""


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
        self._mean_work_by_queue: dict[str, float] = {}
        self._to_start: list[tuple[ExecutorLink, PlacedRun]] = []

    def take_starts(self) -> list[tuple[ExecutorLink, PlacedRun]]:
        """Return the assignments since the last call; they are not durable yet."""
        starts, self._to_start = self._to_start, []
        return starts

    def note_job(self, queue: Queue, work: float) -> None:
        """Learn the usual work of a queue's jobs, in core-seconds."""
        mean = self._mean_work_by_queue.get(queue.name, work)
        self._mean_work_by_queue[queue.name] = mean + MEAN_WORK_WEIGHT * (work - mean)

    def plan(self, touched: set[str] | None) -> None:
        """Assign waiting tasks to executors with room.

        ``touched`` names the services with news; None stands for all.
        """
        configuration = self._follower.current
        if configuration is None:
            return
        now = self._clock.monotonic()
        links_by_service = self._links_by_service(touched, now)
        free_by_service = {
            service: max(
                self._usage.free_cpu(ln.executor.executor_id, ln.executor.capacity)
                for ln in links
            )
            for service, links in links_by_service.items()
        }
        ranked_by_service: dict[str, list[tuple[tuple[float, ...], JobRun]]]
        ranked_by_service = defaultdict(list)
        for job in self._live_jobs.values():
            queue = self._queue_of(job.record)
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
        for link in self._links_by_id.values():
            service = link.executor.service
            if not link.usable or (touched is not None and service not in touched):
                continue
            aside = self._learning.is_aside(link.executor.executor_id, now)
            (doubtful if aside else sound)[service].append(link)
        # Doubtful executors are better than none.
        return {**doubtful, **sound}

    def _rank(self, job: JobRun, queue: Queue, now: timedelta) -> tuple[float, ...]:
        mean = self._mean_work_by_queue.get(queue.name)
        if mean is None:
            mean = work_of(job, self._learning.expected_ms, remaining=False)
            self._mean_work_by_queue[queue.name] = mean
        return rank(job, queue, now - job.seen_at, self._learning.expected_ms, mean)

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
            queue = self._queue_of(job.record)
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
            if not self._usage.team_fits(step.job.record.team, maximum, step.spec):
                break
            rack = step.spec.data_rack or self._rack_of(step)
            allowed = self._allowed_links(task, links, now)
            link = choose_executor(
                task, allowed, self._usage, self._learning, now, rack
            )
            if link is None:
                if allowed is not links:
                    continue
                break
            self._assign(task, link, task.run + 1, now, tickets)

    def _allowed_links(
        self, task: Task, links: list[ExecutorLink], now: timedelta
    ) -> list[ExecutorLink]:
        """Return the executors on which a task can't run twice."""
        if now >= task.only_on_until:
            return links
        only = self._links_by_id.get(task.only_on)
        if only is None or not only.registered:
            return links
        return [link for link in links if link is only]

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
                if self._usage.team_fits(team, maximum, step.spec):
                    link = choose_executor(
                        task, pool, self._usage, self._learning, now, rack
                    )
                if link is None:
                    break
                executor = link.executor
                self._usage.add(executor.executor_id, executor.rack, task)
                chosen.append((task, link))
            for task, link in chosen:
                executor = link.executor
                self._usage.remove(executor.executor_id, executor.rack, task)
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
        placed = PlacedRun(task, run, Phase.ASSIGNED, self._epoch)
        if tickets is not None:
            placed.ticket = tickets[executor.executor_id]
        job.place(task, executor.executor_id, run, now)
        self._usage.add(executor.executor_id, executor.rack, task)
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
