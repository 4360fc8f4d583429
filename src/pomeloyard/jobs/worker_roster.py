"""Which workers may be given tasks: list, records, reachability and health."""

from __future__ import annotations

from datetime import timedelta

import logbook

from ..clock import Clock
from ..fleet_state import FleetState
from ..vm_platform.directory import Vm, VmListState, VmRole
from ..workers.links import RECOVERY_WAIT, WorkerLinks
from .capacity import CapacityIndex, Demand, Worker
from .job import JobReason
from .quarantine import Quarantine, WorkerHealth

UNSTATED_MEMORY_BYTES = 2**62
"""Memory of a worker whose memory the platform's list does not state."""
UPDATE_INTERVAL = timedelta(seconds=0.5)

log = logbook.Logger("pomeloyard.jobs.scheduler")


class WorkerRoster:
    """Keeps the capacity index and the links in step with the fleet."""

    def __init__(
        self,
        clock: Clock,
        state: FleetState,
        index: CapacityIndex,
        links: WorkerLinks,
        quarantine: Quarantine,
    ) -> None:
        self._state = state
        self._index = index
        self._links = links
        self._quarantine = quarantine
        self._began = clock.monotonic()
        self._next = timedelta(0)
        self._recovered = False
        self._described: dict[str, tuple[object, ...]] = {}

    def update(self, now: timedelta) -> bool:
        """Take over changes of the fleet and of health; tell whether any."""
        for change in self._quarantine.due_trials(now):
            log.info("worker {}: {}", change.worker, change.reason.value)
        due = now >= self._next or self._links.health_changed
        if not due or self._state.vm_list.version == 0:
            return False
        self._links.health_changed = False
        self._next = now + UPDATE_INTERVAL
        vms = self._state.vm_list.vms_by_name
        gone = [name for name in self._links.by_name if not _present(vms, name)]
        for name in gone:
            self._forget(name)
        changed = bool(gone)
        for vm in vms.values():
            if vm.role is VmRole.WORKER and vm.state is not VmListState.GONE:
                changed = self._describe(vm) or changed
        return changed

    def recovered(self, now: timedelta) -> bool:
        """Tell whether every worker has answered or its leases have ended."""
        if not self._recovered and self._state.vm_list.version:
            waited = now >= self._began + RECOVERY_WAIT
            links = self._links.by_name.values()
            self._recovered = waited or all(link.answered for link in links)
        return self._recovered

    def refine(self, reason: JobReason) -> JobReason:
        """Name the cause of missing room more precisely."""
        if reason not in (JobReason.NO_ROOM, JobReason.SHARE_USED):
            return reason
        workers = self._index.workers_by_name
        if all(
            self._quarantine.health(name) is WorkerHealth.SET_ASIDE
            for name, worker in workers.items()
            if worker.free_cores > 0
        ) and any(worker.free_cores > 0 for worker in workers.values()):
            return JobReason.QUARANTINE
        return reason

    def _describe(self, vm: Vm) -> bool:
        known = self._links.by_name.get(vm.name)
        if known is not None and known.boot_id != vm.boot_id:
            self._quarantine.forget(vm.name)
        link = self._links.put(vm.name, vm.address, vm.boot_id)
        health = self._quarantine.health(vm.name)
        accepts = (
            self._state.accepts_work(vm)
            and link.reachable
            and health is not WorkerHealth.SET_ASIDE
        )
        max_tasks = 1 if health is WorkerHealth.ON_TRIAL else None
        pool = self._state.pool_of(vm)
        described = (vm, accepts, max_tasks, pool)
        if self._described.get(vm.name) == described:
            return False
        self._described[vm.name] = described
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

    def _forget(self, name: str) -> None:
        self._links.remove(name)
        self._quarantine.forget(name)
        if self._described.pop(name, None) is not None:
            self._index.remove(name)


def _present(vms: dict[str, Vm], name: str) -> bool:
    vm = vms.get(name)
    return vm is not None and vm.state is not VmListState.GONE
