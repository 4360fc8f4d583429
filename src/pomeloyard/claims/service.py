"""Claim protocol between daemons: requesters, partition holders and recorders."""

from __future__ import annotations

import bisect
import itertools
from collections import defaultdict
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

import anyio
import logbook
from anyio.abc import TaskGroup

from ..allocation.partitions import partition_of
from ..clock import Clock
from ..errors import RefusedError
from ..fleet_state import FleetState
from ..keyvalue.store import Store
from ..outcomes import RefusalReason, Refused
from ..peers.calls import PeerCalls
from ..peers.messages import (
    ClaimQuery,
    ClaimRecord,
    ClaimRecorded,
    ClaimRelease,
    ClaimReply,
    ClaimRequest,
    ClaimRow,
    ClaimStatement,
)
from ..peers.streams import PeerNetwork
from .log import ClaimLog
from .outage_tracker import OutageTracker
from .table import RETRY_AFTER, Claim, ClaimTable
from .takeover import Takeover

CALL_TIMEOUT = timedelta(seconds=3)
"""Covers a store call that times out at the holder, and recording a claim."""

RECORD_TIMEOUT = timedelta(seconds=0.5)
MAX_RECORD_PEERS = 3
HOUSEKEEPING_INTERVAL = timedelta(seconds=0.5)
MAX_STATEMENT_CLAIMS = 4000
"""At less than 100 bytes per claim, a statement stays below the frame limit."""

log = logbook.Logger("pomeloyard.claims.table")


@dataclass(frozen=True, slots=True)
class ClaimTicket:
    """A granted claim; ``asked_at`` is in monotonic seconds."""

    partition: int
    key_hash: bytes
    attempt: int
    holder: str
    asked_at: float


@dataclass(frozen=True, slots=True)
class ExistingClaim:
    """The key was claimed before, by ``attempt`` of daemon ``runner``."""

    runner: str
    attempt: int


