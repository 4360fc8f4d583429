"""Jobs: start of urgent work, planning step, store transactions, memory."""

from __future__ import annotations

import gc
import itertools
import math
import random
import time
import tracemalloc
from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, replace
from datetime import UTC, datetime, timedelta

import anyio

from measurements.figures import Figure, at_most
from pomeloyard.jobs.capacity import CapacityIndex, Demand, Worker
from pomeloyard.jobs.job import Job, JobRequest, JobState, job_id_of
from pomeloyard.jobs.placement import Placer
from pomeloyard.jobs.store import JobStore
from pomeloyard.jobs.team_shares import TeamLimits
from tests.support.fake_workers import GIB, SchedulerBench

URGENT_BOUND_SECONDS = 7.2
SHARE_BOUND_PERCENT = 2.0
SHARE_WINDOW_SECONDS = 10.0
SIZES = (70, 740, 7_400)
START = datetime(2026, 1, 1, tzinfo=UTC)


@dataclass(frozen=True)
class Deployment:
    """Numbers of a deployment's workers, cores per worker and teams."""

    name: str
    workers: int
    cores: int
    teams: int


LILIM = Deployment("lilim", 30, 16, 6)
HSINCHU = Deployment("hsinchu", 40, 64, 6)
FUTURE = Deployment("740-workers", 740, 64, 84)


def measure() -> Iterable[Figure]:
    """Return the figures of all deployments."""
    for deployment in (LILIM, HSINCHU, FUTURE):
        yield from urgent_start(deployment)
    yield from planning_step()
    for deployment in (LILIM, HSINCHU):
        yield share_error(deployment)
    yield transactions()
    yield memory_per_job()


def urgent_start(deployment: Deployment) -> Iterator[Figure]:
    """Submit urgent jobs to a fleet whose cores are all in use by long tasks.

    Some arrive at random times, then half as many as there are workers at once.
    """
    rng = random.Random(7)

    def checkpoint_seconds() -> float:
        # Most checkpoints take about a second; one in twenty hangs.
        if rng.random() < 0.05:
            return 60.0
        return min(10.0, rng.lognormvariate(0.0, 0.6))

    teams = [f"t{n}" for n in range(deployment.teams)]
    bench = SchedulerBench(
        workers=deployment.workers,
        cores=deployment.cores,
        limits=dict.fromkeys(teams, 10**6),
        checkpoint_seconds=checkpoint_seconds,
    )
    waits = anyio.run(_urgent_waits, bench, deployment, teams, rng)
    assert not bench.limit_violations, bench.limit_violations
    waits.sort()
    p99 = waits[min(len(waits) - 1, math.ceil(len(waits) * 0.99) - 1)]
    for name, value in (("greatest", waits[-1]), ("p99", p99)):
        yield at_most(
            f"jobs.urgent_start_{name}",
            value,
            "s",
            URGENT_BOUND_SECONDS,
            deployment.name,
        )


