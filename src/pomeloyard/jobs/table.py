"""The scheduler's copy of the job records, with changes not yet written."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import replace
from datetime import datetime, timedelta

import logbook

from ..keyvalue.records import Change, RecordError, Versioned, decode_record
from ..keyvalue.store import Entry, WatchEvent
from .job import Job, JobState

RETENTION = timedelta(hours=24)
"""Retention of ended jobs' records; until then repeated submissions are recognized."""
MAX_FINAL_RECORDS = 20_000
"""Above this many records of ended jobs the oldest are removed early, to bound the
store's size (about 30 MB) and the time to load a new term."""

OnChange = Callable[[str, Job | None, Job | None], None]

log = logbook.Logger("pomeloyard.jobs.job")


class JobTable:
    """Job records by store key, overlaid with pending changes.

    ``on_change`` is called with the key and the job before and after a change.
    """

    def __init__(self, on_change: OnChange) -> None:
        self._on_change = on_change
        self._records: dict[str, Versioned[Job]] = {}
        self._keys_by_job_id: dict[str, str] = {}
        self._final: list[tuple[datetime, str]] = []
        self._final_revisions: dict[str, int] = {}
        """Revisions of ended jobs by store key; their records are not kept."""
        self.pending: dict[str, Job] = {}

    def __len__(self) -> int:
        return len(self._records)

    def get(self, key: str) -> Job | None:
        """Return a job with its pending change applied."""
        job = self.pending.get(key)
        if job is not None:
            return job
        record = self._records.get(key)
        return None if record is None else record.value

    def recorded(self, key: str) -> Job | None:
        """Return a job as last read from or written to the store."""
        record = self._records.get(key)
        return None if record is None else record.value

    def by_job_id(self, job_id: str) -> Job | None:
        """Return the job with an id."""
        key = self._keys_by_job_id.get(job_id)
        return None if key is None else self.get(key)

    def load(
        self,
        entries: tuple[Entry, ...],
        on_ended: Callable[[Job], None] | None = None,
    ) -> None:
        """Load a complete scan; drop jobs that are absent from it.

        ``on_ended`` is called with each job that has ended.
        """
        present = {entry.key for entry in entries}
        known = [*self._records, *self._final_revisions]
        for key in [key for key in known if key not in present]:
            self._forget(key)
        for entry in entries:
            job = self._put(entry)
            if on_ended is not None and job is not None and job.final:
                on_ended(job)

    def apply(self, event: WatchEvent) -> None:
        """Apply a watch event."""
        if event.entry is not None:
            self._put(event.entry)
        elif event.revision > self._revision(event.key):
            self._forget(event.key)

    def set(self, job: Job) -> None:
        """Change a job; the next flush writes the change."""
        before = self.get(job.key)
        if before is None:
            return
        self.pending[job.key] = job
        self._on_change(job.key, before, job)

    def changes(self) -> list[Change]:
        """Return the pending changes, based on the latest known records."""
        return [
            Change(key, job, self._records[key]) for key, job in self.pending.items()
        ]

    def written(self, change: Change, revision: int) -> None:
        """Record that a change has been written at a revision."""
        if revision <= self._revision(change.key):
            return  # The watch event arrived before the commit's answer.
        job: Job = change.value
        writes = change.expected.write_ids if change.expected else ()
        self._records[change.key] = Versioned(change.key, job, revision, writes)
        if self.pending.get(change.key) is job:
            del self.pending[change.key]
        self._compact_final(change.key)

    def removals(self, now: datetime, limit: int) -> list[Change]:
        """Return deletions of ended jobs' records that are due for removal."""
        changes: list[Change] = []
        while self._final and len(changes) < limit:
            ended_at, key = self._final[0]
            surplus = len(self._final) > MAX_FINAL_RECORDS
            if ended_at + RETENTION > now and not surplus:
                break
            heapq.heappop(self._final)
            revision = self._final_revisions.get(key)
            if revision is not None:
                record = Versioned(key, None, revision)
                changes.append(Change(key, None, record))
        return changes

    def removed(self, key: str) -> None:
        """Drop a job whose record was deleted from the store."""
        self._forget(key)

    def _put(self, entry: Entry) -> Job | None:
        # Equal revisions are applied again: after a lost answer the local copy
        # may carry the revision of another writer's change.
        if entry.mod_revision < self._revision(entry.key):
            return None
        try:
            record = decode_record(entry, Job)
        except RecordError as error:
            log.error("ignoring invalid job record: {}", error)
            return None
        key, before = entry.key, self.get(entry.key)
        self._records[key] = record
        self._keys_by_job_id[record.value.job_id] = key
        self._rebase_pending(key)
        after = self.get(key)
        if before != after and not (before is None and record.value.final):
            self._on_change(key, before, after)
        self._compact_final(key)
        return record.value

    def _rebase_pending(self, key: str) -> None:
        """Rebase a pending change onto a record that a caller has changed."""
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

    def _compact_final(self, key: str) -> None:
        """Drop an ended job from memory, except for its revision."""
        record = self._records[key]
        job = record.value
        if not job.final or key in self.pending:
            return
        del self._records[key]
        self._keys_by_job_id.pop(job.job_id, None)
        if key not in self._final_revisions:
            heapq.heappush(self._final, (job.ended_at or job.submitted_at, key))
        self._final_revisions[key] = record.mod_revision

    def _forget(self, key: str) -> None:
        before = self.get(key)
        self.pending.pop(key, None)
        self._final_revisions.pop(key, None)
        record = self._records.pop(key, None)
        if record is not None:
            self._keys_by_job_id.pop(record.value.job_id, None)
        if before is not None:
            self._on_change(key, before, None)

    def _revision(self, key: str) -> int:
        record = self._records.get(key)
        if record is None:
            return self._final_revisions.get(key, 0)
        return record.mod_revision
