"""Assigns waiting tasks to executors during one term of the placing role."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Collection, Iterable, Mapping
from datetime import timedelta
from itertools import chain

from ..clock import Clock
from .advice import MAX_EXECUTORS_PER_REQUEST, Advisor
from .configuration_follower import ConfigurationFollower
from .crash_trials import CrashTrials
from .decision_log import JobDecisionLog
from .executor_choice import FreeCapacityIndex, can_place
from .executor_link import ExecutorLink
from .failed_items import FailedItems
from .job_ranking import Rank, core_seconds_of, rank
from .model import (
    MAX_GANG_TASKS,
    NO_RESOURCES,
    Configuration,
    JobRecord,
    PlacementAdvice,
    Queue,
    Resources,
)
from .placed_run import Phase, PlacedRun
from .policy import Policy
from .pool_shares import PoolShares
from .progress import JobRun, StepRun, Task, TaskState
from .run_estimates import RunEstimates
from .share_rounds import ShareRounds
from .start_queue import AssignmentLimit
from .usage import Usage

MEAN_WORK_WEIGHT = 0.05
"""Weight of a new job in the moving average of its queue's work."""


class _WaitingJob:
    """A job with ready tasks, as of its last change."""

    __slots__ = ("job", "queue", "rank", "ready_short", "smallest_cpu")

    def __init__(self, job: JobRun, queue: Queue, smallest_cpu: int) -> None:
        self.job = job
        self.queue = queue
        self.smallest_cpu = smallest_cpu
        self.ready_short = job.ready_short_tasks()
        """Resources of its ready short tasks."""
        self.rank: Rank | None = None


def _rank_key(entry: _WaitingJob) -> tuple[float, ...]:
    assert entry.rank is not None
    return entry.rank.key


def _allowed_executors(
    pinned: Collection[str], tickets: Collection[str] | None
) -> Collection[str] | None:
    """Return the executors on which a task may start, None if it may on all.

    ``tickets`` holds the executors with a valid ticket, None if no advice is needed.
    """
    if not pinned:
        return tickets
    if tickets is None:
        return pinned
    return [executor_id for executor_id in pinned if executor_id in tickets]


def _crashes_of(task: Task) -> int:
    return task.suspicion.crashes if task.suspicion else 0


