"""Runs maintenance waves: rolling maintenance of VMs within the disruption budgets."""

from __future__ import annotations

from collections.abc import Callable, Coroutine, Sequence
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any, Protocol

import msgspec

from ..clock import Clock
from .configuration_follower import ConfigurationFollower
from .decision_log import JobDecisionLog
from .disruption import DisruptionBudgets
from .executor_choice import can_place
from .executor_link import ExecutorLink
from .fenced_records import FencedRecords
from .maintenance import MaintenanceCandidate, target_concurrency
from .model import Wave
from .placed_run import Phase, PlacedRun
from .policy import Policy
from .progress import StepRun
from .usage import Usage
from .vm_listing import VmListing
from .vm_orders import VmOrders
from .vms import PoolVm, VmAnswer, VmService, VmState

WAVES = "b/waves/"
MAINTENANCE_OVERHEAD = timedelta(seconds=1.5)
"""Time beyond the maintenance of a VM that is not drained first: the restart of its
executor and the time until it is noticed."""


class WaveRecord(msgspec.Struct, array_like=True):
    """Stored progress of a wave, written before each request and after its answer."""

    begun: set[str] = set()
    answered: set[str] = set()
    completed: bool = False


class WaveStatus(Protocol):
    """Formats the status document of a wave for its operators."""

    def wave_status(self, wave_id: int, completed: bool) -> tuple[str, bytes]:
        """Return the key and the content of the document."""
        ...


class WaveTerm(Protocol):
    """The parts of a placing term that waves use."""

    links_by_id: dict[str, ExecutorLink]
    disruption_budgets: DisruptionBudgets
    policy: Policy
    usage: Usage

    def unsaved_short_work(self, link: ExecutorLink) -> float:
        """Return the unsaved work of short tasks on an executor, in core-seconds."""
        ...

    def end_term(self, reason: str) -> None:
        """End the term and release its role."""
        ...

    def spawn(
        self,
        link: ExecutorLink | None,
        work: Callable[..., Coroutine[Any, Any, None]],
        *args: object,
    ) -> None:
        """Run a coroutine function in the background of the term."""
        ...


def _lasting_runs_by_step(link: ExecutorLink) -> dict[str, list[PlacedRun]]:
    """Return an executor's runs of lasting tasks by the names of their steps."""
    runs: dict[str, list[PlacedRun]] = {}
    for placed in link.runs_by_name.values():
        if placed.task.step.spec.lasting:
            runs.setdefault(placed.task.step.name, []).append(placed)
    return runs


def _exceeds_disruption_budget(runs: Sequence[PlacedRun]) -> bool:
    """Tell whether runs of one step are more than may be unavailable at once."""
    return len(runs) > max(1, runs[0].task.step.spec.may_be_away)


@dataclass
class ActiveWave:
    """A wave in progress."""

    wave: Wave
    deadline: timedelta
    record: WaveRecord = field(default_factory=WaveRecord)
    loaded: bool = False
    reported_status: str = ""


