"""Jobs: their records in the store and their states."""

from __future__ import annotations

import hashlib
import math
import secrets
from dataclasses import dataclass
from enum import Enum

from .clock import Clock
from .errors import RefusedError, StoreUnavailableError
from .outcomes import RefusalReason, Refused
from .platform import layout
from .platform.records import (
    Change,
    ConflictError,
    Versioned,
    commit_changes,
    decode_record,
    read_record,
)
from .platform.store import Store, scan_all


class JobState(Enum):
    """State of a job; the last four are final."""

    QUEUED = "queued"
    ASSIGNED = "assigned"
    RUNNING = "running"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"
    IMPOSSIBLE = "impossible"


FINAL_STATES = frozenset(
    {JobState.SUCCEEDED, JobState.FAILED, JobState.CANCELLED, JobState.IMPOSSIBLE}
)


@dataclass(frozen=True, slots=True)
class JobRequest:
    """What a caller asks for; memory is in bytes."""

    command: str
    cores: float = 1.0
    memory_bytes: int = 1024**3
    accelerators: int = 0
    queue: str = ""
    urgent: bool = False
    idempotent: bool = False
    checkpointable: bool = False
    retry_limit: int = 2
    expected_seconds: float = 60.0
    label: str = ""


@dataclass(frozen=True, slots=True)
class Job:
    """A durable job record."""

    job_id: str
    team: str
    request: JobRequest
    state: JobState = JobState.QUEUED
    submitted_at: str = ""
    cancel_requested: bool = False
    attempt: int = 0
    worker: str = ""
    task_id: str = ""
    fence: int = 0
    reason: str = ""

    @property
    def units(self) -> int:
        """Return the units of the team's limit that the job takes."""
        return max(1, math.ceil(self.request.cores))


def job_id_of(team: str, idempotency_key: str) -> str:
    """Return the id of the job that a team submits with an idempotency key.

    >>> job_id_of("mill", "order-7") == job_id_of("mill", "order-7")
    True
    """
    text = f"{team}\0{idempotency_key}"
    return hashlib.sha256(text.encode()).hexdigest()[:24]


class JobStore:
    """Reads and writes job records."""

    def __init__(self, store: Store, clock: Clock) -> None:
        self._store = store
        self._clock = clock

    async def submit(self, team: str, request: JobRequest, idempotency_key: str) -> Job:
        """Make a job durable and return it; repeating the key returns the first."""
        name = idempotency_key or secrets.token_hex(16)
        job = Job(
            job_id=job_id_of(team, name),
            team=team,
            request=request,
            submitted_at=self._clock.now().isoformat(),
        )
        change = Change(layout.JOBS + job.job_id, job, None)
        try:
            await commit_changes(self._store, [change])
        except ConflictError:
            return await self._existing(job)
        except StoreUnavailableError as error:
            refusal = Refused(RefusalReason.STORE_UNAVAILABLE, "job store")
            raise RefusedError(refusal) from error
        return job

    async def get(self, job_id: str) -> Job | None:
        """Return a job, or None if there is none."""
        record = await read_record(self._store, layout.JOBS + job_id, Job)
        return None if record is None else record.value

    async def all(self) -> list[Versioned[Job]]:
        """Return all job records."""
        page = await scan_all(self._store, layout.JOBS)
        return [decode_record(entry, Job) for entry in page.entries]

    async def update(self, record: Versioned[Job], job: Job) -> None:
        """Replace a job record; raises ConflictError if it has changed."""
        await commit_changes(self._store, [Change(record.key, job, record)])

    async def _existing(self, job: Job) -> Job:
        earlier = await self.get(job.job_id)
        if earlier is None or earlier.request != job.request:
            raise RefusedError(Refused(RefusalReason.KEY_REUSED, job.job_id))
        return earlier
