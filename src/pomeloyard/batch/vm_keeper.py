"""Maintains and moves VMs during a term of the placing role."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any, Protocol

import logbook
import msgspec

from ..clock import Clock
from ..errors import (
    CallNotSentError,
    CallUnansweredError,
    StaleFenceError,
    StoreError,
)
from ..keyvalue.store import Compare, Put, Store, Transaction
from .decisions import DecisionLines
from .follow import OperatorFollower
from .link import ExecutorLink, Phase, PlacedRun
from .model import Configuration, Wave
from .pools import Move, PoolLoad, SpareVm, choose_moves
from .progress import StepRun, TaskState
from .turns import Peak
from .upkeep import UpkeepCandidate, choose, wanted_at_once
from .vms import PoolVm, VmAnswer, VmService, VmState

STEP_INTERVAL = timedelta(milliseconds=250)
LIST_INTERVAL = timedelta(milliseconds=500)
"""Between lists; one costs as much as any read, and tells of VMs that went down."""
RETRY_DELAY = timedelta(milliseconds=400)
SILENCE_BEFORE_LISTS = timedelta(seconds=1)
"""How long an executor must be silent before a list without it says that it is gone;
the list lags behind by less than that."""
SILENCE_WHEN_DOWN = timedelta(seconds=0.3)
"""The same when its VM is listed as down."""
LISTS_TO_CONFIRM = 2
ABSENCE_BEFORE_GONE = timedelta(seconds=3)
"""A VM of a wave that no list shows for this long is gone."""
TAKEOVER_SLACK = timedelta(milliseconds=300)
WAVES = "b/waves/"
POOL_SIZES = "b/pool-sizes"
"""How many VMs each pool had when the first term began."""

log = logbook.Logger("pomeloyard.batch.vm_keeper")


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


class Yard(Protocol):
    """What the keeper needs of the placing term."""

    links_by_id: dict[str, ExecutorLink]

    def pool_loads(self) -> dict[str, float]:
        """Return the core-seconds that could run now if there were room, by pool."""
        ...

    def short_work(self, link: ExecutorLink) -> float:
        """Return the unsaved work of short tasks on an executor, in core-seconds."""
        ...

    def lasting_vms(self, pool: str) -> int:
        """Return how many VMs the lasting tasks of a pool need."""
        ...

    def next_peak(self, pool: str) -> Peak | None:
        """Return a pool's present or next peak, if it can be told."""
        ...

    def rests(self, pool: str) -> bool:
        """Tell whether a pool's peak is over and its next one cannot come yet."""
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


@dataclass
class _Operation:
    """An order that may have been sent for a VM."""

    kind: str
    target: str
    executor_id: str
    started_at: timedelta
    duration: timedelta
    answered_at: timedelta | None = None


@dataclass
class _WaveWork:
    wave: Wave
    deadline: timedelta
    record: WaveRecord = field(default_factory=WaveRecord)
    revision: int = 0
    loaded: bool = False
    status_told: str = ""