class Planner:
    """Ranks jobs, assigns their tasks and queues the starts until they are stored."""

    def __init__(
        self,
        clock: Clock,
        follower: ConfigurationFollower,
        usage: Usage,
        estimates: RunEstimates,
        decision_log: JobDecisionLog,
        epoch: int,
        links_by_id: Mapping[str, ExecutorLink],
        live_jobs: Mapping[str, JobRun],
        advisor: Advisor | None,
        queue_of: Callable[[JobRecord], Queue | None],
        changed: Callable[[JobRun], None],
        policy: Policy,
        crash_trials: CrashTrials,
        failed_items: FailedItems,
    ) -> None:
        self._clock = clock
        self._follower = follower
        self._usage = usage
        self._estimates = estimates
        self._decision_log = decision_log
        self._epoch = epoch
        self._links_by_id = links_by_id
        self._live_jobs = live_jobs
        self._advisor = advisor
        self._queue_of = queue_of
        self._changed = changed
        self._policy = policy
        self._crash_trials = crash_trials
        self._failed_items = failed_items
        self._mean_work_by_queue: dict[str, float] = {}
        self._pending_starts: list[tuple[ExecutorLink, PlacedRun]] = []
        self._assignment_limit = AssignmentLimit()
        self.share_rounds = ShareRounds(usage, decision_log)
        self._shares: PoolShares | None = None
        """Division of the pool that is being planned."""
        self._only_within_share = False
        """Whether a task is placed only if its team stays within its share."""
        self.held_back: set[str] = set()
        """Services with tasks that the limit on assignments keeps waiting."""
        self._links_by_service: dict[str, list[ExecutorLink]] = {}
        """All links, grouped when all services were last planned."""
        self._waiting_by_service: dict[str, dict[str, _WaitingJob]] = {}
        """Jobs with ready tasks, by service and job id."""

    def take_assignments(self) -> list[tuple[ExecutorLink, PlacedRun]]:
        """Return and clear the new assignments, which are not yet stored durably."""
        starts, self._pending_starts = self._pending_starts, []
        return starts

    def record_job(self, queue: Queue, work: float) -> None:
        """Add a job to the mean work of its queue, in core-seconds."""
        mean = self._mean_work_by_queue.get(queue.name, work)
        self._mean_work_by_queue[queue.name] = mean + MEAN_WORK_WEIGHT * (work - mean)

    def update_backlog(self, job: JobRun) -> None:
        """Update the backlog after tasks of a job were added, placed or ended."""
        queue = self._queue_of(job.record)
        if queue is None:
            return
        waiting = self._waiting_by_service.setdefault(queue.service, {})
        smallest = job.smallest_ready_cpu()
        if job.job_id not in self._live_jobs or smallest is None:
            waiting.pop(job.job_id, None)
        else:
            waiting[job.job_id] = _WaitingJob(job, queue, smallest)

    def plan(self, services: set[str] | None) -> None:
        """Assign waiting tasks to executors with free capacity.

        ``services`` names the services to plan; None plans all of them.
        """
        configuration = self._follower.current
        if configuration is None:
            return
        now = self._clock.monotonic()
        if services is None:
            self._group_by_service()
            if self._advisor is not None:
                self._advisor.clear_queue()
        planned = set(self._links_by_service) if services is None else services
        self._assignment_limit.update(self._count_waiting_teams())
        held_back_before = set(self.held_back)
        self.held_back -= planned
        # Sorted, so that a replay with the same seed decides alike.
        for service in sorted(planned):
            waiting = self._waiting_by_service.get(service)
            if not waiting:
                self.share_rounds.end(service)
                continue
            links = self._usable_links(service, now)
            rejecting = {
                link.executor.executor_id for link in links if link.rejects_starts(now)
            }
            index = FreeCapacityIndex(
                links, self._usage, self._estimates, now, rejecting
            )
            ranked = self._ranked(waiting.values(), index.max_free_cpu, now)
            self._assignment_limit.reached = False
            self._shares = self.share_rounds.begin(
                service,
                links,
                ((e.job.record.team, e.ready_short) for e in waiting.values()),
                configuration,
            )
            self._place_jobs(ranked, index, configuration, now)
            self.share_rounds.log(service, now)
            self._shares, self._only_within_share = None, False
            if self._assignment_limit.reached:
                self.held_back.add(service)
        for service in sorted(self.held_back ^ held_back_before):
            outcome = "limited" if service in self.held_back else "unlimited"
            unanswered = len(self._assignment_limit)
            self._decision_log.record("starts", service, outcome, unanswered=unanswered)

    def _count_waiting_teams(self) -> int:
        return len(
            {
                entry.job.record.team
                for waiting in self._waiting_by_service.values()
                for entry in waiting.values()
            }
        )

    def _group_by_service(self) -> None:
        """Regroup executors and jobs by service, as either may have changed service."""
        links_by_service: dict[str, list[ExecutorLink]] = defaultdict(list)
        for link in self._links_by_id.values():
            links_by_service[link.executor.service].append(link)
        self._links_by_service = links_by_service
        self._waiting_by_service = {}
        for job in self._live_jobs.values():
            self._failed_items.handle("job", job.job_id, self.update_backlog, job)

    def _usable_links(self, service: str, now: timedelta) -> list[ExecutorLink]:
        """Return the executors of a service that accept tasks now."""
        usable = [
            link
            for link in self._links_by_service.get(service, ())
            if link.usable and not link.has_trial
        ]
        healthy = [
            link
            for link in usable
            if not self._estimates.is_quarantined(link.executor.executor_id, now)
        ]
        # If all usable executors are quarantined, use them rather than none.
        return healthy or usable

    def _ranked(
        self, waiting: Iterable[_WaitingJob], max_free_cpu: int, now: timedelta
    ) -> list[_WaitingJob]:
        """Return the jobs whose smallest task fits somewhere, highest rank first."""
        fitting = []
        for entry in waiting:
            job_id = entry.job.job_id
            if entry.smallest_cpu > max_free_cpu:
                continue
            if self._failed_items.is_paused("job", job_id):
                continue
            with self._failed_items.contain("job", job_id):
                self._rank(entry, now)
                fitting.append(entry)
        fitting.sort(key=_rank_key)
        return fitting

    def _rank(self, entry: _WaitingJob, now: timedelta) -> tuple[float, ...]:
        if entry.rank is None or now >= entry.rank.valid_until:
            job, queue = entry.job, entry.queue
            mean = self._mean_work_by_queue.get(queue.name)
            if mean is None:
                mean = core_seconds_of(
                    job, self._estimates.expected_ms, remaining=False
                )
                self._mean_work_by_queue[queue.name] = mean
            entry.rank = rank(
                job,
                queue,
                now,
                self._estimates.expected_ms,
                mean,
                self._estimates.path_times(now),
            )
        return entry.rank.key

    def _place_jobs(
        self,
        ranked: Iterable[_WaitingJob],
        index: FreeCapacityIndex,
        configuration: Configuration,
        now: timedelta,
    ) -> None:
        assert self._shares is not None
        for entry, limited in self._shares.passes(ranked, _rank_key):
            self._only_within_share = limited and not entry.job.lasting
            if entry.smallest_cpu > index.max_free_cpu:
                continue
            job_id, team_name = entry.job.job_id, entry.job.record.team
            team = configuration.teams_by_name.get(team_name)
            maximum = team.maximum if team else NO_RESOURCES
            self._failed_items.handle(
                "job", job_id, self._place_job, entry, index, maximum, now
            )

    def _place_job(
        self,
        entry: _WaitingJob,
        index: FreeCapacityIndex,
        maximum: Resources,
        now: timedelta,
    ) -> None:
        advice = entry.queue.advice
        for step in list(entry.job.ready_steps()):
            if advice is not None:
                self._place_advised(step, index, maximum, advice, now)
            else:
                self._place_step(step, index, maximum, now)

    def _place_advised(
        self,
        step: StepRun,
        index: FreeCapacityIndex,
        maximum: Resources,
        advice: PlacementAdvice,
        now: timedelta,
    ) -> None:
        """Place a step on executors with valid tickets and request more tickets."""
        if self._advisor is None:
            return
        tickets = self._advisor.valid_tickets(step, now)
        self._place_step(step, index, maximum, now, tickets)
        delayed = any(now < task.not_before for task in step.tasks.known())
        if not step.waiting or delayed:
            return
        if self._only_within_share:
            # Requested once, in the pass that considers all tasks.
            return
        candidates = [
            link
            for link in index.links
            if can_place(link, step, self._usage)
            and link.executor.executor_id not in tickets
        ]
        pinned = {
            executor_id
            for task in step.waiting.returned()
            for executor_id in self._pinned_executor(task, now)
        }
        # A pinned task can start nowhere else.
        candidates.sort(
            key=lambda ln: (
                ln.executor.executor_id not in pinned,
                -self._usage.free_cpu(ln.executor.executor_id, ln.executor.capacity),
            )
        )
        executors = [link.executor.executor_id for link in candidates]
        if executors:
            duration = advice.decide + advice.each * min(
                len(executors), MAX_EXECUTORS_PER_REQUEST
            )
            self._advisor.enqueue(step, executors, duration)

    def _place_step(
        self,
        step: StepRun,
        index: FreeCapacityIndex,
        maximum: Resources,
        now: timedelta,
        tickets: Mapping[str, str] | None = None,
    ) -> None:
        if not self._share_allows(step):
            return
        if step.spec.gang:
            self._place_gang(step, index, maximum, now, tickets)
            return
        waiting: Iterable[Task] = step.waiting.values()
        if self._crash_trials.concern(step):
            waiting = self._place_trials(step, index, maximum, now, tickets)
        for task in waiting:
            if now < task.not_before:
                continue
            if not self._may_assign(step, maximum):
                break
            rack = step.spec.data_rack or self._rack_of(step)
            pinned = self._pinned_executor(task, now)
            allowed = _allowed_executors(pinned, tickets)
            link = self._choose(index, task, rack, allowed)
            if link is None:
                if pinned:
                    continue
                break
            self._assign(task, link, index, task.run + 1, now, tickets)

    def _may_assign(self, step: StepRun, maximum: Resources) -> bool:
        """Tell whether the limits of its team allow another task of a step."""
        team = step.job.record.team
        fits = self._usage.team_fits(team, maximum, step.spec)
        return fits and self._assignment_limit.allows(team)

    def _share_allows(self, step: StepRun) -> bool:
        """Tell whether the tasks of a step may be placed in this pass.

        A job that has begun goes on: if its steps waited for the share again, many jobs
        would be half done and all of them late.
        """
        if self._shares is None or not self._only_within_share:
            return True
        if step.job.has_begun(step.occurrence):
            return True
        team, tasks = step.job.record.team, len(step.waiting)
        return self._shares.allows(team, step.spec, tasks)

    def _place_trials(
        self,
        step: StepRun,
        index: FreeCapacityIndex,
        maximum: Resources,
        now: timedelta,
        tickets: Mapping[str, str] | None,
    ) -> Iterable[Task]:
        """Place the tasks of a step that need a trial; return the others.

        Suspects of a batch job share a trial as far as they fit on one executor.
        """
        others = []
        shared: ExecutorLink | None = None
        has_room = True
        # The most suspect task first, so that others need not be tried.
        candidates: Iterable[Task] = sorted(
            step.waiting.returned(), key=_crashes_of, reverse=True
        )
        all_need_trial = self._crash_trials.suspects_image(step)
        if all_need_trial:
            candidates = chain(candidates, step.waiting.fresh())
        for task in candidates:
            if not self._crash_trials.needs_trial(task):
                others.append(task)
                continue
            if now < task.not_before:
                continue
            if not self._may_assign(step, maximum):
                break
            may_share = task.suspicion is not None and not step.spec.lasting
            if (
                shared is None
                or not may_share
                or not can_place(shared, step, self._usage)
            ):
                if shared is not None:
                    index.discard(shared)
                shared = None
                pinned = self._pinned_executor(task, now)
                if not (pinned or has_room or task.run):
                    # The fresh tasks that follow find no room either.
                    break
                if pinned or has_room:
                    allowed = _allowed_executors(pinned, tickets)
                    shared = self._choose_for_trial(index, task, allowed)
                    has_room = has_room and (bool(pinned) or shared is not None)
            if shared is not None:
                self._assign(task, shared, index, task.run + 1, now, tickets)
        if shared is not None:
            index.discard(shared)
        return others if all_need_trial else chain(step.waiting.fresh(), others)

    def _choose(
        self,
        index: FreeCapacityIndex,
        task: Task,
        rack: str,
        allowed: Collection[str] | None,
    ) -> ExecutorLink | None:
        """Return the executor chosen by the policy, or None if it violates a rule."""
        link = self._policy.choose_executor(index, task, rack, allowed)
        if link is None or not index.contains(link):
            return None
        if allowed is not None and link.executor.executor_id not in allowed:
            return None
        return link if can_place(link, task.step, self._usage) else None

    def _choose_for_trial(
        self, index: FreeCapacityIndex, task: Task, allowed: Collection[str] | None
    ) -> ExecutorLink | None:
        """Return the executor on which a task that may crash it is started, or None."""
        pool = self._links_by_service.get(self._service_of(task), ())
        if not self._crash_trials.may_begin(task, pool):
            return None
        return index.choose_for_trial(task, allowed)

    def _service_of(self, task: Task) -> str:
        queue = self._queue_of(task.step.job.record)
        return queue.service if queue is not None else ""

    def _pinned_executor(self, task: Task, now: timedelta) -> tuple[str, ...]:
        """Return the executor that the task is pinned to, or nothing.

        A long-running task whose last start was not answered is restarted only there,
        as an executor does not run the same task twice.
        """
        if now >= task.only_on_until:
            return ()
        link = self._links_by_id.get(task.only_on)
        return (task.only_on,) if link is not None and link.registered else ()

    def _rack_of(self, step: StepRun) -> str:
        """Return the rack of a step's placed tasks if the step needs a single rack."""
        if not step.spec.same_rack:
            return ""
        for task in step.tasks.known():
            if task.state is TaskState.PLACED:
                link = self._links_by_id.get(task.executor)
                return link.executor.rack if link else ""
        return ""

    def _place_gang(
        self,
        step: StepRun,
        index: FreeCapacityIndex,
        maximum: Resources,
        now: timedelta,
        tickets: Mapping[str, str] | None = None,
    ) -> None:
        """Place all tasks of a gang or none of them."""
        if step.placed or len(step.waiting) < step.spec.count:
            return
        if step.spec.count > MAX_GANG_TASKS:
            # Accepted by an earlier build.
            return
        if any(now < task.not_before for task in step.tasks.known()):
            return
        run = max((task.run for task in step.tasks.known()), default=0) + 1
        on_trial = self._crash_trials.needs_trial(step.tasks[0])
        team = step.job.record.team
        if not self._assignment_limit.allows(team):
            return
        racks = [step.spec.data_rack]
        if step.spec.same_rack:
            racks += sorted({link.executor.rack for link in index.links})
        elif not racks[0]:
            racks = [""]
        for rack in racks:
            allowed: Collection[str] | None = tickets
            if step.spec.same_rack and rack:
                allowed = {
                    link.executor.executor_id
                    for link in index.links
                    if link.executor.rack == rack
                    and (tickets is None or link.executor.executor_id in tickets)
                }
            if not index.has_room(step, allowed):
                continue
            chosen: list[tuple[Task, ExecutorLink]] = []
            for task in step.tasks:
                link = None
                if self._usage.team_fits(team, maximum, step.spec):
                    link = self._choose(index, task, rack, allowed)
                if link is not None and on_trial and link.has_suspects_beside(task):
                    link = None
                if link is None:
                    break
                index.allocate(link, task)
                chosen.append((task, link))
            for task, link in chosen:
                index.release(link, task)
            if len(chosen) == step.spec.count:
                saved = max((task.saved for task in step.tasks), default="")
                for task, link in chosen:
                    task.saved = saved
                    self._assign(task, link, index, run, now, tickets)
                if on_trial:
                    for link in {id(link): link for _, link in chosen}.values():
                        index.discard(link)
                return

    def _assign(
        self,
        task: Task,
        link: ExecutorLink,
        index: FreeCapacityIndex,
        run: int,
        now: timedelta,
        tickets: Mapping[str, str] | None = None,
    ) -> None:
        # Lookups that may fail come before the first change of state.
        executor = link.executor
        job = task.step.job
        placed = PlacedRun(task, run, Phase.ASSIGNED, self._epoch)
        if tickets is not None:
            placed.ticket = tickets[executor.executor_id]
        data_rack = task.step.spec.data_rack
        if data_rack and data_rack != executor.rack:
            placed.partial = True
        placed.on_trial = self._crash_trials.needs_trial(task)
        job.place(task, executor.executor_id, run, now)
        index.allocate(link, task)
        if self._shares is not None and not task.step.spec.lasting:
            self._shares.add(job.record.team, task.step.spec)
        link.assign(placed)
        self._pending_starts.append((link, placed))
        self._assignment_limit.add((link, placed))
        self._changed(job)
        self._decision_log.record(
            "place",
            task.name,
            executor.executor_id,
            run=run,
            age_ms=round((now - job.accepted_at) / timedelta(milliseconds=1)),
            free_cpu=self._usage.free_cpu(executor.executor_id, executor.capacity),
        )
