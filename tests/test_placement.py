"""Placement, preemption, quarantine and learned demands, without I/O."""

from collections import Counter
from dataclasses import replace
from datetime import UTC, datetime, timedelta

import anyio
import pytest

from pomeloyard.jobs.capacity import CapacityIndex, Demand, Worker
from pomeloyard.jobs.estimates import MAX_FACTOR, Estimates
from pomeloyard.jobs.job import Job, JobReason, JobRequest, JobState, job_id_of
from pomeloyard.jobs.placement import Placer
from pomeloyard.jobs.preemption import PreemptionMethod, RunningTask, VictimChooser
from pomeloyard.jobs.quarantine import Quarantine, WorkerHealth
from pomeloyard.jobs.team_shares import TeamLimits
from tests.support.fake_workers import GIB, SchedulerBench

START = datetime(2026, 1, 1, tzinfo=UTC)
TEAMS = {"mill": TeamLimits(3.0, 10**6), "desk": TeamLimits(1.0, 10**6)}


class Fleet:
    """A placer without I/O."""

    def __init__(self, workers=6, cores=16.0, accelerated=(), teams=TEAMS):
        self.jobs = {}
        self.index = CapacityIndex()
        self.placer = Placer(
            self.index,
            self.jobs.get,
            Estimates().demand,
            lambda job: ("p",),
            lambda: teams,
            lambda: timedelta(0),
        )
        for n in range(workers):
            zone = f"az{n % 3}"
            accelerators = 4 if n in accelerated else 0
            capacity = Demand(cores, 64 * GIB, accelerators)
            rack = f"{zone}-r{n % 2}"
            self.index.put(Worker(f"w{n}", "p", zone, rack, capacity))

    def queue(self, team, count=1, **fields):
        request = JobRequest("x", **{"memory_bytes": GIB, **fields})
        for _ in range(count):
            job_id = job_id_of(team, str(len(self.jobs)))
            job = Job(job_id, team, request, START)
            self.jobs[job.key] = job
            self.placer.job_changed(job.key, None, job)
            self.placer.enqueue(job)

    def step(self, seconds):
        plan = self.placer.plan(timedelta(seconds=seconds))
        for placement in plan.placements:
            job = placement.job
            after = replace(job, state=JobState.RUNNING, worker=placement.worker)
            self.jobs[job.key] = after
            self.placer.job_changed(job.key, job, after)
        return plan


def test_full_fleet_is_divided_by_share_and_a_limit_holds():
    """Guards against a team exceeding its fair share or its job limit."""
    fleet = Fleet()
    fleet.queue("mill", 200)
    fleet.queue("desk", 200)
    placed = Counter(p.job.team for p in fleet.step(0).placements)
    assert placed == {"mill": 72, "desk": 24}
    limited = Fleet(teams={"mill": TeamLimits(3.0, 5), "desk": TEAMS["desk"]})
    limited.queue("mill", 9, cores=1.5)
    plan = limited.step(0)
    assert len(plan.placements) == 2
    assert [reason for _, reason in plan.waiting] == [JobReason.TEAM_AT_LIMIT]


def test_tasks_are_spread_and_accelerators_are_left_to_those_who_need_them():
    """Guards against losing all tasks of a label with one zone.

    Also guards against tasks without accelerators on workers that have some.
    """
    fleet = Fleet(accelerated=(0, 1, 2))
    fleet.queue("desk", 12, cores=8.0, memory_bytes=GIB, label="a")
    workers = [p.worker for p in fleet.step(0).placements]
    assert Counter(int(w[1:]) % 3 for w in workers) == {0: 4, 1: 4, 2: 4}
    fleet = Fleet(accelerated=(0, 1, 2))
    fleet.queue("desk", 6, cores=8.0)
    assert {p.worker for p in fleet.step(0).placements} <= {"w3", "w4", "w5"}
    fleet.queue("desk", 3, cores=1.0, accelerators=3)
    fleet.queue("desk", 1, cores=1.0, accelerators=2)
    fleet.queue("desk", 1, cores=99.0)
    plan = fleet.step(1)
    assert len(plan.placements) == 3
    assert [r for _, r in plan.waiting] == [JobReason.SHARE_USED]
    assert [r for _, r in plan.impossible] == [JobReason.NO_WORKER_LARGE_ENOUGH]


