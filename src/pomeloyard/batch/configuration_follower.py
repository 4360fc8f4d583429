"""Follows configurations, waves and evacuations, and how current the copy is."""

from __future__ import annotations

import random
from collections.abc import Callable, Collection
from datetime import timedelta
from typing import Protocol

import anyio
import logbook

from ..clock import Clock
from ..errors import (
    CompactedError,
    PomeloyardError,
    StoreError,
    StoreUnavailableError,
)
from ..keyvalue.store import Entry, Page, PollingStore, WatchEvent
from .evacuations import DEFAULT_EVACUATION_BOUND, ZoneEvacuations, ZoneGate
from .model import Configuration, Wave

POLL_WAIT = timedelta(seconds=0.5)
"""How long a poll waits for changes. The copy was confirmed current at most two polls
ago; with a store that takes 0.35 s to answer this stays below the shortest bound on
configuration changes, 2 s."""
RETRY_DELAY = timedelta(seconds=0.1)
"""Mean pause after a store error; the copy may go unconfirmed for a second at most."""

log = logbook.Logger("pomeloyard.batch.follow")


class DocumentError(PomeloyardError):
    """A configuration, wave, evacuation or registration cannot be decoded."""


class ConfigurationDocuments(Protocol):
    """Store keys and decoders of configurations, waves and evacuations.

    All decoders raise DocumentError.
    """

    prefix: str
    configuration_key: str

    def configuration(self, content: bytes) -> Configuration:
        """Decode a configuration."""
        ...

    def wave(self, key: str, content: bytes) -> Wave | None:
        """Decode a wave; None if the key does not belong to a wave."""
        ...

    def evacuated_zone(self, key: str) -> str | None:
        """Return the zone that a key evacuates while it exists; None for other keys."""
        ...


class ConfigurationFollower:
    """Keeps a current copy of the configuration, the waves and the evacuations.

    ``known_zones`` names the availability zones of the deployment, if they are known.
    """

    def __init__(
        self,
        clock: Clock,
        store: PollingStore,
        documents: ConfigurationDocuments,
        evacuation_bound: timedelta = DEFAULT_EVACUATION_BOUND,
        known_zones: Collection[str] = (),
    ) -> None:
        self._clock = clock
        self._store = store
        self._documents = documents
        self.current: Configuration | None = None
        self.revision = 0
        """Store revision of the configuration's key."""
        self.waves_by_id: dict[int, Wave] = {}
        self.wave_received_at_by_id: dict[int, timedelta] = {}
        self.evacuations = ZoneEvacuations()
        self.zone_gate = ZoneGate(self.evacuations, self.proof_age, evacuation_bound)
        self._known_zones = frozenset(known_zones)
        self._position = 0
        """Store revision up to which all changes are applied; it never decreases."""
        self._confirmed_at: timedelta | None = None
        self._confirmed = anyio.Event()
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

    async def wait_until_current(self) -> None:
        """Return once the copy is new enough for starts."""
        while not self.zone_gate.is_current:
            await self._confirmed.wait()

    async def run(self) -> None:
        """Follow until cancelled."""
        loaded = False
        while True:
            try:
                asked_at = self._clock.monotonic()
                if loaded:
                    await self._poll()
                else:
                    await self._load_all()
                    loaded = True
                self._confirmed_at = asked_at
                self._confirmed.set()
                self._confirmed = anyio.Event()
                self._set_store_reachable(True, "")
            except CompactedError as error:
                log.info("watch revision was compacted, reloading all: {}", error)
                loaded = False
            except StoreError as error:
                self._set_store_reachable(False, str(error))
                await self._clock.sleep(RETRY_DELAY * random.uniform(0.5, 1.5))

    async def _poll(self) -> None:
        # A copy that is too old for starts is confirmed at once.
        wait = POLL_WAIT if self.zone_gate.is_current else timedelta(0)
        batch = await self._store.poll_changes(
            self._documents.prefix, self._position, wait
        )
        for event in batch.events:
            self._apply(event)
        self._position = max(self._position, batch.revision)

    async def _load_all(self) -> None:
        """Read all documents; an evacuation that is no longer listed has ended.

        Raises StoreUnavailableError if the store answers from an earlier state.
        """
        page = await self._store.scan(self._documents.prefix)
        revision = page.revision
        listed: dict[str, int] = {}
        while True:
            self._check_not_older(page)
            for entry in page.entries:
                self._apply(WatchEvent(entry.key, entry, entry.mod_revision))
                zone = self._documents.evacuated_zone(entry.key)
                if zone:
                    listed[zone] = entry.mod_revision
            if not page.more:
                break
            last = page.entries[-1].key
            page = await self._store.scan(self._documents.prefix, start=last + "\0")
        if self.evacuations.replace_all(listed, revision):
            self._log_evacuations()
            self._notify()
        self._position = max(self._position, revision)

    def _check_not_older(self, page: Page) -> None:
        if page.revision < self._position:
            raise StoreUnavailableError(
                f"the store answered from revision {page.revision},"
                f" before {self._position}"
            )

    def _apply(self, event: WatchEvent) -> None:
        try:
            zone = self._documents.evacuated_zone(event.key)
            if zone is not None:
                self._apply_evacuation(zone, event)
            elif event.entry is None:
                # Configurations are never deleted, and a wave is carried out even if
                # its operator removes the request afterwards.
                log.info("ignoring the deletion of {}", event.key)
            elif event.key == self._documents.configuration_key:
                self._apply_configuration(event.entry)
            else:
                self._apply_wave(event.entry)
        except DocumentError as error:
            log.warning("ignoring {}, which cannot be decoded: {}", event.key, error)

    def _apply_evacuation(self, zone: str, event: WatchEvent) -> None:
        if not zone:
            log.warning("ignoring {}, which names no availability zone", event.key)
            return
        evacuated = event.entry is not None
        if not self.evacuations.apply(zone, event.revision, evacuated):
            return
        if self._known_zones and zone not in self._known_zones:
            log.warning("evacuation of unknown availability zone {!r}", zone)
        self._log_evacuations()
        self._notify()

    def _log_evacuations(self) -> None:
        zones = sorted(self.evacuations.zones)
        log.info("evacuated availability zones: {}", ", ".join(zones) or "none")

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
