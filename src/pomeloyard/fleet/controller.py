"""The controller role: a loop that advances VMs, waves, repairs and lending."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from datetime import timedelta

import logbook

from ..clock import Clock
from ..decisions import DecisionLog
from ..errors import PomeloyardError
from ..fleet_state import FleetState
from ..keyvalue.store import Store
from ..vm_platform.directory import VmDirectory
from .buffers import BufferManager
from .drains import DrainVerifier, QueryRunning, TaskCounts
from .lifecycle import VmLifecycle
from .maintenance import MaintenanceSchedule
from .operations import VmOperations
from .records import FleetRecords
from .repair_planning import HealthTracker
from .repairs import RepairManager
from .vms import VmRecord
from .wave_runner import WaveRunner

TICK = timedelta(seconds=0.5)

log = logbook.Logger("pomeloyard.fleet.controller")


class Controller:
    """Changes VM records and waves while this daemon holds the role.

    ``operations`` and ``waves`` also serve operators at daemons without the role,
    as every step is one transaction.
    """

    def __init__(
        self,
        clock: Clock,
        state: FleetState,
        store: Store,
        directory: VmDirectory,
        decisions: DecisionLog,
        query_running: QueryRunning,
        tasks: TaskCounts,
        broadcast_state: Callable[[VmRecord], None] = lambda record: None,
        demand_by_pool: Callable[[], Mapping[str, float]] = dict,
    ) -> None:
        self._clock = clock
        self._state = state
        self.records = FleetRecords(store, clock, state)
        self.operations = VmOperations(self.records, decisions, broadcast_state)
        self.waves = WaveRunner(self.records, self.operations, decisions)
        self.maintenance = MaintenanceSchedule(self.records, self.waves)
        self.repairs = RepairManager(
            self.records, self.operations, decisions, HealthTracker()
        )
        self.buffers = BufferManager(
            self.records, self.operations, decisions, demand_by_pool
        )
        verifier = DrainVerifier(clock, state, query_running, tasks)
        self.lifecycle = VmLifecycle(
            self.records, directory, verifier, self.repairs.is_failing
        )

    async def run(self, epoch: int) -> None:
        """Step until cancelled on loss of the role; retry failed steps."""
        while True:
            try:
                await self.step()
            except PomeloyardError as error:
                log.warning("controller step failed: {}", error)
            await self._clock.sleep(TICK)

    async def step(self) -> None:
        """Advance the whole fleet once."""
        if self._state.config.revision == 0 or self._state.vm_list.version == 0:
            return  # Without the VM list, every VM would look lost.
        await self.lifecycle.adopt_new_vms()
        await self.lifecycle.remove_missing_vms()
        await self.lifecycle.record_losses()
        budgets = await self.records.budgets()
        await self.records.reconcile(budgets)
        # Waves step before the VMs advance, so that the drains of a wave that was
        # cancelled or has just lost a rack are undone before the VMs reboot.
        waves = await self.waves.step(budgets)
        await self.lifecycle.advance_all()
        await self.maintenance.step(waves)
        await self.repairs.step()
        await self.buffers.step(budgets)
