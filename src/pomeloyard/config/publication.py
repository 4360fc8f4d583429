"""Publish configurations as revisions by compare-and-swap."""

from __future__ import annotations

from collections.abc import Callable, Coroutine, Sequence
from dataclasses import dataclass, field, replace
from typing import Any

import anyio
import msgspec

from ..errors import RefusedError, StoreError
from ..keyvalue import layout
from ..keyvalue.records import (
    Change,
    ConflictError,
    Versioned,
    commit_changes,
    read_record,
)
from ..keyvalue.store import MAX_VALUE_BYTES, Entry, Store
from ..outcomes import RefusalReason, Refused
from .diff import ItemChange, diff_configs
from .model import FleetConfig

KEPT_REVISIONS = 20
ENVELOPE_BYTES = 1024
"""Reserved for the envelope that a record adds to the configuration."""


@dataclass(frozen=True, slots=True)
class RevisionInfo:
    """Metadata of a retained revision: when, by whom and why it was published."""

    revision: int
    at: str
    by: str
    note: str
    changes: int


@dataclass(frozen=True, slots=True)
class Published:
    """A published revision and its changes."""

    config: FleetConfig
    changes: tuple[ItemChange, ...]

    @property
    def revision(self) -> int:
        """Return the number of the revision."""
        return self.config.revision


class ConfigConflictError(ConflictError):
    """Another revision was published after the one that this is based on."""

    def __init__(
        self, made_from: int, in_force: int, changes: tuple[ItemChange, ...]
    ) -> None:
        super().__init__(layout.CONFIG_HEAD)
        self.made_from = made_from
        self.in_force = in_force
        self.changes = changes

    def __str__(self) -> str:
        """Return the conflict and what changed as text."""
        shown = "; ".join(str(change) for change in self.changes[:10])
        text = f"made from revision {self.made_from}, but {self.in_force} is in force"
        return f"{text}: {shown}" if shown else text


async def publish(
    store: Store,
    config: FleetConfig,
    made_from: int,
    *,
    by: str = "",
    at: str = "",
    note: str = "",
) -> Published:
    """Publish ``config`` as the revision after ``made_from`` and return it.

    Raises ConfigConflictError if another revision was published since, and
    RefusedError if the content is over the store's limit for a value.
    """
    config = replace(config, revision=made_from + 1)
    size = len(msgspec.json.encode(config))
    if size > MAX_VALUE_BYTES - ENVELOPE_BYTES:
        detail = f"{size} bytes are over {MAX_VALUE_BYTES - ENVELOPE_BYTES}"
        raise RefusedError(Refused(RefusalReason.TOO_LARGE, detail))
    base = await _read_base_records(store, made_from)
    if (base.head.value if base.head else 0) != made_from:
        raise await _conflict(store, made_from)
    changes = diff_configs(base.earlier, config)
    info = RevisionInfo(config.revision, at, by, note, len(changes))
    try:
        await commit_changes(store, _record_changes(config, base, info))
    except ConflictError as error:
        raise await _conflict(store, made_from) from error
    return Published(config, changes)


async def roll_back(
    store: Store, revision: int, made_from: int, *, by: str = "", at: str = ""
) -> Published:
    """Publish the content of an earlier revision as a new one."""
    config = await read_revision(store, revision)
    note = f"rollback to {revision}"
    return await publish(store, config, made_from, by=by, at=at, note=note)


async def read_revision(store: Store, revision: int) -> FleetConfig:
    """Return a retained revision; raises RefusedError if there is none."""
    key = layout.config_revision_key(revision)
    record = await read_record(store, key, FleetConfig)
    if record is None:
        detail = f"revision {revision} is not kept"
        raise RefusedError(Refused(RefusalReason.NOT_FOUND, detail))
    return record.value


async def history(store: Store) -> tuple[RevisionInfo, ...]:
    """Return the retained revisions, newest first."""
    record = await read_record(
        store,
        layout.CONFIG_HISTORY,
        tuple[RevisionInfo, ...],
    )
    return tuple(reversed(record.value)) if record else ()


@dataclass
class _BaseRecords:
    """The stored records that a publication is based on."""

    head: Versioned[int] | None = None
    earlier: FleetConfig = field(default_factory=lambda: FleetConfig(name=""))
    kept: Versioned[tuple[RevisionInfo, ...]] | None = None
    oldest: Entry | None = None


async def _read_base_records(store: Store, made_from: int) -> _BaseRecords:
    """Read all records concurrently, as each call may be slow."""
    base = _BaseRecords()

    async def read_head() -> None:
        base.head = await read_record(store, layout.CONFIG_HEAD, int)

    async def read_earlier() -> None:
        key = layout.config_revision_key(made_from)
        record = await read_record(store, key, FleetConfig)
        base.earlier = record.value if record else base.earlier

    async def read_history() -> None:
        kind = tuple[RevisionInfo, ...]
        base.kept = await read_record(store, layout.CONFIG_HISTORY, kind)

    async def read_oldest() -> None:
        key = layout.config_revision_key(made_from + 1 - KEPT_REVISIONS)
        base.oldest = await store.get(key)

    reads = [read_head, read_history]
    if made_from > 0:
        reads.append(read_earlier)
    if made_from >= KEPT_REVISIONS:
        reads.append(read_oldest)
    await _run_concurrently(reads)
    return base


async def _run_concurrently(
    reads: Sequence[Callable[[], Coroutine[Any, Any, None]]],
) -> None:
    """Run reads concurrently; the first store error cancels the others."""
    failure: StoreError | None = None

    async def run(read: Callable[[], Coroutine[Any, Any, None]]) -> None:
        nonlocal failure
        try:
            await read()
        except StoreError as error:
            failure = error
            tasks.cancel_scope.cancel()

    async with anyio.create_task_group() as tasks:
        for read in reads:
            tasks.start_soon(run, read)
    if failure is not None:
        raise failure


def _record_changes(
    config: FleetConfig, base: _BaseRecords, info: RevisionInfo
) -> list[Change]:
    """Return the record changes of one publication.

    Each publication deletes the one revision that is no longer retained.
    """
    infos = (*(base.kept.value if base.kept else ()), info)[-KEPT_REVISIONS:]
    changes = [
        Change(layout.CONFIG_HEAD, config.revision, base.head),
        Change(layout.config_revision_key(config.revision), config, None),
        Change(layout.CONFIG_HISTORY, infos, base.kept),
    ]
    if base.oldest is not None:
        old = Versioned(base.oldest.key, None, base.oldest.mod_revision)
        changes.append(Change(old.key, None, old))
    return changes


async def _conflict(store: Store, made_from: int) -> ConfigConflictError:
    """Return the conflict with the changes published since ``made_from``."""
    head = await read_record(store, layout.CONFIG_HEAD, int)
    in_force = head.value if head else 0
    try:
        new = await read_revision(store, in_force)
        old = await read_revision(store, made_from)
    except RefusedError:
        # One of the two is no longer retained, so there is no difference to show.
        return ConfigConflictError(made_from, in_force, ())
    return ConfigConflictError(made_from, in_force, diff_configs(old, new))
