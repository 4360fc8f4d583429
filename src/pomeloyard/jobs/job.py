"""Jobs: the caller's request, the stored record and its states."""

from __future__ import annotations

import hashlib
import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from datetime import datetime
from enum import Enum
from urllib.parse import quote

from ..config.model import FleetConfig
from ..errors import RefusedError
from ..keyvalue import layout
from ..outcomes import RefusalReason, Refused


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
PLACED_STATES = frozenset({JobState.ASSIGNED, JobState.RUNNING})


class JobReason(Enum):
    """Why a job waits, cannot run, was requeued or has ended."""

    NONE = ""
    NO_ROOM = "no-room"
    TEAM_AT_LIMIT = "team-at-limit"
    SHARE_USED = "share-used"
    QUARANTINE = "workers-set-aside"
    NO_WORKERS = "no-workers"
    ZONE_EVACUATED = "zone-evacuated"
    QUEUE_MISSING = "queue-missing"
    NO_WORKER_LARGE_ENOUGH = "no-worker-large-enough"
    TEAM_LIMIT_TOO_SMALL = "team-limit-too-small"
    PLACED = "placed"
    PREEMPTED = "preempted"
    WORKER_UNREACHABLE = "worker-unreachable"
    WORKER_GONE = "worker-gone"
    TASK_FAILED = "task-failed"
    OUT_OF_MEMORY = "out-of-memory"
    FAILED_ON_SEVERAL_WORKERS = "failed-on-several-workers"
    UNKNOWN = "unknown"
    CANCELLED = "cancelled"
    KEY_WITHDRAWN = "key-withdrawn"


@dataclass(frozen=True, slots=True)
class JobRequest:
    """A caller's description of a job."""

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

    @property
    def units(self) -> int:
        """Return the units of the team's limit that the job takes."""
        return max(1, math.ceil(self.cores))


@dataclass(frozen=True, slots=True)
class JobDecision:
    """A scheduling decision, stored with the job to explain its state."""

    at: datetime
    kind: str
    choice: str
    reason: str
    candidates: tuple[tuple[str, str], ...] = ()
    """Names and reasons of the options that were considered."""


MAX_JOB_DECISIONS = 4


@dataclass(frozen=True, slots=True)
class Job:
    """A stored job record.

    ``attempt`` is the number of the latest start; ``failures`` counts failed attempts.
    ``memory_floor`` grows each time a task runs out of memory.
    """

    job_id: str
    team: str
    request: JobRequest
    submitted_at: datetime
    state: JobState = JobState.QUEUED
    reason: JobReason = JobReason.NONE
    cancel_requested: bool = False
    attempt: int = 0
    failures: int = 0
    failed_on: tuple[str, ...] = ()
    worker: str = ""
    worker_boot: str = ""
    task_id: str = ""
    fence: int = 0
    not_before: datetime | None = None
    assigned_at: datetime | None = None
    ended_at: datetime | None = None
    checkpoint: str = ""
    throttled: bool = False
    memory_floor: int = 0
    run_seconds: float = 0.0
    peak_cores: float = 0.0
    peak_memory_bytes: int = 0
    detail: str = ""
    decisions: tuple[JobDecision, ...] = field(default=())
    key_id: str = ""
    """API key that submitted the job; withdrawing it cancels the job while queued."""

    @property
    def units(self) -> int:
        """Return the units of the team's limit that the job takes."""
        return self.request.units

    @property
    def key(self) -> str:
        """Return the store key of the record."""
        return job_key(self.team, self.job_id)

    @property
    def placed(self) -> bool:
        """Tell whether a task of the job may be running."""
        return self.state in PLACED_STATES

    @property
    def final(self) -> bool:
        """Tell whether the job has ended."""
        return self.state in FINAL_STATES

    def decided(self, decision: JobDecision) -> tuple[JobDecision, ...]:
        """Return the latest decisions including a new one."""
        return (*self.decisions, decision)[-MAX_JOB_DECISIONS:]


def job_id_of(team: str, idempotency_key: str) -> str:
    """Return the id of a team's job with an idempotency key.

    >>> job_id_of("mill", "order-7") == job_id_of("mill", "order-7")
    True
    >>> job_id_of("mill", "order-7") == job_id_of("desk", "order-7")
    False
    """
    text = f"{team}\0{idempotency_key}"
    return hashlib.sha256(text.encode()).hexdigest()[:24]


