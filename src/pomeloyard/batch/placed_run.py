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


class PlacedRun:
    """A run that may exist on the executor."""

    __slots__ = (
        "acknowledged_at",
        "fence",
        "gauge",
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
        self.moved_at: timedelta | None = None
        self.pace = 100
        self.pace_sent_at = timedelta(0)
