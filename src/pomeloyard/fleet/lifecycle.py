"""Advance VMs through drains, reboots, moves and trials step by step."""

from __future__ import annotations

from collections.abc import Callable
from datetime import datetime, timedelta

import anyio
import logbook

from ..errors import RefusedError, StoreError, StoreRequestError
from ..keyvalue.records import ConflictError
from ..vm_platform.directory import Vm, VmDirectory, VmListState, VmOperation, VmRole
from . import vm_steps
from .drains import DrainCheck, DrainVerifier
from .records import FleetRecords, Step
from .vms import Cause, DrainStatus, VmPlan, VmRecord, VmState

MAX_CONCURRENT_VMS = 64
"""VMs advanced concurrently. A query to a daemon that does not answer takes 1 s and
must not delay other drains; the store client limits its own calls in flight."""

MAX_STEPS_PER_TICK = 4
"""Steps of one VM per tick; more than one, so that a move does not wait for the next
tick after each of its steps."""

REMOVE_AFTER = timedelta(days=1)
"""Time after which a set-aside VM that is missing from the platform's list is removed
from its pool; until then an operator can see it and return it to service."""

REISSUE_INTERVAL = timedelta(seconds=30)
"""Time after which an operation without effect is sent again with the same ID."""

LOSS_STATES = frozenset(
    {VmState.IN_SERVICE, VmState.DRAINING, VmState.DRAINED, VmState.FAILED}
)
"""States in which a change of the platform's list alone may cause a step."""

NO_TASKS: dict[str, int] = {}

log = logbook.Logger("pomeloyard.fleet.lifecycle")


