"""Following configurations: older versions, bad documents, age of the copy."""

from __future__ import annotations

from datetime import timedelta

import anyio
import pytest

from pomeloyard.batch.executor_registry import ExecutorRegistry
from pomeloyard.batch.executors import Executor
from pomeloyard.batch.model import Resources

from .support.batch_world import RegistrationDocuments, World, configuration
from .support.job_fakes import settle

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


async def test_an_older_version_is_never_applied():
    world = World()
    await world.publish(configuration(7))
    await world.follower._load_all()
    await world.publish(configuration(5))
    await world.follower._load_all()
    assert world.follower.current.version == 7


async def test_an_undecodable_configuration_keeps_the_current_one():
    world = World()
    await world.publish(configuration(7))
    await world.follower._load_all()
    await world.put("op/config", b"\xff\xff")
    await world.follower._load_all()
    assert world.follower.current.version == 7


async def test_the_proof_age_grows_while_the_store_is_down():
    world = World()
    await world.publish(configuration())
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(world.follower.run)
        await settle(200)
        assert world.follower.proof_age() == timedelta(0)
        world.store.down = True
        world.store._watchers.clear()
        for _ in range(3):
            world.clock.advance(timedelta(seconds=1))
            await settle()
        assert world.follower.proof_age() >= timedelta(seconds=2)
        tasks.cancel_scope.cancel()


async def test_the_proof_age_is_unbounded_before_the_first_answer():
    assert World().follower.proof_age() == timedelta.max


async def test_an_undecodable_registration_is_ignored():
    world = World()
    registry = ExecutorRegistry(world.clock, world.store, RegistrationDocuments())
    good = Executor("e", "e:1", "mill", "z", Resources(1), (), False, 1)
    await world.put("executors/e", good)
    await world.put("executors/bad", b"\xc1nonsense")
    await registry._load_all()
    assert list(registry.executors_by_id) == ["e"]
    await world.put("executors/e", b"\xc1")
    await registry._load_all()
    assert registry.executors_by_id == {}
