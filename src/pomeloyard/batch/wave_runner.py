"""Carries out waves: the upkeep of VMs within what may be away."""

from __future__ import annotations

from collections.abc import Callable, Coroutine, Sequence
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any, Protocol

import msgspec

from ..clock import Clock
from .availability import Availability
from .decisions import DecisionLines
from .follow import OperatorFollower
from .guarded_records import GuardedRecords
from .link import ExecutorLink, Phase, PlacedRun
from .model import Wave
from .policy import Policy
from .progress import StepRun
from .spread import may_run
from .upkeep import UpkeepCandidate, wanted_at_once
from .usage import Usage
from .vm_listing import VmListing
from .vm_orders import VmOrders
from .vms import PoolVm, VmAnswer, VmService, VmState

WAVES = "b/waves/"
TIME_AROUND_UPKEEP = timedelta(seconds=1.5)
"""Of a VM that is not emptied first: noticing that it is back, its new start."""


class WaveRecord(msgspec.Struct, array_like=True):
    """What is durable of a wave: written before an order, and after its answer."""

    begun: set[str] = set()
    answered: set[str] = set()
    completed: bool = False


class WaveStatus(Protocol):
    """Where operators read how far a wave is."""

    def wave_status(self, wave_id: int, completed: bool) -> tuple[str, bytes]:
        """Return key and content."""
        ...


class WaveYard(Protocol):
    """What waves need of the placing term."""

    links_by_id: dict[str, ExecutorLink]
    availability: Availability
    policy: Policy
    usage: Usage

    def short_work(self, link: ExecutorLink) -> float:
        """Return the unsaved work of short tasks on an executor, in core-seconds."""
        ...

    def end_term(self, reason: str) -> None:
        """Give the role up."""
        ...

    def spawn(
        self,
        link: ExecutorLink | None,
        work: Callable[..., Coroutine[Any, Any, None]],
        *args: object,
    ) -> None:
        """Run a coroutine function in the background of the term."""
        ...


def _lasting_by_step(link: ExecutorLink) -> dict[str, list[PlacedRun]]:
    """Return an executor's runs of lasting tasks by the names of their steps."""
    runs: dict[str, list[PlacedRun]] = {}
    for placed in link.runs_by_name.values():
        if placed.task.step.spec.lasting:
            runs.setdefault(placed.task.step.name, []).append(placed)
    return runs


def _exceeds_away(runs: Sequence[PlacedRun]) -> bool:
    """Tell whether some runs of one step are more than may be away at once."""
    return len(runs) > max(1, runs[0].task.step.spec.may_be_away)


@dataclass
class WaveWork:
    """A wave at work."""

    wave: Wave
    deadline: timedelta
    record: WaveRecord = field(default_factory=WaveRecord)
    loaded: bool = False
    status_told: str = ""


