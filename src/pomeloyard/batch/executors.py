"""Interface to executors that run tasks under leases and fencing tokens."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

from .model import Resources
from .progress import EndKind


@dataclass(frozen=True, slots=True)
class Executor:
    """An executor as it registered itself."""

    executor_id: str
    """Names one life; a restart may keep it, so see ``Report.incarnation``."""
    address: str
    service: str
    availability_zone: str
    capacity: Resources
    labels: tuple[str, ...]
    draining: bool
    incarnation: int
    rack: str = ""


@dataclass(frozen=True, slots=True)
class StartOrder:
    """An order to start one run of a task."""

    task: str
    run: int
    payload: str
    saved: str
    lease_until: timedelta
    """Time on the executor's own clock."""
    fence: int
    ticket: str = ""


class StartAnswer(Enum):
    """What an executor said of a start; all but STARTED mean that it does not run."""

    STARTED = "started"
    STALE_RUN = "stale-run"
    """The run's number is not above one that was stopped or ended there."""
    TOO_LATE = "too-late"
    """The lease had already ended when the order came."""
    NO_ROOM = "no-room"
    NO_TICKET = "no-ticket"
    NOT_TAKEN = "not-taken"
    OTHER_INCARNATION = "other-incarnation"


@dataclass(frozen=True, slots=True)
class RunningTask:
    """A run that an executor lists as running."""

    task: str
    run: int
    saved: str
    percent: int
    """Progress; for a lasting task 100 means that it is at work."""
    gauge: int
    """Over the last half second: the tail of a serving task in ms, else its cpu."""


@dataclass(frozen=True, slots=True)
class EndedTask:
    """An end that an executor repeats until it is acknowledged."""

    number: int
    """Rises from 1 in each incarnation."""
    task: str
    run: int
    kind: EndKind
    saved: str


@dataclass(frozen=True, slots=True)
class Report:
    """An executor's two lists."""

    clock: timedelta
    incarnation: int
    running: tuple[RunningTask, ...]
    ended: tuple[EndedTask, ...]
    ended_truncated: bool
    draining: bool


class ExecutorClient(ABC):
    """Calls to executors.

    Every method raises CallNotSentError, CallUnansweredError (the call may be
    carried out, also seconds later) or StaleFenceError.
    """

    @abstractmethod
    async def start(
        self, executor: Executor, order: StartOrder, timeout: timedelta
    ) -> tuple[StartAnswer, timedelta | None]:
        """Order a start; return the answer and the executor's clock if it told."""

    @abstractmethod
    async def stop(
        self, executor: Executor, task: str, run: int, fence: int, timeout: timedelta
    ) -> None:
        """Stop a run, or make a start of it that has not arrived void."""

    @abstractmethod
    async def look(
        self,
        executor: Executor,
        *,
        fence: int,
        acknowledged: int,
        lease_until: timedelta | None,
        wait: timedelta,
        timeout: timedelta,
    ) -> Report:
        """Read both lists, extend all leases and acknowledge ends.

        Waits up to ``wait`` for an end that is not acknowledged, and in all up to
        ``timeout``.
        """

    @abstractmethod
    async def pace(
        self,
        executor: Executor,
        task: str,
        run: int,
        percent: int,
        fence: int,
        timeout: timedelta,
    ) -> None:
        """Limit the share at which a run works."""
