"""Exchange of drain notices and running requests between daemons."""

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
    """Tells other daemons of drains and answers what runs here."""

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
        """Answer other daemons from now on."""
        self._calls.expect(RunningReply)
        self._network.on(DrainNotice, self._on_notice)
        self._network.on(RunningQuery, self._on_query)

    def announce(self, record: VmRecord) -> None:
        """Tell all daemons of a VM's state without waiting for their watches."""
        self._network.broadcast(
            DrainNotice(record.name, record.state.value, record.epoch)
        )

    async def ask(self, incarnation: str, record: VmRecord) -> int | None:
        """Return what a daemon runs at a VM, or None if it does not answer."""
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
            self._state.note_drain(notice.vm, notice.epoch)

    def _on_query(self, sender: str, query: RunningQuery) -> None:
        # The notice is taken from the question too, so that an answer of 0 also
        # means that nothing will be sent to the VM from here.
        self._state.note_drain(query.vm, query.epoch)
        running = self._running_at(query.vm)
        self._network.send(sender, RunningReply(query.request_id, query.vm, running))
