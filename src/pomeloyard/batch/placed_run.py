"""A run of a task that may exist on an executor, and what is known about it."""

from __future__ import annotations

from datetime import timedelta
from enum import Enum

from .crash_blame import TRIAL_TIME
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
        "listed_clock",
        "loss_cause",
        "may_be_stopping",
        "moved_at",
        "on_trial",
        "ordered_at",
        "pace",
        "pace_sent_at",
        "partial",
        "percent",
        "phase",
        "run",
        "start_closed",
        "started_clock",
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
        """Whether its run time says nothing about others: it resumes from a checkpoint,
        began in an earlier term, is paced, or runs away from its data."""
        self.acknowledged_at: timedelta | None = None
        self.stop_answered_at: timedelta | None = None
        self.ordered_at: timedelta | None = None
        self.unsure = False
        """Whether its start got no answer and no poll has listed the run since."""
        self.may_be_stopping = False
        """Whether an earlier term may have ordered its stop."""
        self.percent = 0
        self.gauge = 0
        self.started_clock: timedelta | None = None
        """The executor's clock when it answered the start, or first listed the run."""
        self.listed_clock: timedelta | None = None
        """The executor's clock when it last listed the run."""
        self.start_closed = False
        """Whether the executor closed the connection during the start."""
        self.on_trial = False
        """Whether it has still to show that it does not crash its executor."""
        self.loss_cause = LossCause.NOT_LISTED
        """Why it is over, once it is lost."""
        self.moved_at: timedelta | None = None
        self.pace = 100
        self.pace_sent_at = timedelta(0)

    def proven_uptime(self, executor_alive_at: timedelta | None) -> timedelta:
        """Return how long it certainly ran.

        ``executor_alive_at`` is when its executor closed a connection, as it does when
        it crashes.
        """
        uptime = timedelta(0)
        if self.started_clock is not None and self.listed_clock is not None:
            uptime = self.listed_clock - self.started_clock
        if self.acknowledged_at is not None and executor_alive_at is not None:
            uptime = max(uptime, executor_alive_at - self.acknowledged_at)
        suspicion = self.task.suspicion
        if suspicion is not None and suspicion.passed_run == self.run:
            # An earlier term may have seen it.
            uptime = max(uptime, TRIAL_TIME)
        return uptime

    @property
    def trial_time(self) -> timedelta:
        """Return how long it must run to pass a trial."""
        suspicion = self.task.suspicion
        return suspicion.trial_time if suspicion else TRIAL_TIME

    @property
    def has_passed_trial_time(self) -> bool:
        """Tell whether it has run longer than a task that crashes its executor."""
        return self.proven_uptime(None) >= TRIAL_TIME

    @property
    def witnessed(self) -> bool:
        """Tell whether the executor was certainly alive when it received the start."""
        return self.acknowledged_at is not None or self.start_closed