async def _urgent_waits(
    bench: SchedulerBench, deployment: Deployment, teams: list[str], rng: random.Random
) -> list[float]:
    long_request = JobRequest(
        "sleep 3600", cores=4, memory_bytes=4 * GIB, expected_seconds=3600.0
    )
    slots = deployment.workers * deployment.cores // 4
    for number in range(slots):
        draw = rng.random()
        request = replace(
            long_request, checkpointable=draw < 0.6, idempotent=draw < 0.8
        )
        await bench.submit(teams[number % len(teams)], f"long{number}", request)
    urgent = replace(
        long_request, command="sleep 5", urgent=True, cores=8, memory_bytes=8 * GIB
    )
    # Urgent work requests at most half of the cores at a time. Beyond that, urgent
    # jobs would wait for each other and not for preemption.
    submitted: dict[str, timedelta] = {}
    async with bench.scheduler():
        await bench.run(12)
        assert len(bench.workers.running()) == slots
        for number in range(40):
            job_id = await bench.submit(rng.choice(teams), f"u{number}", urgent)
            submitted[job_id] = bench.clock.monotonic()
            await bench.run(0.25 * rng.randrange(1, 4))
        for number in range(deployment.workers // 2):
            job_id = await bench.submit(rng.choice(teams), f"burst{number}", urgent)
            submitted[job_id] = bench.clock.monotonic()
        await bench.run(15)
    started = bench.workers.started_at
    return [
        (started[job_id] - at).total_seconds() if job_id in started else math.inf
        for job_id, at in submitted.items()
    ]


def planning_step() -> Iterator[Figure]:
    """Time a step that fills a tenth of the fleet from a queue of the fleet's size."""
    seconds = {size: _step_seconds(size) for size in SIZES}
    for size, value in seconds.items():
        yield Figure("jobs.planning_step", value * 1000, "ms", deployment=str(size))
    for small, large in itertools.pairwise(SIZES):
        growth = math.log(seconds[large] / seconds[small])
        bound = math.log(large * math.log(large) / (small * math.log(small)))
        ratio = math.log(large / small)
        yield at_most(
            "jobs.planning_step_growth_exponent",
            growth / ratio,
            "exponent",
            bound / ratio,
            f"{small}-{large}",
        )


def _step_seconds(size: int) -> float:
    rng = random.Random(3)
    jobs: dict[str, Job] = {}
    teams = {f"t{n}": TeamLimits(1.0 + n % 3, 10**9) for n in range(84)}
    index = CapacityIndex()
    placer = Placer(
        index,
        jobs.get,
        lambda job: Demand(job.request.cores, job.request.memory_bytes),
        lambda job: ("p",),
        lambda: teams,
        lambda: timedelta(0),
    )
    for n in range(size):
        zone = f"az{n % 6}"
        capacity = Demand(64.0, 128 * GIB, 4 if n % 3 == 0 else 0)
        index.put(Worker(f"w{n}", "p", zone, f"{zone}-r{n // 24}", capacity))

    def queue(number: int) -> None:
        team = f"t{rng.randrange(84)}"
        request = JobRequest(
            "x",
            cores=float(rng.choice((1, 2, 4, 8))),
            memory_bytes=rng.choice((1, 2, 4, 8)) * GIB,
            label=f"l{rng.randrange(4)}",
        )
        job = Job(job_id_of(team, str(number)), team, request, START)
        jobs[job.key] = job
        placer.job_changed(job.key, None, job)
        placer.enqueue(job)

    def place(limit: int, now: int) -> None:
        for placement in placer.plan(timedelta(seconds=now), limit).placements:
            job = placement.job
            after = replace(job, state=JobState.RUNNING, worker=placement.worker)
            jobs[job.key] = after
            placer.job_changed(job.key, job, after)

    for number in range(size * 20):
        queue(number)
    place(10**9, 0)
    times = []
    for step in range(1, 6):
        running = [key for key, job in jobs.items() if job.placed]
        for key in rng.sample(running, size // 10):
            job = jobs.pop(key)
            placer.job_changed(key, job, None)
        for number in range(size // 10):
            queue(10**7 * step + number)
        gc.collect()
        began = time.perf_counter()
        plan = placer.plan(timedelta(seconds=step), size // 10)
        times.append(time.perf_counter() - began)
        for placement in plan.placements:
            job = placement.job
            after = replace(job, state=JobState.RUNNING, worker=placement.worker)
            jobs[job.key] = after
            placer.job_changed(job.key, job, after)
    return sorted(times)[len(times) // 2]


def share_error(deployment: Deployment) -> Figure:
    """Compare the cores that each team holds in a window with its share.

    The teams differ in weight and in the length of their jobs; all have more
    queued than fits.
    """
    error = anyio.run(_share_error, deployment)
    return at_most("jobs.share_error", error, "%", SHARE_BOUND_PERCENT, deployment.name)


async def _share_error(deployment: Deployment) -> float:
    weights = {f"t{n}": 1 + n % 3 for n in range(deployment.teams)}
    bench = SchedulerBench(
        deployment.workers, deployment.cores, dict.fromkeys(weights, 10**6)
    )
    teams = bench.state.config.teams_by_name
    capacity = deployment.workers * deployment.cores
    for number, (team, weight) in enumerate(weights.items()):
        teams[team] = replace(teams[team], share=float(weight))
        seconds = 2.0 + number
        request = JobRequest(
            f"sleep {seconds}", memory_bytes=GIB // 2, expected_seconds=seconds
        )
        await bench.submit_many(team, request, capacity * 3)
    held: dict[str, float] = defaultdict(float)
    async with bench.scheduler() as scheduler:
        await bench.run(5)
        assert scheduler.term is not None
        for _ in range(round(SHARE_WINDOW_SECONDS / 0.25)):
            await bench.run(0.25)
            for team in weights:
                held[team] += scheduler.term.placer.shares.held_by_weight(team)
    # When all teams are at their shares, they have equal cores per unit of weight.
    mean = sum(held[t] * w for t, w in weights.items()) / sum(weights.values())
    return max(abs(held[team] / mean - 1) * 100 for team in weights)


def transactions() -> Figure:
    """Count the store transactions of 1,000 jobs, from submission to result."""
    return Figure("jobs.transactions_per_1000", anyio.run(_transactions), "count")


async def _transactions() -> float:
    bench = SchedulerBench(LILIM.workers, LILIM.cores)
    jobs = JobStore(bench.store, bench.clock, lambda: bench.state.config)
    request = JobRequest("sleep 2", cores=1, memory_bytes=GIB)
    async with bench.scheduler(), anyio.create_task_group() as tasks:
        await bench.run(1)
        before = bench.store.calls_by_method["commit"]
        for number in range(1000):
            tasks.start_soon(jobs.submit, "mill", request, f"k{number}")
            if number % 50 == 49:
                await bench.run(0.25)
        await bench.run(40)
    records = await bench.jobs()
    assert all(job.state is JobState.SUCCEEDED for job in records.values())
    return float(bench.store.calls_by_method["commit"] - before)


def memory_per_job() -> Figure:
    """Measure the scheduler's memory per job with 10,000 queued jobs."""
    return Figure("jobs.memory_per_queued_job", anyio.run(_memory_per_job), "B")


async def _memory_per_job() -> float:
    bench = SchedulerBench(workers=1, cores=1)
    request = JobRequest("sleep 2", cores=1, memory_bytes=GIB)
    count = 10_000
    await bench.submit_many("mill", request, count)
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    async with bench.scheduler() as scheduler:
        await bench.run(1)
        assert scheduler.term is not None
        assert len(scheduler.term.table) == count
        gc.collect()
        after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return (after - before) / count
