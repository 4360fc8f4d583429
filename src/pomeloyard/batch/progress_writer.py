"""Stores the progress of jobs, under the guard of the role's epoch."""

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
from .link import ExecutorLink, PlacedRun
from .progress import JobRun

MAX_TRANSACTION_ENTRIES = 30
"""The platform's store takes 32 in one transaction."""
MAX_GROUPS = 12
"""Writes at once. An outage is met by this many calls a retry; at a slow store's 0.4 s
they carry some 270 jobs a second."""
GATHER_TIME = timedelta(milliseconds=25)
"""Several times what the store usually takes for an answer."""
RETRY_DELAY = timedelta(milliseconds=80)
"""Pause after a store error; starts and acknowledgements wait for it."""

log = logbook.Logger("pomeloyard.batch.progress_writer")


Start = tuple[ExecutorLink, PlacedRun]


@dataclass(frozen=True, slots=True)
class RecordGroup:
    """Records that are stored in one transaction, and what may start then."""

    contents: tuple[tuple[JobRun, str, bytes], ...]
    """Each job with the key and the content of its record."""
    transaction: Transaction
    starts: tuple[Start, ...]


class ProgressWriter:
    """Writes changed run records in groups, each from its last revision on.

    A job has at most one write at a time. Answers that take long do not hold up the
    records of other jobs.
    """

    def __init__(self, clock: Clock, store: Store, guard: Compare) -> None:
        self._clock = clock
        self._store = store
        self._guard = guard
        self._dirty: dict[str, JobRun] = {}
        self._starts_by_job: dict[str, list[Start]] = defaultdict(list)
        self._changes = 0
        self._first_change: dict[str, int] = {}
        """Number of the first change of each job that no write contains yet."""
        self._writing: dict[str, int] = {}
        """The same for the jobs of the writes that have no answer."""
        self._groups = 0
        """Writes without an answer."""
        self._stored = anyio.Event()
        """Set and replaced whenever a write was answered."""
        self._gathered = anyio.Event()
        self._gathered.set()

    def mark(self, job: JobRun) -> None:
        """Note that a job has changed."""
        self._changes += 1
        self._dirty[job.job_id] = job
        self._first_change.setdefault(job.job_id, self._changes)

    def hold(self, starts: Iterable[Start]) -> None:
        """Keep starts until their assignments are durable."""
        for link, placed in starts:
            self._starts_by_job[placed.task.step.job.job_id].append((link, placed))

    @property
    def has_waiting(self) -> bool:
        """Tell whether a change is in no write yet."""
        return bool(self._dirty)

    def is_marked(self, job_id: str) -> bool:
        """Tell whether a change of a job is not durable yet."""
        return job_id in self._dirty or job_id in self._writing

    async def stored(self, job_ids: Collection[str]) -> None:
        """Return once the changes of some jobs before the call are durable."""
        target = self._changes
        while any(
            first <= target
            for changes in (self._first_change, self._writing)
            for job_id in job_ids
            if (first := changes.get(job_id)) is not None
        ):
            await self._stored.wait()

    async def gather(self) -> None:
        """Wait until the next group should be taken.

        While the store answers at once, changes of that time share the next write.
        """
        await self._gathered.wait()

    def take(self) -> list[RecordGroup]:
        """Return the groups to store now; each is passed to ``store``."""
        groups: list[list[JobRun]] = []
        room = 0
        for job in list(self._dirty.values()):
            if job.job_id in self._writing:
                continue
            cost = 3 if job.marker_stored and (job.begun or job.final) else 2
            if cost > room:
                if self._groups + len(groups) >= MAX_GROUPS:
                    break
                groups.append([])
                room = MAX_TRANSACTION_ENTRIES - 1
            groups[-1].append(job)
            room -= cost
            del self._dirty[job.job_id]
            self._writing[job.job_id] = self._first_change.pop(job.job_id)
        if groups:
            self._groups += len(groups)
            self._gathered = anyio.Event()
        return [self._group(jobs) for jobs in groups]

    def _group(self, jobs: Iterable[JobRun]) -> RecordGroup:
        compares = [self._guard]
        operations: list[Operation] = []
        contents: list[tuple[JobRun, str, bytes]] = []
        starts: list[Start] = []
        for job in jobs:
            key = layout.RUNS + job.job_id
            content = job.pack()
            compares.append(Compare(key, job.revision))
            operations.append(Put(key, content))
            contents.append((job, key, content))
            if job.marker_stored and (job.begun or job.final):
                marker = layout.waiting_prefix(job.record.queue) + job.job_id
                operations.append(Delete(marker))
                job.marker_stored = False
            starts.extend(self._starts_by_job.pop(job.job_id, ()))
        transaction = Transaction(tuple(compares), tuple(operations))
        return RecordGroup(tuple(contents), transaction, tuple(starts))

    async def end_gathering(self) -> None:
        """Let the next groups be taken though the last ones have no answer."""
        gathered = self._gathered
        await self._clock.sleep(GATHER_TIME)
        gathered.set()

    async def store(self, group: RecordGroup) -> bool:
        """Store a group; return False when the epoch was replaced."""
        if not await self._commit(group):
            return False
        for job, _, _ in group.contents:
            del self._writing[job.job_id]
        self._groups -= 1
        if not self._groups:
            self._gathered.set()
        self._stored.set()
        self._stored = anyio.Event()
        return True

    async def _commit(self, group: RecordGroup) -> bool:
        """Store the records of some jobs; return when they are durable.

        False: another term has replaced the epoch or a record.
        """
        lost = False
        while True:
            try:
                result = await self._store.commit(group.transaction)
            except StoreError as error:
                lost = lost or isinstance(error, StoreOutcomeUnknownError)
                log.info("progress is not stored yet: {}", error)
                await self._clock.sleep(RETRY_DELAY)
                continue
            if result.succeeded:
                for job, _, _ in group.contents:
                    job.revision = result.revision
                return True
            return lost and await self._read_back(group)

    async def _read_back(self, group: RecordGroup) -> bool:
        """Tell whether a write whose answer was lost has taken effect.

        One record tells for all of a transaction.
        """
        _, key, content = group.contents[0]
        while True:
            try:
                entry = await self._store.get(key)
            except StoreError as error:
                log.info("reading {} back: {}", key, error)
                await self._clock.sleep(RETRY_DELAY)
                continue
            break
        if entry is None or entry.value != content:
            return False
        for job, _, _ in group.contents:
            job.revision = entry.mod_revision
        return True
