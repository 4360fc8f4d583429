"""Stores the progress of jobs, under the guard of the role's epoch."""

from __future__ import annotations

from datetime import timedelta

import anyio
import logbook

from ..clock import Clock
from ..errors import StoreError, StoreOutcomeUnknownError
from ..keyvalue.store import Compare, Delete, Operation, Put, Store, Transaction
from . import layout
from .progress import JobRun

MAX_TRANSACTION_ENTRIES = 30
"""The platform's store takes 32 in one transaction."""
RETRY_DELAY = timedelta(milliseconds=80)
"""Pause after a store error; starts and acknowledgements wait for it."""

log = logbook.Logger("pomeloyard.batch.progress_writer")


class ProgressWriter:
    """Writes changed run records in groups, each from its last revision on."""

    def __init__(self, clock: Clock, store: Store, guard: Compare) -> None:
        self._clock = clock
        self._store = store
        self._guard = guard
        self._dirty: dict[str, JobRun] = {}
        self._stored = anyio.Event()
        self._changes = 0
        """Changes of progress so far; those up to ``_changes_stored`` are durable."""
        self._changes_stored = 0

    def mark(self, job: JobRun) -> None:
        """Note that a job has changed."""
        self._dirty[job.job_id] = job
        self._changes += 1

    def is_marked(self, job_id: str) -> bool:
        """Tell whether a change of a job is not durable yet."""
        return job_id in self._dirty

    async def changes_stored(self) -> None:
        """Return once all changes before the call are durable."""
        target = self._changes
        while self._changes_stored < target:
            await self._stored.wait()

    async def flush(self) -> bool:
        """Store all changed jobs; return False when the epoch was replaced."""
        changed = list(self._dirty.values())
        self._dirty = {}
        changes = self._changes
        stored: list[bool] = []

        async def commit(group: list[JobRun]) -> None:
            stored.append(await self._commit(group))

        # At once, as a slow store takes as long for one as for all of a peak.
        async with anyio.create_task_group() as tasks:
            for group in _groups(changed):
                tasks.start_soon(commit, group)
        if not all(stored):
            return False
        self._changes_stored = changes
        self._stored.set()
        self._stored = anyio.Event()
        return True

    async def _commit(self, jobs: list[JobRun]) -> bool:
        """Store the records of some jobs; return when they are durable.

        False: another term has replaced the epoch or a record.
        """
        compares = [self._guard]
        operations: list[Operation] = []
        contents: list[tuple[JobRun, str, bytes]] = []
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
        transaction = Transaction(tuple(compares), tuple(operations))
        lost = False
        while True:
            try:
                result = await self._store.commit(transaction)
            except StoreError as error:
                lost = lost or isinstance(error, StoreOutcomeUnknownError)
                log.info("progress is not stored yet: {}", error)
                await self._clock.sleep(RETRY_DELAY)
                continue
            if result.succeeded:
                for job, _, _ in contents:
                    job.revision = result.revision
                return True
            return lost and await self._read_back(contents)

    async def _read_back(self, contents: list[tuple[JobRun, str, bytes]]) -> bool:
        """Tell whether a write whose answer was lost has taken effect."""
        for job, key, content in contents:
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
            job.revision = entry.mod_revision
        return True


def _groups(jobs: list[JobRun]) -> list[list[JobRun]]:
    """Divide jobs so that the records of each group fit in one transaction."""
    groups: list[list[JobRun]] = []
    room = 0
    for job in jobs:
        cost = 3 if job.marker_stored and (job.begun or job.final) else 2
        if cost > room:
            groups.append([])
            room = MAX_TRANSACTION_ENTRIES - 1
        groups[-1].append(job)
        room -= cost
    return groups
