"""What each team receives and is entitled to; pure."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from .config.model import TeamConfig


@dataclass(frozen=True, slots=True)
class TeamUsage:
    """Units of a team at the answering daemon.

    ``running`` and ``queued`` are requests; ``received`` and ``entitled`` are
    parts of all running requests, the latter by the weights of the teams that
    have requests.
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
    """Return the usage of every team, by name.

    >>> teams = {"a": TeamConfig("a", 3, 10), "b": TeamConfig("b", 1, 10)}
    >>> [(u.received, u.entitled) for u in team_usages(teams, {"a": 1, "b": 1}, {})]
    [(0.5, 0.75), (0.5, 0.25)]
    """
    running = {name: running_by_team.get(name, 0) for name in teams_by_name}
    queued = {name: queued_by_team.get(name, 0) for name in teams_by_name}
    total = sum(running.values())
    active = [t for n, t in teams_by_name.items() if running[n] or queued[n]]
    weights = sum(team.share for team in active)
    return [
        TeamUsage(
            name,
            team.share,
            team.limit,
            running[name],
            queued[name],
            round(running[name] / total, 4) if total else 0.0,
            round(team.share / weights, 4) if team in active else 0.0,
        )
        for name, team in sorted(teams_by_name.items())
    ]
