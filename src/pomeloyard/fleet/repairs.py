"""Start repairs of failed VMs within the limit of each pool."""

from __future__ import annotations

import logbook

from ..decisions import Candidate, Decision, DecisionKind, DecisionLog
from ..errors import RefusedError
from ..keyvalue.records import ConflictError
from ..vm_platform.directory import VmListState
from . import vm_steps
from .operations import VmOperations
from .records import FleetRecords
from .repair_planning import (
    REPAIR_PREFIX,
    HealthTracker,
    RepairAlarm,
    Suspicion,
    plan_repairs,
)
from .vms import Cause, VmPlan, VmRecord, VmState

CONTROLLER = "controller"

log = logbook.Logger("pomeloyard.fleet.repairs")


class RepairManager:
    """Detects failed VMs and starts their repair."""

    def __init__(
        self,
        records: FleetRecords,
        operations: VmOperations,
        decisions: DecisionLog,
        health_tracker: HealthTracker,
    ) -> None:
        self._records = records
        self._operations = operations
        self._decisions = decisions
        self.health_tracker = health_tracker
        self.alarms_by_pool: dict[str, RepairAlarm] = {}

    def is_failing(self, name: str) -> bool:
        """Tell whether a VM on trial fails its requests or tasks."""
        return self.health_tracker.is_failing(name, self._records.clock.now())

    async def step(self) -> None:
        """Record boots and start the repairs that each pool's limit allows."""
        now = self._records.clock.now()
        self._record_boots()
        by_pool: dict[str, dict[str, VmRecord]] = {}
        for name, vm in self._records.state.vm_records_by_name.items():
            by_pool.setdefault(vm.pool, {})[name] = vm
        share = self._records.state.config.maintenance.max_repairs
        for pool, vms in sorted(by_pool.items()):
            suspicions = self.health_tracker.suspicions(vms, now)
            plan = plan_repairs(pool, vms, suspicions, now, share)
            self._update_alarm(pool, plan.alarm)
            for suspicion in plan.fail:
                await self._fail(suspicion)
            for suspicion in plan.drain:
                await self._drain(
                    suspicion.vm, VmPlan.REBOOT, suspicion.cause, suspicion.evidence
                )
            for name, repair in plan.repair:
                cause = vms[name].reasons[-1].cause
                await self._drain(name, repair, cause, "failed")

    async def _fail(self, suspicion: Suspicion) -> None:
        now = self._records.clock.now()
        try:
            await self._records.change(
                suspicion.vm,
                lambda current: vm_steps.mark_failed(current, now, suspicion.cause),
            )
        except (ConflictError, RefusedError) as error:
            log.info("VM {} not taken out of service: {}", suspicion.vm, error)
            return
        self.health_tracker.reset(suspicion.vm)
        self._record_decision(suspicion.vm, "fail", suspicion.cause, suspicion.evidence)

    async def _drain(
        self, name: str, plan: VmPlan, cause: Cause, evidence: str
    ) -> None:
        epoch = self._records.state.vm_records_by_name[name].epoch
        try:
            await self._operations.drain(
                name,
                CONTROLLER,
                plan=plan,
                cause=cause,
                operation=f"{REPAIR_PREFIX}{name}.{epoch}",
            )
        except (ConflictError, RefusedError) as error:
            log.info("repair of VM {} not started: {}", name, error)
            return
        self.health_tracker.reset(name)
        self._record_decision(name, plan.value, cause, evidence)

    def _record_boots(self) -> None:
        now = self._records.clock.now()
        for name, vm in self._records.state.vm_list.vms_by_name.items():
            record = self._records.state.vm_records_by_name.get(name)
            if record is None or vm.state is VmListState.GONE:
                continue
            planned = record.state is not VmState.IN_SERVICE
            self.health_tracker.record_boot(name, vm.boot_id, now, planned)

    def _update_alarm(self, pool: str, alarm: RepairAlarm | None) -> None:
        if alarm is None:
            self.alarms_by_pool.pop(pool, None)
            return
        if self.alarms_by_pool.get(pool) == alarm:
            return
        self.alarms_by_pool[pool] = alarm
        log.error(
            "repairs in pool {} stopped: {} look failed, at most {} may be in repair",
            pool,
            ", ".join(alarm.suspects),
            alarm.limit,
        )
        candidates = tuple(Candidate(n, Cause.VM_FAILED) for n in alarm.suspects)
        self._decisions.record(
            Decision(
                self._records.clock.now(),
                DecisionKind.REPAIR,
                f"pool/{pool}",
                "stop",
                Cause.VM_FAILED,
                candidates,
                {"limit": alarm.limit, "suspects": len(alarm.suspects)},
            )
        )

    def _record_decision(
        self, name: str, choice: str, cause: Cause, evidence: str
    ) -> None:
        self._decisions.record(
            Decision(
                self._records.clock.now(),
                DecisionKind.REPAIR,
                f"vm/{name}",
                choice,
                cause,
                inputs={"evidence": evidence},
            )
        )
