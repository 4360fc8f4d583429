"""Keeps the stored jobs within the memory of the daemons that may place them (no I/O).

Every job that is stored is in the memory of the placing daemon until it expires. A team
whose jobs take more than an equal part of what fits is full; its further jobs are
rejected until some have expired. One part is always left to the teams that take little.
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
SMALL_PART = 0.01
"""Teams below this part of the limit do not reduce the parts of others."""
RELEASE_PART = 0.9
"""A team is no longer full below this part of its limit."""


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

        ``limit`` is in bytes for all teams together; 0 means none. A team that was full
        stays so until it is clearly below its part.
        """
        if not limit:
            self._full = frozenset()
            return self._full
        large = sum(size > SMALL_PART * limit for size in self.bytes_by_team.values())
        part = limit / (large + 1)
        self._full = frozenset(
            team
            for team, size in self.bytes_by_team.items()
            if size >= part * (RELEASE_PART if team in self._full else 1)
        )
        return self._full
