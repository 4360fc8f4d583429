"""Orders for VMs: what may have been sent, repeated until it is answered."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from datetime import timedelta

import logbook

from ..clock import Clock
from ..errors import CallNotSentError, CallUnansweredError, StaleFenceError
from .availability import Availability
from .recent_orders import RecentOrders
from .vm_listing import VmListing
from .vms import PoolVm, VmAnswer, VmState

RETRY_DELAY = timedelta(milliseconds=400)
"""Pause after an order without an answer; the service takes few calls a second."""

log = logbook.Logger("pomeloyard.batch.vm_orders")


@dataclass
class VmOperation:
    """An order that may have been sent for a VM."""

    kind: str
    target: str
    executor_id: str
    duration: timedelta
    repeated: bool = False
    """Whether an earlier term may have ordered it; then it may be done already, and
    nothing happens to the VM."""
    answered_at: timedelta | None = None


class VmOrders:
    """The operations at work; a VM with one counts as down."""

    def __init__(
        self,
        clock: Clock,
        listing: VmListing,
        recent: RecentOrders,
        availability: Availability,
        end_term: Callable[[str], None],
    ) -> None:
        self._clock = clock
        self._listing = listing
        self._recent = recent
        self._availability = availability
        self._end_term = end_term
        self.by_vm: dict[str, VmOperation] = {}

    def begin(
        self,
        vm: PoolVm,
        kind: str,
        target: str,
        duration: timedelta,
        *,
        repeated: bool = False,
    ) -> None:
        """Note that an order may be sent; its VM gets no new runs."""
        self.by_vm[vm.name] = VmOperation(
            kind, target, vm.executor_id, duration, repeated
        )
        link = self._listing.link_of(vm)
        if link is not None:
            link.leaving = True
            link.ending = not repeated

    def answered(self, vm: PoolVm) -> None:
        """Note that an order took effect."""
        self.by_vm[vm.name].answered_at = self._clock.monotonic()

    def end_runs(self, vm: PoolVm, reason: str) -> None:
        """Note that all runs on a VM have ended with its executor."""
        link = self._listing.link_of(vm)
        if link is not None:
            link.lose_all(reason)
            link.registered = False
            link.reachable = False

    def abandon(self, vm: PoolVm) -> None:
        """Forget an operation that did not take effect."""
        self.by_vm.pop(vm.name, None)
        link = self._listing.link_of(vm)
        if link is not None:
            link.leaving = link.ending = False

    def may_order(self, vm: str) -> bool:
        """Tell whether no operation is at work on a VM and none was just before."""
        return vm not in self.by_vm and not self._recent.is_held_back(vm)

    async def repeat(
        self, vm: PoolVm, call: Callable[[], Awaitable[VmAnswer]]
    ) -> VmAnswer | None:
        """Repeat an order until it is answered; None if the term ends.

        The order is announced to the next holder first. Orders are repeated under the
        same fence; they do nothing when done already. What would be away is checked
        again before each attempt, as tasks of the same steps may have gone meanwhile:
        HELD_BACK if no attempt has been made, else the next attempt waits.
        """
        if not await self._recent.announce(vm.name, self.by_vm):
            self._end_term("the epoch was replaced")
            return None
        may_be_done = self.by_vm[vm.name].repeated
        while True:
            link = self._listing.link_of(vm)
            if link is not None and not self._availability.may_end_all(link):
                if not may_be_done:
                    return VmAnswer.HELD_BACK
                await self._clock.sleep(RETRY_DELAY)
                continue
            if link is not None:
                link.ending = True
            may_be_done = True
            self._recent.touch(vm.name)
            try:
                return await call()
            except StaleFenceError as error:
                self._end_term(str(error))
                return None
            except CallNotSentError as error:
                log.info("order for a VM was not sent: {}", error)
            except CallUnansweredError as error:
                log.info("order for a VM has no answer: {}", error)
            await self._clock.sleep(RETRY_DELAY)

    def finish(self, asked_at: timedelta) -> None:
        """Forget the operations whose VMs a list shows to be back."""
        for name, operation in list(self.by_vm.items()):
            if operation.answered_at is None:
                continue
            if asked_at < operation.answered_at + operation.duration:
                continue
            vm = self._listing.vms_by_name.get(name)
            renewed = vm is None or (
                vm.state is VmState.UP and vm.executor_id != operation.executor_id
            )
            off = vm is not None and vm.state is VmState.UP and not vm.executor_id
            if renewed or off:
                del self.by_vm[name]
            elif operation.repeated and vm is not None and vm.state is VmState.UP:
                # It was done before this term: the executor has not changed since.
                self.abandon(vm)
