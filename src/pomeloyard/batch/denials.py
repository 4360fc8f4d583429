"""Denials of jobs that were cancelled before they existed.

A denial is the record of the cancellation, which each creation compares. It carries no
lease, as an outage of the store may end all leases early while the caller relies on the
answer. The placing term removes denials whose time has passed, and each daemon
limits how many it stores, so that ids of jobs that never exist do not fill the store.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, replace
from datetime import UTC, datetime, timedelta

import logbook
import msgspec

from ..clock import Clock
from ..errors import RefusedError, StoreError
from ..keyvalue.store import Compare, Delete, Entry, Put, Store, Transaction
from ..outcomes import RefusalReason, Refused
from . import layout

MIN_DENIAL_TIME = timedelta(seconds=60)
"""An unknown id stays denied for this long after its cancellation, and usually for
twice as long. A write without an answer may take effect seconds after the submission
that sent it has ended, or when a paused daemon resumes."""
MAX_DENIAL_TIME = 2 * MIN_DENIAL_TIME
"""A term removes a denial this long after it has first seen it."""
STALE_AGE = timedelta(hours=1)
"""Age by the clocks of the VMs from which a new term removes a denial at once. Clocks
differ by far less."""
MAX_DENIALS = 300
"""Unknown ids that one daemon denies within ``MIN_DENIAL_TIME``; each takes an entry
of the store, which a placing term loads."""
MAX_DENIALS_PER_TEAM = 100
CANCELLED = b"1"
"""Content of the cancellation of an existing job, and of denials by earlier builds."""
SHORTEST_RETRY_AFTER = timedelta(seconds=1)
REMOVALS_PER_TRANSACTION = 10
"""Each takes two conditions and a deletion; the store accepts 32 entries."""

log = logbook.Logger("pomeloyard.batch.denials")


@dataclass(frozen=True, slots=True)
class _Denial:
    team: str
    stored_at: timedelta


class DenialWriter:
    """Stores the denials of one daemon."""

    def __init__(self, clock: Clock, store: Store) -> None:
        self._clock = clock
        self._store = store
        self._by_id: dict[str, _Denial] = {}
        """Stored denials of the last ``MIN_DENIAL_TIME``, oldest first."""
        self._in_flight_by_team: Counter[str] = Counter()
        """Writes that have not been answered."""

    async def deny(self, job_id: str, team: str) -> bool:
        """Keep a job from being created; return False if it exists.

        Raises RefusedError if too many ids are denied, or StoreError.
        """
        now = self._clock.monotonic()
        self._forget_before(now - MIN_DENIAL_TIME)
        if job_id in self._by_id:
            return True
        self._check_limits(team, now)
        stored_at = msgspec.msgpack.encode(_unix_ms(self._clock.now()))
        transaction = Transaction(
            (Compare(layout.JOBS + job_id, 0),),
            (Put(layout.CANCELS + job_id, stored_at),),
        )
        self._in_flight_by_team[team] += 1
        try:
            created = (await self._store.commit(transaction)).succeeded
        finally:
            self._in_flight_by_team[team] -= 1
        if created:
            self._by_id[job_id] = _Denial(team, now)
        return created

    def _forget_before(self, earliest: timedelta) -> None:
        for job_id, denial in list(self._by_id.items()):
            if denial.stored_at > earliest:
                return
            del self._by_id[job_id]

    def _check_limits(self, team: str, now: timedelta) -> None:
        counts = Counter(denial.team for denial in self._by_id.values())
        counts.update(self._in_flight_by_team)
        if counts.total() >= MAX_DENIALS:
            limiting = list(self._by_id.values())
        elif counts[team] >= MAX_DENIALS_PER_TEAM:
            limiting = [one for one in self._by_id.values() if one.team == team]
        else:
            return
        oldest_at = limiting[0].stored_at if limiting else now
        retry_after = oldest_at + MIN_DENIAL_TIME - now
        raise RefusedError(
            Refused(
                RefusalReason.LIMIT_REACHED,
                "too many cancellations of unknown jobs",
                max(SHORTEST_RETRY_AFTER, retry_after),
            )
        )


@dataclass(frozen=True, slots=True)
class _SeenDenial:
    revision: int
    remove_at: timedelta
    removing: bool = False


class SeenDenials(Mapping[str, object]):
    """The denials that a placing term knows, by id of the job."""

    def __init__(self, clock: Clock, store: Store, guard: Compare) -> None:
        self._clock = clock
        self._store = store
        self._guard = guard
        self._by_id: dict[str, _SeenDenial] = {}

    def __getitem__(self, job_id: str) -> object:
        return self._by_id[job_id]

    def __iter__(self) -> Iterator[str]:
        return iter(self._by_id)

    def __len__(self) -> int:
        return len(self._by_id)

    def add(self, job_id: str, entry: Entry) -> None:
        """Add a denial, or restart its time if it was stored again."""
        remove_at = self._clock.monotonic() + MAX_DENIAL_TIME
        stored_at = _stored_at(entry)
        if entry.lease:
            # Of an earlier build; it ends with its lease.
            remove_at = timedelta.max
        elif stored_at is not None and self._clock.now() - stored_at > STALE_AGE:
            remove_at = timedelta(0)
        self._by_id[job_id] = _SeenDenial(entry.mod_revision, remove_at)

    def discard(self, job_id: str) -> None:
        """Forget a denial that has been removed."""
        self._by_id.pop(job_id, None)

    def take_due(self) -> list[str]:
        """Return the ids of some denials to pass to ``remove`` now."""
        now = self._clock.monotonic()
        due = [
            job_id
            for job_id, denial in self._by_id.items()
            if now >= denial.remove_at and not denial.removing
        ][:REMOVALS_PER_TRANSACTION]
        for job_id in due:
            self._by_id[job_id] = replace(self._by_id[job_id], removing=True)
        return due

    async def remove(self, job_ids: list[str]) -> None:
        """Remove denials from the store unless they were stored again or have a job."""
        # One that is stored again meanwhile has another revision then.
        due = {i: self._by_id[i] for i in job_ids if i in self._by_id}
        if not await self._remove(due) and len(due) > 1:
            for job_id, denial in due.items():
                await self._remove({job_id: denial})

    async def _remove(self, denials: Mapping[str, _SeenDenial]) -> bool:
        compares = [self._guard]
        for job_id, denial in denials.items():
            compares.append(Compare(layout.CANCELS + job_id, denial.revision))
            compares.append(Compare(layout.JOBS + job_id, 0))
        deletions = tuple(Delete(layout.CANCELS + job_id) for job_id in denials)
        try:
            result = await self._store.commit(Transaction(tuple(compares), deletions))
        except StoreError as error:
            log.info("{} denials were not removed: {}", len(denials), error)
            now = self._clock.monotonic()
            for job_id, denial in denials.items():
                if self._by_id.get(job_id) is denial:
                    self._by_id[job_id] = replace(
                        denial, removing=False, remove_at=now + MIN_DENIAL_TIME
                    )
            return True
        # The watch reports each removal, which ends it here as well.
        return result.succeeded


def _stored_at(entry: Entry) -> datetime | None:
    """Return when a denial was stored, None if it does not say."""
    if entry.value == CANCELLED:
        return None
    try:
        unix_ms = msgspec.msgpack.decode(entry.value, type=int)
        return datetime.fromtimestamp(unix_ms / 1000, UTC)
    except (msgspec.MsgspecError, OverflowError, OSError, ValueError) as error:
        log.info("no time in the denial {}: {}", entry.key, error)
        return None


def _unix_ms(time: datetime) -> int:
    return round(time.timestamp() * 1000)