class VmLifecycle:
    """Takes the next step of every VM that has one."""

    def __init__(
        self,
        records: FleetRecords,
        directory: VmDirectory,
        verifier: DrainVerifier,
        is_failing: Callable[[str], bool] = lambda name: False,
    ) -> None:
        self._records = records
        self._directory = directory
        self._verifier = verifier
        self._is_failing = is_failing
        self._issued_at_by_id: dict[str, timedelta] = {}
        self.drain_checks_by_vm: dict[str, DrainCheck] = {}
        """Latest verification of each draining VM; shows what the drain waits for."""

    async def adopt_new_vms(self) -> None:
        """Create records for listed VMs that have none."""
        state = self._records.state
        for vm in list(state.vm_list.vms_by_name.values()):
            known = vm.name in state.vm_records_by_name
            if known or vm.role is VmRole.ENTRY or vm.state is VmListState.GONE:
                continue
            try:
                await self._records.adopt(vm.name)
            except ConflictError:
                continue  # Another controller adopted it first.

    async def remove_missing_vms(self) -> None:
        """Delete the records of VMs long set aside that are no longer listed."""
        now = self._records.clock.now()
        for record in self._vm_records():
            if record.state is not VmState.SET_ASIDE or record.since is None:
                continue
            if self._vm(record.name) is None and now - record.since >= REMOVE_AFTER:
                log.info(
                    "removing VM {}: missing from the platform's list", record.name
                )
                await self._records.remove(record.name)

    async def record_losses(self) -> None:
        """Record VMs that the platform lost or returned, also in the budgets."""
        await self._advance_each(
            [
                record
                for record in self._vm_records()
                if record.state in LOSS_STATES and self._loss(record) is not None
            ],
            NO_TASKS,
        )

    async def advance_all(self) -> None:
        """Advance every VM; a failure of one VM does not affect the others."""
        active = [record for record in self._vm_records() if self._has_step(record)]
        draining = {r.name for r in active if r.state is VmState.DRAINING}
        for name in self.drain_checks_by_vm.keys() - draining:
            del self.drain_checks_by_vm[name]
            self._verifier.forget(name)
        workers = any(r.name in draining and r.role is VmRole.WORKER for r in active)
        tasks = await self._verifier.task_counts() if workers else NO_TASKS
        await self._advance_each(active, tasks)

    async def _advance_each(
        self, records: list[VmRecord], tasks: dict[str, int]
    ) -> None:
        limiter = anyio.CapacityLimiter(MAX_CONCURRENT_VMS)
        async with anyio.create_task_group() as group:
            for record in records:
                group.start_soon(self._advance_safely, limiter, record, tasks)

    async def _advance_safely(
        self, limiter: anyio.CapacityLimiter, record: VmRecord, tasks: dict[str, int]
    ) -> None:
        async with limiter:
            try:
                for _ in range(MAX_STEPS_PER_TICK):
                    await self._advance(record, tasks)
                    after = self._records.state.vm_records_by_name[record.name]
                    if after.epoch == record.epoch or not self._has_step(after):
                        break
                    record = after
            except (StoreError, ConflictError, RefusedError) as error:
                log.warning("step of VM {} failed: {}", record.name, error)

    async def _advance(self, record: VmRecord, tasks: dict[str, int]) -> None:
        if self._loss(record) is not None:
            await self._apply(record)
        elif record.state is VmState.DRAINING:
            await self._verify(record, tasks)
        elif vm_steps.operation_of(record) is not None:
            await self._issue(record)
            await self._apply(record)
        elif record.state is VmState.TRIAL:
            await self._return_at_platform(record)
            await self._apply(record)
        else:
            await self._apply(record)

    async def _verify(self, record: VmRecord, tasks: dict[str, int]) -> None:
        check = await self._verifier.check(record, tasks)
        self.drain_checks_by_vm[record.name] = check
        causes = {
            DrainStatus.CLEAR: Cause.NOTHING_RUNNING,
            DrainStatus.TIMED_OUT_SILENT: Cause.DAEMONS_SILENT,
        }
        cause = causes.get(check.status)
        if cause is None:
            if record.waiting is not check.status:
                await self._records.change(
                    record.name,
                    lambda current: vm_steps.record_waiting(
                        current, record.epoch, check.status
                    ),
                )
            return
        now = self._records.clock.now()

        def finish(current: VmRecord) -> VmRecord | None:
            # Finish only the drain that was verified: after a return and a second
            # drain in the meantime, the epoch differs.
            if current.epoch != record.epoch:
                return None
            return vm_steps.finish_drain(current, now, cause)

        await self._records.change(record.name, finish)

    async def _apply(self, record: VmRecord) -> None:
        now = self._records.clock.now()
        await self._records.change(record.name, self._step(record, now))

    def _step(self, record: VmRecord, now: datetime) -> Step:
        """Return the step for a record; it does nothing at another epoch."""
        maintenance = self._records.state.config.maintenance
        vm = self._vm(record.name)
        timeout, trial = maintenance.reboot_timeout, maintenance.trial
        failing = self._is_failing(record.name)

        def step(current: VmRecord) -> VmRecord | None:
            if current.epoch != record.epoch:
                return None
            return (
                vm_steps.check_loss(current, now, vm)
                or vm_steps.continue_plan(current, now, vm, timeout)
                or vm_steps.check_reboot(current, now, vm, timeout, trial)
                or vm_steps.finish_assign(current, now, vm, timeout)
                or vm_steps.check_trial(current, now, vm, failing, trial)
            )

        return step

    def _has_step(self, record: VmRecord) -> bool:
        """Tell whether a VM may have a step to take, without reading the store."""
        if record.state in (VmState.DRAINING, VmState.REBOOTING, VmState.MOVING):
            return True
        if record.state is VmState.DRAINED:
            return record.plan is not VmPlan.HOLD
        if record.state is VmState.TRIAL:
            return (
                self._is_leaving(record.name) or self._next_record(record) is not None
            )
        return False

    def _loss(self, record: VmRecord) -> VmRecord | None:
        now = self._records.clock.now()
        return vm_steps.check_loss(record, now, self._vm(record.name))

    def _next_record(self, record: VmRecord) -> VmRecord | None:
        """Return the next record according to local copies, without the store."""
        return self._step(record, self._records.clock.now())(record)

    def _vm_records(self) -> list[VmRecord]:
        return list(self._records.state.vm_records_by_name.values())

    async def _issue(self, record: VmRecord) -> None:
        """Start the platform operation that the record requires."""
        operation = vm_steps.operation_of(record)
        if operation is not None:
            pool = record.target_pool if operation[0] is VmOperation.ASSIGN else ""
            await self._operate(record.name, *operation, pool)

    async def _return_at_platform(self, record: VmRecord) -> None:
        if self._is_leaving(record.name):
            operation_id = f"{record.operation or 'back'}.return.{record.epoch}"
            await self._operate(record.name, VmOperation.RETURN, operation_id)

    async def _operate(
        self, name: str, operation: VmOperation, operation_id: str, pool: str = ""
    ) -> None:
        now = self._records.clock.monotonic()
        issued_at = self._issued_at_by_id.get(operation_id)
        if issued_at is not None and now - issued_at < REISSUE_INTERVAL:
            return
        try:
            await self._directory.operate(
                name, operation, operation_id=operation_id, pool=pool
            )
        except StoreRequestError as error:
            # Refused by the platform: retried when the state's deadline has passed.
            log.warning("{} of VM {} refused: {}", operation.value, name, error)
        except StoreError as error:
            log.warning("{} of VM {} failed: {}", operation.value, name, error)
            return
        self._issued_at_by_id[operation_id] = now

    def _vm(self, name: str) -> Vm | None:
        return self._records.state.vm_list.vms_by_name.get(name)

    def _is_leaving(self, name: str) -> bool:
        vm = self._vm(name)
        return vm is not None and vm.state is VmListState.LEAVING
