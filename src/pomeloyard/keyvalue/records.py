"""Typed records in the store, with compare-and-swap and lost-response recovery."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any, Generic, TypeVar

import logbook
import msgspec

from ..errors import (
    PomeloyardError,
    StoreError,
    StoreOutcomeUnknownError,
    WriteSupersededError,
)
from .store import Compare, Delete, Entry, Put, Store, Transaction, new_write_id

T = TypeVar("T")

RECENT_WRITES = 8
"""Write ids kept in a record, so that the outcome of a write with a lost response can
be determined even after other writers have changed the record."""

RESOLVE_ATTEMPTS = 3

log = logbook.Logger("pomeloyard.keyvalue.records")


class ConflictError(PomeloyardError):
    """Another writer changed a record first; nothing was written."""

    def __init__(self, key: str) -> None:
        super().__init__(f"{key} was changed by another writer")
        self.key = key


class RecordError(StoreError):
    """A record in the store cannot be decoded as the expected type."""


@dataclass(frozen=True, slots=True)
class Versioned(Generic[T]):
    """A record with the store revision of its last change (0: absent)."""

    key: str
    value: T
    mod_revision: int
    write_ids: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Change:
    """New value of a record; ``value`` None deletes it.

    ``expected`` is the record that the change is based on, or None if the record
    must be absent.
    """

    key: str
    value: Any
    expected: Versioned[Any] | None
    lease: int = 0


def decode_record(entry: Entry, kind: type[T]) -> Versioned[T]:
    """Decode a store entry as a record of class ``kind``."""
    try:
        envelope = msgspec.json.decode(entry.value)
        value = msgspec.convert(envelope["data"], kind)
        write_ids = tuple(envelope["writes"])
    except (msgspec.MsgspecError, KeyError, TypeError) as error:
        raise RecordError(f"{entry.key}: {error}") from error
    return Versioned(entry.key, value, entry.mod_revision, write_ids)


async def read_record(store: Store, key: str, kind: type[T]) -> Versioned[T] | None:
    """Return the record at ``key``, or None if it is absent."""
    entry = await store.get(key)
    return None if entry is None else decode_record(entry, kind)


async def commit_changes(
    store: Store, changes: Sequence[Change], guards: Sequence[Compare] = ()
) -> int:
    """Apply all changes in one transaction and return the store revision.

    ``guards`` are comparisons of keys that are not written. Raises ConflictError if
    any record is not as expected or a guard fails. After a lost response, the
    outcome is determined by reading the write id back; if that fails too,
    StoreOutcomeUnknownError is raised. Other store errors mean that nothing was
    written.
    """
    write_id = new_write_id()
    transaction = _transaction(changes, write_id, guards)
    lost: StoreOutcomeUnknownError | None = None
    for _ in range(RESOLVE_ATTEMPTS):
        try:
            result = await store.commit(transaction)
            if result.succeeded:
                return result.revision
            if lost is None:
                raise ConflictError(changes[0].key)
            return await _resolve_lost_response(store, changes, write_id)
        except WriteSupersededError:
            raise
        except StoreOutcomeUnknownError as error:
            lost = error
        except StoreError as error:
            if lost is None:
                raise
            # This attempt had no effect, but the previous one may have had.
            log.debug("outcome of write to {} still unknown: {}", changes[0].key, error)
    raise StoreOutcomeUnknownError(f"commit of {changes[0].key}") from lost


async def _resolve_lost_response(
    store: Store, changes: Sequence[Change], write_id: str
) -> int:
    """Distinguish an earlier success of this write from a conflict.

    The transaction is atomic, so one record shows the outcome of all.
    """
    entries = [await store.get(change.key) for change in changes]
    for entry in entries:
        if entry is not None and write_id in _write_ids(entry):
            return entry.mod_revision
    if any(map(_certainly_not_written, changes, entries)):
        raise ConflictError(changes[0].key)
    if not any(entries) and all(change.value is None for change in changes):
        return 0  # A deletion leaves no write id; the records are absent as wanted.
    raise WriteSupersededError(f"{changes[0].key} was replaced since")


def _certainly_not_written(change: Change, entry: Entry | None) -> bool:
    """Tell whether ``entry``, without the write id, proves that nothing was written."""
    expected = change.expected
    if entry is None or expected is None:
        # The record may have been written, then deleted and created again.
        return False
    if entry.create_revision > expected.mod_revision:
        return False  # Created again after a deletion, which loses the write ids.
    if change.value is None:
        return True
    found = _write_ids(entry)
    return len(found) < RECENT_WRITES or set(expected.write_ids[-1:]) <= set(found)


def _write_ids(entry: Entry) -> tuple[str, ...]:
    try:
        return tuple(msgspec.json.decode(entry.value)["writes"])
    except (msgspec.MsgspecError, KeyError, TypeError):
        return ()


def _transaction(
    changes: Sequence[Change], write_id: str, guards: Sequence[Compare]
) -> Transaction:
    compares = tuple(
        Compare(c.key, c.expected.mod_revision if c.expected else 0) for c in changes
    )
    operations = tuple(
        Delete(c.key)
        if c.value is None
        else Put(c.key, _encode(c, write_id), lease=c.lease)
        for c in changes
    )
    return Transaction((*guards, *compares), operations)


def _encode(change: Change, write_id: str) -> bytes:
    earlier = change.expected.write_ids if change.expected else ()
    writes = (*earlier, write_id)[-RECENT_WRITES:]
    return msgspec.json.encode({"writes": writes, "data": change.value})
