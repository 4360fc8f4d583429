"""The scheduler's copy of all job records, with changes not yet written."""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterator
from dataclasses import replace
from datetime import datetime, timedelta

import logbook

from .jobs import Job, JobState
from .platform.records import Change, RecordError, Versioned, decode_record
from .platform.store import Entry, WatchEvent

RETENTION = timedelta(hours=24)
"""Time for which final records are kept; it bounds idempotency of submissions."""
MAX_FINAL_RECORDS = 50_000
"""Above this many final records the oldest are removed before their time."""

OnChange = Callable[[str, Job | None, Job | None], None]

log = logbook.Logger("pomeloyard.jobs")


class JobTable:
    """Job records by store key, and pending changes on top of them.

    ``on_change`` is called with the key and the job before and after a change.
    """

    def __init__(self, on_change: OnChange) -> None:
        self._on_change = on_change
        self._records: dict[str, Versioned[Job]] = {}
        self._keys_by_job_id: dict[str, str] = {}
        self._final: list[tuple[datetime, str]] = []
        self.pending: dict[str, Job] = {}

    def __len__(self) -> int:
        return len(self._records)

    def get(self, key: str) -> Job | None:
        """Return a job as it will be when pending changes are written."""
        job = self.pending.get(key)
        if job is not None:
            return job
        record = self._records.get(key)
        return None if record is None else record.value

    def recorded(self, key: str) -> Job | None:
        """Return a job as the store has it."""
        record = self._records.get(key)
        return None if record is None else record.value

    def by_job_id(self, job_id: str) -> Job | None:
        """Return the job with an id."""
        key = self._keys_by_job_id.get(job_id)
        return None if key is None else self.get(key)

    def __iter__(self) -> Iterator[str]:
        return iter(list(self._records))

    def load(self, entries: tuple[Entry, ...]) -> None:
        """Take over a complete scan; jobs that are absent from it are forgotten."""
        present = {entry.key for entry in entries}
        for key in [key for key in self._records if key not in present]:
            self._forget(key)
        for entry in entries:
            self._put(entry)

    def apply(self, event: WatchEvent) -> None:
        """Take over a change that the watch reports."""
        if event.entry is not None:
            self._put(event.entry)
        elif event.revision > self._revision(event.key):
            self._forget(event.key)

    def set(self, job: Job) -> None:
        """Change a job; the change is written by the next flush."""
        before = self.get(job.key)
        if before is None:
            return
        self.pending[job.key] = job
        self._on_change(job.key, before, job)

    def drop_pending(self, key: str) -> None:
        """Give up a change that was not written."""
        before = self.pending.pop(key, None)
        if before is not None:
            self._on_change(key, before, self.recorded(key))

    def changes(self) -> list[Change]:
        """Return the pending changes, made from the records as known now."""
        return [
            Change(key, job, self._records[key]) for key, job in self.pending.items()
        ]

    def written(self, change: Change, revision: int) -> None:
        """Note that a change is in the store."""
        if revision < self._revision(change.key):
            return
        job: Job = change.value
        writes = change.expected.write_ids if change.expected else ()
        self._store_record(Versioned(change.key, job, revision, writes))
        if self.pending.get(change.key) is job:
            del self.pending[change.key]

    def removals(self, now: datetime, limit: int) -> list[Change]:
        """Return deletions of final records whose retention time has passed."""
        changes: list[Change] = []
        while self._final and len(changes) < limit:
            ended_at, key = self._final[0]
            surplus = len(self._final) > MAX_FINAL_RECORDS
            if ended_at + RETENTION > now and not surplus:
                break
            heapq.heappop(self._final)
            record = self._records.get(key)
            if record is not None and record.value.final and key not in self.pending:
                changes.append(Change(key, None, record))
        return changes

    def removed(self, key: str) -> None:
        """Note that a record was deleted from the store."""
        self._forget(key)

    def _put(self, entry: Entry) -> None:
        # Equal revisions are applied again: after a lost answer the local copy
        # may have been noted under a revision that another writer made.
        if entry.mod_revision < self._revision(entry.key):
            return
        try:
            record = decode_record(entry, Job)
        except RecordError as error:
            log.error("job record ignored: {}", error)
            return
        before = self.get(entry.key)
        self._store_record(record)
        self._rebase(entry.key)
        after = self.get(entry.key)
        if before != after:
            self._on_change(entry.key, before, after)

    def _rebase(self, key: str) -> None:
        """Apply a pending change to a record that a caller has changed."""
        pending, recorded = self.pending.get(key), self._records[key].value
        if pending is None:
            return
        if pending == recorded:
            del self.pending[key]
        elif recorded.final and not pending.final:
            # A caller cancelled a queued job before its placement was written.
            del self.pending[key]
        elif recorded.cancel_requested and not pending.cancel_requested:
            after = replace(pending, cancel_requested=True)
            if after.state is JobState.QUEUED:
                after = replace(after, state=JobState.CANCELLED)
            self.pending[key] = after

    def _store_record(self, record: Versioned[Job]) -> None:
        known = self._records.get(record.key)
        self._records[record.key] = record
        job = record.value
        self._keys_by_job_id[job.job_id] = record.key
        if job.final and not (known is not None and known.value.final):
            heapq.heappush(self._final, (job.ended_at or job.submitted_at, record.key))

    def _forget(self, key: str) -> None:
        before = self.get(key)
        self.pending.pop(key, None)
        record = self._records.pop(key, None)
        if record is not None:
            self._keys_by_job_id.pop(record.value.job_id, None)
        if before is not None:
            self._on_change(key, before, None)

    def _revision(self, key: str) -> int:
        record = self._records.get(key)
        return 0 if record is None else record.mod_revision
