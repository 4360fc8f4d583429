"""Jobs of thousands of tasks beside the jobs of other teams."""

from __future__ import annotations

import tracemalloc
from datetime import timedelta

import anyio
import pytest

from pomeloyard.batch.executor_choice import FreeCapacityIndex
from pomeloyard.batch.executor_link import MAX_STOPS_UNDER_WAY
from pomeloyard.batch.model import (
    MAX_GANG_TASKS,
    JobRecord,
    JobSpec,
    JobState,
    Resources,
    StepSpec,
    check_spec,
)
from pomeloyard.batch.placed_run import Phase, PlacedRun
from pomeloyard.batch.progress import MAX_OPEN_OCCURRENCES, EndKind, JobRun
from pomeloyard.batch.run_estimates import RunEstimates
from pomeloyard.batch.start_queue import (
    MAX_STARTS_PER_EXECUTOR,
    MAX_STARTS_UNDER_WAY,
    MAX_STARTS_WITH_OVERDUE,
    MAX_UNANSWERED_STARTS,
    OVERDUE_AFTER,
    AssignmentLimit,
    StartQueue,
)
from pomeloyard.batch.usage import Usage
from pomeloyard.errors import RefusedError

from .support.batch_world import QUEUE, STEP, World, configuration
from .support.job_fakes import settle
from .test_batch_decisions import NOW

pytestmark = pytest.mark.anyio

ZERO = timedelta(0)
WIDTH = 1200
SMALL = StepSpec(WIDTH, 10, 1)


@pytest.fixture
def anyio_backend():
    return "asyncio"


class FakeLink:
    def __init__(self, executor_id):
        self.executor = self
        self.executor_id = executor_id
        self.runs_by_name = {}


def starts_of_team(team, count, link):
    """Return starts of assigned tasks of one job."""
    spec = JobSpec("p", (StepSpec(count, 10, 1),))
    job = JobRun(f"job{team}", JobRecord("q", team, spec, NOW, "w"), QUEUE, ZERO)
    (step,) = job.ready_steps()
    starts = []
    for task in step.tasks:
        placed = PlacedRun(task, 1, Phase.ASSIGNED, 1)
        link.runs_by_name[task.name] = placed
        starts.append((link, placed))
    return starts


def test_teams_take_turns_whatever_one_of_them_has_queued():
    links = [FakeLink("e-0"), FakeLink("e-1")]
    queue = StartQueue()
    queue.extend(starts_of_team("wide", 10, links[0]))
    queue.extend(starts_of_team("small", 2, links[1]))
    taken = [queue.take(ZERO)[1].task.step.job.record.team for _ in range(5)]
    assert taken == ["wide", "small", "wide", "small", "wide"]


def test_starts_under_way_are_limited_in_all_and_by_executor():
    queue = StartQueue()
    links = [FakeLink(f"e-{number}") for number in range(30)]
    for number, link in enumerate(links):
        queue.extend(starts_of_team(f"t{number % 3}", 20, link))
    taken = []
    while start := queue.take(ZERO):
        taken.append(start)
    assert len(taken) == MAX_STARTS_UNDER_WAY
    # An executor that does not answer holds up no other.
    for now in range(1, 40):
        while start := queue.take(OVERDUE_AFTER * now):
            taken.append(start)
    assert len(taken) == MAX_STARTS_WITH_OVERDUE
    by_executor = [sum(start[0] is link for start in taken) for link in links]
    assert max(by_executor) <= MAX_STARTS_PER_EXECUTOR
    for start in taken:
        queue.finish(start)
    assert queue.take(OVERDUE_AFTER * 50) is not None


def test_runs_that_ended_in_the_queue_are_not_sent():
    link = FakeLink("e-0")
    queue = StartQueue()
    starts = starts_of_team("nets", 3, link)
    queue.extend(starts)
    link.runs_by_name.pop(starts[0][1].task.name)
    starts[1][1].phase = Phase.STOPPING
    assert queue.take(ZERO) is starts[2]
    assert queue.take(ZERO) is None
    assert len(queue) == 0


def test_at_the_limit_only_teams_below_their_share_are_assigned_tasks():
    limit = AssignmentLimit()
    link = FakeLink("e-0")
    limit.update(2)
    starts = starts_of_team("wide", MAX_UNANSWERED_STARTS + 1, link)
    for start in starts[:-1]:
        assert limit.allows("wide")
        limit.add(start)
    assert not limit.reached
    assert not limit.allows("wide")
    assert limit.reached
    assert limit.allows("small")
    for start in starts[:10]:
        start[1].phase = Phase.RUNNING
    limit.update(2)
    assert limit.allows("wide")


