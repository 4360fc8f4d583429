"""Keep a daemon's copy of the fleet up to date with one scan and one watch."""

from __future__ import annotations

import random
from collections.abc import Callable
from datetime import timedelta
from typing import Any

import anyio
import logbook
import msgspec

from .allocation.partitions import PartitionTable
from .clock import Clock
from .config.model import FleetConfig
from .errors import CompactedError, StoreError
from .fleet.vms import VmRecord
from .fleet_state import DaemonRecord, FleetState, RoleRecord
from .keys import KeyRing
from .keyvalue import layout
from .keyvalue.records import RecordError, decode_record, read_record
from .keyvalue.store import Entry, Page, Store, scan_all
from .vm_platform.directory import VmDirectory

MIN_RETRY_DELAY = timedelta(seconds=0.25)
MAX_RETRY_DELAY = timedelta(seconds=4)
"""Low enough that an outage's end is noticed well within the 15 s in which a
published configuration must be in force."""

VM_LIST_INTERVAL = timedelta(seconds=1)

CHECK_INTERVAL = timedelta(seconds=3)
"""How often single reads verify that the watch is alive. The watch may hang
without an error, while withdrawn keys must stop working within 5 s."""

log = logbook.Logger("pomeloyard.follower")


class FleetFollower:
    """Follows the store's records and the platform's VM list.

    A record is never replaced by an older revision of itself, so late, repeated
    and out-of-order events and reads from a lagging replica do no harm.
    """

    def __init__(
        self, store: Store, directory: VmDirectory, clock: Clock, state: FleetState
    ) -> None:
        self._store = store
        self._directory = directory
        self._clock = clock
        self._state = state
        self._revisions_by_key: dict[str, int] = {}
        self._floor_revision = 0
        self.on_change: list[Callable[[], None]] = []

    async def run(self) -> None:
        """Follow the store until cancelled; failures are retried with backoff."""
        delay = MIN_RETRY_DELAY
        while True:
            followed = False
            try:
                await self._scan()
                followed = True
                await self._watch_and_check()
            except CompactedError as error:
                log.info("watch starts again with a scan: {}", error)
            except StoreError as error:
                self._lost_store(error, followed)
            # A failure after a successful scan starts the backoff anew.
            delay = MIN_RETRY_DELAY if followed else min(delay * 2, MAX_RETRY_DELAY)
            await self._clock.sleep(delay * random.uniform(0.5, 1.5))

    async def run_vm_list(self) -> None:
        """Read the platform's VM list regularly until cancelled."""
        while True:
            try:
                listing = await self._directory.list_vms()
            except StoreError as error:
                log.debug("VM list not read: {}", error)
            else:
                if listing.version > self._state.vm_list.version:
                    self._state.vm_list = listing
                    self.changed()
            await self._clock.sleep(VM_LIST_INTERVAL * random.uniform(0.8, 1.2))

    def changed(self) -> None:
        """Tell the daemon's parts that the fleet state has changed."""
        for callback in self.on_change:
            try:
                callback()
            except Exception:
                log.exception("a part failed to take a change of the fleet state")

    def _lost_store(self, error: StoreError, followed: bool) -> None:
        """Note a failure; after a scan it is confirmed only by the next scan."""
        if self._state.store_reachable and not followed:
            log.warning("store is not reachable: {}", error)
            self._state.store_reachable = False
        elif followed:
            log.info("watch ended: {}", error)

    async def _scan(self) -> None:
        page = await scan_all(self._store, layout.FOLLOWED)
        for entry in page.entries:
            await self._apply(entry.key, entry, entry.mod_revision)
        await self._delete_missing(page)
        self._watched_from = page.revision + 1
        if not self._state.store_reachable:
            log.info("store is reachable at revision {}", page.revision)
        self._state.store_reachable = True
        self.changed()

    async def _delete_missing(self, page: Page) -> None:
        """Drop records that were deleted while no watch was open."""
        present = {entry.key for entry in page.entries}
        for key, revision in list(self._revisions_by_key.items()):
            if key not in present and revision <= page.revision:
                await self._apply(key, None, page.revision)
                # The floor replaces the revisions of deleted records.
                del self._revisions_by_key[key]
        self._floor_revision = max(self._floor_revision, page.revision)

    async def _watch_and_check(self) -> None:
        async with anyio.create_task_group() as tasks:
            failures: list[StoreError] = []

            async def run(part: Callable[[], Any]) -> None:
                try:
                    await part()
                except StoreError as error:
                    failures.append(error)
                tasks.cancel_scope.cancel()

            tasks.start_soon(run, self._watch)
            tasks.start_soon(run, self._check)
        if failures:
            raise failures[0]

    async def _watch(self) -> None:
        async with self._store.watch(
            layout.FOLLOWED, from_revision=self._watched_from
        ) as batches:
            async for batch in batches:
                for event in batch.events:
                    await self._apply(event.key, event.entry, event.revision)
                self.changed()

    async def _check(self) -> None:
        """Return when the watch has missed a change of the two urgent records."""
        while True:
            await self._clock.sleep(CHECK_INTERVAL * random.uniform(0.8, 1.2))
            missed = False
            for key in (layout.CONFIG_HEAD, layout.KEYS):
                entry = await self._store.get(key)
                if entry is not None and self._is_newer(key, entry.mod_revision):
                    missed = True
                    await self._apply(key, entry, entry.mod_revision)
            if missed:
                self.changed()
                log.info("the watch missed a change and is opened again")
                return

    def _is_newer(self, key: str, revision: int) -> bool:
        return revision > self._revisions_by_key.get(key, self._floor_revision)

    async def _apply(self, key: str, entry: Entry | None, revision: int) -> None:
        """Adopt a record unless a newer revision of it is known."""
        if not self._is_newer(key, revision):
            return
        try:
            await self._apply_record(key, entry)
        except RecordError as error:
            # One damaged record must not stop the rest from being followed.
            log.error("record ignored: {}", error)
        # Noted last, so that a record is read again if the store fails here.
        self._revisions_by_key[key] = revision

    async def _apply_record(self, key: str, entry: Entry | None) -> None:
        state = self._state
        if key == layout.CONFIG_HEAD and entry is not None:
            await self._adopt_config(decode_record(entry, int).value)
        elif key == layout.KEYS and entry is not None:
            adopt_keys(state, decode_record(entry, KeyRing).value)
        elif key == layout.PARTITIONS and entry is not None:
            table = decode_record(entry, PartitionTable).value
            adopt_partitions(state, table, entry.mod_revision)
        for prefix, kind, records in (
            (layout.DAEMONS, DaemonRecord, state.daemons_by_incarnation),
            (layout.VMS, VmRecord, state.vm_records_by_name),
            (layout.ROLES, RoleRecord, state.roles_by_name),
        ):
            if key.startswith(prefix):
                _put(records, key.removeprefix(prefix), entry, kind)

    async def _adopt_config(self, revision: int) -> None:
        if revision <= self._state.config.revision:
            return
        key = layout.config_revision_key(revision)
        record = await read_record(self._store, key, FleetConfig)
        if record is None:
            raise RecordError(f"{key} is absent")
        adopt_config(self._state, record.value)


def _put(
    records: dict[str, Any], name: str, entry: Entry | None, kind: type[Any]
) -> None:
    if entry is None:
        records.pop(name, None)
    else:
        records[name] = decode_record(entry, kind).value


def adopt_config(state: FleetState, config: FleetConfig) -> bool:
    """Take over a configuration if its revision is higher than the present one."""
    if config.revision <= state.config.revision:
        return False
    state.config = config
    state.config_content = msgspec.json.encode(config)
    log.info("configuration revision {} is in force", config.revision)
    return True


def adopt_keys(state: FleetState, ring: KeyRing) -> bool:
    """Take over a key ring if its version is higher than the present one."""
    if ring.version <= state.keys.version:
        return False
    state.keys = ring
    return True


def adopt_partitions(state: FleetState, table: PartitionTable, revision: int) -> bool:
    """Take over a partition table of a higher store revision than the present one."""
    if revision <= state.partitions_revision:
        return False
    state.partitions = table
    state.partitions_revision = revision
    return True
