"""Stored form of learned run times; its reader and writer in a term."""

from __future__ import annotations

from datetime import timedelta
from urllib.parse import quote, unquote

import logbook
import msgspec

from ..clock import Clock
from ..keyvalue.store import Entry, Store
from . import layout
from .fenced_records import FencedRecords
from .job_reload import scan_with_retries
from .run_times import MAX_QUEUES, QueueRunTimes, RunTimes

WRITE_INTERVAL = timedelta(seconds=1)
"""Time between two writes of all queues together."""
QUEUE_WRITE_INTERVAL = timedelta(seconds=5)
"""Time between two writes of one queue; a lost record costs what was learned since."""
MAX_RECORD_BYTES = 4096

log = logbook.Logger("pomeloyard.batch.run_time_records")


class _StoredDistribution(msgspec.Struct, frozen=True, array_like=True):
    count: int
    points: list[float]


class _StoredQueue(msgspec.Struct, frozen=True):
    """Fields that a later build adds are ignored, and kept by none: it is rewritten."""

    distributions: list[_StoredDistribution]


def encode(known: QueueRunTimes) -> bytes:
    """Encode what is known about a queue."""
    stored = []
    for distribution in known.distributions():
        summary = distribution.summary()
        points = [float(f"{point:.4g}") for point in summary.points]
        stored.append(_StoredDistribution(summary.count, points))
    return msgspec.msgpack.encode(_StoredQueue(stored))


def restore(known: QueueRunTimes, content: bytes) -> None:
    """Add a stored record to what is known; raises msgspec.MsgspecError."""
    stored = msgspec.msgpack.decode(content, type=_StoredQueue)
    pairs = zip(known.distributions(), stored.distributions, strict=False)
    for distribution, record in pairs:
        distribution.restore(record.count, record.points)


def key_of(queue: str) -> str:
    """Return the store key of a queue's record.

    >>> key_of("a/b")
    'b/run-times/a%2Fb'
    """
    return layout.RUN_TIMES + quote(queue, safe="")


class RunTimeRecords:
    """Loads what earlier terms learned, and stores what this one learns."""

    def __init__(
        self, clock: Clock, store: Store, records: FencedRecords, run_times: RunTimes
    ) -> None:
        self._clock = clock
        self._store = store
        self._records = records
        self._run_times = run_times
        self._written_at: dict[str, timedelta] = {}
        self._written_observations: dict[str, int] = {}

    async def run(self) -> None:
        """Load the records, then store changes until the epoch is replaced."""
        page = await scan_with_retries(self._clock, self._store, layout.RUN_TIMES)
        self._load(page.entries)
        while True:
            await self._clock.sleep(WRITE_INTERVAL)
            queue = self._next_to_write()
            if queue is not None and not await self._write(queue):
                return

    def _load(self, entries: tuple[Entry, ...]) -> None:
        latest = sorted(entries, key=lambda entry: entry.mod_revision)[-MAX_QUEUES:]
        for entry in latest:
            queue = unquote(entry.key.removeprefix(layout.RUN_TIMES))
            try:
                restore(self._run_times.queue(queue), entry.value)
            except (msgspec.MsgspecError, TypeError, ValueError) as error:
                log.warning("run times of {} are ignored: {!r}", queue, error)
        log.info("loaded the run times of {} queues", len(latest))

    def _next_to_write(self) -> str | None:
        """Return the queue with the oldest write among those with news, or None."""
        now = self._clock.monotonic()
        due = [
            queue
            for queue, known in self._run_times.queues().items()
            # Fewer than were written if the queue was dropped and came back.
            if known.observations != self._written_observations.get(queue, 0)
            and now - self._written_at.get(queue, -QUEUE_WRITE_INTERVAL)
            >= QUEUE_WRITE_INTERVAL
        ]
        return min(
            due, key=lambda q: self._written_at.get(q, timedelta.min), default=None
        )

    async def _write(self, queue: str) -> bool:
        known = self._run_times.queue(queue)
        observations = known.observations
        content = encode(known)
        self._written_at[queue] = self._clock.monotonic()
        if len(content) > MAX_RECORD_BYTES:
            log.error("run times of {} take {} bytes", queue, len(content))
            return True
        if not await self._records.write(key_of(queue), content):
            return False
        self._written_observations[queue] = observations
        return True
