"""Scheduling with faults at each step, on fake workers and a manual clock."""

from dataclasses import replace
from datetime import timedelta

import anyio
import pytest

from pomeloyard.fleet.vms import VmRecord, VmState
from pomeloyard.jobs.job import JobReason, JobRequest, JobState
from pomeloyard.jobs.store import JobStore
from pomeloyard.vm_platform.directory import VmRole
from pomeloyard.workers.tasks import TaskState
from tests.support.fake_workers import GIB, SchedulerBench
from tests.support.job_fakes import advance

NON_IDEMPOTENT = JobRequest("sleep 2", cores=1, memory_bytes=GIB)
IDEMPOTENT = replace(NON_IDEMPOTENT, idempotent=True)
LONG = JobRequest("sleep 500", cores=4, memory_bytes=GIB, checkpointable=True)


def run(check, **options):
    bench = SchedulerBench(**options)

    async def main():
        with anyio.fail_after(60):
            await check(bench)

    anyio.run(main)
    assert bench.limit_violations == []


def test_jobs_run_once_and_their_reports_are_acknowledged():
    """Guards against a second start of a job that has succeeded."""

    async def check(bench):
        await bench.submit_many("mill", NON_IDEMPOTENT, 40)
        async with bench.scheduler():
            await bench.run(60)
        assert bench.store.calls_by_method["scan"] == 1
        assert bench.store.calls_by_method["commit"] < 60
        jobs = await bench.jobs()
        assert {job.state for job in jobs.values()} == {JobState.SUCCEEDED}
        assert len(bench.workers.starts) == 40
        assert not any(w.tasks for w in bench.workers.by_name.values())

    run(check)


def start_lost(worker):
    worker.answers_to_drop = 1


def start_hangs(worker):
    worker.unresponsive = worker.delays_orders = True


def refuses(worker):
    worker.refuses_calls = True


def silent_for_good(worker):
    worker.unresponsive = True


FAULTS = [
    # fault at the worker, later action, idempotent job, final state
    (start_lost, None, False, JobState.SUCCEEDED),
    (start_lost, None, True, JobState.SUCCEEDED),
    (start_hangs, "deliver", False, JobState.SUCCEEDED),
    (start_hangs, "deliver", True, JobState.SUCCEEDED),
    (start_hangs, "gone", False, JobState.FAILED),
    (start_hangs, "gone", True, JobState.SUCCEEDED),
    (silent_for_good, None, False, JobState.FAILED),
    (silent_for_good, None, True, JobState.SUCCEEDED),
    (refuses, None, False, JobState.SUCCEEDED),
]


@pytest.mark.parametrize(("fault", "later", "idempotent", "end"), FAULTS)
def test_start_with_a_fault(fault, later, idempotent, end):
    """Guards against a second start after a start with unknown outcome (R8)."""

    async def check(bench):
        async with bench.scheduler():
            await bench.run(1)
            for worker in bench.workers.by_name.values():
                fault(worker)
            request = IDEMPOTENT if idempotent else NON_IDEMPOTENT
            job_id = await bench.submit("mill", "k", request)
            await bench.run(1)
            chosen = (await bench.job(job_id)).worker
            for name, worker in bench.workers.by_name.items():
                if name != chosen:
                    worker.unresponsive = worker.refuses_calls = False
                    worker.answers_to_drop = 0
            if later == "deliver":
                await bench.run(4)
                worker = bench.workers.by_name[chosen]
                worker.unresponsive = False
                for order in worker.delayed_orders:
                    bench.workers.execute_order(worker, order)
            elif later == "gone":
                bench.remove_worker(chosen)
            await bench.run(100)
        job = await bench.job(job_id)
        assert job.state is end
        if end is JobState.FAILED:
            assert job.reason is JobReason.UNKNOWN
        if not idempotent:
            assert bench.start_count(job_id) <= 1

    run(check, workers=3)


