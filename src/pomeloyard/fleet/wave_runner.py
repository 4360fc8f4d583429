"""Run maintenance waves: start, pause, resume and cancel them, and drain VMs."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, replace
from datetime import datetime, timedelta

import logbook

from ..decisions import Candidate, Decision, DecisionKind, DecisionLog
from ..errors import RefusedError
from ..keyvalue import layout
from ..keyvalue.records import (
    Change,
    ConflictError,
    Versioned,
    commit_changes,
    decode_record,
    read_record,
)
from ..keyvalue.store import scan_all
from ..outcomes import RefusalReason, Refused
from ..vm_platform.directory import VmRole
from .budgets import BudgetRecord, exhausted_by_losses
from .operations import VmOperations
from .records import FleetRecords
from .vm_steps import UNDOABLE
from .vms import Cause, VmRecord, VmState
from .waves import (
    PoolHeadroom,
    Progress,
    WaveCause,
    WaveKind,
    WaveRecord,
    WaveState,
    change_wave,
    correlated_failure,
    plan_drains,
    progress_of,
)

MAX_ENDED_WAVES = 50
"""Number of ended waves whose records are kept."""

HELD_TIMEOUT = timedelta(minutes=30)
"""How long a wave waits for VMs that are out of service for another reason."""

MAX_CANDIDATES = 20
"""Maximum number of candidates that one decision lists."""

CONTROLLER = "controller"

log = logbook.Logger("pomeloyard.fleet.waves")


@dataclass(frozen=True, slots=True)
class WaveStatus:
    """A wave with its progress."""

    wave: WaveRecord
    vms_by_progress: dict[str, int]
    in_progress: tuple[str, ...]
    set_aside: tuple[str, ...]


class WaveRunner:
    """Changes wave records and drains their VMs within the budgets."""

    def __init__(
        self, records: FleetRecords, operations: VmOperations, decisions: DecisionLog
    ) -> None:
        self._records = records
        self._operations = operations
        self._decisions = decisions

    async def waves(self) -> dict[str, Versioned[WaveRecord]]:
        """Return all wave records by ID."""
        page = await scan_all(self._records.store, layout.WAVES)
        waves = [decode_record(entry, WaveRecord) for entry in page.entries]
        return {wave.value.wave_id: wave for wave in waves}

    async def start(
        self,
        scope: str,
        kind: WaveKind,
        by: str,
        cause: WaveCause = WaveCause.OPERATOR,
        targets: tuple[str, ...] = (),
    ) -> WaveRecord:
        """Start a wave over "pool/<name>", "service/<name>" or "all".

        Raises RefusedError with a conflict while a wave of the same scope has not
        ended; if two operators start one concurrently, one receives a conflict.
        """
        now = self._records.clock.now()
        waves = [w.value for w in (await self.waves()).values()]
        same = [wave for wave in waves if wave.scope == scope]
        for wave in same:
            if not wave.is_final():
                detail = f"wave {wave.wave_id} over {scope} is {wave.state.value}"
                raise RefusedError(Refused(RefusalReason.CONFLICT, detail))
        number = 1 + max((_number(wave.wave_id) for wave in same), default=0)
        wave = WaveRecord(
            wave_id=f"{scope.replace('/', '-')}-{number}",
            kind=kind,
            targets=targets or self._targets(scope),
            started_at=now,
            scope=scope,
        ).with_step(now, WaveState.RUNNING, cause, by)
        key = layout.WAVES + wave.wave_id
        await commit_changes(self._records.store, [Change(key, wave, None)])
        self._record_decision(wave, "start", cause)
        return wave

    async def change(self, wave_id: str, state: WaveState, by: str) -> WaveRecord:
        """Pause, resume (RUNNING) or cancel a wave for an operator."""
        current = await self._read(wave_id)
        now = self._records.clock.now()
        wave = change_wave(current.value, now, state, by)
        await self._write(current, wave)
        self._record_decision(wave, state.value, WaveCause.OPERATOR)
        return wave

    async def status(self, wave_id: str) -> WaveStatus:
        """Return a wave and its progress."""
        return self.status_of((await self._read(wave_id)).value)

    def status_of(self, wave: WaveRecord) -> WaveStatus:
        """Return a wave with its progress according to the VM records."""
        by_progress = self._by_progress(wave)
        return WaveStatus(
            wave,
            {progress.value: len(vms) for progress, vms in by_progress.items()},
            tuple(vm.name for vm in by_progress[Progress.IN_PROGRESS]),
            tuple(vm.name for vm in by_progress[Progress.SET_ASIDE]),
        )

    async def step(
        self, budgets: Mapping[str, Versioned[BudgetRecord]]
    ) -> list[WaveRecord]:
        """Advance all waves once and return them as they were read."""
        waves = await self.waves()
        headroom, held = self.headroom_by_pool(budgets)
        states = {wave_id: wave.value.state for wave_id, wave in waves.items()}
        for wave_id, current in waves.items():
            if current.value.state is WaveState.RUNNING:
                try:
                    states[wave_id] = await self._advance(current, headroom, held)
                except (ConflictError, RefusedError) as error:
                    log.info("wave {} not advanced: {}", current.value.wave_id, error)
        await self._undo_drains(states, held)
        await self._delete_old(waves)
        return [wave.value for wave in waves.values()]

    def headroom_by_pool(
        self, budgets: Mapping[str, Versioned[BudgetRecord]]
    ) -> tuple[dict[str, PoolHeadroom], set[str]]:
        """Return the headroom of pools, and pools exhausted by unplanned losses."""
        config = self._records.state.config
        headroom: dict[str, PoolHeadroom] = {}
        held: set[str] = set()
        for service in self._records.services_of(*config.pools_by_name):
            stored = budgets.get(service.name)
            if stored is None:
                continue
            room = self._records.headroom(service, stored.value)
            unavailable = self._records.unavailable(stored.value.members_by_vm)
            headroom.setdefault(service.pool, PoolHeadroom()).by_service[
                service.name
            ] = room
            if exhausted_by_losses(stored.value, room, unavailable) is not None:
                held.add(service.pool)
        return headroom, held

    async def _advance(
        self,
        current: Versioned[WaveRecord],
        headroom: Mapping[str, PoolHeadroom],
        held: set[str],
    ) -> WaveState:
        """Take a wave's next step and return its new state."""
        now = self._records.clock.now()
        by_progress = self._by_progress(current.value)
        changed = self._stop_on_failures(current.value, now)
        if changed is None:
            changed = self._update_held_pools(current.value, now, held)
        if changed is None and self._is_finished(by_progress, now):
            changed = self._finish(current.value, by_progress, now)
        if changed is not None:
            await self._write(current, changed)
            self._record_decision(
                changed, changed.state.value, changed.reasons[-1].cause
            )
            if changed.state is not WaveState.RUNNING:
                return changed.state
        waiting = [vm for vm in by_progress[Progress.WAITING] if vm.pool not in held]
        in_progress = by_progress[Progress.IN_PROGRESS]
        chosen = plan_drains(waiting, in_progress, headroom)
        if chosen:
            self._record_drain_decision(current.value, waiting, chosen)
        for vm in chosen:
            await self._drain(current.value, vm)
        return WaveState.RUNNING

    async def _drain(self, wave: WaveRecord, vm: VmRecord) -> None:
        try:
            await self._operations.drain(
                vm.name,
                CONTROLLER,
                plan=wave.plan,
                cause=Cause.WAVE,
                # Two controllers that act on the same record use the same ID.
                operation=f"{wave.wave_id}.{vm.name}.{vm.epoch}",
                wave=wave.wave_id,
            )
        except (ConflictError, RefusedError) as error:
            log.info("wave {}: VM {} not drained: {}", wave.wave_id, vm.name, error)

    def _stop_on_failures(self, wave: WaveRecord, now: datetime) -> WaveRecord | None:
        """Return the stopped wave if VMs of one failure domain failed together."""
        vms = self._records.state.vm_records_by_name
        pools = {vms[name].pool for name in wave.targets if name in vms}
        failure = correlated_failure(
            wave, [vm for vm in vms.values() if vm.pool in pools], now
        )
        if failure is None:
            return None
        detail = f"{failure.domain}: {', '.join(failure.vms)}"
        return wave.with_step(now, WaveState.STOPPED, failure.cause, detail=detail)

    def _update_held_pools(
        self, wave: WaveRecord, now: datetime, held: set[str]
    ) -> WaveRecord | None:
        """Return the wave with its new held pools if these have changed."""
        vms = self._records.state.vm_records_by_name
        pools = {vms[name].pool for name in wave.targets if name in vms}
        held_pools = tuple(sorted(pools & held))
        if held_pools == wave.held_pools:
            return None
        cause = WaveCause.BUDGET_USED_UP if held_pools else WaveCause.LOSS_OVER
        changed = wave.with_step(now, wave.state, cause, detail=", ".join(held_pools))
        return replace(changed, held_pools=held_pools)

    def _is_finished(
        self, by_progress: Mapping[Progress, list[VmRecord]], now: datetime
    ) -> bool:
        if by_progress[Progress.WAITING] or by_progress[Progress.IN_PROGRESS]:
            return False
        return all(
            vm.since is not None and now - vm.since >= HELD_TIMEOUT
            for vm in by_progress[Progress.HELD]
        )

    def _finish(
        self,
        wave: WaveRecord,
        by_progress: Mapping[Progress, list[VmRecord]],
        now: datetime,
    ) -> WaveRecord:
        left = [*by_progress[Progress.SET_ASIDE], *by_progress[Progress.HELD]]
        skipped = tuple(sorted(vm.name for vm in left))
        detail = f"{len(wave.targets) - len(skipped)} of {len(wave.targets)} VMs"
        done = wave.with_step(now, WaveState.DONE, WaveCause.ALL_DONE, detail=detail)
        return replace(done, skipped=skipped, ended_at=now)

    async def _undo_drains(
        self, states: Mapping[str, WaveState], held: set[str]
    ) -> None:
        """Undo drains of waves that may not continue, for VMs not yet rebooted."""
        for vm in list(self._records.state.vm_records_by_name.values()):
            if not vm.wave or vm.state not in UNDOABLE:
                continue
            state = states.get(vm.wave, WaveState.CANCELLED)
            cancelled = state is WaveState.CANCELLED
            if not cancelled and state is not WaveState.STOPPED and vm.pool not in held:
                continue
            cause = Cause.WAVE_CANCELLED if cancelled else Cause.WAVE_STOPPED
            try:
                await self._operations.undo_drain(vm.name, vm.wave, cause)
            except (ConflictError, RefusedError) as error:
                log.info("drain of VM {} not undone: {}", vm.name, error)

    async def _delete_old(self, waves: Mapping[str, Versioned[WaveRecord]]) -> None:
        ended = [w for w in waves.values() if w.value.ended_at is not None]
        ended.sort(key=lambda w: (w.value.ended_at, w.key))
        for wave in ended[:-MAX_ENDED_WAVES]:
            change = Change(wave.key, None, wave)
            await commit_changes(self._records.store, [change])

    def _targets(self, scope: str) -> tuple[str, ...]:
        config = self._records.state.config
        kind, _, name = scope.partition("/")
        pool = name
        if kind == "service" and name in config.services_by_name:
            pool = config.services_by_name[name].pool
        elif scope != "all" and (kind != "pool" or name not in config.pools_by_name):
            raise RefusedError(Refused(RefusalReason.NOT_FOUND, scope))
        return tuple(
            sorted(
                vm.name
                for vm in self._records.state.vm_records_by_name.values()
                if vm.role is not VmRole.ENTRY
                and vm.state is not VmState.SET_ASIDE
                and (scope == "all" or vm.pool == pool)
            )
        )

    def _by_progress(self, wave: WaveRecord) -> dict[Progress, list[VmRecord]]:
        """Return the wave's VMs by progress, without those that have no record."""
        vms = self._records.state.vm_records_by_name
        by_progress: dict[Progress, list[VmRecord]] = {p: [] for p in Progress}
        for name in wave.targets:
            vm = vms.get(name)
            if vm is not None:
                by_progress[progress_of(wave, vm)].append(vm)
        return by_progress

    async def _read(self, wave_id: str) -> Versioned[WaveRecord]:
        key = layout.WAVES + wave_id
        current = await read_record(self._records.store, key, WaveRecord)
        if current is None:
            raise RefusedError(Refused(RefusalReason.NOT_FOUND, f"wave {wave_id}"))
        return current

    async def _write(self, current: Versioned[WaveRecord], wave: WaveRecord) -> None:
        change = Change(current.key, wave, current)
        await commit_changes(self._records.store, [change])

    def _record_drain_decision(
        self, wave: WaveRecord, waiting: list[VmRecord], chosen: list[VmRecord]
    ) -> None:
        """Record which VMs are drained now and some of those that must wait."""
        names = {vm.name for vm in chosen}
        left = [vm for vm in waiting if vm.name not in names]
        candidates = [Candidate(vm.name, WaveCause.CHOSEN) for vm in chosen]
        candidates += [Candidate(vm.name, WaveCause.BUDGET) for vm in left]
        self._decisions.record(
            Decision(
                self._records.clock.now(),
                DecisionKind.WAVE,
                f"wave/{wave.wave_id}",
                f"drain {len(chosen)}",
                WaveCause.CHOSEN,
                tuple(candidates[:MAX_CANDIDATES]),
                {"waiting": len(left), "chosen": len(chosen)},
            )
        )

    def _record_decision(self, wave: WaveRecord, choice: str, cause: WaveCause) -> None:
        by_progress = self.status_of(wave).vms_by_progress
        candidates = tuple(Candidate(pool, cause) for pool in wave.held_pools)
        self._decisions.record(
            Decision(
                self._records.clock.now(),
                DecisionKind.WAVE,
                f"wave/{wave.wave_id}",
                choice,
                cause,
                candidates,
                inputs=dict(Counter(by_progress)),
            )
        )


def _number(wave_id: str) -> int:
    return int(wave_id.rsplit("-", 1)[1])
