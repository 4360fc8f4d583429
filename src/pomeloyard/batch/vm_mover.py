"""Moves VMs between pools as their loads justify."""

from __future__ import annotations

from collections.abc import Callable, Collection, Coroutine
from datetime import timedelta
from typing import Any, Protocol

import msgspec

from .decisions import DecisionLines
from .guarded_records import GuardedRecords
from .link import ExecutorLink
from .model import Configuration
from .pools import Move, PoolLoad, SpareVm, choose_moves
from .turns import Peak
from .vm_listing import VmListing
from .vm_orders import VmOrders
from .vms import PoolVm, VmAnswer, VmService, VmState

POOL_SIZES = "b/pool-sizes"
"""How many VMs each pool had when the first term began."""


class PoolYard(Protocol):
    """What moves need of the placing term."""

    links_by_id: dict[str, ExecutorLink]

    def lasting_vms(self, pool: str) -> int:
        """Return how many VMs the lasting tasks of a pool need."""
        ...

    def next_peak(self, pool: str) -> Peak | None:
        """Return a pool's present or next peak, if it can be told."""
        ...

    def rests(self, pool: str) -> bool:
        """Tell whether a pool's peak is over and its next one cannot come yet."""
        ...

    def spawn(
        self,
        link: ExecutorLink | None,
        work: Callable[..., Coroutine[Any, Any, None]],
        *args: object,
    ) -> None:
        """Run a coroutine function in the background of the term."""
        ...


class VmMover:
    """Lends VMs to pools with a backlog and gives idle ones up."""

    def __init__(
        self,
        records: GuardedRecords,
        service: VmService,
        lines: DecisionLines,
        yard: PoolYard,
        listing: VmListing,
        orders: VmOrders,
        holder: str,
        epoch: int,
        move_time: timedelta,
    ) -> None:
        self._records = records
        self._service = service
        self._lines = lines
        self._yard = yard
        self._listing = listing
        self._orders = orders
        self._holder = holder
        self._epoch = epoch
        self._move_time = move_time
        self._own_vms_by_pool: dict[str, int] = {}
        self._idle_since: dict[str, timedelta] = {}

    def move(
        self,
        configuration: Configuration,
        waiting: dict[str, float],
        due: Collection[str],
        now: timedelta,
    ) -> None:
        """Move what the present loads justify; VMs that are ``due`` stay."""
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
        spares = []
        for vm in self._listing.vms_by_name.values():
            if not self._orders.may_order(vm.name) or vm.name in due:
                continue
            if vm.state is not VmState.UP:
                continue
            spare = self._spare(vm, vm.pool == standby, now)
            if spare is not None:
                spares.append(spare)
        loads = self._loads(configuration, waiting, standby)
        for move in choose_moves(loads, spares, standby):
            self._begin_move(self._listing.vms_by_name[move.vm], move)

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
                for operation in self._orders.by_vm.values()
            )
            present = sum(
                vm.pool == name and vm.name not in self._orders.by_vm
                for vm in self._listing.vms_by_name.values()
            )
            own = self._own_vms_by_pool.get(name, 0)
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

    async def load(self) -> bool:
        """Read each pool's own number of VMs, as the first term saw it.

        False: the epoch was replaced.
        """
        entry = await self._records.read(POOL_SIZES)
        if entry is not None:
            sizes = msgspec.msgpack.decode(entry.value, type=dict[str, int])
            self._own_vms_by_pool = sizes
            return True
        for vm in self._listing.vms_by_name.values():
            before = self._own_vms_by_pool.get(vm.pool, 0)
            self._own_vms_by_pool[vm.pool] = before + 1
        content = msgspec.msgpack.encode(self._own_vms_by_pool)
        return await self._records.write(POOL_SIZES, content)

    def _begin_move(self, vm: PoolVm, move: Move) -> None:
        self._orders.begin(vm, "move", move.pool, self._move_time)
        self._idle_since.pop(vm.name, None)
        self._yard.spawn(None, self._move, vm, move)

    async def _move(self, vm: PoolVm, move: Move) -> None:
        self._lines.decided(
            "move", vm.name, "ordered", origin=vm.pool, target=move.pool
        )
        answer = await self._orders.repeat(
            vm,
            lambda: self._service.move(vm.name, move.pool, self._holder, self._epoch),
        )
        if answer is None:
            return
        if answer is VmAnswer.DONE:
            self._orders.answered(vm)
            self._orders.end_runs(vm, "moved")
        else:
            self._lines.decided("move", vm.name, answer.value, target=move.pool)
            self._orders.abandon(vm)
