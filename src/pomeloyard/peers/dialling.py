"""Schedule of dial attempts to other daemons."""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

DIAL_INTERVAL = timedelta(seconds=0.5)
MAX_DIAL_INTERVAL = timedelta(seconds=2)

SECOND_DIALLER_DELAY = timedelta(seconds=1.5)
"""Time that the daemon with the greater address waits for the other to dial, so
that two daemons seldom dial each other at the same time."""

ADDRESS_EXPIRY = timedelta(minutes=10)
"""A learned address that fails for this long belongs to a VM that was replaced;
a daemon that starts there again connects by itself."""


@dataclass
class _DialState:
    failing_since: timedelta
    not_before: timedelta
    delay: timedelta = DIAL_INTERVAL


class DialSchedule:
    """Schedules dial attempts with jittered exponential back-off per address."""

    def __init__(self, own_address: str) -> None:
        self._own_address = own_address
        self._in_progress: set[str] = set()
        self._states_by_address: dict[str, _DialState] = {}

    def due(
        self, addresses: Iterable[str], connected: set[str], now: timedelta
    ) -> list[str]:
        """Return the addresses to dial now; each is in progress until ``ended``."""
        dialable = set(addresses) - {self._own_address}
        for address in connected | (self._states_by_address.keys() - dialable):
            self._states_by_address.pop(address, None)
        due = []
        for address in sorted(dialable - connected - self._in_progress):
            state = self._states_by_address.get(address)
            if state is None:
                wait = (
                    SECOND_DIALLER_DELAY
                    if self._own_address > address
                    else timedelta(0)
                )
                state = _DialState(now, now + wait)
                self._states_by_address[address] = state
            if now < state.not_before:
                continue
            state.not_before = now + state.delay * random.uniform(0.5, 1.5)
            state.delay = min(state.delay * 2, MAX_DIAL_INTERVAL)
            self._in_progress.add(address)
            due.append(address)
        return due

    def expired(self, now: timedelta) -> set[str]:
        """Return the addresses that have failed for ADDRESS_EXPIRY."""
        states = self._states_by_address.items()
        return {
            address for address, s in states if now - s.failing_since > ADDRESS_EXPIRY
        }

    def ended(self, address: str) -> None:
        """Record that a dial attempt, or the connection that it opened, has ended."""
        self._in_progress.discard(address)
