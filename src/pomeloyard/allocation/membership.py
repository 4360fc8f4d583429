"""Registration of this daemon, and its taking and releasing of partitions."""

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
from .loans import LoanLedger, Resource
from .partitions import DEFAULT_PARTITIONS, PartitionTable, new_table, vm_name_of

REGISTRATION_TTL = timedelta(seconds=10)
RENEW_INTERVAL = timedelta(seconds=3)
STEP_INTERVAL = timedelta(milliseconds=500)
CLOCK_DRIFT_MARGIN = timedelta(seconds=1)
"""Added to the longest request timeout, as clocks run at different rates."""

ABSENCE_TIMEOUT = timedelta(seconds=60)
"""Time after which a member that is neither registered nor on a VM in the
platform's list is considered gone. The list lags, so a new VM may be missing from
it, but a running member on an unlisted VM is still registered."""

UNLISTED_GRACE_PERIOD = timedelta(seconds=45)
"""Time without a renewed registration after which a daemon whose VM was never
listed stops admitting requests. Must be shorter than ABSENCE_TIMEOUT, after which
others consider it gone."""

TableTransform = Callable[[PartitionTable], PartitionTable | None]

log = logbook.Logger("pomeloyard.allocation.membership")


class Membership:
    """Registers a daemon, takes partitions and releases surplus ones.

    The store is read only when a change is due: decisions are based on the local
    copy of the table, and compare-and-swap verifies them on the write.
    """

    def __init__(
        self,
        store: Store,
        clock: Clock,
        state: FleetState,
        record: DaemonRecord,
        ledger: LoanLedger,
        resources: Callable[[], list[Resource]],
    ) -> None:
        self._store = store
        self._clock = clock
        self._state = state
        self._record = record
        self._incarnation = record.incarnation
        self._ledger = ledger
        self._resources = resources
        self._lease = 0
        self._renew_at = timedelta(0)
        self._registered_at: timedelta | None = None
        self._gone_since_by_member: dict[str, timedelta] = {}
        self._listed_vms: set[str] = set()
        self._absent_since_by_member: dict[str, timedelta] = {}
        self._held_partitions: frozenset[int] = frozenset()
        self._leaving = False
        self.on_partition_gained: list[Callable[[int, bool], None]] = []
        """Called with a partition and whether its former holder released it cleanly."""
        self.on_partition_lost: list[Callable[[int], None]] = []

    async def run(self) -> None:
        """Keep the daemon registered and holding its fair share of partitions."""
        while True:
            try:
                await self._register()
                await self.step()
            except (StoreError, ConflictError) as error:
                log.debug(
                    "registration or partition change failed, will retry: {}", error
                )
            await self._clock.sleep(STEP_INTERVAL * random.uniform(0.6, 1.4))

    def can_admit(self) -> bool:
        """Return whether no other daemon can yet consider this one gone.

        A VM that has been listed is gone only when the list says so. A daemon on a
        VM that was never listed depends on its registration instead.
        """
        name = vm_name_of(self._incarnation)
        if name in self._listed_vms or name in self._state.vm_list.vms_by_name:
            return True
        if self._registered_at is None:
            return False
        return self._clock.monotonic() - self._registered_at < UNLISTED_GRACE_PERIOD

    def holder_of(self, partition: int) -> str:
        """Return the incarnation that holds a partition, or an empty string."""
        table = self._state.partitions
        return table.partitions[partition].holder if table is not None else ""

    def notify_partition_changes(self) -> None:
        """Call the listeners for partitions gained or lost since the last call."""
        table = self._state.partitions
        if table is None:
            return
        held = frozenset(table.partitions_held_by(self._incarnation))
        for number in sorted(self._held_partitions - held):
            for on_lost in self.on_partition_lost:
                on_lost(number)
        for number in sorted(held - self._held_partitions):
            for on_gained in self.on_partition_gained:
                on_gained(number, table.partitions[number].clean)
        self._held_partitions = held

    async def step(self) -> None:
        """Apply the table changes that are due."""
        self._update_gone()
        await self._release_surplus()
        table = self._state.partitions
        if table is None or self._desired_table(table) is not None:
            await self._change_table(self._desired_table)

    async def leave(self) -> None:
        """Release all partitions and loans, then leave the member list.

        The caller must have stopped new requests. Returns once everything is
        released; the caller sets a timeout.
        """
        self._leaving = True
        while True:
            self._ledger.return_all_borrowed()
            table = self._state.partitions
            if table is None or self._incarnation not in table.members:
                break
            try:
                await self._release_surplus()
                if (
                    not table.partitions_held_by(self._incarnation)
                    and self._ledger.has_returned_all()
                ):
                    await self._change_table(
                        lambda t: t.without_member(self._incarnation)
                    )
            except (StoreError, ConflictError) as error:
                log.debug(
                    "release of partitions on shutdown failed, will retry: {}", error
                )
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
        key = layout.DAEMONS + self._incarnation
        earlier = await read_record(self._store, key, DaemonRecord)
        change = Change(key, self._record, earlier, lease=lease)
        await commit_changes(self._store, [change])
        self._lease = lease
        self._registered_at = now
        self._renew_at = now + RENEW_INTERVAL

    # Partition table

    async def _change_table(self, transform: TableTransform) -> None:
        current = await read_record(self._store, layout.PARTITIONS, PartitionTable)
        table = current.value if current is not None else new_table(DEFAULT_PARTITIONS)
        changed = transform(table)
        if changed is not None and changed != table:
            change = Change(layout.PARTITIONS, changed, current)
            await commit_changes(self._store, [change])

    def _desired_table(self, table: PartitionTable) -> PartitionTable | None:
        """Return the table with this daemon's due changes, or None if none are due."""
        if self._leaving or table.is_superseded(self._incarnation):
            return None
        changed = table.with_member(self._incarnation)
        changed = self._without_gone_members(changed)
        missing = self._fair_share(changed) - len(
            changed.partitions_held_by(self._incarnation)
        )
        for partition in changed.partitions:
            if missing <= 0:
                break
            vacant = not partition.holder
            if vacant or self._is_gone(partition.holder, changed):
                clean = partition.clean if vacant else False
                changed = changed.with_holder(
                    partition.number, self._incarnation, clean=clean
                )
                missing -= 1
        return changed if changed != table else None

    def _fair_share(self, table: PartitionTable) -> int:
        """Return the number of partitions that this daemon should hold."""
        live = [m for m in table.members if not self._is_gone(m, table)]
        count = max(1, len(live))
        rank = live.index(self._incarnation) if self._incarnation in live else 0
        quotient, remainder = divmod(len(table.partitions), count)
        return quotient + (1 if rank < remainder else 0)

    async def _release_surplus(self) -> None:
        """Release partitions above the fair share once their units are unused."""
        table = self._state.partitions
        if table is None:
            return
        fair_share = 0 if self._leaving else self._fair_share(table)
        surplus = table.partitions_held_by(self._incarnation)[fair_share:]
        for number in table.partitions_held_by(self._incarnation)[:fair_share]:
            self._ledger.cancel_release(number)
        for number in surplus:
            self._ledger.start_release(number)
        ready = set(self._ledger.releasable(self._resources())) & set(surplus)
        if ready:
            await self._change_table(lambda current: self._released(current, ready))

    def _released(self, table: PartitionTable, numbers: set[int]) -> PartitionTable:
        for number in sorted(
            numbers & set(table.partitions_held_by(self._incarnation))
        ):
            table = table.with_holder(number, "", clean=True)
        return table

    # Members that are gone

    def _update_gone(self) -> None:
        """Record since when this daemon has known each gone member to be gone."""
        table = self._state.partitions
        if table is None:
            return
        now = self._clock.monotonic()
        self._update_absent(table, now)
        gone = [m for m in table.members if self._is_gone(m, table)]
        self._gone_since_by_member = {
            m: self._gone_since_by_member.get(m, now) for m in gone
        }

    def _update_absent(self, table: PartitionTable, now: timedelta) -> None:
        """Record since when each absent member is neither listed nor registered."""
        state = self._state
        if not state.vm_list.version or not state.store_reachable:
            self._absent_since_by_member.clear()
            return
        listed = state.vm_list.vms_by_name
        absent = [
            m
            for m in table.members
            if vm_name_of(m) not in listed and m not in state.daemons_by_incarnation
        ]
        self._absent_since_by_member = {
            m: self._absent_since_by_member.get(m, now) for m in absent
        }
        self._listed_vms.update(
            vm_name_of(m) for m in table.members if vm_name_of(m) in listed
        )

    def _without_gone_members(self, table: PartitionTable) -> PartitionTable:
        """Remove gone members whose last request must have ended."""
        wait = self._state.config.longest_request_timeout() + CLOCK_DRIFT_MARGIN
        now = self._clock.monotonic()
        for member, since in self._gone_since_by_member.items():
            if now - since < wait or not self._is_gone(member, table):
                continue
            for number in table.partitions_held_by(member):
                table = table.with_holder(number, "", clean=False)
            table = replace(table.without_member(member))
        return table

    def _is_gone(self, incarnation: str, table: PartitionTable) -> bool:
        """Return whether an incarnation is confirmed gone.

        Missing heartbeats never confirm it. A newer incarnation on the same VM has
        bound the VM's peer address, so the older process has ended. A VM removed
        from the platform's list is gone.
        """
        if table.is_superseded(incarnation):
            return True
        name = vm_name_of(incarnation)
        vm = self._state.vm_list.vms_by_name.get(name)
        if vm is not None:
            return vm.state is VmListState.GONE
        since = self._absent_since_by_member.get(incarnation)
        if since is None:
            return False
        was_listed = name in self._listed_vms
        return was_listed or self._clock.monotonic() - since >= ABSENCE_TIMEOUT
