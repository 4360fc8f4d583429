"""Received and entitled share of each team; pure functions."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace

from .config.model import TeamConfig
from .shares import weighted_max_min


@dataclass(frozen=True, slots=True)
class TeamUsage:
    """Usage of a team at one daemon, or the total over several.

    ``running`` and ``queued`` count requests; ``received`` and ``entitled`` are
    fractions of all running requests, the latter by weighted max-min fairness over
    the teams' demands.
    """

    team: str
    share: float
    limit: int
    running: int
    queued: int
    received: float
    entitled: float


def team_usages(
    teams_by_name: Mapping[str, TeamConfig],
    running_by_team: Mapping[str, int],
    queued_by_team: Mapping[str, int],
) -> list[TeamUsage]:
    """Return the usage of every team, sorted by name.

    >>> teams = {"a": TeamConfig("a", 3, 10), "b": TeamConfig("b", 1, 10)}
    >>> usages = team_usages(teams, {"a": 2, "b": 2}, {"a": 9})
    >>> [(usage.received, usage.entitled) for usage in usages]
    [(0.5, 0.75), (0.5, 0.25)]
    """
    usages = [
        TeamUsage(
            name,
            team.share,
            team.limit,
            running_by_team.get(name, 0),
            queued_by_team.get(name, 0),
            0.0,
            0.0,
        )
        for name, team in sorted(teams_by_name.items())
    ]
    return with_shares(usages)


def combine_usages(usages: Iterable[TeamUsage]) -> list[TeamUsage]:
    """Add up the usage of every team over several daemons, sorted by name."""
    by_team: dict[str, TeamUsage] = {}
    for usage in usages:
        other = by_team.get(usage.team)
        if other is not None:
            usage = replace(
                usage,
                running=usage.running + other.running,
                queued=usage.queued + other.queued,
            )
        by_team[usage.team] = usage
    return with_shares([by_team[name] for name in sorted(by_team)])


def with_shares(usages: list[TeamUsage]) -> list[TeamUsage]:
    """Return the usages with their received and entitled fractions."""
    total = sum(usage.running for usage in usages)
    demands = {usage.team: float(usage.running + usage.queued) for usage in usages}
    weights = {usage.team: usage.share for usage in usages}
    entitled = weighted_max_min(total, demands, weights)
    return [
        replace(
            usage,
            received=round(usage.running / total, 4) if total else 0.0,
            entitled=round(entitled[usage.team] / total, 4) if total else 0.0,
        )
        for usage in usages
    ]
