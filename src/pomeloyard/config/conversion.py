"""Convert TOML values to dataclasses, collecting all problems."""

from __future__ import annotations

import dataclasses
import types
import typing
from datetime import timedelta
from typing import Any, TypeVar, Union

import msgspec

from .durations import EXPECTED_DURATION, parse_duration
from .limits import value_problems
from .problems import ConfigProblem, unknown_name

T = TypeVar("T")

_EXPECTED_BY_TYPE = {
    str: "a text",
    int: "a whole number",
    float: "a number",
    bool: "true or false",
    timedelta: EXPECTED_DURATION,
}


class _InvalidTypeError(Exception):
    """A value does not have the expected type."""

    def __init__(self, expected: str) -> None:
        super().__init__(expected)
        self.expected = expected


def convert(
    values: dict[str, Any], kind: type[T], file: str, path: str
) -> tuple[T | None, list[ConfigProblem]]:
    """Return an instance of the dataclass ``kind``, or None with the problems."""
    hints = field_types(kind)
    problems: list[ConfigProblem] = []
    converted: dict[str, Any] = {}
    for key, value in values.items():
        key_path = f"{path}.{key}"
        if key not in hints:
            known = [name for name in hints if name != "name"]
            problems.append(unknown_name(file, key_path, key, known))
            continue
        if dataclasses.is_dataclass(hints[key]) and isinstance(value, dict):
            nested, found = convert(value, hints[key], file, key_path)
            problems.extend(found)
            converted[key] = nested
            continue
        try:
            converted[key] = _value(value, hints[key])
        except _InvalidTypeError as error:
            problem = f"{_type_name(value)} is not allowed"
            problems.append(ConfigProblem(file, key_path, problem, error.expected))
    for name in _required(kind) - values.keys():
        problems.append(ConfigProblem(file, f"{path}.{name}", "is missing", "a value"))
    return (None, problems) if problems else (kind(**converted), [])


def range_problems(item: object, file: str, path: str) -> list[ConfigProblem]:
    """Return a problem for each value of a dataclass that is out of range."""
    problems: list[ConfigProblem] = []
    for field in dataclasses.fields(item):  # type: ignore[arg-type]
        value = getattr(item, field.name)
        key_path = f"{path}.{field.name}"
        if dataclasses.is_dataclass(value):
            problems.extend(range_problems(value, file, key_path))
            continue
        for part in value if isinstance(value, tuple) else (value,):
            found = value_problems(file, key_path, type(item), field.name, part)
            problems.extend(found)
    return problems


def field_types(kind: type) -> dict[str, Any]:
    """Return the resolved types of a dataclass's fields by name."""
    hints = typing.get_type_hints(kind)
    return {f.name: hints[f.name] for f in dataclasses.fields(kind)}


def _required(kind: type) -> set[str]:
    missing = dataclasses.MISSING
    return {
        f.name
        for f in dataclasses.fields(kind)
        if f.default is missing and f.default_factory is missing
    }


def _value(value: Any, hint: Any) -> Any:
    if typing.get_origin(hint) in (Union, types.UnionType):
        return _union_value(value, typing.get_args(hint))
    if hint is timedelta:
        duration = parse_duration(value)
        if duration is None:
            raise _InvalidTypeError(EXPECTED_DURATION)
        return duration
    if hint in (str, bool, int):
        if type(value) is not hint:
            raise _InvalidTypeError(_EXPECTED_BY_TYPE[hint])
        return value
    if hint is float:
        if type(value) not in (int, float):
            raise _InvalidTypeError(_EXPECTED_BY_TYPE[float])
        return _to_float(value)
    if typing.get_origin(hint) is tuple and typing.get_args(hint)[0] is str:
        if not isinstance(value, list) or any(type(v) is not str for v in value):
            raise _InvalidTypeError("an array of texts")
        return tuple(value)
    try:
        return msgspec.convert(value, hint)
    except (msgspec.ValidationError, RecursionError) as error:
        raise _InvalidTypeError(str(error)) from error


def _union_value(value: Any, options: tuple[Any, ...]) -> Any:
    if type(value) in options:
        return value
    expected = []
    for option in options:
        if option is type(None):
            continue
        try:
            return _value(value, option)
        except _InvalidTypeError as error:
            expected.append(error.expected)
    raise _InvalidTypeError(" or ".join(expected))


def _to_float(value: int | float) -> float:
    try:
        return float(value)
    except OverflowError as error:
        raise _InvalidTypeError("a number") from error


def _type_name(value: object) -> str:
    names = {dict: "a table", list: "an array", bool: "true or false", str: "a text"}
    return names.get(type(value), "a value of this type")
