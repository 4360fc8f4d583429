"""Selection of the next queued job and of the worker that runs it."""

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

MAX_CANDIDATES = 4
"""Fitting workers compared in one availability zone."""
MAX_PLACEMENTS = 200
"""Most jobs placed in one step, to bound its duration and the records to write."""

Pools = tuple[str, ...]


class CandidateReason(Enum):
    """Why a worker was or was not chosen."""

    CHOSEN = "chosen"
    FITS_LESS_WELL = "fits-less-well"
    PREEMPTED = "room-made"
    RESERVED = "room-kept"


@dataclass(frozen=True, slots=True)
class WorkerCandidate:
    """A worker compared for a job, and why it was or was not chosen."""

    worker: str
    reason: CandidateReason


@dataclass(frozen=True, slots=True)
class Placement:
    """A job to start on a worker."""

    job: Job
    worker: str
    demand: Demand
    considered: tuple[WorkerCandidate, ...] = ()


@dataclass
class Plan:
    """Result of one planning step; ``waiting`` has one job of each class."""

    placements: list[Placement] = field(default_factory=list)
    waiting: list[tuple[Job, JobReason]] = field(default_factory=list)
    impossible: list[tuple[Job, JobReason]] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class _Allocation:
    """Resources of a placed job, their cost in cores, and its zone and rack."""

    worker: str
    demand: Demand
    cost: float
    failure_domains: tuple[str, ...]


@dataclass
class _Step:
    """State of one planning step.

    ``taken`` has the keys of jobs already handled, ``too_large`` the demands that
    fitted no worker in this step.
    """

    plan: Plan
    limit: int
    taken: set[str] = field(default_factory=set)
    too_large: dict[tuple[Pools, Collection[str]], list[Demand]] = field(
        default_factory=lambda: defaultdict(list)
    )
    shapes_by_pools: dict[Pools, set[Demand]] = field(default_factory=dict)


