"""Takeover of a partition's claims by a new holder."""

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
    """Collects a partition's claims; ``open`` is set once claims may be granted.

    The store has every claim that was granted while it was available. At least two
    daemons know each of the others, so after an unclean takeover a claim can be
    missed only if another daemon besides the former holder does not answer.
    """

    def __init__(
        self, service: ClaimService, partition: Partition, clock: Clock
    ) -> None:
        self._service = service
        self._partition = partition
        self._clock = clock
        self._scope = anyio.CancelScope()
        self._cancelled = False
        self._started_at = clock.monotonic()
        self._inherited_lost_until = timedelta(0)
        self._outage_seen = False
        self._no_outage_confirmed = False
        self._queried_peers = {service.incarnation}
        self._known_peers: set[str] = set()
        self.open = False

    @property
    def epoch(self) -> int:
        """Return the epoch under which this daemon holds the partition."""
        return self._partition.epoch

    def cancel(self) -> None:
        """Stop, because the partition is no longer held."""
        self.open = False
        self._cancelled = True
        self._scope.cancel()

    async def run(self) -> None:
        """Open the partition once all of its claims are known."""
        with self._scope:
            await self._load()
            missing = self._service.outage_tracker.known_daemons()
            while not self._cancelled:
                missing = await self._query_all_peers(missing)
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
                self._service.log.record_outage(str(error))
                await self._clock.sleep(RETRY_INTERVAL)
            else:
                self._service.table.add(number, claims)
                self._add_claims(self._service.recorded.claims(number))
                return

    def _add_claims(self, claims: list[Claim]) -> None:
        """Add claims that may not be in the store, and queue them for writing."""
        number = self._partition.number
        self._service.table.add(number, claims)
        self._service.log.add_unwritten(number, claims)

    async def _query_all_peers(self, peers: set[str]) -> set[str]:
        """Query peers and the daemons they know; return those that did not answer."""
        missing: set[str] = set()
        while peers:
            self._queried_peers |= peers
            missing |= await self._query_peers(peers)
            peers = self._known_peers - self._queried_peers
        return missing

    async def _query_peers(self, peers: set[str]) -> set[str]:
        """Add the claims that peers know; return the peers that did not answer."""
        answered: set[str] = set()

        async def query_peer(peer: str) -> None:
            claims = await self._collect_claims(peer)
            if claims is not None:
                self._add_claims(claims)
                answered.add(peer)

        async with anyio.create_task_group() as tasks:
            for peer in sorted(peers):
                tasks.start_soon(query_peer, peer)
        # The claims in the memory of a daemon that ended without answering are lost.
        return peers - answered

    async def _collect_claims(self, peer: str) -> list[Claim] | None:
        claims: list[Claim] = []
        after = b""
        while True:
            statement = await self._service.query(
                peer, self._partition.number, self.epoch, after, QUERY_TIMEOUT
            )
            if statement is None:
                return None
            self._outage_seen |= statement.outage_seen
            self._no_outage_confirmed |= statement.vouches
            self._known_peers |= set(statement.known)
            lost = timedelta(milliseconds=statement.lost_ms)
            self._inherited_lost_until = max(
                self._inherited_lost_until, self._clock.monotonic() + lost
            )
            claims += [self._service.claim_from_row(row) for row in statement.claims]
            if not statement.more:
                return claims
            after = statement.claims[-1].key_hash

    def _lost_until(self, missing: set[str]) -> timedelta:
        """Return until when unknown claims may exist; a past time means none do."""
        # A second daemon also knows the former holder's claims. After a clean
        # release, the former holder is alive and its answer alone is sufficient.
        former = self._partition.former
        if not self._partition.clean:
            missing = missing - {former}
        elif former not in missing:
            missing = set()
        until = self._inherited_lost_until
        if missing and not self._no_outage(missing):
            until = max(until, self._started_at + CLAIM_WINDOW)
        self._service.lost_until_by_partition[self._partition.number] = until
        return until

    def _no_outage(self, missing: set[str]) -> bool:
        """Return whether the missing daemons cannot hold claims absent from the store.

        This is so if a daemon that has watched the store for the whole window
        confirms that there was no outage, or if all missing daemons are gone.
        Other missing daemons may still answer and must be waited for.
        """
        if self._outage_seen or self._service.outage_tracker.outage_seen():
            return False
        if (
            self._no_outage_confirmed
            or self._service.outage_tracker.confirms_no_outage()
        ):
            return True
        return all(self._service.outage_tracker.is_gone(name) for name in missing)
