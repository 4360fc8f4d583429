"""Stored job records: batched submission, cancellation, listing and writes."""

from __future__ import annotations

import secrets
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace
from datetime import timedelta

import anyio

from ..clock import Clock
from ..config.model import FleetConfig
from ..errors import (
    RefusedError,
    StoreError,
    StoreUnavailableError,
    WriteSupersededError,
)
from ..keyvalue.records import (
    Change,
    ConflictError,
    Versioned,
    commit_changes,
    decode_record,
    read_record,
)
from ..keyvalue.store import Compare, Store, scan_all
from ..outcomes import RefusalReason, Refused
from .job import (
    JOB_ID_LENGTH,
    Job,
    JobReason,
    JobRequest,
    JobState,
    check_idempotency_key,
    check_request,
    job_id_of,
    job_key,
    refused,
    team_prefix,
)

MAX_GROUP_RECORDS = 100
"""Most records in one transaction; the platform accepts 128 operations."""
GROUP_DELAY = timedelta(milliseconds=20)
STORE_RETRY_AFTER = timedelta(seconds=5)
MAX_SINGLE_READS = 20
"""Most ids read one by one; above it, scanning the team's jobs costs less."""
MAX_CANCEL_IDS = 10_000
CANCEL_ATTEMPTS = 5
MAX_PAGE = 500


@dataclass
class _Submission:
    """A submission waiting for the transaction of its group."""

    job: Job
    done: anyio.Event = field(default_factory=anyio.Event)
    error: Exception | None = None


class JobStore:
    """Reads and writes job records for callers."""

    def __init__(
        self, store: Store, clock: Clock, config: Callable[[], FleetConfig]
    ) -> None:
        self._store = store
        self._clock = clock
        self._config = config
        self._waiting: dict[str, _Submission] = {}

    async def submit(
        self, team: str, request: JobRequest, idempotency_key: str, key_id: str = ""
    ) -> Job:
        """Store a job and return it; a repeated idempotency key returns the first job.

        Raises RefusedError (not run) or StoreOutcomeUnknownError.
        """
        check_request(self._config(), team, request)
        check_idempotency_key(idempotency_key)
        name = idempotency_key or secrets.token_hex(16)
        now = self._clock.now()
        job = Job(job_id_of(team, name), team, request, now, key_id=key_id)
        submission = self._waiting.get(job.key)
        if submission is not None:
            if submission.job.request != request:
                raise refused(RefusalReason.KEY_REUSED, job.job_id)
        else:
            submission = self._waiting[job.key] = _Submission(job)
            if len(self._waiting) == 1:
                await self._commit_after_delay(submission)
        await submission.done.wait()
        if isinstance(submission.error, ConflictError):
            return await self._existing(job)
        if isinstance(submission.error, StoreUnavailableError):
            raise _unavailable(submission.error) from submission.error
        if submission.error is not None:
            raise submission.error
        return submission.job

    async def _commit_after_delay(self, first: _Submission) -> None:
        """Commit all submissions that arrive within the delay."""
        # A disconnecting caller must not cancel the submissions of others.
        with anyio.CancelScope(shield=True):
            await self._clock.sleep(GROUP_DELAY)
            group = list(self._waiting.values())
            self._waiting = {}
            async with anyio.create_task_group() as tasks:
                for start in range(0, len(group), MAX_GROUP_RECORDS):
                    part = group[start : start + MAX_GROUP_RECORDS]
                    tasks.start_soon(self._commit_group, part)

    async def _commit_group(self, group: Sequence[_Submission]) -> None:
        """Create a group's records; halve the group to isolate conflicts."""
        error: Exception | None = None
        try:
            await commit_changes(
                self._store, [Change(s.job.key, s.job, None) for s in group]
            )
        except (ConflictError, WriteSupersededError):
            # The id is derived from the idempotency key, so a retry is safe.
            if len(group) > 1:
                middle = len(group) // 2
                await self._commit_group(group[:middle])
                await self._commit_group(group[middle:])
                return
            error = ConflictError(group[0].job.key)
        except StoreError as failure:
            error = failure
        for submission in group:
            submission.error = error
            submission.done.set()

    async def _existing(self, job: Job) -> Job:
        earlier = await self.get(job.team, job.job_id)
        if earlier is None or earlier.request != job.request:
            raise refused(RefusalReason.KEY_REUSED, job.job_id)
        return earlier

    async def get(self, team: str, job_id: str) -> Job | None:
        """Return a job of the team, or None if the team has no such job."""
        if not _is_job_id(job_id):
            return None
        record = await read_record(self._store, job_key(team, job_id), Job)
        return None if record is None else record.value

    async def page(
        self, team: str, after: str = "", limit: int = 100
    ) -> tuple[list[Job], str]:
        """Return a page of a team's jobs in id order, and the next ``after`` or ""."""
        prefix = team_prefix(team)
        start = f"{prefix}{after}\0" if after else ""
        limit = max(1, min(limit, MAX_PAGE))
        page = await self._store.scan(prefix, start=start, limit=limit)
        jobs = [decode_record(entry, Job).value for entry in page.entries]
        return jobs, jobs[-1].job_id if page.more else ""

    async def cancel(
        self, team: str, job_ids: Sequence[str] = (), label: str = ""
    ) -> dict[str, JobState]:
        """Cancel jobs by id or label; return the resulting state of each job found.

        Queued jobs end immediately; for placed jobs the request is recorded and the
        scheduler stops the task. The call is idempotent.
        """
        if bool(job_ids) == bool(label):
            raise refused(RefusalReason.INVALID_INPUT, "expected either ids or a label")
        if len(job_ids) > MAX_CANCEL_IDS:
            raise refused(RefusalReason.TOO_LARGE, f"at most {MAX_CANCEL_IDS} ids")
        wanted = frozenset(job_ids)
        states: dict[str, JobState] = {}
        for _ in range(CANCEL_ATTEMPTS):
            try:
                records = await self._select(team, wanted, label)
                conflicts = await self._cancel_records(records, states)
            except StoreUnavailableError as error:
                # The caller can repeat the whole call, since it is idempotent.
                raise _unavailable(error) from error
            if not conflicts:
                return states
            wanted, label = frozenset(conflicts), ""
        raise refused(RefusalReason.CONFLICT, f"{len(wanted)} jobs changed; repeat")

    async def _select(
        self, team: str, wanted: frozenset[str], label: str
    ) -> list[Versioned[Job]]:
        if 0 < len(wanted) <= MAX_SINGLE_READS:
            keys = [job_key(team, job_id) for job_id in wanted if _is_job_id(job_id)]
            found = [await read_record(self._store, key, Job) for key in keys]
            return [record for record in found if record is not None]
        page = await scan_all(self._store, team_prefix(team))
        records = [decode_record(entry, Job) for entry in page.entries]
        if label:
            return [r for r in records if r.value.request.label == label]
        return [r for r in records if r.value.job_id in wanted]

    async def _cancel_records(
        self, records: Sequence[Versioned[Job]], states: dict[str, JobState]
    ) -> list[str]:
        """Write the cancellations; return the ids of jobs that changed concurrently."""
        now = self._clock.now()
        changes: list[Change] = []
        for record in records:
            job = record.value
            states[job.job_id] = job.state
            if job.final or job.cancel_requested:
                continue
            after = replace(job, cancel_requested=True)
            if job.state is JobState.QUEUED:
                after = replace(
                    after,
                    state=JobState.CANCELLED,
                    reason=JobReason.CANCELLED,
                    ended_at=now,
                )
            changes.append(Change(record.key, after, record))
        result = await commit_groups(self._store, changes)
        for key in result.revisions_by_key:
            job = result.changes_by_key[key].value
            states[job.job_id] = job.state
        return [c.value.job_id for c in result.conflicts]


