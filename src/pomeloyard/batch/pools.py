"""How many VMs each pool has; pure.

Answers demand that peaks by turns at four to five times its mean for some seconds:
a VM off standby costs nothing, one in a pool costs each second, and a move costs
about what a VM costs in a second. So a pool gets VMs while more work waits than it
can clear in time, from standby or from pools whose own peak is over. Outside of peaks a
pool gives idle VMs up; once the turns of the peaks are known, it gets them back
shortly before the next one. A peak outgrows its pool within the time of a move, so a
pool gets the VMs that the rate of arrivals asks for before a backlog shows it.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from datetime import timedelta

from .turns import NO_ARRIVALS, ArrivalRate, Peak

CLEAR_TIME = timedelta(seconds=1.5)
"""Waiting work should be cleared within this, about the slack of a usual job."""
FLOOR_SHARE = 0.5
"""Share of its own VMs that a pool keeps when idle; a peak begins on these."""
LEAD = timedelta(seconds=2.5)
"""A VM is asked for this long before a peak; a move takes 1.5 s, noticing 0.5 s."""
TAIL = timedelta(seconds=1.5)
"""A peak that ends before a move does is not worth the move."""
MOST_SHARE = 1.8
"""A pool gets no more than this times its own VMs ahead of a peak."""
LENT_URGENCY = 3.0
"""A VM costs its pool the time of emptying it and the move, about 2.5 s."""
LEAST_URGENCY = 0.1
"""Seconds of urgent work below which a pool is as good as idle."""
GIVE_BACK_IDLE = timedelta(seconds=1)
"""A VM that was idle this long is given up, about what its move back costs."""


@dataclass(frozen=True, slots=True)
class LastingLoad:
    """What the lasting tasks of a pool need."""

    vms: int = 0
    """For the tasks of the largest step, some of which share a VM."""
    cores: float = 0.0
    """Of the tasks that are placed."""


@dataclass(frozen=True, slots=True)
class PoolLoad:
    """Demand and room of a pool."""

    name: str
    waiting_core_seconds: float
    """Work of the tasks that could run now if there were room."""
    vm_cores: float
    vms: int
    """VMs of the pool, with those on their way to it."""
    arriving_vms: int
    own_vms: int
    """VMs that the pool had at first."""
    lasting_vms: int = 0
    """VMs that its lasting tasks need."""
    peak: Peak | None = None
    urgent_core_seconds: float = 0.0
    """Part of the waiting work whose jobs can still be in time."""
    rate: ArrivalRate = NO_ARRIVALS
    lead: timedelta = timedelta(0)
    """From the order of a VM until it runs tasks."""
    busy_cores: float = 0.0
    """Cores that tasks which do not last have."""
    short_cores: float = 0.0
    """Cores of its present VMs that lasting tasks leave to others."""
    demand_known: bool = True
    """Whether any job has come for the pool yet."""

    @property
    def peak_is_near(self) -> bool:
        """Tell whether the pool's peak is at work or comes before a move ends."""
        peak = self.peak
        if peak is None:
            return False
        return peak.starts_in <= LEAD and peak.ends_in >= TAIL

    @property
    def floor(self) -> int:
        """Return how many VMs the pool keeps even when idle."""
        if not self.demand_known:
            return self.own_vms
        return max(math.ceil(self.own_vms * FLOOR_SHARE), self.lasting_vms)

    @property
    def wanted_before_peak(self) -> int:
        """Return how many VMs the pool needs for a peak that is near."""
        if self.peak is None or not self.peak_is_near:
            return 0
        needed = math.ceil(self.peak.core_rate / self.vm_cores)
        most = math.ceil(self.own_vms * MOST_SHARE)
        return min(max(self.own_vms, needed), most)

    @property
    def wanted_in_backlog(self) -> int:
        """Return how many more VMs the pool needs, with those on their way."""
        to_clear = self.waiting_core_seconds / (
            self.vm_cores * CLEAR_TIME.total_seconds()
        )
        needed_cores = self.rate.cores_after(self.lead, self.busy_cores)
        missing_cores = max(0.0, needed_cores - self.short_cores)
        return round(to_clear + missing_cores / self.vm_cores)

    @property
    def urgency(self) -> float:
        """Return the urgent work in seconds of all its VMs."""
        return self.urgent_core_seconds / (self.vm_cores * max(1, self.vms))

    @property
    def extra_vms(self) -> int:
        """Return how many VMs the pool can give up."""
        return self.vms - max(self.floor, self.wanted_before_peak)


