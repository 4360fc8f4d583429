import math
from dataclasses import replace

import anyio
import pytest

from pomeloyard.clock import ManualClock
from pomeloyard.config.model import FleetConfig, QueueConfig, TeamConfig
from pomeloyard.errors import RefusedError
from pomeloyard.jobs.job import JobRequest, JobState
from pomeloyard.jobs.store import JobStore
from pomeloyard.outcomes import RefusalReason
from tests.support.job_fakes import FaultyStore, with_clock

CONFIG = FleetConfig(
    name="t",
    teams_by_name={n: TeamConfig(n, 1, 10, 10) for n in ("mill", "desk")},
    queues_by_name={
        "night": QueueConfig("night", ("p",), open=True),
        "mill": QueueConfig("mill", ("p",), teams=("mill",)),
    },
)
GOOD = JobRequest("sleep 1", label="nightly")


def make(**more):
    clock = ManualClock()
    store = FaultyStore(clock)
    return clock, store, JobStore(store, clock, lambda: CONFIG)


async def submit_all(clock, jobs, team, submissions):
    results = [None] * len(submissions)

    async def one(index, request, key):
        try:
            results[index] = await jobs.submit(team, request, key)
        except RefusedError as error:
            results[index] = error.refusal.reason

    async def every():
        async with anyio.create_task_group() as tasks:
            for index, (request, key) in enumerate(submissions):
                tasks.start_soon(one, index, request, key)

    error = await with_clock(clock, every())
    assert error is None
    return results


@pytest.mark.parametrize(
    ("changes", "reason"),
    [
        ({"cores": -1.0}, RefusalReason.INVALID_INPUT),
        ({"cores": math.nan}, RefusalReason.INVALID_INPUT),
        ({"cores": 1e9}, RefusalReason.INVALID_INPUT),
        ({"memory_bytes": 0}, RefusalReason.INVALID_INPUT),
        ({"accelerators": -1}, RefusalReason.INVALID_INPUT),
        ({"expected_seconds": math.inf}, RefusalReason.INVALID_INPUT),
        ({"retry_limit": 10**6}, RefusalReason.INVALID_INPUT),
        ({"command": ""}, RefusalReason.INVALID_INPUT),
        ({"label": "a\nb"}, RefusalReason.INVALID_INPUT),
        ({"queue": "no such"}, RefusalReason.INVALID_INPUT),
        ({"queue": "mill"}, RefusalReason.ROLE_INSUFFICIENT),
    ],
)
def test_invalid_submissions_are_refused_without_a_store_call(changes, reason):
    """Guards against sizes that break placement, and queues of other teams (R3)."""

    async def check():
        clock, store, jobs = make()
        result = await with_clock(
            clock, jobs.submit("desk", replace(GOOD, **changes), "")
        )
        assert result.refusal.reason is reason
        assert not store.calls_by_method

    anyio.run(check)


def test_unconfigured_team_is_refused():
    """Guards against jobs that stay queued because their team has no limit."""

    async def check():
        clock, store, jobs = make()
        error = await with_clock(clock, jobs.submit("other", GOOD, ""))
        assert error.refusal.reason is RefusalReason.NOT_READY
        assert not store.calls_by_method

    anyio.run(check)


def test_one_conflict_does_not_fail_the_group():
    """Guards against lost or duplicated submissions in a group with a conflict."""

    async def check():
        clock, store, jobs = make()
        first = await with_clock(clock, jobs.submit("mill", GOOD, "k7"))
        store.calls_by_method.clear()
        other = replace(GOOD, cores=3.0)
        submissions = [(GOOD, f"k{n}") for n in range(150)]
        submissions += [(GOOD, "k8"), (other, "k9"), (other, "k7")]
        store.answers_to_lose = 1
        results = await submit_all(clock, jobs, "mill", submissions)
        assert results[7] == first
        assert results[150] == results[8]
        assert results[151:] == [RefusalReason.KEY_REUSED] * 2
        assert len({job.job_id for job in results[:150]}) == 150
        assert len((await store.scan("jobs/")).entries) == 150
        assert store.calls_by_method["commit"] <= 20
        # Open queues accept any team.
        night = replace(GOOD, queue="night")
        assert (await with_clock(clock, jobs.submit("desk", night, "x"))).team == "desk"

    anyio.run(check)


def test_store_outage_is_refused_as_not_run():
    """Guards against acknowledging a submission that is not stored (R7)."""

    async def check():
        clock, store, jobs = make()
        store.down = True
        error = await with_clock(clock, jobs.submit("mill", GOOD, "k"))
        assert error.refusal.reason is RefusalReason.STORE_UNAVAILABLE
        assert error.refusal.retry_after.total_seconds() > 0
        store.down = False
        assert (await store.scan("jobs/")).entries == ()

    anyio.run(check)


def test_a_team_sees_only_its_own_jobs_page_by_page():
    """Guards against access to another team's job by its id, and lost pages."""

    async def check():
        clock, _, jobs = make()
        submissions = [(GOOD, str(n)) for n in range(7)]
        created = await submit_all(clock, jobs, "mill", submissions)
        other_id = created[0].job_id
        assert await jobs.get("desk", other_id) is None
        assert await jobs.cancel("desk", [other_id]) == {}
        assert await jobs.cancel("desk", ["../mill/" + other_id]) == {}
        seen, after = [], ""
        while True:
            page, after = await jobs.page("mill", after, 3)
            seen += [job.job_id for job in page]
            if not after:
                break
        assert seen == sorted(job.job_id for job in created)

    anyio.run(check)


@pytest.mark.parametrize("by_label", [True, False])
def test_thousands_are_cancelled_in_few_calls(by_label):
    """Guards against a store call for each of many cancelled jobs."""

    async def check():
        clock, store, jobs = make()
        submissions = [(GOOD, str(n)) for n in range(5000)]
        created = await submit_all(clock, jobs, "mill", submissions)
        store.calls_by_method.clear()
        ids = [] if by_label else [job.job_id for job in created]
        states = await jobs.cancel("mill", ids, "nightly" if by_label else "")
        assert set(states.values()) == {JobState.CANCELLED}
        assert len(states) == 5000
        assert store.calls_by_method == {"scan": 5, "commit": 50}

    anyio.run(check)
