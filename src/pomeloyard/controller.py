"""The controller role: drains, returns and repairs VMs within budgets."""

from __future__ import annotations

from dataclasses import replace
from datetime import timedelta

import logbook

from .clock import Clock
from .errors import RefusedError, StoreError
from .fleet_state import FleetState
from .outcomes import RefusalReason, Refused
from .platform import layout
from .platform.directory import Vm, VmRole
from .platform.records import Change, ConflictError, commit_changes, read_record
from .platform.store import Store
from .vms import MAX_REASONS, Reason, VmRecord, VmState

TICK = timedelta(seconds=0.5)

log = logbook.Logger("pomeloyard.controller")


class Controller:
    """Changes VM records; every step is one compare-and-swap."""

    def __init__(self, clock: Clock, state: FleetState, store: Store) -> None:
        self._clock = clock
        self._state = state
        self._store = store

    async def run(self, epoch: int) -> None:
        """Adopt new VMs and advance drains until the role is lost."""
        while True:
            try:
                await self._adopt_new_vms()
                await self._advance_drains()
            except (StoreError, ConflictError) as error:
                log.warning("controller step failed: {}", error)
            await self._clock.sleep(TICK)

    async def drain(self, name: str, cause: str, by: str) -> VmRecord:
        """Start draining a VM if its service's budget allows it."""
        vm = self._state.vm_list.vms_by_name.get(name)
        if vm is None:
            raise RefusedError(Refused(RefusalReason.NOT_FOUND, name))
        self._check_budget(vm)
        return await self._change(name, VmState.DRAINING, cause, by)

    async def return_to_service(self, name: str, cause: str, by: str) -> VmRecord:
        """Put a drained VM back into service."""
        return await self._change(name, VmState.IN_SERVICE, cause, by)

    def _check_budget(self, vm: Vm) -> None:
        pool = self._state.pool_of(vm)
        total = self._state.vms_of(pool, VmRole.EXECUTOR)
        available = self._state.available_vms(pool, VmRole.EXECUTOR)
        for service in self._state.config.services_by_name.values():
            if service.pool != pool:
                continue
            needed = service.budget.min_available
            if isinstance(needed, float):
                needed = -int(-needed * len(total) // 1)
            if len(available) - 1 < needed:
                detail = f"{service.name} needs {needed} of {len(total)} VMs"
                raise RefusedError(Refused(RefusalReason.BUDGET_EXCEEDED, detail))

    async def _change(self, name: str, state: VmState, cause: str, by: str) -> VmRecord:
        key = layout.VMS + name
        current = await read_record(self._store, key, VmRecord)
        if current is None:
            raise RefusedError(Refused(RefusalReason.NOT_FOUND, name))
        at = self._clock.now().isoformat()
        reasons = (*current.value.reasons, Reason(at, state.value, cause, by))
        record = replace(
            current.value,
            state=state,
            epoch=current.value.epoch + 1,
            reasons=reasons[-MAX_REASONS:],
        )
        await commit_changes(self._store, [Change(key, record, current)])
        return record

    async def _adopt_new_vms(self) -> None:
        for vm in self._state.vm_list.vms_by_name.values():
            if vm.role is VmRole.ENTRY or vm.name in self._state.vm_records_by_name:
                continue
            record = VmRecord(vm.name, vm.role, vm.pool)
            try:
                await commit_changes(
                    self._store, [Change(layout.VMS + vm.name, record, None)]
                )
            except ConflictError:
                continue  # Another controller adopted it first.

    async def _advance_drains(self) -> None:
        for record in list(self._state.vm_records_by_name.values()):
            if record.state is VmState.DRAINING:
                await self._change(
                    record.name, VmState.DRAINED, "nothing is running", "controller"
                )
