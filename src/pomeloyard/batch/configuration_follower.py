"""Follows configurations and waves, and measures how current the copy is."""

from __future__ import annotations

import random
from collections.abc import Callable
from datetime import timedelta
from typing import Protocol

import anyio
import logbook

from ..clock import Clock
from ..errors import CompactedError, PomeloyardError, StoreError
from ..keyvalue.store import Entry, PollingStore
from .model import Configuration, Wave

POLL_WAIT = timedelta(seconds=0.5)
"""How long a poll waits for changes. The copy was confirmed current at most two polls
ago; with a store that takes 0.35 s to answer this stays below the shortest bound on
configuration changes, 2 s."""
RETRY_DELAY = timedelta(seconds=0.1)
"""Mean pause after a store error; the copy may go unconfirmed for a second at most."""

log = logbook.Logger("pomeloyard.batch.follow")


class DocumentError(PomeloyardError):
    """A configuration, wave or registration cannot be decoded."""


class ConfigurationDocuments(Protocol):
    """Store keys and decoders of configurations and waves.

    Both decoders raise DocumentError.
    """

    prefix: str
    configuration_key: str

    def configuration(self, content: bytes) -> Configuration:
        """Decode a configuration."""
        ...

    def wave(self, key: str, content: bytes) -> Wave | None:
        """Decode a wave; None if the key does not belong to a wave."""
        ...


class ConfigurationFollower:
    """Keeps a current copy of the newest configuration and the waves."""

    def __init__(
        self, clock: Clock, store: PollingStore, documents: ConfigurationDocuments
    ) -> None:
        self._clock = clock
        self._store = store
        self._documents = documents
        self.current: Configuration | None = None
        self.revision = 0
        """Store revision of the configuration's key."""
        self.waves_by_id: dict[int, Wave] = {}
        self.wave_received_at_by_id: dict[int, timedelta] = {}
        self._confirmed_at: timedelta | None = None
        self._changed = anyio.Event()
        self.on_change: list[Callable[[], None]] = []
        self._store_reachable = False

    @property
    def configuration_key(self) -> str:
        """Return the store key of the configuration."""
        return self._documents.configuration_key

    def proof_age(self) -> timedelta:
        """Return the time since the copy was last confirmed current."""
        if self._confirmed_at is None:
            return timedelta.max
        return self._clock.monotonic() - self._confirmed_at

    async def wait_for_change(self, timeout: timedelta) -> None:
        """Return at the next change of configuration or waves, or after ``timeout``."""
        changed = self._changed
        with anyio.move_on_after(timeout.total_seconds()):
            await changed.wait()

    async def run(self) -> None:
        """Follow until cancelled."""
        position: int | None = None
        while True:
            try:
                asked_at = self._clock.monotonic()
                if position is None:
                    position = await self._load_all()
                else:
                    batch = await self._store.poll_changes(
                        self._documents.prefix, position, POLL_WAIT
                    )
                    for event in batch.events:
                        if event.entry is not None:
                            self._apply(event.entry)
                    position = batch.revision
                self._confirmed_at = asked_at
                self._set_store_reachable(True, "")
            except CompactedError as error:
                log.info("watch revision was compacted, reloading all: {}", error)
                position = None
            except StoreError as error:
                self._set_store_reachable(False, str(error))
                await self._clock.sleep(RETRY_DELAY * random.uniform(0.5, 1.5))

    async def _load_all(self) -> int:
        page = await self._store.scan(self._documents.prefix)
        revision = page.revision
        while True:
            for entry in page.entries:
                self._apply(entry)
            if not page.more:
                return revision
            last = page.entries[-1].key
            page = await self._store.scan(self._documents.prefix, start=last + "\0")

    def _apply(self, entry: Entry) -> None:
        try:
            if entry.key == self._documents.configuration_key:
                self._apply_configuration(entry)
            else:
                self._apply_wave(entry)
        except DocumentError as error:
            log.warning("ignoring {}, which cannot be decoded: {}", entry.key, error)

    def _apply_configuration(self, entry: Entry) -> None:
        """Apply a configuration unless it is older than the current one."""
        if entry.mod_revision <= self.revision:
            return
        configuration = self._documents.configuration(entry.value)
        self.revision = entry.mod_revision
        if self.current is not None and configuration.version < self.current.version:
            log.warning(
                "ignoring configuration {}, which is older than {}",
                configuration.version,
                self.current.version,
            )
            return
        self.current = configuration
        log.info(
            "configuration {} is in force, store revision {}",
            configuration.version,
            entry.mod_revision,
        )
        self._notify()

    def _apply_wave(self, entry: Entry) -> None:
        wave = self._documents.wave(entry.key, entry.value)
        if wave is not None and self.waves_by_id.get(wave.wave_id) != wave:
            self.waves_by_id[wave.wave_id] = wave
            now = self._clock.monotonic()
            self.wave_received_at_by_id.setdefault(wave.wave_id, now)
            log.info("wave {} received, {} VMs", wave.wave_id, len(wave.vms))
            self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()
        for listener in self.on_change:
            listener()

    def _set_store_reachable(self, reachable: bool, detail: str) -> None:
        if reachable != self._store_reachable:
            self._store_reachable = reachable
            log.info("store {} {}", "regained" if reachable else "lost", detail)
