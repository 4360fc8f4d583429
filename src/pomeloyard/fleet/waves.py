"""Maintenance waves: records, order of VMs and selection of the next drains."""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from datetime import datetime, timedelta
from enum import Enum

from ..errors import RefusedError
from ..outcomes import RefusalReason, Refused
from ..vm_platform.directory import VmRole
from .budgets import HeadroomByScope, Scope, blocking_scope, spend_headroom
from .vms import MAX_REASONS, VmPlan, VmRecord, VmState

CORRELATED_FAILURES = 3
CORRELATION_WINDOW = timedelta(minutes=15)
"""Failures further apart are treated as unrelated: at 120 failures a day among 7,400
VMs in 6 availability zones, three within 15 minutes in one zone are rare."""

UNBUDGETED_SHARE = 0.25
"""Share of a pool without services, such as a spare pool, that a wave drains at once.
No budget limits it, but its VMs must not all be unavailable together."""


class WaveState(Enum):
    """State of a wave; the last two are final."""

    RUNNING = "running"
    PAUSED = "paused"
    STOPPED = "stopped"
    CANCELLED = "cancelled"
    DONE = "done"


class WaveKind(Enum):
    """What a wave does with each VM."""

    REBOOT = "reboot"
    REPLACE = "replace"


class WaveCause(Enum):
    """Why a wave changed its state, or did or did not drain a VM."""

    OPERATOR = "asked-for-by-operator"
    MAINTENANCE_DUE = "maintenance-due"
    CORRELATED_IN_RACK = "correlated-failures-in-rack"
    CORRELATED_IN_ZONE = "correlated-failures-in-availability-zone"
    BUDGET_USED_UP = "budget-used-up-by-unplanned-loss"
    LOSS_OVER = "unplanned-loss-over"
    ALL_DONE = "all-vms-done"
    CHOSEN = "chosen"
    BUDGET = "budget-allows-no-more"


@dataclass(frozen=True, slots=True)
class WaveReason:
    """One step in a wave's history."""

    at: datetime
    state: WaveState
    cause: WaveCause
    by: str = ""
    detail: str = ""


@dataclass(frozen=True, slots=True)
class WaveRecord:
    """A wave over VMs; the VM records say which of them are done."""

    wave_id: str
    kind: WaveKind
    targets: tuple[str, ...]
    started_at: datetime
    scope: str = ""
    """Scope that the operator gave: "pool/<name>", "service/<name>" or "all"."""
    state: WaveState = WaveState.RUNNING
    epoch: int = 1
    counted_from: datetime | None = None
    """Failures before this time are ignored; set when a wave is resumed."""
    held_pools: tuple[str, ...] = ()
    skipped: tuple[str, ...] = ()
    ended_at: datetime | None = None
    reasons: tuple[WaveReason, ...] = ()

    @property
    def plan(self) -> VmPlan:
        """Return the plan that the wave's drains carry."""
        return VmPlan.REBOOT if self.kind is WaveKind.REBOOT else VmPlan.REPLACE

    def is_final(self) -> bool:
        """Tell whether the wave has ended."""
        return self.state in (WaveState.CANCELLED, WaveState.DONE)

    def with_step(
        self,
        now: datetime,
        state: WaveState,
        cause: WaveCause,
        by: str = "controller",
        detail: str = "",
    ) -> WaveRecord:
        """Return the record after one step, which is added to its history."""
        reasons = (*self.reasons, WaveReason(now, state, cause, by, detail))
        return replace(
            self, state=state, epoch=self.epoch + 1, reasons=reasons[-MAX_REASONS:]
        )


_ALLOWED_FROM = {
    WaveState.PAUSED: (WaveState.RUNNING,),
    WaveState.RUNNING: (WaveState.PAUSED, WaveState.STOPPED),
    WaveState.CANCELLED: (WaveState.RUNNING, WaveState.PAUSED, WaveState.STOPPED),
}


def change_wave(
    wave: WaveRecord, now: datetime, state: WaveState, by: str
) -> WaveRecord:
    """Return the wave after an operator's change, or raise RefusedError."""
    if wave.state not in _ALLOWED_FROM[state]:
        last = wave.reasons[-1]
        detail = f"wave {wave.wave_id} is {wave.state.value} ({last.cause.value})"
        raise RefusedError(Refused(RefusalReason.CONFLICT, detail))
    changed = wave.with_step(now, state, WaveCause.OPERATOR, by)
    if state is WaveState.RUNNING:
        changed = replace(changed, counted_from=now)
    if state is WaveState.CANCELLED:
        changed = replace(changed, ended_at=now)
    return changed


_IN_PROGRESS_STATES = frozenset(
    {VmState.DRAINING, VmState.DRAINED, VmState.REBOOTING, VmState.TRIAL}
)


class Progress(Enum):
    """Progress of a wave with one of its VMs."""

    WAITING = "waiting"
    IN_PROGRESS = "in_progress"
    DONE = "done"
    SET_ASIDE = "set_aside"
    HELD = "held"
    """Out of service for another reason; the wave leaves it alone."""


def progress_of(wave: WaveRecord, vm: VmRecord | None) -> Progress:
    """Return a wave's progress with a VM; a VM without a record counts as done."""
    if vm is None:
        return Progress.DONE
    if vm.state is VmState.SET_ASIDE:
        return Progress.SET_ASIDE
    if vm.wave == wave.wave_id and vm.state in _IN_PROGRESS_STATES:
        return Progress.IN_PROGRESS
    maintained = vm.maintained_at is not None and vm.maintained_at > wave.started_at
    if vm.last_wave == wave.wave_id or maintained:
        return Progress.DONE
    if vm.state is not VmState.IN_SERVICE:
        return Progress.HELD
    return Progress.WAITING


