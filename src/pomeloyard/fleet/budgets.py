"""Availability budgets: VMs a service needs, and the VMs that are unavailable."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Collection
from dataclasses import dataclass, field, replace
from datetime import datetime
from enum import Enum

from ..config.model import BudgetConfig, FleetConfig, PoolConfig, ServiceConfig
from ..vm_platform.directory import VmRole
from .vms import Cause, VmRecord, VmState


class SpendingKind(Enum):
    """Why a VM is unavailable."""

    PLANNED = "planned"
    UNPLANNED = "unplanned"
    JOINING = "joining"
    """Moved in and not yet in service; not yet part of the budget's total."""


@dataclass(frozen=True, slots=True)
class Spending:
    """One unavailable VM, due to a planned operation or a loss."""

    kind: SpendingKind
    operation: str
    cause: Cause
    since: datetime


@dataclass(frozen=True, slots=True)
class Member:
    """A VM of the service's pool."""

    role: VmRole
    availability_zone: str


@dataclass(frozen=True, slots=True)
class BudgetRecord:
    """Members of a service's pool and which of them are unavailable."""

    service: str
    members_by_vm: dict[str, Member] = field(default_factory=dict)
    spending_by_vm: dict[str, Spending] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Scope:
    """Part of a pool that a budget covers; zone "" is the whole pool."""

    role: VmRole
    availability_zone: str = ""


@dataclass(slots=True)
class Headroom:
    """VMs of a scope: how many must be available and how many are."""

    total: int
    needed: int
    available: int

    @property
    def spare(self) -> int:
        """Return how many more VMs may become unavailable."""
        return self.available - self.needed


HeadroomByScope = dict[Scope, Headroom]


def needed_vms(
    minimum: int | float, base: int, role: VmRole, pool: PoolConfig | None
) -> int:
    """Return how many of ``base`` VMs of a role must stay available.

    A count applies to executors. Workers of a pool that also has executors need
    the same proportion, rounded down, so that the only worker of a pool with two
    executors can still be maintained. Shares are rounded up.

    >>> needed_vms(0.5, 5, VmRole.EXECUTOR, None)
    3
    >>> needed_vms(1, 1, VmRole.WORKER, PoolConfig("p", executors=2, workers=1))
    0
    """
    if isinstance(minimum, float):
        # Rounding error: 0.7 * 10 is 7.000000000000001, which must not need 8.
        return math.ceil(minimum * base - 1e-9)
    if role is VmRole.WORKER and pool is not None and pool.executors:
        return minimum * pool.workers // pool.executors
    return minimum


def configured_vms(pool: PoolConfig | None, role: VmRole) -> int:
    """Return the configured size of a pool for a role, 0 if not configured."""
    if pool is None:
        return 0
    return pool.executors if role is VmRole.EXECUTOR else pool.workers


def headroom_of(
    record: BudgetRecord,
    budget: BudgetConfig,
    pool: PoolConfig | None,
    unavailable: Collection[str] = (),
) -> HeadroomByScope:
    """Return the headroom of every scope of a budget.

    ``unavailable`` names lost VMs that the record does not show yet. Shares of the
    whole pool refer to its configured size, so that lending VMs to other pools
    does not lower the minimum.
    """
    counts: dict[tuple[str, str], list[int]] = {}
    for name, member in record.members_by_vm.items():
        # Plain strings are cheap keys; this runs for every VM in every step.
        key = (member.role.value, member.availability_zone)
        count = counts.setdefault(key, [0, 0])
        spending = record.spending_by_vm.get(name)
        if spending is None or spending.kind is not SpendingKind.JOINING:
            count[0] += 1
        if spending is None and name not in unavailable:
            count[1] += 1
    by_scope: dict[Scope, tuple[int, int]] = {}
    for (role, zone), (total, available) in counts.items():
        by_scope[Scope(VmRole(role), zone)] = (total, available)
        whole = by_scope.get(Scope(VmRole(role)), (0, 0))
        by_scope[Scope(VmRole(role))] = (whole[0] + total, whole[1] + available)
    return {
        scope: Headroom(total, _needed(scope, total, budget, pool), available)
        for scope, (total, available) in by_scope.items()
        if total
    }


def _needed(
    scope: Scope, total: int, budget: BudgetConfig, pool: PoolConfig | None
) -> int:
    if scope.availability_zone:
        return needed_vms(budget.min_available_per_zone, total, scope.role, pool)
    base = configured_vms(pool, scope.role) or total
    return needed_vms(budget.min_available, base, scope.role, pool)


def blocking_scope(
    headroom: HeadroomByScope, role: VmRole, availability_zone: str
) -> Scope | None:
    """Return a scope that does not allow one more unavailable VM, or None."""
    for scope in (Scope(role), Scope(role, availability_zone)):
        room = headroom.get(scope)
        if room is not None and room.spare < 1:
            return scope
    return None


def spend_headroom(
    headroom: HeadroomByScope, role: VmRole, availability_zone: str
) -> None:
    """Count one more unavailable VM; the headroom is the planner's own copy."""
    for scope in (Scope(role), Scope(role, availability_zone)):
        if scope in headroom:
            headroom[scope].available -= 1