class Placer:
    """Queues and totals updated with each job change, and the planning step.

    Does no I/O and reads no clock; callers pass in the time.
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
        self._domain_counts: dict[tuple[str, str], Counter[str]] = defaultdict(Counter)

    def job_changed(self, key: str, before: Job | None, after: Job | None) -> None:
        """Update queues and allocations after a job has changed."""
        if before and after and before.placed and after.placed:
            return
        if before is not None and before.placed:
            self._deallocate(key, before)
        if before is not None and key in self._queued_costs:
            cost = self._queued_costs.pop(key)
            self.shares.adjust_queued(before.team, -cost, -before.units)
        if after is None:
            return
        if after.placed:
            self._allocate(key, after)
        elif after.state is JobState.QUEUED:
            cost = self._queued_costs[key] = self.shares.cost(declared(after))
            self.shares.adjust_queued(after.team, cost, after.units)

    def enqueue(self, job: Job) -> None:
        """Add a queued job whose retry delay has passed to its team's queue."""
        queue_key = (job.team, job.request.urgent)
        queue = self._queues.get(queue_key)
        if queue is None:
            queue = self._queues[queue_key] = TeamQueue(self._is_queued)
        queue.add(job)

    def queued_keys(self) -> list[str]:
        """Return the store keys of all queued jobs."""
        return list(self._queued_costs)

    def queued_urgent(self, limit: int) -> list[Job]:
        """Return queued urgent jobs, at most ``limit`` per team, oldest first."""
        found: list[Job] = []
        for (_, urgent), queue in self._queues.items():
            if urgent:
                jobs = (self._get_job(key) for key in queue.oldest(limit))
                found.extend(job for job in jobs if job is not None)
        found.sort(key=lambda job: (job.submitted_at, job.job_id))
        return found

    def plan(self, now: timedelta, limit: int = MAX_PLACEMENTS) -> Plan:
        """Choose jobs and workers, and reserve the capacity in the index."""
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
            if self._place_next(step, teams[team], team, heads_by_team[team], urgent):
                heapq.heappush(order, (self.shares.above_share(team), team))

    def _place_next(
        self, step: _Step, limits: TeamLimits, team: str, heads: list, urgent: bool
    ) -> bool:
        """Place a team's next job; return whether the team may place another."""
        while heads:
            _, key, job_class = heads[0]
            job = self._get_job(key)
            if job is None or key in step.taken or not self._is_queued(key, job_class):
                self._advance_head(step, heads, team, urgent)
                continue
            reason = self._try_to_place(step, limits, job)
            if reason is JobReason.PLACED:
                self._advance_head(step, heads, team, urgent)
                return True
            if reason is JobReason.TEAM_AT_LIMIT:
                # Smaller jobs behind it wait too; otherwise they could starve it.
                step.plan.waiting.append((job, reason))
                return False
            if reason in (
                JobReason.NO_WORKER_LARGE_ENOUGH,
                JobReason.TEAM_LIMIT_TOO_SMALL,
            ):
                step.taken.add(key)
                step.plan.impossible.append((job, reason))
                self._advance_head(step, heads, team, urgent)
                continue
            if reason is JobReason.NO_ROOM and self.shares.above_share(team) >= 0:
                reason = JobReason.SHARE_USED
            step.plan.waiting.append((job, reason))
            heapq.heappop(heads)
        return False

    def _advance_head(self, step: _Step, heads: list, team: str, urgent: bool) -> None:
        """Replace the first head with the next job of the same class."""
        _, key, job_class = heads[0]
        step.taken.add(key)
        queue = self._queues[(team, urgent)]
        head = queue.next_after(job_class, step.taken)
        if head is None:
            heapq.heappop(heads)
        else:
            heapq.heapreplace(heads, (*head, job_class))

    def _try_to_place(self, step: _Step, limits: TeamLimits, job: Job) -> JobReason:
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
        requested = declared(job)
        large_enough = [shape for shape in shapes if requested.within(shape)]
        if not large_enough:
            return JobReason.NO_WORKER_LARGE_ENOUGH
        if self.units_by_team[job.team] + job.units > limits.job_limit:
            return JobReason.TEAM_AT_LIMIT
        demand = clip(self.demand_for_job(job), large_enough)
        failed = step.too_large[(pools, job.failed_on)]
        if any(smaller.within(demand) for smaller in failed):
            return JobReason.NO_ROOM
        chosen = self._choose_worker(job, pools, demand)
        if chosen is None:
            failed.append(demand)
            return JobReason.NO_ROOM
        worker, considered = chosen
        step.plan.placements.append(Placement(job, worker.name, demand, considered))
        self.reserve(job, worker.name, demand)
        return JobReason.PLACED

    def _choose_worker(
        self, job: Job, pools: Pools, demand: Demand
    ) -> tuple[Worker, tuple[WorkerCandidate, ...]] | None:
        spread = self._domain_counts.get(spread_group(job), Counter())
        zones = sorted(self.index.zones(pools), key=lambda z: (spread[f"zone:{z}"], z))
        for zone in zones:
            limit = MAX_CANDIDATES + len(job.failed_on)
            fitting = self.index.fitting(pools, zone, demand, limit)
            fitting = [w for w in fitting if w.name not in job.failed_on]
            if not fitting:
                continue
            # min() keeps the index order, best fit first, among equals.
            worker = min(
                fitting,
                key=lambda w: (
                    (w.capacity.accelerators, spread[f"rack:{w.rack}"])
                    if not demand.accelerators
                    else (w.free_accelerators, spread[f"rack:{w.rack}"])
                ),
            )
            chosen, rejected = CandidateReason.CHOSEN, CandidateReason.FITS_LESS_WELL
            considered = tuple(
                WorkerCandidate(w.name, chosen if w is worker else rejected)
                for w in fitting[:MAX_CANDIDATES]
            )
            return worker, considered
        return None

    def reserve(self, job: Job, worker: str, demand: Demand) -> None:
        """Allocate a worker's capacity to a job before the assignment is recorded."""
        if job.key in self._allocations:
            return
        known = self.index.workers_by_name.get(worker)
        failure_domains: tuple[str, ...] = ()
        if known is not None:
            failure_domains = (f"zone:{known.availability_zone}", f"rack:{known.rack}")
        cost = self.shares.cost(demand)
        self._allocations[job.key] = _Allocation(worker, demand, cost, failure_domains)
        self.index.allocate(worker, job.key, demand)
        self.units_by_team[job.team] += job.units
        self.shares.adjust_held(job.team, cost)
        self._domain_counts[spread_group(job)].update(failure_domains)

    def unreserve(self, job: Job) -> None:
        """Release the reservation of a job whose assignment was not recorded."""
        self._deallocate(job.key, job)

    def demand_on_worker(self, key: str) -> Demand | None:
        """Return the resources allocated to a placed job."""
        allocation = self._allocations.get(key)
        return None if allocation is None else allocation.demand

    def resize(self, job: Job, demand: Demand) -> None:
        """Change the resources allocated to a placed job."""
        before = self._allocations[job.key]
        cost = self.shares.cost(demand)
        self._allocations[job.key] = replace(before, demand=demand, cost=cost)
        self.shares.adjust_held(job.team, cost - before.cost)
        self.index.allocate(before.worker, job.key, demand)

    def fitting_demand(self, job: Job, pools: Pools) -> Demand | None:
        """Return the demand to reserve, or None if no worker is large enough."""
        requested = declared(job)
        shapes = [s for s in self.index.shapes(pools) if requested.within(s)]
        return clip(self.demand_for_job(job), shapes) if shapes else None

    def pools_for(self, job: Job) -> Pools | None:
        """Return the pools whose workers may run a job, or None without its queue."""
        return self._pools_of(job)

    def within_limit(self, job: Job, held_units: int = 0) -> bool:
        """Tell whether the team's limit allows the job besides its placed jobs."""
        limits = self._teams().get(job.team)
        used = self.units_by_team[job.team] + held_units
        return limits is not None and used + job.units <= limits.job_limit

    def same_class(self, job: Job, limit: int) -> list[str]:
        """Return the keys of queued jobs that wait for the same reason as a job."""
        queue = self._queues.get((job.team, job.request.urgent))
        return [] if queue is None else queue.of_class(class_of(job), limit)

    def _allocate(self, key: str, job: Job) -> None:
        self.reserve(job, job.worker, self.demand_for_job(job))

    def _deallocate(self, key: str, job: Job) -> None:
        allocation = self._allocations.pop(key, None)
        if allocation is None:
            return
        self.index.release(allocation.worker, key)
        self.units_by_team[job.team] -= job.units
        self.shares.adjust_held(job.team, -allocation.cost)
        counts = self._domain_counts[spread_group(job)]
        counts.subtract(allocation.failure_domains)
        if not any(counts.values()):
            del self._domain_counts[spread_group(job)]

    def _is_queued(self, key: str, job_class: JobClass) -> bool:
        job = self._get_job(key)
        return (
            job is not None
            and job.state is JobState.QUEUED
            and class_of(job) == job_class
        )


def declared(job: Job) -> Demand:
    """Return the demand that the caller declared."""
    request = job.request
    return Demand(request.cores, request.memory_bytes, request.accelerators)


def spread_group(job: Job) -> tuple[str, str]:
    """Return the group whose tasks are spread across racks and zones."""
    return job.team, job.request.label


def clip(demand: Demand, shapes: Collection[Demand]) -> Demand:
    """Limit a learned demand to the largest worker that fits the declared one."""
    if any(demand.within(shape) for shape in shapes):
        return demand
    largest = max(shapes, key=lambda s: (s.memory_bytes, s.cores, s.accelerators))
    return Demand(
        min(demand.cores, largest.cores),
        min(demand.memory_bytes, largest.memory_bytes),
        demand.accelerators,
    )
