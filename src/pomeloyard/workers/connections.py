"""Periodic calls to all workers: lease renewals, reports, starts and signals."""

from __future__ import annotations

import heapq
from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass, field
from datetime import timedelta

import anyio
from anyio.abc import TaskGroup

from ..clock import Clock
from ..outcomes import Done, Outcome, RefusalReason, Refused
from .client import CALL_TIMEOUT, WorkerClient
from .tasks import TaskAction, TaskReport, TaskStart

TASK_LEASE = timedelta(seconds=10)
LEASE_MARGIN = timedelta(seconds=1)
"""Added to a lease before its task counts as ended, to allow for clock differences."""
RENEW_INTERVAL = timedelta(seconds=3)
RETRY_INTERVAL = timedelta(seconds=1)
IDLE_INTERVAL = timedelta(seconds=15)
MIN_EXPECTED_END_INTERVAL = timedelta(seconds=1)
"""Minimum time between calls made because a task is expected to have ended."""
SIGNAL_REPORT_DELAY = timedelta(seconds=0.25)
"""Time from a signal to the call that reports its effect."""
MAX_START_DELAY = timedelta(seconds=2)
"""Time after the write of a task's record in which its start may be sent, so that
a daemon that was paused in between does not start a task that another scheduler
has given up."""
LATE_START_WINDOW = timedelta(seconds=60)
"""Time after an unanswered start in which the task's report is not acknowledged:
if the start arrives late, the worker still has the report and does not run the
task again."""
FAILURES_BEFORE_PROBING = 2
"""After this many consecutive failed calls, leases are no longer renewed, so that
they certainly expire; the worker is only asked for reports."""
MAX_CALLS = 64
MAX_CALLS_TO_UNRESPONSIVE = 32
"""Unresponsive workers have a limit of their own, so that they cannot delay calls
to the others."""
POLL_INTERVAL = timedelta(seconds=0.1)


@dataclass
class AssignedTask:
    """A task assigned to a worker.

    ``confirmed``: the worker is known to have it. ``uncertain``: a start had an
    unknown outcome. ``recovered``: it was started before this scheduler's term;
    ``superseded``: under a lower fencing token, which the worker now refuses.
    ``ended_by`` is when its lease has certainly expired unless it is renewed.
    """

    job_key: str
    start_request: TaskStart | None
    ended_by: timedelta
    idempotent: bool = False
    confirmed: bool = False
    uncertain: bool = False
    recovered: bool = False
    superseded: bool = False
    starting: bool = False


@dataclass
class WorkerState:
    """State of one worker under this fencing token."""

    name: str
    address: str
    boot_id: str
    due: timedelta
    answered: bool = False
    failures: int = 0
    busy: bool = False
    tasks_by_id: dict[str, AssignedTask] = field(default_factory=dict)
    unacknowledged_until: dict[str, timedelta] = field(default_factory=dict)

    @property
    def reachable(self) -> bool:
        """Tell whether tasks may be assigned to the worker."""
        return self.answered and self.failures < FAILURES_BEFORE_PROBING


class WorkerEvents(ABC):
    """Callbacks of the scheduler for the results of calls to workers."""

    @abstractmethod
    def reported(
        self,
        worker_state: WorkerState,
        reports: Sequence[TaskReport],
        known: frozenset[str],
    ) -> None:
        """Handle all reports of a worker, which certainly had the ``known`` tasks."""

    @abstractmethod
    def worker_removed(self, worker_state: WorkerState) -> None:
        """End the tasks of a worker that is no longer in the platform's VM list."""

    @abstractmethod
    def acknowledgeable(self, worker_state: WorkerState) -> list[str]:
        """Return ended tasks whose results have been stored."""

    @abstractmethod
    def not_started(
        self, worker_state: WorkerState, task_id: str, assigned_task: AssignedTask
    ) -> None:
        """Handle a task that certainly was not started."""

    @abstractmethod
    def expected_end(self, worker_state: WorkerState) -> timedelta | None:
        """Return the expected end of the worker's task that ends next, if known."""


