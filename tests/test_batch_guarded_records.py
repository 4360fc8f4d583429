"""Guarded records with lost, delayed and fenced writes."""

from __future__ import annotations

import anyio
import pytest

from pomeloyard.batch.fenced_records import FencedRecords
from pomeloyard.errors import StoreOutcomeUnknownError
from pomeloyard.keyvalue.store import Compare

from .support.batch_world import EPOCH_KEY, World
from .support.job_fakes import FaultyStore

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


class LateStore(FaultyStore):
    """Leaves the next writes unanswered; the test commits the last of them later."""

    writes_to_delay = 0

    async def commit(self, transaction):
        if self.writes_to_delay:
            self.writes_to_delay -= 1
            self.delayed_transaction = transaction
            raise StoreOutcomeUnknownError("no answer yet")
        return await super().commit(transaction)


async def new_records(world):
    await world.put(EPOCH_KEY, 1)
    guard = Compare(EPOCH_KEY, world.entry(EPOCH_KEY).mod_revision)
    return FencedRecords(world.clock, world.store, guard)


async def test_a_late_write_does_not_replace_a_newer_one():
    world = World()
    world.store = LateStore(world.clock)
    records = await new_records(world)
    world.store.writes_to_delay = 1
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(records.write, "k", b"first")
        await world.run_for(1)
    assert await records.write("k", b"second")
    assert not (await world.store.commit(world.store.delayed_transaction)).succeeded
    assert world.entry("k").value == b"second"


async def test_a_lost_answer_is_read_back():
    world = World()
    records = await new_records(world)
    world.store.answers_to_lose = 1
    done = []

    async def write():
        done.append(await records.write("k", b"v"))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(write)
        await world.run_for(1)
    assert done == [True]
    assert await records.write("k", b"w")


async def test_a_replaced_epoch_stops_the_writes():
    world = World()
    records = await new_records(world)
    await world.put(EPOCH_KEY, 2)
    assert not await records.write("k", b"v")
    assert world.entry("k") is None
