"""In-memory key-value store with the semantics of etcd."""

from __future__ import annotations

import bisect
import itertools
from collections import deque
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from datetime import timedelta

import anyio
from anyio.abc import ObjectReceiveStream
from anyio.streams.memory import MemoryObjectSendStream

from ..clock import Clock
from ..errors import (
    CompactedError,
    LeaseLostError,
    StoreError,
    StoreUnavailableError,
)
from .store import (
    CallCounter,
    CommitResult,
    Delete,
    Entry,
    Page,
    PollingStore,
    Put,
    Transaction,
    WatchBatch,
    WatchEvent,
    check_transaction,
)

HISTORY_EVENTS = 100_000
"""Events kept for watches from past revisions; older ones are compacted."""


@dataclass(slots=True)
class _Lease:
    ttl: timedelta
    expires_at: timedelta
    keys: set[str] = field(default_factory=set)


class MemoryStore(PollingStore):
    """Store in memory; expired leases are revoked by the next call or ``expire``."""

    def __init__(self, clock: Clock, history_events: int = HISTORY_EVENTS) -> None:
        self._clock = clock
        self.calls = CallCounter()
        self._entries_by_key: dict[str, Entry] = {}
        self._sorted_keys: list[str] = []
        self._revision = 1
        self._compact_revision = 0
        self._history: deque[WatchEvent] = deque()
        self._history_events = history_events
        self._leases_by_id: dict[int, _Lease] = {}
        self._lease_ids = itertools.count(1)
        self._watchers: dict[MemoryObjectSendStream[WatchBatch], str] = {}

    @property
    def revision(self) -> int:
        """Return the current store revision."""
        return self._revision

    async def get(self, key: str) -> Entry | None:
        """Return the entry of a key, or None if it is absent."""
        self.calls.reads += 1
        self.expire()
        return self._entries_by_key.get(key)

    async def scan(self, prefix: str, *, start: str = "", limit: int = 1000) -> Page:
        """Return entries whose key has ``prefix``, from key ``start`` on."""
        self.calls.reads += 1
        self.expire()
        first = bisect.bisect_left(self._sorted_keys, max(prefix, start))
        entries: list[Entry] = []
        for key in itertools.islice(self._sorted_keys, first, None):
            if not key.startswith(prefix):
                break
            if len(entries) == limit:
                return Page(tuple(entries), self._revision, more=True)
            entries.append(self._entries_by_key[key])
        return Page(tuple(entries), self._revision)

    async def commit(self, transaction: Transaction) -> CommitResult:
        """Apply a transaction atomically."""
        self.calls.writes += 1
        self.expire()
        self._check(transaction)
        for compare in transaction.compares:
            entry = self._entries_by_key.get(compare.key)
            if (entry.mod_revision if entry else 0) != compare.mod_revision:
                return CommitResult(False, self._revision)
        if transaction.operations:
            self._apply(transaction)
        return CommitResult(True, self._revision)

    async def grant_lease(self, ttl: timedelta) -> int:
        """Create a lease and return its id."""
        self.calls.writes += 1
        lease = next(self._lease_ids)
        self._leases_by_id[lease] = _Lease(ttl, self._clock.monotonic() + ttl)
        return lease

    async def keep_lease_alive(self, lease: int) -> timedelta:
        """Renew a lease and return its time to live."""
        self.calls.writes += 1
        self.expire()
        record = self._leases_by_id.get(lease)
        if record is None:
            raise LeaseLostError(f"lease {lease} has expired")
        record.expires_at = self._clock.monotonic() + record.ttl
        return record.ttl

    async def revoke_lease(self, lease: int) -> None:
        """End a lease and delete the keys attached to it."""
        self.calls.writes += 1
        record = self._leases_by_id.pop(lease, None)
        if record is not None:
            self._delete_keys(record.keys)

    @asynccontextmanager
    async def watch(
        self, prefix: str, *, from_revision: int
    ) -> AsyncIterator[AsyncIterator[WatchBatch]]:
        """Yield changes under ``prefix`` from ``from_revision`` on."""
        if from_revision <= self._compact_revision:
            raise CompactedError(self._compact_revision + 1)
        send, receive = anyio.create_memory_object_stream[WatchBatch](10_000)
        past = self._events(prefix, from_revision)
        if past:
            send.send_nowait(WatchBatch(past, self._revision))
        self._watchers[send] = prefix
        self.calls.watches_opened += 1
        self.calls.open_watches += 1
        try:
            yield _Batches(receive)
        finally:
            self.calls.open_watches -= 1
            self._watchers.pop(send, None)
            send.close()
            receive.close()

    async def poll_changes(
        self, prefix: str, after_revision: int, wait: timedelta
    ) -> WatchBatch:
        """Return changes after a revision, or an empty batch when ``wait`` is over."""
        start = after_revision + 1
        async with self.watch(prefix, from_revision=start) as batches:
            if not self._events(prefix, start):
                await self._wait_for_batch(batches, wait)
        if start <= self._compact_revision:
            raise CompactedError(self._compact_revision + 1)
        # Not the batch itself, which is lost if the wait ends as it arrives.
        events = self._events(prefix, start)
        return WatchBatch(events, max(self._revision, after_revision))

    def _events(self, prefix: str, from_revision: int) -> tuple[WatchEvent, ...]:
        recent = itertools.takewhile(
            lambda event: event.revision >= from_revision, reversed(self._history)
        )
        found = [event for event in recent if event.key.startswith(prefix)]
        return tuple(reversed(found))

    async def _wait_for_batch(
        self, batches: AsyncIterator[WatchBatch], wait: timedelta
    ) -> None:
        """Return at the next batch or after ``wait``; raise the watch's error."""
        errors: list[StoreError] = []

        async def end_wait(scope: anyio.CancelScope) -> None:
            await self._clock.sleep(wait)
            scope.cancel()

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(end_wait, tasks.cancel_scope)
            try:
                await anext(batches)
            except StoreError as error:
                errors.append(error)
            tasks.cancel_scope.cancel()
        if errors:
            raise errors[0]

    def expire(self) -> None:
        """Revoke leases whose time to live has passed."""
        now = self._clock.monotonic()
        expired = [i for i, r in self._leases_by_id.items() if r.expires_at <= now]
        for lease in expired:
            self._delete_keys(self._leases_by_id.pop(lease).keys)

    def compact(self) -> None:
        """Compact the whole history, as etcd does periodically."""
        self._compact_revision = self._revision
        self._history.clear()

    def break_watches(self) -> None:
        """Close all open watches, as a restart of the store does."""
        for stream in list(self._watchers):
            stream.close()
        self._watchers.clear()

    def _check(self, transaction: Transaction) -> None:
        check_transaction(transaction)
        for operation in transaction.operations:
            lease = operation.lease if isinstance(operation, Put) else 0
            if lease and lease not in self._leases_by_id:
                raise LeaseLostError(f"lease {lease} does not exist")

    def _apply(self, transaction: Transaction) -> None:
        self._revision += 1
        events: list[WatchEvent] = []
        for operation in transaction.operations:
            if isinstance(operation, Put):
                entry = self._put(operation)
                events.append(WatchEvent(operation.key, entry, self._revision))
            elif self._remove(operation):
                events.append(WatchEvent(operation.key, None, self._revision))
        self._publish(events)

    def _put(self, operation: Put) -> Entry:
        old = self._entries_by_key.get(operation.key)
        if old is None:
            bisect.insort(self._sorted_keys, operation.key)
        elif old.lease in self._leases_by_id:
            self._leases_by_id[old.lease].keys.discard(operation.key)
        if operation.lease:
            self._leases_by_id[operation.lease].keys.add(operation.key)
        entry = Entry(
            key=operation.key,
            value=operation.value,
            create_revision=old.create_revision if old else self._revision,
            mod_revision=self._revision,
            lease=operation.lease,
        )
        self._entries_by_key[operation.key] = entry
        return entry

    def _remove(self, operation: Delete) -> bool:
        old = self._entries_by_key.pop(operation.key, None)
        if old is None:
            return False
        del self._sorted_keys[bisect.bisect_left(self._sorted_keys, operation.key)]
        if old.lease in self._leases_by_id:
            self._leases_by_id[old.lease].keys.discard(operation.key)
        return True

    def _delete_keys(self, keys: set[str]) -> None:
        if keys:
            self._apply(Transaction((), tuple(Delete(key) for key in sorted(keys))))

    def _publish(self, events: list[WatchEvent]) -> None:
        self._history.extend(events)
        while len(self._history) > self._history_events:
            self._compact_revision = self._history.popleft().revision
        for stream, prefix in list(self._watchers.items()):
            matching = tuple(e for e in events if e.key.startswith(prefix))
            if not matching:
                continue
            try:
                stream.send_nowait(WatchBatch(matching, self._revision))
            except (anyio.WouldBlock, anyio.BrokenResourceError):
                # The buffer is full; its reader must restart with a scan.
                self._watchers.pop(stream, None)
                stream.close()


class _Batches(AsyncIterator[WatchBatch]):
    """Batches of a watch; unlike a generator, usable after a cancelled wait."""

    def __init__(self, receive: ObjectReceiveStream[WatchBatch]) -> None:
        self._receive = receive

    async def __anext__(self) -> WatchBatch:
        try:
            return await self._receive.receive()
        except anyio.EndOfStream:
            raise StoreUnavailableError("the watch ended") from None
