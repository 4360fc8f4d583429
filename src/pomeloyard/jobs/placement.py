"""Which queued job runs next and on which worker."""

from __future__ import annotations

import heapq
from collections import Counter, defaultdict
from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass, field, replace
from datetime import timedelta
from enum import Enum

from .capacity import CapacityIndex, Demand, Worker
from .job import Job, JobReason, JobState
from .queues import JobClass, TeamQueue, class_of
from .team_shares import TeamLimits, TeamShares

CANDIDATES = 4
"""Fitting workers of one availability zone that are compared."""
MAX_PLACEMENTS = 200
"""Jobs placed in one step, so that a step stays short and is soon recorded."""

Pools = tuple[str, ...]


class CandidateReason(Enum):
    """Why a worker was or was not chosen."""

    CHOSEN = "chosen"
    FITS_LESS_WELL = "fits-less-well"
    ROOM_MADE = "room-made"
    ROOM_KEPT = "room-kept"


@dataclass(frozen=True, slots=True)
class Considered:
    """A worker that was considered, and why it was or was not chosen."""

    worker: str
    reason: CandidateReason


@dataclass(frozen=True, slots=True)
class Placement:
    """A job to be started on a worker."""

    job: Job
    worker: str
    demand: Demand
    considered: tuple[Considered, ...] = ()


@dataclass
class Plan:
    """Result of one planning step; ``waiting`` holds one job for each class."""

    placements: list[Placement] = field(default_factory=list)
    waiting: list[tuple[Job, JobReason]] = field(default_factory=list)
    impossible: list[tuple[Job, JobReason]] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class _Allocation:
    """What a placed job takes, its cost in cores, and its zone and rack."""

    worker: str
    demand: Demand
    cost: float
    places: tuple[str, ...]


@dataclass
class _Step:
    """Working state of one planning step."""

    plan: Plan
    limit: int
    taken: set[str] = field(default_factory=set)
    too_large: dict[tuple[Pools, Collection[str]], list[Demand]] = field(
        default_factory=lambda: defaultdict(list)
    )
    shapes_by_pools: dict[Pools, set[Demand]] = field(default_factory=dict)


