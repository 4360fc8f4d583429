"""Autoscaling of pools, as pure functions.

Demand peaks in one pool after another, at four to five times its mean for some seconds.
A VM on standby is free, a VM in a pool is charged for each second, and a move costs
about as much as one VM-second. A pool therefore gets VMs, from standby or from pools
whose peak is over, while its backlog is larger than it can clear in time. Outside of
peaks it releases idle VMs; once the period of the peaks is known, it gets them back
shortly before the next peak. Load exceeds the capacity of a pool in less time than a
move takes, so a pool is also scaled by its arrival rate, before a backlog builds up.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from datetime import timedelta

from .peaks import NO_ARRIVALS, ArrivalRate, Peak

BACKLOG_CLEAR_TIME = timedelta(seconds=1.5)
"""Target time for clearing a backlog, about the slack of a typical job."""
MIN_VMS_SHARE = 0.5
"""Share of its own VMs that an idle pool keeps for the start of the next peak."""
PEAK_LEAD_TIME = timedelta(seconds=2.5)
"""VMs are ordered this long before a peak: 1.5 s to move, 0.5 s to detect the VM."""
MIN_PEAK_REMAINDER = timedelta(seconds=1.5)
"""Remaining length of a peak below which a moved VM would arrive too late."""
MAX_PREPARED_SHARE = 1.8
"""Limit on the VMs of a pool ahead of a peak, as a multiple of its own VMs."""
URGENCY_RATIO = 3.0
"""Minimum ratio of urgencies for which a busy VM changes pools: draining and moving
it costs about 2.5 s of its capacity."""
MIN_URGENCY_S = 0.1
"""Urgency, in seconds of work for each VM, below which a lending pool is idle."""
RELEASE_IDLE_TIME = timedelta(seconds=1)
"""Idle time after which a VM is released, about the cost of moving it back."""


@dataclass(frozen=True, slots=True)
class LongRunningLoad:
    """Capacity that the long-running tasks of a pool need."""

    vms: int = 0
    """VMs for the tasks of the largest step, some of which share a VM."""
    cores: float = 0.0
    """Cores of the placed tasks."""


@dataclass(frozen=True, slots=True)
class PoolLoad:
    """Demand and capacity of a pool."""

    name: str
    waiting_core_seconds: float
    """Work of the ready tasks."""
    vm_cores: float
    vms: int
    """VMs of the pool, including those being moved to it."""
    incoming_vms: int
    base_vms: int
    """VMs that the pool started with."""
    long_running_vms: int = 0
    """VMs that its long-running tasks need."""
    peak: Peak | None = None
    urgent_core_seconds: float = 0.0
    """Part of the waiting work whose jobs can still meet their objective."""
    rate: ArrivalRate = NO_ARRIVALS
    move_lead_time: timedelta = timedelta(0)
    """Time from ordering a VM until it runs tasks."""
    busy_short_task_cores: float = 0.0
    """Cores in use by short tasks."""
    short_task_cores: float = 0.0
    """Cores of its present VMs that are not used by long-running tasks."""
    demand_known: bool = True
    """Whether the pool has received a job yet."""

    @property
    def peak_is_imminent(self) -> bool:
        """Tell whether a peak is in progress or starts before a move would complete."""
        peak = self.peak
        if peak is None:
            return False
        return peak.starts_in <= PEAK_LEAD_TIME and peak.ends_in >= MIN_PEAK_REMAINDER

    @property
    def min_vms(self) -> int:
        """Return the minimum number of VMs that the pool keeps."""
        if not self.demand_known:
            return self.base_vms
        return max(math.ceil(self.base_vms * MIN_VMS_SHARE), self.long_running_vms)

    @property
    def vms_for_peak(self) -> int:
        """Return how many VMs the pool needs for an imminent peak, or 0."""
        if self.peak is None or not self.peak_is_imminent:
            return 0
        needed = math.ceil(self.peak.core_rate / self.vm_cores)
        limit = math.ceil(self.base_vms * MAX_PREPARED_SHARE)
        return min(max(self.base_vms, needed), limit)

    @property
    def missing_vms(self) -> int:
        """Return how many more VMs the pool needs, counting those being moved to it."""
        to_clear = self.waiting_core_seconds / (
            self.vm_cores * BACKLOG_CLEAR_TIME.total_seconds()
        )
        needed_cores = self.rate.cores_after(
            self.move_lead_time, self.busy_short_task_cores
        )
        missing_cores = max(0.0, needed_cores - self.short_task_cores)
        return round(to_clear + missing_cores / self.vm_cores)

    @property
    def urgency(self) -> float:
        """Return how many seconds all VMs of the pool need for its urgent work."""
        return self.urgent_core_seconds / (self.vm_cores * max(1, self.vms))

    @property
    def surplus_vms(self) -> int:
        """Return how many VMs the pool can release."""
        return self.vms - max(self.min_vms, self.vms_for_peak)


@dataclass(frozen=True, slots=True)
class IdleVm:
    """A VM that can be moved now without stopping a task."""

    vm: str
    pool: str
    on_standby: bool
    idle_for: timedelta
    zone_evacuated: bool = False
    """Whether its availability zone is evacuated; it can only go to standby."""


@dataclass(frozen=True, slots=True)
class DrainableVm:
    """A VM that runs short tasks only."""

    vm: str
    pool: str
    short_work: float
    """Work done by its current tasks, in core-seconds."""


@dataclass(frozen=True, slots=True)
class Move:
    """A VM and its target pool."""

    vm: str
    pool: str


def choose_moves(
    loads: Sequence[PoolLoad], spares: Sequence[IdleVm], standby_pool: str
) -> list[Move]:
    """Return the moves of spare VMs to pools in need and back to standby."""
    moves: list[Move] = []
    free = sorted(
        (spare for spare in spares if not spare.zone_evacuated),
        key=lambda s: (not s.on_standby, s.vm),
    )
    has_backlog: Mapping[str, bool] = {
        load.name: load.waiting_core_seconds > 0 for load in loads
    }
    surplus = {load.name: load.surplus_vms for load in loads}
    for load in sorted(loads, key=lambda d: (-d.waiting_core_seconds, d.name)):
        missing = max(
            load.missing_vms - load.incoming_vms,
            load.vms_for_peak - load.vms,
            load.long_running_vms - load.vms,
        )
        for spare in list(free):
            if missing <= 0:
                break
            if spare.pool == load.name or has_backlog.get(spare.pool):
                continue
            if not spare.on_standby and surplus.get(spare.pool, 0) <= 0:
                continue
            if not spare.on_standby:
                surplus[spare.pool] -= 1
            free.remove(spare)
            moves.append(Move(spare.vm, load.name))
            missing -= 1
    for spare in free:
        if spare.on_standby or spare.idle_for < RELEASE_IDLE_TIME:
            continue
        if surplus.get(spare.pool, 0) > 0 and not has_backlog.get(spare.pool):
            surplus[spare.pool] -= 1
            moves.append(Move(spare.vm, standby_pool))
    moves.extend(
        Move(spare.vm, standby_pool)
        for spare in spares
        if spare.zone_evacuated and spare.idle_for >= RELEASE_IDLE_TIME
    )
    return moves


def choose_to_drain(
    loads: Sequence[PoolLoad],
    busy: Sequence[DrainableVm],
    incoming: Mapping[str, int],
    outgoing: Mapping[str, int],
) -> list[Move]:
    """Return the busy VMs to drain for another pool.

    A peak may end with a backlog while the next pool's peak begins. VMs borrowed by the
    first pool are then never idle, although most of its backlog is late already. Only
    borrowed VMs are drained, and only for a pool with at least URGENCY_RATIO times the
    urgent work for each VM. ``incoming`` counts the VMs being drained for each target
    pool, ``outgoing`` those being drained in each source pool.
    """
    moves: list[Move] = []
    free = sorted(busy, key=lambda b: (b.short_work, b.vm))
    borrowed = {
        load.name: load.vms - load.base_vms - outgoing.get(load.name, 0)
        for load in loads
    }
    loads_by_name = {load.name: load for load in loads}
    for load in sorted(loads, key=lambda d: (-d.urgency, d.name)):
        vm_work = load.vm_cores * BACKLOG_CLEAR_TIME.total_seconds()
        missing = round(load.urgent_core_seconds / vm_work)
        missing -= load.incoming_vms + incoming.get(load.name, 0)
        for candidate in list(free):
            if missing <= 0:
                break
            lender = loads_by_name.get(candidate.pool)
            if lender is None or lender is load or borrowed[lender.name] <= 0:
                continue
            if load.urgency < URGENCY_RATIO * max(lender.urgency, MIN_URGENCY_S):
                continue
            free.remove(candidate)
            borrowed[lender.name] -= 1
            missing -= 1
            moves.append(Move(candidate.vm, load.name))
    return moves
