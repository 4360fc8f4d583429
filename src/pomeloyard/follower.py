"""Keep a daemon's copy of the fleet state up to date with one scan and one watch."""

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
from .fleet_state import DaemonRecord, EvacuatedZones, FleetState, RoleRecord
from .keys import KeyRing
from .keyvalue import layout
from .keyvalue.records import RecordError, decode_record, read_record
from .keyvalue.store import Entry, Page, Store, scan_all
from .vm_platform.directory import VmDirectory

MIN_RETRY_DELAY = timedelta(seconds=0.25)
MAX_RETRY_DELAY = timedelta(seconds=4)
"""Low enough to detect the end of an outage well within the 15 s in which a
published configuration must be in force."""

VM_LIST_INTERVAL = timedelta(seconds=1)

CHECK_INTERVAL = timedelta(seconds=3)
"""Interval of single reads that verify the watch. A watch may hang without an
error, while withdrawn keys must stop working within 5 s."""

log = logbook.Logger("pomeloyard.follower")


class FleetFollower:
    """Keeps the fleet state in step with the store and the platform's VM list.

    A record is never replaced by an older revision of itself, so late, repeated
    and out-of-order events and reads from a lagging replica are harmless.
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
        """Follow the store until cancelled, with exponential back-off on failures."""
        delay = MIN_RETRY_DELAY
        while True:
            scanned = False
            try:
                await self._scan()
                scanned = True
                await self._watch_and_check()
            except CompactedError as error:
                log.info("watch restarts with a scan: {}", error)
            except StoreError as error:
                self._record_store_failure(error, scanned)
            # A failure after a successful scan resets the back-off.
            delay = MIN_RETRY_DELAY if scanned else min(delay * 2, MAX_RETRY_DELAY)
            await self._clock.sleep(delay * random.uniform(0.5, 1.5))

    async def run_vm_list(self) -> None:
        """Poll the platform's VM list until cancelled."""
        while True:
            try:
                listing = await self._directory.list_vms()
            except StoreError as error:
                log.debug("VM list could not be read: {}", error)
            else:
                if listing.version > self._state.vm_list.version:
                    self._state.vm_list = listing
                    self.notify_changed()
            await self._clock.sleep(VM_LIST_INTERVAL * random.uniform(0.8, 1.2))

    def notify_changed(self) -> None:
        """Run the callbacks for a change of the fleet state."""
        for callback in self.on_change:
            try:
                callback()
            except Exception:
                log.exception("a callback for a fleet state change failed")

    def _record_store_failure(self, error: StoreError, scanned: bool) -> None:
        """Record a failure; one after a successful scan is not yet an outage."""
        if self._state.store_reachable and not scanned:
            log.warning("store is unreachable: {}", error)
            self._state.store_reachable = False
        elif scanned:
            log.info("watch of the store ended: {}", error)

    async def _scan(self) -> None:
        page = await scan_all(self._store, layout.WATCHED_PREFIX)
        for entry in page.entries:
            await self._apply(entry.key, entry, entry.mod_revision)
        await self._delete_missing(page)
        self._watch_from_revision = page.revision + 1
        if not self._state.store_reachable:
            log.info("store is reachable at revision {}", page.revision)
        self._state.store_reachable = True
        self.notify_changed()

    async def _delete_missing(self, page: Page) -> None:
        """Remove records that were deleted while no watch was open."""
        present = {entry.key for entry in page.entries}
        for key, revision in list(self._revisions_by_key.items()):
            if key not in present and revision <= page.revision:
                await self._apply(key, None, page.revision)
                # The floor revision replaces the revisions of single deleted records.
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
            layout.WATCHED_PREFIX, from_revision=self._watch_from_revision
        ) as batches:
            async for batch in batches:
                for event in batch.events:
                    await self._apply(event.key, event.entry, event.revision)
                self.notify_changed()

    async def _check(self) -> None:
        """Return when the watch missed a change that must not wait for it.

        These are the configuration, the evacuated zones and the keys.
        """
        while True:
            await self._clock.sleep(CHECK_INTERVAL * random.uniform(0.8, 1.2))
            missed = False
            page = await self._store.scan(layout.CONFIG_PREFIX)
            keys = await self._store.get(layout.KEYS)
            for entry in (*page.entries, *((keys,) if keys is not None else ())):
                if self._is_newer(entry.key, entry.mod_revision):
                    missed = True
                    await self._apply(entry.key, entry, entry.mod_revision)
            if missed:
                self.notify_changed()
                log.info("watch missed a change; opening it again")
                return

    def _is_newer(self, key: str, revision: int) -> bool:
        return revision > self._revisions_by_key.get(key, self._floor_revision)

    async def _apply(self, key: str, entry: Entry | None, revision: int) -> None:
        """Apply a record unless a newer revision of it is known."""
        if not self._is_newer(key, revision):
            return
        try:
            await self._apply_record(key, entry)
        except RecordError as error:
            # One malformed record must not keep the others from being applied.
            log.error("invalid record ignored: {}", error)
        # Set last, so that the record is read again if the store fails above.
        self._revisions_by_key[key] = revision

    async def _apply_record(self, key: str, entry: Entry | None) -> None:
        state = self._state
        if key == layout.CONFIG_HEAD and entry is not None:
            await self._adopt_config(decode_record(entry, int).value)
        elif key == layout.KEYS and entry is not None:
            adopt_keys(state, decode_record(entry, KeyRing).value)
        elif key == layout.EVACUATIONS and entry is not None:
            adopt_evacuations(state, decode_record(entry, EvacuatedZones).value)
        elif key == layout.PARTITIONS and entry is not None:
            table = decode_record(entry, PartitionTable).value
            adopt_partitions(state, table, entry.mod_revision)
        for prefix, kind, records in (
            (layout.DAEMONS, DaemonRecord, state.daemons_by_incarnation),
            (layout.VMS, VmRecord, state.vm_records_by_name),
            (layout.ROLES, RoleRecord, state.roles_by_name),
        ):
            if key.startswith(prefix):
                _update_record(records, key.removeprefix(prefix), entry, kind)

    async def _adopt_config(self, revision: int) -> None:
        if revision <= self._state.config.revision:
            return
        key = layout.config_revision_key(revision)
        record = await read_record(self._store, key, FleetConfig)
        if record is None:
            raise RecordError(f"{key} is absent")
        adopt_config(self._state, record.value)


