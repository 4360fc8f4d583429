"""Writes to records that only the holder of an epoch changes."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from datetime import timedelta

import anyio
import logbook

from ..clock import Clock
from ..errors import StoreError
from ..keyvalue.store import Compare, Entry, Put, Store, Transaction

RETRY_DELAY = timedelta(milliseconds=200)
"""Pause after a store error; these records are not time-critical."""

log = logbook.Logger("pomeloyard.batch.guarded_records")


class FencedRecords:
    """Writes each key compared with its last revision, one write at a time.

    A write whose answer was lost may take effect seconds later; comparing the revision
    prevents it from overwriting a newer one.
    """

    def __init__(self, clock: Clock, store: Store, guard: Compare) -> None:
        self._clock = clock
        self._store = store
        self._guard = guard
        self._revisions_by_key: dict[str, int] = {}
        self._contents_by_key: dict[str, bytes] = {}
        """Last content stored by this term."""
        self._locks_by_key: dict[str, anyio.Lock] = defaultdict(anyio.Lock)

    async def read(self, key: str) -> Entry | None:
        """Return a record, retrying until the store answers."""
        while True:
            try:
                entry = await self._store.get(key)
            except StoreError as error:
                log.info("reading {} failed, retrying: {}", key, error)
                await self._clock.sleep(RETRY_DELAY)
                continue
            self._revisions_by_key[key] = entry.mod_revision if entry else 0
            return entry

    async def write(self, key: str, content: bytes) -> bool:
        """Store a record, retrying until it is durable.

        Returns False if the epoch was replaced.
        """
        return await self.write_coalesced(key, lambda: content)

    async def write_coalesced(self, key: str, encode: Callable[[], bytes]) -> bool:
        """Store what ``encode`` returns once earlier writes of the key have finished.

        Concurrent changes share a write: content that is already stored is not written
        again. Returns False if the epoch was replaced.
        """
        async with self._locks_by_key[key]:
            content = encode()
            if self._contents_by_key.get(key) == content:
                return True
            if not await self._write(key, content):
                return False
            self._contents_by_key[key] = content
            return True

    async def _write(self, key: str, content: bytes) -> bool:
        if key not in self._revisions_by_key:
            await self.read(key)
        while True:
            compares = (self._guard, Compare(key, self._revisions_by_key[key]))
            transaction = Transaction(compares, (Put(key, content),))
            try:
                result = await self._store.commit(transaction)
            except StoreError as error:
                log.info("storing {} failed, retrying: {}", key, error)
                await self._clock.sleep(RETRY_DELAY)
                continue
            if result.succeeded:
                self._revisions_by_key[key] = result.revision
                return True
            # Either the epoch was replaced, or an unanswered attempt took effect.
            entry = await self.read(key)
            return entry is not None and entry.value == content
