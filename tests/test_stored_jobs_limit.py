"""What is accepted fits into the memory of the daemons that may have to place it."""

from __future__ import annotations

from datetime import timedelta

import anyio
import pytest

from pomeloyard.batch import layout
from pomeloyard.batch.admission import (
    MIB,
    JobSize,
    StoredJobs,
    memory_for_jobs,
)
from pomeloyard.batch.full_teams import LEASE_TIME
from pomeloyard.batch.model import JobState, StepSpec, TeamLimits
from pomeloyard.errors import (
    OutcomeUnknownError,
    RefusedError,
    StoreOutcomeUnknownError,
)
from pomeloyard.outcomes import RefusalReason

from .support.batch_world import TEAM, World, configuration

pytestmark = pytest.mark.anyio

OTHER = TeamLimits("other")
SIZE = JobSize(record_bytes=500, steps=1, tasks=1)
NOWHERE = StepSpec(1, 1000, 100, label="nowhere")


@pytest.fixture
def anyio_backend():
    return "asyncio"


def fill(stored, team, part, limit):
    """Store jobs of a team up to a part of a limit."""
    for number in range(round(part * limit / SIZE.memory_bytes)):
        stored.add(f"{team}{number}", team, SIZE)


LIMIT = 1000 * SIZE.memory_bytes


def test_no_team_is_full_while_most_of_the_memory_is_free():
    """A team with a peak was rejected though a quarter of the limit was used."""
    stored = StoredJobs()
    for number in range(20):
        fill(stored, f"t{number}", 0.02, LIMIT)
    fill(stored, "peak", 0.3, LIMIT)
    assert stored.full_teams(LIMIT) == frozenset()
    assert stored.full_teams(0) == frozenset()


def test_near_the_limit_only_teams_above_an_equal_share_are_full():
    stored = StoredJobs()
    fill(stored, "a", 0.74, LIMIT)
    assert stored.full_teams(LIMIT) == frozenset()
    fill(stored, "a", 0.76, LIMIT)
    assert stored.full_teams(LIMIT) == {"a"}
    fill(stored, "b", 0.2, LIMIT)
    assert stored.full_teams(LIMIT) == {"a"}
    # Together they are at the limit; one that holds next to nothing may go on.
    fill(stored, "b", 0.25, LIMIT)
    fill(stored, "small", 0.005, LIMIT)
    assert stored.full_teams(LIMIT) == {"a", "b"}


def test_a_full_team_opens_only_clearly_below_its_bound():
    stored = StoredJobs()
    fill(stored, "a", 0.75, LIMIT)
    assert stored.full_teams(LIMIT) == {"a"}
    for number in range(20):
        stored.remove(f"a{number}")
    assert stored.full_teams(LIMIT) == {"a"}
    for number in range(20, 80):
        stored.remove(f"a{number}")
    assert not stored.full_teams(LIMIT)


def test_a_job_that_is_removed_twice_counts_once():
    stored = StoredJobs()
    fill(stored, "a", 0.5, LIMIT)
    stored.remove("a499")
    stored.remove("a499")
    assert stored.bytes_by_team["a"] == SIZE.memory_bytes * 499


@pytest.mark.parametrize("memory_mb", [128, 200, 300, 552])
def test_the_limit_leaves_room_for_the_daemon(memory_mb):
    assert 0 < memory_for_jobs(memory_mb) < (memory_mb - 100) * MIB
    assert memory_for_jobs(0) == 0


async def refusal_of(world, job, *steps, team=TEAM.name):
    try:
        await world.submit(job, *(steps or [NOWHERE]), team=team)
    except RefusedError as error:
        return error.refusal
    return None


async def test_a_team_that_fills_the_memory_is_refused_and_others_are_not():
    """Accepted jobs killed each holder in turn; review/13 (LOST)."""
    world = World()
    world.memory_for_jobs = 40 * SIZE.memory_bytes
    async with world.running() as term:
        await world.publish(configuration(2, teams=[TEAM, OTHER]))
        refusals = []
        for number in range(60):
            refusals.append(await refusal_of(world, f"a{number}"))
            await world.run_for(0.3)
        accepted = refusals.count(None)
        assert 15 <= accepted <= 33
        last = refusals[-1]
        assert last.reason is RefusalReason.LIMIT_REACHED
        assert last.retry_after >= timedelta(seconds=1)
        # What was refused is not stored.
        jobs = [key for key in world.store._entries_by_key if layout.JOBS in key]
        assert len(jobs) == accepted
        assert await refusal_of(world, "b1", StepSpec(1, 10, 1), team="other") is None
        done = lambda: world.state("b1") is JobState.COMPLETED  # noqa: E731
        assert await world.run_for(5, done)
        # Cancelled jobs make room once they have expired.
        for key in jobs:
            deadline = world.clock.monotonic() + timedelta(seconds=3)
            job_id = key.removeprefix(layout.JOBS)
            await world.job_service.cancel(job_id, TEAM.name, deadline)
        await world.run_for(70)
        assert not term.stored_jobs.bytes_by_team[TEAM.name]
        assert await refusal_of(world, "a100") is None


async def test_a_successor_refuses_at_once_what_its_predecessor_has_stored():
    world = World()
    async with world.running() as term:
        for number in range(45):
            assert await refusal_of(world, f"a{number}") is None
        await world.run_for(1)
        term.end_term("injected")
        # It may use less memory than the daemon before it.
        world.memory_for_jobs = 40 * SIZE.memory_bytes
        async with world.term():
            await world.run_for(1)
            assert (await refusal_of(world, "b1")).reason is RefusalReason.LIMIT_REACHED


async def test_jobs_are_accepted_again_where_no_term_renews_the_limit():
    """Guards against a limit that stays for ever after a return to an earlier build."""
    world = World()
    world.memory_for_jobs = SIZE.memory_bytes
    async with world.running() as term:
        assert await refusal_of(world, "a1") is None
        await world.run_for(LEASE_TIME.total_seconds() * 2)
        assert await refusal_of(world, "a2") is not None
        for lease in list(world.store._leases_by_id):
            await world.store.revoke_lease(lease)
        await world.run_for(10)
        assert world.entry(layout.full_key(TEAM.name)) is not None
        term.end_term("injected")
        await world.run_for(LEASE_TIME.total_seconds() + 1)
        assert await refusal_of(world, "a2") is None


async def test_a_team_that_becomes_full_after_a_lost_answer_is_not_refused():
    """The first attempt may take effect later, so "not run" would be untrue."""
    world = World()
    async with world.running():
        commit = world.store.commit

        async def lose_creation(transaction):
            if any(put.key == layout.JOBS + "a1" for put in transaction.operations):
                world.store.commit = commit
                await world.put(layout.full_key(TEAM.name), b"1")
                raise StoreOutcomeUnknownError("no answer")
            return await commit(transaction)

        world.store.commit = lose_creation
        outcomes = []

        async def submit():
            try:
                outcomes.append(await refusal_of(world, "a1"))
            except OutcomeUnknownError as error:
                outcomes.append(error)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(submit)
            await world.run_for(4, lambda: bool(outcomes))
        assert isinstance(outcomes[0], OutcomeUnknownError)
        assert (await refusal_of(world, "a2")).reason is RefusalReason.LIMIT_REACHED
        assert world.entry(layout.JOBS + "a2") is None