class WaveRunner:
    """Begins upkeeps and keeps the record of each wave."""

    def __init__(
        self,
        clock: Clock,
        records: GuardedRecords,
        follower: OperatorFollower,
        service: VmService,
        status: WaveStatus,
        lines: DecisionLines,
        yard: WaveYard,
        listing: VmListing,
        orders: VmOrders,
        holder: str,
        epoch: int,
        upkeep_time: timedelta,
    ) -> None:
        self._clock = clock
        self._records = records
        self._follower = follower
        self._service = service
        self._status = status
        self._lines = lines
        self._yard = yard
        self._listing = listing
        self._orders = orders
        self._holder = holder
        self._epoch = epoch
        self._upkeep_time = upkeep_time
        self._waves: dict[int, WaveWork] = {}
        self.reserved_at: dict[str, timedelta] = {}
        """Since when VMs are being emptied for their upkeep."""

    async def advance(
        self, wave: Wave, waiting: dict[str, float], now: timedelta
    ) -> None:
        """Begin what a wave needs now; ``waiting`` is the work waiting by pool."""
        work = self._waves.get(wave.wave_id)
        if work is None:
            seen_at = self._follower.wave_seen_at_by_id[wave.wave_id]
            work = WaveWork(wave, seen_at + wave.complete_by)
            self._waves[wave.wave_id] = work
        if not work.loaded:
            await self._load_wave(work)
        if work.record.completed:
            return
        left = [
            name
            for name in wave.vms
            if name not in work.record.answered and not self._listing.is_gone(name)
        ]
        if not left:
            await self._complete(work)
            return
        await self._tell_status(work, completed=False)
        down = [name for name in wave.vms if self._is_down(name)]
        listed = [name for name in left if name in self._listing.vms_by_name]
        unanswered = [
            name
            for name in listed
            if name in work.record.begun and name not in self._orders.by_vm
        ]
        for name in unanswered:
            # An earlier term may have ordered it; the order is repeated first, as it
            # may still be carried out, and the VM counts as down until it is.
            if len(down) < wave.max_at_once:
                if self._orders.may_order(name):
                    self._begin(work, self._listing.vms_by_name[name])
                down.append(name)
        time_left = work.deadline - now
        wanted = wanted_at_once(wave, len(left), time_left, self._upkeep_time)
        slots = min(wave.max_at_once, wanted) - len(down)
        candidates = [
            self._candidate(self._listing.vms_by_name[name], waiting, now)
            for name in listed
            if self._orders.may_order(name)
            and name not in unanswered
            and self._listing.vms_by_name[name].state is VmState.UP
        ]
        cycles = -(-len(left) // max(1, wave.max_at_once))
        needed = cycles * (self._upkeep_time + TIME_AROUND_UPKEEP)
        choice = self._yard.policy.choose_upkeeps(candidates, slots, time_left, needed)
        for name in choice.begin[: max(0, slots)]:
            # Each VM that begins changes what may be away for the next one.
            vm = self._listing.vms_by_name[name]
            link = self._listing.link_of(vm)
            if link is None or self._yard.availability.may_end_all(link):
                self._begin(work, vm)
        self._reserve(work, {*choice.begin, *choice.empty}, now)
        for name in wave.vms:
            link = self._listing.link_of(self._listing.vms_by_name.get(name))
            if link is not None:
                link.separating = name in choice.separate
                if link.separating:
                    self._separate(link)

    def _is_down(self, name: str) -> bool:
        """Tell whether a VM may be down for its upkeep; a move is none."""
        operation = self._orders.by_vm.get(name)
        if operation is not None:
            return operation.kind == "upkeep"
        vm = self._listing.vms_by_name.get(name)
        if vm is None:
            return not self._listing.is_gone(name)
        return vm.state is VmState.IN_UPKEEP

    def _candidate(
        self, vm: PoolVm, waiting: dict[str, float], now: timedelta
    ) -> UpkeepCandidate:
        link = self._listing.link_of(vm)
        lasting = _lasting_by_step(link) if link is not None else {}
        reserved_at = self.reserved_at.get(vm.name)
        return UpkeepCandidate(
            vm=vm.name,
            pool=vm.pool,
            short_work=self._yard.short_work(link) if link else 0.0,
            may_go=link is None or self._yard.availability.may_end_all(link),
            pool_waits=waiting.get(vm.pool, 0.0) > 0,
            reserved_for=None if reserved_at is None else now - reserved_at,
            crowded=any(_exceeds_away(runs) for runs in lasting.values()),
            separating=link is not None and link.separating,
            lasting_tasks=sum(map(len, lasting.values())),
        )

    def _separate(self, link: ExecutorLink) -> None:
        """Stop one of several tasks of a step, so that its VM may go later.

        The task starts again on another one, as this one is being separated.
        """
        for runs in _lasting_by_step(link).values():
            step = runs[0].task.step
            at_work = all(
                run.phase is Phase.RUNNING and run.percent >= 100 for run in runs
            )
            if not at_work or not _exceeds_away(runs):
                continue
            if self._has_room_elsewhere(step, link) and link.stop(runs[-1]):
                self._lines.decided(
                    "upkeep", link.executor.executor_id, "separated", step=step.name
                )
                return

    def _has_room_elsewhere(self, step: StepRun, link: ExecutorLink) -> bool:
        return any(
            other.usable
            and other.executor.service == link.executor.service
            and may_run(other, step, self._yard.usage)
            for other in self._yard.links_by_id.values()
            if other is not link
        )

    def _reserve(self, work: WaveWork, names: set[str], now: timedelta) -> None:
        """Give the VMs that are being emptied no new tasks."""
        for name in work.wave.vms:
            vm = self._listing.vms_by_name.get(name)
            link = self._yard.links_by_id.get(vm.executor_id) if vm else None
            if link is not None:
                link.due = name not in work.record.answered
            if name in names:
                self.reserved_at.setdefault(name, now)
            else:
                self.reserved_at.pop(name, None)
            if link is not None:
                link.reserved = name in names

    def _begin(self, work: WaveWork, vm: PoolVm) -> None:
        fresh = vm.name not in work.record.begun
        wave_id = str(work.wave.wave_id)
        self._orders.begin(vm, "upkeep", wave_id, self._upkeep_time, repeated=not fresh)
        self._yard.spawn(None, self._maintain, work, vm, fresh)

    async def _maintain(self, work: WaveWork, vm: PoolVm, fresh: bool) -> None:
        """Order the upkeep of a VM until it is answered."""
        wave_id = work.wave.wave_id
        work.record.begun.add(vm.name)
        if fresh and not await self._store_wave(work):
            self._orders.abandon(vm)
            return
        self._lines.decided(
            "upkeep", vm.name, "ordered", wave=wave_id, executor=vm.executor_id
        )
        answer = await self._orders.repeat(
            vm,
            lambda: self._service.maintain(vm.name, wave_id, self._holder, self._epoch),
        )
        if answer is None:
            return
        if answer in (VmAnswer.BUSY, VmAnswer.THROTTLED, VmAnswer.HELD_BACK):
            self._lines.decided("upkeep", vm.name, answer.value, wave=wave_id)
            if answer is VmAnswer.HELD_BACK:
                work.record.begun.discard(vm.name)
            self._orders.abandon(vm)
            return
        work.record.answered.add(vm.name)
        if answer is VmAnswer.DONE:
            self._orders.answered(vm)
            if fresh:
                self._orders.end_runs(vm, "upkeep began")
        else:
            self._lines.decided("upkeep", vm.name, answer.value, wave=wave_id)
            self._orders.abandon(vm)
        await self._store_wave(work)

    async def _complete(self, work: WaveWork) -> None:
        work.record.completed = True
        if await self._store_wave(work):
            await self._tell_status(work, completed=True)
            self._lines.decided("wave", str(work.wave.wave_id), "completed")
        else:
            work.record.completed = False

    async def _load_wave(self, work: WaveWork) -> None:
        entry = await self._records.read(f"{WAVES}{work.wave.wave_id}")
        if entry is not None:
            work.record = msgspec.msgpack.decode(entry.value, type=WaveRecord)
        work.loaded = True

    async def _store_wave(self, work: WaveWork) -> bool:
        """Store a wave's record; False when the term is over."""
        key = f"{WAVES}{work.wave.wave_id}"
        return await self._put(key, lambda: msgspec.msgpack.encode(work.record))

    async def _put(self, key: str, pack: Callable[[], bytes]) -> bool:
        stored = await self._records.write_latest(key, pack)
        if not stored:
            self._yard.end_term(f"{key}: the epoch was replaced")
        return stored

    async def _tell_status(self, work: WaveWork, completed: bool) -> None:
        told = "completed" if completed else "running"
        if work.status_told == told:
            return
        key, content = self._status.wave_status(work.wave.wave_id, completed)
        if await self._put(key, lambda: content):
            work.status_told = told
