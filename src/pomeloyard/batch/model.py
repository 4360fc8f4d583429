"""Data model of the placing role: jobs, queues, pools, teams and waves."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from enum import Enum

from ..errors import RefusedError
from ..outcomes import RefusalReason, Refused

MAX_TASKS = 20_000
"""Limit on the tasks of a job over all occurrences; keeps its run record below 1 MB."""
MAX_GANG_TASKS = 256
"""Limit on the tasks of a gang. Its members wait for each other for a few seconds only;
a holder on half a core that takes turns between two teams starts this many in two."""
MAX_PAYLOAD_BYTES = 4000
MAX_STEPS = 64
"""Limit on the steps of a job; planning iterates over them at each event."""


@dataclass(frozen=True, slots=True)
class Resources:
    """An amount of resources; as a limit, 0 means unlimited."""

    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def fits(self, available: Resources) -> bool:
        """Tell whether this amount is at most ``available``."""
        return (
            self.cpu_millis <= available.cpu_millis
            and self.memory_mb <= available.memory_mb
            and self.accelerators <= available.accelerators
        )

    def __add__(self, other: Resources) -> Resources:
        return Resources(
            self.cpu_millis + other.cpu_millis,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: Resources) -> Resources:
        return Resources(
            self.cpu_millis - other.cpu_millis,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def times(self, count: int) -> Resources:
        """Return this amount ``count`` times."""
        return Resources(
            self.cpu_millis * count, self.memory_mb * count, self.accelerators * count
        )


NO_RESOURCES = Resources()


@dataclass(frozen=True, slots=True)
class StepSpec:
    """A group of identical tasks.

    ``cpu_millis`` and ``memory_mb`` are for each task; ``estimate_ms`` is the
    submitter's estimate of the run time and may be inaccurate.
    """

    count: int
    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    """Earlier steps that must complete first."""
    checkpoints: bool = False
    gang: bool = False
    """All tasks must run at the same time and complete together."""
    same_rack: bool = False
    label: str = ""
    """Label that an executor must have."""
    data_rack: str = ""
    max_per_executor: int = 0
    speculative: bool = False
    """Copies of a task may run at the same time; the first to finish counts."""
    lasting: bool = False
    """Tasks are long-running: they are restarted until the job is cancelled."""
    image: str = ""
    target_tail_ms: int = 0
    fills: bool = False
    """Tasks are best-effort: they use idle cpu of the executor, which isn't counted."""
    may_be_away: int = 0
    """Tasks of a long-running step that the system may make unavailable at once."""

    @property
    def team_usage(self) -> Resources:
        """Return the resources of a task that count towards its team's limit."""
        return Resources(self.cpu_millis, self.memory_mb, self.accelerators)

    @property
    def executor_usage(self) -> Resources:
        """Return the resources that a task takes of an executor's capacity."""
        cpu = 0 if self.fills else self.cpu_millis
        return Resources(cpu, self.memory_mb, self.accelerators)


@dataclass(frozen=True, slots=True)
class JobSpec:
    """Specification of a submitted job; ``first_due_ms`` counts from 1970 (UTC)."""

    payload: str
    steps: tuple[StepSpec, ...]
    first_due_ms: int = 0
    interval_ms: int = 0
    occurrences: int = 0
    """Number of scheduled runs of the steps; 0 runs them once, immediately."""


class JobState(Enum):
    """State of a job; the last three are final."""

    PENDING = "pending"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


FINAL_STATES = frozenset({JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED})


@dataclass(frozen=True, slots=True)
class PlacementAdvice:
    """Timing of the advice service that decides which executors may run a step."""

    decide: timedelta
    each: timedelta
    valid: timedelta


@dataclass(frozen=True, slots=True)
class Queue:
    """A queue of jobs, which callers address by host and path."""

    name: str
    host: str
    path_prefix: str
    service: str
    priority: int = 0
    """0 is the highest priority and may preempt others."""
    max_attempts: int = 1
    stretch: float = 1.0
    """A job's target time is ``stretch`` times its critical path + ``objective``."""
    objective: timedelta = timedelta(0)
    public: bool = False
    advice: PlacementAdvice | None = None


@dataclass(frozen=True, slots=True)
class Pool:
    """The executors of a service."""

    name: str
    rejects_overload: bool = False
    standby: bool = False
    """The VMs of the pool are switched off and free of charge."""


@dataclass(frozen=True, slots=True)
class TeamLimits:
    """Keys, weight and resource limits of a team; a limit of 0 means none."""

    name: str
    keys: tuple[str, ...] = ()
    weight: float = 1.0
    maximum: Resources = NO_RESOURCES


@dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the operators' configuration."""

    version: int
    queues_by_name: Mapping[str, Queue] = field(default_factory=dict)
    pools_by_name: Mapping[str, Pool] = field(default_factory=dict)
    teams_by_name: Mapping[str, TeamLimits] = field(default_factory=dict)
    team_by_key: Mapping[str, str] = field(default_factory=dict)
    max_body_bytes: int = 262_144

    def queue_at(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest prefix of ``path`` at a host."""
        best = None
        for queue in self.queues_by_name.values():
            longer = best is None or len(queue.path_prefix) > len(best.path_prefix)
            if queue.host == host and path.startswith(queue.path_prefix) and longer:
                best = queue
        return best


@dataclass(frozen=True, slots=True)
class Wave:
    """An operator's request to maintain VMs before a deadline."""

    wave_id: int
    vms: tuple[str, ...]
    complete_by: timedelta
    """Time from the request until the last VM must be maintained."""
    max_at_once: int


@dataclass(frozen=True, slots=True)
class JobRecord:
    """A submitted job, as stored before the caller is answered."""

    queue: str
    team: str
    spec: JobSpec
    submitted_at: datetime
    write_id: str
    accepted_queue: Queue | None = None
    """The queue when the job was accepted; used after the queue was removed."""


def check_spec(spec: JobSpec) -> None:
    """Raise RefusedError if a job specification is invalid."""
    if not spec.steps or len(spec.steps) > MAX_STEPS:
        raise _invalid(f"steps: expected 1 to {MAX_STEPS}")
    if len(spec.payload.encode()) > MAX_PAYLOAD_BYTES:
        raise _invalid(f"payload: at most {MAX_PAYLOAD_BYTES} bytes")
    if spec.occurrences < 0 or spec.interval_ms < 0:
        raise _invalid("occurrences and interval: not negative")
    tasks = sum(step.count for step in spec.steps) * max(1, spec.occurrences)
    if tasks > MAX_TASKS:
        raise _invalid(f"at most {MAX_TASKS} tasks")
    for number, step in enumerate(spec.steps):
        if step.count < 1:
            raise _invalid(f"step {number}: count must be positive")
        if step.gang and step.count > MAX_GANG_TASKS:
            raise _invalid(f"step {number}: at most {MAX_GANG_TASKS} tasks in a gang")
        if any(not 0 <= dependency < number for dependency in step.after):
            raise _invalid(f"step {number}: only earlier steps can come first")
        if min(step.cpu_millis, step.memory_mb, step.accelerators) < 0:
            raise _invalid(f"step {number}: sizes must not be negative")
        if step.estimate_ms < 0:
            raise _invalid(f"step {number}: the estimate must not be negative")


def _invalid(detail: str) -> RefusedError:
    return RefusedError(Refused(RefusalReason.INVALID_INPUT, detail))
