"""Durable claims: group commits of claim segments, fenced by the partition table."""

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
from .segments import (
    SegmentError,
    SegmentIndex,
    SegmentWrite,
    decode_segment,
    partition_prefix,
)
from .table import CLAIM_WINDOW, Claim, ClaimTable
from .watch import ClaimWatch

COMMIT_INTERVAL = timedelta(milliseconds=40)
"""Shortest time between two transactions of one daemon.

Nine daemons then write at most 225 times per second, less than the store's
several hundred.
"""

MAX_WAIT = timedelta(seconds=1.2)
"""Time after which a claim is treated as if the store were down."""

RETRY_INTERVAL = timedelta(seconds=0.5)
COMMIT_ATTEMPTS = 3
DOUBTFUL_DELETES = 16
"""Deletions, in one transaction, of segments whose write was not confirmed."""

log = logbook.Logger("pomeloyard.claims.table")


@dataclass(eq=False)
class _Pending:
    partition: int
    claim: Claim
    settled: anyio.Event = field(default_factory=anyio.Event)
    durable: bool = False


class ClaimLog:
    """Writes the claims of the partitions that this daemon holds."""

    def __init__(
        self,
        store: Store,
        clock: Clock,
        state: FleetState,
        watch: ClaimWatch,
        table: ClaimTable,
        incarnation: str,
    ) -> None:
        self._store = store
        self._clock = clock
        self._state = state
        self._watch = watch
        self._table = table
        self._incarnation = incarnation
        self._indexes_by_partition: dict[int, SegmentIndex] = {}
        self._pending: list[_Pending] = []
        self._waiting: set[_Pending] = set()
        self._doubtful: list[str] = []
        self._wanted = anyio.Event()
        self._fence_revision = 0
        self._fence_table: PartitionTable | None = None
        self.unwritten_by_partition: dict[int, dict[bytes, Claim]] = {}
        """Claims granted from memory that the store may not hold yet."""
        self.store_down = False

    async def write(self, partition: int, claim: Claim) -> bool:
        """Make a claim durable; return False if the store cannot at present.

        A claim that is not durable stays among the unwritten ones, and is
        written when the store recovers, unless ``forget`` is called.
        """
        if partition not in self._indexes_by_partition:
            return False
        if not self.store_down:
            pending = _Pending(partition, claim)
            self._pending.append(pending)
            self._wanted.set()
            self._waiting.add(pending)
            try:
                await pending.settled.wait()
            finally:
                self._waiting.discard(pending)
            if pending.durable:
                return True
            self._watch.note_outage()
        if self._table.get(partition, claim.key_hash) is not claim:
            return False  # It was released meanwhile.
        unwritten = self.unwritten_by_partition.setdefault(partition, {})
        unwritten[claim.key_hash] = claim
        self._wanted.set()
        return False

    def forget(self, partition: int, key_hash: bytes) -> None:
        """Drop a claim that was not granted or was released."""
        self.unwritten_by_partition.get(partition, {}).pop(key_hash, None)

    async def open(self, partition: int, epoch: int) -> list[Claim]:
        """Read a partition's claims and start writing it; raises StoreError."""
        page = await scan_all(self._store, partition_prefix(partition))
        index = SegmentIndex(partition, epoch)
        offset = self._clock_offset()
        claims: list[Claim] = []
        for entry in page.entries:
            try:
                segment, rows = decode_segment(entry, offset)
            except SegmentError as error:
                log.error("claim segment ignored: {}", error)
                continue
            index.segments.append(segment)
            claims += rows
        self._indexes_by_partition[partition] = index
        horizon = self._now() - CLAIM_WINDOW.total_seconds()
        claims += self.unwritten_by_partition.get(partition, {}).values()
        return [claim for claim in claims if claim.granted_at > horizon]

    def adopt(self, partition: int, claims: Iterable[Claim]) -> None:
        """Write claims that other daemons have recorded, as the table has them."""
        unwritten = self.unwritten_by_partition.setdefault(partition, {})
        for claim in claims:
            entered = self._table.get(partition, claim.key_hash)
            if entered is not None:
                unwritten[claim.key_hash] = entered
        self._wanted.set()

    def holds(self, partition: int) -> bool:
        """Tell whether the partition is open and not known to be lost."""
        return partition in self._indexes_by_partition

    def close(self, partition: int) -> None:
        """Stop writing a partition; its unwritten claims stay known."""
        self._indexes_by_partition.pop(partition, None)

    def keep_up(self) -> None:
        """Write unwritten claims and delete expired segments soon.

        Claims that have waited too long are handled as if the store were down.
        """
        self._wanted.set()
        horizon = self._now() - MAX_WAIT.total_seconds()
        for pending in self._waiting:
            if pending.claim.granted_at < horizon:
                self.note_outage("no answer in time")
                pending.settled.set()

    async def run(self) -> None:
        """Commit waiting claims in groups until cancelled."""
        while True:
            await self._wanted.wait()
            self._wanted = anyio.Event()
            await self.commit()
            down = self.store_down
            await self._clock.sleep(RETRY_INTERVAL if down else COMMIT_INTERVAL)
            if down or self._pending:
                self._wanted.set()

    async def commit(self) -> None:
        """Write all waiting and unwritten claims in one transaction."""
        batch, self._pending = self._pending, []
        self._drop_expired()
        try:
            durable = await self._commit_batch(batch)
        except StoreError as error:
            self.note_outage(str(error))
            durable = set()
        except BaseException:
            self._settle(batch, set())
            raise
        self._settle(batch, durable)

    def note_outage(self, reason: str) -> None:
        """Note that the store does not answer."""
        if not self.store_down:
            log.warning("claims are granted from memory: {}", reason)
        self.store_down = True
        self._watch.note_outage()

    def _settle(self, batch: list[_Pending], durable: set[int]) -> None:
        for pending in batch:
            pending.durable = pending.partition in durable
            pending.settled.set()

    async def _commit_batch(self, batch: list[_Pending]) -> set[int]:
        """Return the partitions whose claims were written."""
        for _ in range(COMMIT_ATTEMPTS):
            fence = self._fence()
            writes = self._plan(batch)
            doubtful = self._doubtful[:DOUBTFUL_DELETES]
            transaction = self._transaction(writes, doubtful, fence)
            if not transaction.operations:
                if self.store_down:
                    await self._read_fence()
                    self.store_down = False
                return set()
            if await self._apply(transaction):
                self._applied(writes, doubtful)
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
        operations = DOUBTFUL_DELETES
        for partition, index in self._indexes_by_partition.items():
            write = index.plan(
                self._table, new.get(partition, []), self._now(), self._clock_offset()
            )
            size = len(write.put) + len(write.delete)
            if size and operations + size <= MAX_OPERATIONS:
                operations += size
                writes[partition] = write
        return writes

    def _transaction(
        self, writes: dict[int, SegmentWrite], doubtful: list[str], fence: int
    ) -> Transaction:
        operations: list[Operation] = [Delete(key) for key in doubtful]
        compares = [Compare(layout.PARTITIONS, fence)]
        for write in writes.values():
            for segment, value in write.put:
                compares.append(Compare(segment.key, 0))
                operations.append(Put(segment.key, value))
            operations += [Delete(segment.key) for segment in write.delete]
        return Transaction(tuple(compares), tuple(operations))

    async def _apply(self, transaction: Transaction) -> bool:
        """Commit; a lost answer is resolved by the segments' unique keys."""
        lost: StoreOutcomeUnknownError | None = None
        puts = [op.key for op in transaction.operations if isinstance(op, Put)]
        try:
            for _ in range(COMMIT_ATTEMPTS):
                try:
                    result = await self._store.commit(transaction)
                except StoreOutcomeUnknownError as error:
                    lost = error
                    continue
                if result.succeeded:
                    return True
                # The keys are this daemon's own, so their presence is the proof.
                return bool(lost and puts and await self._store.get(puts[0]))
            raise lost or StoreOutcomeUnknownError("claims")
        except StoreError:
            if lost is not None:
                self._doubtful += puts
            raise

    def _applied(self, writes: dict[int, SegmentWrite], doubtful: list[str]) -> None:
        self.store_down = False
        self._doubtful = [key for key in self._doubtful if key not in doubtful]
        for partition, write in writes.items():
            index = self._indexes_by_partition.get(partition)
            if index is not None:
                index.applied(write)
            if write.put:
                self._forget_written(partition, write)

    def _forget_written(self, partition: int, write: SegmentWrite) -> None:
        unwritten = self.unwritten_by_partition.get(partition, {})
        for claim in write.claims:
            if unwritten.get(claim.key_hash) is claim:
                del unwritten[claim.key_hash]

    def _fence(self) -> int:
        """Return the table revision to write under; close what it took away.

        The revision and the table must belong together: a commit that succeeds
        at this revision proves that the partitions were held when it took effect.
        """
        if self._state.partitions_revision >= self._fence_revision:
            self._fence_revision = self._state.partitions_revision
            self._fence_table = self._state.partitions
        for partition, index in list(self._indexes_by_partition.items()):
            table = self._fence_table
            current = table.partitions[partition] if table is not None else None
            mine = (self._incarnation, index.epoch)
            if current is None or (current.holder, current.epoch) != mine:
                self.close(partition)
        return self._fence_revision

    async def _read_fence(self) -> None:
        """Read the partition table, which another daemon has changed."""
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
