"""The list of VMs as a term reads it, and what it says of lost executors."""

from __future__ import annotations

from collections.abc import Mapping
from datetime import timedelta

import logbook

from ..clock import Clock
from .decisions import DecisionLines
from .link import ExecutorLink
from .vms import PoolVm, VmService, VmState

LIST_INTERVAL = timedelta(milliseconds=500)
"""Between lists; one costs as much as any read, and tells of VMs that went down."""
SILENCE_BEFORE_LISTS = timedelta(seconds=1)
"""How long an executor must be silent before a list without it says that it is gone;
the list lags behind by less than that."""
SILENCE_WHEN_DOWN = timedelta(seconds=0.3)
"""The same when its VM is listed as down."""
LISTS_TO_CONFIRM = 2
"""One list may be older than the executor."""
ABSENCE_BEFORE_GONE = timedelta(seconds=3)
"""A VM of a wave that no list shows for this long is gone."""

log = logbook.Logger("pomeloyard.batch.vm_listing")


class VmListing:
    """The last list of VMs, and what the lists before said."""

    def __init__(
        self,
        clock: Clock,
        service: VmService,
        lines: DecisionLines,
        links_by_id: Mapping[str, ExecutorLink],
    ) -> None:
        self._clock = clock
        self._service = service
        self._lines = lines
        self._links_by_id = links_by_id
        self.vms_by_name: dict[str, PoolVm] = {}
        self.listed_at: timedelta | None = None
        self._first_listed_at = timedelta(0)
        self._missing_lists: dict[str, int] = {}
        self._last_executor_by_vm: dict[str, str] = {}
        self._last_listed_at: dict[str, timedelta] = {}

    def is_due(self, now: timedelta) -> bool:
        """Tell whether the list should be read again."""
        return self.listed_at is None or now - self.listed_at >= LIST_INTERVAL

    def link_of(self, vm: PoolVm | None) -> ExecutorLink | None:
        """Return the link of a VM's present executor."""
        return self._links_by_id.get(vm.executor_id) if vm is not None else None

    async def read(self) -> timedelta:
        """Read the list; return when it was asked for."""
        asked_at = self._clock.monotonic()
        vms = await self._service.list()
        if self.listed_at is None:
            self._first_listed_at = asked_at
            pools: dict[str, int] = {}
            for vm in vms:
                place = f"{vm.pool}/{vm.state.value}"
                pools[place] = pools.get(place, 0) + 1
            log.info("VMs by pool and state: {}", pools)
        self.vms_by_name = {vm.name: vm for vm in vms}
        self.listed_at = asked_at
        for vm in vms:
            self._last_listed_at[vm.name] = asked_at
            if vm.executor_id:
                self._last_executor_by_vm[vm.name] = vm.executor_id
        self._confirm_gone(asked_at)
        return asked_at

    def is_gone(self, name: str) -> bool:
        """Tell whether a VM has been missing from the lists for long."""
        if name in self.vms_by_name or self.listed_at is None:
            return False
        last = self._last_listed_at.get(name, self._first_listed_at)
        return self.listed_at - last >= ABSENCE_BEFORE_GONE

    def _confirm_gone(self, asked_at: timedelta) -> None:
        """End the runs of silent executors that the platform says are gone."""
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
            silent_since = link.silent_since
            silence = SILENCE_WHEN_DOWN if executor_id in down else SILENCE_BEFORE_LISTS
            settled = silent_since is not None and asked_at >= silent_since + silence
            if not settled or executor_id in alive or not link.runs_by_name:
                self._missing_lists.pop(executor_id, None)
                continue
            missing = self._missing_lists.get(executor_id, 0) + 1
            self._missing_lists[executor_id] = missing
            if missing >= LISTS_TO_CONFIRM:
                self._lines.decided("executor", executor_id, "gone", lists=missing)
                link.lose_all("the platform lists no such executor")