def test_shares_converge_while_jobs_come_and_go():
    """Guards against a share error above 2% in a window of 10 s."""

    async def check():
        bench = SchedulerBench(workers=6, cores=16, limits={"mill": 1000, "desk": 1000})
        teams = bench.state.config.teams_by_name
        teams["mill"] = replace(teams["mill"], share=3)
        request = JobRequest("sleep 1", memory_bytes=GIB, expected_seconds=1.0)
        for team in teams:
            await bench.submit_many(team, request, 2000)
        served = Counter()
        async with bench.scheduler():
            await bench.run(4)
            for _ in range(40):
                await bench.run(0.25)
                served.update(bench.workers.units_by_team())
        part = served["mill"] / served.total()
        assert abs(part / 0.75 - 1) <= 0.02
        assert abs((1 - part) / 0.25 - 1) <= 0.02

    anyio.run(check)


def test_large_job_is_not_passed_for_ever():
    """Guards against starvation of a large job by a stream of small jobs."""

    async def check():
        bench = SchedulerBench(workers=2, cores=4)
        small = JobRequest("sleep 20", memory_bytes=GIB, expected_seconds=20.0)
        async with bench.scheduler():
            for n in range(40):
                await bench.submit("mill", f"s{n}", small)
                await bench.run(0.5)
            large = replace(small, cores=4, memory_bytes=4 * GIB)
            job_id = await bench.submit("mill", "large", large)
            for n in range(240):
                await bench.submit("mill", f"t{n}", small)
                await bench.run(0.5)
        assert bench.start_count(job_id) == 1

    anyio.run(check)


def task(name, cores=4.0, **fields):
    defaults = {"checkpointable": False, "idempotent": False, "throttled": False}
    return RunningTask(
        name,
        Demand(cores, GIB),
        **{**defaults, "over_share": 0.0, "run_seconds": 10.0, **fields},
    )


def full_worker(name, tasks):
    worker = Worker(name, "p", "az0", "r0", Demand(16.0, 64 * GIB))
    worker.demands_by_job = {t.job_key: t.demand for t in tasks}
    worker.refresh()
    return worker, tasks, []


@pytest.mark.parametrize(
    ("tasks", "cores", "expected"),
    [
        # Checkpointing is preferred, starting with the team most over its share.
        (
            [
                task("a", idempotent=True),
                task("b", checkpointable=True),
                task("c", checkpointable=True, over_share=2.0),
                task("d"),
            ],
            4.0,
            {"c": PreemptionMethod.CHECKPOINT},
        ),
        # Throttling frees enough, so nothing is stopped.
        (
            [task(n, idempotent=True) for n in "abcd"],
            4.0,
            {"a": PreemptionMethod.THROTTLE, "b": PreemptionMethod.THROTTLE},
        ),
        # Only idempotent tasks are stopped, and only the one needed.
        (
            [
                task("a", throttled=True),
                task("b", throttled=True, idempotent=True, run_seconds=99.0),
                task("c", throttled=True, idempotent=True, run_seconds=1.0),
                task("d", throttled=True),
            ],
            4.0,
            {"c": PreemptionMethod.STOP},
        ),
        # Tasks that are not idempotent are never stopped.
        ([task(n, throttled=True) for n in "abcd"], 4.0, None),
    ],
)
def test_mildest_victims(tasks, cores, expected):
    """Guards against lost work where a less disruptive method suffices."""
    chosen = VictimChooser([full_worker("w", tasks)]).choose(Demand(cores, GIB), ("p",))
    methods = chosen and {v.task.job_key: v.method for v in chosen.victims}
    assert methods == expected


