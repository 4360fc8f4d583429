"""Steps of VM records: drain, reboot, move, trial and return.

Each function returns the next record, or None if there is nothing to do, or raises
RefusedError if the VM's state does not allow the step.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, replace
from datetime import datetime, timedelta

from ..errors import RefusedError
from ..outcomes import RefusalReason, Refused
from ..vm_platform.directory import Vm, VmListState, VmOperation
from .vms import Cause, DrainStatus, VmPlan, VmRecord, VmState

OPERATIONS_BY_PLAN = {
    VmPlan.REBOOT: (VmOperation.REBOOT, VmOperation.REBOOT, VmOperation.REPLACE),
    VmPlan.REPLACE: (VmOperation.REPLACE, VmOperation.REPLACE),
}
"""Platform operations tried one after another before a VM is set aside."""

ASSIGN_ATTEMPTS = 3

DRAINABLE = frozenset(
    {VmState.IN_SERVICE, VmState.TRIAL, VmState.FAILED, VmState.SET_ASIDE}
)
UNDOABLE = frozenset({VmState.DRAINING, VmState.DRAINED})
"""States in which a drain can be undone, as no platform operation has started."""

RETURNABLE = UNDOABLE | {VmState.SET_ASIDE, VmState.FAILED}


@dataclass(frozen=True, slots=True)
class DrainOrder:
    """Parameters of a drain; ``asked`` are the daemons that must confirm it."""

    operation: str
    plan: VmPlan
    cause: Cause
    by: str
    drain_timeout: timedelta
    request_timeout: timedelta
    asked: tuple[str, ...] = ()
    target_pool: str = ""
    wave: str = ""


def begin_drain(record: VmRecord, now: datetime, order: DrainOrder) -> VmRecord | None:
    """Stop new work at a VM; a repeated order has no effect."""
    if record.operation == order.operation and record.state is not VmState.IN_SERVICE:
        return None
    held = record.state is VmState.DRAINED and record.plan is VmPlan.HOLD
    continues = held and order.plan is not VmPlan.HOLD
    if record.state not in DRAINABLE and not continues:
        raise _conflict(record)
    if order.plan is VmPlan.MOVE and record.pool == order.target_pool:
        raise RefusedError(
            Refused(RefusalReason.INVALID_INPUT, f"{record.name} is in {record.pool}")
        )
    deadline = now + order.drain_timeout
    return record.with_step(
        now,
        VmState.DRAINING,
        order.cause,
        by=order.by,
        detail=order.operation,
        operation=order.operation,
        plan=order.plan,
        target_pool=order.target_pool,
        deadline=deadline,
        verify_by=deadline + order.request_timeout,
        waiting=None,
        asked=order.asked,
        attempts=0,
        wave=order.wave,
    )


def record_waiting(
    record: VmRecord, epoch: int, status: DrainStatus
) -> VmRecord | None:
    """Record what a drain waits for; this is not a step and keeps the epoch."""
    if record.epoch != epoch or record.waiting is status:
        return None
    return replace(record, waiting=status)


def finish_drain(record: VmRecord, now: datetime, cause: Cause) -> VmRecord | None:
    """Record that nothing runs at the VM any more."""
    if record.state is not VmState.DRAINING:
        return None
    return record.with_step(
        now, VmState.DRAINED, cause, waiting=None, asked=(), deadline=None
    )


def continue_plan(
    record: VmRecord, now: datetime, vm: Vm | None, timeout: timedelta
) -> VmRecord | None:
    """Start the plan of a drained VM."""
    if record.state is not VmState.DRAINED:
        return None
    if record.plan is VmPlan.MOVE:
        return _next_assign(record, now, timeout, Cause.PLAN)
    if record.plan in OPERATIONS_BY_PLAN:
        return _next_attempt(record, now, vm, timeout, Cause.PLAN)
    return None


def operation_of(record: VmRecord) -> tuple[VmOperation, str] | None:
    """Return the platform operation that the record's state requires, with its ID.

    The ID is derived from the record alone, so that a controller that resumes the
    step repeats the same operation.
    """
    if record.state is VmState.REBOOTING:
        operation = OPERATIONS_BY_PLAN[record.plan][record.attempts - 1]
    elif record.state is VmState.MOVING:
        operation = VmOperation.ASSIGN
    else:
        return None
    return operation, f"{record.operation}.{operation.value}.{record.attempts}"


def check_reboot(
    record: VmRecord, now: datetime, vm: Vm | None, timeout: timedelta, trial: timedelta
) -> VmRecord | None:
    """Put a VM on trial after a new boot, or try again after the timeout."""
    if record.state is not VmState.REBOOTING:
        return None
    if _is_live(vm) and vm is not None and vm.boot_id != record.boot_id:
        return record.with_step(
            now,
            VmState.TRIAL,
            Cause.NEW_BOOT,
            detail=vm.boot_id,
            boot_id=vm.boot_id,
            deadline=now + trial,
        )
    if record.deadline is not None and now >= record.deadline:
        return _next_attempt(record, now, vm, timeout, Cause.OPERATION_TIMED_OUT)
    return None


def finish_assign(
    record: VmRecord, now: datetime, vm: Vm | None, timeout: timedelta
) -> VmRecord | None:
    """Change the pool once the platform's list shows the VM in the new one.

    Until then the VM belongs to its old pool and is unavailable in its budgets.
    """
    if record.state is not VmState.MOVING:
        return None
    if vm is None or vm.pool != record.target_pool:
        if record.deadline is None or now < record.deadline:
            return None
        return _next_assign(record, now, timeout, Cause.OPERATION_TIMED_OUT)
    returned = record.home_pool == record.target_pool
    return record.with_step(
        now,
        VmState.TRIAL,
        Cause.ASSIGNED,
        detail=f"{record.pool} to {record.target_pool}",
        pool=record.target_pool,
        home_pool="" if returned else record.home_pool or record.pool,
        target_pool="",
        boot_id=vm.boot_id,
        deadline=now,
    )


def check_trial(
    record: VmRecord, now: datetime, vm: Vm | None, failing: bool, trial: timedelta
) -> VmRecord | None:
    """Return a VM to service after its trial, or fail it."""
    if record.state is not VmState.TRIAL:
        return None
    if failing or vm is None or vm.state is VmListState.GONE:
        return record.with_step(now, VmState.FAILED, Cause.TRIAL_FAILED, failed_at=now)
    if vm.boot_id != record.boot_id:
        # A delayed operation of an earlier attempt has rebooted the VM again.
        return record.with_step(
            now,
            VmState.TRIAL,
            Cause.NEW_BOOT,
            detail=vm.boot_id,
            boot_id=vm.boot_id,
            deadline=now + trial,
        )
    if _is_live(vm) and (record.deadline is None or now >= record.deadline):
        return _in_service(record, now, Cause.TRIAL_PASSED, "controller")
    return None


def check_loss(record: VmRecord, now: datetime, vm: Vm | None) -> VmRecord | None:
    """Record that the platform lost, takes away or returned a VM.

    During a reboot or replacement a VM may be missing from the list; then only the
    operation's deadline counts.
    """
    gone = vm is None or vm.state is VmListState.GONE
    lost = record.state is VmState.IN_SERVICE and not _is_live(vm)
    # A repair that replaces the VM has already recorded its loss.
    in_repair = record.plan is VmPlan.REPLACE and not record.wave
    if lost or (record.state in UNDOABLE and gone and not in_repair):
        return record.with_step(
            now,
            VmState.FAILED,
            Cause.VM_GONE if gone else Cause.VM_LEAVING,
            operation="",
            plan=VmPlan.NONE,
            wave="",
            failed_at=now,
        )
    taken_away = record.state is VmState.FAILED and (
        record.reasons[-1].cause is Cause.VM_LEAVING
    )
    if taken_away and gone:
        return record.with_step(now, VmState.FAILED, Cause.VM_GONE)
    lost_by_list = record.state is VmState.FAILED and record.reasons[-1].cause in (
        Cause.VM_GONE,
        Cause.VM_LEAVING,
    )
    if lost_by_list and _is_live(vm) and vm is not None:
        return record.with_step(
            now, VmState.TRIAL, Cause.VM_BACK, boot_id=vm.boot_id, deadline=now
        )
    return None


def mark_failed(record: VmRecord, now: datetime, cause: Cause) -> VmRecord | None:
    """Take a VM out of service that a detector found failed."""
    if record.state is not VmState.IN_SERVICE:
        return None
    return record.with_step(
        now,
        VmState.FAILED,
        cause,
        operation="",
        plan=VmPlan.NONE,
        wave="",
        failed_at=now,
    )


def return_vm(
    record: VmRecord, now: datetime, vm: Vm | None, cause: Cause, by: str
) -> VmRecord | None:
    """Undo a drain, or put a set-aside or failed VM on trial again."""
    if record.state is VmState.IN_SERVICE:
        return None
    if record.state not in RETURNABLE:
        raise _conflict(record)
    if record.state in UNDOABLE and _is_live(vm):
        return _in_service(record, now, cause, by)
    boot_id = vm.boot_id if vm is not None else record.boot_id
    return record.with_step(
        now, VmState.TRIAL, cause, by=by, boot_id=boot_id, deadline=now, asked=()
    )


def undo_drain(record: VmRecord, now: datetime, wave: str, cause: Cause) -> VmRecord:
    """Return a VM to service that a wave drained and did not yet reboot."""
    if record.wave != wave or record.state not in UNDOABLE:
        raise _conflict(record)
    return _in_service(record, now, cause, "controller")


def _in_service(record: VmRecord, now: datetime, cause: Cause, by: str) -> VmRecord:
    rebooted = record.plan in OPERATIONS_BY_PLAN and cause is Cause.TRIAL_PASSED
    return record.with_step(
        now,
        VmState.IN_SERVICE,
        cause,
        by=by,
        operation="",
        plan=VmPlan.NONE,
        target_pool="",
        deadline=None,
        verify_by=None,
        waiting=None,
        asked=(),
        attempts=0,
        wave="",
        last_wave=record.wave if rebooted else record.last_wave,
        maintained_at=now if rebooted else record.maintained_at,
    )


def _next_attempt(
    record: VmRecord, now: datetime, vm: Vm | None, timeout: timedelta, cause: Cause
) -> VmRecord:
    operations: Sequence[VmOperation] = OPERATIONS_BY_PLAN[record.plan]
    if record.attempts >= len(operations):
        return record.with_step(
            now,
            VmState.SET_ASIDE,
            Cause.ATTEMPTS_USED_UP,
            detail=f"{record.attempts} operations without a new boot",
            deadline=None,
            last_wave=record.wave or record.last_wave,
            failed_at=now,
        )
    return record.with_step(
        now,
        VmState.REBOOTING,
        cause,
        detail=operations[record.attempts].value,
        boot_id=vm.boot_id if vm is not None else record.boot_id,
        attempts=record.attempts + 1,
        deadline=now + timeout,
        failed_at=now if cause is Cause.OPERATION_TIMED_OUT else record.failed_at,
    )


def _next_assign(
    record: VmRecord, now: datetime, timeout: timedelta, cause: Cause
) -> VmRecord:
    if record.attempts >= ASSIGN_ATTEMPTS:
        return record.with_step(
            now,
            VmState.SET_ASIDE,
            Cause.ATTEMPTS_USED_UP,
            detail=f"not assigned to {record.target_pool}",
            deadline=None,
            failed_at=now,
        )
    return record.with_step(
        now,
        VmState.MOVING,
        cause,
        detail=record.target_pool,
        attempts=record.attempts + 1,
        deadline=now + timeout,
    )


def _is_live(vm: Vm | None) -> bool:
    return vm is not None and vm.state is VmListState.LIVE


def _conflict(record: VmRecord) -> RefusedError:
    last = record.reasons[-1] if record.reasons else None
    by = f" by {last.by} ({last.cause.value})" if last is not None else ""
    detail = f"{record.name} is {record.state.value}{by}"
    return RefusedError(Refused(RefusalReason.CONFLICT, detail))