async def test_a_wide_job_does_not_keep_jobs_of_others_from_starting():
    # All of its starts were sent at once, nearly all timed out in the sender, and the
    # executors counted as unreachable (review/1).
    world = World(executors=4, cpu=64_000)
    world.client.call_time = STEP
    world.client.sendable_calls = 100
    async with world.running() as term:
        await world.submit("wide", SMALL, team="wide")
        await world.run_for(0.1)
        await world.submit("a1", StepSpec(2, 1000, 100), team="small")

        def others_run():
            runs = [run for fake in world.fake_executors for run in fake.runs]
            return sum(task.startswith("a1.") for task in runs) == 2

        assert await world.run_for(0.5, others_run)
        assert all(link.reachable for link in term.links_by_id.values())
        completed = [JobState.COMPLETED] * 2
        assert await world.run_for(
            20, lambda: [world.state("a1"), world.state("wide")] == completed
        )
    assert world.client.most_under_way["start"] <= MAX_STARTS_WITH_OVERDUE


async def test_many_jobs_at_once_do_not_keep_jobs_of_others_from_starting():
    world = World(executors=4, cpu=64_000)
    world.client.call_time = STEP
    world.client.sendable_calls = 100
    async with world.running():
        for number in range(60):
            await world.submit(f"w{number:02}", StepSpec(20, 10, 1), team="wide")
        await world.submit("a1", StepSpec(2, 1000, 100), team="small")
        soon = timedelta(seconds=1.5)
        assert await world.run_for(
            (soon + world.client.run_time).total_seconds(),
            lambda: world.state("a1") is JobState.COMPLETED,
        )


async def test_cancelling_a_wide_job_frees_the_executors_for_others():
    world = World(executors=2, cpu=6_000)
    world.client.run_time = timedelta(seconds=60)
    world.client.call_time = STEP
    async with world.running():
        await world.submit("wide", SMALL, team="wide")
        await world.run_for(3)
        deadline = world.clock.monotonic() + timedelta(seconds=3)
        assert await world.job_service.cancel("wide", "wide", deadline)
        await world.submit("a1", StepSpec(2, 6000, 100), team="small")
        assert await world.run_for(
            5, lambda: any(task == "a1.0.0.0" for task, _, _ in world.client.started)
        )
        assert world.state("wide") is JobState.CANCELLED
    for fake in world.fake_executors:
        key = "stop", fake.executor.executor_id
        assert 0 < world.client.most_under_way[key] <= MAX_STOPS_UNDER_WAY


async def test_a_new_holder_polls_no_executor_before_it_knows_all_jobs():
    # It takes turns with the renewal of its lease while it loads jobs; runs of a job
    # that it did not know yet would be stopped.
    world = World(executors=2, cpu=64_000)
    world.client.run_time = timedelta(seconds=5)
    async with world.running():
        for number in range(8):
            await world.submit(f"a{number}", StepSpec(20, 10, 1))
        await world.run_for(2)
        turns = []
        polls = world.client.polls
        term = await world.new_term()
        load = term._load

        async def watched_load():
            position = await load()
            turns.append(world.client.polls - polls)
            return position

        term._load = watched_load
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(term.run)
            await settle(200)
            tasks.cancel_scope.cancel()
        assert turns == [0]
        assert world.client.stopped == []


def repeated_job(count, run=None):
    """Return a job all of whose occurrences are due, with stored progress."""
    steps = (StepSpec(1, 10, 1), StepSpec(1, 10, 1, after=(0,)))
    spec = JobSpec("p", steps, 1, 0, count)
    job = JobRun("a1", JobRecord("q", "nets", spec, NOW, "w"), QUEUE, ZERO)
    if run is not None:
        job.restore_progress(run, 1)
    job.open_due_occurrences(2)
    return job


