"""Choice between direct calls to the store and relaying through a peer; no I/O.

Handles a store that rejects some daemons' calls and serves the others, during a peak:
the placing daemon would lose its role, and callers would have to switch to another
daemon. Calls then go through a peer that still reaches the store. If no
daemon reaches it, no peer accepts them, and a daemon tries only a few times a second.
"""

from __future__ import annotations

import random
from collections.abc import Mapping
from datetime import timedelta

FAILURES_BEFORE_RELAY = 2
"""Consecutive failed calls before relaying; a single one may be a lost packet."""
MAX_RESPONSE_AGE = timedelta(seconds=3)
"""A daemon that got a response within this time relays for others; an idle daemon
polls the store every 1.2 s."""
PEER_RETRY_DELAY = timedelta(seconds=1)
"""Time for which a peer that could not relay is not tried again."""
RETRY_INTERVAL = timedelta(seconds=0.1)
"""Between failed attempts at different peers, to limit the load in an outage."""


class RelaySelector:
    """Selects whether calls go to the store directly or through which peer."""

    def __init__(self) -> None:
        self.speed_by_peer: dict[str, float] = {}
        """Speed of the daemons that can relay, by address."""
        self._failures = 0
        self._last_response_at: timedelta | None = None
        self._retry_at_by_peer: dict[str, timedelta] = {}
        self._peer = ""
        self._next_try_at = timedelta(0)

    @property
    def uses_relay(self) -> bool:
        """Tell whether calls are to be relayed instead of sent to the store."""
        return bool(self.speed_by_peer) and self._failures >= FAILURES_BEFORE_RELAY

    def can_relay(self, now: timedelta) -> bool:
        """Tell whether this daemon reaches the store and can relay for peers."""
        last_response_at = self._last_response_at
        is_recent = (
            last_response_at is not None and now - last_response_at <= MAX_RESPONSE_AGE
        )
        return is_recent and not self._failures

    def set_peers(self, speed_by_peer: Mapping[str, float]) -> None:
        """Replace the known peers."""
        self.speed_by_peer = dict(speed_by_peer)

    def select_peer(self, now: timedelta) -> str | None:
        """Return the peer to relay a call, or None if no peer should be tried now.

        The fastest peers are preferred: the placing daemon's calls would saturate the
        link of a small VM.
        """
        if self._peer:
            return self._peer
        if now < self._next_try_at:
            return None
        available = [
            peer
            for peer in self.speed_by_peer
            if now >= self._retry_at_by_peer.get(peer, timedelta(0))
        ]
        if not available:
            return None
        fastest = max(self.speed_by_peer[peer] for peer in available)
        return random.choice(
            [peer for peer in available if self.speed_by_peer[peer] == fastest]
        )

    def record_response(self, now: timedelta) -> None:
        """Record a response to a direct call."""
        self._failures = 0
        self._last_response_at = now
        self._peer = ""

    def record_failure(self) -> None:
        """Record a direct call that the store rejected or did not respond to."""
        self._failures += 1

    def record_relayed(self, peer: str) -> None:
        """Record a response relayed by a peer, which the next calls use as well."""
        self._peer = peer

    def record_relay_failure(self, peer: str, now: timedelta) -> None:
        """Record a call that a peer could not relay."""
        self._retry_at_by_peer[peer] = now + PEER_RETRY_DELAY
        self._next_try_at = now + RETRY_INTERVAL
        if self._peer == peer:
            self._peer = ""
