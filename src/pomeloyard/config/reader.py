"""Read the short TOML files that stand beside each service's code."""

from __future__ import annotations

import tomllib
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from ..errors import ConfigurationError
from .model import (
    FleetConfig,
    MaintenanceConfig,
    PoolConfig,
    QueueConfig,
    RegionConfig,
    ServiceConfig,
    TeamConfig,
)

FILE_PATTERN = "*.pomeloyard.toml"


@dataclass(frozen=True, slots=True)
class ConfigProblem:
    """One error: where it is, what is wrong and what was expected."""

    file: str
    path: str
    problem: str
    expected: str = ""


class ConfigProblemsError(ConfigurationError):
    """The configuration files contain errors; nothing was published."""

    def __init__(self, problems: list[ConfigProblem]) -> None:
        super().__init__(f"{len(problems)} errors in the configuration")
        self.problems = problems


_TABLES: dict[str, tuple[str, type]] = {
    "regions": ("regions_by_name", RegionConfig),
    "pools": ("pools_by_name", PoolConfig),
    "services": ("services_by_name", ServiceConfig),
    "teams": ("teams_by_name", TeamConfig),
    "queues": ("queues_by_name", QueueConfig),
}


def read_directories(directories: Iterable[Path]) -> FleetConfig:
    """Read all files below the directories; raises ConfigProblemsError."""
    files = sorted(f for d in directories for f in d.rglob(FILE_PATTERN))
    problems: list[ConfigProblem] = []
    values: dict[str, Any] = {field: {} for field, _ in _TABLES.values()}
    name = ""
    for file in files:
        try:
            content = tomllib.loads(file.read_text())
        except (OSError, tomllib.TOMLDecodeError) as error:
            problems.append(ConfigProblem(str(file), "", str(error), "valid TOML"))
            continue
        name = content.pop("fleet", {}).get("name", name)
        if "maintenance" in content:
            values["maintenance"] = msgspec.convert(
                content.pop("maintenance"), MaintenanceConfig, strict=False
            )
        for table, entries in content.items():
            if table not in _TABLES:
                problems.append(ConfigProblem(str(file), table, "unknown table"))
                continue
            field, kind = _TABLES[table]
            for key, entry in entries.items():
                try:
                    values[field][key] = msgspec.convert({"name": key, **entry}, kind)
                except msgspec.ValidationError as error:
                    path = f"{table}.{key}"
                    problems.append(ConfigProblem(str(file), path, str(error)))
    if problems:
        raise ConfigProblemsError(problems)
    return FleetConfig(name=name, **values)
