"""Eviction of tasks from workers that are being drained or removed."""

from __future__ import annotations

from datetime import timedelta

from ..clock import Clock
from ..fleet_state import FleetState
from ..vm_platform.directory import Vm
from ..workers.connections import WorkerConnections, WorkerState
from ..workers.tasks import TaskAction
from .table import JobTable

DEFAULT_DRAIN_TIMEOUT = timedelta(seconds=60)
CHECK_INTERVAL = timedelta(seconds=1)
SIGNAL_RETRY_INTERVAL = timedelta(seconds=10)


class WorkerDrain:
    """Lets tasks finish until the drain timeout, then evicts them where possible.

    Checkpointable tasks are checkpointed and idempotent ones stopped; both are
    placed on other workers. All other tasks run to completion.
    """

    def __init__(
        self, clock: Clock, state: FleetState, table: JobTable, links: WorkerConnections
    ) -> None:
        self._clock = clock
        self._state = state
        self._table = table
        self._links = links
        self._next_check = timedelta(0)
        self._draining_since: dict[str, timedelta] = {}
        self._signalled_at: dict[str, timedelta] = {}

    def check(self, now: timedelta) -> None:
        """Signal the tasks of workers whose drain timeout has passed."""
        if now < self._next_check:
            return
        self._next_check = now + CHECK_INTERVAL
        vms = self._state.vm_list.vms_by_name
        for name, worker_state in self._links.by_name.items():
            vm = vms.get(name)
            if (
                vm is None
                or self._state.is_in_service(vm)
                or not worker_state.tasks_by_id
            ):
                self._draining_since.pop(name, None)
                continue
            since = self._draining_since.setdefault(name, now)
            if now >= since + self._timeout(vm):
                self._move_tasks(worker_state, now)
        resend_before = now - SIGNAL_RETRY_INTERVAL
        self._signalled_at = {
            t: at for t, at in self._signalled_at.items() if at > resend_before
        }

    def _timeout(self, vm: Vm) -> timedelta:
        pool = self._state.pool_of(vm)
        services = self._state.config.services_by_name.values()
        timeouts = [s.drain_timeout for s in services if s.pool == pool]
        return max(timeouts, default=DEFAULT_DRAIN_TIMEOUT)

    def _move_tasks(self, worker_state: WorkerState, now: timedelta) -> None:
        for task_id, assigned_task in worker_state.tasks_by_id.items():
            job = self._table.get(assigned_task.job_key)
            if (
                job is None
                or not assigned_task.confirmed
                or task_id in self._signalled_at
            ):
                continue
            action = TaskAction.STOP
            if job.request.checkpointable:
                action = TaskAction.CHECKPOINT
            elif not job.request.idempotent:
                continue
            self._signalled_at[task_id] = now
            self._links.signal(worker_state, task_id, action)
