"""Keeps the stored jobs within the memory of the daemons that may place them (no I/O).

Every job that is stored is in the memory of the placing daemon until it expires. While
most of the memory for jobs is free, every job is accepted. Near the limit the further
jobs of the teams that hold most of it are rejected, at the limit those of all teams but
the ones that hold next to nothing.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

MIB = 1 << 20
DAEMON_BYTES = 120 * MIB
"""Memory of a daemon that places jobs, without those jobs."""
LOADED_PART = 0.5
"""Part of the remaining memory that jobs may take: records are in memory up to three
times while a new term loads them."""
JOB_BYTES = 3000
"""Objects of a job and a step beside the encoded record."""
STEP_BYTES = 1000
RECORD_FACTOR = 2
"""Memory of a decoded record as a multiple of its encoded size."""
TASK_BYTES = 16
"""Of a task without an object, and its row in the stored progress."""
NEAR_PART = 0.75
"""Part of the limit from which teams above an equal share are full."""
SMALL_PART = 0.01
"""A team below this part of the limit is never full."""
RELEASE_PART = 0.9
"""Factor of ``NEAR_PART`` while a team is full."""


@dataclass(frozen=True, slots=True)
class JobSize:
    """What determines the memory of a stored job."""

    record_bytes: int
    steps: int
    tasks: int

    @property
    def memory_bytes(self) -> int:
        """Return an estimate of the memory that the job takes."""
        fixed = JOB_BYTES + STEP_BYTES * self.steps
        return fixed + RECORD_FACTOR * self.record_bytes + TASK_BYTES * self.tasks


def memory_for_jobs(memory_mb: int) -> int:
    """Return the bytes that jobs may take of a daemon's memory limit, 0 if unknown.

    >>> memory_for_jobs(300) // MIB
    90
    """
    if memory_mb <= 0:
        return 0
    return max(MIB, int(LOADED_PART * (memory_mb * MIB - DAEMON_BYTES)))


class StoredJobs:
    """Memory of the stored jobs by team, and which teams are full."""

    def __init__(self) -> None:
        self._size_by_job: dict[str, tuple[str, int]] = {}
        self.bytes_by_team: Counter[str] = Counter()
        self._full: frozenset[str] = frozenset()

    def add(self, job_id: str, team: str, size: JobSize) -> None:
        """Count a job that is stored."""
        self.remove(job_id)
        self._size_by_job[job_id] = (team, size.memory_bytes)
        self.bytes_by_team[team] += size.memory_bytes

    def remove(self, job_id: str) -> None:
        """Stop counting a job that has expired."""
        team, size = self._size_by_job.pop(job_id, ("", 0))
        if team:
            self.bytes_by_team[team] -= size
            if not self.bytes_by_team[team]:
                del self.bytes_by_team[team]

    def full_teams(self, limit: int) -> frozenset[str]:
        """Return the teams whose further jobs are rejected.

        ``limit`` is in bytes for all teams together; 0 means none.
        """
        if not limit:
            self._full = frozenset()
            return self._full
        bound = SMALL_PART * limit
        if sum(self.bytes_by_team.values()) < limit:
            # Less while a team is full, so that it does not open at once.
            near = NEAR_PART * limit * (RELEASE_PART if self._full else 1)
            bound = max(bound, self._equal_share(near))
        self._full = frozenset(
            team for team, size in self.bytes_by_team.items() if size >= bound
        )
        return self._full

    def _equal_share(self, available: float) -> float:
        """Return the most that each team may take if all together may take so much.

        Teams that take less leave the rest to the others.
        """
        sizes = sorted(self.bytes_by_team.values())
        for number, size in enumerate(sizes):
            share = available / (len(sizes) - number)
            if size >= share:
                return share
            available -= size
        return float("inf")
