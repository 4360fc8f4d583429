"""The placing term: order of effects, faults of executors and store, takeovers."""

from __future__ import annotations

from dataclasses import replace
from datetime import timedelta

import pytest

from pomeloyard.batch import layout
from pomeloyard.batch.executors import EndedTask
from pomeloyard.batch.link import LOOK_WAIT, WATCHFUL_WAIT
from pomeloyard.batch.model import (
    JobState,
    PlacementAdvice,
    Resources,
    StepSpec,
    TeamLimits,
)
from pomeloyard.batch.progress import EndKind
from pomeloyard.batch.term import MAX_CONCURRENT_FIRST_POLLS

from .support.batch_world import QUEUE, FakeAdvice, World, configuration

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


def completed(world, job="a1"):
    return lambda: world.state(job) is JobState.COMPLETED


async def test_steps_run_in_order_and_the_job_completes():
    world = World()
    async with world.running():
        await world.submit(
            "a1", StepSpec(3, 1000, 100), StepSpec(2, 1000, 100, after=(0,))
        )
        assert await world.drive(5, completed(world))
        steps = [task.split(".")[2] for task, _, _ in world.client.started]
        assert steps == ["0", "0", "0", "1", "1"]
        assert world.entry(layout.waiting_prefix(QUEUE.name) + "a1") is None


async def test_a_full_executor_gets_no_more_than_it_holds():
    world = World(executors=1, cpu=2500)
    async with world.running():
        await world.submit("a1", StepSpec(7, 1000, 100))
        assert await world.drive(10, completed(world))


async def test_an_order_without_an_answer_is_void_before_it_is_given_again():
    world = World()
    async with world.running():
        world.fakes[0].swallow_starts = world.fakes[1].swallow_starts = 1
        await world.submit("a1")
        await world.drive(3)
        for fake in world.fakes:
            world.client.carry_out_late(fake)
        assert await world.drive(6, completed(world))
        # The second order goes to the other executor, which answers none either.
        assert world.client.stopped == [("a1.0.0.0", 1), ("a1.0.0.0", 2)]


async def test_an_order_kept_over_a_restart_is_void_in_the_next_life():
    # Soak seed 74: the next life knew nothing of the stop and carried the order out.
    world = World(executors=1)
    world.client.run_time = timedelta(milliseconds=300)
    async with world.running():
        fake = world.fakes[0]
        fake.swallow_starts = 1
        await world.submit("a1")
        assert await world.drive(6, completed(world))
        await world.submit("a2")
        assert await world.drive(6, completed(world, "a2"))
        assert [order.run for order in fake.kept_orders] == [1]
        fake.restart()
        key = f"executors/{fake.executor.executor_id}"
        await world.put(key, replace(fake.executor, incarnation=fake.incarnation))
        await world.drive(0.6)
        world.client.carry_out_late(fake)


async def test_an_unanswered_order_is_waited_out_where_executors_keep_their_ids():
    # Soak seeds 13, 27 and 28: a next life that nobody could reach yet carried out an
    # order whose task had been done elsewhere.
    world = World()
    async with world.running():
        fake = world.fakes[0]
        await world.submit("a1")
        assert await world.drive(6, completed(world))
        fake.restart()
        key = f"executors/{fake.executor.executor_id}"
        await world.put(key, replace(fake.executor, incarnation=fake.incarnation))
        await world.drive(2)
        async with world.term():
            fake.swallow_starts = 1
            await world.submit("a2")
            await world.drive(1)
            assert [order.task for order in fake.kept_orders] == ["a2.0.0.0"]
            started = world.client.started
            ordered_at = world.clock.monotonic()
            assert await world.drive(14, lambda: len(started) == 2)
            assert world.clock.monotonic() - ordered_at > timedelta(seconds=10)


async def keep_one_order(world, job, *steps):
    """Let the first order of a job go without an answer; return its executor."""
    for fake in world.fakes:
        fake.swallow_starts = 1
    await world.submit(job, *steps)
    assert await world.drive(2, lambda: any(fake.kept_orders for fake in world.fakes))
    for fake in world.fakes:
        fake.swallow_starts = 0
    return next(fake for fake in world.fakes if fake.kept_orders)


async def carry_out_in_the_next_life(world, fake):
    fake.restart()
    world.client.carry_out_late(fake)
    key = f"executors/{fake.executor.executor_id}"
    await world.put(key, replace(fake.executor, incarnation=fake.incarnation))