def test_due_occurrences_are_opened_as_earlier_ones_are_completed():
    # A job with 20,000 occurrences due at once kept every job from starting: each
    # change of it cost a pass over all of them.
    count = 3 * MAX_OPEN_OCCURRENCES
    job = repeated_job(count)
    started = []
    while not job.final:
        ready = list(job.ready_steps())
        assert 0 < len(ready) <= MAX_OPEN_OCCURRENCES
        assert len(job.occurrences) <= 2 * MAX_OPEN_OCCURRENCES
        for step in ready[:50]:
            (task,) = step.tasks
            started.append(task.name)
            job.place(task, "e-1", 1, ZERO)
            job.end(task, 1, EndKind.DONE, "")
        if not job.final:
            # Another holder goes on with what is stored.
            job = repeated_job(count, job.encode())
    assert job.state is JobState.COMPLETED
    assert len(started) == len(set(started)) == 2 * count


async def test_a_job_with_many_due_occurrences_does_not_keep_others_from_starting():
    world = World(executors=2, cpu=64_000)
    async with world.running():
        count = 2 * MAX_OPEN_OCCURRENCES
        step = StepSpec(1, 10, 1)
        await world.submit("wide", step, team="wide", occurrences=count)
        await world.run_for(0.2)
        await world.submit("a1", StepSpec(2, 1000, 100), team="small")
        assert await world.run_for(2, lambda: world.state("a1") is JobState.COMPLETED)
        assert await world.run_for(
            20, lambda: world.state("wide") is JobState.COMPLETED
        )
        names = [task for task, _, _ in world.client.started if task[0] == "w"]
        assert len(names) == len(set(names)) == count


def test_a_gang_that_cannot_start_together_is_refused():
    # One gang of 20,000 tasks was planned anew in each round, and no job started.
    check_spec(JobSpec("p", (StepSpec(MAX_GANG_TASKS, 10, 1, gang=True),)))
    with pytest.raises(RefusedError, match="gang"):
        check_spec(JobSpec("p", (StepSpec(MAX_GANG_TASKS + 1, 10, 1, gang=True),)))


async def test_a_large_gang_of_an_earlier_build_keeps_no_other_job_from_starting(
    monkeypatch,
):
    monkeypatch.setattr("pomeloyard.batch.job_service.check_spec", lambda spec: None)
    world = World(executors=2, cpu=64_000)
    async with world.running():
        gang = StepSpec(MAX_GANG_TASKS + 1, 10, 1, gang=True)
        await world.submit("wide", gang, team="wide")
        await world.submit("a1", StepSpec(2, 1000, 100), team="small")
        assert await world.run_for(2, lambda: world.state("a1") is JobState.COMPLETED)
        assert not any(task.startswith("wide") for task, _, _ in world.client.started)


@pytest.mark.parametrize(
    ("spec", "fits"),
    [
        (StepSpec(8, 1000, 1, gang=True), True),
        (StepSpec(9, 1000, 1, gang=True), False),
        (StepSpec(9, 1000, 1, gang=True, fills=True), True),
        (StepSpec(5, 10, 4000, gang=True), False),
        (StepSpec(4, 10, 1, gang=True, max_per_executor=2), True),
        (StepSpec(5, 10, 1, gang=True, max_per_executor=2), False),
        (StepSpec(1, 10, 1, gang=True, label="gpu"), False),
    ],
)
def test_room_for_a_gang_is_known_without_placing_it(spec, fits):
    links = [FakeLink(f"e-{number}") for number in range(2)]
    for link in links:
        link.capacity, link.labels = Resources(4000, 8000), ("plain",)
    index = FreeCapacityIndex(links, Usage(), RunEstimates(), ZERO)
    record = JobRecord("q", "nets", JobSpec("p", (spec,)), NOW, "w")
    (step,) = JobRun("a1", record, QUEUE, ZERO).ready_steps()
    assert index.has_room(step, None) is fits
    assert not index.has_room(step, {"e-9"})


MAX_LOADED_BYTES = 50 * (1 << 20)
"""What the jobs below may take of the smallest holder, which has 200 MB in all."""


async def test_wide_jobs_that_have_not_begun_fit_into_the_holder():
    """Each holder was killed for its memory, and no job began; review/13 (LOST)."""
    world = World()
    wide = StepSpec(20_000, 500, 256, estimate_ms=2000, label="nowhere")
    await world.publish(configuration())
    tracemalloc.start()
    try:
        async with world.running():
            for number in range(40):
                await world.submit(f"w{number}", wide)
            await world.run_for(1)
            async with world.term() as successor:
                await world.submit("a1")
                done = await world.run_for(5, completed(world, "a1"))
                assert done
                assert len(successor.jobs_by_id) == 41
                _, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert peak < MAX_LOADED_BYTES


def completed(world, job_id):
    return lambda: world.state(job_id) is JobState.COMPLETED
