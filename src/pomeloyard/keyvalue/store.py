"""Interface of the platform's key-value store."""

from __future__ import annotations

import secrets
from abc import ABC, abstractmethod
from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass
from datetime import timedelta

from ..errors import StoreRequestError

MAX_VALUE_BYTES = 1024 * 1024
MAX_OPERATIONS = 128
"""Operations in one transaction; the default limit of etcd."""


@dataclass(frozen=True, slots=True)
class Entry:
    """A key with its value and its create and modification revisions."""

    key: str
    value: bytes
    create_revision: int
    mod_revision: int
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Page:
    """Page of a range in key order, read at store revision ``revision``."""

    entries: tuple[Entry, ...]
    revision: int
    more: bool = False


@dataclass(frozen=True, slots=True)
class Compare:
    """Condition that a key was last changed at ``mod_revision`` (0: is absent)."""

    key: str
    mod_revision: int


@dataclass(frozen=True, slots=True)
class Put:
    """Write of a value, deleted when ``lease`` expires unless that is 0."""

    key: str
    value: bytes
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Delete:
    """Deletion of a key."""

    key: str


Operation = Put | Delete


@dataclass(frozen=True, slots=True)
class Transaction:
    """Operations that all take effect if all comparisons hold, else none."""

    compares: tuple[Compare, ...]
    operations: tuple[Operation, ...]


@dataclass(frozen=True, slots=True)
class CommitResult:
    """Whether the transaction took effect, and the store revision after it."""

    succeeded: bool
    revision: int


@dataclass(frozen=True, slots=True)
class WatchEvent:
    """A change of a key; ``entry`` is None when the key was deleted."""

    key: str
    entry: Entry | None
    revision: int


@dataclass(frozen=True, slots=True)
class WatchBatch:
    """Events up to and including store revision ``revision``."""

    events: tuple[WatchEvent, ...]
    revision: int


@dataclass
class CallCounter:
    """Counters of calls to the store, which the platform rate-limits.

    ``failures`` counts calls without a response and ``relayed`` those made for other
    daemons; ``open_watches`` is a current number, not a total.
    """

    reads: int = 0
    writes: int = 0
    failures: int = 0
    relayed: int = 0
    watches_opened: int = 0
    open_watches: int = 0


class Store(ABC):
    """Key-value store with compare-and-swap, leases and watches.

    Every method raises StoreUnavailableError when it certainly had no effect,
    StoreOutcomeUnknownError when a write may have taken effect, and
    StoreRequestError when the store rejects the request as invalid.
    """

    calls: CallCounter

    @abstractmethod
    async def get(self, key: str) -> Entry | None:
        """Return the entry of a key, or None if it is absent."""

    @abstractmethod
    async def scan(self, prefix: str, *, start: str = "", limit: int = 1000) -> Page:
        """Return entries whose key has ``prefix``, from key ``start`` on."""

    @abstractmethod
    async def commit(self, transaction: Transaction) -> CommitResult:
        """Apply a transaction atomically."""

    @abstractmethod
    async def grant_lease(self, ttl: timedelta) -> int:
        """Create a lease and return its id (never 0)."""

    @abstractmethod
    async def keep_lease_alive(self, lease: int) -> timedelta:
        """Renew a lease and return its time to live.

        Raises LeaseLostError when it has expired.
        """

    @abstractmethod
    async def revoke_lease(self, lease: int) -> None:
        """End a lease and delete the keys attached to it."""

    @abstractmethod
    def watch(
        self, prefix: str, *, from_revision: int
    ) -> AbstractAsyncContextManager[AsyncIterator[WatchBatch]]:
        """Yield changes under ``prefix`` from ``from_revision`` on.

        Iteration raises CompactedError when those revisions are compacted and
        StoreUnavailableError when the watch breaks.
        """

    async def close(self) -> None:  # noqa: B027
        """Release connections."""


class PollingStore(Store):
    """Store whose changes can also be polled.

    A response to a poll proves that the caller was up to date when it sent the poll;
    a watch without events proves nothing.
    """

    @abstractmethod
    async def poll_changes(
        self, prefix: str, after_revision: int, wait: timedelta
    ) -> WatchBatch:
        """Return changes after a revision, or an empty batch when ``wait`` is over.

        Raises CompactedError when those revisions are compacted and
        StoreUnavailableError when there is no response.
        """


def check_transaction(transaction: Transaction) -> None:
    """Raise StoreRequestError for a transaction that no store accepts."""
    operations = transaction.operations
    if max(len(operations), len(transaction.compares)) > MAX_OPERATIONS:
        raise StoreRequestError(f"more than {MAX_OPERATIONS} operations")
    if len({operation.key for operation in operations}) != len(operations):
        raise StoreRequestError("a key occurs twice in one transaction")
    for operation in operations:
        if isinstance(operation, Put) and len(operation.value) > MAX_VALUE_BYTES:
            raise StoreRequestError(f"value of {operation.key} is over 1 MB")


async def scan_all(store: Store, prefix: str) -> Page:
    """Return all entries under ``prefix``, read page by page.

    The revision is that of the first page, so that a watch from the next one on
    misses no change.
    """
    page = await store.scan(prefix)
    entries = list(page.entries)
    revision = page.revision
    while page.more:
        page = await store.scan(prefix, start=entries[-1].key + "\0")
        entries.extend(page.entries)
    return Page(tuple(entries), revision)


def new_write_id() -> str:
    """Return a random id that identifies one write if its response is lost."""
    return secrets.token_hex(8)