async def test_the_first_restart_is_safe_where_the_deployment_says_that_ids_are_kept():
    # Soak seeds 11, 13, 27, 28, 74 and 78: no restart under the same id had been seen.
    world = World()
    world.ids_kept = True
    async with world.running():
        await world.submit("b1", StepSpec(2, 100, 100, lasting=True))
        fake = await keep_one_order(world, "a1")
        await world.drive(4)
        await carry_out_in_the_next_life(world, fake)
        assert await world.drive(25, completed(world))


async def test_orders_of_the_term_before_are_waited_out_where_ids_are_kept():
    # The next term can't tell whether an order whose run is not listed had an answer.
    world = World()
    world.ids_kept = True
    async with world.running() as term:
        await world.submit("b1", StepSpec(2, 100, 100, lasting=True))
        fake = await keep_one_order(world, "a1")
        term.end_term("the test ends it")
        async with world.term():
            await world.drive(4)
            await carry_out_in_the_next_life(world, fake)
            assert await world.drive(25, completed(world))


async def test_a_task_that_ran_in_the_next_life_is_done_and_not_run_again():
    # Soak seeds 217 and 218: the next life carried the order out and was done before it
    # was looked at; the end was acknowledged, and the task ran once more 12 s later.
    world = World()
    world.ids_kept = True
    world.client.run_time = timedelta(0)
    async with world.running():
        await world.submit("b1", StepSpec(2, 100, 100, lasting=True))
        fake = await keep_one_order(world, "a1", StepSpec(1, 1000, 100))
        await world.drive(2)
        assert world.state("a1") is JobState.RUNNING
        await carry_out_in_the_next_life(world, fake)
        assert await world.drive(3, completed(world))
        await world.drive(15)
        runs = [run for task, run, _ in world.client.started if task == "a1.0.0.0"]
        assert runs == [1]


async def test_a_later_run_is_stopped_once_an_earlier_one_turns_out_done():
    # Where ids are not known to be kept, the later run is at work already.
    world = World()
    async with world.running() as term:
        await world.submit(
            "b1", StepSpec(2, 100, 100, lasting=True, max_per_executor=1)
        )
        fake = await keep_one_order(world, "a1", StepSpec(1, 1000, 100))
        await world.drive(0.5)
        (later,) = (
            link
            for link in term.links_by_id.values()
            if "a1.0.0.0" in link.runs_by_name
        )
        end = EndedTask(99, "a1.0.0.0", 1, EndKind.DONE, "")
        first = term.links_by_id[fake.executor.executor_id]
        assert term.unassigned_end(first, end) == "a1"
        assert term.unassigned_end(first, end) == ""
        assert await world.drive(5, lambda: "a1.0.0.0" not in later.runs_by_name)
        assert world.state("a1") is JobState.COMPLETED
        assert ("a1.0.0.0", 2) in world.client.stopped
        free = term.usage.free_cpu(later.executor.executor_id, later.executor.capacity)
        assert free == 4000 - 100


async def test_a_lasting_task_stays_with_an_executor_that_may_carry_its_order_out():
    # Waiting the late order out would leave the task away for 12 s.
    world = World()
    world.ids_kept = True
    async with world.running():
        for fake in world.fakes:
            fake.lose_looks = 2
        lasting = StepSpec(1, 1000, 100, lasting=True)
        fake = await keep_one_order(world, "a1", lasting)
        (other,) = (f for f in world.fakes if f is not fake)
        # Tasks are packed, so the other executor is the better choice from now on.
        rack = StepSpec(1, 2000, 100, lasting=True, label=other.executor.rack)
        await world.submit("b1", rack)
        started = world.client.started
        assert await world.drive(5, lambda: len(started) == 2)
        assert ("a1.0.0.0", 2, fake.executor.executor_id) in started
        await carry_out_in_the_next_life(world, fake)
        await world.drive(20)
        assert [run.run for run in fake.runs.values()] == [3]


async def test_an_order_that_took_effect_without_an_answer_is_kept():
    world = World(executors=1)
    async with world.running():
        world.fakes[0].lose_start_answers = 1
        await world.submit("a1")
        assert await world.drive(6, completed(world))
        assert [run for _, run, _ in world.client.started] == [1]
        assert world.client.stopped == []