@dataclass
class GroupResult:
    """Result of writing changes in groups; ``conflicts`` were not written."""

    changes_by_key: dict[str, Change] = field(default_factory=dict)
    revisions_by_key: dict[str, int] = field(default_factory=dict)
    conflicts: list[Change] = field(default_factory=list)
    transactions: int = 0


async def commit_groups(
    store: Store, changes: Sequence[Change], guards: Sequence[Compare] = ()
) -> GroupResult:
    """Write changes in transactions of at most 100 records.

    Groups with a conflict are halved to isolate it. Raises StoreError when the
    store fails; changes written before that stay written.
    """
    result = GroupResult({change.key: change for change in changes})
    parts = [
        changes[start : start + MAX_GROUP_RECORDS]
        for start in range(0, len(changes), MAX_GROUP_RECORDS)
    ]
    parts.reverse()
    while parts:
        part = parts.pop()
        result.transactions += 1
        try:
            revision = await commit_changes(store, part, guards)
        except ConflictError:
            if len(part) == 1:
                result.conflicts.extend(part)
            else:
                middle = len(part) // 2
                parts.extend((part[middle:], part[:middle]))
            continue
        result.revisions_by_key.update((change.key, revision) for change in part)
    return result


def _unavailable(error: StoreUnavailableError) -> RefusedError:
    reason = RefusalReason.STORE_UNAVAILABLE
    return RefusedError(Refused(reason, str(error), STORE_RETRY_AFTER))


def _is_job_id(job_id: str) -> bool:
    return len(job_id) == JOB_ID_LENGTH and job_id.isalnum()
