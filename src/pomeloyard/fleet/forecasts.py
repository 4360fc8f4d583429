"""Forecast the peaks of pools and decide which VMs to lend, move or return.

Demand is measured in VMs: running and queued work divided by the capacity of a VM.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from enum import Enum
from itertools import pairwise
from statistics import median

MAX_PEAKS = 8
MIN_PEAKS = 3
"""Number of peaks needed to predict the next one."""

MAX_PERIOD_DEVIATION = 0.25
"""Largest deviation of the time between peaks, as a share of its median, at which
the next peak is still predicted."""

MAX_SUCCESSORS = 4
MIN_SUCCESSORS = 2
"""Number of equal successors after which a pool's successor is predicted."""

SUCCESSOR_MARGIN = 0.5
"""Share of the time between two pools' peaks by which VMs move ahead of the next
peak. The VMs moved are those that have been idle since the last peak but one."""

PEAK_END_SHARE = 0.5
"""A peak begins above the pool's own capacity and ends below this share of it. This
hysteresis keeps demand near the capacity from counting as many peaks."""

PREDICTION_MARGIN = 0.1
"""Share of the time between peaks by which preparation starts early."""

RETURN_AFTER = timedelta(minutes=10)
"""Time without a peak after which lent VMs return to the spare pool. They don't
return earlier, as an idle VM costs the same in any pool."""


def median_time(times: Iterable[timedelta]) -> timedelta:
    """Return the median of at least one duration."""
    return timedelta(seconds=median(time.total_seconds() for time in times))


@dataclass(frozen=True, slots=True)
class Peak:
    """A period of demand above a pool's own capacity; height in VMs."""

    started_at: datetime
    ended_at: datetime
    height: float


@dataclass
class PoolForecast:
    """Past peaks of one pool and its current peak, if any."""

    peaks: deque[Peak] = field(default_factory=lambda: deque(maxlen=MAX_PEAKS))
    peak_began_at: datetime | None = None
    height: float = 0.0
    demand: float = 0.0

    def observe(self, at: datetime, demand: float, own_vms: int) -> None:
        """Add a sample of the demand, in VMs."""
        self.demand = demand
        if self.peak_began_at is None:
            if demand > own_vms:
                self.peak_began_at, self.height = at, demand
            return
        self.height = max(self.height, demand)
        if demand < PEAK_END_SHARE * own_vms:
            self.peaks.append(Peak(self.peak_began_at, at, self.height))
            self.peak_began_at = None

    def expected_length(self) -> timedelta | None:
        """Return the median length of past peaks, or None if there were none."""
        lengths = [peak.ended_at - peak.started_at for peak in self.peaks]
        return median_time(lengths) if lengths else None

    def expected_height(self) -> float:
        """Return the height to prepare for, in VMs.

        The median, as the queue of a peak with too few VMs makes it look higher.
        """
        return median([peak.height for peak in self.peaks]) if self.peaks else 0.0

    def current_height(self) -> float:
        """Return the height of the current peak, or else of the next one."""
        if self.peak_began_at is None:
            return self.expected_height()
        return max(self.height, self.demand)

    def remaining(self, now: datetime) -> timedelta | None:
        """Return the expected remaining time of the current peak."""
        length = self.expected_length()
        if length is None or self.peak_began_at is None:
            return None
        return max(timedelta(0), self.peak_began_at + length - now)

    def period(self) -> timedelta | None:
        """Return the time between peaks if it is regular."""
        if len(self.peaks) < MIN_PEAKS:
            return None
        starts = [peak.started_at for peak in self.peaks]
        gaps = [b - a for a, b in pairwise(starts)]
        middle = median_time(gaps)
        if any(abs(gap - middle) > MAX_PERIOD_DEVIATION * middle for gap in gaps):
            return None
        return middle

    def prepare_from(self, now: datetime) -> datetime | None:
        """Return when to prepare for the next peak, or None without a prediction."""
        period = self.period()
        if period is None or self.peak_began_at is not None:
            return None
        start = self.peaks[-1].started_at + period
        # A peak that is overdue by more than the margin is no longer expected.
        late = now - start > PREDICTION_MARGIN * period
        return None if late else start - PREDICTION_MARGIN * period


class PeakOrderForecast:
    """Predicts whose peak comes next when pools peak in a fixed order."""

    def __init__(self) -> None:
        self._last: tuple[str, datetime] | None = None
        self._successors_by_pool: dict[str, deque[tuple[str, timedelta]]] = {}

    def record_peak_start(self, pool: str, at: datetime) -> None:
        """Record the start of a pool's peak."""
        if self._last is not None and self._last[0] != pool:
            earlier, began_at = self._last
            successors = self._successors_by_pool.setdefault(
                earlier, deque(maxlen=MAX_SUCCESSORS)
            )
            successors.append((pool, at - began_at))
        self._last = (pool, at)

    def next_peak(self, now: datetime) -> tuple[str, datetime, timedelta] | None:
        """Return the next pool to peak, its start, and the median time until it."""
        if self._last is None:
            return None
        successors = self._successors_by_pool.get(self._last[0], ())
        pools = {pool for pool, _ in successors}
        if len(successors) < MIN_SUCCESSORS or len(pools) != 1:
            return None
        gap = median_time(gap for _, gap in successors)
        start = self._last[1] + gap
        if now - start > gap / 2:
            return None  # Overdue: the order has changed or the peaks have ended.
        return pools.pop(), start, gap


class LendReason(Enum):
    """Why VMs are moved, or not moved."""

    PEAK = "peak"
    PREDICTED_PEAK = "predicted-peak"
    PEAK_TOO_SHORT = "peak-shorter-than-move"
    NO_VM_FREE = "no-vm-free"
    NO_PEAK = "no-peak-for-long"