@pytest.mark.parametrize("idempotent", [False, True])
@pytest.mark.parametrize("kill_at", [0.05, 0.15, 0.25, 0.5, 1.5, 2.5, 4.0])
def test_scheduler_killed_at_any_moment(kill_at, idempotent):
    """Guards against lost or duplicated work after a scheduler failover."""

    async def check(bench):
        request = IDEMPOTENT if idempotent else NON_IDEMPOTENT
        await bench.submit_many("mill", request, 20)
        async with bench.scheduler():
            await bench.run(1)
            await bench.submit("mill", "k", request)
            await advance(bench.clock, kill_at)
        await bench.run(3)
        async with bench.scheduler():
            await bench.run(40)
        jobs = await bench.jobs()
        assert len(jobs) == 21
        assert all(job.state is JobState.SUCCEEDED for job in jobs.values())
        if not idempotent:
            assert len(bench.workers.starts) == 21

    run(check, workers=2, limits={"mill": 5})


@pytest.mark.parametrize("idempotent", [False, True])
@pytest.mark.parametrize("fail_at", [0.05, 0.15, 0.5, 1.5, 2.5])
def test_term_that_fails_starts_again(fail_at, idempotent):
    """Guards against a scheduling error that stops the daemon or loses tasks."""

    def broken(*_):
        raise RuntimeError("injected")

    async def check(bench):
        request = IDEMPOTENT if idempotent else NON_IDEMPOTENT
        await bench.submit_many("mill", request, 20)
        async with bench.scheduler() as scheduler:
            await advance(bench.clock, fail_at)
            scheduler.term.placer.plan = broken
            await bench.run(60)
        jobs = await bench.jobs()
        assert all(job.state is JobState.SUCCEEDED for job in jobs.values())
        assert len(bench.workers.starts) == 20

    run(check, workers=2, limits={"mill": 5})


@pytest.mark.parametrize(
    ("idempotent", "end"), [(False, JobState.FAILED), (True, JobState.SUCCEEDED)]
)
def test_worker_restarts_while_the_scheduler_changes(idempotent, end):
    """Guards against treating a task lost in a worker restart as not started (R8)."""

    async def check(bench):
        job_id = await bench.submit(
            "mill", "k", IDEMPOTENT if idempotent else NON_IDEMPOTENT
        )
        async with bench.scheduler():
            while not bench.workers.starts:
                await advance(bench.clock, 0.05)
        # The record is still ASSIGNED, but the worker has lost the task.
        assert (await bench.job(job_id)).state is JobState.ASSIGNED
        for worker in bench.workers.by_name.values():
            worker.tasks.clear()
        async with bench.scheduler():
            await bench.run(30)
        assert (await bench.job(job_id)).state is end
        assert bench.start_count(job_id) == (2 if idempotent else 1)

    run(check)


def test_two_schedulers_at_once():
    """Guards against a resumed scheduler placing jobs alongside its successor."""

    async def check(bench):
        await bench.submit_many("mill", NON_IDEMPOTENT, 30)
        async with bench.scheduler() as first:
            await bench.run(2)
            async with bench.scheduler():
                await bench.run(10)
                assert first.term is None
                await bench.run(60)
        jobs = await bench.jobs()
        assert all(job.state is JobState.SUCCEEDED for job in jobs.values())
        assert len(bench.workers.starts) == 30

    run(check, limits={"mill": 5})


def test_unreachable_worker_is_waited_out_before_placing():
    """Guards against exceeding a limit with tasks on unresponsive workers (R5)."""

    async def check(bench):
        long = replace(IDEMPOTENT, command="sleep 300")
        await bench.submit_many("mill", long, 8)
        async with bench.scheduler():
            await bench.run(3)
        for name in ("w0", "w1"):
            bench.workers.by_name[name].unresponsive = True
        async with bench.scheduler():
            await bench.run(30)
            assert bench.workers.units_by_team()["mill"] == 4

    run(check, limits={"mill": 4})


