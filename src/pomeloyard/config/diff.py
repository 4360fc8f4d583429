"""Differences between two configurations; no I/O."""

from __future__ import annotations

import dataclasses
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from typing import Any

from .checks import entries_by_table
from .durations import format_duration
from .model import FleetConfig


class ChangeKind(Enum):
    """What happened to an item."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@dataclass(frozen=True, slots=True)
class FieldChange:
    """Old and new value of a field, as text."""

    field: str
    old: str
    new: str


@dataclass(frozen=True, slots=True)
class ItemChange:
    """Change of one item such as "pools.orders"."""

    path: str
    kind: ChangeKind
    fields: tuple[FieldChange, ...] = ()

    def __str__(self) -> str:
        """Return the change as one line of text."""
        fields = ", ".join(f"{f.field}: {f.old} -> {f.new}" for f in self.fields)
        return f"{self.kind.value} {self.path}" + (f" ({fields})" if fields else "")


def diff_configs(old: FleetConfig, new: FleetConfig) -> tuple[ItemChange, ...]:
    """Return the changes from ``old`` to ``new``, ordered by table and name."""
    changes = []
    if old.name != new.name:
        field = FieldChange("name", old.name, new.name)
        changes.append(ItemChange("fleet", ChangeKind.CHANGED, (field,)))
    changes += _item_change("maintenance", old.maintenance, new.maintenance)
    old_tables, new_tables = entries_by_table(old), entries_by_table(new)
    for table, entries in new_tables.items():
        earlier = old_tables[table]
        for name in sorted({*earlier, *entries}):
            path = f"{table}.{name}"
            if name not in entries:
                changes.append(ItemChange(path, ChangeKind.REMOVED))
            elif name not in earlier:
                changes.append(ItemChange(path, ChangeKind.ADDED))
            else:
                changes += _item_change(path, earlier[name], entries[name])
    return tuple(changes)


def _item_change(path: str, old: Any, new: Any) -> list[ItemChange]:
    if old == new:
        return []
    return [ItemChange(path, ChangeKind.CHANGED, tuple(_field_changes(old, new)))]


def _field_changes(old: Any, new: Any, prefix: str = "") -> list[FieldChange]:
    changes: list[FieldChange] = []
    for field in dataclasses.fields(old):
        before, after = getattr(old, field.name), getattr(new, field.name)
        name = prefix + field.name
        if before == after:
            continue
        if dataclasses.is_dataclass(before) and type(before) is type(after):
            changes += _field_changes(before, after, f"{name}.")
        else:
            changes.append(FieldChange(name, _text(before), _text(after)))
    return changes


def _text(value: object) -> str:
    if isinstance(value, timedelta):
        return format_duration(value)
    if isinstance(value, tuple):
        return "[" + ", ".join(str(v) for v in value) + "]"
    return "unset" if value is None else str(value)
