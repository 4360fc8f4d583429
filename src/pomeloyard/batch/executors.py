"""Interface to executors that run tasks under leases and fencing tokens."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

from .model import Resources
from .progress import EndKind


@dataclass(frozen=True, slots=True)
class Executor:
    """Registration of an executor."""

    executor_id: str
    """May be kept across a restart, which ``ExecutorReport.incarnation`` shows."""
    address: str
    service: str
    availability_zone: str
    capacity: Resources
    labels: tuple[str, ...]
    draining: bool
    incarnation: int
    rack: str = ""
    vm: str = ""
    """Name of its VM; "" if it is only known from the list of VMs."""


@dataclass(frozen=True, slots=True)
class StartOrder:
    """Request to start one run of a task."""

    task: str
    run: int
    payload: str
    saved: str
    lease_until: timedelta
    """Time on the executor's own clock."""
    fence: int
    ticket: str = ""


class StartAnswer(Enum):
    """Result of a start; any other than STARTED means that the run was not started."""

    STARTED = "started"
    STALE_RUN = "stale-run"
    """This run of the task, or a later one, was already stopped or ended there."""
    TOO_LATE = "too-late"
    """The lease had already expired when the request arrived."""
    NO_CAPACITY = "no-room"
    NO_TICKET = "no-ticket"
    NOT_ACCEPTED = "not-taken"
    OTHER_INCARNATION = "other-incarnation"
    NOT_PERMITTED = "not-permitted"
    """Not sent: the zone is evacuated, or the role is no longer held."""


@dataclass(frozen=True, slots=True)
class RunningTask:
    """A run that an executor reports as running."""

    task: str
    run: int
    saved: str
    percent: int
    """Progress; for a lasting task 100 means that it is ready."""
    gauge: int
    """Over the last half second: tail latency in ms of a serving task, else CPU use."""


@dataclass(frozen=True, slots=True)
class EndedTask:
    """The end of a run, which an executor reports until it is acknowledged."""

    number: int
    """Sequence number, counted from 1 in each incarnation."""
    task: str
    run: int
    kind: EndKind
    saved: str


@dataclass(frozen=True, slots=True)
class ExecutorReport:
    """An executor's answer to a poll: its running runs and unacknowledged ends."""

    clock: timedelta
    incarnation: int
    running: tuple[RunningTask, ...]
    ended: tuple[EndedTask, ...]
    ended_truncated: bool
    draining: bool


class ExecutorClient(ABC):
    """Calls to executors.

    Every method raises CallNotSentError, CallUnansweredError (the call may have been
    carried out, or may be within seconds) or StaleFenceError.
    """

    @abstractmethod
    async def start(
        self,
        executor: Executor,
        order: StartOrder,
        timeout: timedelta,
        permitted: Callable[[], bool],
    ) -> tuple[StartAnswer, timedelta | None]:
        """Start a run; return the result and the executor's clock, if reported.

        Raises CallNotPermittedError if ``permitted``, called immediately before
        sending, returns False.
        """

    @abstractmethod
    async def stop(
        self, executor: Executor, task: str, run: int, fence: int, timeout: timedelta
    ) -> None:
        """Stop a run, or revoke its start if that has not arrived yet."""

    @abstractmethod
    async def poll(
        self,
        executor: Executor,
        *,
        fence: int,
        acknowledged: int,
        lease_until: timedelta | None,
        wait: timedelta,
        timeout: timedelta,
    ) -> ExecutorReport:
        """Poll both lists, extend all leases and acknowledge ends.

        The executor waits up to ``wait`` for an end that is not acknowledged;
        ``timeout`` limits the whole call.
        """

    @abstractmethod
    async def limit_cpu(
        self,
        executor: Executor,
        task: str,
        run: int,
        percent: int,
        fence: int,
        timeout: timedelta,
    ) -> None:
        """Limit the CPU share of a run to a percentage."""
