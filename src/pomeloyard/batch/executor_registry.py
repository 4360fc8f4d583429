"""Watches the registrations of executors."""

from __future__ import annotations

import random
from collections.abc import Callable
from datetime import timedelta
from typing import Protocol

import anyio
import logbook

from ..clock import Clock
from ..errors import CompactedError, StoreError
from ..keyvalue.store import Entry, PollingStore
from .configuration_follower import DocumentError
from .executors import Executor

POLL_WAIT = timedelta(seconds=1.2)
"""A connection that silently stopped delivering hides draining executors for this long;
nothing may be started on them 2 s after they announced the drain."""
RETRY_DELAY = timedelta(seconds=0.1)
"""Mean pause after a store error."""

log = logbook.Logger("pomeloyard.batch.registry")


class ExecutorDocuments(Protocol):
    """Store prefix and decoder of executor registrations."""

    prefix: str

    def executor(self, key: str, content: bytes) -> Executor:
        """Decode a registration; raises DocumentError."""
        ...


class ExecutorRegistry:
    """Keeps the currently registered executors."""

    def __init__(
        self, clock: Clock, store: PollingStore, documents: ExecutorDocuments
    ) -> None:
        self._clock = clock
        self._store = store
        self._documents = documents
        self.executors_by_id: dict[str, Executor] = {}
        self.loaded = anyio.Event()
        self.on_change: Callable[[], None] | None = None

    async def run(self) -> None:
        """Watch the registrations until cancelled."""
        position: int | None = None
        while True:
            try:
                if position is None:
                    position = await self._load_all()
                    self.loaded.set()
                else:
                    batch = await self._store.poll_changes(
                        self._documents.prefix, position, POLL_WAIT
                    )
                    position = batch.revision
                    for event in batch.events:
                        self._apply(event.key, event.entry)
                    if not batch.events:
                        continue
                if self.on_change is not None:
                    self.on_change()
            except CompactedError as error:
                log.info("watch revision was compacted, reloading all: {}", error)
                position = None
            except StoreError as error:
                log.info("executor watch failed, retrying: {}", error)
                await self._clock.sleep(RETRY_DELAY * random.uniform(0.5, 1.5))

    async def _load_all(self) -> int:
        prefix = self._documents.prefix
        page = await self._store.scan(prefix)
        revision = page.revision
        entries: dict[str, Entry] = {}
        while True:
            entries.update((entry.key, entry) for entry in page.entries)
            if not page.more:
                break
            last = page.entries[-1].key
            page = await self._store.scan(prefix, start=last + "\0")
        for executor_id in list(self.executors_by_id):
            if prefix + executor_id not in entries:
                del self.executors_by_id[executor_id]
        for key, entry in entries.items():
            self._apply(key, entry)
        return revision

    def _apply(self, key: str, entry: Entry | None) -> None:
        executor_id = key.removeprefix(self._documents.prefix)
        if entry is None:
            self.executors_by_id.pop(executor_id, None)
            return
        try:
            executor = self._documents.executor(key, entry.value)
        except DocumentError as error:
            log.warning("ignoring registration {}, which is invalid: {}", key, error)
            self.executors_by_id.pop(executor_id, None)
            return
        self.executors_by_id[executor_id] = executor
