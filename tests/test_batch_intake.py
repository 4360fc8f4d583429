"""Submission and cancellation with lost answers, outages and withdrawn keys."""

from __future__ import annotations

from datetime import timedelta

import anyio
import pytest

from pomeloyard.batch import layout
from pomeloyard.batch.denials import (
    CANCELLED,
    MAX_DENIAL_TIME,
    MAX_DENIALS,
    MAX_DENIALS_PER_TEAM,
    MIN_DENIAL_TIME,
    STALE_AGE,
)
from pomeloyard.batch.job_service import AuthorizedCall, JobService
from pomeloyard.batch.model import JobSpec, JobState, StepSpec
from pomeloyard.errors import (
    OutcomeUnknownError,
    RefusedError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from pomeloyard.keyvalue.memory import MemoryStore
from pomeloyard.keyvalue.store import Delete, Put, Transaction
from pomeloyard.outcomes import RefusalReason, Refused

from .support.batch_world import QUEUE, TEAM, World, configuration
from .support.job_fakes import settle

pytestmark = pytest.mark.anyio
SPEC = JobSpec("payload", (StepSpec(1, 1000, 100),))
SECOND = timedelta(seconds=1)


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
    assert not await world.job_service.cancel("a9", TEAM.name, timedelta(seconds=3))


async def test_a_cancellation_survives_a_lost_answer():
    world = await configured_world()
    await submit_until_outcome(world, Caller(world))
    world.store.answers_to_lose = 1
    done = []

    async def cancel():
        deadline = timedelta(seconds=9)
        done.append(await world.job_service.cancel("a1", TEAM.name, deadline))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(cancel)
        await world.run_for(2, lambda: bool(done))
    assert done == [True]
    assert world.entry(layout.CANCELS + "a1") is not None


async def cancel(world, job="a1", team=TEAM.name):
    deadline = world.clock.monotonic() + timedelta(seconds=3)
    return await world.job_service.cancel(job, team, deadline)


def delay_creations(world):
    """Leave creations without an answer; return those to carry out later."""
    commit = world.store.commit
    delayed = []

    async def commit_or_delay(transaction):
        if any(put.key.startswith(layout.JOBS) for put in transaction.operations):
            delayed.append(transaction)
            raise StoreOutcomeUnknownError("no answer")
        return await commit(transaction)

    world.store.commit = commit_or_delay
    return delayed


@pytest.mark.parametrize("late", [True, False], ids=["late-write", "next-attempt"])
async def test_a_job_is_not_created_after_its_cancellation_was_denied(late):
    # review/5: the caller left, cancelled at another daemon and got 410; the submission
    # went on, and the job ran.
    world = await configured_world()
    commit = world.store.commit
    delayed = delay_creations(world)
    caller = Caller(world)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(caller.submit)
        await settle()
        assert delayed
        assert not await cancel(world)
        if late:
            transaction = delayed[0]
            assert not (await MemoryStore.commit(world.store, transaction)).succeeded
        world.store.commit = commit
        await world.run_for(4, lambda: caller.outcome is not None)
    # No attempt can take effect any more, so this is a refusal.
    assert caller.outcome == "cancelled"
    assert world.entry(layout.JOBS + "a1") is None
    assert await world.job_service.state("a1") is None
    assert await world.job_service.count_waiting(QUEUE.name) == 0


async def test_a_cancellation_during_the_creation_cancels_the_job():
    # It is created after the cancellation found no job and before the denial is stored.
    world = await configured_world()
    get = world.store.get

    async def get_before_creation(key):
        entry = await get(key)
        world.store.get = get
        assert await submit_until_outcome(world, Caller(world)) == "accepted"
        return entry

    world.store.get = get_before_creation
    done = []

    async def run_cancel():
        done.append(await cancel(world))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(run_cancel)
        await world.run_for(2, lambda: bool(done))
    assert done == [True]


async def test_an_id_can_be_used_again_when_its_denial_has_ended():
    world = World()
    async with world.running():
        assert not await cancel(world)
        assert await submit_until_outcome(world, Caller(world)) == "cancelled"
        await world.run_for(MIN_DENIAL_TIME / SECOND)
        assert await submit_until_outcome(world, Caller(world)) == "cancelled"
        await world.run_for(MIN_DENIAL_TIME / SECOND + 1)
        assert await submit_until_outcome(world, Caller(world)) == "accepted"


async def test_a_denial_outlives_all_leases_of_the_store():
    """Leases ran out in an outage, and the job was created and ran; review/8."""
    world = World()
    async with world.running():
        assert not await cancel(world)
        for lease in list(world.store._leases_by_id):
            await world.store.revoke_lease(lease)
        assert await submit_until_outcome(world, Caller(world)) == "cancelled"
        # Another daemon knows it only from the store.
        other = JobService(world.clock, world.store, world.follower)
        deadline = world.clock.monotonic() + SECOND
        assert not await other.cancel("a1", TEAM.name, deadline)
        await world.run_for(MIN_DENIAL_TIME / SECOND)
        assert await submit_until_outcome(world, Caller(world)) == "cancelled"
        assert world.client.started == []


async def test_a_denial_lasts_from_the_last_cancellation_that_was_answered():
    """An answer from memory must not outlive the record that makes it true."""
    world = World()
    async with world.running():
        assert not await cancel(world)
        await world.run_for(MIN_DENIAL_TIME / SECOND - 1)
        assert not await cancel(world)
        await world.run_for(MIN_DENIAL_TIME / SECOND)
        assert await submit_until_outcome(world, Caller(world)) == "cancelled"


async def test_two_cancellations_at_once_are_answered_once_the_denial_is_stored():
    """The second one must not be answered on the strength of a write under way."""
    world = await configured_world()
    commit = world.store.commit
    answered = []

    async def lose(transaction):
        raise StoreUnavailableError("no answer")

    async def run_cancel():
        try:
            answered.append(await cancel(world))
        except RefusedError:
            answered.append(None)

    world.store.commit = lose
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(run_cancel)
        tasks.start_soon(run_cancel)
        await world.run_for(4, lambda: len(answered) == 2)
    world.store.commit = commit
    assert answered == [None, None]


async def test_cancellations_of_unknown_jobs_do_not_fill_the_store():
    world = World()

    async def refusal_of(job, team):
        try:
            await cancel(world, job, team)
        except RefusedError as error:
            return error.refusal
        return None

    def denials():
        return sum(
            key.startswith(layout.CANCELS) for key in world.store._entries_by_key
        )

    async with world.running():
        for round_number in range(4):
            for team in "abcdef":
                outcomes = [
                    await refusal_of(f"{team}{round_number}x{number}", team)
                    for number in range(MAX_DENIALS_PER_TEAM + 20)
                ]
                for refusal in outcomes[MAX_DENIALS_PER_TEAM:]:
                    assert refusal.reason is RefusalReason.LIMIT_REACHED
                    assert refusal.retry_after <= MIN_DENIAL_TIME
            assert denials() <= 2 * MAX_DENIALS
            # A repeated call needs no further entry.
            assert await refusal_of(f"a{round_number}x1", "a") is None
            await world.run_for(MIN_DENIAL_TIME / SECOND + 1)
        await world.run_for(MIN_DENIAL_TIME / SECOND + 1)
        assert denials() == 0


async def test_denials_that_no_term_saw_in_time_are_removed_by_the_next():
    """Terms that each last less than a denial must not let denials pile up."""
    world = await configured_world()
    assert not await cancel(world, "a1")
    # An earlier build stored this one under a lease, which ends it.
    lease = await world.store.grant_lease(timedelta(hours=4))
    key = layout.CANCELS + "a2"
    await world.store.commit(Transaction((), (Put(key, CANCELLED, lease),)))
    world.clock.advance(STALE_AGE + SECOND)
    async with world.term():
        await world.run_for(2)
    assert world.entry(layout.CANCELS + "a1") is None
    assert world.entry(key) is not None


@pytest.mark.parametrize("failure", [StoreUnavailableError, None])
async def test_a_denial_is_kept_if_its_removal_conflicts_or_fails(failure):
    world = World()
    async with world.running():
        assert not await cancel(world, "a1")
        assert not await cancel(world, "a2")
        commit = world.store.commit
        removals = []

        async def commit_or_fail(transaction):
            removal = any(isinstance(o, Delete) for o in transaction.operations)
            if removal and not removals:
                removals.append(transaction)
                if failure is not None:
                    raise failure("no answer")
                # Denied again at the same moment.
                await commit(Transaction((), (Put(layout.CANCELS + "a2", CANCELLED),)))
            return await commit(transaction)

        world.store.commit = commit_or_fail
        await world.run_for(MAX_DENIAL_TIME / SECOND + 2)
        assert removals
        assert world.entry(layout.CANCELS + "a2") is not None
        assert (world.entry(layout.CANCELS + "a1") is None) == (failure is None)
        await world.run_for(MAX_DENIAL_TIME / SECOND + 2)
        assert world.entry(layout.CANCELS + "a1") is None
        assert world.entry(layout.CANCELS + "a2") is None


async def test_a_job_that_an_earlier_build_creates_after_its_denial_does_not_run():
    # That build does not compare the cancellation.
    world = World()
    async with world.running():
        await world.submit("b1", StepSpec(1, 1000, 100))
        assert not await cancel(world)
        record = world.entry(layout.JOBS + "b1").value
        await world.store.commit(Transaction((), (Put(layout.JOBS + "a1", record),)))
        await world.run_for(3)
        assert world.state("a1") is JobState.CANCELLED
        assert not any(task.startswith("a1.") for task, _, _ in world.client.started)
