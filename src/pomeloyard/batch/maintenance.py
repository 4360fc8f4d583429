"""Order of VMs within a maintenance wave, as pure functions.

A wave may be due while queues peak. VMs with long-running tasks go first, as only few
of these tasks may be unavailable at once; then VMs whose pool has no backlog. A VM is
drained of short tasks before its maintenance, and only as many VMs are down at once as
needed to finish in time. If a VM runs more long-running tasks of a step than may be
unavailable at once, they are moved off one by one, on one VM of a pool at a time.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta

from .model import Wave

RESERVE_SHARE = 0.3
"""Share of a wave's time kept in reserve for a takeover of the placing role (5 s until
VMs are ordered again) or a store outage; most waves of 25 s see both."""
MIN_RESERVE = timedelta(seconds=3)
"""Minimum reserve between the return of the last VM and the end of the wave."""
MAX_DRAIN_TIME = timedelta(seconds=3)
"""Maximum time to drain a VM; typical tasks are shorter."""
CYCLE_OVERHEAD = timedelta(seconds=1)
"""Time to detect that a VM is back and to choose the next one."""


@dataclass(frozen=True, slots=True)
class MaintenanceCandidate:
    """A VM of the wave that has not been maintained yet."""

    vm: str
    pool: str
    short_work: float
    """Work of its short tasks that a shutdown would lose, in core-seconds."""
    may_be_down: bool
    """Whether its long-running tasks may be unavailable now."""
    pool_has_backlog: bool
    """Whether its pool has a backlog."""
    draining_for: timedelta | None
    """How long the VM has been draining."""
    exceeds_disruption_budget: bool = False
    """Whether it runs more long-running tasks of a step than may be unavailable."""
    spreading_tasks: bool = False
    """Whether these tasks are being moved off already."""
    lasting_tasks: int = 0
    """Long-running tasks on the VM. Few of a step may be unavailable at once, so these
    VMs determine how long the wave takes."""


@dataclass(frozen=True, slots=True)
class MaintenanceChoice:
    """VMs of a wave, grouped by the action to take now."""

    maintain: tuple[str, ...] = ()
    drain: tuple[str, ...] = ()
    """VMs to drain: they get no new tasks."""
    spread: tuple[str, ...] = ()
    """VMs that one of their long-running tasks leaves before their maintenance."""


def target_concurrency(
    wave: Wave, left: int, time_left: timedelta, maintenance_time: timedelta
) -> int:
    """Return how many VMs should be draining or down at once."""
    cycle = maintenance_time + CYCLE_OVERHEAD + MAX_DRAIN_TIME / 2
    reserve = max(MIN_RESERVE, wave.complete_by * RESERVE_SHARE)
    usable = max(time_left - reserve, cycle)
    return max(1, min(wave.max_at_once, left, math.ceil(left * cycle / usable)))


def choose_maintenance(
    candidates: Sequence[MaintenanceCandidate],
    free_slots: int,
    time_left: timedelta,
    needed: timedelta,
) -> MaintenanceChoice:
    """Return the VMs to maintain now, to drain and to spread tasks from.

    ``needed`` is the time that the candidates take at the current rate; if less time is
    left, VMs are maintained without draining.
    """
    if free_slots <= 0:
        return MaintenanceChoice(spread=_choose_vms_to_spread(candidates))
    late = time_left <= needed
    ordered = sorted(
        candidates,
        key=lambda c: (
            not c.may_be_down,
            c.draining_for is None,
            not c.lasting_tasks,
            c.pool_has_backlog and not late,
            c.short_work,
        ),
    )
    begin: list[str] = []
    drain: list[str] = []
    for candidate in ordered[:free_slots]:
        if not candidate.may_be_down:
            continue
        busy_pool = candidate.pool_has_backlog and not candidate.lasting_tasks
        if busy_pool and not late and candidate.draining_for is None:
            continue
        drained_for = candidate.draining_for or timedelta(0)
        if candidate.short_work == 0 or late or drained_for >= MAX_DRAIN_TIME:
            begin.append(candidate.vm)
        else:
            drain.append(candidate.vm)
    return MaintenanceChoice(
        tuple(begin), tuple(drain), _choose_vms_to_spread(candidates)
    )


def _choose_vms_to_spread(
    candidates: Sequence[MaintenanceCandidate],
) -> tuple[str, ...]:
    """Return one crowded VM of each pool: one in progress, else the least crowded."""
    by_pool: dict[str, MaintenanceCandidate] = {}
    crowded = (
        candidate for candidate in candidates if candidate.exceeds_disruption_budget
    )
    for candidate in sorted(
        crowded, key=lambda c: (not c.spreading_tasks, c.lasting_tasks)
    ):
        by_pool.setdefault(candidate.pool, candidate)
    return tuple(candidate.vm for candidate in by_pool.values())
