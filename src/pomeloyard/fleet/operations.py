"""Operations on VMs, for operators and the controller."""

from __future__ import annotations

import secrets
from collections.abc import Callable
from datetime import timedelta

from ..config.model import ServiceConfig
from ..decisions import Decision, DecisionKind, DecisionLog
from ..errors import RefusedError
from ..outcomes import RefusalReason, Refused
from . import vm_steps
from .records import FleetRecords
from .vm_steps import DrainOrder
from .vms import Cause, VmPlan, VmRecord

NO_SERVICE_DRAIN_TIMEOUT = timedelta(seconds=60)
"""Drain timeout of VMs in a pool without services, such as a spare pool."""


class VmOperations:
    """Starts drains, moves and returns to service, each in one transaction."""

    def __init__(
        self,
        records: FleetRecords,
        decisions: DecisionLog,
        broadcast_state: Callable[[VmRecord], None] = lambda record: None,
    ) -> None:
        self._records = records
        self._decisions = decisions
        self._broadcast_state = broadcast_state

    async def drain(
        self,
        name: str,
        by: str,
        *,
        plan: VmPlan = VmPlan.HOLD,
        cause: Cause = Cause.OPERATOR,
        operation: str = "",
        target_pool: str = "",
        wave: str = "",
    ) -> VmRecord:
        """Start draining a VM if the budgets of its pool's services allow it.

        Raises RefusedError (budget exceeded, conflict, not found).
        """
        state = self._records.state
        if state.vm_list.version == 0:
            # Without the list, its losses would be missing from the headroom.
            raise RefusedError(Refused(RefusalReason.NOT_READY, "VM list not read"))
        known = state.vm_records_by_name.get(name)
        if known is None:
            raise RefusedError(Refused(RefusalReason.NOT_FOUND, name))
        if target_pool and target_pool not in state.config.pools_by_name:
            raise RefusedError(Refused(RefusalReason.NOT_FOUND, target_pool))
        services = self._records.services_of(known.pool)
        order = DrainOrder(
            operation=operation or f"{plan.value}-{secrets.token_hex(6)}",
            plan=plan,
            cause=cause,
            by=by,
            drain_timeout=_longest_drain(services),
            request_timeout=state.config.longest_request_timeout(),
            asked=self._daemons(),
            target_pool=target_pool,
            wave=wave,
        )
        now = self._records.clock.now()
        record = await self._records.change(
            name, lambda current: vm_steps.begin_drain(current, now, order)
        )
        self._broadcast_state(record)
        self._record_decision(DecisionKind.DRAIN, record, plan.value, cause)
        return record

    async def move(
        self,
        name: str,
        pool: str,
        by: str,
        cause: Cause = Cause.OPERATOR,
        operation: str = "",
    ) -> VmRecord:
        """Start moving a VM to another pool: drain, assign, return to service."""
        record = await self.drain(
            name,
            by,
            plan=VmPlan.MOVE,
            cause=cause,
            operation=operation,
            target_pool=pool,
        )
        self._record_decision(DecisionKind.MOVE, record, pool, cause)
        return record

    async def return_to_service(
        self, name: str, by: str, cause: Cause = Cause.OPERATOR
    ) -> VmRecord:
        """Undo a drain, or put a set-aside or failed VM on trial again."""
        now = self._records.clock.now()
        vm = self._records.state.vm_list.vms_by_name.get(name)
        record = await self._records.change(
            name, lambda current: vm_steps.return_vm(current, now, vm, cause, by)
        )
        self._record_decision(DecisionKind.RETURN, record, record.state.value, cause)
        return record

    async def undo_drain(self, name: str, wave: str, cause: Cause) -> VmRecord:
        """Return a VM to service that a wave drained but did not yet reboot."""
        now = self._records.clock.now()
        record = await self._records.change(
            name, lambda current: vm_steps.undo_drain(current, now, wave, cause)
        )
        self._record_decision(DecisionKind.RETURN, record, record.state.value, cause)
        return record

    def _daemons(self) -> tuple[str, ...]:
        """Return all daemons that may run requests, including unresponsive ones."""
        state = self._records.state
        holders = set()
        if state.partitions is not None:
            holders = {p.holder for p in state.partitions.partitions if p.holder}
        return tuple(sorted(holders | state.daemons_by_incarnation.keys()))

    def _record_decision(
        self, kind: DecisionKind, record: VmRecord, choice: str, cause: Cause
    ) -> None:
        self._decisions.record(
            Decision(
                self._records.clock.now(),
                kind,
                f"vm/{record.name}",
                choice,
                cause,
                inputs={
                    "pool": record.pool,
                    "role": record.role.value,
                    "epoch": record.epoch,
                    "operation": record.operation,
                    "wave": record.wave,
                },
            )
        )


def _longest_drain(services: list[ServiceConfig]) -> timedelta:
    timeouts = [service.drain_timeout for service in services]
    return max(timeouts, default=NO_SERVICE_DRAIN_TIMEOUT)
