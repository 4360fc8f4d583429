"""Resources held by each team, compared with its weighted fair share."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from datetime import timedelta

from ..shares import weighted_max_min
from .capacity import Demand, Worker

SHARE_WINDOW = timedelta(seconds=10)
"""Window over which a team's usage is compared with its share."""
MIN_WEIGHT = 1e-9


@dataclass(frozen=True, slots=True)
class TeamLimits:
    """A team's weight and the units that its placed jobs may use together."""

    weight: float
    job_limit: int


class TeamShares:
    """Held and queued resources, entitlements and deficits of each team.

    Amounts are in cores: the cost of a demand is its dominant share of all workers'
    cores, memory and accelerators, times the total cores.
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
        self._queued: dict[str, float] = defaultdict(float)
        self._queued_units: dict[str, int] = defaultdict(int)
        self._held_core_seconds: dict[str, float] = defaultdict(float)
        """Core seconds held by each team since the last update."""
        self._summed_until: dict[str, timedelta] = {}
        self._deficit: dict[str, float] = defaultdict(float)
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

    def adjust_held(self, team: str, change: float) -> None:
        """Change the cost a team holds, after adding up core seconds until now."""
        now = self._now()
        since = self._summed_until.get(team, now)
        self._held_core_seconds[team] += (
            self._held[team] * (now - since).total_seconds()
        )
        self._summed_until[team] = now
        self._held[team] += change

    def adjust_queued(self, team: str, change: float, units: int) -> None:
        """Change a team's queued cost in cores and its queued units."""
        self._queued[team] += change
        self._queued_units[team] += units

    def held_by_weight(self, team: str) -> float:
        """Return the cost that a team holds per unit of weight."""
        return self._held[team] / self._weight(team)

    def above_share(self, team: str) -> float:
        """Return a team's excess over its share by weight; negative if below."""
        deficit = self._deficit[team] / SHARE_WINDOW.total_seconds()
        above = self._held[team] - self._entitled.get(team, 0.0) - deficit
        return above / self._weight(team)

    def update(
        self,
        now: timedelta,
        workers: Iterable[Worker],
        units_by_team: Mapping[str, int],
    ) -> None:
        """Compute entitlements for the current demand and update deficits."""
        teams = self._teams()
        capacities = [w.capacity for w in workers if w.accepts_work]
        self._capacity = Demand(
            sum(c.cores for c in capacities),
            sum(c.memory_bytes for c in capacities),
            sum(c.accelerators for c in capacities),
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
        retained = max(0.0, 1 - seconds / SHARE_WINDOW.total_seconds())
        for team, amount in self._entitled.items():
            self.adjust_held(team, 0.0)
            shortfall = amount * seconds - self._held_core_seconds.pop(team, 0.0)
            # Deficits decay over the window; older ones are not compensated.
            self._deficit[team] = (
                self._deficit[team] * retained + shortfall if amount else 0.0
            )

    def _demand(self, team: str, free_units: int) -> float:
        """Return the cost that a team can use: held, and queued up to its limit."""
        queued_units = self._queued_units[team]
        fraction = (
            min(1.0, max(0, free_units) / queued_units) if queued_units > 0 else 0.0
        )
        return max(0.0, self._held[team] + self._queued[team] * fraction)

    def _weight(self, team: str) -> float:
        limits = self._teams().get(team)
        return max(limits.weight if limits is not None else 0.0, MIN_WEIGHT)