class Placer:
    """Queues and sums kept up to date with each job, and the planning step.

    Every method is a pure function of what it was told; time is passed in.
    """

    def __init__(
        self,
        index: CapacityIndex,
        get_job: Callable[[str], Job | None],
        demand_of: Callable[[Job], Demand],
        pools_of: Callable[[Job], Pools | None],
        teams: Callable[[], Mapping[str, TeamLimits]],
        now: Callable[[], timedelta],
    ) -> None:
        self.index = index
        self.units_by_team: Counter[str] = Counter()
        self.demand_for_job = demand_of
        self._get_job = get_job
        self._pools_of = pools_of
        self._teams = teams
        self._queues: dict[tuple[str, bool], TeamQueue] = {}
        self.shares = TeamShares(teams, now)
        self._queued_costs: dict[str, float] = {}
        self._allocations: dict[str, _Allocation] = {}
        self._spread: dict[tuple[str, str], Counter[str]] = defaultdict(Counter)

    def job_changed(self, key: str, before: Job | None, after: Job | None) -> None:
        """Take over a change of a job."""
        if before and after and before.placed and after.placed:
            return
        if before is not None and before.placed:
            self._unplace(key, before)
        if before is not None and key in self._queued_costs:
            cost = self._queued_costs.pop(key)
            self.shares.want(before.team, -cost, -before.units)
        if after is None:
            return
        if after.placed:
            self._place(key, after)
        elif after.state is JobState.QUEUED:
            cost = self._queued_costs[key] = self.shares.cost(declared(after))
            self.shares.want(after.team, cost, after.units)

    def enqueue(self, job: Job) -> None:
        """Let a queued job, whose retry delay has passed, be placed."""
        queue_key = (job.team, job.request.urgent)
        queue = self._queues.get(queue_key)
        if queue is None:
            queue = self._queues[queue_key] = TeamQueue(self._is_queued)
        queue.add(job)

    def queued_keys(self) -> list[str]:
        """Return the store keys of all queued jobs."""
        return list(self._queued_costs)

    def queued_urgent(self, limit: int) -> list[Job]:
        """Return urgent jobs that wait, at most ``limit`` of each team."""
        found: list[Job] = []
        for (_, urgent), queue in self._queues.items():
            if urgent:
                jobs = (self._get_job(key) for key in queue.oldest(limit))
                found.extend(job for job in jobs if job is not None)
        found.sort(key=lambda job: (job.submitted_at, job.job_id))
        return found

    def plan(self, now: timedelta, limit: int = MAX_PLACEMENTS) -> Plan:
        """Choose jobs and workers; what is chosen is reserved in the index."""
        teams = self._teams()
        workers = self.index.workers_by_name.values()
        self.shares.update(now, workers, self.units_by_team)
        step = _Step(Plan(), limit)
        for urgent in (True, False):
            self._plan_priority(step, teams, urgent)
        return step.plan

    def _plan_priority(
        self, step: _Step, teams: Mapping[str, TeamLimits], urgent: bool
    ) -> None:
        heads_by_team: dict[str, list] = {}
        order: list[tuple[float, str]] = []
        for (team, is_urgent), queue in self._queues.items():
            if is_urgent is urgent and team in teams:
                heads = queue.heads()
                if heads:
                    heads_by_team[team] = heads
                    order.append((self.shares.above_share(team), team))
        heapq.heapify(order)
        while order and len(step.plan.placements) < step.limit:
            _, team = heapq.heappop(order)
            if self._serve(step, teams[team], team, heads_by_team[team], urgent):
                heapq.heappush(order, (self.shares.above_share(team), team))

    def _serve(
        self, step: _Step, limits: TeamLimits, team: str, heads: list, urgent: bool
    ) -> bool:
        """Place the next job of a team; tell whether it may have another."""
        while heads:
            _, key, job_class = heads[0]
            job = self._get_job(key)
            if job is None or key in step.taken or not self._is_queued(key, job_class):
                self._next_head(step, heads, team, urgent)
                continue
            reason = self._try(step, limits, job)
            if reason is JobReason.PLACED:
                self._next_head(step, heads, team, urgent)
                return True
            if reason is JobReason.TEAM_AT_LIMIT:
                # Smaller jobs behind it must wait too, or it might never run.
                step.plan.waiting.append((job, reason))
                return False
            if reason in (
                JobReason.NO_WORKER_LARGE_ENOUGH,
                JobReason.TEAM_LIMIT_TOO_SMALL,
            ):
                step.taken.add(key)
                step.plan.impossible.append((job, reason))
                self._next_head(step, heads, team, urgent)
                continue
            if reason is JobReason.NO_ROOM and self.shares.above_share(team) >= 0:
                reason = JobReason.SHARE_USED
            step.plan.waiting.append((job, reason))
            heapq.heappop(heads)
        return False

    def _next_head(self, step: _Step, heads: list, team: str, urgent: bool) -> None:
        """Replace the first head by the next job of the same class."""
        _, key, job_class = heads[0]
        step.taken.add(key)
        queue = self._queues[(team, urgent)]
        head = queue.next_after(job_class, step.taken)
        if head is None:
            heapq.heappop(heads)
        else:
            heapq.heapreplace(heads, (*head, job_class))

    def _try(self, step: _Step, limits: TeamLimits, job: Job) -> JobReason:
        pools = self._pools_of(job)
        if pools is None:
            return JobReason.QUEUE_MISSING
        shapes = step.shapes_by_pools.get(pools)
        if shapes is None:
            shapes = step.shapes_by_pools[pools] = self.index.shapes(pools)
        if job.units > limits.job_limit:
            return JobReason.TEAM_LIMIT_TOO_SMALL
        if not shapes:
            return JobReason.NO_WORKERS
        wanted = declared(job)
        holding = [shape for shape in shapes if wanted.within(shape)]
        if not holding:
            return JobReason.NO_WORKER_LARGE_ENOUGH
        if self.units_by_team[job.team] + job.units > limits.job_limit:
            return JobReason.TEAM_AT_LIMIT
        demand = clip(self.demand_for_job(job), holding)
        failed = step.too_large[(pools, job.failed_on)]
        if any(smaller.within(demand) for smaller in failed):
            return JobReason.NO_ROOM
        chosen = self._choose(job, pools, demand)
        if chosen is None:
            failed.append(demand)
            return JobReason.NO_ROOM
        worker, considered = chosen
        step.plan.placements.append(Placement(job, worker.name, demand, considered))
        self.reserve(job, worker.name, demand)
        return JobReason.PLACED

    def _choose(
        self, job: Job, pools: Pools, demand: Demand
    ) -> tuple[Worker, tuple[Considered, ...]] | None:
        spread = self._spread.get(spread_group(job), Counter())
        zones = sorted(self.index.zones(pools), key=lambda z: (spread[f"zone:{z}"], z))
        for zone in zones:
            limit = CANDIDATES + len(job.failed_on)
            fitting = self.index.fitting(pools, zone, demand, limit)
            fitting = [w for w in fitting if w.name not in job.failed_on]
            if not fitting:
                continue
            # The order of the index, the tightest fit first, decides ties.
            worker = min(
                fitting,
                key=lambda w: (
                    (w.capacity.accelerators, spread[f"rack:{w.rack}"])
                    if not demand.accelerators
                    else (w.free_accelerators, spread[f"rack:{w.rack}"])
                ),
            )
            chosen, less_well = CandidateReason.CHOSEN, CandidateReason.FITS_LESS_WELL
            considered = tuple(
                Considered(w.name, chosen if w is worker else less_well)
                for w in fitting[:CANDIDATES]
            )
            return worker, considered
        return None

    def reserve(self, job: Job, worker: str, demand: Demand) -> None:
        """Count a job on a worker before its record says so."""
        if job.key in self._allocations:
            return
        described = self.index.workers_by_name.get(worker)
        places: tuple[str, ...] = ()
        if described is not None:
            places = (f"zone:{described.availability_zone}", f"rack:{described.rack}")
        cost = self.shares.cost(demand)
        self._allocations[job.key] = _Allocation(worker, demand, cost, places)
        self.index.allocate(worker, job.key, demand)
        self.units_by_team[job.team] += job.units
        self.shares.hold(job.team, cost)
        self._spread[spread_group(job)].update(places)

    def unreserve(self, job: Job) -> None:
        """Give back a reservation whose placement was not recorded."""
        self._unplace(job.key, job)

    def demand_on_worker(self, key: str) -> Demand | None:
        """Return what a placed job takes of its worker."""
        allocation = self._allocations.get(key)
        return None if allocation is None else allocation.demand

    def resize(self, job: Job, demand: Demand) -> None:
        """Change what a placed job takes of its worker."""
        before = self._allocations[job.key]
        cost = self.shares.cost(demand)
        self._allocations[job.key] = replace(before, demand=demand, cost=cost)
        self.shares.hold(job.team, cost - before.cost)
        self.index.allocate(before.worker, job.key, demand)

    def fitting_demand(self, job: Job, pools: Pools) -> Demand | None:
        """Return the size to reserve, or None if no worker could ever hold it."""
        wanted = declared(job)
        shapes = [s for s in self.index.shapes(pools) if wanted.within(s)]
        return clip(self.demand_for_job(job), shapes) if shapes else None

    def pools_for(self, job: Job) -> Pools | None:
        """Return the pools whose workers may run a job."""
        return self._pools_of(job)

    def within_limit(self, job: Job, held_units: int = 0) -> bool:
        """Tell whether the team's limit allows the job beside what runs."""
        limits = self._teams().get(job.team)
        used = self.units_by_team[job.team] + held_units
        return limits is not None and used + job.units <= limits.job_limit

    def same_class(self, job: Job, limit: int) -> list[str]:
        """Return queued jobs that wait for the same reason as a job."""
        queue = self._queues.get((job.team, job.request.urgent))
        return [] if queue is None else queue.of_class(class_of(job), limit)

    def _place(self, key: str, job: Job) -> None:
        self.reserve(job, job.worker, self.demand_for_job(job))

    def _unplace(self, key: str, job: Job) -> None:
        allocation = self._allocations.pop(key, None)
        if allocation is None:
            return
        self.index.release(allocation.worker, key)
        self.units_by_team[job.team] -= job.units
        self.shares.hold(job.team, -allocation.cost)
        counts = self._spread[spread_group(job)]
        counts.subtract(allocation.places)
        if not any(counts.values()):
            del self._spread[spread_group(job)]

    def _is_queued(self, key: str, job_class: JobClass) -> bool:
        job = self._get_job(key)
        return (
            job is not None
            and job.state is JobState.QUEUED
            and class_of(job) == job_class
        )


def declared(job: Job) -> Demand:
    """Return the size that the caller declared."""
    request = job.request
    return Demand(request.cores, request.memory_bytes, request.accelerators)


def spread_group(job: Job) -> tuple[str, str]:
    """Return the group whose tasks are spread over racks and zones."""
    return job.team, job.request.label


def clip(demand: Demand, shapes: Collection[Demand]) -> Demand:
    """Limit a learned size to the largest worker that holds the declared size."""
    if any(demand.within(shape) for shape in shapes):
        return demand
    largest = max(shapes, key=lambda s: (s.memory_bytes, s.cores, s.accelerators))
    return Demand(
        min(demand.cores, largest.cores),
        min(demand.memory_bytes, largest.memory_bytes),
        demand.accelerators,
    )
