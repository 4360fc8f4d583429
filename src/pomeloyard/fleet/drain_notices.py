"""Exchange drain notices and counts of running requests between daemons."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta

from ..fleet_state import FleetState
from ..peers.calls import PeerCalls
from ..peers.messages import DrainNotice, RunningQuery, RunningReply
from ..peers.streams import PeerNetwork
from .vms import VmRecord, VmState

ANSWER_TIMEOUT = timedelta(seconds=1)


class DrainNotices:
    """Notifies other daemons of drains and answers their queries."""

    def __init__(
        self,
        network: PeerNetwork,
        calls: PeerCalls,
        state: FleetState,
        running_at: Callable[[str], int],
    ) -> None:
        self._network = network
        self._calls = calls
        self._state = state
        self._running_at = running_at

    def start(self) -> None:
        """Register the handlers for other daemons' messages."""
        self._calls.register_reply_type(RunningReply)
        self._network.on(DrainNotice, self._on_notice)
        self._network.on(RunningQuery, self._on_query)

    def broadcast_state(self, record: VmRecord) -> None:
        """Send a VM's state to all daemons, ahead of their store watches."""
        self._network.broadcast(
            DrainNotice(record.name, record.state.value, record.epoch)
        )

    async def query_running(self, incarnation: str, record: VmRecord) -> int | None:
        """Return how many requests a daemon runs at a VM, or None without an answer."""
        if incarnation == self._network.hello.incarnation:
            return self._running_at(record.name)
        reply = await self._calls.call(
            incarnation,
            lambda request_id: RunningQuery(request_id, record.name, record.epoch),
            RunningReply,
            ANSWER_TIMEOUT,
        )
        if reply is None or reply.vm != record.name:
            return None
        return reply.running

    def _on_notice(self, sender: str, notice: DrainNotice) -> None:
        if notice.state != VmState.IN_SERVICE.value:
            self._state.record_drain_notice(notice.vm, notice.epoch)

    def _on_query(self, sender: str, query: RunningQuery) -> None:
        # A query also acts as a notice, so that an answer of 0 means that this
        # daemon sends no more requests to the VM either.
        self._state.record_drain_notice(query.vm, query.epoch)
        running = self._running_at(query.vm)
        self._network.send(sender, RunningReply(query.request_id, query.vm, running))
