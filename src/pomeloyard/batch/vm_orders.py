"""Requests for operations on VMs, retried until they are answered."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass
from datetime import timedelta

import logbook

from ..clock import Clock
from ..errors import CallNotSentError, CallUnansweredError, StaleFenceError
from .disruption import DisruptionBudgets
from .executor_link import ExecutorLink
from .placed_run import LossCause
from .recent_orders import RecentOrders
from .vm_listing import VmListing
from .vms import PoolVm, VmAnswer, VmState

RETRY_DELAY = timedelta(milliseconds=400)
"""Pause before a request is retried; the service accepts few calls a second."""

log = logbook.Logger("pomeloyard.batch.vm_orders")


def _always() -> bool:
    return True


def _release(links: Iterable[ExecutorLink]) -> None:
    """Let tasks be placed again on executors whose VM keeps running."""
    for link in links:
        link.operation_ordered = link.ordered_by_this_term = False


@dataclass
class VmOperation:
    """An operation on a VM that may have been requested."""

    kind: str
    target: str
    executor_id: str
    duration: timedelta
    links: tuple[ExecutorLink, ...] = ()
    """Links of all executors that might run on the VM when the operation began."""
    repeated: bool = False
    """Whether an earlier term may have requested it. It may then be done already, and
    the repeated request has no effect on the VM."""
    answered_at: timedelta | None = None


class VmOrders:
    """The operations in progress; a VM with one counts as down."""

    def __init__(
        self,
        clock: Clock,
        listing: VmListing,
        recent_orders: RecentOrders,
        disruption_budgets: DisruptionBudgets,
        end_term: Callable[[str], None],
    ) -> None:
        self._clock = clock
        self._listing = listing
        self._recent_orders = recent_orders
        self._disruption_budgets = disruption_budgets
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
        """Register an operation that may be requested; its VM gets no new runs."""
        links = tuple(self._listing.links_on(vm))
        self.by_vm[vm.name] = VmOperation(
            kind, target, vm.executor_id, duration, links, repeated
        )
        begun_at = timedelta(0) if repeated else self._clock.monotonic()
        for link in links:
            link.operation_ordered = True
            link.operation_begun_at = begun_at
            link.ordered_by_this_term = not repeated

    def mark_done(self, vm: PoolVm) -> None:
        """Record that an operation took effect."""
        self.by_vm[vm.name].answered_at = self._clock.monotonic()

    def end_runs(self, vm: PoolVm, reason: str) -> None:
        """Mark all runs on a VM as lost, as its executor has ended."""
        link = self._listing.link_of(vm)
        if link is not None:
            link.mark_all_lost(reason, LossCause.VM_OPERATION)
            link.registered = False
            link.reachable = False

    def abandon(self, vm: PoolVm) -> None:
        """Remove an operation that did not take effect."""
        operation = self.by_vm.pop(vm.name, None)
        if operation is not None:
            _release(operation.links)

    def may_order(self, vm: str) -> bool:
        """Tell whether a VM has no operation in progress and is not held back."""
        return vm not in self.by_vm and not self._recent_orders.is_held_back(vm)

    async def send_until_answered(
        self,
        vm: PoolVm,
        call: Callable[[], Awaitable[VmAnswer]],
        may_begin: Callable[[], bool] = _always,
    ) -> VmAnswer | None:
        """Send a request until it is answered; return None if the term ends.

        The request is first recorded for the next holder of the role. Retries use the
        same fencing token and have no effect if the operation is done already. The
        disruption budgets are checked again before each attempt, as other tasks of the
        same steps may have become unavailable meanwhile. If they are exceeded, or if
        ``may_begin`` returns False, the result is HELD_BACK before the first attempt;
        later attempts wait for the budgets.
        """
        if not await self._recent_orders.record(vm.name, self.by_vm):
            self._end_term("the epoch was replaced")
            return None
        may_have_been_sent = self.by_vm[vm.name].repeated
        if not may_have_been_sent and not may_begin():
            return VmAnswer.HELD_BACK
        while True:
            links = self.by_vm[vm.name].links
            if not self._disruption_budgets.may_disrupt_all(*links):
                if not may_have_been_sent:
                    return VmAnswer.HELD_BACK
                await self._clock.sleep(RETRY_DELAY)
                continue
            for link in links:
                link.ordered_by_this_term = True
            may_have_been_sent = True
            self._recent_orders.note_order(vm.name)
            try:
                return await call()
            except StaleFenceError as error:
                self._end_term(str(error))
                return None
            except CallNotSentError as error:
                log.info("request for a VM operation was not sent: {}", error)
            except CallUnansweredError as error:
                log.info("request for a VM operation got no answer: {}", error)
            await self._clock.sleep(RETRY_DELAY)

    def remove_finished(self, asked_at: timedelta) -> None:
        """Remove the operations whose VMs are back according to the last list.

        ``asked_at`` is when that list was requested.
        """
        for name, operation in list(self.by_vm.items()):
            if operation.answered_at is None:
                continue
            if asked_at < operation.answered_at + operation.duration:
                continue
            vm = self._listing.vms_by_name.get(name)
            restarted = vm is None or (
                vm.state is VmState.UP and vm.executor_id != operation.executor_id
            )
            without_executor = (
                vm is not None and vm.state is VmState.UP and not vm.executor_id
            )
            if restarted or without_executor:
                del self.by_vm[name]
                _release(
                    link
                    for link in operation.links
                    if link.executor.executor_id != operation.executor_id
                )
            elif operation.repeated and vm is not None and vm.state is VmState.UP:
                # The operation was done before this term, as the executor has not
                # changed since.
                self.abandon(vm)
