"""A run of a task that may exist on an executor, and what is known about it."""

from __future__ import annotations

from datetime import timedelta
from enum import Enum

from .progress import Task


class Phase(Enum):
    """What is known about a run."""

    ASSIGNED = "assigned"
    """The assignment is not stored yet; no start was sent."""
    START_SENT = "ordered"
    RUNNING = "running"
    UNCONFIRMED = "unsure"
    """The start got no answer; it may or may not have been carried out."""
    STOPPING = "stopping"


class LossCause(Enum):
    """Why a run is over whose executor did not report its end."""

    CRASHED = "executor-crashed"
    LEFT = "executor-left"
    """The executor was drained and then left."""
    VM_OPERATION = "vm-operation"
    """Its VM was moved or maintained."""
    LEASES_EXPIRED = "leases-expired"
    """The executor was unreachable until all leases had expired."""
    NOT_LISTED = "not-listed"
    """The executor runs on without it: the run never began, or its end is unknown."""
    UNKNOWN = "unknown"
    """The executor is gone, and this term has not seen why."""


class PlacedRun:
    """A run that may exist on the executor."""

    __slots__ = (
        "acknowledged_at",
        "fence",
        "gauge",
        "listed_at",
        "loss_cause",
        "may_be_stopping",
        "moved_at",
        "ordered_at",
        "pace",
        "pace_sent_at",
        "partial",
        "percent",
        "phase",
        "run",
        "stop_answered_at",
        "task",
        "ticket",
        "unsure",
    )

    def __init__(self, task: Task, run: int, phase: Phase, fence: int) -> None:
        self.task = task
        self.run = run
        self.phase = phase
        self.fence = fence
        self.ticket = ""
        self.partial = bool(task.saved)
        """Whether it resumes from a checkpoint, or began in an earlier term."""
        self.acknowledged_at: timedelta | None = None
        self.stop_answered_at: timedelta | None = None
        self.ordered_at: timedelta | None = None
        self.unsure = False
        """Whether its start got no answer and no poll has listed the run since."""
        self.may_be_stopping = False
        """Whether an earlier term may have ordered its stop."""
        self.percent = 0
        self.gauge = 0
        self.listed_at: timedelta | None = None
        """Time of the last report that listed it as running."""
        self.loss_cause = LossCause.NOT_LISTED
        """Why it is over, once it is lost."""
        self.moved_at: timedelta | None = None
        self.pace = 100
        self.pace_sent_at = timedelta(0)

    def proven_uptime(self, executor_alive_at: timedelta | None) -> timedelta:
        """Return how long it certainly ran.

        ``executor_alive_at`` is when its executor was last known to be alive.
        """
        since = self.acknowledged_at
        if since is None:
            return timedelta(0)
        ran_until = max(self.listed_at or since, executor_alive_at or since)
        return ran_until - since