def exhausted_by_losses(
    record: BudgetRecord, headroom: HeadroomByScope, unavailable: Collection[str] = ()
) -> Scope | None:
    """Return a scope whose budget is exhausted by unplanned losses, or None."""
    lost: Counter[Scope] = Counter()
    for name, member in record.members_by_vm.items():
        spending = record.spending_by_vm.get(name)
        unplanned = spending is not None and spending.kind is SpendingKind.UNPLANNED
        if unplanned or (spending is None and name in unavailable):
            lost[Scope(member.role)] += 1
            lost[Scope(member.role, member.availability_zone)] += 1
    for scope, count in lost.items():
        room = headroom.get(scope)
        if room is not None and count >= max(1, room.total - room.needed):
            return scope
    return None


def with_vm(
    record: BudgetRecord,
    pool: str,
    old: VmRecord | None,
    new: VmRecord,
    now: datetime,
    *,
    lost: bool = False,
) -> BudgetRecord:
    """Return the budget record of a service of ``pool`` after a VM changed.

    Members and spending are derived from the VM record; an entry keeps its kind
    until the VM is back in service or has failed. ``lost`` means that the
    platform's list does not show the VM as live, so that even a planned operation
    counts as an unplanned loss.
    """
    if new.pool != pool:
        return without_vm(record, new.name)
    members = dict(record.members_by_vm)
    spending = dict(record.spending_by_vm)
    members[new.name] = Member(new.role, new.availability_zone)
    if new.state is VmState.IN_SERVICE:
        spending.pop(new.name, None)
    elif new.name not in spending or new.state is VmState.FAILED:
        kind = _kind_of(old, new, lost)
        cause = new.reasons[-1].cause if new.reasons else Cause.ADOPTED
        since = spending[new.name].since if new.name in spending else now
        spending[new.name] = Spending(kind, new.operation, cause, since)
    return replace(record, members_by_vm=members, spending_by_vm=spending)


def without_vm(record: BudgetRecord, name: str) -> BudgetRecord:
    """Return the budget record without a VM."""
    members = {n: m for n, m in record.members_by_vm.items() if n != name}
    spending = {n: s for n, s in record.spending_by_vm.items() if n != name}
    return replace(record, members_by_vm=members, spending_by_vm=spending)


def _kind_of(old: VmRecord | None, new: VmRecord, lost: bool) -> SpendingKind:
    if old is not None and old.pool != new.pool:
        return SpendingKind.JOINING
    if lost or new.state is VmState.FAILED:
        return SpendingKind.UNPLANNED
    if old is None or old.state is not VmState.IN_SERVICE:
        # Recorded late, for example for a service that was added to the pool.
        return SpendingKind.UNPLANNED
    return SpendingKind.PLANNED


class BudgetProblemKind(Enum):
    """Why a budget cannot be met."""

    NOT_A_SHARE = "not-a-share"
    NEGATIVE = "negative"
    MORE_THAN_POOL = "more-than-pool"
    NO_MAINTENANCE = "leaves-no-vm-for-maintenance"


@dataclass(frozen=True, slots=True)
class BudgetProblem:
    """A budget that cannot be met."""

    service: str
    setting: str
    kind: BudgetProblemKind
    role: VmRole
    needed: float
    vms: int


def budget_problems(config: FleetConfig) -> list[BudgetProblem]:
    """Return the budgets that cannot be met, in order of service names.

    Every VM needs maintenance, so each budget must allow at least one VM of every
    role in the pool to be unavailable.
    """
    problems = []
    for _, service in sorted(config.services_by_name.items()):
        pool = config.pools_by_name.get(service.pool)
        if pool is None:
            continue  # Reported as an unknown pool when the configuration is read.
        for setting in ("min_available", "min_available_per_zone"):
            problems += _setting_problems(service, pool, setting)
    return problems


def _setting_problems(
    service: ServiceConfig, pool: PoolConfig, setting: str
) -> list[BudgetProblem]:
    minimum = getattr(service.budget, setting)

    def problem(kind: BudgetProblemKind, role: VmRole, vms: int) -> BudgetProblem:
        return BudgetProblem(service.name, setting, kind, role, minimum, vms)

    if minimum < 0:
        return [problem(BudgetProblemKind.NEGATIVE, VmRole.EXECUTOR, pool.executors)]
    if isinstance(minimum, float) and minimum > 1:
        return [problem(BudgetProblemKind.NOT_A_SHARE, VmRole.EXECUTOR, pool.executors)]
    problems = []
    for role in (VmRole.EXECUTOR, VmRole.WORKER):
        vms = configured_vms(pool, role)
        needed = needed_vms(minimum, vms, role, pool)
        only_role = role is VmRole.EXECUTOR and not pool.workers
        if vms == 0 and not (only_role and needed):
            continue
        if needed > vms:
            problems.append(problem(BudgetProblemKind.MORE_THAN_POOL, role, vms))
        elif needed == vms:
            problems.append(problem(BudgetProblemKind.NO_MAINTENANCE, role, vms))
    return problems
