"""Verification that no requests or tasks run at a draining VM."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from datetime import timedelta

import anyio
import msgspec

from ..clock import Clock
from ..fleet_state import FleetState
from ..jobs.job import FINAL_STATES, JobState
from ..keyvalue import layout
from ..keyvalue.records import RecordError
from ..keyvalue.store import Store, scan_all
from ..vm_platform.directory import VmListState, VmRole
from .vms import DrainStatus, VmRecord

QUERY_INTERVAL = timedelta(seconds=1)
"""Minimum time between two queries to one daemon about one VM."""

SETTLE_TIME = timedelta(seconds=2.5)
"""Minimum time from the last daemon's confirmation of a drain to a count that finds
the worker without tasks. A placement decided before the confirmation is written
within the store's call timeout of 2 s."""

SCAN_INTERVAL = timedelta(seconds=2)
"""Minimum time between two scans of the job records."""

QueryRunning = Callable[[str, VmRecord], Awaitable[int | None]]
"""Returns how many requests a daemon runs at a VM, or None without an answer.

The query also tells the daemon to send no new work to the VM."""


@dataclass(frozen=True, slots=True)
class DrainCheck:
    """Result of one verification; ``waiting_for`` names unconfirmed daemons."""

    status: DrainStatus
    running: int = 0
    waiting_for: tuple[str, ...] = ()


class TaskCounts(ABC):
    """Counts the tasks that run, or may run, at workers."""

    @abstractmethod
    async def running_tasks(self) -> dict[str, int]:
        """Return the number of tasks by VM; VMs without tasks may be absent."""


class _JobHead(msgspec.Struct):
    """The fields of a job record that say whether and where it runs."""

    worker: str
    state: JobState


class _JobRecord(msgspec.Struct):
    data: _JobHead


_JOB_DECODER = msgspec.json.Decoder(_JobRecord)
"""Skips all other fields for speed, as thousands of records are read at a time."""


class JobTaskCounts(TaskCounts):
    """Counts tasks by the job records; a checkpointed task has no worker any more."""

    def __init__(self, store: Store) -> None:
        self._store = store

    async def running_tasks(self) -> dict[str, int]:
        """Return the number of tasks by VM."""
        page = await scan_all(self._store, layout.JOBS)
        try:
            heads = [_JOB_DECODER.decode(entry.value).data for entry in page.entries]
        except msgspec.MsgspecError as error:
            # A task that cannot be read may run at any worker.
            raise RecordError(f"{layout.JOBS}: {error}") from error
        return dict(
            Counter(
                head.worker
                for head in heads
                if head.worker and head.state not in FINAL_STATES
            )
        )


@dataclass(eq=False)
class _Drain:
    """Verification state of one drain, that is, one epoch of a VM's record."""

    epoch: int
    confirmed: set[str] = field(default_factory=set)
    running_by_daemon: dict[str, int] = field(default_factory=dict)
    queried_at_by_daemon: dict[str, timedelta] = field(default_factory=dict)
    all_confirmed_at: timedelta | None = None


class DrainVerifier:
    """Queries every daemon for requests running at a draining VM.

    The answers are kept in memory only: a controller that takes over queries again.
    """

    def __init__(
        self,
        clock: Clock,
        state: FleetState,
        query_running: QueryRunning,
        tasks: TaskCounts,
    ) -> None:
        self._clock = clock
        self._state = state
        self._query_running = query_running
        self._tasks = tasks
        self._drains_by_vm: dict[str, _Drain] = {}
        self._task_counts: dict[str, int] = {}
        self._counted_at: timedelta | None = None

    async def task_counts(self) -> dict[str, int]:
        """Return the running tasks by VM, scanned at most once per SCAN_INTERVAL."""
        now = self._clock.monotonic()
        if self._counted_at is None or now - self._counted_at >= SCAN_INTERVAL:
            self._task_counts = await self._tasks.running_tasks()
            self._counted_at = now
        return self._task_counts

    async def check(self, record: VmRecord, tasks: dict[str, int]) -> DrainCheck:
        """Return whether requests or tasks still run at a draining VM."""
        drain = self._drain_of(record)
        daemons = {*record.asked, *self._state.daemons_by_incarnation}
        async with anyio.create_task_group() as group:
            for daemon in sorted(daemons - drain.confirmed):
                if self._query_due(drain, daemon):
                    group.start_soon(self._query_daemon, drain, daemon, record)
        running = sum(drain.running_by_daemon.values())
        if running:
            return DrainCheck(DrainStatus.REQUESTS_RUNNING, running)
        silent = tuple(sorted(daemons - drain.confirmed))
        blocking = tuple(name for name in silent if self._blocks(record, name))
        if blocking:
            return DrainCheck(DrainStatus.DAEMONS_SILENT, 0, blocking)
        if record.role is VmRole.WORKER:
            count = tasks.get(record.name, 0)
            if not self._settled(drain) or count:
                return DrainCheck(DrainStatus.TASKS_RUNNING, count)
        status = DrainStatus.TIMED_OUT_SILENT if silent else DrainStatus.CLEAR
        return DrainCheck(status, 0, silent)

    def forget(self, name: str) -> None:
        """Discard the verification state of a VM whose drain has ended."""
        self._drains_by_vm.pop(name, None)

    def _drain_of(self, record: VmRecord) -> _Drain:
        drain = self._drains_by_vm.get(record.name)
        if drain is None or drain.epoch != record.epoch:
            drain = self._drains_by_vm[record.name] = _Drain(record.epoch)
        return drain

    def _blocks(self, record: VmRecord, daemon: str) -> bool:
        """Tell whether a daemon that does not answer may have requests running.

        A daemon that is confirmed gone starts no more requests; those that it sent
        before end within the request timeout.
        """
        until = record.verify_by
        if record.since is not None and self._is_gone(daemon):
            until = record.since + self._state.config.longest_request_timeout()
        return until is not None and self._clock.now() < until

    def _is_gone(self, incarnation: str) -> bool:
        """Tell whether an incarnation is confirmed gone, not merely silent for long."""
        name = incarnation.rpartition(".")[0]
        vm = self._state.vm_list.vms_by_name.get(name)
        if vm is not None and vm.state is VmListState.GONE:
            return True
        registered = self._state.daemons_by_incarnation
        return any(r.vm == name and i != incarnation for i, r in registered.items())

    def _query_due(self, drain: _Drain, daemon: str) -> bool:
        asked_at = drain.queried_at_by_daemon.get(daemon)
        return asked_at is None or self._clock.monotonic() - asked_at >= QUERY_INTERVAL

    async def _query_daemon(self, drain: _Drain, daemon: str, record: VmRecord) -> None:
        drain.queried_at_by_daemon[daemon] = self._clock.monotonic()
        running = await self._query_running(daemon, record)
        if running == 0:
            drain.running_by_daemon.pop(daemon, None)
            drain.confirmed.add(daemon)
        elif running is not None:
            drain.running_by_daemon[daemon] = running

    def _settled(self, drain: _Drain) -> bool:
        if drain.all_confirmed_at is None:
            drain.all_confirmed_at = self._clock.monotonic()
        counted_at = self._counted_at
        return (
            counted_at is not None
            and counted_at - drain.all_confirmed_at >= SETTLE_TIME
        )
