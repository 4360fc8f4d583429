"""Submission and cancellation with lost answers, outages and withdrawn keys."""

from __future__ import annotations

from datetime import timedelta

import anyio
import pytest

from pomeloyard.batch import layout
from pomeloyard.batch.job_service import AuthorizedCall
from pomeloyard.batch.model import JobSpec, JobState, StepSpec
from pomeloyard.errors import OutcomeUnknownError, RefusedError
from pomeloyard.outcomes import RefusalReason, Refused

from .support.batch_world import QUEUE, TEAM, World, configuration
from .support.job_fakes import settle

pytestmark = pytest.mark.anyio
SPEC = JobSpec("payload", (StepSpec(1, 1000, 100),))


@pytest.fixture
def anyio_backend():
    return "asyncio"


class Caller:
    """Submits jobs to one daemon with a key that may be withdrawn."""

    def __init__(self, world):
        self.world = world
        self.outcome = None

    def authorize(self):
        current = self.world.follower.current
        if "key-1" not in current.team_by_key:
            raise RefusedError(Refused(RefusalReason.KEY_INVALID))
        return AuthorizedCall(QUEUE, TEAM.name, self.world.follower.revision)

    async def submit(self, job="a1", timeout=3.0):
        deadline = self.world.clock.monotonic() + timedelta(seconds=timeout)
        try:
            await self.world.job_service.submit(job, SPEC, self.authorize, deadline)
            self.outcome = "accepted"
        except RefusedError as error:
            self.outcome = error.refusal.reason.value
        except OutcomeUnknownError:
            self.outcome = "unknown"


async def configured_world():
    world = World()
    await world.publish(configuration())
    await world.follower._load_all()
    return world


async def submit_until_outcome(world, caller, timeout=3.0):
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(caller.submit, "a1", timeout)
        await world.run_for(timeout + 1, lambda: caller.outcome is not None)
    return caller.outcome


async def test_an_accepted_job_is_stored_with_its_marker():
    world = await configured_world()
    assert await submit_until_outcome(world, Caller(world)) == "accepted"
    assert world.entry(layout.JOBS + "a1") is not None
    assert await world.job_service.count_waiting(QUEUE.name) == 1
    assert await world.job_service.state("a1") is JobState.PENDING


async def test_a_repeated_submission_of_an_id_is_idempotent():
    world = await configured_world()
    await submit_until_outcome(world, Caller(world))
    first = world.entry(layout.JOBS + "a1")
    assert await submit_until_outcome(world, Caller(world)) == "accepted"
    assert world.entry(layout.JOBS + "a1") is first


async def test_a_lost_answer_is_resolved_by_a_retry():
    world = await configured_world()
    world.store.answers_to_lose = 1
    assert await submit_until_outcome(world, Caller(world)) == "accepted"


async def test_an_unresolved_answer_is_never_reported_as_refusal():
    world = await configured_world()
    world.store.answers_to_lose = 1000
    assert await submit_until_outcome(world, Caller(world), 1.0) == "unknown"
    assert world.entry(layout.JOBS + "a1") is not None


async def test_a_store_outage_refuses_at_once_and_stores_nothing():
    world = await configured_world()
    world.store.down = True
    before = world.clock.monotonic()
    assert await submit_until_outcome(world, Caller(world)) == "store-unavailable"
    assert world.clock.monotonic() - before < timedelta(milliseconds=500)
    world.store.down = False
    assert world.entry(layout.JOBS + "a1") is None


async def test_an_outage_after_a_lost_answer_stays_unknown():
    world = await configured_world()
    world.store.answers_to_lose = 1
    caller = Caller(world)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(caller.submit, "a1", 1.0)
        await settle()
        world.store.down = True
        await world.run_for(2, lambda: caller.outcome is not None)
    assert caller.outcome == "unknown"


async def test_a_key_withdrawn_before_the_write_stores_nothing():
    world = await configured_world()
    # The daemon has not received this configuration yet.
    await world.publish(configuration(2, teams=()))
    caller = Caller(world)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(caller.submit)
        await world.run_for(0.2)
        await world.follower._load_all()
        await world.run_for(2, lambda: caller.outcome is not None)
    assert caller.outcome == "key-invalid"
    assert world.entry(layout.JOBS + "a1") is None


async def test_an_invalid_job_is_refused():
    world = await configured_world()
    caller = Caller(world)
    bad = JobSpec("p", (StepSpec(0),))
    with pytest.raises(RefusedError) as caught:
        await world.job_service.submit(
            "a1", bad, caller.authorize, timedelta(seconds=9)
        )
    assert caught.value.refusal.reason is RefusalReason.INVALID_INPUT


async def test_cancelling_an_unknown_job_returns_false():
    world = await configured_world()
    assert not await world.job_service.cancel("a9", timedelta(seconds=3))


async def test_a_cancellation_survives_a_lost_answer():
    world = await configured_world()
    await submit_until_outcome(world, Caller(world))
    world.store.answers_to_lose = 1
    done = []

    async def cancel():
        done.append(await world.job_service.cancel("a1", timedelta(seconds=9)))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(cancel)
        await world.run_for(2, lambda: bool(done))
    assert done == [True]
    assert world.entry(layout.CANCELS + "a1") is not None
