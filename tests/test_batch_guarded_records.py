"""Records of one term under lost, late and concurrent writes."""

from __future__ import annotations

import anyio
import pytest

from pomeloyard.batch.guarded_records import GuardedRecords
from pomeloyard.errors import StoreOutcomeUnknownError
from pomeloyard.keyvalue.store import Compare

from .support.batch_world import EPOCH_KEY, World
from .support.job_fakes import FaultyStore

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


class LateStore(FaultyStore):
    """Keeps the next write to be carried out later, without an answer."""

    keeps = 0

    async def commit(self, transaction):
        if self.keeps:
            self.keeps -= 1
            self.kept = transaction
            raise StoreOutcomeUnknownError("no answer yet")
        return await super().commit(transaction)


async def records_of(world):
    await world.put(EPOCH_KEY, 1)
    guard = Compare(EPOCH_KEY, world.entry(EPOCH_KEY).mod_revision)
    return GuardedRecords(world.clock, world.store, guard)


async def test_a_write_that_is_carried_out_late_replaces_no_newer_one():
    world = World()
    world.store = LateStore(world.clock)
    records = await records_of(world)
    world.store.keeps = 1
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(records.write, "k", b"first")
        await world.drive(1)
    assert await records.write("k", b"second")
    assert not (await world.store.commit(world.store.kept)).succeeded
    assert world.entry("k").value == b"second"


async def test_a_lost_answer_is_read_back():
    world = World()
    records = await records_of(world)
    world.store.answers_to_lose = 1
    done = []

    async def write():
        done.append(await records.write("k", b"v"))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(write)
        await world.drive(1)
    assert done == [True]
    assert await records.write("k", b"w")


async def test_a_replaced_epoch_stops_the_writes():
    world = World()
    records = await records_of(world)
    await world.put(EPOCH_KEY, 2)
    assert not await records.write("k", b"v")
    assert world.entry("k") is None
