"""Reads the jobs and cancellations that a watch has missed.

Load pattern: the store drops its history at a peak, while the holder reaches it only
through relays with slow links. Hundreds of job records do not arrive within a timeout
then. The markers of jobs that have not begun are small, and a job that the holder does
not know has not begun, so the holder reads the markers and then only those jobs.
"""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable, Collection
from datetime import timedelta

import anyio
import logbook

from ..clock import Clock
from ..errors import StoreError
from ..keyvalue.store import Page, Store, WatchEvent
from . import layout

RETRY_DELAY = timedelta(milliseconds=80)
"""Pause after a store error. Retries are unlimited: if the store stays unreachable,
the role's lease expires and ends the term."""
MAX_CONCURRENT_READS = 16
"""A record has about 1 kB, so that these arrive within a fraction of the timeout also
at 10 Mbit/s."""

log = logbook.Logger("pomeloyard.batch.job_reload")


async def scan_pages(
    clock: Clock,
    store: Store,
    prefix: str,
    on_page: Callable[[], None] | None = None,
) -> AsyncIterator[Page]:
    """Yield all entries under ``prefix``; a page that fails is read again alone."""
    start = ""
    while True:
        try:
            page = await store.scan(prefix, start=start)
        except StoreError as error:
            log.info("scan of {} failed, retrying: {}", prefix, error)
            await clock.sleep(RETRY_DELAY)
            continue
        if on_page is not None:
            on_page()
        yield page
        if not page.more:
            return
        start = page.entries[-1].key + "\0"


async def scan_with_retries(
    clock: Clock,
    store: Store,
    prefix: str,
    on_page: Callable[[], None] | None = None,
) -> Page:
    """Return all entries under ``prefix``; a page that fails is read again alone.

    ``on_page`` is called after each page. The revision is that of the first page, so
    that a watch from it on misses no change.
    """
    pages = [page async for page in scan_pages(clock, store, prefix, on_page)]
    entries = tuple(entry for page in pages for entry in page.entries)
    return Page(entries, pages[0].revision)


class JobReload:
    """Finds the jobs that are not known, and all cancellations, after a gap."""

    def __init__(
        self,
        clock: Clock,
        store: Store,
        is_known: Callable[[str], bool],
        denied_ids: Collection[str],
        apply: Callable[[WatchEvent], None],
        on_progress: Callable[[], None] | None = None,
    ) -> None:
        """Prepare reloads; ``denied_ids`` are of jobs cancelled before they existed.

        ``on_progress`` is called after each page that was read.
        """
        self._on_progress = on_progress
        self._clock = clock
        self._store = store
        self._is_known = is_known
        self._denied_ids = denied_ids
        self._apply = apply

    async def run(self) -> int:
        """Apply what was missed; return the revision from which to watch again."""
        # Before the jobs, as one whose denial has ended must not be cancelled.
        cancels_revision, unknown_cancels = await self._apply_cancels()
        revision = await self._read_unknown_jobs()
        # After the jobs, as a cancellation of an unknown job denies its creation.
        for event in unknown_cancels:
            self._apply(event)
        return min(revision, cancels_revision)

    async def _apply_cancels(self) -> tuple[int, list[WatchEvent]]:
        """Apply the cancellations of known jobs; return the revision and the others.

        The end of a denial may have been missed as well; a job of that id that was
        accepted since must not be cancelled.
        """
        page = await scan_with_retries(
            self._clock, self._store, layout.CANCELS, self._on_progress
        )
        present = {entry.key for entry in page.entries}
        for key in [layout.CANCELS + job_id for job_id in self._denied_ids]:
            if key not in present:
                self._apply(WatchEvent(key, None, page.revision))
        others = []
        for entry in page.entries:
            event = WatchEvent(entry.key, entry, entry.mod_revision)
            if self._is_known(entry.key.removeprefix(layout.CANCELS)):
                self._apply(event)
            else:
                others.append(event)
        return page.revision, others

    async def _read_unknown_jobs(self) -> int:
        """Read and apply the unknown jobs; return the revision of the first page."""
        limit = anyio.Semaphore(MAX_CONCURRENT_READS)
        revision: int | None = None
        waiting = unknown = 0
        async with anyio.create_task_group() as tasks:
            async for page in scan_pages(
                self._clock, self._store, layout.WAITING, self._on_progress
            ):
                revision = page.revision if revision is None else revision
                waiting += len(page.entries)
                for entry in page.entries:
                    job_id = entry.key.rpartition("/")[2]
                    if not self._is_known(job_id):
                        unknown += 1
                        tasks.start_soon(self._read_job, job_id, limit)
        log.info(
            "read the jobs again: {} have not begun, {} of them were unknown",
            waiting,
            unknown,
        )
        assert revision is not None
        return revision

    async def _read_job(self, job_id: str, limit: anyio.Semaphore) -> None:
        key = layout.JOBS + job_id
        while True:
            try:
                async with limit:
                    entry = await self._store.get(key)
            except StoreError as error:
                log.info("reading {} failed, retrying: {}", key, error)
                await self._clock.sleep(RETRY_DELAY)
                continue
            # Without a record it has ended and expired since the marker was read.
            if entry is not None:
                self._apply(WatchEvent(key, entry, entry.mod_revision))
            return
