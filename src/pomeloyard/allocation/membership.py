"""Registration of this daemon and its hold on partitions."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import replace
from datetime import timedelta

import logbook

from ..clock import Clock
from ..errors import LeaseLostError, StoreError
from ..fleet_state import DaemonRecord, FleetState
from ..keyvalue import layout
from ..keyvalue.records import Change, ConflictError, commit_changes, read_record
from ..keyvalue.store import Store
from ..vm_platform.directory import VmListState
from .loans import LoanBook, Resource
from .partitions import DEFAULT_PARTITIONS, PartitionTable, new_table, vm_of

REGISTRATION_TTL = timedelta(seconds=10)
RENEW_INTERVAL = timedelta(seconds=3)
INTERVAL = timedelta(milliseconds=500)
GONE_MARGIN = timedelta(seconds=1)
"""Added to the longest request timeout, for clocks that run at different rates."""

ABSENCE = timedelta(seconds=60)
"""Time without an entry in the platform's list and without a registration after
which a member's VM is taken as gone. The list lags, so that a young VM may be
missing from it, but a member that runs and is not listed is registered."""

UNLISTED_GRACE = timedelta(seconds=45)
"""Time without a renewed registration after which a daemon whose VM was never
listed stops admitting: less than ABSENCE, after which others take it as gone."""

TableChange = Callable[[PartitionTable], PartitionTable | None]

log = logbook.Logger("pomeloyard.allocation.membership")


class Membership:
    """Registers a daemon, takes partitions and gives up surplus ones.

    Nothing is read from the store while nothing has to change: decisions are
    made on the followed copy of the table, and checked again by compare-and-swap.
    """

    def __init__(
        self,
        store: Store,
        clock: Clock,
        state: FleetState,
        record: DaemonRecord,
        book: LoanBook,
        resources: Callable[[], list[Resource]],
    ) -> None:
        self._store = store
        self._clock = clock
        self._state = state
        self._record = record
        self._me = record.incarnation
        self._book = book
        self._resources = resources
        self._lease = 0
        self._renew_at = timedelta(0)
        self._registered_at: timedelta | None = None
        self._gone_since: dict[str, timedelta] = {}
        self._listed_vms: set[str] = set()
        self._absent_since: dict[str, timedelta] = {}
        self._held: frozenset[int] = frozenset()
        self._leaving = False
        self.on_gained: list[Callable[[int, bool], None]] = []
        """Called with a partition and whether its former holder released it."""
        self.on_lost: list[Callable[[int], None]] = []

    async def run(self) -> None:
        """Keep the registration and a fair part of the partitions."""
        while True:
            try:
                await self._register()
                await self.step()
            except (StoreError, ConflictError) as error:
                log.debug("membership: {}", error)
            await self._clock.sleep(INTERVAL * random.uniform(0.6, 1.4))

    def may_admit(self) -> bool:
        """Tell whether no other daemon can have taken this one as gone by absence.

        A listed VM is gone only when the list says so. A daemon on a VM that was
        never listed depends on its registration instead.
        """
        name = vm_of(self._me)
        if name in self._listed_vms or name in self._state.vm_list.vms_by_name:
            return True
        if self._registered_at is None:
            return False
        return self._clock.monotonic() - self._registered_at < UNLISTED_GRACE

    def holder_of(self, partition: int) -> str:
        """Return the incarnation that holds a partition, or an empty string."""
        table = self._state.partitions
        return table.partitions[partition].holder if table is not None else ""

    def follow_table(self) -> None:
        """Tell the listeners which partitions were gained or lost."""
        table = self._state.partitions
        if table is None:
            return
        held = frozenset(table.held_by(self._me))
        for number in sorted(self._held - held):
            for lost in self.on_lost:
                lost(number)
        for number in sorted(held - self._held):
            for gained in self.on_gained:
                gained(number, table.partitions[number].clean)
        self._held = held

    async def step(self) -> None:
        """Make the changes to the table that are due now."""
        self._note_gone()
        await self._release_surplus()
        table = self._state.partitions
        if table is None or self._wanted(table) is not None:
            await self._change_table(self._wanted)

    async def leave(self) -> None:
        """Give up all partitions and loans, then the membership.

        The caller has stopped new requests. Returns when nothing is left; the
        caller bounds the time.
        """
        self._leaving = True
        while True:
            self._book.return_all()
            table = self._state.partitions
            if table is None or self._me not in table.members:
                break
            try:
                await self._release_surplus()
                if not table.held_by(self._me) and self._book.nothing_borrowed():
                    await self._change_table(lambda t: t.without_member(self._me))
            except (StoreError, ConflictError) as error:
                log.debug("leaving: {}", error)
            await self._clock.sleep(timedelta(milliseconds=50))
        if self._lease:
            await self._store.revoke_lease(self._lease)

    # Registration

    async def _register(self) -> None:
        now = self._clock.monotonic()
        if self._lease and now < self._renew_at:
            return
        if self._lease:
            try:
                await self._store.keep_lease_alive(self._lease)
                self._registered_at = now
                self._renew_at = now + RENEW_INTERVAL
                return
            except LeaseLostError:
                self._lease = 0
        lease = await self._store.grant_lease(REGISTRATION_TTL)
        key = layout.DAEMONS + self._me
        earlier = await read_record(self._store, key, DaemonRecord)
        change = Change(key, self._record, earlier, lease=lease)
        await commit_changes(self._store, [change])
        self._lease = lease
        self._registered_at = now
        self._renew_at = now + RENEW_INTERVAL

    # Partition table

    async def _change_table(self, wanted: TableChange) -> None:
        current = await read_record(self._store, layout.PARTITIONS, PartitionTable)
        table = current.value if current is not None else new_table(DEFAULT_PARTITIONS)
        changed = wanted(table)
        if changed is not None and changed != table:
            change = Change(layout.PARTITIONS, changed, current)
            await commit_changes(self._store, [change])

    def _wanted(self, table: PartitionTable) -> PartitionTable | None:
        """Return the table after joining, taking and removing, or None."""
        if self._leaving or table.superseded(self._me):
            return None
        changed = table.with_member(self._me)
        changed = self._without_gone_members(changed)
        missing = self._fair_part(changed) - len(changed.held_by(self._me))
        for partition in changed.partitions:
            if missing <= 0:
                break
            vacant = not partition.holder
            if vacant or self._is_gone(partition.holder, changed):
                clean = partition.clean if vacant else False
                changed = changed.with_holder(partition.number, self._me, clean=clean)
                missing -= 1
        return changed if changed != table else None

    def _fair_part(self, table: PartitionTable) -> int:
        """Return how many partitions this daemon should hold."""
        live = [m for m in table.members if not self._is_gone(m, table)]
        count = max(1, len(live))
        rank = live.index(self._me) if self._me in live else 0
        whole, rest = divmod(len(table.partitions), count)
        return whole + (1 if rank < rest else 0)

    async def _release_surplus(self) -> None:
        """Release partitions above the fair part once their units are unused."""
        table = self._state.partitions
        if table is None:
            return
        fair = 0 if self._leaving else self._fair_part(table)
        surplus = table.held_by(self._me)[fair:]
        for number in table.held_by(self._me)[:fair]:
            self._book.cancel_release(number)
        for number in surplus:
            self._book.start_release(number)
        ready = set(self._book.releasable(self._resources())) & set(surplus)
        if ready:
            await self._change_table(lambda current: self._released(current, ready))

    def _released(self, table: PartitionTable, numbers: set[int]) -> PartitionTable:
        for number in sorted(numbers & set(table.held_by(self._me))):
            table = table.with_holder(number, "", clean=True)
        return table

    # Members that are gone

    def _note_gone(self) -> None:
        """Remember since when this daemon knows that a member is gone."""
        table = self._state.partitions
        if table is None:
            return
        now = self._clock.monotonic()
        self._note_absent(table, now)
        gone = [m for m in table.members if self._is_gone(m, table)]
        self._gone_since = {m: self._gone_since.get(m, now) for m in gone}

    def _note_absent(self, table: PartitionTable, now: timedelta) -> None:
        """Remember since when a member is neither listed nor registered."""
        state = self._state
        if not state.vm_list.version or not state.store_reachable:
            self._absent_since.clear()
            return
        listed = state.vm_list.vms_by_name
        absent = [
            m
            for m in table.members
            if vm_of(m) not in listed and m not in state.daemons_by_incarnation
        ]
        self._absent_since = {m: self._absent_since.get(m, now) for m in absent}
        self._listed_vms.update(vm_of(m) for m in table.members if vm_of(m) in listed)

    def _without_gone_members(self, table: PartitionTable) -> PartitionTable:
        """Remove members whose last request must have ended."""
        wait = self._state.config.longest_request_timeout() + GONE_MARGIN
        now = self._clock.monotonic()
        for member, since in self._gone_since.items():
            if now - since < wait or not self._is_gone(member, table):
                continue
            for number in table.held_by(member):
                table = table.with_holder(number, "", clean=False)
            table = replace(table.without_member(member))
        return table

    def _is_gone(self, incarnation: str, table: PartitionTable) -> bool:
        """Tell whether an incarnation is confirmed gone; silence never confirms it.

        A newer incarnation of the same VM holds the VM's peer address, so the
        older process has ended. A VM that has left the platform's list is gone.
        """
        if table.superseded(incarnation):
            return True
        name = vm_of(incarnation)
        vm = self._state.vm_list.vms_by_name.get(name)
        if vm is not None:
            return vm.state is VmListState.GONE
        since = self._absent_since.get(incarnation)
        if since is None:
            return False
        was_listed = name in self._listed_vms
        return was_listed or self._clock.monotonic() - since >= ABSENCE
