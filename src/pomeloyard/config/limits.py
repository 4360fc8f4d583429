"""Allowed ranges of the configuration's values."""

from __future__ import annotations

import math
import re
from dataclasses import dataclass
from datetime import timedelta

from .durations import format_duration
from .problems import ConfigProblem

NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")
EXPECTED_NAME = "1 to 63 lower-case letters, digits and hyphens"
MAX_TEXT = 200


@dataclass(frozen=True, slots=True)
class Range:
    """Inclusive range of a number, or of a duration in seconds."""

    low: float
    high: float

    def describe(self, *, duration: bool = False) -> str:
        """Return the range as text.

        >>> Range(1, 60).describe(duration=True)
        '1s to 1m'
        """
        if duration:
            low, high = (timedelta(seconds=v) for v in (self.low, self.high))
            return f"{format_duration(low)} to {format_duration(high)}"
        return f"{self.low:g} to {self.high:g}"


DAY = 86_400
DEFAULT_NUMBER = Range(0, 1_000_000_000)
DEFAULT_DURATION = Range(0, 366 * DAY)
FRACTION_OF_VMS = Range(0, 1)
"""Range of ``min_available`` when it is a fraction (float) of all VMs."""

RANGES_BY_FIELD = {
    "PoolConfig.executors": Range(0, 10_000),
    "PoolConfig.workers": Range(0, 10_000),
    "PoolConfig.idle_cost_per_hour": Range(0, 1_000_000),
    "BudgetConfig.min_available": Range(0, 10_000),
    "BudgetConfig.min_available_per_zone": Range(0, 10_000),
    "ServiceConfig.slots_per_executor": Range(1, 10_000),
    "ServiceConfig.connections_per_executor": Range(1, 100_000),
    # A takeover of partitions waits for the longest request timeout.
    "ServiceConfig.request_timeout": Range(0.1, 3600),
    "ServiceConfig.queue_timeout": Range(0, 3600),
    "ServiceConfig.queue_length": Range(0, 100_000),
    "ServiceConfig.drain_timeout": Range(0, DAY),
    "ServiceConfig.hedge_after": Range(0.001, 3600),
    # Bodies of idempotent requests are kept in memory for retries.
    "ServiceConfig.max_body_bytes": Range(0, 64 * 1024 * 1024),
    "TeamConfig.share": Range(0.001, 1_000_000),
    "TeamConfig.limit": Range(0, 1_000_000),
    "TeamConfig.job_limit": Range(0, 1_000_000),
    "MaintenanceConfig.interval": Range(60, 366 * DAY),
    "MaintenanceConfig.max_repairs": Range(0, 1),
    "MaintenanceConfig.trial": Range(0, DAY),
    "MaintenanceConfig.reboot_timeout": Range(1, DAY),
}


def range_of(kind: type, field: str, *, duration: bool) -> Range:
    """Return the allowed range of a numeric field of a configuration class."""
    default = DEFAULT_DURATION if duration else DEFAULT_NUMBER
    return RANGES_BY_FIELD.get(f"{kind.__name__}.{field}", default)


def value_problems(
    file: str, path: str, kind: type, field: str, value: object
) -> list[ConfigProblem]:
    """Return the problems of a value of the right type."""
    if isinstance(value, str):
        return _text_problems(file, path, field, value)
    if isinstance(value, bool) or not isinstance(value, int | float | timedelta):
        return []
    duration = isinstance(value, timedelta)
    allowed = range_of(kind, field, duration=duration)
    number: int | float
    if isinstance(value, timedelta):
        number, shown = value.total_seconds(), format_duration(value)
    else:
        number, shown = value, _number_text(value)
        if kind.__name__ == "BudgetConfig" and isinstance(value, float):
            allowed = FRACTION_OF_VMS
    if not math.isnan(number) and allowed.low <= number <= allowed.high:
        return []
    expected = allowed.describe(duration=duration)
    return [ConfigProblem(file, path, f"{shown} is out of range", expected)]


def _number_text(value: int | float) -> str:
    # Python refuses to convert very long integers to str.
    if isinstance(value, int) and value.bit_length() > 200:
        return "the number"
    return f"{value:g}" if isinstance(value, float) else str(value)


def _text_problems(file: str, path: str, field: str, value: str) -> list[ConfigProblem]:
    if field in ("name", "pool", "team") and not NAME_PATTERN.fullmatch(value):
        return [
            ConfigProblem(file, path, f'invalid name "{value[:100]}"', EXPECTED_NAME)
        ]
    if len(value) > MAX_TEXT:
        return [
            ConfigProblem(file, path, "text too long", f"at most {MAX_TEXT} characters")
        ]
    return []
