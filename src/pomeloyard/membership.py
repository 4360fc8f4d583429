"""Registration of this daemon and its hold on partitions."""

from __future__ import annotations

import random
from collections.abc import Callable
from datetime import timedelta

import logbook

from .clock import Clock
from .errors import LeaseLostError, StoreError
from .fleet_state import DaemonRecord, FleetState
from .partitions import (
    DEFAULT_PARTITIONS,
    PartitionTable,
    base_amount,
    new_table,
)
from .platform import layout
from .platform.directory import VmListState
from .platform.records import Change, ConflictError, commit_changes, read_record
from .platform.store import Store

REGISTRATION_TTL = timedelta(seconds=10)
INTERVAL = timedelta(seconds=1)

log = logbook.Logger("pomeloyard.membership")


class Membership:
    """Registers a daemon, takes partitions and gives up surplus ones."""

    def __init__(
        self, store: Store, clock: Clock, state: FleetState, record: DaemonRecord
    ) -> None:
        self._store = store
        self._clock = clock
        self._state = state
        self._record = record
        self._lease = 0
        self.usable_from_by_partition: dict[int, timedelta] = {}
        """Monotonic time from which a taken partition's base may be used."""
        self.on_gained: list[Callable[[int, bool], None]] = []
        """Called with a partition and whether its former holder released it."""
        self.on_lost: list[Callable[[int], None]] = []

    async def run(self) -> None:
        """Keep the registration and a fair part of the partitions."""
        while True:
            try:
                await self._register()
                await self._balance()
            except (StoreError, ConflictError) as error:
                log.debug("membership: {}", error)
            await self._clock.sleep(INTERVAL * random.uniform(0.8, 1.2))

    def amount(self, name: str, total: int) -> int:
        """Return how much of a resource this daemon's partitions carry."""
        table = self._state.partitions
        if table is None:
            return 0
        now = self._clock.monotonic()
        count = len(table.partitions)
        return sum(
            base_amount(name, total, number, count)
            for number in table.held_by(self._record.incarnation)
            if self.usable_from_by_partition.get(number, now) <= now
        )

    def holder_of(self, partition: int) -> str:
        """Return the incarnation that holds a partition, or an empty string."""
        table = self._state.partitions
        return table.partitions[partition].holder if table is not None else ""

    async def release(self) -> None:
        """Give up all partitions and the registration."""
        current = await read_record(self._store, layout.PARTITIONS, PartitionTable)
        if current is None:
            return
        table = current.value
        for number in table.held_by(self._record.incarnation):
            table = table.with_holder(number, "", clean=True)
        await commit_changes(self._store, [Change(layout.PARTITIONS, table, current)])
        await self._store.revoke_lease(self._lease)

    async def _register(self) -> None:
        if self._lease:
            try:
                await self._store.keep_lease_alive(self._lease)
                return
            except LeaseLostError:
                self._lease = 0
        lease = await self._store.grant_lease(REGISTRATION_TTL)
        key = layout.DAEMONS + self._record.incarnation
        earlier = await read_record(self._store, key, DaemonRecord)
        await commit_changes(
            self._store, [Change(key, self._record, earlier, lease=lease)]
        )
        self._lease = lease

    async def _balance(self) -> None:
        current = await read_record(self._store, layout.PARTITIONS, PartitionTable)
        table = current.value if current else new_table(DEFAULT_PARTITIONS)
        changed = self._wanted_table(table)
        if changed is not None:
            await commit_changes(
                self._store, [Change(layout.PARTITIONS, changed, current)]
            )
            self._note_taken(table, changed)

    def _wanted_table(self, table: PartitionTable) -> PartitionTable | None:
        """Return the table with one partition taken or released, if needed."""
        me = self._record.incarnation
        daemons = {*self._state.daemons_by_incarnation, me}
        fair = -(-len(table.partitions) // len(daemons))
        mine = table.held_by(me)
        if len(mine) > fair:
            return table.with_holder(mine[-1], "", clean=True)
        if len(mine) == fair:
            return None
        for partition in table.partitions:
            if not partition.holder:
                return table.with_holder(partition.number, me, clean=True)
            if partition.holder != me and self._is_gone(partition.holder):
                return table.with_holder(partition.number, me, clean=False)
        return None

    def _is_gone(self, incarnation: str) -> bool:
        """Tell whether an incarnation is confirmed gone; time never confirms it."""
        vm_name = incarnation.rpartition(".")[0]
        vm = self._state.vm_list.vms_by_name.get(vm_name)
        if vm is not None and vm.state is VmListState.GONE:
            return True
        return any(
            record.vm == vm_name and name != incarnation
            for name, record in self._state.daemons_by_incarnation.items()
        )

    def _note_taken(self, old: PartitionTable, new: PartitionTable) -> None:
        wait = self._state.config.longest_request_timeout()
        now = self._clock.monotonic()
        for before, after in zip(old.partitions, new.partitions, strict=True):
            if before != after and after.holder == self._record.incarnation:
                delay = timedelta(0) if after.clean else wait
                self.usable_from_by_partition[after.number] = now + delay
