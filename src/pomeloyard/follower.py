"""Keep a daemon's copy of the fleet up to date with one scan and one watch."""

from __future__ import annotations

import random
from collections.abc import Callable
from datetime import timedelta
from typing import TypeVar

import logbook
import msgspec

from .clock import Clock
from .config.model import FleetConfig
from .errors import StoreError
from .fleet_state import DaemonRecord, FleetState, RoleRecord
from .keys import KeyRing
from .partitions import PartitionTable
from .platform import layout
from .platform.directory import VmDirectory
from .platform.records import RecordError, decode_record, read_record
from .platform.store import Entry, Store, scan_all
from .vms import VmRecord

RETRY_DELAY = timedelta(seconds=0.5)
MAX_RETRY_DELAY = timedelta(seconds=8)
VM_LIST_INTERVAL = timedelta(seconds=1)

T = TypeVar("T")

log = logbook.Logger("pomeloyard.follower")


class FleetFollower:
    """Follows the store's records and the platform's VM list."""

    def __init__(
        self, store: Store, directory: VmDirectory, clock: Clock, state: FleetState
    ) -> None:
        self._store = store
        self._directory = directory
        self._clock = clock
        self._state = state
        self.on_change: list[Callable[[], None]] = []

    async def run(self) -> None:
        """Follow the store until cancelled; failures are retried with backoff."""
        delay = RETRY_DELAY
        while True:
            try:
                await self._follow()
            except StoreError as error:
                if self._state.store_reachable:
                    log.warning("store connection lost: {}", error)
                    delay = RETRY_DELAY
                self._state.store_reachable = False
            await self._clock.sleep(delay * random.uniform(0.5, 1.5))
            delay = min(delay * 2, MAX_RETRY_DELAY)

    async def run_vm_list(self) -> None:
        """Read the platform's VM list regularly until cancelled."""
        while True:
            try:
                listing = await self._directory.list_vms()
            except StoreError as error:
                log.debug("VM list not read: {}", error)
            else:
                if listing.version >= self._state.vm_list.version:
                    self._state.vm_list = listing
                    self._changed()
            await self._clock.sleep(VM_LIST_INTERVAL)

    async def _follow(self) -> None:
        page = await scan_all(self._store, layout.FOLLOWED)
        self._forget_deleted({entry.key for entry in page.entries})
        for entry in page.entries:
            await self._apply(entry.key, entry)
        self._state.store_reachable = True
        self._changed()
        async with self._store.watch(
            layout.FOLLOWED, from_revision=page.revision + 1
        ) as batches:
            async for batch in batches:
                for event in batch.events:
                    await self._apply(event.key, event.entry)
                self._changed()

    def _changed(self) -> None:
        for callback in self.on_change:
            callback()

    def _forget_deleted(self, keys: set[str]) -> None:
        """Drop records that were deleted while no watch was open."""
        state = self._state
        for prefix, records in (
            (layout.DAEMONS, state.daemons_by_incarnation),
            (layout.VMS, state.vm_records_by_name),
            (layout.ROLES, state.roles_by_name),
        ):
            for name in [n for n in records if prefix + n not in keys]:
                del records[name]

    async def _apply(self, key: str, entry: Entry | None) -> None:
        try:
            await self._apply_record(key, entry)
        except RecordError as error:
            # One damaged record must not stop the rest from being followed.
            log.error("record ignored: {}", error)

    async def _apply_record(self, key: str, entry: Entry | None) -> None:
        state = self._state
        if key == layout.CONFIG_HEAD and entry is not None:
            await self._adopt_config(decode_record(entry, int).value)
        elif key == layout.KEYS and entry is not None:
            adopt_keys(state, decode_record(entry, KeyRing).value)
        elif key == layout.PARTITIONS and entry is not None:
            if entry.mod_revision > state.partitions_revision:
                state.partitions = decode_record(entry, PartitionTable).value
                state.partitions_revision = entry.mod_revision
        elif key.startswith(layout.DAEMONS):
            _put(state.daemons_by_incarnation, layout.DAEMONS, key, entry, DaemonRecord)
        elif key.startswith(layout.VMS):
            _put(state.vm_records_by_name, layout.VMS, key, entry, VmRecord)
        elif key.startswith(layout.ROLES):
            _put(state.roles_by_name, layout.ROLES, key, entry, RoleRecord)

    async def _adopt_config(self, revision: int) -> None:
        if revision <= self._state.config.revision:
            return
        key = layout.config_revision_key(revision)
        record = await read_record(self._store, key, FleetConfig)
        if record is not None:
            adopt_config(self._state, record.value)


def _put(
    records: dict[str, T], prefix: str, key: str, entry: Entry | None, kind: type[T]
) -> None:
    name = key.removeprefix(prefix)
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
