"""The count of waiting jobs: those of which no task has begun on an executor."""

from __future__ import annotations

from datetime import timedelta

import pytest

from pomeloyard.batch import layout
from pomeloyard.batch.marker_sweep import DELAY
from pomeloyard.batch.model import JobState, StepSpec
from pomeloyard.errors import StoreUnavailableError

from .support.batch_world import QUEUE, World

pytestmark = pytest.mark.anyio

LONG = timedelta(seconds=30)
STEP = StepSpec(2, 1000, 100)
MAX_AGE_S = 2
"""The count may be this old."""


@pytest.fixture
def anyio_backend():
    return "asyncio"


async def waiting(world):
    return await world.job_service.count_waiting(QUEUE.name)


async def test_a_job_whose_starts_are_rejected_is_counted_until_it_begins():
    """Its marker was deleted with the assignment; review/15 (MIXED)."""
    world = World(executors=1)
    world.client.run_time = LONG
    (fake,) = world.fake_executors
    fake.rejects_starts = True
    async with world.running():
        await world.submit("a1", STEP)
        for _ in range(12):
            await world.run_for(0.5)
            assert await waiting(world) == 1
        assert world.client.rejected_starts
        fake.rejects_starts = False
        assert await world.run_for(6, lambda: len(world.client.started) == 2)
        await world.run_for(MAX_AGE_S)
        assert await waiting(world) == 0


async def test_a_job_whose_start_gets_no_answer_and_no_effect_is_counted():
    """A start that was never carried out shows nothing."""
    world = World(executors=1)
    world.client.run_time = LONG
    (fake,) = world.fake_executors
    fake.starts_to_delay = 1000
    async with world.running():
        await world.submit("a1", StepSpec(1, 1000, 100))
        for _ in range(10):
            await world.run_for(0.5)
            assert await waiting(world) == 1
        fake.starts_to_delay = 0
        assert await world.run_for(6, lambda: world.client.started)
        await world.run_for(MAX_AGE_S)
        assert await waiting(world) == 0


async def test_a_job_that_began_with_a_lost_answer_is_not_counted():
    world = World(executors=1)
    world.client.run_time = LONG
    (fake,) = world.fake_executors
    fake.start_answers_to_lose = 1
    async with world.running():
        await world.submit("a1", StepSpec(1, 1000, 100))
        assert await world.run_for(6, lambda: world.client.started)
        await world.run_for(MAX_AGE_S)
        assert await waiting(world) == 0


@pytest.mark.parametrize("state", ["rejected", "running", "ended"])
async def test_the_count_is_right_after_a_change_of_the_term(state):
    """The next term does not know which starts were answered."""
    world = World(executors=1)
    world.client.run_time = LONG if state != "ended" else timedelta(seconds=1)
    (fake,) = world.fake_executors
    fake.rejects_starts = state == "rejected"
    async with world.running() as first:
        await world.submit("a1", StepSpec(1, 1000, 100))
        await world.run_for(0.3)
        first.end_term("injected")
        async with world.term():
            for _ in range(6):
                await world.run_for(0.5)
                assert await waiting(world) <= 1
            assert await waiting(world) == (state == "rejected")
            if state == "ended":
                assert world.state("a1") is JobState.COMPLETED


async def test_a_marker_that_could_not_be_deleted_is_deleted_later():
    world = World(executors=1)
    world.client.run_time = LONG
    async with world.running():
        commit = world.store.commit
        failed = []

        async def fail_deletions(transaction):
            deletes = [o.key for o in transaction.operations if not hasattr(o, "value")]
            if any(key.startswith(layout.WAITING) for key in deletes):
                failed.append(transaction)
                raise StoreUnavailableError("injected")
            return await commit(transaction)

        world.store.commit = fail_deletions
        await world.submit("a1", StepSpec(1, 1000, 100))
        await world.run_for(3)
        assert failed
        assert await waiting(world) == 1
        world.store.commit = commit
        await world.run_for(MAX_AGE_S)
        assert await waiting(world) == 0


async def test_markers_of_many_jobs_are_deleted_with_few_writes():
    world = World(executors=4, cpu=64_000)
    world.client.run_time = LONG
    async with world.running():
        for number in range(60):
            await world.submit(f"a{number}", StepSpec(1, 100, 1))
        commit = world.store.commit
        writes = []

        async def count(transaction):
            writes.append(transaction)
            return await commit(transaction)

        world.store.commit = count
        await world.run_for(4)
        assert len(world.client.started) == 60
        assert await waiting(world) == 0
        only_deletions = [t for t in writes if all(_deletes(o) for o in t.operations)]
        assert len(only_deletions) <= 6


def _deletes(operation):
    return not hasattr(operation, "value")


async def test_markers_that_an_earlier_build_left_behind_are_deleted():
    """It deletes a marker with the first assignment only."""
    world = World(executors=1)
    async with world.running():
        await world.submit("a1", StepSpec(1, 1000, 100))
        assert await world.run_for(5, lambda: world.state("a1") is JobState.COMPLETED)
        nowhere = StepSpec(1, 1000, 100, label="nowhere")
        await world.submit("b1", nowhere)
        prefix = layout.waiting_prefix(QUEUE.name)
        for job_id in ("a1", "gone"):
            await world.put(prefix + job_id, b"1")
        assert await waiting(world) == 3
        await world.run_for(DELAY.total_seconds() + 3)
        assert await waiting(world) == 1
        assert world.entry(prefix + "b1") is not None


async def test_an_executor_that_rejects_starts_comes_after_idle_ones():
    """It was chosen again for each start while six others were idle; review/15."""
    world = World(executors=4)
    async with world.running():
        await world.submit("a1", StepSpec(1, 1000, 100))
        assert await world.run_for(5, lambda: world.state("a1") is JobState.COMPLETED)
        ((_, _, first),) = world.client.started
        world.client.by_id[first].rejects_starts = True
        for number in range(12):
            await world.submit(f"b{number}", StepSpec(1, 1000, 100))
            await world.run_for(0.25)
        await world.run_for(1)
        names = {task.split(".")[0] for task, _, _ in world.client.started}
        assert len(names) == 13
        assert world.client.rejected_starts <= 4
        # It is tried again, and used once it accepts.
        world.client.by_id[first].rejects_starts = False
        await world.run_for(5)
        world.client.started.clear()
        await world.submit("c1", StepSpec(16, 1000, 100))
        await world.run_for(2)
        assert first in {executor for _, _, executor in world.client.started}


async def test_an_executor_that_rejects_starts_is_used_where_no_other_fits():
    world = World(executors=1)
    (fake,) = world.fake_executors
    fake.rejects_starts = True
    async with world.running():
        await world.submit("a1", StepSpec(1, 1000, 100))
        await world.run_for(10)
        fake.rejects_starts = False
        assert await world.run_for(2, lambda: world.client.started)
