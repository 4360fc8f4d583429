"""The last heartbeat of each peer, and which configuration is in force where."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

from .clock import Clock
from .fleet_state import FleetState
from .peers.messages import Heartbeat


@dataclass(frozen=True, slots=True)
class HeardHeartbeat:
    """A heartbeat and the monotonic time of its arrival."""

    heartbeat: Heartbeat
    at: timedelta


@dataclass(frozen=True, slots=True)
class DaemonStatus:
    """What a registered daemon last reported; None where nothing was heard."""

    incarnation: str
    vm: str
    availability_zone: str
    config_revision: int | None
    keys_version: int | None
    store_reachable: bool | None
    heard_seconds_ago: float | None
    in_force: bool


class HeartbeatBook:
    """Keeps the last heartbeat of each peer."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._heard_by_incarnation: dict[str, HeardHeartbeat] = {}

    def note(self, sender: str, heartbeat: Heartbeat) -> None:
        """Keep a heartbeat that arrived from ``sender``."""
        heard = HeardHeartbeat(heartbeat, self._clock.monotonic())
        self._heard_by_incarnation[sender] = heard

    def statuses(
        self, state: FleetState, own: str, own_beat: Heartbeat
    ) -> list[DaemonStatus]:
        """Return the status of every registered daemon, by incarnation.

        The latest revision that any of them reports is the one to be in force.
        """
        self._forget(set(state.daemons_by_incarnation))
        now = self._clock.monotonic()
        heard = {**self._heard_by_incarnation, own: HeardHeartbeat(own_beat, now)}
        latest = max(h.heartbeat.config_revision for h in heard.values())
        statuses = []
        for incarnation, record in sorted(state.daemons_by_incarnation.items()):
            last = heard.get(incarnation)
            beat = last.heartbeat if last else None
            statuses.append(
                DaemonStatus(
                    incarnation,
                    record.vm,
                    record.availability_zone,
                    beat.config_revision if beat else None,
                    beat.keys_version if beat else None,
                    beat.store_reachable if beat else None,
                    round((now - last.at).total_seconds(), 1) if last else None,
                    beat is not None and beat.config_revision >= latest,
                )
            )
        return statuses

    def _forget(self, registered: set[str]) -> None:
        """Drop the heartbeats of daemons that are no longer registered."""
        heard = self._heard_by_incarnation
        for incarnation in [i for i in heard if i not in registered]:
            del heard[incarnation]