async def test_an_order_without_an_answer_costs_its_task_little_time():
    # Lilim scale-2, orders that are carried out 2 to 12 s late: a task was free again
    # only after the look at work, another look and a stop had waited for each other.
    world = World(executors=2)
    world.client.run_time = timedelta(seconds=3)
    async with world.running():
        await world.submit("a1")
        await world.drive(0.5)
        world.fakes[0].swallow_starts = world.fakes[1].swallow_starts = 1
        await world.submit("a2")
        assert await world.drive(
            0.3, lambda: "a2.0.0.0" in [task for task, _, _ in world.client.started]
        )


async def test_looks_are_short_while_calls_get_lost():
    # The same spell: an executor whose look was lost was blind for 2.5 s.
    world = World(executors=3)
    world.client.run_time = timedelta(seconds=30)
    async with world.running():
        await world.submit("a1", StepSpec(12, 1000, 100, estimate_ms=30_000))
        await world.drive(2)
        assert max(world.client.waits) == LOOK_WAIT
        for fake in world.fakes:
            fake.lose_looks = 1
        await world.drive(2.5)
        assert not any(fake.lose_looks for fake in world.fakes)
        world.client.waits.clear()
        await world.drive(1.5)
        assert 6 <= len(world.client.waits) <= 18
        assert max(world.client.waits) == WATCHFUL_WAIT
        await world.drive(6)
        assert world.client.waits[-1] == LOOK_WAIT


async def test_a_successor_takes_running_tasks_over():
    world = World()
    world.client.run_time = timedelta(seconds=3)
    async with world.running() as first:
        await world.submit("a1", StepSpec(4, 1000, 100))
        await world.drive(1)
        first._over.set()
        await world.drive(0.5)
        async with world.term():
            assert await world.drive(8, completed(world))
        assert len(world.client.started) == 4


async def test_a_predecessor_that_goes_on_is_fenced_off():
    world = World()
    world.client.run_time = timedelta(seconds=2)
    async with world.running() as first:
        await world.submit("a1", StepSpec(2, 1000, 100))
        await world.drive(0.5)
        async with world.term():
            await world.drive(1)
            await world.submit("a2", StepSpec(2, 1000, 100))
            assert await world.drive(8, completed(world, "a2"))
            assert first._over.is_set()


async def test_tasks_of_a_silent_executor_wait_until_its_leases_have_ended():
    world = World()
    world.client.run_time = timedelta(seconds=60)
    async with world.running():
        await world.submit("a1")
        await world.drive(1)
        ((_, _, first),) = world.client.started
        world.client.by_id[first].silent = True
        await world.drive(12)
        assert len(world.client.started) == 1
        assert await world.drive(14, lambda: len(world.client.started) == 2)


async def test_tasks_of_a_restarted_executor_start_again_at_once():
    world = World()
    async with world.running():
        await world.submit("a1", StepSpec(4, 1000, 100))
        await world.drive(0.3)
        world.fakes[0].restart()
        world.fakes[1].restart()
        assert await world.drive(8, completed(world))


async def test_a_cancelled_job_stops_and_frees_its_room():
    world = World(executors=1)
    world.client.run_time = timedelta(seconds=60)
    async with world.running():
        await world.submit("a1", StepSpec(4, 1000, 100))
        await world.drive(1)
        deadline = world.clock.monotonic() + timedelta(seconds=3)
        assert await world.intake.cancel("a1", deadline)
        await world.drive(1)
        assert world.state("a1") is JobState.CANCELLED
        assert world.fakes[0].runs == {}
        world.client.run_time = timedelta(seconds=1)
        await world.submit("a2", StepSpec(4, 1000, 100))
        assert await world.drive(5, completed(world, "a2"))


async def test_a_job_cancelled_before_its_first_start_never_starts():
    world = World(executors=1, cpu=500)
    async with world.running():
        await world.submit("a1")
        await world.drive(0.5)
        await world.intake.cancel("a1", world.clock.monotonic() + timedelta(seconds=3))
        await world.drive(1)
        assert world.state("a1") is JobState.CANCELLED
        assert world.entry(layout.waiting_prefix(QUEUE.name) + "a1") is None


async def test_a_task_that_always_fails_ends_its_job():
    world = World()
    for fake in world.fakes:
        fake.fails = True
    async with world.running():
        await world.submit("a1")
        assert await world.drive(9, lambda: world.state("a1") is JobState.FAILED)
        assert [run for _, run, _ in world.client.started] == [1, 2, 3]


