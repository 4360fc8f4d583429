"""Change VM records together with the budgets that they affect."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence

from ..clock import Clock
from ..config.model import ServiceConfig
from ..errors import RefusedError
from ..fleet_state import FleetState
from ..keyvalue import layout
from ..keyvalue.records import (
    Change,
    ConflictError,
    Versioned,
    commit_changes,
    decode_record,
    read_record,
)
from ..keyvalue.store import Store, scan_all
from ..outcomes import RefusalReason, Refused
from ..vm_platform.directory import VmListState, VmRole
from .budgets import (
    BudgetRecord,
    HeadroomByScope,
    SpendingKind,
    blocking_scope,
    headroom_of,
    with_vm,
    without_vm,
)
from .vms import Cause, VmRecord, VmState

MAX_ATTEMPTS = 5
"""Attempts at one change; each failure means that another writer succeeded."""

Step = Callable[[VmRecord], VmRecord | None]
"""Returns the next record or None for no change, or raises RefusedError."""


class FleetRecords:
    """Reads and changes VM records; each change is one transaction."""

    def __init__(self, store: Store, clock: Clock, state: FleetState) -> None:
        self.store = store
        self.clock = clock
        self.state = state

    async def change(self, name: str, step: Step) -> VmRecord:
        """Apply a step to a VM's record and to the budgets of its pools.

        After a conflict with another writer the record is read again, so that the
        step acts on what is stored. Raises RefusedError and ConflictError.
        """
        for attempt in range(MAX_ATTEMPTS):
            current = await read_record(self.store, layout.VMS + name, VmRecord)
            if current is None:
                raise RefusedError(Refused(RefusalReason.NOT_FOUND, name))
            record = step(current.value)
            if record is None:
                return current.value
            try:
                await self._commit(current, record)
            except ConflictError:
                if attempt == MAX_ATTEMPTS - 1:
                    raise
                continue
            self.state.vm_records_by_name[name] = record
            return record
        raise AssertionError("unreachable")

    async def adopt(self, name: str) -> None:
        """Create the record of a VM that the platform lists for the first time."""
        vm = self.state.vm_list.vms_by_name[name]
        now = self.clock.now()
        record = VmRecord(
            name,
            vm.role,
            vm.pool,
            availability_zone=vm.availability_zone,
            rack=vm.rack,
            boot_id=vm.boot_id,
            maintained_at=now,
        ).with_step(now, VmState.IN_SERVICE, Cause.ADOPTED, detail=vm.pool)
        await self._commit(None, record)
        self.state.vm_records_by_name[name] = record

    async def remove(self, name: str) -> None:
        """Delete the record of a set-aside VM that the platform has removed."""
        key = layout.VMS + name
        current = await read_record(self.store, key, VmRecord)
        if current is None or current.value.state is not VmState.SET_ASIDE:
            return
        changes = [Change(key, None, current)]
        for service in self.services_of(current.value.pool):
            budget_key = layout.BUDGETS + service.name
            budget = await read_record(self.store, budget_key, BudgetRecord)
            if budget is not None:
                after = without_vm(budget.value, name)
                changes.append(Change(budget_key, after, budget))
        await commit_changes(self.store, changes)
        self.state.vm_records_by_name.pop(name, None)

    async def budgets(self) -> dict[str, Versioned[BudgetRecord]]:
        """Return all budget records by service."""
        page = await scan_all(self.store, layout.BUDGETS)
        records = [decode_record(entry, BudgetRecord) for entry in page.entries]
        return {record.value.service: record for record in records}

    def services_of(self, *pools: str) -> list[ServiceConfig]:
        """Return the services of pools, in name order."""
        services = sorted(self.state.config.services_by_name.items())
        return [service for _, service in services if service.pool in pools]

    def unavailable(self, names: Iterable[str]) -> set[str]:
        """Return the VMs that the platform's list does not show as live."""
        vms = self.state.vm_list.vms_by_name
        live = VmListState.LIVE
        return {n for n in names if n not in vms or vms[n].state is not live}

    def headroom(self, service: ServiceConfig, budget: BudgetRecord) -> HeadroomByScope:
        """Return the headroom of a service's budget, including losses known locally."""
        pool = self.state.config.pools_by_name.get(service.pool)
        lost = self.unavailable(budget.members_by_vm)
        return headroom_of(budget, service.budget, pool, lost)

    async def reconcile(self, budgets: dict[str, Versioned[BudgetRecord]]) -> None:
        """Correct budget members of services that were added or changed pools."""
        for service in self.services_of(*self.state.config.pools_by_name):
            record = budgets.get(service.name)
            members = set(record.value.members_by_vm) if record else set()
            expected = {
                name
                for name, vm in self.state.vm_records_by_name.items()
                if vm.pool == service.pool
            }
            for name in sorted(members - expected):
                await self._drop_or_touch(service, name)
            for name in sorted(expected - members):
                await self._touch(name)

    async def _touch(self, name: str) -> None:
        key = layout.VMS + name
        current = await read_record(self.store, key, VmRecord)
        if current is not None:
            await self._commit(current, current.value)

    async def _drop_or_touch(self, service: ServiceConfig, name: str) -> None:
        """Remove a member whose VM is in another pool, guarded by the VM record."""
        vm = await read_record(self.store, layout.VMS + name, VmRecord)
        key = layout.BUDGETS + service.name
        budget = await read_record(self.store, key, BudgetRecord)
        if vm is None or budget is None or vm.value.pool == service.pool:
            return
        after = with_vm(
            budget.value, service.pool, vm.value, vm.value, self.clock.now()
        )
        changes = [Change(vm.key, vm.value, vm), Change(key, after, budget)]
        await commit_changes(self.store, changes)

    async def _commit(self, old: Versioned[VmRecord] | None, new: VmRecord) -> None:
        key = layout.VMS + new.name
        changes = [Change(key, new, old), *await self._budget_changes(old, new)]
        await commit_changes(self.store, changes)

    async def _budget_changes(
        self, old: Versioned[VmRecord] | None, new: VmRecord
    ) -> Sequence[Change]:
        before = old.value if old is not None else None
        pools = {new.pool} | ({before.pool} if before is not None else set())
        changes = []
        lost = bool(self.unavailable([new.name]))
        for service in self.services_of(*pools):
            key = layout.BUDGETS + service.name
            stored = await read_record(self.store, key, BudgetRecord)
            budget = stored.value if stored is not None else BudgetRecord(service.name)
            now = self.clock.now()
            after = with_vm(budget, service.pool, before, new, now, lost=lost)
            if after == budget:
                # Include the record anyway: the transaction compares it, so that
                # the VM and the budget change consistently.
                changes.append(Change(key, budget, stored))
                continue
            self._check(service, budget, after, new)
            changes.append(Change(key, after, stored))
        return changes

    def _check(
        self,
        service: ServiceConfig,
        before: BudgetRecord,
        after: BudgetRecord,
        vm: VmRecord,
    ) -> None:
        """Refuse a planned operation that the budget does not allow."""
        entry = after.spending_by_vm.get(vm.name)
        if entry is None or vm.name in before.spending_by_vm:
            return
        if entry.kind is not SpendingKind.PLANNED:
            return
        headroom = self.headroom(service, before)
        scope = blocking_scope(headroom, vm.role, vm.availability_zone)
        if scope is not None:
            raise RefusedError(
                Refused(
                    RefusalReason.BUDGET_EXCEEDED,
                    _detail(service.name, scope.role, scope.availability_zone)
                    + f" needs {headroom[scope].needed} VMs,"
                    f" {headroom[scope].available} are available",
                )
            )


def _detail(service: str, role: VmRole, availability_zone: str) -> str:
    place = f" in {availability_zone}" if availability_zone else ""
    return f"{service} ({role.value}s{place})"
