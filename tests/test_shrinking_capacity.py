"""Executors whose capacity shrinks, and grows again, while tasks run on them."""

from __future__ import annotations

import random
from contextlib import AsyncExitStack
from datetime import timedelta

import anyio
import pytest

from pomeloyard.batch.model import JobState, StepSpec

from .support.batch_world import SHRINK_GRACE, World, configuration

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


async def resize(world, fake, cpu):
    executor = fake.resize(cpu)
    await world.put(f"executors/{executor.executor_id}", executor)


def completed(world, *jobs):
    return lambda: all(world.state(job) is JobState.COMPLETED for job in jobs)


def running_cpu(world, fake):
    return sum(world.cpu_millis_of(task) for task in fake.runs)


async def test_nothing_starts_until_what_runs_fits_into_the_smaller_capacity():
    world = World(executors=1)
    world.client.run_time = timedelta(seconds=6)
    async with world.running():
        (fake,) = world.fake_executors
        await world.submit("a1", StepSpec(4, 1000, 100))
        await world.run_for(1)
        await resize(world, fake, 2000)
        await world.submit("b1", StepSpec(2, 1000, 100))
        await world.run_for(4.5)
        assert len(world.client.started) == 4
        assert await world.run_for(20, completed(world, "a1", "b1"))


async def test_a_task_that_is_being_stopped_counts_against_the_smaller_capacity():
    world = World(executors=1)
    world.client.run_time = timedelta(seconds=30)
    async with world.running():
        (fake,) = world.fake_executors
        fake.stop_time = timedelta(seconds=0.9)
        await world.submit("a1", StepSpec(4, 1000, 100))
        await world.run_for(1)
        await resize(world, fake, 2000)
        await world.run_for(SHRINK_GRACE.total_seconds())
        await world.submit("b1", StepSpec(2, 1000, 100))
        await world.job_service.cancel(
            "a1", "nets", world.clock.monotonic() + timedelta(seconds=3)
        )
        assert await world.run_for(3, lambda: len(world.client.started) == 6)


async def test_a_start_that_waited_for_the_store_fits_into_the_capacity_of_its_time():
    # The assignment is made under the larger capacity; storing it takes six seconds.
    world = World(executors=1)
    world.client.run_time = timedelta(seconds=12)
    async with world.running():
        (fake,) = world.fake_executors
        world.store.delay = timedelta(seconds=6)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(world.submit, "a1", StepSpec(4, 1000, 100))
            await world.run_for(6.2)
            world.store.delay = timedelta(0)
            await resize(world, fake, 2000)
            await world.run_for(6.5)
        started = [task for task, _, _ in world.client.started]
        assert len(started) == 2
        assert await world.run_for(40, completed(world, "a1"))


async def test_nothing_starts_by_an_old_registration():
    # Polls of the registrations get no answer, while the store works otherwise.
    world = World(executors=1)
    async with world.running():
        (fake,) = world.fake_executors
        await world.run_for(0.5)
        world.store.silent_prefix, world.store.silent_polls = "executors/", 5
        await world.run_for(2)
        await resize(world, fake, 1000)
        await world.run_for(SHRINK_GRACE.total_seconds())
        await world.submit("a1", StepSpec(4, 1000, 100))
        assert await world.run_for(30, completed(world, "a1"))


async def test_a_new_holder_counts_the_smaller_capacity():
    world = World(executors=2)
    world.client.run_time = timedelta(seconds=8)
    await world.publish(configuration())
    for fake in world.fake_executors:
        await world.put(f"executors/{fake.executor.executor_id}", fake.executor)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(world.follower.run)
        await world.run_for(0.2)
        await world.submit("a1", StepSpec(6, 1000, 100))
        async with world.term():
            await world.run_for(1)
        for fake in world.fake_executors:
            await resize(world, fake, 1000)
        await world.run_for(SHRINK_GRACE.total_seconds())
        async with world.term():
            await world.submit("b1", StepSpec(4, 1000, 100))
            assert await world.run_for(60, completed(world, "a1", "b1"))
        tasks.cancel_scope.cancel()
    assert world.client.violations == []


async def test_a_capacity_that_grows_again_is_used():
    world = World(executors=1)
    async with world.running():
        (fake,) = world.fake_executors
        await resize(world, fake, 0)
        await world.submit("a1", StepSpec(4, 1000, 100))
        await world.run_for(6)
        assert world.client.started == []
        await resize(world, fake, 4000)
        assert await world.run_for(3, completed(world, "a1"))


async def test_a_filling_task_starts_beside_more_than_the_smaller_capacity():
    # Its cpu is not counted; memory is.
    world = World(executors=1)
    world.client.run_time = timedelta(seconds=6)
    async with world.running():
        (fake,) = world.fake_executors
        await world.submit("a1", StepSpec(4, 1000, 100))
        await world.run_for(1)
        await resize(world, fake, 2000)
        await world.submit("f1", StepSpec(1, 0, 100, fills=True))
        await world.run_for(1)
        assert len(world.client.started) == 5


async def test_a_pool_is_scaled_by_the_smaller_capacity():
    world = World(executors=2)
    vms = world.manage_vms(standby=4)
    world.client.run_time = timedelta(seconds=3)
    async with world.running():
        for fake in list(world.fake_executors):
            await resize(world, fake, 500)
        await world.submit("a1", StepSpec(8, 1000, 100))
        assert await world.run_for(60, completed(world, "a1"))
        assert vms.moves


@pytest.mark.parametrize("seed", range(20))
async def test_no_start_exceeds_a_capacity_that_changes_at_random(seed):
    rng = random.Random(seed)
    random.seed(seed)  # the module's generator sets the delays between polls
    world = World(executors=rng.randint(1, 4))
    world.client.run_time = timedelta(seconds=rng.choice([0.5, 2.0, 6.0]))
    for fake in world.fake_executors:
        fake.stop_time = timedelta(seconds=rng.choice([0, 0.9]))
    jobs = []
    async with AsyncExitStack() as stack:
        await stack.enter_async_context(world.running())
        for number in range(40):
            fake = rng.choice(world.fake_executors)
            chance = rng.random()
            if chance < 0.25:
                await resize(world, fake, rng.choice([0, 1000, 2000, 4000]))
            elif chance < 0.35:
                world.store.silent_prefix = "executors/"
                world.store.silent_polls = rng.randint(1, 5)
            elif chance < 0.42:
                await stack.enter_async_context(world.term())
            elif chance < 0.5:
                fake.starts_to_delay = 1
            elif chance < 0.75:
                jobs.append(f"{number:02}")
                spec = StepSpec(rng.randint(1, 5), rng.choice([500, 1000]), 100)
                await world.submit(jobs[-1], spec)
            await world.run_for(rng.choice([0.1, 0.5, 2.0]))
        for fake in world.fake_executors:
            await resize(world, fake, 4000)
        assert await world.run_for(120, completed(world, *jobs))
