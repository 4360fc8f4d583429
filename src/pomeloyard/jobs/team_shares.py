"""What each team holds of the workers, compared with its weighted share."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from datetime import timedelta

from ..shares import weighted_max_min
from .capacity import Demand, Worker

SHARE_WINDOW = timedelta(seconds=10)
"""Time over which a team's work is compared with its share."""
SMALLEST_WEIGHT = 1e-9


@dataclass(frozen=True, slots=True)
class TeamLimits:
    """A team's weight and the units that its jobs may take together."""

    weight: float
    job_limit: int


class TeamShares:
    """Amounts held and wanted by each team, entitlements and what is owed.

    Amounts are in cores: the cost of a demand is the greatest of its parts of
    all workers' cores, memory and accelerators, expressed in cores.
    """

    def __init__(
        self,
        teams: Callable[[], Mapping[str, TeamLimits]],
        now: Callable[[], timedelta],
    ) -> None:
        self._teams = teams
        self._now = now
        self._capacity = Demand(0.0, 0, 0)
        self._held: dict[str, float] = defaultdict(float)
        self._wanted: dict[str, float] = defaultdict(float)
        self._wanted_units: dict[str, int] = defaultdict(int)
        self._integral: dict[str, float] = defaultdict(float)
        """Core seconds that each team has held since the last update."""
        self._integral_until: dict[str, timedelta] = {}
        self._owed: dict[str, float] = defaultdict(float)
        self._entitled: dict[str, float] = {}
        self._updated: timedelta | None = None

    def cost(self, demand: Demand) -> float:
        """Return the cost of a demand in cores.

        >>> shares = TeamShares(dict, timedelta)
        >>> shares._capacity = Demand(64.0, 128, 4)
        >>> shares.cost(Demand(1.0, 4, 1))
        16.0
        """
        total = self._capacity
        parts = [1.0 * demand.cores]
        if total.memory_bytes:
            parts.append(demand.memory_bytes / total.memory_bytes * total.cores)
        if total.accelerators:
            parts.append(demand.accelerators / total.accelerators * total.cores)
        return max(parts)

    def hold(self, team: str, change: float) -> None:
        """Change what a team holds, and sum up what it has held until now."""
        now = self._now()
        since = self._integral_until.get(team, now)
        self._integral[team] += self._held[team] * (now - since).total_seconds()
        self._integral_until[team] = now
        self._held[team] += change

    def want(self, team: str, change: float, units: int) -> None:
        """Change what a team has queued, in cores and in units of its limit."""
        self._wanted[team] += change
        self._wanted_units[team] += units

    def held_by_weight(self, team: str) -> float:
        """Return what a team holds for each unit of its weight."""
        return self._held[team] / self._weight(team)

    def above_share(self, team: str) -> float:
        """Return how far a team is above its share, by weight; negative if below."""
        owed = self._owed[team] / SHARE_WINDOW.total_seconds()
        above = self._held[team] - self._entitled.get(team, 0.0) - owed
        return above / self._weight(team)

    def update(
        self,
        now: timedelta,
        workers: Iterable[Worker],
        units_by_team: Mapping[str, int],
    ) -> None:
        """Compute entitlements for the present demand and carry on what is owed."""
        teams = self._teams()
        open_workers = [w.capacity for w in workers if w.accepts_work]
        self._capacity = Demand(
            sum(c.cores for c in open_workers),
            sum(c.memory_bytes for c in open_workers),
            sum(c.accelerators for c in open_workers),
        )
        demands = {
            team: self._demand(team, limits.job_limit - units_by_team[team])
            for team, limits in teams.items()
        }
        weights = {team: limits.weight for team, limits in teams.items()}
        self._entitled = weighted_max_min(self._capacity.cores, demands, weights)
        elapsed = now - (self._updated if self._updated is not None else now)
        self._updated = now
        seconds = elapsed.total_seconds()
        kept = max(0.0, 1 - seconds / SHARE_WINDOW.total_seconds())
        for team, amount in self._entitled.items():
            self.hold(team, 0.0)
            missing = amount * seconds - self._integral.pop(team, 0.0)
            # What is owed from before the window is forgotten, not paid later.
            self._owed[team] = self._owed[team] * kept + missing if amount else 0.0

    def _demand(self, team: str, free_units: int) -> float:
        """Return what a team can use: what it holds and, up to its limit, wants."""
        wanted_units = self._wanted_units[team]
        part = min(1.0, max(0, free_units) / wanted_units) if wanted_units > 0 else 0.0
        return max(0.0, self._held[team] + self._wanted[team] * part)

    def _weight(self, team: str) -> float:
        limits = self._teams().get(team)
        return max(limits.weight if limits is not None else 0.0, SMALLEST_WEIGHT)
