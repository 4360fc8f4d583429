"""How long the jobs of each queue and team waited, from the daemons' logs (no I/O).

Load pattern: peaks above the room of a pool, in which some teams wait longer than
others.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from .job_history import LogLine

TAIL = 0.95


class Group(NamedTuple):
    """The jobs of a team in a queue."""

    queue: str
    team: str


@dataclass(frozen=True, slots=True)
class Ages:
    """Ages of jobs at an event, in ms."""

    jobs: int
    median_ms: int | None
    """None without jobs."""
    tail_ms: int | None
    """95th percentile; None without jobs."""

    @classmethod
    def of(cls, ages_ms: Collection[int]) -> Ages:
        """Return the nearest-rank percentiles of ages.

        >>> Ages.of([30, 10, 20])
        Ages(jobs=3, median_ms=20, tail_ms=30)
        >>> Ages.of([])
        Ages(jobs=0, median_ms=None, tail_ms=None)
        """
        ordered = sorted(ages_ms)
        if not ordered:
            return cls(0, None, None)
        median, tail = (ordered[math.ceil(q * len(ordered)) - 1] for q in (0.5, TAIL))
        return cls(len(ordered), median, tail)


@dataclass(frozen=True, slots=True)
class Waits:
    """What the jobs of a group waited for."""

    group: Group
    found: int
    """Jobs that a holder of the placing role found before they ended."""
    at_first_task: Ages
    at_completion: Ages


@dataclass(frozen=True, slots=True)
class WaitHistory:
    """Waits by group, and what cannot be attributed."""

    groups: list[Waits]
    """Sorted by queue and team."""
    unattributed_jobs: int
    """Jobs with an assigned task whose queue and team no line names."""


@dataclass(slots=True)
class _Job:
    group: Group | None = None
    found: bool = False
    first_task_ms: int | None = None
    completed_ms: int | None = None


@dataclass(slots=True)
class _Totals:
    found: int = 0
    first_task_ms: list[int] = field(default_factory=list)
    completed_ms: list[int] = field(default_factory=list)


def wait_history(lines: Iterable[LogLine]) -> WaitHistory:
    """Return how long jobs waited.

    Each job counts once, as several terms may have found it. Its first task is the one
    that was assigned at the lowest age: the clocks of the daemons may differ.
    """
    jobs_by_id: dict[str, _Job] = defaultdict(_Job)
    for line in lines:
        if line.decision == "place":
            job = jobs_by_id[line.subject.partition(".")[0]]
            job.first_task_ms = _lower(job.first_task_ms, line.inputs.get("age_ms"))
        elif line.decision == "job":
            job = jobs_by_id[line.subject]
            if "queue" in line.inputs:
                team = str(line.inputs.get("team", ""))
                job.group = Group(str(line.inputs["queue"]), team)
            if line.outcome == "found":
                job.found = True
            elif line.outcome == "completed":
                age_ms = line.inputs.get("age_ms")
                job.completed_ms = _lower(job.completed_ms, age_ms)
    return _summary(jobs_by_id.values())


def _lower(known_ms: int | None, age_ms: object) -> int | None:
    if not isinstance(age_ms, int):
        return known_ms
    return age_ms if known_ms is None else min(known_ms, age_ms)


def _summary(jobs: Iterable[_Job]) -> WaitHistory:
    totals_by_group: dict[Group, _Totals] = defaultdict(_Totals)
    unattributed = 0
    for job in jobs:
        if job.group is None:
            unattributed += 1
            continue
        totals = totals_by_group[job.group]
        totals.found += job.found
        if job.first_task_ms is not None:
            totals.first_task_ms.append(job.first_task_ms)
        if job.completed_ms is not None:
            totals.completed_ms.append(job.completed_ms)
    groups = [
        Waits(
            group,
            totals.found,
            Ages.of(totals.first_task_ms),
            Ages.of(totals.completed_ms),
        )
        for group, totals in sorted(totals_by_group.items())
    ]
    return WaitHistory(groups, unattributed)
