"""Start maintenance waves automatically, spread over the maintenance interval."""

from __future__ import annotations

from collections.abc import Iterable
from datetime import timedelta

from .records import FleetRecords
from .wave_runner import CONTROLLER, WaveRunner
from .waves import WaveCause, WaveKind, WaveRecord, due_pools

MAX_AUTOMATIC_WAVES = 2
"""Maximum number of automatically started waves that are open at a time."""


class MaintenanceSchedule:
    """Starts a wave over each pool whose maintenance is due."""

    def __init__(self, records: FleetRecords, waves: WaveRunner) -> None:
        self._records = records
        self._waves = waves

    async def step(self, waves: Iterable[WaveRecord]) -> None:
        """Start waves over pools that are due and in no open wave."""
        state = self._records.state
        now, interval = self._records.clock.now(), state.config.maintenance.interval
        if interval <= timedelta(0):
            return
        open_waves = [wave for wave in waves if not wave.is_final()]
        busy = self._pools_of(open_waves)
        automatic = sum(
            wave.reasons[0].cause is WaveCause.MAINTENANCE_DUE for wave in open_waves
        )
        for pool, _ in due_pools(state.vm_records_by_name.values(), now, interval):
            if automatic >= MAX_AUTOMATIC_WAVES or pool in busy:
                continue
            await self._waves.start(
                f"pool/{pool}",
                WaveKind.REBOOT,
                CONTROLLER,
                WaveCause.MAINTENANCE_DUE,
                self._targets(pool, interval),
            )
            automatic += 1

    def _pools_of(self, waves: Iterable[WaveRecord]) -> set[str]:
        vms = self._records.state.vm_records_by_name
        return {vms[n].pool for wave in waves for n in wave.targets if n in vms}

    def _targets(self, pool: str, interval: timedelta) -> tuple[str, ...]:
        """Return the VMs of a pool without maintenance in the last half interval."""
        now = self._records.clock.now()
        return tuple(
            sorted(
                vm.name
                for vm in self._records.state.vm_records_by_name.values()
                if vm.pool == pool
                and vm.maintained_at is not None
                and now - vm.maintained_at > interval / 2
            )
        )
