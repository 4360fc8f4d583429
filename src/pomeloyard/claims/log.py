"""Durable claims: group commit of claim segments, fenced by the partition table."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import timedelta

import anyio
import logbook

from ..allocation.partitions import PartitionTable
from ..clock import Clock
from ..errors import StoreError, StoreOutcomeUnknownError
from ..fleet_state import FleetState
from ..keyvalue import layout
from ..keyvalue.records import read_record
from ..keyvalue.store import (
    MAX_OPERATIONS,
    Compare,
    Delete,
    Operation,
    Put,
    Store,
    Transaction,
    scan_all,
)
from .outage_tracker import OutageTracker
from .segments import (
    SegmentError,
    SegmentIndex,
    SegmentWrite,
    decode_segment,
    partition_prefix,
)
from .table import CLAIM_WINDOW, Claim, ClaimTable

COMMIT_INTERVAL = timedelta(milliseconds=40)
"""Minimum time between two transactions of one daemon.

Nine daemons then commit at most 225 transactions per second, below the several
hundred that the store can take.
"""

MAX_COMMIT_WAIT = timedelta(seconds=1.2)
"""Time after which an uncommitted claim is handled as in a store outage."""

RETRY_INTERVAL = timedelta(seconds=0.5)
COMMIT_ATTEMPTS = 3
MAX_UNCONFIRMED_DELETES = 16
"""Deletions per transaction of segments whose write was not confirmed."""

log = logbook.Logger("pomeloyard.claims.table")


@dataclass(eq=False)
class _Pending:
    partition: int
    claim: Claim
    completed: anyio.Event = field(default_factory=anyio.Event)
    durable: bool = False


class ClaimLog:
    """Commits the claims of the partitions that this daemon holds."""

    def __init__(
        self,
        store: Store,
        clock: Clock,
        state: FleetState,
        outage_tracker: OutageTracker,
        table: ClaimTable,
        incarnation: str,
    ) -> None:
        self._store = store
        self._clock = clock
        self._state = state
        self._outage_tracker = outage_tracker
        self._table = table
        self._incarnation = incarnation
        self._indexes_by_partition: dict[int, SegmentIndex] = {}
        self._pending: list[_Pending] = []
        self._waiting: set[_Pending] = set()
        self._unconfirmed_keys: list[str] = []
        self._commit_needed = anyio.Event()
        self._fence_revision = 0
        self._fence_table: PartitionTable | None = None
        self.unwritten_by_partition: dict[int, dict[bytes, Claim]] = {}
        """Claims granted from memory that may not be in the store yet."""
        self.store_down = False

    async def write(self, partition: int, claim: Claim) -> bool:
        """Make a claim durable; return False if this is not possible now.

        A claim that is not durable is kept as unwritten and committed when the
        store recovers, unless ``discard_unwritten`` is called.
        """
        if partition not in self._indexes_by_partition:
            return False
        if not self.store_down:
            pending = _Pending(partition, claim)
            self._pending.append(pending)
            self._commit_needed.set()
            self._waiting.add(pending)
            try:
                await pending.completed.wait()
            finally:
                self._waiting.discard(pending)
            if pending.durable:
                return True
            self._outage_tracker.record_outage()
        if self._table.get(partition, claim.key_hash) is not claim:
            return False  # The claim was released in the meantime.
        unwritten = self.unwritten_by_partition.setdefault(partition, {})
        unwritten[claim.key_hash] = claim
        self._commit_needed.set()
        return False

    def discard_unwritten(self, partition: int, key_hash: bytes) -> None:
        """Discard an unwritten claim that was not granted or was released."""
        self.unwritten_by_partition.get(partition, {}).pop(key_hash, None)

    async def open(self, partition: int, epoch: int) -> list[Claim]:
        """Read a partition's claims and accept writes to it; raises StoreError."""
        page = await scan_all(self._store, partition_prefix(partition))
        index = SegmentIndex(partition, epoch)
        offset = self._clock_offset()
        claims: list[Claim] = []
        for entry in page.entries:
            try:
                segment, rows = decode_segment(entry, offset)
            except SegmentError as error:
                log.error("ignoring malformed claim segment: {}", error)
                continue
            index.segments.append(segment)
            claims += rows
        self._indexes_by_partition[partition] = index
        horizon = self._now() - CLAIM_WINDOW.total_seconds()
        claims += self.unwritten_by_partition.get(partition, {}).values()
        return [claim for claim in claims if claim.granted_at > horizon]

    def add_unwritten(self, partition: int, claims: Iterable[Claim]) -> None:
        """Queue claims recorded by other daemons for writing, as the table has them."""
        unwritten = self.unwritten_by_partition.setdefault(partition, {})
        for claim in claims:
            known = self._table.get(partition, claim.key_hash)
            if known is not None:
                unwritten[claim.key_hash] = known
        self._commit_needed.set()

    def is_open(self, partition: int) -> bool:
        """Return whether the partition is open and not known to be lost."""
        return partition in self._indexes_by_partition

    def close(self, partition: int) -> None:
        """Stop writing to a partition; its unwritten claims are kept."""
        self._indexes_by_partition.pop(partition, None)

    def maintain(self) -> None:
        """Trigger a commit, which also deletes expired segments.

        Claims that have waited too long are handled as in a store outage.
        """
        self._commit_needed.set()
        horizon = self._now() - MAX_COMMIT_WAIT.total_seconds()
        for pending in self._waiting:
            if pending.claim.granted_at < horizon:
                self.record_outage("commit of a claim timed out")
                pending.completed.set()

    async def run(self) -> None:
        """Commit pending claims in groups until cancelled."""
        while True:
            await self._commit_needed.wait()
            self._commit_needed = anyio.Event()
            await self.commit()
            down = self.store_down
            await self._clock.sleep(RETRY_INTERVAL if down else COMMIT_INTERVAL)
            if down or self._pending:
                self._commit_needed.set()

    async def commit(self) -> None:
        """Commit all pending and unwritten claims in one transaction."""
        batch, self._pending = self._pending, []
        self._drop_expired()
        try:
            durable = await self._commit_batch(batch)
        except StoreError as error:
            self.record_outage(str(error))
            durable = set()
        except BaseException:
            self._complete(batch, set())
            raise
        self._complete(batch, durable)

    def record_outage(self, reason: str) -> None:
        """Record that the store is unavailable."""
        if not self.store_down:
            log.warning("store unavailable, granting claims from memory: {}", reason)
        self.store_down = True
        self._outage_tracker.record_outage()

    def _complete(self, batch: list[_Pending], durable: set[int]) -> None:
        for pending in batch:
            pending.durable = pending.partition in durable
            pending.completed.set()

    async def _commit_batch(self, batch: list[_Pending]) -> set[int]:
        """Return the partitions whose claims were written."""
        for _ in range(COMMIT_ATTEMPTS):
            fence = self._refresh_fence()
            writes = self._plan(batch)
            unconfirmed_keys = self._unconfirmed_keys[:MAX_UNCONFIRMED_DELETES]
            transaction = self._transaction(writes, unconfirmed_keys, fence)
            if not transaction.operations:
                if self.store_down:
                    await self._read_fence()
                    self.store_down = False
                return set()
            if await self._apply(transaction):
                self._record_written(writes, unconfirmed_keys)
                return set(writes)
            await self._read_fence()
        return set()

    def _plan(self, batch: list[_Pending]) -> dict[int, SegmentWrite]:
        new: dict[int, list[Claim]] = {}
        for partition, claims in self.unwritten_by_partition.items():
            new[partition] = list(claims.values())
        for pending in batch:
            new.setdefault(pending.partition, []).append(pending.claim)
        writes: dict[int, SegmentWrite] = {}
        operations = MAX_UNCONFIRMED_DELETES
        for partition, index in self._indexes_by_partition.items():
            write = index.plan_write(
                self._table, new.get(partition, []), self._now(), self._clock_offset()
            )
            size = len(write.put) + len(write.delete)
            if size and operations + size <= MAX_OPERATIONS:
                operations += size
                writes[partition] = write
        return writes

    def _transaction(
        self, writes: dict[int, SegmentWrite], unconfirmed_keys: list[str], fence: int
    ) -> Transaction:
        operations: list[Operation] = [Delete(key) for key in unconfirmed_keys]
        compares = [Compare(layout.PARTITIONS, fence)]
        for write in writes.values():
            for segment, value in write.put:
                compares.append(Compare(segment.key, 0))
                operations.append(Put(segment.key, value))
            operations += [Delete(segment.key) for segment in write.delete]
        return Transaction(tuple(compares), tuple(operations))

    async def _apply(self, transaction: Transaction) -> bool:
        """Commit; the segments' unique keys resolve an unknown outcome."""
        unknown_outcome: StoreOutcomeUnknownError | None = None
        puts = [op.key for op in transaction.operations if isinstance(op, Put)]
        try:
            for _ in range(COMMIT_ATTEMPTS):
                try:
                    result = await self._store.commit(transaction)
                except StoreOutcomeUnknownError as error:
                    unknown_outcome = error
                    continue
                if result.succeeded:
                    return True
                # Only this daemon writes these keys: their presence proves the write.
                return bool(unknown_outcome and puts and await self._store.get(puts[0]))
            raise unknown_outcome or StoreOutcomeUnknownError("claims")
        except StoreError:
            if unknown_outcome is not None:
                self._unconfirmed_keys += puts
            raise

    def _record_written(
        self, writes: dict[int, SegmentWrite], unconfirmed_keys: list[str]
    ) -> None:
        self.store_down = False
        self._unconfirmed_keys = [
            key for key in self._unconfirmed_keys if key not in unconfirmed_keys
        ]
        for partition, write in writes.items():
            index = self._indexes_by_partition.get(partition)
            if index is not None:
                index.apply_write(write)
            if write.put:
                self._discard_written(partition, write)

    def _discard_written(self, partition: int, write: SegmentWrite) -> None:
        unwritten = self.unwritten_by_partition.get(partition, {})
        for claim in write.claims:
            if unwritten.get(claim.key_hash) is claim:
                del unwritten[claim.key_hash]

    def _refresh_fence(self) -> int:
        """Return the table revision to compare with; close partitions that were lost.

        Revision and table must belong together: a commit that succeeds at this
        revision proves that this daemon held the partitions when it took effect.
        """
        if self._state.partitions_revision >= self._fence_revision:
            self._fence_revision = self._state.partitions_revision
            self._fence_table = self._state.partitions
        for partition, index in list(self._indexes_by_partition.items()):
            table = self._fence_table
            current = table.partitions[partition] if table is not None else None
            expected = (self._incarnation, index.epoch)
            if current is None or (current.holder, current.epoch) != expected:
                self.close(partition)
        return self._fence_revision

    async def _read_fence(self) -> None:
        """Read the partition table from the store for a newer revision."""
        record = await read_record(self._store, layout.PARTITIONS, PartitionTable)
        if record is not None and record.mod_revision > self._fence_revision:
            self._fence_revision = record.mod_revision
            self._fence_table = record.value

    def _drop_expired(self) -> None:
        horizon = self._now() - CLAIM_WINDOW.total_seconds()
        for claims in self.unwritten_by_partition.values():
            for key in [k for k, c in claims.items() if c.granted_at <= horizon]:
                del claims[key]

    def _now(self) -> float:
        return self._clock.monotonic().total_seconds()

    def _clock_offset(self) -> float:
        return self._clock.now().timestamp() - self._now()