@dataclass(frozen=True, slots=True)
class PoolDemand:
    """Snapshot of a pool: its own VMs, borrowed VMs and forecast.

    ``borrowed`` counts borrowed VMs that are in service or being moved in,
    ``movable`` only those in service.
    """

    pool: str
    own_vms: int
    borrowed: int
    forecast: PoolForecast
    movable: int = 0
    prepare_from: datetime | None = None
    """When to begin to prepare for the next peak, or None if none is predicted."""


@dataclass(frozen=True, slots=True)
class LendDecision:
    """Move ``vms`` VMs between pools; 0 VMs is a decision not to move."""

    source: str
    target: str
    vms: int
    reason: LendReason
    demand: float
    wanted: int


def wanted_vms(
    pool: PoolDemand, now: datetime, move_time: timedelta
) -> tuple[int, LendReason]:
    """Return the extra VMs that a pool should have when a move started now ends.

    A peak of unknown length is assumed to last as long again as it has lasted so
    far, so that a first, short peak moves no VMs.
    """
    forecast = pool.forecast
    if forecast.peak_began_at is not None:
        remaining = forecast.remaining(now)
        if remaining is None:
            remaining = now - forecast.peak_began_at
        extra = math.ceil(forecast.current_height() - pool.own_vms)
        if remaining <= move_time and extra > pool.borrowed:
            return pool.borrowed, LendReason.PEAK_TOO_SHORT
        return max(0, extra), LendReason.PEAK
    if pool.prepare_from is not None and now + move_time >= pool.prepare_from:
        extra = math.ceil(forecast.expected_height() - pool.own_vms)
        return max(0, extra), LendReason.PREDICTED_PEAK
    return 0, LendReason.NO_PEAK


def plan_lending(
    pools: Sequence[PoolDemand],
    spare_pool: str,
    free_vms: int,
    now: datetime,
    move_time: timedelta,
    reserve_vms: int = 0,
) -> list[LendDecision]:
    """Return the moves to start.

    Pools with a current peak come before those with a predicted one. VMs are taken
    from the ``free_vms`` of the spare pool, then from pools that no longer need
    their borrowed VMs. A current peak also takes ``reserve_vms``, which the spare
    pool's own service may need, and then VMs held by other pools for predicted
    peaks.
    """
    wanted = {pool.pool: wanted_vms(pool, now, move_time) for pool in pools}
    sources = _Sources(spare_pool, free_vms, reserve_vms, pools, wanted)
    decisions: list[LendDecision] = []
    order = sorted(pools, key=lambda p: (_priority(wanted[p.pool][1]), p.pool))
    for pool in order:
        extra, reason = wanted[pool.pool]
        demand = pool.forecast.demand
        if reason is LendReason.PEAK_TOO_SHORT:
            decisions.append(
                LendDecision("", pool.pool, 0, reason, demand, pool.borrowed)
            )
        missing = extra - pool.borrowed
        for source, vms in sources.take(pool.pool, missing, reason):
            missing -= vms
            decisions.append(
                LendDecision(source, pool.pool, vms, reason, demand, extra)
            )
        if missing > 0:
            none = LendReason.NO_VM_FREE
            decisions.append(LendDecision("", pool.pool, 0, none, demand, extra))
    return decisions + _plan_returns(pools, sources.surplus, spare_pool, now)


class _Sources:
    """VMs that may be moved: spare, surplus, reserve and prepared ones."""

    def __init__(
        self,
        spare_pool: str,
        free_vms: int,
        reserve_vms: int,
        pools: Sequence[PoolDemand],
        wanted: Mapping[str, tuple[int, LendReason]],
    ) -> None:
        idle = [pool for pool in pools if pool.forecast.peak_began_at is None]
        self.spare = {spare_pool: free_vms}
        self.reserve = {spare_pool: reserve_vms}
        self.surplus = {
            p.pool: max(0, min(p.movable, p.borrowed - wanted[p.pool][0])) for p in idle
        }
        self.prepared = {p.pool: p.movable - self.surplus[p.pool] for p in idle}

    def take(
        self, target: str, missing: int, reason: LendReason
    ) -> list[tuple[str, int]]:
        """Return where to take VMs from; reserve and prepared VMs only for a peak."""
        kinds = [self.spare, self.surplus]
        if reason is LendReason.PEAK:
            kinds += [self.reserve, self.prepared]
        taken = []
        for free_by_pool in kinds:
            for source, free in sorted(free_by_pool.items()):
                vms = min(missing, free) if source != target else 0
                if vms > 0:
                    free_by_pool[source] -= vms
                    missing -= vms
                    taken.append((source, vms))
        return taken


def _plan_returns(
    pools: Sequence[PoolDemand],
    surplus: Mapping[str, int],
    spare_pool: str,
    now: datetime,
) -> list[LendDecision]:
    decisions = []
    for pool in pools:
        vms, peaks = surplus.get(pool.pool, 0), pool.forecast.peaks
        if vms == 0 or not peaks or now - peaks[-1].ended_at < RETURN_AFTER:
            continue
        reason, demand = LendReason.NO_PEAK, pool.forecast.demand
        decisions.append(LendDecision(pool.pool, spare_pool, vms, reason, demand, 0))
    return decisions


def _priority(reason: LendReason) -> int:
    return 0 if reason is LendReason.PEAK else 1


def idle_cost(
    idle_vm_hours: float, moves: int, move_time: timedelta, rate: float
) -> float:
    """Return the cost of a buffer: idle VMs and VMs that are being moved.

    ``rate`` is PoolConfig.idle_cost_per_hour.

    >>> idle_cost(10, 6, timedelta(minutes=10), 2.0)
    22.0
    """
    return rate * (idle_vm_hours + moves * (move_time / timedelta(hours=1)))
