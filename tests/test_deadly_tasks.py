"""Tasks that crash the executors that start them."""

from __future__ import annotations

from datetime import timedelta

import pytest

from pomeloyard.batch.model import JobState, StepSpec

from .support.batch_world import World

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


def state_is(world, job, state):
    return lambda: world.state(job) is state


def starts_of(world, task):
    return sum(name == task for name, _, _ in world.client.started)


@pytest.mark.parametrize("managed", [True, False], ids=["new-id", "same-id"])
async def test_a_task_that_crashes_each_executor_is_given_up(managed):
    # hn-goalnet, issue 31: one task was started 38 times, about once a second.
    world = World(executors=6)
    if managed:
        world.manage_vms()
    world.client.deadly.add("a1.0.0.1")
    async with world.running():
        await world.submit("a1", StepSpec(3, 1000, 100))
        assert await world.run_for(30, state_is(world, "a1", JobState.FAILED))
        assert world.client.crashes_by_task["a1.0.0.1"] <= 3
        before = len(world.client.started)
        await world.run_for(5)
        assert len(world.client.started) == before


@pytest.mark.parametrize("managed", [True, False], ids=["new-id", "same-id"])
async def test_tasks_beside_a_deadly_one_complete(managed):
    world = World(executors=4)
    if managed:
        world.manage_vms()
    world.client.deadly.add("d1.0.0.0")
    world.client.run_time = timedelta(seconds=1.5)
    async with world.running():
        for number in range(4):
            await world.submit(f"b{number}", StepSpec(2, 600, 100))
        await world.run_for(0.3)
        await world.submit("d1", StepSpec(2, 600, 100))
        for number in range(4, 7):
            await world.submit(f"b{number}", StepSpec(2, 600, 100))
        assert await world.run_for(40, state_is(world, "d1", JobState.FAILED))
        for number in range(7):
            done = state_is(world, f"b{number}", JobState.COMPLETED)
            assert await world.run_for(20, done), number


async def test_a_new_holder_knows_the_crashes_of_its_predecessors():
    world = World(executors=6)
    world.manage_vms()
    world.client.deadly.add("a1.0.0.0")
    async with world.running():
        await world.submit("a1", StepSpec(2, 1000, 100))
        crashes = world.client.crashes_by_task
        for count in (1, 2, 3, 4):
            await world.run_for(20, lambda n=count: crashes["a1.0.0.0"] >= n)
            # Later than the crash is known, sooner than the next one.
            await world.run_for(
                6, lambda n=count: starts_of(world, "a1.0.0.0") > n or n == 4
            )
            async with world.term():
                await world.run_for(0.2)
        async with world.term():
            assert await world.run_for(20, state_is(world, "a1", JobState.FAILED))