class ClaimService:
    """Grants claims for this daemon's partitions, and requests them from others."""

    def __init__(
        self,
        store: Store,
        clock: Clock,
        state: FleetState,
        network: PeerNetwork,
        calls: PeerCalls,
        incarnation: str,
    ) -> None:
        self._clock = clock
        self._state = state
        self._network = network
        self._calls = calls
        self.incarnation = incarnation
        self._attempts = itertools.count(1)
        self._tasks: TaskGroup | None = None
        self._fences_by_partition: dict[int, int] = defaultdict(int)
        self._takeovers_by_partition: dict[int, Takeover] = {}
        self.lost_until_by_partition: dict[int, timedelta] = {}
        """Monotonic time until which unknown claims of a partition may exist."""
        self.table = ClaimTable()
        self.recorded = ClaimTable()
        """Claims of other daemons' partitions that may not be in the store."""
        self.outage_tracker = OutageTracker(clock, state, network, incarnation)
        self.log = ClaimLog(
            store, clock, state, self.outage_tracker, self.table, incarnation
        )
        network.on(ClaimRequest, self._on_request)
        network.on(ClaimRelease, self._on_release)
        network.on(ClaimRecord, self._on_record)
        network.on(ClaimQuery, self._on_query)
        for reply in (ClaimReply, ClaimRecorded, ClaimStatement):
            calls.register_reply_type(reply)

    async def run(self) -> None:
        """Commit claims and follow the partition table until cancelled."""
        async with anyio.create_task_group() as self._tasks:
            self._tasks.start_soon(self.log.run)
            while True:
                self.apply_partition_table()
                self.table.expire(self._now())
                self.recorded.expire(self._now())
                self.log.maintain()
                await self._clock.sleep(HOUSEKEEPING_INTERVAL)

    async def close(self) -> None:
        """Commit unwritten claims before the partitions are released."""
        await self.log.commit()

    def apply_partition_table(self) -> None:
        """Apply the partition table: take over gained partitions, drop lost ones."""
        self.outage_tracker.update()
        table = self._state.partitions
        if table is None:
            return
        for number, takeover in list(self._takeovers_by_partition.items()):
            current = table.partitions[number]
            if (current.holder, current.epoch) != (self.incarnation, takeover.epoch):
                self._drop_partition(number)
        for number in table.partitions_held_by(self.incarnation):
            partition = table.partitions[number]
            stale = partition.epoch < self._fences_by_partition[number]
            if self._tasks is None or stale or number in self._takeovers_by_partition:
                continue
            takeover = Takeover(self, partition, self._clock)
            self._takeovers_by_partition[number] = takeover
            self._tasks.start_soon(takeover.run)

    def _drop_partition(self, partition: int) -> None:
        self._takeovers_by_partition.pop(partition).cancel()
        self.table.drop_partition(partition)
        self.log.close(partition)

    # Requesting claims.

    async def claim(
        self, key_hash: bytes, fingerprint: bytes
    ) -> ClaimTicket | ExistingClaim:
        """Claim a key for this daemon.

        RefusedError means that the request has certainly not run.
        """
        table = self._state.partitions
        if table is None:
            raise _unavailable("no partition table yet")
        number = partition_of(key_hash, len(table.partitions))
        partition = table.partitions[number]
        if not partition.holder:
            raise _unavailable("the key's partition has no holder")
        asked_at = self._now()
        attempt = next(self._attempts)
        ticket = ClaimTicket(number, key_hash, attempt, partition.holder, asked_at)
        try:
            reply = await self._request_claim(ticket, partition.epoch, fingerprint)
        except BaseException:
            self.release(ticket)
            raise
        if reply is not None and reply.result == "duplicate":
            return ExistingClaim(reply.holder, reply.attempt)
        if reply is not None and reply.result == "refused":
            reason = RefusalReason(reply.reason)
            retry = None if reason is RefusalReason.KEY_REUSED else RETRY_AFTER
            raise RefusedError(Refused(reason, reply.detail, retry))
        if reply is None or not self._accept_grant(ticket, reply, fingerprint):
            self.release(ticket)
            raise _unavailable("the key's holder did not grant the claim in time")
        return ticket

    async def _request_claim(
        self, ticket: ClaimTicket, epoch: int, fingerprint: bytes
    ) -> ClaimReply | None:
        def request(request_id: int) -> ClaimRequest:
            return ClaimRequest(
                request_id,
                ticket.partition,
                ticket.key_hash,
                fingerprint,
                max(epoch, self._latest_epoch(ticket.partition)),
                ticket.attempt,
            )

        if ticket.holder == self.incarnation:
            return await self.answer(self.incarnation, request(0))
        return await self._calls.call(ticket.holder, request, ClaimReply, CALL_TIMEOUT)

    def _accept_grant(
        self, ticket: ClaimTicket, reply: ClaimReply, fingerprint: bytes
    ) -> bool:
        """Record a grant that is not durable; reject one of an earlier epoch."""
        if reply.durable or ticket.holder == self.incarnation:
            return True
        if reply.epoch < self._latest_epoch(ticket.partition):
            return False
        claim = Claim(
            ticket.key_hash,
            fingerprint,
            self.incarnation,
            ticket.attempt,
            ticket.asked_at,
        )
        return self._record_claim(ticket.partition, claim)

    def release(self, ticket: ClaimTicket) -> None:
        """Release a claim whose request certainly did not run."""
        key, attempt = ticket.key_hash, ticket.attempt
        self.recorded.release(ticket.partition, key, self.incarnation, attempt)
        message = ClaimRelease(ticket.partition, key, attempt)
        if ticket.holder == self.incarnation:
            self._on_release(self.incarnation, message)
        else:
            self._network.send(ticket.holder, message)

    def release_lost_claim(self, key_hash: bytes, attempt: int) -> None:
        """Release a claim of this daemon whose grant or release message was lost."""
        table = self._state.partitions
        if table is None:
            return
        number = partition_of(key_hash, len(table.partitions))
        holder = table.partitions[number].holder
        self.release(ClaimTicket(number, key_hash, attempt, holder, 0.0))

    # Granting claims for partitions held by this daemon.

    async def answer(self, sender: str, request: ClaimRequest) -> ClaimReply:
        """Answer a claim request for a partition of this daemon."""
        number, request_id = request.partition, request.request_id
        epoch = self._open_epoch(number)
        if epoch is None or request.epoch > epoch:
            return _refusal(request_id, "not the open holder of the key's partition")
        claim = Claim(
            request.key_hash, request.fingerprint, sender, request.attempt, self._now()
        )
        earlier = self.table.try_claim(number, claim)
        if isinstance(earlier, Refused):
            reason = earlier.reason.value
            return ClaimReply(
                request_id, "refused", reason=reason, detail=earlier.detail
            )
        if earlier is not None:
            return ClaimReply(
                request_id, "duplicate", earlier.runner, attempt=earlier.attempt
            )
        durable = await self.log.write(number, claim)
        kept = durable or await self._replicate_in_memory(number, epoch, claim, sender)
        if kept and self.table.get(number, claim.key_hash) is claim:
            return ClaimReply(request_id, "granted", epoch=epoch, durable=durable)
        if self.table.release(number, claim.key_hash, sender, claim.attempt):
            self.log.discard_unwritten(number, claim.key_hash)
        return _refusal(request_id, "the claim could not be recorded")

    async def _replicate_in_memory(
        self, number: int, epoch: int, claim: Claim, sender: str
    ) -> bool:
        """Return whether a second daemon has recorded or will record the claim."""
        if self._open_epoch(number) != epoch:
            return False
        self.outage_tracker.announce_outage()
        if sender != self.incarnation:
            return True  # The requester records it before it runs the request.
        peers = self._network.connected()
        first = bisect.bisect(peers, self.incarnation)
        # Each daemon starts at a different peer, to spread the records.
        for peer in [*peers[first:], *peers[:first]][:MAX_RECORD_PEERS]:
            answer = await self._calls.call(
                peer,
                lambda i: ClaimRecord(i, number, epoch, self._claim_row(claim)),
                ClaimRecorded,
                RECORD_TIMEOUT,
            )
            if answer is not None and answer.recorded:
                return self._open_epoch(number) == epoch
        return False

    def has_unopened_partitions(self) -> bool:
        """Return whether any partition of this daemon cannot grant claims yet."""
        return not all(t.open for t in self._takeovers_by_partition.values())

    def _open_epoch(self, partition: int) -> int | None:
        """Return the epoch under which this daemon may grant claims, or None."""
        takeover = self._takeovers_by_partition.get(partition)
        if takeover is None or not takeover.open or not self.log.is_open(partition):
            return None
        return (
            takeover.epoch if takeover.epoch >= self._latest_epoch(partition) else None
        )

    def _latest_epoch(self, partition: int) -> int:
        """Return the latest epoch of a partition known to this daemon."""
        table = self._state.partitions
        known = table.partitions[partition].epoch if table is not None else 0
        return max(known, self._fences_by_partition[partition])

    # Recording claims for other daemons.

    def _record_claim(self, partition: int, claim: Claim) -> bool:
        self.outage_tracker.record_outage()
        earlier = self.recorded.get(partition, claim.key_hash)
        if earlier is not None:
            # The holder grants a key again only after the earlier claim's release.
            self.recorded.release(
                partition, earlier.key_hash, earlier.runner, earlier.attempt
            )
        return self.recorded.try_claim(partition, claim) is None

    def answer_record(self, message: ClaimRecord) -> ClaimRecorded:
        """Record another daemon's claim unless its epoch is outdated."""
        recorded = message.epoch >= self._latest_epoch(
            message.partition
        ) and self._record_claim(message.partition, self.claim_from_row(message.claim))
        return ClaimRecorded(message.request_id, recorded)

    def answer_query(self, message: ClaimQuery) -> ClaimStatement:
        """Return claims that may not be in the store, and fence off earlier epochs."""
        number = message.partition
        fence = max(self._fences_by_partition[number], message.epoch)
        self._fences_by_partition[number] = fence
        takeover = self._takeovers_by_partition.get(number)
        if takeover is not None and takeover.epoch < fence:
            self._drop_partition(number)
        unwritten = self.log.unwritten_by_partition.get(number, {})
        claims = {c.key_hash: c for c in self.recorded.claims(number)} | unwritten
        keys = sorted(key for key in claims if key > message.after)
        lost_until = self.lost_until_by_partition.get(number, timedelta(0))
        lost = max(timedelta(0), lost_until - self._clock.monotonic())
        return ClaimStatement(
            message.request_id,
            tuple(self._claim_row(claims[key]) for key in keys[:MAX_STATEMENT_CLAIMS]),
            len(keys) > MAX_STATEMENT_CLAIMS,
            self.outage_tracker.outage_seen(),
            round(lost.total_seconds() * 1000),
            self.outage_tracker.confirms_no_outage(),
            tuple(sorted(self.outage_tracker.known_daemons())),
        )

    # Used by takeovers.

    async def query(
        self, peer: str, partition: int, epoch: int, after: bytes, timeout: timedelta
    ) -> ClaimStatement | None:
        """Query a daemon for the claims that it knows."""
        return await self._calls.call(
            peer,
            lambda i: ClaimQuery(i, partition, epoch, after),
            ClaimStatement,
            timeout,
        )

    def claim_from_row(self, row: ClaimRow) -> Claim:
        """Return the claim in a row that another daemon sent."""
        granted_at = self._now() - row.age_ms / 1000
        return Claim(row.key_hash, row.fingerprint, row.runner, row.attempt, granted_at)

    def _claim_row(self, claim: Claim) -> ClaimRow:
        age_ms = max(0, round((self._now() - claim.granted_at) * 1000))
        return ClaimRow(
            claim.key_hash, claim.fingerprint, claim.runner, claim.attempt, age_ms
        )

    # Messages.

    def _on_request(self, sender: str, message: ClaimRequest) -> None:
        if self._tasks is not None:
            self._tasks.start_soon(self._reply, sender, message)

    async def _reply(self, sender: str, message: ClaimRequest) -> None:
        self._network.send(sender, await self.answer(sender, message))

    def _on_release(self, sender: str, message: ClaimRelease) -> None:
        number, key = message.partition, message.key_hash
        if self.table.release(number, key, sender, message.attempt) is not None:
            self.log.discard_unwritten(number, key)

    def _on_record(self, sender: str, message: ClaimRecord) -> None:
        self._network.send(sender, self.answer_record(message))

    def _on_query(self, sender: str, message: Any) -> None:
        self._network.send(sender, self.answer_query(message))

    def _now(self) -> float:
        return self._clock.monotonic().total_seconds()


def _unavailable(detail: str) -> RefusedError:
    return RefusedError(Refused(RefusalReason.CLAIM_UNAVAILABLE, detail, RETRY_AFTER))


def _refusal(request_id: int, detail: str) -> ClaimReply:
    reason = RefusalReason.CLAIM_UNAVAILABLE.value
    return ClaimReply(request_id, "refused", reason=reason, detail=detail)
