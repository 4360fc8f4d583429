"""The scheduler role: watches job records and runs scheduling terms."""

from __future__ import annotations

import random
from datetime import timedelta

import anyio
import logbook

from ..clock import Clock
from ..decisions import DecisionLog
from ..errors import StoreError
from ..fleet_state import FleetState
from ..keyvalue import layout
from ..keyvalue.records import read_record
from ..keyvalue.store import Compare, Store, scan_all
from ..workers.client import WorkerClient
from .term import SchedulerTerm

RETRY_DELAY = timedelta(seconds=0.5)
RESTART_DELAY = timedelta(seconds=1)
EPOCH_KEY = "epochs/scheduler"

log = logbook.Logger("pomeloyard.jobs.scheduler")


class Scheduler:
    """Places jobs while this daemon holds the scheduler role."""

    def __init__(
        self,
        clock: Clock,
        state: FleetState,
        store: Store,
        workers: WorkerClient,
        decisions: DecisionLog,
    ) -> None:
        self._clock = clock
        self._state = state
        self._store = store
        self._workers = workers
        self._decisions = decisions
        self.term: SchedulerTerm | None = None

    async def run(self, epoch: int) -> None:
        """Schedule jobs until cancelled or the role is lost."""
        guard = await self._guard(epoch)
        while guard is not None:
            try:
                await self._run_term(epoch, guard)
            except Exception:
                # Keep the daemon running, since it also serves requests. Another
                # scheduler would fail too; a new term reloads all records.
                log.exception("scheduling term failed; restarting")
                await self._clock.sleep(RESTART_DELAY)
            else:
                log.warning("lost the scheduler role of epoch {}", epoch)
                return

    async def _run_term(self, epoch: int, guard: Compare) -> None:
        term = SchedulerTerm(
            self._clock,
            self._state,
            self._store,
            self._workers,
            self._decisions,
            epoch,
            guard,
        )
        self.term = term
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._follow, term)
                tasks.start_soon(term.links.run)
                tasks.start_soon(term.run)
                await term.ended.wait()
                tasks.cancel_scope.cancel()
        finally:
            self.term = None

    async def _guard(self, epoch: int) -> Compare | None:
        """Return the comparison that makes writes fail once the role is lost."""
        while True:
            try:
                record = await read_record(self._store, EPOCH_KEY, int)
            except StoreError as error:
                log.debug("scheduler cannot read its epoch: {}", error)
                await self._clock.sleep(RETRY_DELAY)
                continue
            if record is None or record.value != epoch:
                return None
            return Compare(EPOCH_KEY, record.mod_revision)

    async def _follow(self, term: SchedulerTerm) -> None:
        """Load the job records into the term with a scan, then watch them."""
        while True:
            try:
                page = await scan_all(self._store, layout.JOBS)
                term.load(page.entries)
                async with self._store.watch(
                    layout.JOBS, from_revision=page.revision + 1
                ) as batches:
                    async for batch in batches:
                        for event in batch.events:
                            term.table.apply(event)
            except StoreError as error:
                log.info("following job records failed: {}", error)
            term.store_lost()
            await self._clock.sleep(RETRY_DELAY * random.uniform(0.5, 1.5))