@dataclass(frozen=True, slots=True)
class CorrelatedFailure:
    """Failures in one failure domain that probably have a common cause."""

    cause: WaveCause
    domain: str
    vms: tuple[str, ...]


def correlated_failure(
    wave: WaveRecord, vms: Iterable[VmRecord], now: datetime
) -> CorrelatedFailure | None:
    """Return a rack or zone in which too many VMs failed together, or None."""
    counted_from = max(wave.counted_from or wave.started_at, now - CORRELATION_WINDOW)
    racks: dict[str, list[str]] = defaultdict(list)
    zones: dict[str, list[str]] = defaultdict(list)
    for vm in vms:
        if vm.failed_at is None or vm.failed_at < counted_from:
            continue
        racks[f"{vm.availability_zone}/{vm.rack}"].append(vm.name)
        zones[vm.availability_zone].append(vm.name)
    for cause, domains in (
        (WaveCause.CORRELATED_IN_RACK, racks),
        (WaveCause.CORRELATED_IN_ZONE, zones),
    ):
        for domain, names in sorted(domains.items()):
            if len(names) >= CORRELATED_FAILURES:
                return CorrelatedFailure(cause, domain, tuple(sorted(names)))
    return None


@dataclass
class PoolHeadroom:
    """Headroom of each service of a pool; a drain must fit into all of them."""

    by_service: dict[str, HeadroomByScope] = field(default_factory=dict)

    def blocking(self, vm: VmRecord) -> Scope | None:
        """Return a scope that does not allow the VM to be drained, or None."""
        for headroom in self.by_service.values():
            scope = blocking_scope(headroom, vm.role, vm.availability_zone)
            if scope is not None:
                return scope
        return None

    def spend(self, vm: VmRecord) -> None:
        """Count the VM as unavailable."""
        for headroom in self.by_service.values():
            spend_headroom(headroom, vm.role, vm.availability_zone)

    def zone_limit(self, vm: VmRecord) -> int:
        """Return how many VMs the budgets of the VM's zone allow to be unavailable."""
        scope = Scope(vm.role, vm.availability_zone)
        limits = [
            h[scope].total - h[scope].needed
            for h in self.by_service.values()
            if scope in h
        ]
        return max(1, min(limits, default=1))


def plan_drains(
    waiting: Iterable[VmRecord],
    in_progress: Iterable[VmRecord],
    headroom_by_pool: Mapping[str, PoolHeadroom],
) -> list[VmRecord]:
    """Return the VMs to drain now, as many as the budgets allow.

    VMs are taken rack by rack within an availability zone, so that few failure
    domains are in maintenance at once. Zones whose own budget makes them take the
    longest come first, so that zones proceed in parallel where they determine when
    the wave ends. The headroom is reduced by the chosen VMs. Pools that are not in
    ``headroom_by_pool`` have no budget.
    """
    groups: dict[tuple[str, VmRole], list[VmRecord]] = defaultdict(list)
    for vm in waiting:
        groups[vm.pool, vm.role].append(vm)
    in_progress = list(in_progress)
    racks_in_progress = {(vm.availability_zone, vm.rack) for vm in in_progress}
    chosen: list[VmRecord] = []
    unavailable = Counter((vm.pool, vm.role) for vm in in_progress)
    for group, vms in sorted(groups.items(), key=_group_order):
        headroom = headroom_by_pool.get(group[0])
        ordered = _by_failure_domain(vms, headroom or PoolHeadroom(), racks_in_progress)
        if headroom is None:
            allowed = max(1, int(UNBUDGETED_SHARE * (len(vms) + unavailable[group])))
            chosen += ordered[: max(0, allowed - unavailable[group])]
            continue
        for vm in ordered:
            if headroom.blocking(vm) is None:
                headroom.spend(vm)
                chosen.append(vm)
    return chosen


def _group_order(item: tuple[tuple[str, VmRole], list[VmRecord]]) -> tuple[str, str]:
    return item[0][0], item[0][1].value


def _by_failure_domain(
    vms: list[VmRecord], headroom: PoolHeadroom, in_progress: set[tuple[str, str]]
) -> list[VmRecord]:
    waiting_by_zone = Counter(vm.availability_zone for vm in vms)
    limits = {vm.availability_zone: headroom.zone_limit(vm) for vm in vms}
    rounds = {zone: math.ceil(n / limits[zone]) for zone, n in waiting_by_zone.items()}

    def order(vm: VmRecord) -> tuple[int, bool, str, str, str]:
        domain = (vm.availability_zone, vm.rack)
        return (-rounds[domain[0]], domain not in in_progress, *domain, vm.name)

    return sorted(vms, key=order)


def due_pools(
    vms: Iterable[VmRecord], now: datetime, interval: timedelta
) -> list[tuple[str, timedelta]]:
    """Return the pools due for maintenance and how overdue, the most overdue first.

    A pool is due when the oldest maintenance of its VMs reaches an age between 55%
    and 85% of the interval. The age differs from pool to pool, so that the waves of
    a fleet that started on one day are spread over a third of the interval.
    """
    oldest: dict[str, datetime] = {}
    for vm in vms:
        if vm.maintained_at is not None and vm.state is not VmState.SET_ASIDE:
            oldest[vm.pool] = min(vm.maintained_at, oldest.get(vm.pool, now))
    due = []
    for index, (pool, maintained_at) in enumerate(sorted(oldest.items())):
        fraction = 0.55 + 0.3 * index / max(1, len(oldest) - 1)
        overdue = now - maintained_at - interval * fraction
        if overdue >= timedelta(0):
            due.append((pool, overdue))
    return sorted(due, key=lambda item: (-item[1], item[0]))
