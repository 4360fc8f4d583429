"""Reference page of all settings and configuration values.

Run as a module, prints the page that is stored as ``docs/configuration.md``.
"""

from __future__ import annotations

import dataclasses
import typing
from collections.abc import Iterable
from datetime import timedelta
from typing import Any

from ..settings import DaemonSettings, SettingInfo
from .conversion import field_types
from .durations import format_duration
from .limits import EXPECTED_NAME, MAX_TEXT, range_of
from .model import (
    BudgetConfig,
    MaintenanceConfig,
    PoolConfig,
    QueueConfig,
    RegionConfig,
    ServiceConfig,
    TeamConfig,
)

INTRODUCTION = """\
# Settings and configuration

This page is printed by `python -m pomeloyard.config.reference`; a test compares
the two. There are two kinds of values:

- **Settings** belong to one daemon. They are read once at the start from the TOML
  file named by `pomeloyardd --settings FILE`. All errors are reported at once with
  their lines, and the daemon then ends with status 2. TLS files are read again
  when they change.
- **Configuration** belongs to the whole fleet. It is written as short files named
  `*.pomeloyard.toml`, usually beside each service's code, and published as one
  revision with `pomeloyard config publish DIR...`.

Durations are texts such as `"500ms"`, `"10s"`, `"5m"`, `"8h"`, `"1d"`, `"4w"`, or
numbers of seconds. A name is {name}. Other texts have at most {text} characters.
"""

TABLES: tuple[tuple[str, type, str, str], ...] = (
    ("regions", RegionConfig, "region", "A region and its availability zones."),
    ("pools", PoolConfig, "pool", "A pool of VMs. Every VM is in exactly one pool."),
    ("services", ServiceConfig, "service", "A service that receives requests."),
    ("services.NAME.budget", BudgetConfig, "service", "What must stay available."),
    ("teams", TeamConfig, "team", "A team with its share and its limit."),
    ("queues", QueueConfig, "queue", "A queue for jobs."),
    ("maintenance", MaintenanceConfig, "fleet", "How VMs are maintained and repaired."),
)

DOCS_BY_FIELD = {
    "RegionConfig.availability_zones": "names of the availability zones",
    "PoolConfig.executors": "executors that the pool should have",
    "PoolConfig.workers": "workers that the pool should have",
    "PoolConfig.spare": "lends VMs to pools whose queues peak",
    "PoolConfig.idle_cost_per_hour": "cost of an idle VM, in any one currency",
    "BudgetConfig.min_available": "VMs that stay available: a whole number, or a share "
    "of all VMs between 0 and 1 written with a decimal point",
    "BudgetConfig.min_available_per_zone": "the same within each availability zone",
    "ServiceConfig.pool": "pool that the service runs on",
    "ServiceConfig.budget": "see `[services.NAME.budget]`",
    "ServiceConfig.slots_per_executor": "requests that an executor runs at once",
    "ServiceConfig.connections_per_executor": "connections to an executor, fleet-wide",
    "ServiceConfig.request_timeout": "longest run of a request",
    "ServiceConfig.queue_timeout": "longest wait of a request in the queue",
    "ServiceConfig.queue_length": "requests that wait at one daemon",
    "ServiceConfig.drain_timeout": "longest wait for running work of a leaving VM",
    "ServiceConfig.hedge_after": "age at which an idempotent request is sent again",
    "ServiceConfig.max_body_bytes": "largest request body",
    "ServiceConfig.team": "owner of the service; unset for a shared service",
    "TeamConfig.share": "weight among the teams that have demand",
    "TeamConfig.limit": "most units that run at once: a request is 1 unit, a job its "
    "cores rounded up",
    "TeamConfig.job_limit": "part of `limit` that only jobs use",
    "TeamConfig.client_account": "client account that the team belongs to",
    "QueueConfig.pools": "pools whose workers take jobs of the queue",
    "QueueConfig.open": "open to every team's key",
    "QueueConfig.teams": "teams whose keys are accepted, if not open",
    "MaintenanceConfig.interval": "time in which every VM is maintained once",
    "MaintenanceConfig.max_repairs": "share of a pool that is repaired at once; at "
    "least one VM",
    "MaintenanceConfig.trial": "trial of a repaired VM before it counts as available",
    "MaintenanceConfig.reboot_timeout": "longest reboot before it counts as failed",
}