def test_store_outage():
    """Guards against stopped tasks or lost results during a store outage."""

    async def check(bench):
        before = [await bench.submit("mill", f"a{n}", NON_IDEMPOTENT) for n in range(2)]
        async with bench.scheduler():
            await bench.run(1)
            assert sorted(before) == bench.workers.running()
            non_idempotent_id = await bench.submit("mill", "once", NON_IDEMPOTENT)
            idempotent_id = await bench.submit("mill", "again", IDEMPOTENT)
            bench.store.down = True
            await bench.run(20)
            assert bench.start_count(non_idempotent_id) == 0
            bench.store.down = False
            await bench.run(10)
        jobs = await bench.jobs()
        assert {jobs[j].state for j in (*before, non_idempotent_id, idempotent_id)} == {
            JobState.SUCCEEDED
        }
        assert all(bench.start_count(j) == 1 for j in (*before, non_idempotent_id))

    run(check)


def test_tasks_started_during_an_outage_are_adopted():
    """Guards against exceeding a limit with tasks that have no record (R5)."""

    async def check(bench):
        long = replace(IDEMPOTENT, command="sleep 60")
        async with bench.scheduler() as scheduler:
            await bench.run(1)
            await bench.submit_many("mill", long, 9)
            scheduler.term.store_lost()
            bench.store.down = True
            await bench.run(3)
        bench.store.down = False
        async with bench.scheduler():
            await bench.run(5)
            assert bench.workers.units_by_team()["mill"] == 3
            await bench.run(200)
        jobs = await bench.jobs()
        assert all(job.state is JobState.SUCCEEDED for job in jobs.values())

    run(check, limits={"mill": 3})


def test_lost_answers_of_the_store():
    """Guards against a start on a record whose commit had an unknown outcome."""

    async def check(bench):
        await bench.submit_many("mill", NON_IDEMPOTENT, 20)
        async with bench.scheduler():
            for lost in (1, 3, 4, 2, 3):
                bench.store.answers_to_lose = lost
                await bench.run(3)
            await bench.run(30)
        jobs = await bench.jobs()
        assert all(job.state is JobState.SUCCEEDED for job in jobs.values())
        assert len(bench.workers.starts) == 20

    run(check)


@pytest.mark.parametrize(("store_delay", "worker_delay"), [(1.9, 0.0), (0.0, 1.9)])
def test_slow_store_or_workers(store_delay, worker_delay):
    """Guards against expired leases and lost starts with a slow store or workers."""

    async def check(bench):
        for worker in bench.workers.by_name.values():
            worker.delay_seconds = worker_delay
        async with bench.scheduler():
            await bench.run(3)
            request = replace(NON_IDEMPOTENT, command="sleep 15")
            ids = [await bench.submit("mill", f"k{n}", request) for n in range(12)]
            bench.store.delay = timedelta(seconds=store_delay)
            await bench.run(60)
            bench.store.delay = timedelta(0)
        jobs = await bench.jobs()
        assert {jobs[j].state for j in ids} == {JobState.SUCCEEDED}
        assert len(bench.workers.starts) == 12

    run(check)


def test_silent_workers_do_not_delay_others():
    """Guards against expired leases because of other, unresponsive workers."""

    async def check(bench):
        await bench.submit_many("mill", replace(NON_IDEMPOTENT, command="sleep 60"), 10)
        async with bench.scheduler():
            await bench.run(2)
            busy = {run[2] for run in bench.workers.starts}
            for name, worker in bench.workers.by_name.items():
                worker.unresponsive = name not in busy
            await bench.run(70)
        states = [
            t.state for w in bench.workers.by_name.values() for t in w.tasks.values()
        ]
        assert TaskState.LEASE_EXPIRED not in states
        jobs = await bench.jobs()
        assert all(job.state is JobState.SUCCEEDED for job in jobs.values())

    run(check, workers=120, cores=4)


