"""The last heartbeat of each peer, and the configuration in force at each daemon."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

from .clock import Clock
from .fleet_state import FleetState
from .peers.messages import Heartbeat


@dataclass(frozen=True, slots=True)
class ReceivedHeartbeat:
    """A heartbeat and the monotonic time at which it was received."""

    heartbeat: Heartbeat
    received_at: timedelta


@dataclass(frozen=True, slots=True)
class DaemonStatus:
    """What a registered daemon last reported; None without a heartbeat."""

    incarnation: str
    vm: str
    availability_zone: str
    config_revision: int | None
    keys_version: int | None
    store_reachable: bool | None
    heard_seconds_ago: float | None
    in_force: bool


class PeerHeartbeats:
    """Last heartbeat of each peer."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._received_by_incarnation: dict[str, ReceivedHeartbeat] = {}

    def record(self, sender: str, heartbeat: Heartbeat) -> None:
        """Record a heartbeat received from ``sender``."""
        received = ReceivedHeartbeat(heartbeat, self._clock.monotonic())
        self._received_by_incarnation[sender] = received

    def statuses(
        self, state: FleetState, own: str, own_heartbeat: Heartbeat
    ) -> list[DaemonStatus]:
        """Return the status of every registered daemon, sorted by incarnation.

        ``in_force`` is True where no daemon reports a higher revision.
        """
        self._remove_unregistered(set(state.daemons_by_incarnation))
        now = self._clock.monotonic()
        received = {
            **self._received_by_incarnation,
            own: ReceivedHeartbeat(own_heartbeat, now),
        }
        latest = max(r.heartbeat.config_revision for r in received.values())
        statuses = []
        for incarnation, record in sorted(state.daemons_by_incarnation.items()):
            last = received.get(incarnation)
            heartbeat = last.heartbeat if last else None
            statuses.append(
                DaemonStatus(
                    incarnation,
                    record.vm,
                    record.availability_zone,
                    heartbeat.config_revision if heartbeat else None,
                    heartbeat.keys_version if heartbeat else None,
                    heartbeat.store_reachable if heartbeat else None,
                    round((now - last.received_at).total_seconds(), 1)
                    if last
                    else None,
                    heartbeat is not None and heartbeat.config_revision >= latest,
                )
            )
        return statuses

    def _remove_unregistered(self, registered: set[str]) -> None:
        """Remove the heartbeats of daemons that are no longer registered."""
        received = self._received_by_incarnation
        for incarnation in [i for i in received if i not in registered]:
            del received[incarnation]
