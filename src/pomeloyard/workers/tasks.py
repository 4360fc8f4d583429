"""Data exchanged with workers about tasks."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class TaskState(Enum):
    """State of a task as the worker reports it."""

    RUNNING = "running"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    STOPPED = "stopped"
    CHECKPOINTED = "checkpointed"
    LEASE_EXPIRED = "lease_expired"


class TaskAction(Enum):
    """Action that a worker can be asked to take on a running task."""

    CHECKPOINT = "checkpoint"
    THROTTLE = "throttle"
    UNTHROTTLE = "unthrottle"
    STOP = "stop"


OUT_OF_MEMORY = "out-of-memory"
"""``TaskReport.detail`` of a task that was killed for exceeding its memory."""


@dataclass(frozen=True, slots=True)
class TaskStart:
    """Request to run a task under a lease.

    ``fence`` is the scheduler's fencing token; ``lease_seconds`` is how long the
    worker runs the task without renewal.
    """

    task_id: str
    job_id: str
    team: str
    fence: int
    lease_seconds: float
    cores: float
    memory_bytes: int
    accelerators: int = 0
    command: str = ""
    checkpoint: str = ""
    """Reference of the checkpoint to resume from, or empty."""


@dataclass(frozen=True, slots=True)
class TaskReport:
    """State and resource usage of a task; the usage may be out of date."""

    task_id: str
    job_id: str
    state: TaskState
    fence: int
    run_seconds: float = 0.0
    peak_cores: float = 0.0
    peak_memory_bytes: int = 0
    checkpoint: str = ""
    detail: str = ""
