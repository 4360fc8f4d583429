"""Takeover of a partition's claims by its new holder."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

import anyio
import logbook

from ..allocation.partitions import Partition
from ..clock import Clock
from ..errors import StoreError
from .table import CLAIM_WINDOW, Claim

if TYPE_CHECKING:
    from .service import ClaimService

QUERY_TIMEOUT = timedelta(seconds=1)
RETRY_INTERVAL = timedelta(seconds=1)

log = logbook.Logger("pomeloyard.claims.table")


class Takeover:
    """Collects a partition's claims; ``open`` once claims may be granted.

    The store holds every claim that was granted while it was up. The others are
    known by at least two daemons, so after an unclean takeover they are lost only
    if another daemon than the former holder does not answer either.
    """

    def __init__(
        self, service: ClaimService, partition: Partition, clock: Clock
    ) -> None:
        self._service = service
        self._partition = partition
        self._clock = clock
        self._scope = anyio.CancelScope()
        self._cancelled = False
        self._started = clock.monotonic()
        self._inherited = timedelta(0)
        self._outage_seen = False
        self._vouched = False
        self._asked = {service.incarnation}
        self._known: set[str] = set()
        self.open = False

    @property
    def epoch(self) -> int:
        """Return the epoch under which the partition is held."""
        return self._partition.epoch

    def cancel(self) -> None:
        """Stop, because the partition is no longer held."""
        self.open = False
        self._cancelled = True
        self._scope.cancel()

    async def run(self) -> None:
        """Open the partition as soon as all of its claims are known."""
        with self._scope:
            await self._load()
            missing = self._service.watch.known_daemons()
            while not self._cancelled:
                missing = await self._ask_all(missing)
                if self._clock.monotonic() >= self._lost_until(missing):
                    break
                await self._clock.sleep(RETRY_INTERVAL)
            self.open = not self._cancelled

    async def _load(self) -> None:
        number = self._partition.number
        while True:
            try:
                claims = await self._service.log.open(number, self.epoch)
            except StoreError as error:
                self._service.log.note_outage(str(error))
                await self._clock.sleep(RETRY_INTERVAL)
            else:
                self._service.table.add(number, claims)
                self._add(self._service.recorded.claims(number))
                return

    def _add(self, claims: list[Claim]) -> None:
        """Enter claims that the store may not hold, and have them written."""
        number = self._partition.number
        self._service.table.add(number, claims)
        self._service.log.adopt(number, claims)

    async def _ask_all(self, peers: set[str]) -> set[str]:
        """Ask peers, and those that they know of; return who did not answer."""
        missing: set[str] = set()
        while peers:
            self._asked |= peers
            missing |= await self._ask(peers)
            peers = self._known - self._asked
        return missing

    async def _ask(self, peers: set[str]) -> set[str]:
        """Collect the claims that peers know; return those that did not answer."""
        answered: set[str] = set()

        async def ask(peer: str) -> None:
            claims = await self._collect(peer)
            if claims is not None:
                self._add(claims)
                answered.add(peer)

        async with anyio.create_task_group() as tasks:
            for peer in sorted(peers):
                tasks.start_soon(ask, peer)
        # A daemon that has gone without an answer took its claims along.
        return peers - answered

    async def _collect(self, peer: str) -> list[Claim] | None:
        claims: list[Claim] = []
        after = b""
        while True:
            statement = await self._service.query(
                peer, self._partition.number, self.epoch, after, QUERY_TIMEOUT
            )
            if statement is None:
                return None
            self._outage_seen |= statement.outage_seen
            self._vouched |= statement.vouches
            self._known |= set(statement.known)
            inherited = timedelta(milliseconds=statement.lost_ms)
            self._inherited = max(self._inherited, self._clock.monotonic() + inherited)
            claims += [self._service.claim_of(row) for row in statement.claims]
            if not statement.more:
                return claims
            after = statement.claims[-1].key_hash

    def _lost_until(self, missing: set[str]) -> timedelta:
        """Return until when unknown claims may exist (a past time: none do)."""
        # The former holder's claims are also known by a second daemon, unless it
        # released the partition and is alive: then they are still its to tell.
        former = self._partition.former
        if not self._partition.clean:
            missing = missing - {former}
        elif former not in missing:
            missing = set()
        until = self._inherited
        if missing and not self._no_outage(missing):
            until = max(until, self._started + CLAIM_WINDOW)
        self._service.lost_until_by_partition[self._partition.number] = until
        return until

    def _no_outage(self, missing: set[str]) -> bool:
        """Tell whether the missing daemons hold no claims of their own.

        A daemon that may still answer is waited for unless a daemon that has
        watched the store for the whole window vouches that there was no outage.
        """
        if self._outage_seen or self._service.watch.outage_seen():
            return False
        if self._vouched or self._service.watch.vouches():
            return True
        return all(self._service.watch.is_gone(name) for name in missing)