class WaveRunner:
    """Requests the maintenance of VMs and stores the progress of each wave."""

    def __init__(
        self,
        clock: Clock,
        records: FencedRecords,
        follower: ConfigurationFollower,
        service: VmService,
        status: WaveStatus,
        decision_log: JobDecisionLog,
        term: WaveTerm,
        listing: VmListing,
        orders: VmOrders,
        holder: str,
        epoch: int,
        maintenance_time: timedelta,
    ) -> None:
        self._clock = clock
        self._records = records
        self._follower = follower
        self._service = service
        self._status = status
        self._decision_log = decision_log
        self._term = term
        self._listing = listing
        self._orders = orders
        self._holder = holder
        self._epoch = epoch
        self._maintenance_time = maintenance_time
        self._waves: dict[int, ActiveWave] = {}
        self.cordoned_at: dict[str, timedelta] = {}
        """Time since when a VM is drained for its maintenance, by VM."""

    async def advance(
        self, wave: Wave, waiting: dict[str, float], now: timedelta
    ) -> None:
        """Advance a wave by what is due; ``waiting`` is the backlog by pool."""
        active = self._waves.get(wave.wave_id)
        if active is None:
            seen_at = self._follower.wave_received_at_by_id[wave.wave_id]
            active = ActiveWave(wave, seen_at + wave.complete_by)
            self._waves[wave.wave_id] = active
        if not active.loaded:
            await self._load_wave(active)
        if active.record.completed:
            return
        remaining = [
            name
            for name in wave.vms
            if name not in active.record.answered and not self._listing.is_gone(name)
        ]
        if not remaining:
            await self._complete(active)
            return
        await self._report_status(active, completed=False)
        down = [name for name in wave.vms if self._is_down(name)]
        listed = [name for name in remaining if name in self._listing.vms_by_name]
        unanswered = [
            name
            for name in listed
            if name in active.record.begun and name not in self._orders.by_vm
        ]
        for name in unanswered:
            # An earlier term may have requested it. The request is repeated first, as
            # the earlier one may still be carried out; the VM counts as down until
            # then.
            if len(down) < wave.max_at_once:
                if self._orders.may_order(name):
                    self._begin_maintenance(active, self._listing.vms_by_name[name])
                down.append(name)
        time_left = active.deadline - now
        wanted = target_concurrency(
            wave, len(remaining), time_left, self._maintenance_time
        )
        slots = min(wave.max_at_once, wanted) - len(down)
        candidates = [
            self._candidate(self._listing.vms_by_name[name], waiting, now)
            for name in listed
            if self._orders.may_order(name)
            and name not in unanswered
            and self._listing.vms_by_name[name].state is VmState.UP
        ]
        batches = -(-len(remaining) // max(1, wave.max_at_once))
        time_needed = batches * (self._maintenance_time + MAINTENANCE_OVERHEAD)
        choice = self._term.policy.choose_maintenance(
            candidates, slots, time_left, time_needed
        )
        for name in choice.maintain[: max(0, slots)]:
            # Each VM that goes down leaves less disruption budget for the next ones.
            vm = self._listing.vms_by_name[name]
            links = self._listing.links_on(vm)
            if self._term.disruption_budgets.may_disrupt_all(*links):
                self._begin_maintenance(active, vm)
        self._cordon(active, {*choice.maintain, *choice.drain}, now)
        for name in wave.vms:
            link = self._listing.link_of(self._listing.vms_by_name.get(name))
            if link is not None:
                link.spreading_tasks = name in choice.spread
                if link.spreading_tasks:
                    self._spread_tasks(link)

    def _is_down(self, name: str) -> bool:
        """Tell whether a VM may be down for maintenance; a move does not count."""
        operation = self._orders.by_vm.get(name)
        if operation is not None:
            return operation.kind == "upkeep"
        vm = self._listing.vms_by_name.get(name)
        if vm is None:
            return not self._listing.is_gone(name)
        return vm.state is VmState.IN_MAINTENANCE

    def _candidate(
        self, vm: PoolVm, waiting: dict[str, float], now: timedelta
    ) -> MaintenanceCandidate:
        link = self._listing.link_of(vm)
        lasting = _lasting_runs_by_step(link) if link is not None else {}
        cordoned_at = self.cordoned_at.get(vm.name)
        return MaintenanceCandidate(
            vm=vm.name,
            pool=vm.pool,
            short_work=self._term.unsaved_short_work(link) if link else 0.0,
            may_be_down=link is None
            or self._term.disruption_budgets.may_disrupt_all(link),
            # A pool with a backlog does not miss a VM of an evacuated zone.
            pool_has_backlog=waiting.get(vm.pool, 0.0) > 0
            and not self._follower.zone_gate.is_evacuated(vm.availability_zone),
            draining_for=None if cordoned_at is None else now - cordoned_at,
            exceeds_disruption_budget=any(
                _exceeds_disruption_budget(runs) for runs in lasting.values()
            ),
            spreading_tasks=link is not None and link.spreading_tasks,
            lasting_tasks=sum(map(len, lasting.values())),
        )

    def _spread_tasks(self, link: ExecutorLink) -> None:
        """Stop one of several tasks of a step that share a VM.

        The task restarts on another VM, as this one spreads its tasks. The VM can
        go down once the tasks left on it fit into the disruption budget of their step.
        """
        for runs in _lasting_runs_by_step(link).values():
            step = runs[0].task.step
            at_work = all(
                run.phase is Phase.RUNNING and run.percent >= 100 for run in runs
            )
            if not at_work or not _exceeds_disruption_budget(runs):
                continue
            if self._has_room_elsewhere(step, link) and link.stop(runs[-1]):
                self._decision_log.record(
                    "upkeep", link.executor.executor_id, "separated", step=step.name
                )
                return

    def _has_room_elsewhere(self, step: StepRun, link: ExecutorLink) -> bool:
        return any(
            other.usable
            and other.executor.service == link.executor.service
            and can_place(other, step, self._term.usage)
            for other in self._term.links_by_id.values()
            if other is not link
        )

    def _cordon(self, active: ActiveWave, names: set[str], now: timedelta) -> None:
        """Cordon the VMs that are being drained."""
        for name in active.wave.vms:
            vm = self._listing.vms_by_name.get(name)
            link = self._term.links_by_id.get(vm.executor_id) if vm else None
            if link is not None:
                link.needs_maintenance = name not in active.record.answered
            if name in names:
                self.cordoned_at.setdefault(name, now)
            else:
                self.cordoned_at.pop(name, None)
            if link is not None:
                link.cordoned_for_maintenance = name in names

    def _begin_maintenance(self, active: ActiveWave, vm: PoolVm) -> None:
        first_order = vm.name not in active.record.begun
        wave_id = str(active.wave.wave_id)
        self._orders.begin(
            vm, "upkeep", wave_id, self._maintenance_time, repeated=not first_order
        )
        self._term.spawn(None, self._order_maintenance, active, vm, first_order)

    async def _order_maintenance(
        self, active: ActiveWave, vm: PoolVm, first_order: bool
    ) -> None:
        """Request the maintenance of a VM until the request is answered."""
        wave_id = active.wave.wave_id
        active.record.begun.add(vm.name)
        if first_order and not await self._store_wave(active):
            self._orders.abandon(vm)
            return
        self._decision_log.record(
            "upkeep", vm.name, "ordered", wave=wave_id, executor=vm.executor_id
        )
        answer = await self._orders.send_until_answered(
            vm,
            lambda: self._service.maintain(vm.name, wave_id, self._holder, self._epoch),
        )
        if answer is None:
            return
        if answer in (VmAnswer.BUSY, VmAnswer.THROTTLED, VmAnswer.HELD_BACK):
            self._decision_log.record("upkeep", vm.name, answer.value, wave=wave_id)
            if answer is VmAnswer.HELD_BACK:
                active.record.begun.discard(vm.name)
            self._orders.abandon(vm)
            return
        active.record.answered.add(vm.name)
        if answer is VmAnswer.DONE:
            self._orders.mark_done(vm)
            if first_order:
                self._orders.end_runs(vm, "upkeep began")
        else:
            self._decision_log.record("upkeep", vm.name, answer.value, wave=wave_id)
            self._orders.abandon(vm)
        await self._store_wave(active)

    async def _complete(self, active: ActiveWave) -> None:
        active.record.completed = True
        if await self._store_wave(active):
            await self._report_status(active, completed=True)
            self._decision_log.record("wave", str(active.wave.wave_id), "completed")
        else:
            active.record.completed = False

    async def _load_wave(self, active: ActiveWave) -> None:
        entry = await self._records.read(f"{WAVES}{active.wave.wave_id}")
        if entry is not None:
            active.record = msgspec.msgpack.decode(entry.value, type=WaveRecord)
        active.loaded = True

    async def _store_wave(self, active: ActiveWave) -> bool:
        """Store the progress of a wave; return False if the term is over."""
        key = f"{WAVES}{active.wave.wave_id}"
        return await self._store_record(
            key, lambda: msgspec.msgpack.encode(active.record)
        )

    async def _store_record(self, key: str, pack: Callable[[], bytes]) -> bool:
        stored = await self._records.write_coalesced(key, pack)
        if not stored:
            self._term.end_term(f"{key}: the epoch was replaced")
        return stored

    async def _report_status(self, active: ActiveWave, completed: bool) -> None:
        state = "completed" if completed else "running"
        if active.reported_status == state:
            return
        key, content = self._status.wave_status(active.wave.wave_id, completed)
        if await self._store_record(key, lambda: content):
            active.reported_status = state
