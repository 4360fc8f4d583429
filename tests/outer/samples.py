"""Builds one value of each field's type, for comparing encoded forms."""

from __future__ import annotations

import dataclasses
import types
import typing
from collections import abc
from datetime import UTC, datetime, timedelta
from enum import Enum

import msgspec

PLAIN = {
    str: "text",
    int: 7,
    float: 1.5,
    bool: True,
    bytes: b"\x01\x02",
    datetime: datetime(2026, 1, 2, 3, 4, 5, 678000, tzinfo=UTC),
    timedelta: timedelta(seconds=2.5),
    object: "any",
    typing.Any: "any",
    type(None): None,
}
MAX_DEPTH = 8


def fields_of(kind):
    """Return the names of a record type's fields in order, or None for other types."""
    if dataclasses.is_dataclass(kind):
        return [field.name for field in dataclasses.fields(kind) if field.init]
    if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
        return list(kind.__struct_fields__)
    return None


def sample(kind, depth=0):
    """Return a value of a type; all fields and elements are filled."""
    if kind in PLAIN:
        return PLAIN[kind]
    origin, inner = typing.get_origin(kind), typing.get_args(kind)
    if origin is typing.Annotated:
        return sample(inner[0], depth)
    if origin in (typing.Union, types.UnionType):
        return sample(next(t for t in inner if t is not type(None)), depth)
    if origin is typing.Literal:
        return inner[0]
    if origin is tuple:
        if inner[-1] is Ellipsis:
            return (sample(inner[0], depth + 1),) if depth < MAX_DEPTH else ()
        return tuple(sample(part, depth + 1) for part in inner)
    if origin in (list, set, frozenset):
        return origin([sample(inner[0], depth + 1)] if depth < MAX_DEPTH else [])
    if origin in (abc.Sequence, abc.Collection):
        return (sample(inner[0], depth + 1),)
    if origin in (dict, abc.Mapping):
        if depth >= MAX_DEPTH:
            return {}
        return {sample(inner[0], depth + 1): sample(inner[1], depth + 1)}
    if isinstance(kind, type) and issubclass(kind, Enum):
        return next(iter(kind))
    names = fields_of(kind)
    if names is None:
        raise TypeError(f"no sample of {kind!r}")
    hints = typing.get_type_hints(kind)
    return kind(**{name: sample(hints[name], depth + 1) for name in names})
