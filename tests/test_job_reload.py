"""Reading missed jobs again after the store has dropped its history."""

from __future__ import annotations

from collections import Counter
from datetime import timedelta

import anyio
import pytest

from pomeloyard.batch import layout
from pomeloyard.batch.job_reload import JobReload, scan_with_retries
from pomeloyard.clock import ManualClock
from pomeloyard.errors import StoreUnavailableError
from pomeloyard.keyvalue.memory import MemoryStore
from pomeloyard.keyvalue.store import Put, Transaction

from .support.job_fakes import with_clock

pytestmark = pytest.mark.anyio

RECORD_BYTES = 1300
"""Five hundred of these make a page of nearly 1 MB, the most that the store lists."""
TIMEOUT = timedelta(seconds=1.2)
LINK_BYTES_PER_S = 10_000_000 / 8 / 2
"""A relay with 10 Mbit/s receives and sends each answer."""
QUEUE = "cuts"


@pytest.fixture
def anyio_backend():
    return "asyncio"


class SlowLinkStore(MemoryStore):
    """Answers take their time on a slow link; those above the timeout are lost."""

    def __init__(self, clock):
        super().__init__(clock)
        self.slow = False
        self.scans_to_lose = 0
        self.page_size = 500
        self.cancels_read = anyio.Event()
        self.scanned = Counter()
        self.before_scan = {}
        """Called once, by prefix and start, before such a scan is answered."""

    async def scan(self, prefix, *, start="", limit=1000):
        if (prefix, start) in self.before_scan:
            await self.before_scan.pop((prefix, start))()
        page = await super().scan(prefix, start=start, limit=self.page_size)
        if prefix == layout.CANCELS:
            self.cancels_read.set()
        if not self.slow:
            return page
        self.scanned[prefix, start] += 1
        await self._transfer(sum(len(e.key) + len(e.value) for e in page.entries))
        if start and self.scans_to_lose:
            self.scans_to_lose -= 1
            raise StoreUnavailableError("answer lost")
        return page

    async def get(self, key):
        entry = await super().get(key)
        if self.slow and entry is not None:
            await self._transfer(len(entry.value))
        return entry

    async def _transfer(self, size):
        # Base64 and JSON add some 60 bytes an entry and a third to each value.
        needed = timedelta(seconds=size * 4 / 3 / LINK_BYTES_PER_S)
        await self._clock.sleep(min(needed, TIMEOUT))
        if needed > TIMEOUT:
            raise StoreUnavailableError("timeout")


class Holder:
    """Knows some jobs and applies the events of a reload."""

    def __init__(self, known):
        self.known = set(known)
        self.applied = []
        self.cancelled = []
        self.denied = set()

    def reload(self, clock, store):
        known = self.known.__contains__
        return JobReload(clock, store, known, self.denied, self.apply)

    def apply(self, event):
        if event.entry is None:
            self.denied.discard(event.key.removeprefix(layout.CANCELS))
            return
        if event.key.startswith(layout.CANCELS):
            self.cancelled.append(event.key.removeprefix(layout.CANCELS))
            return
        job_id = event.key.removeprefix(layout.JOBS)
        assert job_id not in self.known, "applied twice"
        assert job_id not in self.denied, "cancelled though it was accepted"
        self.known.add(job_id)
        self.applied.append(job_id)


async def put(store, key, value=b"1"):
    assert (await store.commit(Transaction((), (Put(key, value),)))).succeeded


async def add_job(store, job_id, *, begun):
    await put(store, layout.JOBS + job_id, b"x" * RECORD_BYTES)
    if not begun:
        await put(store, layout.waiting_prefix(QUEUE) + job_id)


async def store_with(clock, begun, waiting):
    store = SlowLinkStore(clock)
    for job_id in begun:
        await add_job(store, job_id, begun=True)
    for job_id in waiting:
        await add_job(store, job_id, begun=False)
    store.slow = True
    return store


BEGUN = [f"{number:016x}" for number in range(1000, 1600)]
NEW = [f"{number:016x}" for number in range(50)]


async def test_new_jobs_are_found_though_all_records_take_longer_than_the_timeout():
    """The holder saw no new job for 6 s, as no page of records arrived in time."""
    clock = ManualClock()
    store = await store_with(clock, BEGUN, NEW)
    error = await with_clock(clock, store.scan(layout.INCOMING))
    assert isinstance(error, StoreUnavailableError)
    holder = Holder(BEGUN)
    reload = holder.reload(clock, store)
    began_at = clock.monotonic()
    await with_clock(clock, reload.run())
    assert sorted(holder.applied) == NEW
    assert clock.monotonic() - began_at <= timedelta(seconds=2)