async def test_lasting_tasks_start_again_however_they_end():
    world = World()
    async with world.running():
        await world.submit("a1", StepSpec(2, 1000, 100, lasting=True))
        await world.drive(1)
        fake = next(f for f in world.fakes if f.runs)
        fake.restart()
        assert await world.drive(6, lambda: len(world.client.started) >= 3)
        assert world.state("a1") is JobState.RUNNING


async def test_at_most_so_many_tasks_of_a_step_run_on_one_executor():
    world = World()
    async with world.running():
        await world.submit("a1", StepSpec(4, 500, 100, max_per_executor=1))
        assert await world.drive(6, completed(world))
        together = [executor for _, _, executor in world.client.started[:2]]
        assert len(set(together)) == 2


async def test_a_team_stays_below_its_limit():
    world = World()
    team = TeamLimits("nets", ("key-1",), 1.0, Resources(2000, 0, 0))
    async with world.running():
        await world.publish(configuration(2, teams=[team]))
        await world.submit("a1", StepSpec(6, 1000, 100))
        most = 0
        for _ in range(80):
            await world.drive(0.1)
            most = max(most, sum(len(fake.runs) for fake in world.fakes))
        assert world.state("a1") is JobState.COMPLETED
        assert most == 2


async def test_all_members_of_a_gang_start_with_one_run_number():
    world = World()
    async with world.running():
        await world.submit("a1", StepSpec(5, 1000, 100, gang=True))
        assert await world.drive(6, completed(world))
        assert {run for _, run, _ in world.client.started} == {1}


@pytest.mark.parametrize("lost", [1, 2, 5])
async def test_lost_answers_of_the_store_delay_but_double_nothing(lost):
    world = World()
    async with world.running():
        await world.submit("a1", StepSpec(3, 1000, 100))
        world.store.answers_to_lose = lost
        assert await world.drive(8, completed(world))


async def test_a_store_outage_delays_but_loses_nothing():
    world = World()
    async with world.running():
        await world.submit("a1", StepSpec(3, 1000, 100))
        await world.drive(0.3)
        world.store.down = True
        await world.drive(4)
        world.store.down = False
        assert await world.drive(8, completed(world))


async def test_an_occurrence_starts_when_it_is_due():
    world = World()
    due = world.clock.now().timestamp() * 1000 + 2000
    async with world.running():
        await world.submit(
            "a1", first_due_ms=round(due), interval_ms=1500, occurrences=2
        )
        await world.drive(1.8)
        assert world.client.started == []
        assert await world.drive(6, completed(world))
        names = [task for task, _, _ in world.client.started]
        assert names == ["a1.0.0.0", "a1.1.0.0"]


ADVISED = replace(
    QUEUE, advice=PlacementAdvice(timedelta(0), timedelta(0), timedelta(seconds=3))
)


async def test_a_step_runs_only_where_its_queue_s_policy_allows():
    world = World(executors=3)
    world.advice = FakeAdvice(world, {"e-1"})
    async with world.running():
        await world.publish(configuration(2, queues=[ADVISED]))
        await world.submit("a1", StepSpec(6, 1000, 100))
        assert await world.drive(8, completed(world))
        assert {executor for _, _, executor in world.client.started} == {"e-1"}


async def test_tickets_that_expired_are_asked_for_again():
    world = World(executors=2)
    world.advice = FakeAdvice(world, {"e-0"}, valid=timedelta(seconds=1))
    world.client.run_time = timedelta(seconds=1.5)
    async with world.running():
        await world.publish(configuration(2, queues=[ADVISED]))
        await world.submit("a1", StepSpec(8, 1000, 100))
        assert await world.drive(12, completed(world))
        assert len(world.advice.questions) <= 8


async def test_a_step_that_no_executor_may_run_waits_without_being_asked_for_ever():
    world = World(executors=2)
    world.advice = FakeAdvice(world, set())
    async with world.running():
        await world.publish(configuration(2, queues=[ADVISED]))
        await world.submit("a1")
        await world.drive(5)
        assert len(world.advice.questions) == 1
        assert world.client.started == []


