"""Which VMs of a wave are maintained next; pure.

Answers waves that fall due while queues peak: VMs with lasting tasks go first, as only
few of these may be away; then those whose pool has nothing waiting. A VM is emptied of
short tasks before it goes down, and no more are down at once than the time that is
left asks for. Where more lasting tasks of a step share a VM than may be away, they
leave it one by one, in one VM of a pool at a time.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta

from .model import Wave

MARGIN_SHARE = 0.3
"""Share of a wave's time that is left for a change of the placing daemon (5 s until VMs
are ordered again) or an outage of the store; both come within most waves of 25 s."""
MIN_MARGIN = timedelta(seconds=3)
"""The last VM should be back this long before the wave's end in any case."""
MAX_PATIENCE = timedelta(seconds=3)
"""A VM is emptied for at most this long; usual tasks are shorter."""
OVERHEAD = timedelta(seconds=1)
"""Time around each upkeep: noticing that the VM is back, choosing the next one."""


@dataclass(frozen=True, slots=True)
class UpkeepCandidate:
    """A VM of the wave that still needs its upkeep."""

    vm: str
    pool: str
    short_work: float
    """Work of short tasks that would be lost, in core-seconds."""
    may_go: bool
    """Whether the lasting tasks on it may be away now."""
    pool_waits: bool
    """Whether jobs wait for room in its pool."""
    reserved_for: timedelta | None
    """How long it has been emptied already."""
    crowded: bool = False
    """Whether more lasting tasks of a step run on it than may be away at once."""
    separating: bool = False
    """Whether they are leaving it already."""
    lasting_tasks: int = 0
    """Few of a step may be away at once, so VMs with lasting tasks decide how long the
    wave takes."""


@dataclass(frozen=True, slots=True)
class UpkeepChoice:
    """VMs by what happens to them now."""

    begin: tuple[str, ...] = ()
    empty: tuple[str, ...] = ()
    """They get no new tasks."""
    separate: tuple[str, ...] = ()
    """One of their lasting tasks starts elsewhere, ahead of their turn."""


def wanted_at_once(
    wave: Wave, left: int, time_left: timedelta, upkeep_time: timedelta
) -> int:
    """Return how many VMs should be emptied or down at once."""
    cycle = upkeep_time + OVERHEAD + MAX_PATIENCE / 2
    margin = max(MIN_MARGIN, wave.complete_by * MARGIN_SHARE)
    usable = max(time_left - margin, cycle)
    return max(1, min(wave.max_at_once, left, math.ceil(left * cycle / usable)))


def choose(
    candidates: Sequence[UpkeepCandidate],
    free_slots: int,
    time_left: timedelta,
    needed: timedelta,
) -> UpkeepChoice:
    """Return the VMs whose upkeep begins now, and those to be emptied.

    ``needed`` is the time that the candidates need at the present pace; with less
    time than that, VMs are not emptied first.
    """
    if free_slots <= 0:
        return UpkeepChoice(separate=_choose_to_separate(candidates))
    pressed = time_left <= needed
    ordered = sorted(
        candidates,
        key=lambda c: (
            not c.may_go,
            c.reserved_for is None,
            not c.lasting_tasks,
            c.pool_waits and not pressed,
            c.short_work,
        ),
    )
    begin: list[str] = []
    empty: list[str] = []
    for candidate in ordered[:free_slots]:
        if not candidate.may_go:
            continue
        busy_pool = candidate.pool_waits and not candidate.lasting_tasks
        if busy_pool and not pressed and candidate.reserved_for is None:
            continue
        waited = candidate.reserved_for or timedelta(0)
        if candidate.short_work == 0 or pressed or waited >= MAX_PATIENCE:
            begin.append(candidate.vm)
        else:
            empty.append(candidate.vm)
    return UpkeepChoice(tuple(begin), tuple(empty), _choose_to_separate(candidates))


def _choose_to_separate(candidates: Sequence[UpkeepCandidate]) -> tuple[str, ...]:
    """Return a crowded VM of each pool: one that is at it, else the least crowded."""
    by_pool: dict[str, UpkeepCandidate] = {}
    crowded = (candidate for candidate in candidates if candidate.crowded)
    for candidate in sorted(crowded, key=lambda c: (not c.separating, c.lasting_tasks)):
        by_pool.setdefault(candidate.pool, candidate)
    return tuple(candidate.vm for candidate in by_pool.values())