class VmKeeper:
    """Carries out waves and lends VMs between pools."""

    def __init__(
        self,
        clock: Clock,
        store: Store,
        follower: OperatorFollower,
        service: VmService,
        status: WaveStatus,
        lines: DecisionLines,
        yard: Yard,
        holder: str,
        epoch: int,
        guard: Compare,
        *,
        upkeep_time: timedelta,
        move_time: timedelta,
        takeover_pause: timedelta,
    ) -> None:
        self._clock = clock
        self._store = store
        self._follower = follower
        self._service = service
        self._status = status
        self._lines = lines
        self._yard = yard
        self._holder = holder
        self._epoch = epoch
        self._guard = guard
        self._upkeep_time = upkeep_time
        self._move_time = move_time
        self._takeover_pause = takeover_pause
        self.vms_by_name: dict[str, PoolVm] = {}
        self._listed_at: timedelta | None = None
        self._operations: dict[str, _Operation] = {}
        self._waves: dict[int, _WaveWork] = {}
        self._reserved_at: dict[str, timedelta] = {}
        self._idle_since: dict[str, timedelta] = {}
        self._missing_lists: dict[str, int] = {}
        self._own_vms_by_pool: dict[str, int] | None = None
        self._last_executor_by_vm: dict[str, str] = {}
        self._last_listed_at: dict[str, timedelta] = {}
        self._first_listed_at = timedelta(0)

    async def run(self) -> None:
        """Work until cancelled."""
        begins_at = self._clock.monotonic() + self._takeover_pause + TAKEOVER_SLACK
        while True:
            now = self._clock.monotonic()
            try:
                if self._list_due(now):
                    await self._read_list()
                if self._listed_at is not None and now >= begins_at:
                    await self._step(now)
            except StaleFenceError as error:
                self._yard.end_term(str(error))
                return
            except (CallNotSentError, CallUnansweredError, StoreError) as error:
                log.info("VMs are not kept for now: {}", error)
                await self._clock.sleep(RETRY_DELAY)
            await self._clock.sleep(STEP_INTERVAL)

    def _list_due(self, now: timedelta) -> bool:
        if self._listed_at is None:
            return True
        return now - self._listed_at >= LIST_INTERVAL

    async def _read_list(self) -> None:
        asked_at = self._clock.monotonic()
        vms = await self._service.list()
        if self._listed_at is None:
            self._first_listed_at = asked_at
            pools: dict[str, int] = {}
            for vm in vms:
                place = f"{vm.pool}/{vm.state.value}"
                pools[place] = pools.get(place, 0) + 1
            log.info("VMs by pool and state: {}", pools)
        self.vms_by_name = {vm.name: vm for vm in vms}
        self._listed_at = asked_at
        for vm in vms:
            self._last_listed_at[vm.name] = asked_at
            if vm.executor_id:
                self._last_executor_by_vm[vm.name] = vm.executor_id
        self._finish_operations(asked_at)
        self._confirm_gone(asked_at)

    def _finish_operations(self, asked_at: timedelta) -> None:
        for name, operation in list(self._operations.items()):
            if operation.answered_at is None:
                continue
            vm = self.vms_by_name.get(name)
            if asked_at < operation.answered_at + operation.duration:
                continue
            renewed = vm is None or (
                vm.state is VmState.UP and vm.executor_id != operation.executor_id
            )
            off = vm is not None and vm.state is VmState.UP and not vm.executor_id
            if renewed or off:
                del self._operations[name]

    def _confirm_gone(self, asked_at: timedelta) -> None:
        """End the runs of silent executors that the platform says are gone."""
        alive = {
            vm.executor_id
            for vm in self.vms_by_name.values()
            if vm.state is VmState.UP and vm.executor_id
        }
        down = {
            self._last_executor_by_vm.get(vm.name, "")
            for vm in self.vms_by_name.values()
            if vm.state is VmState.DOWN
        }
        for executor_id, link in self._yard.links_by_id.items():
            if executor_id in down and link.reachable:
                link.suspect()
            silent_since = link.silent_since
            silence = SILENCE_WHEN_DOWN if executor_id in down else SILENCE_BEFORE_LISTS
            settled = silent_since is not None and asked_at >= silent_since + silence
            if not settled or executor_id in alive or not link.runs_by_name:
                self._missing_lists.pop(executor_id, None)
                continue
            missing = self._missing_lists.get(executor_id, 0) + 1
            self._missing_lists[executor_id] = missing
            if missing >= LISTS_TO_CONFIRM:
                self._lines.decided("executor", executor_id, "gone", lists=missing)
                link.lose_all("the platform lists no such executor")

    async def _step(self, now: timedelta) -> None:
        configuration = self._follower.current
        if configuration is None:
            return
        if self._own_vms_by_pool is None:
            self._own_vms_by_pool = await self._load_pool_sizes()
        waiting = self._yard.pool_loads()
        for wave in list(self._follower.waves_by_id.values()):
            await self._advance_wave(wave, waiting, now)
        self._move_vms(configuration, waiting, now)

    # Waves

    async def _advance_wave(
        self, wave: Wave, waiting: dict[str, float], now: timedelta
    ) -> None:
        work = self._waves.get(wave.wave_id)
        if work is None:
            seen_at = self._follower.wave_seen_at_by_id[wave.wave_id]
            work = _WaveWork(wave, seen_at + wave.complete_by)
            self._waves[wave.wave_id] = work
        if not work.loaded:
            await self._load_wave(work)
        if work.record.completed:
            return
        left = [
            name
            for name in wave.vms
            if name not in work.record.answered and not self._is_gone(name)
        ]
        if not left:
            await self._complete(work)
            return
        await self._tell_status(work, completed=False)
        down = [
            name
            for name in wave.vms
            if name in self._operations
            or (
                vm.state is VmState.IN_UPKEEP
                if (vm := self.vms_by_name.get(name)) is not None
                else not self._is_gone(name)
            )
        ]
        listed = [name for name in left if name in self.vms_by_name]
        unanswered = [
            name
            for name in listed
            if name in work.record.begun and name not in self._operations
        ]
        for name in unanswered:
            # An earlier term may have ordered it; the order is repeated first, as it
            # may still be carried out.
            if len(down) < wave.max_at_once:
                self._begin(work, self.vms_by_name[name], now)
                down.append(name)
        time_left = work.deadline - now
        wanted = wanted_at_once(wave, len(left), time_left, self._upkeep_time)
        slots = min(wave.max_at_once, wanted) - len(down)
        candidates = [
            self._candidate(self.vms_by_name[name], waiting, now)
            for name in listed
            if name not in self._operations
            and name not in unanswered
            and self.vms_by_name[name].state is VmState.UP
        ]
        cycles = -(-len(left) // max(1, wave.max_at_once))
        needed = cycles * (self._upkeep_time + timedelta(seconds=1.5))
        begin, empty = choose(candidates, slots, time_left, needed)
        for name in begin:
            # Each VM that begins changes what may be away for the next one.
            vm = self.vms_by_name[name]
            link = self._yard.links_by_id.get(vm.executor_id)
            if link is None or self._may_go(link):
                self._begin(work, vm, now)
        self._reserve(work, {*empty, *begin}, now)
        if slots > len(begin) + len(empty):
            for candidate in candidates:
                vm = self.vms_by_name[candidate.vm]
                link = self._yard.links_by_id.get(vm.executor_id)
                if not candidate.may_go and link is not None:
                    self._separate(link)

    def _is_gone(self, name: str) -> bool:
        """Tell whether a VM has been missing from the lists for long."""
        if name in self.vms_by_name or self._listed_at is None:
            return False
        last = self._last_listed_at.get(name, self._first_listed_at)
        return self._listed_at - last >= ABSENCE_BEFORE_GONE

    def _candidate(
        self, vm: PoolVm, waiting: dict[str, float], now: timedelta
    ) -> UpkeepCandidate:
        link = self._yard.links_by_id.get(vm.executor_id)
        reserved_at = self._reserved_at.get(vm.name)
        return UpkeepCandidate(
            vm=vm.name,
            short_work=self._yard.short_work(link) if link else 0.0,
            may_go=self._may_go(link) if link else True,
            pool_waits=waiting.get(vm.pool, 0.0) > 0,
            reserved_for=None if reserved_at is None else now - reserved_at,
            has_lasting=link is not None
            and any(
                placed.task.step.spec.lasting for placed in link.runs_by_name.values()
            ),
        )

    def _may_go(self, link: ExecutorLink) -> bool:
        """Tell whether all lasting tasks on an executor may be away now."""
        steps: dict[str, tuple[StepRun, int]] = {}
        for placed in link.runs_by_name.values():
            step = placed.task.step
            if step.spec.lasting and not step.job.final:
                count = steps.get(step.name, (step, 0))[1]
                steps[step.name] = (step, count + 1)
        return all(
            self._away(step, link) + count <= max(1, step.spec.may_be_away)
            for step, count in steps.values()
        )

    def _separate(self, link: ExecutorLink) -> None:
        """Stop one of several tasks of a step, so that its VM may go later.

        The VM is reserved, so the task starts again on another one.
        """
        by_step: dict[str, list[PlacedRun]] = {}
        for placed in link.runs_by_name.values():
            spec = placed.task.step.spec
            if spec.lasting and placed.phase is Phase.RUNNING:
                by_step.setdefault(placed.task.step.name, []).append(placed)
        for together in by_step.values():
            step = together[0].task.step
            limit = max(1, step.spec.may_be_away)
            if len(together) > limit and self._away(step, link) == 0:
                at_work = all(placed.percent >= 100 for placed in together)
                if at_work and self._has_room_elsewhere(step, link):
                    self._lines.decided(
                        "upkeep", link.executor.executor_id, "separated", step=step.name
                    )
                    link.stop(together[-1])
                    return

    def _has_room_elsewhere(self, step: StepRun, link: ExecutorLink) -> bool:
        return any(
            other.usable
            and other.executor.service == link.executor.service
            and not any(r.task.step is step for r in other.runs_by_name.values())
            for other in self._yard.links_by_id.values()
            if other is not link
        )

    def _away(self, step: StepRun, without: ExecutorLink) -> int:
        """Return how many tasks of a step are not at work on other executors."""
        away = 0
        for task in step.tasks:
            if task.executor == without.executor.executor_id:
                continue
            link = self._yard.links_by_id.get(task.executor)
            placed = link.runs_by_name.get(task.name) if link else None
            at_work = (
                task.state is TaskState.PLACED
                and link is not None
                and link.reachable
                and not link.leaving
                and placed is not None
                and placed.phase is Phase.RUNNING
                and placed.percent >= 100
            )
            away += not at_work
        return away

    def _reserve(self, work: _WaveWork, names: set[str], now: timedelta) -> None:
        """Give the VMs that are being emptied no new tasks."""
        for name in work.wave.vms:
            vm = self.vms_by_name.get(name)
            link = self._yard.links_by_id.get(vm.executor_id) if vm else None
            if link is not None:
                link.due = name not in work.record.answered
            if name in names:
                self._reserved_at.setdefault(name, now)
            else:
                self._reserved_at.pop(name, None)
            if link is not None:
                link.reserved = name in names

    def _begin(self, work: _WaveWork, vm: PoolVm, now: timedelta) -> None:
        fresh = vm.name not in work.record.begun
        self._operations[vm.name] = _Operation(
            "upkeep", str(work.wave.wave_id), vm.executor_id, now, self._upkeep_time
        )
        link = self._yard.links_by_id.get(vm.executor_id)
        if link is not None:
            link.leaving = True
        self._yard.spawn(None, self._maintain, work, vm, fresh)

    async def _maintain(self, work: _WaveWork, vm: PoolVm, fresh: bool) -> None:
        """Order the upkeep of a VM until it is answered."""
        wave_id = work.wave.wave_id
        work.record.begun.add(vm.name)
        if fresh and not await self._store_wave(work):
            self._abandon(vm)
            return
        self._lines.decided(
            "upkeep", vm.name, "ordered", wave=wave_id, executor=vm.executor_id
        )
        answer = await self._ordered(
            lambda: self._service.maintain(vm.name, wave_id, self._holder, self._epoch)
        )
        if answer is None:
            return
        if answer in (VmAnswer.BUSY, VmAnswer.THROTTLED):
            self._lines.decided("upkeep", vm.name, answer.value, wave=wave_id)
            self._abandon(vm)
            return
        work.record.answered.add(vm.name)
        if answer is VmAnswer.DONE:
            self._operations[vm.name].answered_at = self._clock.monotonic()
            if fresh:
                self._end_runs(vm, "upkeep began")
        else:
            self._lines.decided("upkeep", vm.name, answer.value, wave=wave_id)
            self._abandon(vm)
        await self._store_wave(work)

    def _end_runs(self, vm: PoolVm, reason: str) -> None:
        """Note that all runs on a VM have ended with its executor."""
        link = self._yard.links_by_id.get(vm.executor_id)
        if link is not None:
            link.lose_all(reason)
            link.registered = False
            link.reachable = False

    def _abandon(self, vm: PoolVm) -> None:
        """Forget an operation that did not take effect."""
        self._operations.pop(vm.name, None)
        link = self._yard.links_by_id.get(vm.executor_id)
        if link is not None:
            link.leaving = False

    async def _ordered(
        self, call: Callable[[], Awaitable[VmAnswer]]
    ) -> VmAnswer | None:
        """Repeat an order until it is answered; None if the term ends.

        Orders are repeated under the same fence; they do nothing when done already.
        """
        while True:
            try:
                return await call()
            except StaleFenceError as error:
                self._yard.end_term(str(error))
                return None
            except CallNotSentError as error:
                log.info("order for a VM was not sent: {}", error)
            except CallUnansweredError as error:
                log.info("order for a VM has no answer: {}", error)
            await self._clock.sleep(RETRY_DELAY)

    async def _complete(self, work: _WaveWork) -> None:
        work.record.completed = True
        if await self._store_wave(work):
            await self._tell_status(work, completed=True)
            self._lines.decided("wave", str(work.wave.wave_id), "completed")
        else:
            work.record.completed = False

    async def _load_wave(self, work: _WaveWork) -> None:
        entry = await self._store.get(f"{WAVES}{work.wave.wave_id}")
        if entry is not None:
            work.record = msgspec.msgpack.decode(entry.value, type=WaveRecord)
        work.loaded = True

    async def _store_wave(self, work: _WaveWork) -> bool:
        """Store a wave's record; the epoch's guard admits only this term."""
        key = f"{WAVES}{work.wave.wave_id}"
        put = Put(key, msgspec.msgpack.encode(work.record))
        return await self._put(put)

    async def _tell_status(self, work: _WaveWork, completed: bool) -> None:
        told = "completed" if completed else "running"
        if work.status_told == told:
            return
        key, content = self._status.wave_status(work.wave.wave_id, completed)
        if await self._put(Put(key, content)):
            work.status_told = told

    async def _put(self, put: Put) -> bool:
        while True:
            try:
                result = await self._store.commit(Transaction((self._guard,), (put,)))
            except StoreError as error:
                log.info("{} is not stored yet: {}", put.key, error)
                await self._clock.sleep(RETRY_DELAY)
                continue
            if not result.succeeded:
                self._yard.end_term(f"{put.key}: the epoch was replaced")
            return result.succeeded

    # Moves

    def _move_vms(
        self, configuration: Configuration, waiting: dict[str, float], now: timedelta
    ) -> None:
        standby = next(
            (
                pool.name
                for pool in configuration.pools_by_name.values()
                if pool.standby
            ),
            None,
        )
        if standby is None:
            return
        due = self._due_vms()
        spares = []
        for vm in self.vms_by_name.values():
            if vm.name in self._operations or vm.name in due:
                continue
            if vm.state is not VmState.UP:
                continue
            spare = self._spare(vm, vm.pool == standby, now)
            if spare is not None:
                spares.append(spare)
        loads = self._loads(configuration, waiting, standby)
        for move in choose_moves(loads, spares, standby):
            self._begin_move(self.vms_by_name[move.vm], move, now)

    def _due_vms(self) -> set[str]:
        """Return the VMs that are being emptied for their upkeep."""
        return set(self._reserved_at)

    def _spare(self, vm: PoolVm, on_standby: bool, now: timedelta) -> SpareVm | None:
        if on_standby:
            return SpareVm(vm.name, vm.pool, True, timedelta(0))
        link = self._yard.links_by_id.get(vm.executor_id)
        if link is None or not link.usable or link.runs_by_name:
            self._idle_since.pop(vm.name, None)
            return None
        since = self._idle_since.setdefault(vm.name, now)
        return SpareVm(vm.name, vm.pool, False, now - since)

    def _loads(
        self, configuration: Configuration, waiting: dict[str, float], standby: str
    ) -> list[PoolLoad]:
        loads = []
        for name in configuration.pools_by_name:
            if name == standby:
                continue
            links = [
                link
                for link in self._yard.links_by_id.values()
                if link.executor.service == name and link.usable
            ]
            cores = sum(link.executor.capacity.cpu_millis for link in links) / 1000
            vm_cores = cores / len(links) if links else 1.0
            arriving = sum(
                operation.kind == "move" and operation.target == name
                for operation in self._operations.values()
            )
            present = sum(
                vm.pool == name and vm.name not in self._operations
                for vm in self.vms_by_name.values()
            )
            own = (self._own_vms_by_pool or {}).get(name, 0)
            backlog = waiting.get(name, 0.0)
            loads.append(
                PoolLoad(
                    name,
                    backlog,
                    vm_cores,
                    present + arriving,
                    arriving,
                    own,
                    lasting_vms=self._yard.lasting_vms(name),
                    peak=self._yard.next_peak(name),
                    rests=self._yard.rests(name),
                )
            )
        return loads

    async def _load_pool_sizes(self) -> dict[str, int]:
        """Return each pool's own number of VMs, as the first term saw it."""
        entry = await self._store.get(POOL_SIZES)
        if entry is not None:
            return msgspec.msgpack.decode(entry.value, type=dict[str, int])
        sizes: dict[str, int] = {}
        for vm in self.vms_by_name.values():
            sizes[vm.pool] = sizes.get(vm.pool, 0) + 1
        await self._put(Put(POOL_SIZES, msgspec.msgpack.encode(sizes)))
        return sizes

    def _begin_move(self, vm: PoolVm, move: Move, now: timedelta) -> None:
        self._operations[vm.name] = _Operation(
            "move", move.pool, vm.executor_id, now, self._move_time
        )
        self._idle_since.pop(vm.name, None)
        link = self._yard.links_by_id.get(vm.executor_id)
        if link is not None:
            link.leaving = True
        self._yard.spawn(None, self._move, vm, move)

    async def _move(self, vm: PoolVm, move: Move) -> None:
        self._lines.decided(
            "move", vm.name, "ordered", origin=vm.pool, target=move.pool
        )
        answer = await self._ordered(
            lambda: self._service.move(vm.name, move.pool, self._holder, self._epoch)
        )
        if answer is None:
            return
        if answer is VmAnswer.DONE:
            self._operations[vm.name].answered_at = self._clock.monotonic()
            self._end_runs(vm, "moved")
        else:
            self._lines.decided("move", vm.name, answer.value, target=move.pool)
            self._abandon(vm)
