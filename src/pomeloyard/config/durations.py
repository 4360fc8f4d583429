"""Parse and format the durations of TOML files."""

from __future__ import annotations

import math
import re
from datetime import timedelta

SECONDS_BY_UNIT = {"ms": 0.001, "s": 1, "m": 60, "h": 3600, "d": 86_400, "w": 604_800}
EXPECTED_DURATION = 'seconds, or a text such as "500ms", "10s", "5m", "8h", "4w"'
MAX_SECONDS = 10 * 366 * 86_400.0

_PATTERN = re.compile(r"(\d{1,9}(?:\.\d{1,6})?)(ms|s|m|h|d|w)")


def parse_duration(value: object) -> timedelta | None:
    """Parse a number of seconds or a text with a unit; None if invalid.

    >>> parse_duration("4w")
    datetime.timedelta(days=28)
    >>> parse_duration(1.5)
    datetime.timedelta(seconds=1, microseconds=500000)
    >>> parse_duration("soon") is None
    True
    """
    if isinstance(value, bool):
        return None
    if isinstance(value, str):
        match = _PATTERN.fullmatch(value.strip())
        if match is None:
            return None
        value = float(match[1]) * SECONDS_BY_UNIT[match[2]]
    if not isinstance(value, int | float) or not -MAX_SECONDS <= value <= MAX_SECONDS:
        return None
    return None if math.isnan(value) else timedelta(seconds=value)


def format_duration(value: timedelta) -> str:
    """Format a duration in the largest unit that divides it.

    >>> format_duration(timedelta(days=28)), format_duration(timedelta(seconds=90))
    ('4w', '90s')
    """
    milliseconds = round(value.total_seconds() * 1000)
    if milliseconds == 0:
        return "0s"
    for unit in ("w", "d", "h", "m", "s"):
        size = round(SECONDS_BY_UNIT[unit] * 1000)
        if milliseconds % size == 0:
            return f"{milliseconds // size}{unit}"
    return f"{milliseconds}ms"
