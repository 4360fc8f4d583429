"""The writer of jobs' progress with a store that is slow or loses answers."""

from __future__ import annotations

from datetime import timedelta

import anyio
import pytest

from pomeloyard.batch import layout
from pomeloyard.batch.model import JobRecord, JobSpec, StepSpec
from pomeloyard.batch.progress import JobRun
from pomeloyard.batch.progress_writer import MAX_CONCURRENT_WRITES, ProgressWriter
from pomeloyard.clock import ManualClock
from pomeloyard.keyvalue.store import Compare
from tests.support.job_fakes import FaultyStore, settle
from tests.test_batch_decisions import NOW, QUEUE

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


class Writing:
    def __init__(self):
        self.clock = ManualClock()
        self.store = FaultyStore(self.clock)
        self.writer = ProgressWriter(self.clock, self.store, Compare("epoch", 0))
        self.jobs = []

    def place(self, count):
        """Place the first task of new jobs, as a peak does."""
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
        """Take and store groups as a term does."""
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


async def test_a_peak_is_stored_in_the_time_of_one_slow_answer():
    # Grown Lilim, trouble-2: a store that was 50 to 100 times as slow took its time for
    # each group in turn; in 4 s of a peak 4 of 317 jobs were in time.
    writing = Writing()
    writing.store.delay = timedelta(milliseconds=400)
    writing.place(85)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(writing.store_all, tasks, [])
        await writing.drive(425)
        assert writing.stored() == 85
        tasks.cancel_scope.cancel()


async def test_what_changes_during_a_slow_answer_does_not_wait_for_it():
    # The second half of a peak comes while the first half is being stored.
    writing = Writing()
    writing.store.delay = timedelta(milliseconds=400)
    writing.place(40)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(writing.store_all, tasks, [])
        await writing.drive(100)
        writing.place(40)
        tasks.start_soon(writing.store_all, tasks, [])
        await writing.drive(325)
        assert writing.stored() == 40
        await writing.drive(125)
        assert writing.stored() == 80
        tasks.cancel_scope.cancel()


async def test_a_job_has_one_write_at_a_time_and_its_starts_wait_for_theirs():
    writing = Writing()
    writing.store.delay = timedelta(milliseconds=400)
    writing.place(1)
    (first,) = writing.writer.take_groups()
    writing.writer.mark_changed(writing.jobs[0])
    assert writing.writer.take_groups() == []
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(writing.store_group, first, results := [])
        await writing.drive(400)
        assert results == [True]
        (second,) = writing.writer.take_groups()
        assert second.transaction.compares[1].mod_revision == writing.jobs[0].revision
        tasks.cancel_scope.cancel()


async def test_an_end_is_not_acknowledged_before_its_own_write():
    writing = Writing()
    writing.store.delay = timedelta(milliseconds=400)
    writing.place(2)
    groups = writing.writer.take_groups()
    writing.writer.mark_changed(writing.jobs[0])
    waited = []

    async def wait():
        await writing.writer.wait_until_durable({writing.jobs[0].job_id})
        waited.append(writing.clock.monotonic())

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(wait)
        tasks.start_soon(writing.store_group, groups[0], [])
        await writing.drive(425)
        assert waited == []
        tasks.start_soon(writing.store_all, tasks, [])
        await writing.drive(425)
        assert len(waited) == 1
        tasks.cancel_scope.cancel()


async def test_an_end_does_not_wait_for_the_writes_of_other_jobs():
    # A day with 30% of the store's answers lost: some write was always unanswered, and
    # executors were looked at again only when none was.
    writing = Writing()
    writing.place(2)
    writing.store.delay = timedelta(milliseconds=400)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(writing.store_all, tasks, [])
        await writing.drive(300)
        writing.place(1)
        other = writing.jobs[2].job_id
        assert writing.writer.has_undurable_changes(other)
        await writing.drive(125)
        with anyio.fail_after(5):
            await writing.writer.wait_until_durable({writing.jobs[0].job_id})
        assert writing.writer.has_undurable_changes(other)
        tasks.cancel_scope.cancel()


async def test_an_outage_is_met_by_a_bounded_number_of_writes():
    writing = Writing()
    writing.place(500)
    groups = writing.writer.take_groups()
    assert len(groups) == MAX_CONCURRENT_WRITES
    assert all(len(g.transaction.operations) <= 30 for g in groups)
    assert writing.writer.take_groups() == []


@pytest.mark.parametrize("lost", [1, 3, 6])
async def test_groups_whose_answers_are_lost_are_read_back(lost):
    writing = Writing()
    writing.store.answers_to_lose = lost
    writing.place(85)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(writing.store_all, tasks, results := [])
        await writing.drive(1000)
        assert set(results) == {True}
        assert writing.stored() == 85
        tasks.cancel_scope.cancel()


async def test_a_replaced_epoch_is_noticed():
    writing = Writing()
    writing.writer = ProgressWriter(writing.clock, writing.store, Compare("epoch", 9))
    writing.place(85)
    assert not await writing.writer.store_group(writing.writer.take_groups()[0])
    assert writing.stored() == 0
