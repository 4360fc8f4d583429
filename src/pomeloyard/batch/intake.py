"""Accepts, reports and cancels jobs; runs in every daemon.

Nothing is kept in memory: an answer says what the store holds, so any daemon
gives the same one.
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
from .follow import OperatorFollower
from .model import JobRecord, JobSpec, JobState, Queue, check_spec
from .records import RunHeader

RETRY_DELAY = timedelta(milliseconds=60)
MAX_CERTAIN_RETRIES = 1
"""Retries of a write that certainly had no effect; then the caller is refused, as
another daemon may still reach the store."""
CATCH_UP_WAIT = timedelta(milliseconds=300)
"""How long a submission waits for the configuration that outdated its check."""
RETRY_AFTER = timedelta(seconds=1)
"""The shortest that the header can say; other daemons may reach the store now."""

log = logbook.Logger("pomeloyard.batch.intake")


@dataclass(frozen=True, slots=True)
class Authorized:
    """Queue and team that a call was allowed for, under a store revision."""

    queue: Queue
    team: str
    revision: int


class Intake:
    """The callers' operations on jobs."""

    def __init__(self, clock: Clock, store: Store, follower: OperatorFollower) -> None:
        self._clock = clock
        self._store = store
        self._follower = follower

    async def submit(
        self,
        job_id: str,
        spec: JobSpec,
        authorize: Callable[[], Authorized],
        deadline: timedelta,
    ) -> None:
        """Store a job; return once it is durable.

        ``authorize`` is called again whenever the configuration changed before the
        write, and raises RefusedError. ``deadline`` is in the clock's monotonic
        time. Raises RefusedError if the job was certainly not stored and
        OutcomeUnknownError if it may have been.
        """
        check_spec(spec)
        write_id = new_write_id()
        lost = False
        refusals = 0
        while True:
            try:
                allowed = authorize()
                transaction = self._creation(job_id, spec, allowed, write_id)
                if (await self._store.commit(transaction)).succeeded:
                    return
                if await self._store.get(layout.JOBS + job_id) is not None:
                    return
                if self._follower.revision == allowed.revision:
                    await self._follower.wait_for_change(CATCH_UP_WAIT)
            except StoreOutcomeUnknownError as error:
                lost = True
                log.info("job {}: store answer lost: {}", job_id, error)
            except StoreUnavailableError as error:
                refusals += 1
                if not lost and refusals > MAX_CERTAIN_RETRIES:
                    raise _store_refusal(error) from error
            except StoreRequestError as error:
                raise _store_refusal(error) from error
            except RefusedError as error:
                if lost:
                    raise _unknown(job_id) from error
                raise
            if self._clock.monotonic() + RETRY_DELAY >= deadline:
                if lost:
                    raise _unknown(job_id)
                raise _refused("the store did not answer in time")
            await self._clock.sleep(RETRY_DELAY * random.uniform(0.5, 1.5))

    def _creation(
        self, job_id: str, spec: JobSpec, allowed: Authorized, write_id: str
    ) -> Transaction:
        """Return the write that creates a job under the authorizing configuration."""
        queue = allowed.queue.name
        record = JobRecord(
            queue, allowed.team, spec, self._clock.now(), write_id, allowed.queue
        )
        key = layout.JOBS + job_id
        return Transaction(
            (
                Compare(key, 0),
                Compare(self._follower.configuration_key, allowed.revision),
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
                return _state_of(run)
            job = await self._store.get(layout.JOBS + job_id)
        except StoreError as error:
            raise _store_refusal(error) from error
        return None if job is None else JobState.PENDING

    async def waiting(self, queue: str) -> int:
        """Return how many accepted jobs of a queue have not begun.

        Raises RefusedError when the store does not answer.
        """
        try:
            page = await scan_all(self._store, layout.waiting_prefix(queue))
        except StoreError as error:
            raise _store_refusal(error) from error
        return len(page.entries)

    async def cancel(self, job_id: str, deadline: timedelta) -> bool:
        """Cancel a job durably; return False if there is no such job.

        Raises RefusedError or OutcomeUnknownError as ``submit`` does.
        """
        lost = False
        refusals = 0
        while True:
            try:
                job = await self._store.get(layout.JOBS + job_id)
                if job is None:
                    return False
                transaction = Transaction(
                    (Compare(job.key, job.mod_revision),),
                    (Put(layout.CANCELS + job_id, b"1"),),
                )
                if (await self._store.commit(transaction)).succeeded:
                    return True
            except StoreOutcomeUnknownError as error:
                lost = True
                log.info("cancellation of {}: store answer lost: {}", job_id, error)
            except StoreError as error:
                refusals += 1
                if not lost and refusals > MAX_CERTAIN_RETRIES:
                    raise _store_refusal(error) from error
            if self._clock.monotonic() + RETRY_DELAY >= deadline:
                if lost:
                    raise _unknown(job_id)
                raise _refused("the store did not answer in time")
            await self._clock.sleep(RETRY_DELAY * random.uniform(0.5, 1.5))


def _state_of(run: Entry) -> JobState:
    return JobState(msgspec.msgpack.decode(run.value, type=RunHeader).state)


def _refused(detail: str) -> RefusedError:
    return RefusedError(Refused(RefusalReason.STORE_UNAVAILABLE, detail, RETRY_AFTER))


def _store_refusal(error: StoreError) -> RefusedError:
    return _refused(str(error))


def _unknown(job_id: str) -> OutcomeUnknownError:
    return OutcomeUnknownError(
        Unknown(UnknownReason.ANSWER_LOST, f"job {job_id} may have been stored")
    )