def test_wave_of_cancellations_is_cheap():
    """Guards against a store call for each cancelled job."""

    async def check(bench):
        blocker = replace(NON_IDEMPOTENT, command="sleep 500", cores=4.0, label="night")
        await bench.submit_many("mill", blocker, 5000)
        jobs = JobStore(bench.store, bench.clock, lambda: bench.state.config)
        async with bench.scheduler():
            await bench.run(4)
            assert len(bench.workers.running()) == 4
            bench.store.calls_by_method.clear()
            await jobs.cancel("mill", label="night")
            await bench.run(6)
            assert bench.workers.running() == []
            assert bench.store.calls_by_method["commit"] <= 60
            assert bench.store.calls_by_method.get("get", 0) <= 10
        states = {job.state for job in (await bench.jobs()).values()}
        assert states == {JobState.CANCELLED}

    run(check)


def test_fail_all_worker_is_set_aside_and_a_bad_job_is_not_blamed_on_workers():
    """Guards against a worker that fails every job it gets.

    Also guards against quarantine of workers on which only a bad job failed.
    """

    async def check(bench):
        bench.workers.by_name["w0"].fail_all = True
        good = replace(IDEMPOTENT, command="sleep 1", label="good", retry_limit=5)
        bad = replace(IDEMPOTENT, command="fail", label="bad", retry_limit=20)
        async with bench.scheduler():
            for wave in range(10):
                for n in range(15):
                    await bench.submit("mill", f"g{wave}.{n}", good)
                for n in range(3):
                    await bench.submit("mill", f"b{wave}.{n}", bad)
                await bench.run(6)
            await bench.run(30)
        jobs = (await bench.jobs()).values()
        by_label = {
            label: [j for j in jobs if j.request.label == label]
            for label in ("good", "bad")
        }
        assert {j.state for j in by_label["good"]} == {JobState.SUCCEEDED}
        assert {j.reason for j in by_label["bad"]} == {
            JobReason.FAILED_ON_SEVERAL_WORKERS
        }
        # Four failures before there are results from other workers, then one per trial.
        good_ids = {job.job_id for job in by_label["good"]}
        good_starts = [run for run in bench.workers.starts if run[0] in good_ids]
        assert sum(run[2] == "w0" for run in good_starts) <= 6

    run(check, workers=6)


def test_memory_kill_gets_more_memory_and_impossible_is_typed():
    """Guards against endless retries with too little memory and endless queueing."""

    async def check(bench):
        killed = await bench.submit("mill", "k", replace(IDEMPOTENT, command="oom"))
        huge = await bench.submit("mill", "h", replace(NON_IDEMPOTENT, cores=64))
        many = await bench.submit("desk", "m", replace(NON_IDEMPOTENT, cores=4))
        async with bench.scheduler():
            await bench.run(20)
        jobs = await bench.jobs()
        assert jobs[killed].reason is JobReason.OUT_OF_MEMORY
        assert jobs[killed].memory_floor > 2 * GIB
        assert jobs[huge].reason is JobReason.NO_WORKER_LARGE_ENOUGH
        assert jobs[many].reason is JobReason.TEAM_LIMIT_TOO_SMALL
        assert {jobs[j].state for j in (huge, many)} == {JobState.IMPOSSIBLE}

    run(check, limits={"mill": 100, "desk": 3})


