"""Tracking of store outages and other daemons, as needed for claim takeovers."""

from __future__ import annotations

import math
from datetime import timedelta

from ..clock import Clock
from ..fleet_state import FleetState
from ..peers.messages import ClaimOutage
from ..peers.streams import PeerNetwork
from ..vm_platform.directory import VmListState
from .table import CLAIM_WINDOW

START_GRACE_PERIOD = timedelta(seconds=3)
"""Time after the start from which an unreachable store counts as an outage."""

MAX_UPDATE_GAP = timedelta(seconds=4)
"""Time between updates after which earlier observations no longer count."""

ANNOUNCE_INTERVAL = timedelta(seconds=1)


class OutageTracker:
    """Tracks store outages and known daemons over one claim window."""

    def __init__(
        self, clock: Clock, state: FleetState, network: PeerNetwork, incarnation: str
    ) -> None:
        self._clock = clock
        self._state = state
        self._network = network
        self._incarnation = incarnation
        self._started_at = self._watching_since = self._updated_at = self._now()
        self._announced_at = -math.inf
        self._last_outage: float | None = None
        self._seen_at_by_incarnation: dict[str, float] = {}
        network.on(ClaimOutage, self._on_outage)
        network.on_connect.append(self._send_outage)

    def update(self) -> None:
        """Record the current state; must be called about twice per second."""
        now = self._now()
        if now - self._updated_at > MAX_UPDATE_GAP.total_seconds():
            self._watching_since = now  # This process was paused.
        self._updated_at = now
        late = now - self._started_at > START_GRACE_PERIOD.total_seconds()
        if not self._state.store_reachable and late:
            self.record_outage()
        seen = self._seen_at_by_incarnation
        for name in (*self._state.daemons_by_incarnation, *self._network.connected()):
            seen[name] = now
        horizon = now - CLAIM_WINDOW.total_seconds()
        for name in [n for n, at in seen.items() if at < horizon]:
            del seen[name]

    def record_outage(self) -> None:
        """Record that claims may be in memory only as of now."""
        self._last_outage = self._now()

    def announce_outage(self) -> None:
        """Notify all daemons that a claim is about to be kept in memory only.

        A later takeover must learn of the outage even if both daemons that know
        the claim are gone by then.
        """
        self.record_outage()
        if self._now() - self._announced_at > ANNOUNCE_INTERVAL.total_seconds():
            self._announced_at = self._now()
            self._network.broadcast(ClaimOutage(0))

    def outage_seen(self) -> bool:
        """Return whether claims within the window may be in memory only."""
        last = self._last_outage
        return last is not None and self._now() - last < CLAIM_WINDOW.total_seconds()

    def confirms_no_outage(self) -> bool:
        """Return whether no claim within the window can be in memory only."""
        watched = self._now() - self._watching_since
        return watched > CLAIM_WINDOW.total_seconds() and not self.outage_seen()

    def known_daemons(self) -> set[str]:
        """Return the other daemons seen within the claim window.

        A paused daemon loses its registration and connections, but not the
        claims that it has recorded.
        """
        self.update()
        return set(self._seen_at_by_incarnation) - {self._incarnation}

    def is_gone(self, incarnation: str) -> bool:
        """Return whether a daemon, and with it its memory, is confirmed gone."""
        vm_name = incarnation.rpartition(".")[0]
        vm = self._state.vm_list.vms_by_name.get(vm_name)
        if vm is not None and vm.state is VmListState.GONE:
            return True
        return any(
            record.vm == vm_name and name != incarnation
            for name, record in self._state.daemons_by_incarnation.items()
        )

    def _on_outage(self, sender: str, message: ClaimOutage) -> None:
        at = self._now() - message.age_ms / 1000
        self._last_outage = max(self._last_outage or at, at)

    def _send_outage(self, peer: str) -> None:
        if self._last_outage is not None and self.outage_seen():
            age = self._now() - self._last_outage
            self._network.send(peer, ClaimOutage(round(age * 1000)))

    def _now(self) -> float:
        return self._clock.monotonic().total_seconds()