def team_prefix(team: str) -> str:
    """Return the prefix of a team's job records.

    >>> team_prefix("a/b")
    'jobs/a%2Fb/'
    """
    return f"{layout.JOBS}{quote(team, safe='')}/"


def job_key(team: str, job_id: str) -> str:
    """Return the store key of a job."""
    return team_prefix(team) + job_id


JOB_ID_LENGTH = 24
MAX_KEY_CHARACTERS = 200
MAX_CORES = 1024.0
MAX_ACCELERATORS = 64
MIN_MEMORY_BYTES = 1024**2
MAX_MEMORY_BYTES = 64 * 1024**4
MAX_EXPECTED_SECONDS = 30 * 86_400.0
MAX_RETRIES = 20
MAX_COMMAND_CHARACTERS = 16_384
MAX_LABEL_CHARACTERS = 200

_CHECKS: Mapping[str, tuple[Callable[[JobRequest], bool], str]] = {
    "command": (
        lambda r: (
            0 < len(r.command) <= MAX_COMMAND_CHARACTERS and "\0" not in r.command
        ),
        f"1 to {MAX_COMMAND_CHARACTERS} characters",
    ),
    # The comparisons are false for NaN.
    "cores": (lambda r: 0 < r.cores <= MAX_CORES, f"above 0, at most {MAX_CORES:g}"),
    "memory_bytes": (
        lambda r: MIN_MEMORY_BYTES <= r.memory_bytes <= MAX_MEMORY_BYTES,
        f"{MIN_MEMORY_BYTES} to {MAX_MEMORY_BYTES}",
    ),
    "accelerators": (
        lambda r: 0 <= r.accelerators <= MAX_ACCELERATORS,
        f"0 to {MAX_ACCELERATORS}",
    ),
    "retry_limit": (
        lambda r: 0 <= r.retry_limit <= MAX_RETRIES,
        f"0 to {MAX_RETRIES}",
    ),
    "expected_seconds": (
        lambda r: 0 < r.expected_seconds <= MAX_EXPECTED_SECONDS,
        f"above 0, at most {MAX_EXPECTED_SECONDS:g}",
    ),
    "label": (lambda r: valid_label(r.label), "printable, at most 200 characters"),
}


def valid_label(label: str) -> bool:
    """Tell whether a job's label is valid."""
    return len(label) <= MAX_LABEL_CHARACTERS and (not label or label.isprintable())


def check_request(config: FleetConfig, team: str, request: JobRequest) -> None:
    """Raise RefusedError if a field is invalid or the queue is not for the team."""
    for name, (check, expected) in _CHECKS.items():
        if not check(request):
            raise refused(RefusalReason.INVALID_INPUT, f"{name}: expected {expected}")
    if team not in config.teams_by_name:
        # The scheduler skips teams it has no limits for, so the job would wait forever.
        raise refused(RefusalReason.NOT_READY, "the team is not configured yet")
    queue = config.queues_by_name.get(request.queue) if request.queue else None
    if request.queue and queue is None:
        raise refused(RefusalReason.INVALID_INPUT, "queue: unknown")
    if queue is not None and not queue.open and team not in queue.teams:
        raise refused(RefusalReason.ROLE_INSUFFICIENT, "queue: not for this team")


def check_idempotency_key(key: str) -> None:
    """Raise RefusedError if an idempotency key is too long or not printable."""
    if len(key) > MAX_KEY_CHARACTERS or (key and not key.isprintable()):
        detail = f"Idempotency-Key: at most {MAX_KEY_CHARACTERS} printable characters"
        raise refused(RefusalReason.INVALID_INPUT, detail)


def pools_of(config: FleetConfig, team: str, queue: str) -> tuple[str, ...] | None:
    """Return the pools whose workers run a queue's jobs, or None for no such queue.

    Without a queue name, the first queue by name that is restricted to teams
    including this one is used; if there is none, all pools are.
    """
    if queue:
        named = config.queues_by_name.get(queue)
        return None if named is None else named.pools
    for name in sorted(config.queues_by_name):
        own = config.queues_by_name[name]
        if not own.open and team in own.teams:
            return own.pools
    return tuple(sorted(config.pools_by_name))


def refused(reason: RefusalReason, detail: str) -> RefusedError:
    """Return the error for a refused job operation."""
    return RefusedError(Refused(reason, detail))