class WorkerConnections:
    """Calls to all workers, with a limit on parallel calls."""

    def __init__(
        self, clock: Clock, client: WorkerClient, fence: int, events: WorkerEvents
    ) -> None:
        self._clock = clock
        self._client = client
        self._fence = fence
        self._events = events
        self._due_heap: list[tuple[timedelta, str]] = []
        self._calls = anyio.CapacityLimiter(MAX_CALLS)
        self._unresponsive_calls = anyio.CapacityLimiter(MAX_CALLS_TO_UNRESPONSIVE)
        self._tasks: TaskGroup | None = None
        self.stale = anyio.Event()
        """Set when a worker has refused a call because of a newer fencing token."""
        self.by_name: dict[str, WorkerState] = {}
        self.health_changed = False
        """Set when a worker has become reachable or unreachable."""

    async def run(self) -> None:
        """Call workers when they are due, until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            while True:
                now = self._clock.monotonic()
                while self._due_heap and self._due_heap[0][0] <= now:
                    due, name = heapq.heappop(self._due_heap)
                    worker_state = self.by_name.get(name)
                    if (
                        worker_state is not None
                        and not worker_state.busy
                        and worker_state.due == due
                    ):
                        worker_state.busy = True
                        tasks.start_soon(self._call_worker, worker_state)
                await self._clock.sleep(POLL_INTERVAL)

    def add_or_update(self, name: str, address: str, boot_id: str) -> WorkerState:
        """Add a worker, or update its address and boot id."""
        worker_state = self.by_name.get(name)
        if worker_state is None:
            worker_state = WorkerState(name, address, boot_id, self._clock.monotonic())
            self.by_name[name] = worker_state
            heapq.heappush(self._due_heap, (worker_state.due, name))
        worker_state.address, worker_state.boot_id = address, boot_id
        return worker_state

    def remove(self, name: str) -> None:
        """Remove a worker that no longer exists; its tasks have ended."""
        self._events.worker_removed(self.by_name.pop(name))

    def call_soon(
        self, worker_state: WorkerState, after: timedelta = timedelta(0)
    ) -> None:
        """Call a worker sooner than scheduled."""
        due = self._clock.monotonic() + after
        if due < worker_state.due:
            worker_state.due = due
            if not worker_state.busy:
                heapq.heappush(self._due_heap, (due, worker_state.name))

    def start(
        self, worker_state: WorkerState, task_id: str, assigned_task: AssignedTask
    ) -> None:
        """Start a task in the background; its record must already be stored."""
        worker_state.tasks_by_id[task_id] = assigned_task
        self._start_in_background(worker_state, task_id, assigned_task)

    def start_again(
        self, worker_state: WorkerState, task_id: str, assigned_task: AssignedTask
    ) -> None:
        """Repeat a start whose outcome is unknown, with the same task id."""
        if not assigned_task.starting and assigned_task.start_request is not None:
            self._start_in_background(worker_state, task_id, assigned_task)

    def signal(
        self, worker_state: WorkerState, task_id: str, action: TaskAction
    ) -> None:
        """Request an action on a task in the background."""
        assert self._tasks is not None
        self._tasks.start_soon(self._signal, worker_state, task_id, action)

    def _start_in_background(
        self, worker_state: WorkerState, task_id: str, assigned_task: AssignedTask
    ) -> None:
        assert self._tasks is not None
        assigned_task.starting = True
        sent_by = self._clock.monotonic() + MAX_START_DELAY
        self._tasks.start_soon(
            self._start, worker_state, task_id, assigned_task, sent_by
        )

    async def _start(
        self,
        worker_state: WorkerState,
        task_id: str,
        assigned_task: AssignedTask,
        sent_by: timedelta,
    ) -> None:
        assert assigned_task.start_request is not None
        async with self._limiter(worker_state):
            outcome: Outcome[None]
            if self._clock.monotonic() > sent_by:
                reason = RefusalReason.DEADLINE_PASSED
                outcome = Refused(reason, "start was delayed")
            else:
                outcome = await self._client.start_task(
                    worker_state.address, assigned_task.start_request
                )
        assigned_task.starting = False
        if self._is_stale(outcome):
            return
        now = self._clock.monotonic()
        if isinstance(outcome, Done):
            assigned_task.confirmed = True
            assigned_task.ended_by = now + TASK_LEASE + LEASE_MARGIN
            self.call_soon(worker_state, self._call_interval(worker_state))
        elif not isinstance(outcome, Refused):
            assigned_task.uncertain = True
            assigned_task.ended_by = now + TASK_LEASE + LEASE_MARGIN
            worker_state.unacknowledged_until[task_id] = now + LATE_START_WINDOW
            self.call_soon(worker_state)
        elif not assigned_task.uncertain:
            if outcome.reason is RefusalReason.ENDPOINT_UNREACHABLE:
                # The worker gets no other tasks until it has answered again.
                worker_state.failures = max(
                    worker_state.failures, FAILURES_BEFORE_PROBING
                )
                self.health_changed = True
                self.call_soon(worker_state)
            worker_state.tasks_by_id.pop(task_id, None)
            self._events.not_started(worker_state, task_id, assigned_task)

    async def _signal(
        self, worker_state: WorkerState, task_id: str, action: TaskAction
    ) -> None:
        async with self._limiter(worker_state):
            outcome = await self._client.signal(
                worker_state.address, task_id, self._fence, action
            )
        self._is_stale(outcome)
        self.call_soon(worker_state, SIGNAL_REPORT_DELAY)

    async def _call_worker(self, worker_state: WorkerState) -> None:
        try:
            async with self._limiter(worker_state):
                await self._acknowledge(worker_state)
                await self._renew(worker_state)
        finally:
            worker_state.busy = False
            if self.by_name.get(worker_state.name) is worker_state:
                wait = (
                    RETRY_INTERVAL
                    if worker_state.failures
                    else self._call_interval(worker_state)
                )
                worker_state.due = self._clock.monotonic() + wait
                heapq.heappush(self._due_heap, (worker_state.due, worker_state.name))

    async def _acknowledge(self, worker_state: WorkerState) -> None:
        now = self._clock.monotonic()
        for task_id in [
            t for t, until in worker_state.unacknowledged_until.items() if until <= now
        ]:
            del worker_state.unacknowledged_until[task_id]
        ended = self._events.acknowledgeable(worker_state)
        ended = [
            task_id
            for task_id in ended
            if task_id not in worker_state.unacknowledged_until
        ]
        if ended and not worker_state.failures:
            outcome = await self._client.acknowledge(
                worker_state.address, self._fence, ended
            )
            self._is_stale(outcome)

    async def _renew(self, worker_state: WorkerState) -> None:
        known = frozenset(
            t
            for t, assigned_task in worker_state.tasks_by_id.items()
            if assigned_task.confirmed
        )
        renewed: list[str] = []
        if worker_state.failures < FAILURES_BEFORE_PROBING:
            renewed = [
                t
                for t, assigned_task in worker_state.tasks_by_id.items()
                if t in known or assigned_task.recovered
            ]
        outcome = await self._client.renew(
            worker_state.address, self._fence, TASK_LEASE.total_seconds(), renewed
        )
        if self._is_stale(outcome):
            return
        now = self._clock.monotonic()
        if not isinstance(outcome, Refused):
            for task_id in renewed:
                assigned_task = worker_state.tasks_by_id.get(task_id)
                if assigned_task is not None:
                    assigned_task.ended_by = now + TASK_LEASE + LEASE_MARGIN
        was_reachable = worker_state.reachable
        if isinstance(outcome, Done):
            worker_state.answered = True
            worker_state.failures = 0
            self._events.reported(worker_state, outcome.value, known)
        else:
            worker_state.failures += 1
        if worker_state.reachable is not was_reachable:
            self.health_changed = True

    def _call_interval(self, worker_state: WorkerState) -> timedelta:
        if not worker_state.tasks_by_id:
            return (
                IDLE_INTERVAL
                if not worker_state.unacknowledged_until
                else RENEW_INTERVAL
            )
        expected = self._events.expected_end(worker_state)
        if expected is None:
            return RENEW_INTERVAL
        return min(
            max(expected - self._clock.monotonic(), MIN_EXPECTED_END_INTERVAL),
            RENEW_INTERVAL,
        )

    def _limiter(self, worker_state: WorkerState) -> anyio.CapacityLimiter:
        return self._unresponsive_calls if worker_state.failures else self._calls

    def _is_stale(self, outcome: Outcome[None] | Outcome[list[TaskReport]]) -> bool:
        stale = (
            isinstance(outcome, Refused) and outcome.reason is RefusalReason.STALE_FENCE
        )
        if stale:
            self.stale.set()
        return stale


RECOVERY_WAIT = TASK_LEASE + LEASE_MARGIN + CALL_TIMEOUT
"""Time that a new scheduler waits for a worker that does not answer: one lease,
plus a renewal by the previous scheduler that was still in flight."""