@dataclass(frozen=True, slots=True)
class SpareVm:
    """A VM that may be moved now without ending any task."""

    vm: str
    pool: str
    on_standby: bool
    idle_for: timedelta


@dataclass(frozen=True, slots=True)
class BusyVm:
    """A VM that runs nothing but short tasks."""

    vm: str
    pool: str
    short_work: float
    """Work of its tasks so far, in core-seconds."""


@dataclass(frozen=True, slots=True)
class Move:
    """A VM and the pool that it should join."""

    vm: str
    pool: str


def choose_moves(
    loads: Sequence[PoolLoad], spares: Sequence[SpareVm], standby_pool: str
) -> list[Move]:
    """Return the moves that the present loads justify."""
    moves: list[Move] = []
    free = sorted(spares, key=lambda s: (not s.on_standby, s.vm))
    waits: Mapping[str, bool] = {
        load.name: load.waiting_core_seconds > 0 for load in loads
    }
    extra = {load.name: load.extra_vms for load in loads}
    for load in sorted(loads, key=lambda d: (-d.waiting_core_seconds, d.name)):
        wanted = max(
            load.wanted_in_backlog - load.arriving_vms,
            load.wanted_before_peak - load.vms,
            load.lasting_vms - load.vms,
        )
        for spare in list(free):
            if wanted <= 0:
                break
            if spare.pool == load.name or waits.get(spare.pool):
                continue
            if not spare.on_standby and extra.get(spare.pool, 0) <= 0:
                continue
            if not spare.on_standby:
                extra[spare.pool] -= 1
            free.remove(spare)
            moves.append(Move(spare.vm, load.name))
            wanted -= 1
    for spare in free:
        if spare.on_standby or spare.idle_for < GIVE_BACK_IDLE:
            continue
        if extra.get(spare.pool, 0) > 0 and not waits.get(spare.pool):
            extra[spare.pool] -= 1
            moves.append(Move(spare.vm, standby_pool))
    return moves


def choose_to_empty(
    loads: Sequence[PoolLoad],
    busy: Sequence[BusyVm],
    promised: Mapping[str, int],
    leaving: Mapping[str, int],
) -> list[Move]:
    """Return the busy VMs that should be emptied and then passed on.

    Answers a peak that ends with a backlog while the next pool's peak begins: the VMs
    that the first pool had borrowed are never idle, but most of what waits there is
    late already. Only borrowed VMs are passed on, to a pool with LENT_URGENCY times the
    urgent work for each VM. ``promised`` says how many are being emptied for a pool,
    ``leaving`` how many of a pool are.
    """
    moves: list[Move] = []
    free = sorted(busy, key=lambda b: (b.short_work, b.vm))
    lendable = {
        load.name: load.vms - load.own_vms - leaving.get(load.name, 0) for load in loads
    }
    by_name = {load.name: load for load in loads}
    for load in sorted(loads, key=lambda d: (-d.urgency, d.name)):
        each = load.vm_cores * CLEAR_TIME.total_seconds()
        wanted = round(load.urgent_core_seconds / each)
        wanted -= load.arriving_vms + promised.get(load.name, 0)
        for candidate in list(free):
            if wanted <= 0:
                break
            lender = by_name.get(candidate.pool)
            if lender is None or lender is load or lendable[lender.name] <= 0:
                continue
            if load.urgency < LENT_URGENCY * max(lender.urgency, LEAST_URGENCY):
                continue
            free.remove(candidate)
            lendable[lender.name] -= 1
            wanted -= 1
            moves.append(Move(candidate.vm, load.name))
    return moves
