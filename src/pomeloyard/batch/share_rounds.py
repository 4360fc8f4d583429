"""Shares of each pool in the planning rounds of a term: inputs, log and metrics."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping
from datetime import timedelta

from .decision_log import JobDecisionLog
from .executor_link import ExecutorLink
from .model import NO_RESOURCES, Configuration, Resources
from .pool_shares import PoolShares, ShareOrder, TeamShare
from .usage import Usage

LOG_INTERVAL = timedelta(seconds=1)
SHOWN_TEAMS = 3
"""Teams in each log line that are furthest above their share, and as many below it."""


class ShareRounds:
    """Divides pools among teams, and remembers the latest division of each."""

    def __init__(
        self,
        usage: Usage,
        decision_log: JobDecisionLog,
        order: ShareOrder = ShareOrder.WITHIN_CLASS,
    ) -> None:
        self._usage = usage
        self._decision_log = decision_log
        self._order = order
        self._logged_at: dict[str, timedelta] = {}
        self._latest: dict[str, PoolShares] = {}

    def begin(
        self,
        pool: str,
        links: Iterable[ExecutorLink],
        waiting: Iterable[tuple[str, Resources]],
        configuration: Configuration,
    ) -> PoolShares:
        """Return the division of a pool for one round.

        ``links`` are its usable executors; ``waiting`` has the team and the resources
        of the ready short tasks of each job.
        """
        held = self._held_by_team(pool, configuration)
        free = NO_RESOURCES
        for link in links:
            executor = link.executor
            free += self._usage.free(executor.executor_id, executor.capacity)
        shares = PoolShares(
            sum(held.values(), free),
            held,
            _sum_by_team(waiting),
            {team.name: team.weight for team in configuration.teams_by_name.values()},
            self._order,
        )
        self._latest[pool] = shares
        return shares

    def end(self, pool: str) -> None:
        """Forget the division of a pool in which no task waits."""
        self._latest.pop(pool, None)

    def _held_by_team(
        self, pool: str, configuration: Configuration
    ) -> dict[str, Resources]:
        held: dict[str, Resources] = defaultdict(Resources)
        for queue in configuration.queues_by_name.values():
            if queue.service == pool:
                for team, amount in self._usage.short_tasks(queue.name).items():
                    held[team] += amount
        return held

    def latest(self) -> Mapping[str, Mapping[str, TeamShare]]:
        """Return what each team holds and its share, by contended pool and team."""
        by_pool = {pool: shares.by_team() for pool, shares in self._latest.items()}
        return {pool: by_team for pool, by_team in by_pool.items() if by_team}

    def log(self, pool: str, now: timedelta) -> None:
        """Log the division of a contended pool, at most once a second."""
        shares = self._latest[pool]
        last = self._logged_at.get(pool)
        if not shares.contended or (last is not None and now - last < LOG_INTERVAL):
            return
        self._logged_at[pool] = now
        by_team = shares.by_team()
        sorted_teams = sorted(by_team, key=lambda team: by_team[team].above)
        below = [team for team in sorted_teams if by_team[team].above < 0]
        above = [team for team in reversed(sorted_teams) if by_team[team].above > 0]
        self._decision_log.record(
            "share",
            pool,
            "divided",
            teams=len(by_team),
            cores=round(sum(share.held for share in by_team.values()), 1),
            above=_text(above, by_team),
            below=_text(below, by_team),
        )


def _sum_by_team(waiting: Iterable[tuple[str, Resources]]) -> dict[str, Resources]:
    """Return the resources of each team that are not zero.

    Thousands of jobs may wait, and an object for each sum would take several times as
    long.
    """
    sums: dict[str, list[int]] = {}
    for team, amount in waiting:
        total = sums.get(team)
        if total is None:
            total = sums[team] = [0, 0, 0]
        total[0] += amount.cpu_millis
        total[1] += amount.memory_mb
        total[2] += amount.accelerators
    return {team: Resources(*total) for team, total in sums.items() if any(total)}


def _text(teams: list[str], by_team: Mapping[str, TeamShare]) -> str:
    """Return the first teams with what they hold and their share, in cores."""
    return " ".join(
        f"{team}:{by_team[team].held:.1f}/{by_team[team].share:.1f}"
        for team in teams[:SHOWN_TEAMS]
    )
