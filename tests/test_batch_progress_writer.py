"""The progress writer with a store that is slow or loses answers."""

from __future__ import annotations

from datetime import timedelta

import anyio
import pytest

from pomeloyard.batch import layout
from pomeloyard.batch.model import JobRecord, JobSpec, StepSpec
from pomeloyard.batch.progress import JobRun
from pomeloyard.batch.progress_writer import (
    LARGE_RECORD_BYTES,
    MAX_CONCURRENT_WRITES,
    ProgressWriter,
)
from pomeloyard.clock import ManualClock
from pomeloyard.keyvalue.store import Compare
from tests.support.job_fakes import FaultyStore, settle
from tests.test_batch_decisions import NOW, QUEUE

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


class WriterHarness:
    def __init__(self):
        self.clock = ManualClock()
        self.store = FaultyStore(self.clock)
        self.writer = ProgressWriter(self.clock, self.store, Compare("epoch", 0))
        self.jobs = []

    def place(self, count):
        """Create jobs and place the first task of each."""
        for number in range(len(self.jobs), len(self.jobs) + count):
            spec = JobSpec("p", (StepSpec(1, 1000, 100),))
            record = JobRecord("q", "nets", spec, NOW, "w")
            job = JobRun(f"{number:04x}", record, QUEUE, timedelta(0))
            step = next(iter(job.ready_steps()))
            job.place(step.tasks[0], "e-0", 1, timedelta(0))
            self.jobs.append(job)
            self.writer.mark_changed(job)

    def stored(self):
        return sum(k.startswith(layout.RUNS) for k in self.store._entries_by_key)

    async def store_all(self, tasks, results):
        """Take and store groups in the way a term does."""
        while self.writer.has_unwritten_changes:
            await self.writer.wait_for_batching()
            groups = self.writer.take_groups()
            for group in groups:
                tasks.start_soon(self.store_group, group, results)
            if groups:
                tasks.start_soon(self.writer.end_batching)
            else:
                await anyio.sleep(0)

    async def store_group(self, group, results):
        results.append(await self.writer.store_group(group))

    async def drive(self, milliseconds):
        for _ in range(round(milliseconds / 25)):
            await settle(60)
            self.clock.advance(timedelta(milliseconds=25))
        await settle(60)


async def test_a_burst_is_stored_within_one_slow_answer():
    # Lilim, trouble-2: groups were written one after another; with a store 50 to 100
    # times slower than usual, 4 of 317 jobs of a 4 s burst met their deadline.
    harness = WriterHarness()
    harness.store.delay = timedelta(milliseconds=400)
    harness.place(85)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(harness.store_all, tasks, [])
        await harness.drive(425)
        assert harness.stored() == 85
        tasks.cancel_scope.cancel()


async def test_changes_during_a_slow_write_do_not_wait_for_it():
    # The second half of a burst arrives while the first half is being written.
    harness = WriterHarness()
    harness.store.delay = timedelta(milliseconds=400)
    harness.place(40)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(harness.store_all, tasks, [])
        await harness.drive(100)
        harness.place(40)
        tasks.start_soon(harness.store_all, tasks, [])
        await harness.drive(325)
        assert harness.stored() == 40
        await harness.drive(125)
        assert harness.stored() == 80
        tasks.cancel_scope.cancel()


async def test_a_job_has_at_most_one_write_in_flight():
    harness = WriterHarness()
    harness.store.delay = timedelta(milliseconds=400)
    harness.place(1)
    (first,) = harness.writer.take_groups()
    harness.writer.mark_changed(harness.jobs[0])
    assert harness.writer.take_groups() == []
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(harness.store_group, first, results := [])
        await harness.drive(400)
        assert results == [True]
        (second,) = harness.writer.take_groups()
        assert second.transaction.compares[1].mod_revision == harness.jobs[0].revision
        tasks.cancel_scope.cancel()


async def test_an_end_is_not_acknowledged_before_its_own_write():
    harness = WriterHarness()
    harness.store.delay = timedelta(milliseconds=400)
    harness.place(2)
    groups = harness.writer.take_groups()
    harness.writer.mark_changed(harness.jobs[0])
    waited = []

    async def wait():
        await harness.writer.wait_until_durable({harness.jobs[0].job_id})
        waited.append(harness.clock.monotonic())

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(wait)
        tasks.start_soon(harness.store_group, groups[0], [])
        await harness.drive(425)
        assert waited == []
        tasks.start_soon(harness.store_all, tasks, [])
        await harness.drive(425)
        assert len(waited) == 1
        tasks.cancel_scope.cancel()


async def test_an_end_does_not_wait_for_the_writes_of_other_jobs():
    # With 30% of the store's answers lost, some write was always in flight, and polls
    # of executors waited until none was.
    harness = WriterHarness()
    harness.place(2)
    harness.store.delay = timedelta(milliseconds=400)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(harness.store_all, tasks, [])
        await harness.drive(300)
        harness.place(1)
        other = harness.jobs[2].job_id
        assert harness.writer.has_undurable_changes(other)
        await harness.drive(125)
        with anyio.fail_after(5):
            await harness.writer.wait_until_durable({harness.jobs[0].job_id})
        assert harness.writer.has_undurable_changes(other)
        tasks.cancel_scope.cancel()


async def test_an_outage_causes_a_bounded_number_of_writes():
    harness = WriterHarness()
    harness.place(500)
    groups = harness.writer.take_groups()
    assert len(groups) == MAX_CONCURRENT_WRITES
    assert all(len(g.transaction.operations) <= 30 for g in groups)
    assert harness.writer.take_groups() == []


@pytest.mark.parametrize("lost", [1, 3, 6])
async def test_groups_whose_answers_are_lost_are_read_back(lost):
    harness = WriterHarness()
    harness.store.answers_to_lose = lost
    harness.place(85)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(harness.store_all, tasks, results := [])
        await harness.drive(1000)
        assert set(results) == {True}
        assert harness.stored() == 85
        tasks.cancel_scope.cancel()


async def test_a_replaced_epoch_fails_the_write():
    harness = WriterHarness()
    harness.writer = ProgressWriter(harness.clock, harness.store, Compare("epoch", 9))
    harness.place(85)
    assert not await harness.writer.store_group(harness.writer.take_groups()[0])
    assert harness.stored() == 0


async def test_large_records_are_written_one_at_a_time_beside_small_ones():
    # Several at once would fill a slow link, and the role's lease would expire.
    harness = WriterHarness()
    harness.place(5)
    for job in harness.jobs[:3]:
        job.record_bytes = LARGE_RECORD_BYTES
    written = []
    while harness.writer.has_unwritten_changes:
        groups = harness.writer.take_groups()
        written.append([job.job_id for g in groups for job, _, _ in g.contents])
        for group in groups:
            assert await harness.writer.store_group(group)
    assert written == [["0000", "0003", "0004"], ["0001"], ["0002"]]