async def test_a_run_that_stands_still_is_placed_elsewhere():
    world = World(executors=2)
    async with world.running():
        await world.submit("a1", StepSpec(2, 1000, 100, estimate_ms=1000))
        await world.drive(0.2)
        ((_, _, first), *_) = world.client.started
        world.client.by_id[first].stalls = True
        assert await world.drive(9, completed(world))
        assert any(e != first for _, _, e in world.client.started)


async def test_a_pool_of_doubtful_executors_is_still_used():
    world = World(executors=1)
    async with world.running() as term:
        term.learning.set_aside("e-0", timedelta(days=1))
        await world.submit("a1")
        assert await world.drive(4, completed(world))


async def test_ends_of_a_new_life_are_not_acknowledged_by_the_count_of_the_old():
    # Soak seed 11: an idle executor restarted between two jobs.
    world = World(executors=1)
    async with world.running():
        await world.submit("a1")
        assert await world.drive(4, completed(world))
        await world.drive(2)
        world.fakes[0].restart()
        await world.submit("a2")
        assert await world.drive(6, completed(world, "a2"))
        assert [run for _, run, _ in world.client.started] == [1, 1]


async def test_a_job_whose_queue_was_removed_is_still_finished():
    world = World()
    async with world.running():
        world.client.run_time = timedelta(seconds=2)
        await world.submit("a1", StepSpec(1, 1000, 100), StepSpec(1, after=(0,)))
        await world.drive(1)
        await world.publish(configuration(2, queues=[]))
        assert await world.drive(8, completed(world))


async def test_a_silent_channel_to_the_store_hides_jobs_for_less_than_a_cancellation():
    # Soak seed 12: a cancellation was heard after 3.6 s; it has 3 s.
    world = World()
    world.store.deaf_prefix = layout.INCOMING
    async with world.running():
        await world.submit("a1")
        assert await world.drive(3, lambda: world.client.started != [])


async def test_two_silent_channels_in_a_row_hide_jobs_for_less_than_a_cancellation():
    # Soak seed 36 beside load: two polls in a row were cut off, the cancellation was
    # heard 3.2 s after it was confirmed, and the job's next step had started.
    world = World()
    world.store.deaf_prefix, world.store.deaf_polls = layout.INCOMING, 2
    async with world.running():
        await world.submit("a1")
        assert await world.drive(3, lambda: world.client.started != [])


async def test_a_job_cancelled_while_jobs_were_not_followed_never_starts():
    # Soak seed 70: all was read again, by key, and the cancellation came first.
    world = World()
    world.store.deaf_prefix = layout.INCOMING
    async with world.running():
        await world.submit("a1")
        deadline = world.clock.monotonic() + timedelta(seconds=3)
        assert await world.intake.cancel("a1", deadline)
        await world.drive(4)
        assert world.client.started == []
        assert world.state("a1") is JobState.CANCELLED


async def test_an_executor_that_drained_and_restarted_is_used_again():
    world = World(executors=1)
    async with world.running():
        fake = world.fakes[0]
        key = f"executors/{fake.executor.executor_id}"
        await world.put(key, replace(fake.executor, draining=True))
        await world.drive(1)
        fake.restart()
        await world.put(key, replace(fake.executor, incarnation=fake.incarnation))
        await world.submit("a1")
        assert await world.drive(4, completed(world))


async def test_a_gang_that_lost_a_member_starts_again_as_a_whole():
    world = World(executors=2, cpu=1000)
    world.client.run_time = timedelta(seconds=2)
    async with world.running():
        await world.submit("a1", StepSpec(2, 1000, 100, gang=True))
        await world.drive(1)
        assert len(world.client.started) == 2
        world.fakes[0].restart()
        assert await world.drive(9, completed(world))
        assert [run for _, run, _ in world.client.started] == [1, 1, 2, 2]
        assert len(world.client.stopped) == 1


async def test_runs_of_the_term_before_teach_no_run_time():
    # laurentien-ledger trouble-3, after all daemons were killed: tasks that ended 8 ms
    # after the new term had begun were taken to run that long, so pools whose VMs were
    # full while jobs waited asked for no more VMs.
    world = World(executors=2)
    world.client.run_time = timedelta(seconds=3)
    async with world.running() as first:
        await world.submit("a1", StepSpec(2, 500, 100, estimate_ms=3000))
        await world.drive(2.9)
        first._over.set()
        async with world.term() as successor:
            assert await world.drive(2, completed(world))
            await world.submit("a2", StepSpec(1, 500, 100, estimate_ms=3000))
            await world.drive(0.2)
            (step,) = successor.jobs_by_id["a2"].occurrences[0]
            assert successor.learning.expected_ms(step) == 3000