@pytest.mark.parametrize("checkpoint_seconds", [0.5, 2.5, 60.0])
def test_urgent_job_starts_on_a_full_fleet(checkpoint_seconds):
    """Guards against late urgent jobs and stopped tasks that are not idempotent."""

    async def check(bench):
        protected = replace(LONG, checkpointable=False, label="keep")
        protected_ids = [
            await bench.submit("mill", f"k{n}", protected) for n in range(2)
        ]
        await bench.run(0.25)
        await bench.submit_many("mill", replace(LONG, idempotent=True), 4)
        async with bench.scheduler():
            await bench.run(3)
            assert len(bench.workers.running()) == 4
            urgent = replace(LONG, command="sleep 5", urgent=True)
            since = bench.clock.monotonic()
            ids = [await bench.submit("desk", f"u{n}", urgent) for n in range(2)]
            await bench.run(8)
            for job_id in ids:
                waited = bench.workers.started_at[job_id] - since
                assert waited.total_seconds() <= 7.2
            assert set(protected_ids) <= set(bench.workers.running())
            jobs = await bench.jobs()
            resumed = [job for job in jobs.values() if job.checkpoint]
            assert len(resumed) == (0 if checkpoint_seconds > 10 else 2)

    run(check, checkpoint_seconds=checkpoint_seconds)


def test_drain_moves_tasks_that_can_be_moved():
    """Guards against a drain that never ends or stops non-idempotent tasks."""

    async def check(bench):
        kinds = {
            "finish": replace(NON_IDEMPOTENT, command="sleep 100"),
            "move": replace(LONG, cores=1),
            "stop": replace(IDEMPOTENT, command="sleep 300"),
        }
        async with bench.scheduler():
            await bench.run(1)
            ids = {k: await bench.submit("mill", k, r) for k, r in kinds.items()}
            await bench.run(2)
            bench.add_worker("spare", "az1", "az1-r0", cores=4)
            record = VmRecord("w0", VmRole.WORKER, "p", VmState.DRAINING)
            bench.state.vm_records_by_name["w0"] = record
            await bench.run(50)
            assert len(bench.workers.starts) == 3
            await bench.run(20)
            jobs = await bench.jobs()
            workers = {kind: jobs[job_id].worker for kind, job_id in ids.items()}
            assert workers == {"finish": "w0", "move": "spare", "stop": "spare"}
            assert jobs[ids["move"]].checkpoint
            await bench.run(60)
        assert (await bench.job(ids["finish"])).state is JobState.SUCCEEDED

    run(check, workers=1)


def test_final_records_are_removed_after_their_time():
    """Guards against unbounded growth of the store."""

    async def check(bench):
        await bench.submit_many("mill", NON_IDEMPOTENT, 5)
        async with bench.scheduler():
            await bench.run(10)
            assert len(await bench.jobs()) == 5
            bench.clock.advance(timedelta(hours=25))
            await bench.run(12)
            assert await bench.jobs() == {}

    run(check)


def test_queued_jobs_end_with_their_key_and_running_ones_go_on():
    """Guards against starting jobs of a withdrawn API key."""

    async def check(bench):
        jobs = JobStore(bench.store, bench.clock, lambda: bench.state.config)
        request = replace(NON_IDEMPOTENT, command="sleep 20", cores=4.0)
        ids: dict[str, list[str]] = {"old": [], "new": []}

        async def submit(key_id, number):
            job = await jobs.submit("mill", request, f"{key_id}{number}", key_id)
            ids[key_id].append(job.job_id)

        async with bench.scheduler(), anyio.create_task_group() as tasks:
            for key_id in ids:
                for number in range(6):
                    tasks.start_soon(submit, key_id, number)
            await bench.run(4)
            running = set(bench.workers.running())
            bench.state.withdrawn_key_ids.add("old")
            tasks.start_soon(submit, "old", 99)
            await bench.run(200)
        states = await bench.jobs()
        for job_id in ids["old"]:
            expected = JobState.SUCCEEDED if job_id in running else JobState.CANCELLED
            assert states[job_id].state is expected
            if expected is JobState.CANCELLED:
                assert states[job_id].reason is JobReason.KEY_WITHDRAWN
        assert {states[i].state for i in ids["new"]} == {JobState.SUCCEEDED}
        assert len(ids["old"]) == 7

    run(check)
