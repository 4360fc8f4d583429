"""Batches and stores the progress of jobs, conditional on the role's epoch."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Collection, Iterable
from dataclasses import dataclass
from datetime import timedelta

import anyio
import logbook

from ..clock import Clock
from ..errors import StoreError, StoreOutcomeUnknownError
from ..keyvalue.store import Compare, Delete, Operation, Put, Store, Transaction
from . import layout
from .progress import JobRun
from .start_queue import PendingStart

MAX_TRANSACTION_ENTRIES = 30
"""The platform's store accepts 32 entries in one transaction."""
MAX_MARKERS = 29
"""Markers deleted in one transaction."""
MAX_CONCURRENT_WRITES = 12
"""Limits the calls per retry during an outage; with a slow store that takes 0.4 s for
an answer these writes store some 270 jobs per second."""
BATCHING_DELAY = timedelta(milliseconds=25)
"""Several times the usual latency of the store."""
LARGE_RECORD_BYTES = 16 * 1024
"""Records of this size are written one at a time. A job of 20,000 tasks has a record of
over 100 kB, which takes a quarter of a second on a link of 5 Mbit/s; several at once
would delay the renewals of the role's lease."""
RETRY_DELAY = timedelta(milliseconds=80)
"""Pause after a store error; kept short as starts and acknowledgements wait for it."""

log = logbook.Logger("pomeloyard.batch.progress_writer")


@dataclass(frozen=True, slots=True)
class RecordGroup:
    """Records to store in one transaction, and the runs to start afterwards."""

    contents: tuple[tuple[JobRun, str, bytes], ...]
    """Job, key and content of each record."""
    transaction: Transaction
    starts: tuple[PendingStart, ...]


