"""Submission, state queries and cancellation of jobs; runs in every daemon.

It is stateless: answers are read from the store, so every daemon gives the same answer.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

import logbook
import msgspec

from ..clock import Clock
from ..errors import (
    OutcomeUnknownError,
    RefusedError,
    StoreError,
    StoreOutcomeUnknownError,
    StoreRequestError,
    StoreUnavailableError,
)
from ..keyvalue.store import (
    Compare,
    Entry,
    Put,
    Store,
    Transaction,
    new_write_id,
    scan_all,
)
from ..outcomes import RefusalReason, Refused, Unknown, UnknownReason
from . import layout
from .configuration_follower import ConfigurationFollower
from .denials import CANCELLED, MAX_DENIAL_TIME, DenialWriter
from .model import JobRecord, JobSpec, JobState, Queue, check_spec
from .progress_records import RunHeader

RETRY_DELAY = timedelta(milliseconds=60)
MAX_RETRIES_WITHOUT_EFFECT = 1
"""Retries of a write that certainly had no effect. The caller is then refused and may
try another daemon, which may still reach the store."""
CONFIGURATION_WAIT = timedelta(milliseconds=300)
"""Maximum wait of a submission for the newer configuration that its write conflicted
with."""
MAX_SUBMISSION_TIME = timedelta(seconds=10)
"""A submission is given up after this time, also if its caller would wait longer, so
that a cancellation need not hold it off for longer than ``MIN_DENIAL_TIME``."""
FULL_RETRY_AFTER = timedelta(seconds=15)
"""Jobs make room when they expire, minutes after their end, a few at a time."""
RETRY_AFTER = timedelta(seconds=1)
"""The shortest value that the Retry-After header can express; other daemons may reach
the store already."""

log = logbook.Logger("pomeloyard.batch.intake")


@dataclass(frozen=True, slots=True)
class AuthorizedCall:
    """Queue and team of an authorized call, and the configuration's store revision."""

    queue: Queue
    team: str
    revision: int


