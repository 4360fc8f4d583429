"""Moves VMs between pools according to their load."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Collection, Coroutine, Sequence
from datetime import timedelta
from typing import Any, Protocol

import msgspec

from .decision_log import JobDecisionLog
from .demand import PoolDemand
from .evacuations import ZoneGate
from .executor_link import ExecutorLink
from .fenced_records import FencedRecords
from .model import Configuration
from .peaks import NO_ARRIVALS
from .policy import Policy
from .pool_scaling import DrainableVm, IdleVm, LongRunningLoad, Move, PoolLoad
from .usage import Usage
from .vm_listing import VmListing
from .vm_orders import VmOrders
from .vms import PoolVm, VmAnswer, VmService, VmState

MAX_DRAIN_TIME = timedelta(seconds=3)
"""A VM that is not empty by then stays in its pool; most tasks are shorter."""
DISCOVERY_TIME = timedelta(milliseconds=250)
"""Time between the end of a move and the first poll of the new executor."""
LOAD_LOG_INTERVAL = timedelta(seconds=1)
"""Interval between the log lines with the load of each pool."""
POOL_SIZES = "b/pool-sizes"
"""Key of the record with the size of each pool when the first term began."""


class PoolTerm(Protocol):
    """The parts of a placing term that moves use."""

    links_by_id: dict[str, ExecutorLink]
    demand: PoolDemand
    policy: Policy
    usage: Usage

    def unsaved_short_work(self, link: ExecutorLink) -> float:
        """Return the unsaved work of short tasks on an executor, in core-seconds."""
        ...

    def spawn(
        self,
        link: ExecutorLink | None,
        work: Callable[..., Coroutine[Any, Any, None]],
        *args: object,
    ) -> None:
        """Run a coroutine function in the background of the term."""
        ...


class VmMover:
    """Moves VMs to pools with a backlog and returns idle VMs to standby."""

    def __init__(
        self,
        records: FencedRecords,
        service: VmService,
        decision_log: JobDecisionLog,
        term: PoolTerm,
        listing: VmListing,
        orders: VmOrders,
        zone_gate: ZoneGate,
        holder: str,
        epoch: int,
        move_time: timedelta,
    ) -> None:
        self._records = records
        self._service = service
        self._decision_log = decision_log
        self._term = term
        self._listing = listing
        self._orders = orders
        self._zone_gate = zone_gate
        self._holder = holder
        self._epoch = epoch
        self._move_time = move_time
        self._standby_pool = ""
        self._initial_vms_by_pool: dict[str, int] = {}
        self._idle_since: dict[str, timedelta] = {}
        self._logged_at: timedelta | None = None
        self._draining_for: dict[str, tuple[str, timedelta]] = {}
        """Target pool of each busy VM that is being drained, and since when, by VM."""

    def move(
        self,
        configuration: Configuration,
        waiting: dict[str, float],
        due: Collection[str],
        now: timedelta,
    ) -> None:
        """Begin the moves that the present loads justify.

        VMs in ``due`` are awaiting maintenance and stay.
        """
        standby = next(
            (
                pool.name
                for pool in configuration.pools_by_name.values()
                if pool.standby
            ),
            None,
        )
        if standby is None:
            return
        self._standby_pool = standby
        spares = []
        busy = []
        for vm in self._listing.vms_by_name.values():
            if not self._orders.may_order(vm.name) or vm.name in due:
                continue
            if vm.state is not VmState.UP:
                continue
            spare = self._spare_vm(vm, vm.pool == standby, now)
            if spare is not None:
                spares.append(spare)
            elif vm.name not in self._draining_for:
                busy.extend(self._busy_vms(vm))
        loads = self._pool_loads(configuration, waiting, standby)
        self._log_loads(loads, now)
        self._drain_busy_vms(loads, spares, busy, now)
        spares = [spare for spare in spares if spare.vm not in self._draining_for]
        for move in self._term.policy.choose_moves(loads, spares, standby):
            self._begin_move(self._listing.vms_by_name[move.vm], move)

    def _busy_vms(self, vm: PoolVm) -> list[DrainableVm]:
        """Return the VM as a candidate for draining, if it runs short tasks only."""
        link = self._term.links_by_id.get(vm.executor_id)
        if link is None or not link.usable:
            return []
        if any(run.task.step.spec.lasting for run in link.runs_by_name.values()):
            return []
        return [DrainableVm(vm.name, vm.pool, self._term.unsaved_short_work(link))]

    def _drain_busy_vms(
        self,
        loads: Sequence[PoolLoad],
        spares: Sequence[IdleVm],
        busy: Sequence[DrainableVm],
        now: timedelta,
    ) -> None:
        """Drain busy VMs for pools with more urgent work, and move them once empty."""
        standby_remaining = sum(spare.on_standby for spare in spares)
        urgent = {load.name for load in loads if load.urgent_core_seconds > 0}
        for name, (pool, since) in list(self._draining_for.items()):
            vm = self._listing.vms_by_name.get(name)
            link = self._term.links_by_id.get(vm.executor_id) if vm else None
            if vm is not None and link is not None and not link.runs_by_name:
                del self._draining_for[name]
                link.cordoned_for_move = False
                self._begin_move(vm, Move(name, pool))
            elif link is None or pool not in urgent or now > since + MAX_DRAIN_TIME:
                del self._draining_for[name]
                if link is not None:
                    link.cordoned_for_move = False
        if standby_remaining:
            # VMs on standby are available sooner and take no capacity from a pool.
            return
        draining_by_target = Counter(pool for pool, _ in self._draining_for.values())
        draining_by_origin = Counter(
            self._listing.vms_by_name[name].pool for name in self._draining_for
        )
        for move in self._term.policy.choose_to_drain(
            loads, busy, draining_by_target, draining_by_origin
        ):
            vm = self._listing.vms_by_name[move.vm]
            self._draining_for[move.vm] = (move.pool, now)
            self._term.links_by_id[vm.executor_id].cordoned_for_move = True
            self._decision_log.record(
                "move", move.vm, "emptied", origin=vm.pool, target=move.pool
            )

    def _spare_vm(self, vm: PoolVm, on_standby: bool, now: timedelta) -> IdleVm | None:
        evacuated = self._zone_gate.is_evacuated(vm.availability_zone)
        if on_standby:
            standby_vm = IdleVm(vm.name, vm.pool, True, timedelta(0))
            return None if evacuated else standby_vm
        link = self._term.links_by_id.get(vm.executor_id)
        if link is None or not link.operational or link.runs_by_name:
            self._idle_since.pop(vm.name, None)
            return None
        since = self._idle_since.setdefault(vm.name, now)
        return IdleVm(vm.name, vm.pool, False, now - since, evacuated)

    def _pool_loads(
        self, configuration: Configuration, waiting: dict[str, float], standby: str
    ) -> list[PoolLoad]:
        loads = []
        demand = self._term.demand
        urgent_loads = demand.urgent_backlog()
        lasting_loads = demand.long_running()
        for name in configuration.pools_by_name:
            if name == standby:
                continue
            links = [
                link
                for link in self._term.links_by_id.values()
                if link.executor.service == name
                and (link.usable or link.cordoned_for_move)
            ]
            cores = sum(link.executor.capacity.cpu_millis for link in links) / 1000
            vm_cores = cores / len(links) if links else 1.0
            arriving = sum(
                operation.kind == "move" and operation.target == name
                for operation in self._orders.by_vm.values()
            )
            present = sum(
                vm.pool == name
                and vm.state is not VmState.DOWN
                and vm.name not in self._orders.by_vm
                and not self._zone_gate.is_evacuated(vm.availability_zone)
                for vm in self._listing.vms_by_name.values()
            )
            lasting = lasting_loads.get(name, LongRunningLoad())
            evacuated = self._evacuated_load(name)
            rate = demand.arrival_rate(name)
            loads.append(
                PoolLoad(
                    name,
                    waiting.get(name, 0.0),
                    vm_cores,
                    present + arriving,
                    arriving,
                    self._initial_vms_by_pool.get(name, 0),
                    long_running_vms=max(0, lasting.vms - evacuated.vms),
                    peak=demand.next_peak(name),
                    urgent_core_seconds=urgent_loads.get(name, 0.0),
                    rate=rate or NO_ARRIVALS,
                    move_lead_time=self._move_time + DISCOVERY_TIME,
                    busy_short_task_cores=self._busy_cores(name) - lasting.cores,
                    short_task_cores=cores - (lasting.cores - evacuated.cores),
                    demand_known=rate is not None or name in lasting_loads,
                )
            )
        return loads

    def _evacuated_load(self, pool: str) -> LongRunningLoad:
        """Return what the long-running tasks of a pool hold in evacuated zones.

        These VMs are not counted as present, and need not be replaced while the tasks
        run there.
        """
        runs_by_vm = [
            [run for run in link.runs_by_name.values() if run.task.step.spec.lasting]
            for link in self._term.links_by_id.values()
            if link.zone_evacuated and link.executor.service == pool
        ]
        millis = sum(
            run.task.step.spec.executor_usage.cpu_millis
            for runs in runs_by_vm
            for run in runs
        )
        return LongRunningLoad(sum(map(bool, runs_by_vm)), millis / 1000)

    def _log_loads(self, loads: Sequence[PoolLoad], now: timedelta) -> None:
        if self._logged_at is not None and now < self._logged_at + LOAD_LOG_INTERVAL:
            return
        self._logged_at = now
        for load in loads:
            self._decision_log.record(
                "pool",
                load.name,
                "load",
                vms=load.vms,
                arriving=load.incoming_vms,
                floor=load.min_vms,
                lasting=load.long_running_vms,
                vm_cores=round(load.vm_cores, 1),
                busy_cores=round(self._busy_cores(load.name), 1),
                waiting=round(load.waiting_core_seconds, 1),
                urgent=round(load.urgent_core_seconds, 1),
                rate=round(load.rate.cores, 1),
                peak_in=round(load.peak.starts_in.total_seconds(), 1)
                if load.peak
                else "",
            )

    def _busy_cores(self, pool: str) -> float:
        """Return the cores allocated to all tasks of a pool."""
        usage = self._term.usage
        links = self._term.links_by_id.values()
        executors = [link.executor for link in links if link.executor.service == pool]
        busy_millis = sum(
            executor.capacity.cpu_millis
            - usage.free_cpu(executor.executor_id, executor.capacity)
            for executor in executors
        )
        return busy_millis / 1000

    async def load(self) -> bool:
        """Load the initial size of each pool, or store it in the first term.

        Returns False if the epoch was replaced.
        """
        entry = await self._records.read(POOL_SIZES)
        if entry is not None:
            sizes = msgspec.msgpack.decode(entry.value, type=dict[str, int])
            self._initial_vms_by_pool = sizes
            return True
        for vm in self._listing.vms_by_name.values():
            before = self._initial_vms_by_pool.get(vm.pool, 0)
            self._initial_vms_by_pool[vm.pool] = before + 1
        content = msgspec.msgpack.encode(self._initial_vms_by_pool)
        return await self._records.write(POOL_SIZES, content)

    def _begin_move(self, vm: PoolVm, move: Move) -> None:
        if not self._orders.may_order(vm.name) or vm.state is not VmState.UP:
            return
        if vm.pool == move.pool:
            # The service would answer DONE without having ended anything on the VM.
            return
        if not self._may_move(vm, move):
            return
        self._orders.begin(vm, "move", move.pool, self._move_time)
        self._idle_since.pop(vm.name, None)
        self._term.spawn(None, self._order_move, vm, move)

    def _may_move(self, vm: PoolVm, move: Move) -> bool:
        """Tell whether a VM may join a pool; one in an evacuated zone only leaves."""
        into_use = move.pool != self._standby_pool
        return not into_use or self._zone_gate.may_start_in(vm.availability_zone)

    async def _order_move(self, vm: PoolVm, move: Move) -> None:
        self._decision_log.record(
            "move", vm.name, "ordered", origin=vm.pool, target=move.pool
        )
        answer = await self._orders.send_until_answered(
            vm,
            lambda: self._service.move(vm.name, move.pool, self._holder, self._epoch),
            lambda: self._may_move(vm, move),
        )
        if answer is None:
            return
        if answer is VmAnswer.DONE:
            self._orders.mark_done(vm)
            self._orders.end_runs(vm, "moved")
        else:
            self._decision_log.record("move", vm.name, answer.value, target=move.pool)
            self._orders.abandon(vm)
