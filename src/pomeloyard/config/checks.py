"""Checks of a complete configuration, used by the command-line tool and the daemons."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Any

from ..fleet.budgets import budget_problems
from .conversion import range_problems
from .model import FleetConfig
from .problems import ConfigProblem

TABLES = ("regions", "pools", "services", "teams", "queues")

_EXPECTED_BUDGET = "a budget that lets VMs of each role be maintained one by one"

FileOf = Callable[[str], str]
"""Returns the file that defines a path such as "pools.orders"."""


def no_file(path: str) -> str:
    """Return an empty name, for a configuration that was not read from files."""
    return ""


def entries_by_table(config: FleetConfig) -> dict[str, Mapping[str, Any]]:
    """Return the entries of each table by name."""
    return {table: getattr(config, f"{table}_by_name") for table in TABLES}


def config_problems(
    config: FleetConfig, file_of: FileOf = no_file
) -> list[ConfigProblem]:
    """Return all problems of a configuration whose values have the right types."""
    problems: list[ConfigProblem] = []
    if not config.name:
        problems.append(
            ConfigProblem(file_of("fleet"), "fleet.name", "is missing", "a name")
        )
    problems += range_problems(
        config.maintenance, file_of("maintenance"), "maintenance"
    )
    for table, entries in entries_by_table(config).items():
        for name, entry in entries.items():
            path = f"{table}.{name}"
            problems += range_problems(entry, file_of(path), path)
            if entry.name != name:
                problems.append(
                    ConfigProblem(
                        file_of(path), f"{path}.name", "differs from its key", name
                    )
                )
    for check in _CHECKS:
        problems += check(config, file_of)
    return problems


def _region_problems(config: FleetConfig, file_of: FileOf) -> Iterable[ConfigProblem]:
    region_by_zone: dict[str, str] = {}
    for region in config.regions_by_name.values():
        path = f"regions.{region.name}"
        if not region.availability_zones:
            key_path = f"{path}.availability_zones"
            yield ConfigProblem(
                file_of(path), key_path, "is empty", "at least one zone"
            )
        for zone in region.availability_zones:
            other = region_by_zone.setdefault(zone, region.name)
            if other != region.name or region.availability_zones.count(zone) > 1:
                wrong = f'zone "{zone}" occurs twice, first in region "{other}"'
                yield ConfigProblem(file_of(path), f"{path}.availability_zones", wrong)


def _service_problems(config: FleetConfig, file_of: FileOf) -> Iterable[ConfigProblem]:
    for service in config.services_by_name.values():
        path = f"services.{service.name}"
        file = file_of(path)
        yield from _missing_references(
            file, f"{path}.pool", "pool", [service.pool], config.pools_by_name
        )
        owner = [service.team] if service.team is not None else []
        yield from _missing_references(
            file, f"{path}.team", "team", owner, config.teams_by_name
        )


def _budget_problems(config: FleetConfig, file_of: FileOf) -> Iterable[ConfigProblem]:
    for problem in budget_problems(config):
        path = f"services.{problem.service}"
        kind = problem.kind.value.replace("-", " ")
        wrong = f"{problem.needed:g} is {kind} ({problem.vms} {problem.role.value}s)"
        key_path = f"{path}.budget.{problem.setting}"
        yield ConfigProblem(file_of(path), key_path, wrong, _EXPECTED_BUDGET)


def _team_problems(config: FleetConfig, file_of: FileOf) -> Iterable[ConfigProblem]:
    for team in config.teams_by_name.values():
        if team.job_limit > team.limit:
            path = f"teams.{team.name}"
            wrong = f"{team.job_limit} is over the team's limit"
            expected = f"at most {team.limit}"
            yield ConfigProblem(file_of(path), f"{path}.job_limit", wrong, expected)


def _queue_problems(config: FleetConfig, file_of: FileOf) -> Iterable[ConfigProblem]:
    for queue in config.queues_by_name.values():
        path = f"queues.{queue.name}"
        file = file_of(path)
        yield from _missing_references(
            file, f"{path}.pools", "pool", queue.pools, config.pools_by_name
        )
        yield from _missing_references(
            file, f"{path}.teams", "team", queue.teams, config.teams_by_name
        )
        if not queue.pools:
            yield ConfigProblem(file, f"{path}.pools", "is empty", "at least one pool")
        if queue.open == bool(queue.teams):
            wrong = "a queue is open to all teams or to the listed teams"
            yield ConfigProblem(file, path, wrong, "either open = true or teams")


def _missing_references(
    file: str, path: str, kind: str, names: Iterable[str], known: Mapping[str, object]
) -> Iterable[ConfigProblem]:
    for name in names:
        if name not in known:
            shown = ", ".join(sorted(known)[:10]) or "none is defined"
            yield ConfigProblem(
                file, path, f'there is no {kind} "{name[:100]}"', f"one of: {shown}"
            )


_CHECKS = (
    _region_problems,
    _service_problems,
    _budget_problems,
    _team_problems,
    _queue_problems,
)
