"""Division of a full pool among teams (no I/O).

Load pattern: a team sends several times its usual load, or one large team competes with
many small ones, while the pool has more work than room. Ranked by value alone, its jobs
take the room of all other teams.

The room for short tasks is divided by weighted max-min fairness. Tasks of teams within
their share are placed first; room that a team does not use is lent to the others and
returns as their tasks end. Nothing is stopped for it.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass
from enum import Enum
from itertools import groupby
from typing import TypeVar

from ..shares import weighted_max_min
from .model import Resources, StepSpec

Job = TypeVar("Job")


class ShareOrder(Enum):
    """How shares combine with the class of a job, whether it can still be in time."""

    WITHIN_CLASS = "within-class"
    """In time within the share, in time beyond it, late within it, late beyond it. A
    late result has little value, so it does not displace one in time."""
    BEFORE_CLASS = "before-class"
    """All jobs within their share come first."""


@dataclass(frozen=True, slots=True)
class TeamShare:
    """Cores of a pool, by dominant resource, that a team holds and is entitled to."""

    held: float
    share: float

    @property
    def above(self) -> float:
        """Return how much the team holds above its share; negative below it."""
        return self.held - self.share


def dominant_cores(amount: Resources, total: Resources) -> float:
    """Return the dominant share of an amount in the total, in cores of the total.

    >>> dominant_cores(Resources(2000, 16_000), Resources(32_000, 64_000))
    8.0
    """
    pairs = (
        (amount.cpu_millis, total.cpu_millis),
        (amount.memory_mb, total.memory_mb),
        (amount.accelerators, total.accelerators),
    )
    # Records of jobs are not checked for negative amounts when they are read.
    fractions = [part / whole for part, whole in pairs if whole > 0]
    fraction = max([0.0, *fractions])
    return fraction * total.cpu_millis / 1000


def _usable(weight_by_team: Mapping[str, float]) -> dict[str, float]:
    """Return the weights, 1 for those that are negative or not finite.

    The configuration is not checked for them, and an error would end the placing term.
    """
    return {
        team: weight if 0 <= weight < math.inf else 1.0
        for team, weight in weight_by_team.items()
    }


class PoolShares:
    """The division of one pool during a planning round."""

    def __init__(
        self,
        capacity: Resources,
        held_by_team: Mapping[str, Resources],
        waiting_by_team: Mapping[str, Resources],
        weight_by_team: Mapping[str, float],
        order: ShareOrder = ShareOrder.WITHIN_CLASS,
    ) -> None:
        """Divide ``capacity``, what short tasks can have.

        ``held`` and ``waiting`` are the resources of the short tasks that are placed
        and that are ready.
        """
        self._capacity = capacity
        self._order = order
        self._held: dict[str, float] = defaultdict(float)
        for team, amount in held_by_team.items():
            self._held[team] = self._cost(amount)
        demands = dict(self._held)
        for team, amount in waiting_by_team.items():
            demands[team] = demands.get(team, 0.0) + self._cost(amount)
        room = capacity.cpu_millis / 1000
        compete = bool(waiting_by_team) and len(demands) > 1
        self.contended = compete and sum(demands.values()) > room > 0
        """Whether several teams want more than there is; else nothing is limited."""
        self._shares = (
            weighted_max_min(room, demands, _usable(weight_by_team))
            if self.contended
            else {}
        )

    def _cost(self, amount: Resources) -> float:
        return dominant_cores(amount, self._capacity)

    def allows(self, team: str, spec: StepSpec, tasks: int = 1) -> bool:
        """Tell whether a team stays within its share with more tasks of a step.

        These may reach over it by half, as whole steps do not add up to a share. A team
        that holds nothing is always within it, and one below its share is with a step
        larger than that: a small team would never begin such a step otherwise, if its
        smaller jobs keep it from holding nothing.
        """
        if not self.contended:
            return True
        held = self._held[team]
        more = self._cost(spec.executor_usage) * tasks
        share = self._shares.get(team, 0.0)
        return held <= 0 or held + more / 2 <= share or held < share < more

    def add(self, team: str, spec: StepSpec) -> None:
        """Count a task that has been assigned."""
        self._held[team] += self._cost(spec.executor_usage)

    def by_team(self) -> dict[str, TeamShare]:
        """Return what each team holds and its share, while the pool is contended."""
        return {
            team: TeamShare(self._held[team], share)
            for team, share in self._shares.items()
        }

    def passes(
        self, ranked: Iterable[Job], key_of: Callable[[Job], tuple[float, ...]]
    ) -> Iterator[tuple[Job, bool]]:
        """Yield jobs in the order of placement, and whether shares limit them.

        ``ranked`` is sorted by ``key_of``, which begins with priority and class. Each
        job of a contended pool comes twice, within its team's share and beyond it.
        """
        if not self.contended:
            yield from ((job, False) for job in ranked)
            return
        length = 2 if self._order is ShareOrder.WITHIN_CLASS else 1
        for _, group in groupby(ranked, key=lambda job: key_of(job)[:length]):
            jobs = list(group)
            yield from ((job, True) for job in jobs)
            yield from ((job, False) for job in jobs)