_UNITS_BY_SUFFIX = {
    "_bytes": "bytes",
    "_per_hour": "cost per hour",
    "executors": "VMs",
    "workers": "VMs",
    "min_available": "VMs or share",
    "_per_zone": "VMs or share",
    "limit": "units",
    "_length": "requests",
    "slots_per_executor": "slots",
    "connections_per_executor": "connections",
}


def reference_page() -> str:
    """Return the page in Markdown."""
    parts = [INTRODUCTION.format(name=EXPECTED_NAME, text=MAX_TEXT)]
    header = ("setting", "type", "unit", "default", "allowed", "stands per", "meaning")
    parts.append("## Settings of a daemon\n\n" + _table(header, _setting_rows()))
    parts.append("## Configuration of the fleet\n\n`[fleet]` has one value, `name`.\n")
    header = ("value", "type", "unit", "default", "allowed", "stands per", "meaning")
    for table, kind, scope, text in TABLES:
        single = table in ("maintenance", "services.NAME.budget")
        title = table if single else f"{table}.NAME"
        rows = _field_rows(kind, scope)
        parts.append(f"### `[{title}]`\n\n{text}\n\n" + _table(header, rows))
    return "\n".join(parts)


def _setting_rows() -> Iterable[tuple[str, ...]]:
    hints = field_types(DaemonSettings)
    for field in dataclasses.fields(DaemonSettings):
        info: SettingInfo = field.metadata["setting"]
        allowed = info.expected
        if info.low is not None and info.high is not None:
            allowed = f"{info.low:g} to {info.high:g}"
        yield (
            f"`{field.name}`",
            _type_text(hints[field.name]),
            info.unit,
            _default_text(field),
            allowed,
            info.scope,
            info.doc,
        )


def _field_rows(kind: type, scope: str) -> Iterable[tuple[str, ...]]:
    hints = field_types(kind)
    for field in dataclasses.fields(kind):
        if field.name == "name":
            continue
        hint = hints[field.name]
        duration = timedelta in (hint, *typing.get_args(hint))
        numeric = duration or bool({int, float} & {hint, *typing.get_args(hint)})
        unit = "duration" if duration else _unit(field.name) if numeric else ""
        allowed = ""
        if numeric:
            allowed = range_of(kind, field.name, duration=duration).describe(
                duration=duration
            )
        doc = DOCS_BY_FIELD[f"{kind.__name__}.{field.name}"]
        default = _default_text(field)
        yield (f"`{field.name}`", _type_text(hint), unit, default, allowed, scope, doc)


def _unit(name: str) -> str:
    return next((u for s, u in _UNITS_BY_SUFFIX.items() if name.endswith(s)), "")


def _type_text(hint: Any) -> str:
    if dataclasses.is_dataclass(hint):
        return "table"
    if typing.get_origin(hint) is tuple:
        return "array of texts"
    options = [o for o in typing.get_args(hint) or (hint,) if o is not type(None)]
    names = {str: "text", bool: "true or false", int: "whole number", float: "number"}
    return " or ".join(names.get(option, "duration") for option in options)


def _default_text(field: dataclasses.Field[Any]) -> str:
    if field.default is dataclasses.MISSING:
        return "required"
    if field.default is None:
        return "unset"
    if isinstance(field.default, timedelta):
        return f'`"{format_duration(field.default)}"`'
    if isinstance(field.default, bool):
        return f"`{str(field.default).lower()}`"
    if field.default in ("", ()):
        return "empty"
    return f"`{field.default}`"


def _table(header: tuple[str, ...], rows: Iterable[tuple[str, ...]]) -> str:
    lines = [header, tuple("---" for _ in header), *rows]
    return "".join("| " + " | ".join(line) + " |\n" for line in lines)


if __name__ == "__main__":
    print(reference_page(), end="")
