"""Publishes which teams are full, so that no daemon accepts their further jobs.

The creation of a job compares that its team's key is absent, which costs no call. The
keys carry a lease: where no term renews them, as under an earlier build, jobs are
accepted again.
"""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta

import logbook

from ..clock import Clock
from ..errors import LeaseLostError, StoreError
from ..keyvalue.store import Compare, Delete, Operation, Put, Store, Transaction
from . import layout
from .admission import StoredJobs
from .decision_log import JobDecisionLog

CHECK_INTERVAL = timedelta(milliseconds=250)
LEASE_TIME = timedelta(seconds=30)
RENEW_INTERVAL = timedelta(seconds=8)
MAX_CHANGES = 25
"""Keys written or deleted in one transaction."""

log = logbook.Logger("pomeloyard.batch.full_teams")


class FullTeams:
    """Keeps the keys of the full teams in the store during a term."""

    def __init__(
        self,
        clock: Clock,
        store: Store,
        guard: Compare,
        stored_jobs: StoredJobs,
        memory_for_jobs: Callable[[], int],
        decision_log: JobDecisionLog,
    ) -> None:
        self._clock = clock
        self._store = store
        self._guard = guard
        self._stored_jobs = stored_jobs
        self._memory_for_jobs = memory_for_jobs
        self._decision_log = decision_log
        self._published: set[str] = set()
        self._lease = 0
        self._renew_at = timedelta(0)

    async def run(self) -> None:
        """Publish changes until cancelled."""
        while True:
            try:
                await self._publish()
            except LeaseLostError as error:
                log.info(
                    "keys of full teams have lapsed, storing them again: {}", error
                )
                self._lease = 0
                self._published.clear()
            except StoreError as error:
                log.info("full teams were not published, retrying: {}", error)
            await self._clock.sleep(CHECK_INTERVAL)

    async def _publish(self) -> None:
        limit = self._memory_for_jobs()
        full = self._stored_jobs.full_teams(limit)
        changes = sorted(full ^ self._published)[:MAX_CHANGES]
        now = self._clock.monotonic()
        if (full or changes) and not self._lease:
            self._lease = await self._store.grant_lease(LEASE_TIME)
            self._renew_at = now + RENEW_INTERVAL
        elif full and now >= self._renew_at:
            await self._store.keep_lease_alive(self._lease)
            self._renew_at = now + RENEW_INTERVAL
        if not changes:
            return
        operations: list[Operation] = [
            Put(layout.full_key(team), b"1", self._lease)
            if team in full
            else Delete(layout.full_key(team))
            for team in changes
        ]
        await self._store.commit(Transaction((self._guard,), tuple(operations)))
        self._published ^= set(changes)
        for team in changes:
            self._decision_log.record(
                "admission",
                team,
                "full" if team in full else "open",
                bytes=self._stored_jobs.bytes_by_team[team],
                limit=limit,
            )
