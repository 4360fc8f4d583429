"""Deletes markers of waiting jobs that no other write will delete.

An earlier build deletes a marker with the first assignment only, so that one whose job
it took over in between would stay for ever and be counted as waiting.
"""

from __future__ import annotations

from collections.abc import Mapping
from datetime import timedelta

import logbook

from ..clock import Clock
from ..errors import StoreError
from ..keyvalue.store import Compare, Delete, Store, Transaction
from . import layout
from .job_reload import scan_pages
from .progress import JobRun

DELAY = timedelta(seconds=10)
"""Time for a new term to catch up first."""

log = logbook.Logger("pomeloyard.batch.marker_sweep")


class MarkerSweep:
    """Looks at all markers once in a term."""

    def __init__(
        self,
        clock: Clock,
        store: Store,
        guard: Compare,
        jobs_by_id: Mapping[str, JobRun],
    ) -> None:
        self._clock = clock
        self._store = store
        self._guard = guard
        self._jobs_by_id = jobs_by_id

    async def run(self) -> None:
        """Delete the markers of jobs that have ended or expired."""
        await self._clock.sleep(DELAY)
        deleted = 0
        async for page in scan_pages(self._clock, self._store, layout.WAITING):
            for entry in page.entries:
                deleted += await self._delete_if_over(entry.key)
        log.info("deleted {} markers of jobs that had ended", deleted)

    async def _delete_if_over(self, key: str) -> bool:
        job_id = key.rpartition("/")[2]
        job = self._jobs_by_id.get(job_id)
        if job is not None and not job.final:
            return False
        compares = [self._guard]
        if job is None:
            # It may have been created a moment ago, or its record cannot be decoded.
            compares.append(Compare(layout.JOBS + job_id, 0))
        try:
            result = await self._store.commit(
                Transaction(tuple(compares), (Delete(key),))
            )
        except StoreError as error:
            log.info("marker {} was not deleted: {}", key, error)
            return False
        return result.succeeded
