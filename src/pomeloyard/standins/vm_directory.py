"""Stand-in for the platform's VM list and VM operations, held in memory."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from datetime import timedelta
from enum import Enum

from ..clock import Clock
from ..errors import StoreRequestError
from ..vm_platform.directory import (
    Vm,
    VmDirectory,
    VmList,
    VmListState,
    VmOperation,
)


class OperationFault(Enum):
    """How operations on a VM fail."""

    REFUSED = "refused"
    STUCK = "stuck"
    """Accepted, but the operation never finishes."""


@dataclass(frozen=True, slots=True)
class DirectoryBehaviour:
    """Delays in seconds, and failures by VM name."""

    list_lag: float = 0.0
    durations: dict[VmOperation, float] = field(default_factory=dict)
    faults: dict[str, OperationFault] = field(default_factory=dict)


class MemoryVmDirectory(VmDirectory):
    """VM list held in memory; operations take effect immediately or after a delay.

    While a reboot or replacement lasts, the VM is listed as leaving or gone.
    """

    def __init__(self, clock: Clock, vms: list[Vm] | None = None) -> None:
        self._clock = clock
        self._vms_by_name = {vm.name: vm for vm in vms or []}
        self._version = 1
        self._history: deque[tuple[timedelta, VmList]] = deque()
        self._applied_operation_ids: set[str] = set()
        self._pending: list[tuple[timedelta, Vm]] = []
        self.behaviour = DirectoryBehaviour()
        self.on_operation: Callable[[str, VmOperation], None] | None = None
        self._record_version()

    async def list_vms(self) -> VmList:
        """Return the list as it was ``list_lag`` ago."""
        self._finish_pending()
        cutoff = self._clock.monotonic() - _seconds(self.behaviour.list_lag)
        while len(self._history) > 1 and self._history[1][0] <= cutoff:
            self._history.popleft()
        return self._history[0][1]

    async def operate(
        self, name: str, operation: VmOperation, *, operation_id: str, pool: str = ""
    ) -> None:
        """Apply an operation once for each ``operation_id``."""
        self._finish_pending()
        if operation_id in self._applied_operation_ids:
            return
        fault = self.behaviour.faults.get(name)
        if name not in self._vms_by_name or fault is OperationFault.REFUSED:
            raise StoreRequestError(f"{operation.value} of {name} is refused")
        self._applied_operation_ids.add(operation_id)
        self._start(self._vms_by_name[name], operation, operation_id, pool, fault)
        if self.on_operation is not None:
            self.on_operation(name, operation)

    def put(self, vm: Vm) -> None:
        """Add or change a VM."""
        self._vms_by_name[vm.name] = vm
        self._version += 1
        self._record_version()

    def remove(self, name: str) -> None:
        """Remove a VM from the list permanently."""
        del self._vms_by_name[name]
        self._version += 1
        self._record_version()

    def _start(
        self,
        vm: Vm,
        operation: VmOperation,
        operation_id: str,
        pool: str,
        fault: OperationFault | None,
    ) -> None:
        after = _after_operation(vm, operation, operation_id, pool)
        duration = _seconds(self.behaviour.durations.get(operation, 0.0))
        if not duration and fault is None:
            self.put(after)
            return
        if operation in (VmOperation.REBOOT, VmOperation.REPLACE):
            gone = operation is VmOperation.REPLACE
            state = VmListState.GONE if gone else VmListState.LEAVING
            self.put(replace(vm, state=state))
        if fault is None:
            self._pending.append((self._clock.monotonic() + duration, after))

    def _finish_pending(self) -> None:
        now = self._clock.monotonic()
        for due, vm in [p for p in self._pending if p[0] <= now]:
            self._pending.remove((due, vm))
            self.put(vm)

    def _record_version(self) -> None:
        listing = VmList(dict(self._vms_by_name), self._version)
        self._history.append((self._clock.monotonic(), listing))


def _seconds(value: float) -> timedelta:
    return timedelta(seconds=value)


def _after_operation(
    vm: Vm, operation: VmOperation, operation_id: str, pool: str
) -> Vm:
    if operation is VmOperation.DRAIN:
        return replace(vm, state=VmListState.LEAVING)
    if operation is VmOperation.RETURN:
        return replace(vm, state=VmListState.LIVE)
    if operation is VmOperation.ASSIGN:
        return replace(vm, pool=pool)
    return replace(vm, boot_id=operation_id, state=VmListState.LIVE)