def _update_record(
    records: dict[str, Any], name: str, entry: Entry | None, kind: type[Any]
) -> None:
    if entry is None:
        records.pop(name, None)
    else:
        records[name] = decode_record(entry, kind).value


def adopt_config(state: FleetState, config: FleetConfig) -> bool:
    """Adopt a configuration if its revision is higher than the current one."""
    if config.revision <= state.config.revision:
        return False
    state.config = config
    state.config_content = msgspec.json.encode(config)
    log.info("configuration revision {} is in force", config.revision)
    return True


def adopt_keys(state: FleetState, ring: KeyRing) -> bool:
    """Adopt a key ring if its version is higher than the current one."""
    if ring.version <= state.keys.version:
        return False
    state.keys = ring
    return True


def adopt_evacuations(state: FleetState, zones: EvacuatedZones) -> bool:
    """Adopt evacuated zones if their version is higher than the current one."""
    if zones.version <= state.evacuated_zones.version:
        return False
    state.evacuated_zones = zones
    log.info("evacuated availability zones: {}", ", ".join(sorted(zones.by_zone)))
    return True


def adopt_partitions(state: FleetState, table: PartitionTable, revision: int) -> bool:
    """Adopt a partition table if its store revision is higher than the current one."""
    if revision <= state.partitions_revision:
        return False
    state.partitions = table
    state.partitions_revision = revision
    return True