async def test_a_cancellation_in_the_gap_is_applied_after_its_job():
    clock = ManualClock()
    store = await store_with(clock, BEGUN, NEW)
    await put(store, layout.CANCELS + NEW[0])
    holder = Holder(BEGUN)
    reload = holder.reload(clock, store)
    await with_clock(clock, reload.run())
    assert NEW[0] in holder.applied
    assert holder.cancelled == [NEW[0]]


async def test_a_cancellation_of_a_known_job_does_not_wait_for_the_records():
    """The records of many new jobs take seconds; the cancelled job runs meanwhile."""
    clock = ManualClock()
    store = await store_with(clock, BEGUN, NEW)
    await put(store, layout.CANCELS + BEGUN[0])
    holder = Holder(BEGUN)
    applied_before = []

    def apply(event):
        if event.key.startswith(layout.CANCELS):
            applied_before.append(len(holder.applied))
        holder.apply(event)

    reload = JobReload(clock, store, holder.known.__contains__, (), apply)
    await with_clock(clock, reload.run())
    assert applied_before == [0]
    assert holder.cancelled == [BEGUN[0]]


async def test_a_job_whose_denial_ended_in_the_gap_is_not_cancelled():
    """Its id had been cancelled before it existed, and was accepted a minute later."""
    clock = ManualClock()
    store = await store_with(clock, BEGUN, NEW)
    await put(store, layout.CANCELS + "d" * 16)
    holder = Holder(BEGUN)
    holder.denied = {NEW[0], "d" * 16}
    await with_clock(clock, holder.reload(clock, store).run())
    assert NEW[0] in holder.applied
    assert holder.denied == {"d" * 16}


LATE = "f" * 16


@pytest.mark.parametrize("start", ["", layout.waiting_prefix(QUEUE) + NEW[-2] + "\0"])
async def test_a_job_stored_during_the_reload_is_left_to_the_watch(start):
    """A revision after the first page would hide what changed during the others.

    The job is stored before the first or the second page of markers is read, and after
    the cancellations have been read.
    """
    clock = ManualClock()
    store = await store_with(clock, (), NEW)
    store.page_size = len(NEW) - 1
    revision = (await store.scan("none")).revision

    async def add_late_job():
        await store.cancels_read.wait()
        await add_job(store, LATE, begun=False)

    store.before_scan[layout.WAITING, start] = add_late_job
    position = await with_clock(clock, Holder(()).reload(clock, store).run())
    assert position == revision
    batch = await store.poll_changes(layout.INCOMING, position, timedelta(0))
    assert [event.key for event in batch.events] == [layout.JOBS + LATE]


async def test_a_job_that_expired_since_its_marker_was_read_is_skipped():
    clock = ManualClock()
    store = await store_with(clock, (), NEW)
    await put(store, layout.waiting_prefix(QUEUE) + "e" * 16)
    holder = Holder(())
    reload = holder.reload(clock, store)
    await with_clock(clock, reload.run())
    assert sorted(holder.applied) == NEW


async def test_jobs_are_applied_before_the_last_page_of_markers_is_read():
    """20,000 markers take two seconds on a slow link, in which no job was applied."""
    clock = ManualClock()
    store = await store_with(clock, (), NEW)
    store.page_size = len(NEW) // 5
    last = layout.waiting_prefix(QUEUE) + NEW[-store.page_size - 1] + "\0"
    holder = Holder(())
    applied_before = []

    async def count_applied():
        applied_before.append(len(holder.applied))

    store.before_scan[layout.WAITING, last] = count_applied
    await with_clock(clock, holder.reload(clock, store).run())
    assert applied_before[0] > 0
    assert sorted(holder.applied) == NEW


async def test_a_page_that_fails_is_read_again_without_those_before_it():
    clock = ManualClock()
    many = [f"{number:016x}" for number in range(1200)]
    store = await store_with(clock, (), many)
    store.scans_to_lose = 2
    page = await with_clock(clock, scan_with_retries(clock, store, layout.WAITING))
    assert len(page.entries) == len(many)
    assert store.scanned[layout.WAITING, ""] == 1
    assert sum(store.scanned.values()) == 3 + 2


async def test_the_revision_of_a_scan_is_that_of_its_first_page():
    """A change of an entry on the first page during the second one would be missed."""
    clock = ManualClock()
    store = await store_with(clock, (), NEW)
    store.page_size = len(NEW) - 1
    revision = (await store.scan("none")).revision
    second = layout.waiting_prefix(QUEUE) + NEW[-2] + "\0"
    store.before_scan[layout.WAITING, second] = lambda: put(store, "b/other")
    page = await with_clock(clock, scan_with_retries(clock, store, layout.WAITING))
    assert len(page.entries) == len(NEW)
    assert page.revision == revision
    assert not store.before_scan
