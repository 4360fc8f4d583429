"""Store with injected faults, for tests of the code that uses the store."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable, Iterable
from contextlib import asynccontextmanager
from datetime import timedelta

from pomeloyard.errors import StoreOutcomeUnknownError, StoreUnavailableError
from pomeloyard.keyvalue.memory import MemoryStore
from pomeloyard.keyvalue.store import (
    CommitResult,
    Entry,
    Page,
    Store,
    Transaction,
    WatchBatch,
)


class FaultyStore(Store):
    """One client's view of a shared MemoryStore, with injected faults.

    ``lose_answers`` is how many of the next writes take effect and then raise
    StoreOutcomeUnknownError; ``lose_requests`` is how many raise it without
    effect. ``stale_page`` is returned by scans instead of the current content.
    ``change_batch`` maps each watch batch to any number of batches. ``before`` is
    called with the name of each operation before it runs.
    """

    def __init__(self, inner: MemoryStore) -> None:
        self.inner = inner
        self.calls = inner.calls
        self.available = True
        self.lose_answers = 0
        self.lose_requests = 0
        self.stale_page: Page | None = None
        self.change_batch: Callable[[WatchBatch], Iterable[WatchBatch]] = lambda b: [b]
        self.before: Callable[[str], None] = lambda operation: None

    def set_available(self, available: bool) -> None:
        """Start or end an outage; its start also ends open watches."""
        self.available = available
        if not available:
            self.inner.break_watches()

    async def get(self, key: str) -> Entry | None:
        self._check("get")
        return await self.inner.get(key)

    async def scan(self, prefix: str, *, start: str = "", limit: int = 1000) -> Page:
        self._check("scan")
        if self.stale_page is not None:
            return self.stale_page
        return await self.inner.scan(prefix, start=start, limit=limit)

    async def commit(self, transaction: Transaction) -> CommitResult:
        self._check_write("commit")
        result = await self.inner.commit(transaction)
        self._lose_answer()
        return result

    async def grant_lease(self, ttl: timedelta) -> int:
        self._check_write("grant_lease")
        lease = await self.inner.grant_lease(ttl)
        self._lose_answer()
        return lease

    async def keep_lease_alive(self, lease: int) -> timedelta:
        self._check_write("keep_lease_alive")
        ttl = await self.inner.keep_lease_alive(lease)
        self._lose_answer()
        return ttl

    async def revoke_lease(self, lease: int) -> None:
        self._check_write("revoke_lease")
        await self.inner.revoke_lease(lease)
        self._lose_answer()

    @asynccontextmanager
    async def watch(
        self, prefix: str, *, from_revision: int
    ) -> AsyncIterator[AsyncIterator[WatchBatch]]:
        self._check("watch")
        async with self.inner.watch(prefix, from_revision=from_revision) as batches:
            yield self._changed(batches)

    async def _changed(
        self, batches: AsyncIterator[WatchBatch]
    ) -> AsyncIterator[WatchBatch]:
        async for batch in batches:
            for changed in self.change_batch(batch):
                yield changed

    def _check(self, operation: str) -> None:
        self.before(operation)
        if not self.available:
            raise StoreUnavailableError("injected outage")

    def _check_write(self, operation: str) -> None:
        self._check(operation)
        if self.lose_requests:
            self.lose_requests -= 1
            raise StoreOutcomeUnknownError("injected loss of the request")

    def _lose_answer(self) -> None:
        if self.lose_answers:
            self.lose_answers -= 1
            raise StoreOutcomeUnknownError("injected loss of the answer")
