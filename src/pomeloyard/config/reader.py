"""Read the fleet's configuration from TOML files beside each service's code."""

from __future__ import annotations

import re
import tomllib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from .checks import config_problems
from .conversion import convert
from .limits import EXPECTED_NAME, NAME_PATTERN
from .model import (
    FleetConfig,
    MaintenanceConfig,
    PoolConfig,
    QueueConfig,
    RegionConfig,
    ServiceConfig,
    TeamConfig,
)
from .problems import ConfigProblem, ConfigProblemsError, unknown_name

__all__ = [
    "ConfigProblem",
    "ConfigProblemsError",
    "ConfigSource",
    "read_directories",
    "read_source",
]

FILE_PATTERN = "*.pomeloyard.toml"
MAX_FILE_BYTES = 1024 * 1024

_CLASS_BY_TABLE: dict[str, type] = {
    "regions": RegionConfig,
    "pools": PoolConfig,
    "services": ServiceConfig,
    "teams": TeamConfig,
    "queues": QueueConfig,
}
_SINGLE_TABLES = ("fleet", "maintenance")
_LINE = re.compile(r"\(at line (\d+), column \d+\)")


@dataclass(frozen=True, slots=True)
class ConfigSource:
    """A configuration and the file that defines each of its entries."""

    config: FleetConfig
    file_by_path: Mapping[str, str]

    def file_of(self, path: str) -> str:
        """Return the file that defines a path such as "pools.orders", or ""."""
        return self.file_by_path.get(path, "")


def read_directories(directories: Iterable[Path]) -> FleetConfig:
    """Read and validate all files below the directories; raises ConfigProblemsError."""
    return read_source(directories).config


def read_source(directories: Iterable[Path]) -> ConfigSource:
    """Read and validate as read_directories does, and keep where entries are."""
    problems: list[ConfigProblem] = []
    files: set[Path] = set()
    for directory in directories:
        found = [directory] if directory.is_file() else directory.rglob(FILE_PATTERN)
        before = len(files)
        files.update(found)
        if len(files) == before:
            problems.append(
                ConfigProblem(str(directory), "", "no files found", FILE_PATTERN)
            )
    contents: dict[str, dict[str, Any]] = {}
    for file in sorted(files):
        try:
            contents[str(file)] = parse_file(file.read_bytes(), str(file))
        except ConfigProblemsError as error:
            problems += error.problems
        except OSError as error:
            wrong = error.strerror or repr(error)
            problems.append(ConfigProblem(str(file), "", wrong, "a readable file"))
    return _collect(contents, problems)


def parse_file(content: bytes, file: str) -> dict[str, Any]:
    """Return the TOML document of one file; raises ConfigProblemsError."""
    try:
        if len(content) > MAX_FILE_BYTES:
            raise ValueError(f"{len(content)} bytes are over {MAX_FILE_BYTES}")
        return tomllib.loads(content.decode())
    except (ValueError, RecursionError) as error:
        text = str(error)
        match = _LINE.search(text)
        line = int(match[1]) if match else 0
        problem = ConfigProblem(file, "", text, "valid TOML in UTF-8", line)
        raise ConfigProblemsError([problem]) from error


def read_contents(
    contents_by_file: Mapping[str, dict[str, Any]],
    earlier_problems: Iterable[ConfigProblem] = (),
) -> FleetConfig:
    """Return the configuration of parsed files; raises ConfigProblemsError."""
    return _collect(contents_by_file, earlier_problems).config


def _collect(
    contents_by_file: Mapping[str, dict[str, Any]],
    earlier_problems: Iterable[ConfigProblem],
) -> ConfigSource:
    collector = _Collector()
    collector.problems += earlier_problems
    for file, content in contents_by_file.items():
        collector.add_file(file, content)
    return collector.finish()


class _Collector:
    """Collects the entries of all files, and which file defines each."""

    def __init__(self) -> None:
        self.problems: list[ConfigProblem] = []
        self._file_by_path: dict[str, str] = {}
        self._entries: dict[str, dict[str, Any]] = {t: {} for t in _CLASS_BY_TABLE}
        self._name = ""
        self._maintenance = MaintenanceConfig()

    def add_file(self, file: str, content: dict[str, Any]) -> None:
        """Add the tables of one file."""
        for table, value in content.items():
            if table not in _CLASS_BY_TABLE and table not in _SINGLE_TABLES:
                known = [*_CLASS_BY_TABLE, *_SINGLE_TABLES]
                self.problems.append(unknown_name(file, table, table, known))
            elif not isinstance(value, dict):
                self._add_problem(file, table, "is not a table", f"[{table}]")
            elif table in _CLASS_BY_TABLE:
                for name, entry in value.items():
                    self._add_entry(file, table, name, entry)
            elif self._is_first_definition(file, table):
                self._add_single(file, table, value)

    def finish(self) -> ConfigSource:
        """Return the validated configuration; raises ConfigProblemsError."""
        entries = {f"{table}_by_name": e for table, e in self._entries.items()}
        config = FleetConfig(
            name=self._name,
            maintenance=self._maintenance,
            **entries,  # type: ignore[arg-type]
        )
        source = ConfigSource(config, self._file_by_path)
        # Reporting a reference to an invalid entry would repeat the entry's error.
        invalid = {p.path for p in self.problems}
        for problem in config_problems(config, source.file_of):
            if problem.path not in invalid and not self._refers_to_invalid(problem):
                self.problems.append(problem)
        if self.problems:
            raise ConfigProblemsError(self.problems)
        return source

    def _refers_to_invalid(self, problem: ConfigProblem) -> bool:
        return any(
            problem.problem == f'there is no {table[:-1]} "{name}"'
            for table, _, name in (p.partition(".") for p in self._file_by_path)
            if name and name not in self._entries.get(table, {})
        )

    def _add_entry(self, file: str, table: str, name: str, entry: object) -> None:
        path = f"{table}.{name[:100]}"
        if not self._is_first_definition(file, path):
            return
        if not NAME_PATTERN.fullmatch(name):
            self._add_problem(file, path, "invalid name", EXPECTED_NAME)
        elif not isinstance(entry, dict):
            self._add_problem(file, path, "is not a table", f"[{path}]")
        elif "name" in entry:
            self._add_problem(file, f"{path}.name", "the table's key is the name")
        else:
            kind = _CLASS_BY_TABLE[table]
            item, problems = convert({"name": name, **entry}, kind, file, path)
            self.problems += problems
            if item is not None:
                self._entries[table][name] = item

    def _add_single(self, file: str, table: str, value: dict[str, Any]) -> None:
        if table == "maintenance":
            item, problems = convert(value, MaintenanceConfig, file, table)
            self.problems += problems
            self._maintenance = item or self._maintenance
            return
        for key in value:
            if key != "name":
                key_path = f"{table}.{key}"
                self.problems.append(unknown_name(file, key_path, key, ["name"]))
        name = value.get("name")
        if isinstance(name, str) and NAME_PATTERN.fullmatch(name):
            self._name = name
        else:
            self._add_problem(file, "fleet.name", "invalid name", EXPECTED_NAME)

    def _is_first_definition(self, file: str, path: str) -> bool:
        other = self._file_by_path.setdefault(path, file)
        if other != file:
            self._add_problem(
                file, path, f"is also defined in {other}", "one definition"
            )
        return other == file

    def _add_problem(
        self, file: str, path: str, problem: str, expected: str = ""
    ) -> None:
        self.problems.append(ConfigProblem(file, path, problem, expected))
