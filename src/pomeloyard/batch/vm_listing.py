"""The platform's list of VMs, and the detection of executors that are gone."""

from __future__ import annotations

from collections.abc import Mapping
from datetime import timedelta

import logbook

from ..clock import Clock
from .decision_log import JobDecisionLog
from .executor_link import ExecutorLink
from .placed_run import LossCause
from .recent_orders import RecentOrders
from .vms import PoolVm, VmService, VmState

LIST_INTERVAL = timedelta(milliseconds=500)
"""Interval between reads of the list, which shows VMs that went down; one costs as much
as any other read."""
MIN_SILENCE = timedelta(seconds=1)
"""An executor must have been unreachable this long before its absence from a list
counts; the list lags behind by less than that."""
MIN_SILENCE_WHEN_DOWN = timedelta(seconds=0.3)
"""The same for an executor whose VM is listed as down."""
ABSENCES_TO_CONFIRM = 2
"""Lists without an executor before it counts as gone; one list may be older than the
executor."""
MIN_ABSENCE = timedelta(seconds=3)
"""A VM of a wave that has been missing from the lists this long counts as gone."""

log = logbook.Logger("pomeloyard.batch.vm_listing")


class VmListing:
    """The last list of VMs, and when earlier lists showed each VM."""

    def __init__(
        self,
        clock: Clock,
        service: VmService,
        decision_log: JobDecisionLog,
        links_by_id: Mapping[str, ExecutorLink],
        recent_orders: RecentOrders,
    ) -> None:
        self._clock = clock
        self._service = service
        self._decision_log = decision_log
        self._links_by_id = links_by_id
        self._recent_orders = recent_orders
        self.vms_by_name: dict[str, PoolVm] = {}
        self.listed_at: timedelta | None = None
        self._first_listed_at = timedelta(0)
        self._absences_by_executor: dict[str, int] = {}
        self._last_executor_by_vm: dict[str, str] = {}
        self._last_listed_at_by_vm: dict[str, timedelta] = {}
        self._last_down_at_by_vm: dict[str, timedelta] = {}

    def is_due(self, now: timedelta) -> bool:
        """Tell whether it is time to read the list again."""
        return self.listed_at is None or now - self.listed_at >= LIST_INTERVAL

    def link_of(self, vm: PoolVm | None) -> ExecutorLink | None:
        """Return the link of a VM's current executor."""
        return self._links_by_id.get(vm.executor_id) if vm is not None else None

    def links_on(self, vm: PoolVm) -> list[ExecutorLink]:
        """Return the links of all executors that may run on a VM.

        The list may still name the executor from before an operation, on which nothing
        runs any more; registrations show the next one sooner.
        """
        return [
            link
            for executor_id, link in self._links_by_id.items()
            if executor_id == vm.executor_id or link.executor.vm == vm.name
        ]

    async def read(self) -> timedelta:
        """Read the list; return the time of the request."""
        asked_at = self._clock.monotonic()
        vms = await self._service.list()
        if self.listed_at is None:
            self._first_listed_at = asked_at
            pools: dict[str, int] = {}
            for vm in vms:
                pool_state = f"{vm.pool}/{vm.state.value}"
                pools[pool_state] = pools.get(pool_state, 0) + 1
            log.info("VMs by pool and state: {}", pools)
        self.vms_by_name = {vm.name: vm for vm in vms}
        self.listed_at = asked_at
        for vm in vms:
            self._last_listed_at_by_vm[vm.name] = asked_at
            if vm.state is VmState.DOWN:
                self._last_down_at_by_vm[vm.name] = asked_at
            if vm.executor_id:
                self._last_executor_by_vm[vm.name] = vm.executor_id
        self._end_runs_of_gone_executors(asked_at)
        return asked_at

    def is_gone(self, name: str) -> bool:
        """Tell whether a VM has been missing from the lists for MIN_ABSENCE."""
        if name in self.vms_by_name or self.listed_at is None:
            return False
        last = self._last_listed_at_by_vm.get(name, self._first_listed_at)
        return self.listed_at - last >= MIN_ABSENCE

    def _end_runs_of_gone_executors(self, asked_at: timedelta) -> None:
        """End the runs of unreachable executors that the platform no longer lists."""
        alive = {
            vm.executor_id
            for vm in self.vms_by_name.values()
            if vm.state is VmState.UP and vm.executor_id
        }
        down = {
            self._last_executor_by_vm.get(vm.name, "")
            for vm in self.vms_by_name.values()
            if vm.state is VmState.DOWN
        }
        for executor_id, link in self._links_by_id.items():
            if executor_id in down and link.reachable:
                link.suspect()
            unreachable_since = link.unreachable_since
            silence = MIN_SILENCE_WHEN_DOWN if executor_id in down else MIN_SILENCE
            silent_long_enough = (
                unreachable_since is not None
                and asked_at >= unreachable_since + silence
            )
            if not silent_long_enough or executor_id in alive or not link.runs_by_name:
                self._absences_by_executor.pop(executor_id, None)
                continue
            missing = self._absences_by_executor.get(executor_id, 0) + 1
            self._absences_by_executor[executor_id] = missing
            if missing >= ABSENCES_TO_CONFIRM:
                self._decision_log.record(
                    "executor", executor_id, "gone", lists=missing
                )
                link.mark_all_lost(
                    "the platform lists no such executor", self.loss_cause(link)
                )

    def loss_cause(self, link: ExecutorLink) -> LossCause:
        """Return why an executor that is unreachable is gone.

        A VM that an earlier term has ordered to be moved or maintained has lost its
        executor for that reason, unless this term has talked to the executor since.
        """
        if link.draining:
            return LossCause.LEFT
        lost_at = link.unreachable_since
        name = link.executor.vm
        # A VM is not listed as down while it is moved or maintained.
        if _is_since(self._last_down_at_by_vm.get(name), lost_at):
            return LossCause.CRASHED
        vm = self.vms_by_name.get(name)
        # A list from before the loss may show an operation that preceded the executor.
        operating = (
            vm is not None
            and vm.state in (VmState.MOVING, VmState.IN_MAINTENANCE)
            and _is_since(self.listed_at, lost_at)
        )
        if link.may_end_by_operation or (operating and not link.operation_ordered):
            return LossCause.VM_OPERATION
        if link.incarnation is not None:
            return LossCause.CRASHED
        if not name or self._recent_orders.may_be_ordered_earlier(name):
            return LossCause.UNKNOWN
        return LossCause.CRASHED


def _is_since(at: timedelta | None, lost_at: timedelta | None) -> bool:
    """Tell whether a list was read after contact with an executor was lost."""
    return at is not None and lost_at is not None and at >= lost_at
