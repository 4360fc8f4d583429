"""Writes of one term to records that no other writer changes in its epoch."""

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
"""Pause after a store error; nobody waits for these records."""

log = logbook.Logger("pomeloyard.batch.guarded_records")


class GuardedRecords:
    """Writes each key from its last revision on, one write at a time.

    A write whose answer was lost may be carried out seconds later; the revision
    keeps it from replacing a newer one.
    """

    def __init__(self, clock: Clock, store: Store, guard: Compare) -> None:
        self._clock = clock
        self._store = store
        self._guard = guard
        self._revisions_by_key: dict[str, int] = {}
        self._contents_by_key: dict[str, bytes] = {}
        """What this term has stored."""
        self._locks_by_key: dict[str, anyio.Lock] = defaultdict(anyio.Lock)

    async def read(self, key: str) -> Entry | None:
        """Return a record; returns only when the store has answered."""
        while True:
            try:
                entry = await self._store.get(key)
            except StoreError as error:
                log.info("{} is not read yet: {}", key, error)
                await self._clock.sleep(RETRY_DELAY)
                continue
            self._revisions_by_key[key] = entry.mod_revision if entry else 0
            return entry

    async def write(self, key: str, content: bytes) -> bool:
        """Store a record; return when it is durable.

        False: the epoch was replaced.
        """
        return await self.write_latest(key, lambda: content)

    async def write_latest(self, key: str, pack: Callable[[], bytes]) -> bool:
        """Store what ``pack`` returns when the write's turn has come.

        Changes of one moment share a write: what an earlier one has stored is not
        written again. False: the epoch was replaced.
        """
        async with self._locks_by_key[key]:
            content = pack()
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
                log.info("{} is not stored yet: {}", key, error)
                await self._clock.sleep(RETRY_DELAY)
                continue
            if result.succeeded:
                self._revisions_by_key[key] = result.revision
                return True
            # Either the epoch was replaced, or an attempt without an answer has
            # taken effect.
            entry = await self.read(key)
            return entry is not None and entry.value == content
