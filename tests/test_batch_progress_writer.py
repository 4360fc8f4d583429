"""The writer of jobs' progress with a store that is slow or loses answers."""

from __future__ import annotations

from datetime import timedelta

import anyio
import pytest

from pomeloyard.batch import layout
from pomeloyard.batch.model import JobRecord, JobSpec, StepSpec
from pomeloyard.batch.progress import JobRun
from pomeloyard.batch.progress_writer import ProgressWriter
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
            self.writer.mark(job)

    def stored(self):
        return sum(k.startswith(layout.RUNS) for k in self.store._entries_by_key)


async def test_a_peak_is_stored_in_the_time_of_one_slow_answer():
    # Grown Lilim, trouble-2: a store that was 50 to 100 times as slow took its time for
    # each group in turn; in 4 s of a peak 4 of 317 jobs were in time.
    writing = Writing()
    writing.store.delay = timedelta(milliseconds=400)
    writing.place(85)
    results = []

    async def flush():
        results.append(await writing.writer.flush())

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(flush)
        await settle(40)
        writing.clock.advance(timedelta(milliseconds=400))
        await settle(400)
        assert results == [True]
        assert writing.stored() == 85
        tasks.cancel_scope.cancel()


@pytest.mark.parametrize("lost", [1, 3, 6])
async def test_groups_whose_answers_are_lost_are_read_back(lost):
    writing = Writing()
    writing.store.answers_to_lose = lost
    writing.place(85)
    results = []

    async def flush():
        results.append(await writing.writer.flush())

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(flush)
        for _ in range(20):
            await settle(40)
            writing.clock.advance(timedelta(milliseconds=50))
        assert results == [True]
        assert writing.stored() == 85
        tasks.cancel_scope.cancel()


async def test_a_replaced_epoch_is_noticed_in_any_group():
    writing = Writing()
    writing.writer = ProgressWriter(writing.clock, writing.store, Compare("epoch", 9))
    writing.place(85)
    assert not await writing.writer.flush()
    assert writing.stored() == 0
