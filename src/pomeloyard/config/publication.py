"""Publish configurations as revisions by compare-and-swap."""

from __future__ import annotations

from dataclasses import dataclass, replace

import msgspec

from ..errors import RefusedError
from ..outcomes import RefusalReason, Refused
from ..platform import layout
from ..platform.records import (
    Change,
    ConflictError,
    Versioned,
    commit_changes,
    read_record,
)
from ..platform.store import MAX_VALUE_BYTES, Store
from .diff import ItemChange, diff_configs
from .model import FleetConfig

KEPT_REVISIONS = 20
ENVELOPE_BYTES = 1024
"""Room for what a record adds to the configuration's own content."""


@dataclass(frozen=True, slots=True)
class RevisionInfo:
    """When, by whom and from what a kept revision was published."""

    revision: int
    at: str
    by: str
    note: str
    changes: int


@dataclass(frozen=True, slots=True)
class Published:
    """A new revision and what it changed."""

    config: FleetConfig
    changes: tuple[ItemChange, ...]

    @property
    def revision(self) -> int:
        """Return the number of the revision."""
        return self.config.revision


class ConfigConflictError(ConflictError):
    """Another revision was published since the one that this was made from."""

    def __init__(
        self, made_from: int, in_force: int, changes: tuple[ItemChange, ...]
    ) -> None:
        super().__init__(layout.CONFIG_HEAD)
        self.made_from = made_from
        self.in_force = in_force
        self.changes = changes

    def __str__(self) -> str:
        """Return what changed as text."""
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
    head = await read_record(store, layout.CONFIG_HEAD, int)
    if (head.value if head else 0) != made_from:
        raise await _conflict(store, made_from)
    earlier = await read_revision(store, made_from) if head else FleetConfig(name="")
    changes = diff_configs(earlier, config)
    info = RevisionInfo(config.revision, at, by, note, len(changes))
    try:
        await commit_changes(store, await _record_changes(store, config, head, info))
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
    """Return a kept revision; raises RefusedError if there is none."""
    key = layout.config_revision_key(revision)
    record = await read_record(store, key, FleetConfig)
    if record is None:
        detail = f"revision {revision} is not kept"
        raise RefusedError(Refused(RefusalReason.NOT_FOUND, detail))
    return record.value


async def history(store: Store) -> tuple[RevisionInfo, ...]:
    """Return the kept revisions, newest first."""
    record = await read_record(
        store,
        layout.CONFIG_HISTORY,
        tuple[RevisionInfo, ...],
    )
    return tuple(reversed(record.value)) if record else ()


async def _record_changes(
    store: Store, config: FleetConfig, head: Versioned[int] | None, info: RevisionInfo
) -> list[Change]:
    """Return the record changes of one publication."""
    kept = await read_record(store, layout.CONFIG_HISTORY, tuple[RevisionInfo, ...])
    infos = (*(kept.value if kept else ()), info)
    changes = [
        Change(layout.CONFIG_HEAD, config.revision, head),
        Change(layout.config_revision_key(config.revision), config, None),
        Change(layout.CONFIG_HISTORY, infos[-KEPT_REVISIONS:], kept),
    ]
    for old in infos[:-KEPT_REVISIONS]:
        key = layout.config_revision_key(old.revision)
        entry = await store.get(key)
        if entry is not None:
            expected = Versioned(key, None, entry.mod_revision)
            changes.append(Change(key, None, expected))
    return changes


async def _conflict(store: Store, made_from: int) -> ConfigConflictError:
    """Return the conflict with what was published since ``made_from``."""
    head = await read_record(store, layout.CONFIG_HEAD, int)
    in_force = head.value if head else 0
    try:
        new = await read_revision(store, in_force)
        old = await read_revision(store, made_from)
    except RefusedError:
        # One of the two is no longer kept, so the difference cannot be told.
        return ConfigConflictError(made_from, in_force, ())
    return ConfigConflictError(made_from, in_force, diff_configs(old, new))