class JobService:
    """Operations on jobs that callers request."""

    def __init__(
        self, clock: Clock, store: Store, follower: ConfigurationFollower
    ) -> None:
        self._clock = clock
        self._store = store
        self._follower = follower
        self._denials = DenialWriter(clock, store)

    async def submit(
        self,
        job_id: str,
        spec: JobSpec,
        authorize: Callable[[], AuthorizedCall],
        deadline: timedelta,
    ) -> None:
        """Store a job; return once it is durable.

        ``authorize`` raises RefusedError; it is called again before each attempt, so
        that a configuration change is taken into account. ``deadline`` is in the
        clock's monotonic time. Raises RefusedError if the job was certainly not
        stored and OutcomeUnknownError if it may have been.
        """
        check_spec(spec)
        deadline = min(deadline, self._clock.monotonic() + MAX_SUBMISSION_TIME)
        write_id = new_write_id()
        outcome_unknown = False
        failures = 0
        while True:
            try:
                authorized = authorize()
                transaction = self._creation_transaction(
                    job_id, spec, authorized, write_id
                )
                if (await self._store.commit(transaction)).succeeded:
                    return
                if await self._store.get(layout.JOBS + job_id) is not None:
                    return
                if await self._store.get(layout.CANCELS + job_id) is not None:
                    # No attempt can take effect any more, whether it was answered.
                    raise _cancelled(job_id)
                full_key = layout.full_key(authorized.team)
                if await self._store.get(full_key) is not None:
                    raise _team_is_full(authorized.team)
                if self._follower.revision == authorized.revision:
                    await self._follower.wait_for_change(CONFIGURATION_WAIT)
            except StoreOutcomeUnknownError as error:
                outcome_unknown = True
                log.info("job {}: store answer lost: {}", job_id, error)
            except StoreUnavailableError as error:
                failures += 1
                if not outcome_unknown and failures > MAX_RETRIES_WITHOUT_EFFECT:
                    raise _refusal_of(error) from error
            except StoreRequestError as error:
                raise _refusal_of(error) from error
            except RefusedError as error:
                cancelled = error.refusal.reason is RefusalReason.CANCELLED
                if outcome_unknown and not cancelled:
                    raise _outcome_unknown(job_id) from error
                raise
            if self._clock.monotonic() + RETRY_DELAY >= deadline:
                if outcome_unknown:
                    raise _outcome_unknown(job_id)
                raise _store_unavailable("the store did not answer in time")
            await self._clock.sleep(RETRY_DELAY * random.uniform(0.5, 1.5))

    def _creation_transaction(
        self, job_id: str, spec: JobSpec, authorized: AuthorizedCall, write_id: str
    ) -> Transaction:
        """Return the transaction that creates a job.

        It fails if the configuration changed since the call was authorized, if the job
        was cancelled before it was created, or if its team is full.
        """
        queue = authorized.queue.name
        record = JobRecord(
            queue, authorized.team, spec, self._clock.now(), write_id, authorized.queue
        )
        key = layout.JOBS + job_id
        return Transaction(
            (
                Compare(key, 0),
                Compare(layout.CANCELS + job_id, 0),
                Compare(layout.full_key(authorized.team), 0),
                Compare(self._follower.configuration_key, authorized.revision),
            ),
            (
                Put(key, msgspec.msgpack.encode(record)),
                Put(layout.waiting_prefix(queue) + job_id, b"1"),
            ),
        )

    async def state(self, job_id: str) -> JobState | None:
        """Return a job's state, or None if there is no such job.

        Raises RefusedError when the store does not answer.
        """
        try:
            run = await self._store.get(layout.RUNS + job_id)
            if run is not None:
                return _decode_state(run)
            job = await self._store.get(layout.JOBS + job_id)
        except StoreError as error:
            raise _refusal_of(error) from error
        return None if job is None else JobState.PENDING

    async def count_waiting(self, queue: str) -> int:
        """Return the number of accepted jobs of a queue that have not begun.

        Raises RefusedError when the store does not answer.
        """
        try:
            page = await scan_all(self._store, layout.waiting_prefix(queue))
        except StoreError as error:
            raise _refusal_of(error) from error
        return len(page.entries)

    async def cancel(self, job_id: str, team: str, deadline: timedelta) -> bool:
        """Cancel a job durably; return False if there is no such job.

        In that case no submission creates it for ``MIN_DENIAL_TIME``, not even one that
        is in progress or whose write is still to take effect. ``team`` is that of the
        caller. Raises RefusedError or OutcomeUnknownError as ``submit`` does.
        """
        outcome_unknown = False
        failures = 0
        while True:
            try:
                job = await self._store.get(layout.JOBS + job_id)
                if job is None:
                    if await self._denials.deny(job_id, team):
                        return False
                else:
                    transaction = Transaction(
                        (Compare(job.key, job.mod_revision),),
                        (Put(layout.CANCELS + job_id, CANCELLED),),
                    )
                    if (await self._store.commit(transaction)).succeeded:
                        return True
            except StoreOutcomeUnknownError as error:
                outcome_unknown = True
                log.info("cancellation of {}: store answer lost: {}", job_id, error)
            except StoreError as error:
                failures += 1
                if not outcome_unknown and failures > MAX_RETRIES_WITHOUT_EFFECT:
                    raise _refusal_of(error) from error
            if self._clock.monotonic() + RETRY_DELAY >= deadline:
                if outcome_unknown:
                    raise _outcome_unknown(job_id)
                raise _store_unavailable("the store did not answer in time")
            await self._clock.sleep(RETRY_DELAY * random.uniform(0.5, 1.5))


def _decode_state(run: Entry) -> JobState:
    return JobState(msgspec.msgpack.decode(run.value, type=RunHeader).state)


def _store_unavailable(detail: str) -> RefusedError:
    return RefusedError(Refused(RefusalReason.STORE_UNAVAILABLE, detail, RETRY_AFTER))


def _cancelled(job_id: str) -> RefusedError:
    detail = f"job {job_id} was cancelled before it was created"
    return RefusedError(Refused(RefusalReason.CANCELLED, detail, MAX_DENIAL_TIME))


def _team_is_full(team: str) -> RefusedError:
    detail = f"the jobs of team {team} take all the memory that is left to them"
    return RefusedError(Refused(RefusalReason.LIMIT_REACHED, detail, FULL_RETRY_AFTER))


def _refusal_of(error: StoreError) -> RefusedError:
    return _store_unavailable(str(error))


def _outcome_unknown(job_id: str) -> OutcomeUnknownError:
    return OutcomeUnknownError(
        Unknown(UnknownReason.ANSWER_LOST, f"job {job_id} may have been stored")
    )