async def test_a_successor_knows_when_the_peaks_began():
    # Jobs are loaded by their ids, which say nothing of time: the arrivals of a peak
    # looked like several, and the pool was taken to rest while its peak was at work.
    world = World(executors=1, cpu=40_000)
    async with world.running() as term:
        number = 0
        for _ in range(2):
            await world.drive(8)
            for _ in range(12):
                number += 1
                # Ids that come in another order than the jobs.
                await world.submit(f"{number * 7919 % 1000:04}")
                await world.drive(0.2)
        async with world.term() as successor:
            await world.drive(0.5)
            now = world.clock.monotonic()
            assert successor.turns.period() == term.turns.period()
            peaks = [known.turns.peak("mill", now) for known in (term, successor)]
            assert peaks[1].starts_in == peaks[0].starts_in
            assert peaks[1].core_rate == pytest.approx(peaks[0].core_rate)
            rates = [known.demand.rate("mill") for known in (term, successor)]
            assert rates[1].chain == rates[0].chain


@pytest.mark.parametrize("method", ["look", "start"])
async def test_an_unexpected_error_with_one_executor_does_not_end_the_term(method):
    # A clock beyond what a time can hold ended the term, and that of each successor.
    world = World()
    async with world.running() as term:
        plain = getattr(world.client, method)

        async def failing(executor, *args, **options):
            if executor.executor_id == "e-0":
                raise OverflowError("a clock of 1e300 ms")
            return await plain(executor, *args, **options)

        setattr(world.client, method, failing)
        await world.submit("a1", StepSpec(4, 1000, 100))
        assert await world.drive(8, completed(world))
        await world.submit("a2", StepSpec(2, 1000, 100))
        assert await world.drive(8, completed(world, "a2"))
        assert {executor for _, _, executor in world.client.started} == {"e-1"}
        assert not term._over.is_set()


async def test_an_unreadable_progress_record_runs_nothing_and_ends_no_term():
    # What of the job has run is not known, so starting it could double it.
    unreadable = (b"\xc1", b"\x93\x01", b"\x92\xa7running\x91\x94\x09\x09\x90\x00")
    world = World()
    async with world.running() as term:
        term.end_term("the next ones load the records")
        await world.drive(0.1)
        for number, content in enumerate(unreadable):
            await world.submit(f"a{number}")
            await world.put(f"{layout.RUNS}a{number}", content)
            async with world.term():
                await world.submit(f"b{number}")
                assert await world.drive(5, completed(world, f"b{number}"))
        jobs = [task.split(".")[0] for task, _, _ in world.client.started]
        assert jobs == ["b0", "b1", "b2"]


async def test_a_short_loss_of_the_store_reads_no_jobs_again():
    # lilim-yard-large trouble-1, second 18.6: 1,100 jobs were read again over another
    # daemon, and for 1.5 s of a peak no new job was found.
    world = World()
    async with world.running():
        await world.submit("a1")
        assert await world.drive(5, completed(world))
        scans = world.store.calls_by_method["scan"]
        # The poll that tells of the next job is answered, the one after it is not.
        world.store.deaf_prefix = layout.INCOMING
        await world.submit("a2")
        assert await world.drive(3, completed(world, "a2"))
        assert not world.store.deaf_prefix
        await world.submit("a3")
        assert await world.drive(6, completed(world, "a3"))
        assert world.store.calls_by_method["scan"] == scans


async def test_a_new_term_does_not_look_at_all_executors_at_once():
    # sweep-300 (08955440): 2,998 first looks shared a core, and all ran out of time.
    world = World(executors=2 * MAX_CONCURRENT_FIRST_POLLS)
    at_once = most = 0
    plain = world.client.look

    async def counted(executor, **options):
        nonlocal at_once, most
        at_once += 1
        most = max(most, at_once)
        try:
            await world.clock.sleep(timedelta(milliseconds=100))
            return await plain(executor, **options)
        finally:
            at_once -= 1

    world.client.look = counted
    async with world.running() as term:
        assert await world.drive(
            3, lambda: sum(link.usable for link in term.links_by_id.values()) == 200
        )
        assert most == MAX_CONCURRENT_FIRST_POLLS