def test_quarantine_judges_workers_by_what_jobs_do_elsewhere():
    """Guards against quarantine of workers that only ran failing jobs.

    Also guards against quarantine of more than a tenth of the fleet.
    """
    now, kind, bad = timedelta(0), ("t", "good"), ("t", "bad")

    def end(quarantine, worker, job_id, of_kind, failed, at=now, fleet=20):
        quarantine.task_ended(
            at, worker, job_id, of_kind, failed=failed, fleet_size=fleet
        )
        return quarantine.health(worker)

    quarantine = Quarantine()
    for n in range(30):
        end(quarantine, f"w{n % 5}", f"j{n}", kind, failed=False)
        end(quarantine, f"w{n % 5}", f"b{n}", bad, failed=True)
    assert all(quarantine.health(f"w{n}") is WorkerHealth.GOOD for n in range(5))
    for n in range(4):
        health = end(quarantine, "hole", f"h{n}", kind, failed=True)
    assert health is WorkerHealth.QUARANTINED
    # At most a tenth is quarantined: two of twenty.
    for worker in ("hole2", "hole3"):
        for n in range(4):
            end(quarantine, worker, f"{worker}.{n}", kind, failed=True)
    assert quarantine.health("hole2") is WorkerHealth.QUARANTINED
    assert quarantine.health("hole3") is WorkerHealth.GOOD
    # Each failed trial doubles the quarantine; a successful one ends it.
    at = now
    for rest in (60, 120, 240):
        quarantine.start_due_trials(at + timedelta(seconds=rest - 1))
        assert quarantine.health("hole") is WorkerHealth.QUARANTINED
        at += timedelta(seconds=rest)
        quarantine.start_due_trials(at)
        assert quarantine.health("hole") is WorkerHealth.ON_TRIAL
        end(quarantine, "hole", f"trial{rest}", kind, failed=True, at=at)
    quarantine.start_due_trials(at + timedelta(hours=2))
    assert end(quarantine, "hole", "ok", kind, failed=False) is WorkerHealth.GOOD


def test_failures_of_a_bad_job_are_taken_back():
    """Guards against a worker that stays in quarantine because of a failing job."""
    quarantine, now, kind = Quarantine(), timedelta(0), ("t", "x")
    for n in range(9):
        quarantine.task_ended(now, "w9", f"g{n}", kind, failed=False, fleet_size=9)
    for job_id in ("bad", "bad", "other"):
        quarantine.task_ended(now, "w1", job_id, kind, failed=True, fleet_size=9)
    assert quarantine.health("w1") is WorkerHealth.QUARANTINED
    changes = quarantine.retract_failures("bad", kind)
    assert [c.worker for c in changes] == ["w1"]
    assert quarantine.health("w1") is WorkerHealth.GOOD


def test_learned_sizes_stay_between_what_was_seen_and_the_bound():
    """Guards against learned demands below the observed usage."""
    estimates = Estimates()
    request = JobRequest("x", cores=8, memory_bytes=8 * GIB)
    job = Job("0" * 24, "t", request, START)
    used = replace(job, run_seconds=5.0, peak_cores=2.0, peak_memory_bytes=GIB)
    for _ in range(2):
        estimates.learn(used, completed=True)
    assert estimates.demand(job) == Demand(8.0, 8 * GIB)
    estimates.learn(used, completed=True)
    learned = estimates.demand(job)
    assert 2.0 <= learned.cores < 8.0
    assert GIB <= learned.memory_bytes < 8 * GIB
    assert estimates.run_seconds(job) == 5.0
    estimates.learn(replace(used, peak_memory_bytes=20 * GIB), completed=False)
    assert estimates.demand(job).memory_bytes == 20 * GIB
    estimates.learn(replace(used, peak_memory_bytes=99 * GIB), completed=False)
    assert estimates.demand(job).memory_bytes == MAX_FACTOR * 8 * GIB
