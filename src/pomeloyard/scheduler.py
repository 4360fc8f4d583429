"""The scheduler role: places jobs on workers and follows their tasks."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import replace
from datetime import timedelta

import logbook

from .clock import Clock
from .errors import StoreError
from .fleet_state import FleetState
from .jobs import FINAL_STATES, Job, JobState, JobStore
from .outcomes import Done
from .platform.directory import Vm, VmRole
from .platform.records import ConflictError, Versioned
from .workers.client import WorkerClient
from .workers.tasks import TaskReport, TaskStart, TaskState

TICK = timedelta(seconds=0.25)
TASK_LEASE = timedelta(seconds=10)

log = logbook.Logger("pomeloyard.scheduler")


class Scheduler:
    """Places jobs while this daemon holds the scheduler role."""

    def __init__(
        self, clock: Clock, state: FleetState, jobs: JobStore, workers: WorkerClient
    ) -> None:
        self._clock = clock
        self._state = state
        self._jobs = jobs
        self._workers = workers

    async def run(self, epoch: int) -> None:
        """Place and follow jobs until the role is lost."""
        while True:
            try:
                await self._step(epoch)
            except (StoreError, ConflictError) as error:
                log.warning("scheduling step failed: {}", error)
            await self._clock.sleep(TICK)

    async def _step(self, epoch: int) -> None:
        records = [
            r for r in await self._jobs.all() if r.value.state not in FINAL_STATES
        ]
        by_worker: dict[str, list[Versioned[Job]]] = defaultdict(list)
        for record in records:
            if record.value.worker:
                by_worker[record.value.worker].append(record)
        for worker, assigned in by_worker.items():
            await self._follow(epoch, worker, assigned)
        for record in records:
            if record.value.state is JobState.QUEUED:
                await self._place(epoch, record, by_worker)

    async def _follow(
        self, epoch: int, worker: str, assigned: list[Versioned[Job]]
    ) -> None:
        vm = self._state.vm_list.vms_by_name.get(worker)
        if vm is None:
            return
        task_ids = [record.value.task_id for record in assigned]
        outcome = await self._workers.renew(
            vm.address, epoch, TASK_LEASE.total_seconds(), task_ids
        )
        if not isinstance(outcome, Done):
            return
        reports = {report.task_id: report for report in outcome.value}
        for record in assigned:
            report = reports.get(record.value.task_id)
            if report is not None and report.state is not TaskState.RUNNING:
                await self._finish(epoch, vm, record, report)

    async def _finish(
        self, epoch: int, vm: Vm, record: Versioned[Job], report: TaskReport
    ) -> None:
        succeeded = report.state is TaskState.SUCCEEDED
        state = JobState.SUCCEEDED if succeeded else JobState.FAILED
        await self._jobs.update(record, replace(record.value, state=state))
        await self._workers.acknowledge(vm.address, epoch, [report.task_id])

    async def _place(
        self, epoch: int, record: Versioned[Job], by_worker: dict[str, list]
    ) -> None:
        job = record.value
        for vm in self._workers_with_room(job, by_worker):
            task_id = f"{job.job_id}.{job.attempt + 1}"
            assigned = replace(
                job,
                state=JobState.ASSIGNED,
                worker=vm.name,
                task_id=task_id,
                attempt=job.attempt + 1,
                fence=epoch,
            )
            await self._jobs.update(record, assigned)
            log.info("job {} placed on {}", job.job_id, vm.name)
            start = TaskStart(
                task_id=task_id,
                job_id=job.job_id,
                team=job.team,
                fence=epoch,
                lease_seconds=TASK_LEASE.total_seconds(),
                cores=job.request.cores,
                memory_bytes=job.request.memory_bytes,
                command=job.request.command,
            )
            await self._workers.start_task(vm.address, start)
            return

    def _workers_with_room(
        self, job: Job, by_worker: dict[str, list[Versioned[Job]]]
    ) -> list[Vm]:
        fitting = []
        for vm in self._state.vm_list.vms_by_name.values():
            if vm.role is not VmRole.WORKER or not self._state.accepts_work(vm):
                continue
            used = sum(r.value.request.cores for r in by_worker.get(vm.name, ()))
            if used + job.request.cores <= vm.cores:
                fitting.append((used, vm.name, vm))
        return [vm for _, _, vm in sorted(fitting, key=lambda item: item[:2])]
