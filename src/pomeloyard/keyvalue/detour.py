"""Which way a daemon's calls take to the store; pure.

Answers a store that turns some daemons away and serves the others, just as a peak is at
work: the placing daemon would lose its role, and callers would have to find another
daemon. Calls then go through a peer that still reaches the store. Where nobody does, no
peer takes them, and a daemon asks only a few times a second.
"""

from __future__ import annotations

import random
from collections.abc import Mapping
from datetime import timedelta

FAILURES_TO_DETOUR = 2
"""Calls in a row that fail before another way is tried; one may be a lost packet."""
SOUND_AGE = timedelta(seconds=3)
"""A daemon that had an answer within this time relays for others; an idle one polls the
store every 1.2 s."""
PEER_PAUSE = timedelta(seconds=1)
"""A peer that could not relay is not asked again for this long."""
RETRY_INTERVAL = timedelta(seconds=0.1)
"""Between peers that are asked in vain, so that an outage causes no rush."""


class Detour:
    """Knows whether the store is reached directly, and by which peers otherwise."""

    def __init__(self) -> None:
        self.speed_by_peer: dict[str, float] = {}
        """Address and speed of the daemons that may relay."""
        self._failures = 0
        self._answered_at: timedelta | None = None
        self._paused_until_by_peer: dict[str, timedelta] = {}
        self._peer = ""
        self._next_try_at = timedelta(0)

    @property
    def is_needed(self) -> bool:
        """Tell whether calls do not go to the store directly."""
        return bool(self.speed_by_peer) and self._failures >= FAILURES_TO_DETOUR

    def may_relay(self, now: timedelta) -> bool:
        """Tell whether this daemon reaches the store well enough to help others."""
        answered_at = self._answered_at
        sound = answered_at is not None and now - answered_at <= SOUND_AGE
        return sound and not self._failures

    def set_peers(self, speed_by_peer: Mapping[str, float]) -> None:
        """Replace the peers that are known."""
        self.speed_by_peer = dict(speed_by_peer)

    def peer(self, now: timedelta) -> str | None:
        """Return the peer that a call goes through, or None if none should be asked.

        The fastest are asked first: a placing daemon's calls would fill the link of a
        small VM.
        """
        if self._peer:
            return self._peer
        if now < self._next_try_at:
            return None
        rested = [
            peer
            for peer in self.speed_by_peer
            if now >= self._paused_until_by_peer.get(peer, timedelta(0))
        ]
        if not rested:
            return None
        fastest = max(self.speed_by_peer[peer] for peer in rested)
        return random.choice(
            [peer for peer in rested if self.speed_by_peer[peer] == fastest]
        )

    def answered(self, now: timedelta) -> None:
        """Note an answer of the store itself."""
        self._failures = 0
        self._answered_at = now
        self._peer = ""

    def failed(self) -> None:
        """Note a direct call that the store refused or left unanswered."""
        self._failures += 1

    def relayed(self, peer: str) -> None:
        """Note an answer of the store that came through a peer; it is used again."""
        self._peer = peer

    def refused(self, peer: str, now: timedelta) -> None:
        """Note a call that a peer could not relay."""
        self._paused_until_by_peer[peer] = now + PEER_PAUSE
        self._next_try_at = now + RETRY_INTERVAL
        if self._peer == peer:
            self._peer = ""
