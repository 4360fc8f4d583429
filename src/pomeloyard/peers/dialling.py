"""Decides which daemons to dial, and when."""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

DIAL_INTERVAL = timedelta(seconds=0.5)
MAX_DIAL_INTERVAL = timedelta(seconds=2)

YIELD_DELAY = timedelta(seconds=1.5)
"""How long the daemon with the greater address leaves dialling to the other, so
that two daemons seldom dial each other at once."""

FORGET_AFTER = timedelta(minutes=10)
"""A learned address that fails for this long belongs to a VM that was replaced;
a daemon that returns there makes itself known."""


@dataclass
class _Attempt:
    since: timedelta
    not_before: timedelta
    delay: timedelta = DIAL_INTERVAL


class DialPlan:
    """Plans dialling with jittered exponential backoff for each address."""

    def __init__(self, own_address: str) -> None:
        self._own_address = own_address
        self._dialling: set[str] = set()
        self._attempts_by_address: dict[str, _Attempt] = {}

    def due(
        self, addresses: Iterable[str], linked: set[str], now: timedelta
    ) -> list[str]:
        """Return the addresses to dial now; each counts as dialled until ``ended``."""
        wanted = set(addresses) - {self._own_address}
        for address in linked | (self._attempts_by_address.keys() - wanted):
            self._attempts_by_address.pop(address, None)
        due = []
        for address in sorted(wanted - linked - self._dialling):
            attempt = self._attempts_by_address.get(address)
            if attempt is None:
                wait = YIELD_DELAY if self._own_address > address else timedelta(0)
                attempt = _Attempt(now, now + wait)
                self._attempts_by_address[address] = attempt
            if now < attempt.not_before:
                continue
            attempt.not_before = now + attempt.delay * random.uniform(0.5, 1.5)
            attempt.delay = min(attempt.delay * 2, MAX_DIAL_INTERVAL)
            self._dialling.add(address)
            due.append(address)
        return due

    def hopeless(self, now: timedelta) -> set[str]:
        """Return the addresses that have failed for FORGET_AFTER."""
        attempts = self._attempts_by_address.items()
        return {address for address, a in attempts if now - a.since > FORGET_AFTER}

    def ended(self, address: str) -> None:
        """Note that a dial, and the connection that came of it, has ended."""
        self._dialling.discard(address)
