"""Workers that accept tasks, from VM list, VM records, reachability and health."""

from __future__ import annotations

from datetime import timedelta

import logbook

from ..clock import Clock
from ..fleet_state import FleetState
from ..vm_platform.directory import Vm, VmListState, VmRole
from ..workers.connections import RECOVERY_WAIT, WorkerConnections
from .capacity import CapacityIndex, Demand, Worker
from .job import JobReason
from .quarantine import Quarantine, WorkerHealth

UNSTATED_MEMORY_BYTES = 2**62
"""Memory assumed for a worker if the platform's VM list does not state it."""
UPDATE_INTERVAL = timedelta(seconds=0.5)

log = logbook.Logger("pomeloyard.jobs.scheduler")


class WorkerRoster:
    """Updates the capacity index and the worker connections from the fleet state."""

    def __init__(
        self,
        clock: Clock,
        state: FleetState,
        index: CapacityIndex,
        links: WorkerConnections,
        quarantine: Quarantine,
    ) -> None:
        self._state = state
        self._index = index
        self._links = links
        self._quarantine = quarantine
        self._started_at = clock.monotonic()
        self._next_update = timedelta(0)
        self._recovered = False
        self._descriptions: dict[str, tuple[object, ...]] = {}

    def update(self, now: timedelta) -> bool:
        """Apply changes of the fleet and of health; return whether there were any."""
        for change in self._quarantine.start_due_trials(now):
            log.info("worker {}: {}", change.worker, change.reason.value)
        due = now >= self._next_update or self._links.health_changed
        if not due or self._state.vm_list.version == 0:
            return False
        self._links.health_changed = False
        self._next_update = now + UPDATE_INTERVAL
        vms = self._state.vm_list.vms_by_name
        removed = [name for name in self._links.by_name if not _is_listed(vms, name)]
        for name in removed:
            self._remove_worker(name)
        changed = bool(removed)
        for vm in vms.values():
            if vm.role is VmRole.WORKER and vm.state is not VmListState.GONE:
                changed = self._update_worker(vm) or changed
        return changed

    def recovered(self, now: timedelta) -> bool:
        """Tell whether each worker has answered or all earlier leases have expired."""
        if not self._recovered and self._state.vm_list.version:
            waited = now >= self._started_at + RECOVERY_WAIT
            worker_states = self._links.by_name.values()
            self._recovered = waited or all(
                worker_state.answered for worker_state in worker_states
            )
        return self._recovered

    def refine_reason(self, reason: JobReason) -> JobReason:
        """Return a more specific reason for a lack of capacity, if there is one."""
        if reason not in (JobReason.NO_ROOM, JobReason.SHARE_USED):
            return reason
        workers = self._index.workers_by_name
        if all(
            self._quarantine.health(name) is WorkerHealth.QUARANTINED
            for name, worker in workers.items()
            if worker.free_cores > 0
        ) and any(worker.free_cores > 0 for worker in workers.values()):
            return JobReason.QUARANTINE
        if any(
            worker.free_cores > 0 and self._is_evacuated(name)
            for name, worker in workers.items()
        ):
            return JobReason.ZONE_EVACUATED
        return reason

    def _is_evacuated(self, name: str) -> bool:
        vm = self._state.vm_list.vms_by_name.get(name)
        return vm is not None and self._state.is_evacuated(vm)

    def _update_worker(self, vm: Vm) -> bool:
        known = self._links.by_name.get(vm.name)
        if known is not None and known.boot_id != vm.boot_id:
            self._quarantine.forget(vm.name)
        worker_state = self._links.add_or_update(vm.name, vm.address, vm.boot_id)
        health = self._quarantine.health(vm.name)
        accepts = (
            self._state.accepts_work(vm)
            and worker_state.reachable
            and health is not WorkerHealth.QUARANTINED
        )
        max_tasks = 1 if health is WorkerHealth.ON_TRIAL else None
        pool = self._state.pool_of(vm)
        description = (vm, accepts, max_tasks, pool)
        if self._descriptions.get(vm.name) == description:
            return False
        self._descriptions[vm.name] = description
        self._index.put(
            Worker(
                name=vm.name,
                pool=pool,
                availability_zone=vm.availability_zone,
                rack=vm.rack,
                capacity=Demand(
                    float(vm.cores),
                    vm.memory_bytes or UNSTATED_MEMORY_BYTES,
                    vm.accelerators,
                ),
                accepts_work=accepts,
                max_tasks=max_tasks,
            )
        )
        return True

    def _remove_worker(self, name: str) -> None:
        self._links.remove(name)
        self._quarantine.forget(name)
        if self._descriptions.pop(name, None) is not None:
            self._index.remove(name)


def _is_listed(vms: dict[str, Vm], name: str) -> bool:
    vm = vms.get(name)
    return vm is not None and vm.state is not VmListState.GONE
