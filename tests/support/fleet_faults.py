"""A store and a platform with injected faults, including killed callers."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import replace
from datetime import timedelta

from pomeloyard.clock import ManualClock
from pomeloyard.errors import (
    StoreOutcomeUnknownError,
    StoreRequestError,
    StoreUnavailableError,
)
from pomeloyard.keyvalue.memory import MemoryStore
from pomeloyard.standins.platform import MemoryVmDirectory
from pomeloyard.vm_platform.directory import Vm, VmListState, VmOperation


class Killed(BaseException):
    """Stands for the death of the calling process."""


class FaultyStore(MemoryStore):
    """Store that can be down, lose answers or kill its caller."""

    def __init__(self, clock: ManualClock) -> None:
        super().__init__(clock)
        self.down = False
        self.lose_answers = 0
        self.kill_at_commit: int | None = None
        self.kill_after_effect = False
        self.after_commit: list[Callable[[object], None]] = []

    async def get(self, key):
        self._check_up()
        return await super().get(key)

    async def scan(self, prefix, *, start="", limit=1000):
        self._check_up()
        return await super().scan(prefix, start=start, limit=limit)

    async def commit(self, transaction):
        self._check_up()
        kill = self._kill_now()
        if kill and not self.kill_after_effect:
            raise Killed
        result = await super().commit(transaction)
        if result.succeeded and transaction.operations:
            for check in self.after_commit:
                check(transaction)
        if kill:
            raise Killed
        if self.lose_answers:
            self.lose_answers -= 1
            raise StoreOutcomeUnknownError("answer lost")
        return result

    def _check_up(self):
        if self.down:
            raise StoreUnavailableError("store is down")

    def _kill_now(self):
        if self.kill_at_commit is None:
            return False
        self.kill_at_commit -= 1
        if self.kill_at_commit < 0:
            self.kill_at_commit = None
            return True
        return False


class FaultyDirectory(MemoryVmDirectory):
    """Platform whose operations are delayed, fail or get lost."""

    def __init__(self, clock: ManualClock, vms: list[Vm]) -> None:
        super().__init__(clock, vms)
        self.delay = timedelta(seconds=2)
        self.down = False
        self.refuse = False
        self.lose = 0
        self.answer_lost = 0
        self.broken: set[str] = set()
        """VMs whose reboots and replacements have no effect."""
        self.started: list[tuple[str, VmOperation, str]] = []
        self._pending: list[tuple[timedelta, str, VmOperation, str, str]] = []

    async def operate(self, name, operation, *, operation_id, pool=""):
        if self.down:
            raise StoreUnavailableError("platform is down")
        if self.refuse:
            raise StoreRequestError("refused")
        if operation_id not in {started[2] for started in self.started}:
            self.started.append((name, operation, operation_id))
            if self.lose:
                self.lose -= 1
            else:
                due = self._clock.monotonic() + self.delay
                self._pending.append((due, name, operation, operation_id, pool))
        if self.answer_lost:
            self.answer_lost -= 1
            raise StoreOutcomeUnknownError("answer lost")

    async def apply_due_operations(self) -> None:
        """Apply the operations that are due."""
        now = self._clock.monotonic()
        due = [p for p in self._pending if p[0] <= now]
        self._pending = [p for p in self._pending if p[0] > now]
        for _, name, operation, operation_id, pool in due:
            if name in self.broken and operation is not VmOperation.ASSIGN:
                continue
            await super().operate(name, operation, operation_id=operation_id, pool=pool)

    def lose_vms(self, names: Iterable[str]) -> None:
        for name in names:
            vm = self._vms_by_name[name]
            self.put(replace(vm, state=VmListState.GONE))

    def mark_leaving(self, name: str) -> None:
        """Show a VM as leaving, as decided by the platform."""
        self.put(replace(self._vms_by_name[name], state=VmListState.LEAVING))

    def boot(self, name: str, boot_id: str) -> None:
        """Give a VM a new boot that no operation caused."""
        self.put(replace(self._vms_by_name[name], boot_id=boot_id))

    def restore_vms(self, names: Iterable[str]) -> None:
        for name in names:
            vm = self._vms_by_name[name]
            self.put(replace(vm, state=VmListState.LIVE))


def is_kill(error: BaseException) -> bool:
    """Tell whether an error is a simulated kill, also within an exception group."""
    if isinstance(error, BaseExceptionGroup):
        return any(is_kill(inner) for inner in error.exceptions)
    return isinstance(error, Killed)