class ProgressWriter:
    """Writes changed run records in groups, each compared with its last revision.

    A job has at most one write in flight. A slow write does not delay the records of
    other jobs.
    """

    def __init__(self, clock: Clock, store: Store, guard: Compare) -> None:
        self._clock = clock
        self._store = store
        self._guard = guard
        self._unwritten_by_id: dict[str, JobRun] = {}
        self._begun_by_id: dict[str, JobRun] = {}
        """Jobs that have begun and whose marker may still be stored."""
        self._starts_by_job: dict[str, list[PendingStart]] = defaultdict(list)
        self._change_count = 0
        self._unwritten_since_by_id: dict[str, int] = {}
        """Sequence number of each job's first change that no write contains yet."""
        self._in_flight_since_by_id: dict[str, int] = {}
        """Likewise for the jobs whose write is in flight."""
        self._large_write_in_flight: str | None = None
        """Id of the job whose large record is being written."""
        self.writes_in_flight = 0
        self.writes_done = 0
        """Writes that succeeded."""
        self._write_finished = anyio.Event()
        """Set and replaced whenever a write succeeded."""
        self._batching_ended = anyio.Event()
        self._batching_ended.set()

    def mark_changed(self, job: JobRun) -> None:
        """Schedule a changed job to be written."""
        self._change_count += 1
        self._unwritten_by_id[job.job_id] = job
        self._unwritten_since_by_id.setdefault(job.job_id, self._change_count)

    def mark_begun(self, job: JobRun) -> None:
        """Schedule the marker of a job that has begun to be deleted.

        It is deleted with the next record of the job or by ``delete_markers``.
        """
        if job.waiting_marker_stored:
            self._begun_by_id[job.job_id] = job

    async def delete_markers(self) -> None:
        """Delete the markers of jobs that have begun; failed ones stay scheduled."""
        jobs = [job for job in self._begun_by_id.values() if job.waiting_marker_stored]
        self._begun_by_id.clear()
        for start in range(0, len(jobs), MAX_MARKERS):
            group = jobs[start : start + MAX_MARKERS]
            deletions = tuple(Delete(_marker_of(job)) for job in group)
            try:
                await self._store.commit(Transaction((self._guard,), deletions))
            except StoreError as error:
                log.info("{} markers were not deleted: {}", len(group), error)
                self._begun_by_id.update((job.job_id, job) for job in group)
                continue
            for job in group:
                job.waiting_marker_stored = False

    def defer_starts(self, starts: Iterable[PendingStart]) -> None:
        """Defer starts until their assignments are durable."""
        for link, placed in starts:
            self._starts_by_job[placed.task.step.job.job_id].append((link, placed))

    @property
    def has_unwritten_changes(self) -> bool:
        """Tell whether any change is not part of a write yet."""
        return bool(self._unwritten_by_id)

    def has_undurable_changes(self, job_id: str) -> bool:
        """Tell whether a job has changes that are not durable yet."""
        return job_id in self._unwritten_by_id or job_id in self._in_flight_since_by_id

    async def wait_until_durable(self, job_ids: Collection[str]) -> None:
        """Return once all changes to the given jobs before the call are durable."""
        target = self._change_count
        while any(
            first <= target
            for changes in (self._unwritten_since_by_id, self._in_flight_since_by_id)
            for job_id in job_ids
            if (first := changes.get(job_id)) is not None
        ):
            await self._write_finished.wait()

    async def wait_for_batching(self) -> None:
        """Wait until the next groups should be taken.

        Changes made while a write is in flight, but for ``BATCHING_DELAY`` at most,
        share the next write.
        """
        await self._batching_ended.wait()

    def take_groups(self) -> list[RecordGroup]:
        """Return the groups to pass to ``store_group`` now."""
        groups: list[list[JobRun]] = []
        free_entries = 0
        for job in list(self._unwritten_by_id.values()):
            if job.job_id in self._in_flight_since_by_id:
                continue
            large = job.record_bytes >= LARGE_RECORD_BYTES
            if large and self._large_write_in_flight is not None:
                continue
            cost = 3 if job.has_suspicions else 2
            if job.waiting_marker_stored and (job.begin_confirmed or job.final):
                cost += 1
            if cost > free_entries:
                if self.writes_in_flight + len(groups) >= MAX_CONCURRENT_WRITES:
                    break
                groups.append([])
                free_entries = MAX_TRANSACTION_ENTRIES - 1
            if large:
                self._large_write_in_flight = job.job_id
            groups[-1].append(job)
            free_entries -= cost
            del self._unwritten_by_id[job.job_id]
            self._in_flight_since_by_id[job.job_id] = self._unwritten_since_by_id.pop(
                job.job_id
            )
        if groups:
            self.writes_in_flight += len(groups)
            self._batching_ended = anyio.Event()
        return [self._build_group(jobs) for jobs in groups]

    def _build_group(self, jobs: Iterable[JobRun]) -> RecordGroup:
        compares = [self._guard]
        operations: list[Operation] = []
        contents: list[tuple[JobRun, str, bytes]] = []
        starts: list[PendingStart] = []
        for job in jobs:
            key = layout.RUNS + job.job_id
            content = job.encode()
            job.record_bytes = len(content)
            compares.append(Compare(key, job.revision))
            operations.append(Put(key, content))
            contents.append((job, key, content))
            if job.has_suspicions:
                crashes = job.encode_crashes()
                operations.append(Put(layout.CRASHES + job.job_id, crashes))
            if job.waiting_marker_stored and (job.begin_confirmed or job.final):
                operations.append(Delete(_marker_of(job)))
                job.waiting_marker_stored = False
            starts.extend(self._starts_by_job.pop(job.job_id, ()))
        transaction = Transaction(tuple(compares), tuple(operations))
        return RecordGroup(tuple(contents), transaction, tuple(starts))

    async def end_batching(self) -> None:
        """Allow the next groups after ``BATCHING_DELAY``, even if writes are slow."""
        batching_ended = self._batching_ended
        await self._clock.sleep(BATCHING_DELAY)
        batching_ended.set()

    async def store_group(self, group: RecordGroup) -> bool:
        """Store a group of records and update the bookkeeping.

        Returns False if another term replaced the epoch or a record.
        """
        if not await self._commit(group):
            return False
        for job, _, _ in group.contents:
            del self._in_flight_since_by_id[job.job_id]
            if job.job_id == self._large_write_in_flight:
                self._large_write_in_flight = None
        self.writes_in_flight -= 1
        self.writes_done += 1
        if not self.writes_in_flight:
            self._batching_ended.set()
        self._write_finished.set()
        self._write_finished = anyio.Event()
        return True

    async def _commit(self, group: RecordGroup) -> bool:
        """Commit a group, retrying until it is durable.

        Returns False if another term replaced the epoch or a record.
        """
        outcome_unknown = False
        while True:
            try:
                result = await self._store.commit(group.transaction)
            except StoreError as error:
                outcome_unknown = outcome_unknown or isinstance(
                    error, StoreOutcomeUnknownError
                )
                log.info("storing job progress failed, retrying: {}", error)
                await self._clock.sleep(RETRY_DELAY)
                continue
            if result.succeeded:
                for job, _, _ in group.contents:
                    job.revision = result.revision
                return True
            return outcome_unknown and await self._read_back(group)

    async def _read_back(self, group: RecordGroup) -> bool:
        """Tell whether a write whose answer was lost took effect.

        Transactions are atomic, so one record is enough to check.
        """
        _, key, content = group.contents[0]
        while True:
            try:
                entry = await self._store.get(key)
            except StoreError as error:
                log.info("reading back {} failed, retrying: {}", key, error)
                await self._clock.sleep(RETRY_DELAY)
                continue
            break
        if entry is None or entry.value != content:
            return False
        for job, _, _ in group.contents:
            job.revision = entry.mod_revision
        return True


def _marker_of(job: JobRun) -> str:
    return layout.waiting_prefix(job.record.queue) + job.job_id
