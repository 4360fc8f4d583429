"""Reservations for large and long-waiting tasks, under the loads they are made for."""

from __future__ import annotations

import random
from dataclasses import replace
from datetime import timedelta
from types import SimpleNamespace

import pytest

from pomeloyard.batch import planner as planner_module
from pomeloyard.batch.crash_trials import CrashTrials
from pomeloyard.batch.job_ranking import rank
from pomeloyard.batch.model import (
    Configuration,
    JobRecord,
    JobSpec,
    Resources,
    StepSpec,
    TeamLimits,
)
from pomeloyard.batch.planner import Planner
from pomeloyard.batch.policy import DefaultPolicy
from pomeloyard.batch.progress import EndKind, JobRun
from pomeloyard.batch.reservations import MAX_NEW_RANKS
from pomeloyard.batch.run_estimates import RunEstimates
from pomeloyard.batch.usage import Usage
from pomeloyard.clock import ManualClock

from .test_batch_decisions import NOW, QUEUE, SECOND
from .test_packing import PoolLink

TICK = 0.05 * SECOND
FOREVER = timedelta(days=1)


class PoolReplay:
    """A pool whose tasks are placed by the planner, without a network."""

    def __init__(self, executors, cpu=32_000, memory=64_000, reserves=True, teams=()):
        self.clock = ManualClock()
        self.usage, self.estimates = Usage(), RunEstimates()
        links = [PoolLink(n, cpu, memory) for n in range(executors)]
        self.links_by_id = {link.executor.executor_id: link for link in links}
        self.jobs_by_id = {}
        self.lines = []
        log = SimpleNamespace(record=self._record)
        teams = teams or (TeamLimits("nets"),)
        configuration = Configuration(
            1, {"q": QUEUE}, {}, {team.name: team for team in teams}
        )
        self.planner = Planner(
            self.clock,
            SimpleNamespace(current=configuration),
            self.usage,
            self.estimates,
            log,
            1,
            self.links_by_id,
            self.jobs_by_id,
            None,
            lambda record: QUEUE,
            self.changed,
            DefaultPolicy(),
            CrashTrials(self.clock, log, self.links_by_id),
        )
        if not reserves:
            self.planner._reserve = lambda *args: None
        self.running = []
        self.run_ms_by_step = {}
        self.waits = {}
        """Time from the first to the last start of each job's first step."""
        self.busy = []
        """Share of the cores in use, by tick."""
        self.done = 0

    def _record(self, kind, subject, outcome, **inputs):
        if kind != "place":
            self.lines.append((kind, subject, outcome, inputs))

    def changed(self, job):
        if job.final:
            self.jobs_by_id.pop(job.job_id, None)
        self.planner.update_backlog(job)

    def submit(self, job_id, *specs, run_ms, team="nets"):
        """Submit a job; each of its tasks runs for ``run_ms`` or what that returns."""
        record = JobRecord("q", team, JobSpec("p", specs), NOW, "w")
        job = JobRun(job_id, record, QUEUE, self.clock.monotonic())
        self.jobs_by_id[job_id] = job
        self.run_ms_by_step[job_id] = run_ms
        self.planner.update_backlog(job)
        return job

    def tick(self):
        """Advance the time, end runs and place tasks."""
        self.clock.advance(TICK)
        now = self.clock.monotonic()
        for run in [run for run in self.running if run[0] <= now]:
            self.running.remove(run)
            self.end(*run[1:])
        self.planner.plan(None)
        for link, placed in self.planner.take_assignments():
            task = placed.task
            run_ms = self.run_ms_by_step[task.step.job.job_id]
            run_ms = run_ms() if callable(run_ms) else run_ms
            end = now + (
                FOREVER if task.step.spec.lasting else timedelta(milliseconds=run_ms)
            )
            self.running.append((end, link, placed))
            self.waits[task.step.job.job_id] = now - task.step.job.accepted_at
        free = sum(
            self.usage.free_cpu(link.executor.executor_id, link.executor.capacity)
            for link in self.links_by_id.values()
        )
        total = sum(ln.executor.capacity.cpu_millis for ln in self.links_by_id.values())
        self.busy.append(1 - free / total)

    def end(self, link, placed):
        """End a run."""
        task = placed.task
        now = self.clock.monotonic()
        del link.runs_by_name[task.name]
        self.usage.remove(link.executor.executor_id, link.executor.rack, task)
        run_ms = (now - task.started_at) / timedelta(milliseconds=1)
        self.estimates.record_completion(
            task, link.executor.executor_id, run_ms, now, partial=False
        )
        task.step.job.end(task, placed.run, EndKind.DONE, "")
        self.done += 1
        self.changed(task.step.job)

    def reservations(self):
        return self.planner._reservations.reserved("mill")


LONGEST_MS = 2500


def run_times(seed, tick, median):
    """Return a function that draws run times, independent of the order of starts."""
    rng = random.Random(seed * 100_000 + tick)
    return lambda: min(LONGEST_MS, median * rng.lognormvariate(0, 0.25))


class Stream(PoolReplay):
    """Small jobs at a share of the capacity, and a large task now and then."""

    def __init__(self, seed, load, reserves, executors=8, until_s=30):
        super().__init__(executors, reserves=reserves)
        rng = random.Random(seed)
        self.large = []
        mean_core_s = 8 * 3.1 * 0.8
        for tick in range(round(until_s / 0.05)):
            expected = load * executors * 32 / mean_core_s * 0.05
            for number in range(int(expected) + (rng.random() < expected % 1)):
                median = 700 * rng.lognormvariate(0, 0.4)
                spec = StepSpec(
                    8,
                    int(min(6000, max(1000, 3000 * rng.lognormvariate(0, 0.3)))),
                    5700,
                    estimate_ms=int(median * rng.lognormvariate(0, 0.9)) + 1,
                )
                self.submit(
                    f"s{tick}x{number}",
                    spec,
                    run_ms=run_times(seed, tick, median),
                )
            if tick % 80 == 60:
                spec = StepSpec(1, 20_000, 21_000, estimate_ms=2000)
                job = self.submit(f"l{tick}", spec, run_ms=2000)
                self.large.append(job.job_id)
            self.tick()
            now = self.clock.monotonic()
            for job_id in self.large:
                job = self.jobs_by_id.get(job_id)
                if job is not None and not job.has_started:
                    self.waits[job_id] = now - job.accepted_at

    @property
    def longest_wait(self):
        return max(self.waits[job_id] for job_id in self.large)


@pytest.mark.parametrize("seed", range(4))
def test_a_large_task_starts_soon_among_a_stream_of_small_ones(seed):
    """Each small task took the capacity that another one had left.

    The bound is the longest run time plus 1 s, as no task is stopped for it. Keeping an
    executor free must not cost more than 5% of the capacity in use.
    """
    before = Stream(seed, 1.0, reserves=False, until_s=20)
    after = Stream(seed, 1.0, reserves=True, until_s=20)
    assert before.longest_wait > 5 * SECOND
    assert after.longest_wait <= timedelta(milliseconds=LONGEST_MS) + SECOND
    used_before, used_after = (
        sum(r.busy[40:]) / len(r.busy[40:]) for r in (before, after)
    )
    assert used_after >= 0.95 * used_before
    assert after.done >= 0.95 * before.done


def full_pool(executors=1, run_ms=3000, **options):
    """Return a pool in which small tasks fill each executor, two at a time."""
    replay = PoolReplay(executors, **options)
    spec = StepSpec(2 * executors, 16_000, 10_000, estimate_ms=run_ms)
    replay.submit("full", spec, run_ms=run_ms)
    replay.tick()
    assert replay.busy[-1] == 1.0
    return replay


LARGE = StepSpec(1, 20_000, 10_000, estimate_ms=1000)


def reserve_lines(replay):
    return [line for line in replay.lines if line[0] == "reserve"]


def test_a_reservation_is_logged_once_and_ends_when_the_task_is_placed():
    replay = full_pool()
    replay.submit("large", LARGE, run_ms=1000)
    for _ in range(30):
        replay.tick()
    ((_, subject, outcome, inputs),) = reserve_lines(replay)
    assert (subject, outcome) == ("large.0.0.0", "e000")
    assert inputs["wait_ms"] == pytest.approx(3000, abs=100)
    assert list(replay.reservations()) == ["e000"]
    while "large" not in replay.waits:
        replay.tick()
    assert not replay.reservations()
    assert len(reserve_lines(replay)) == 1


def test_only_tasks_that_end_before_or_fit_beside_start_on_a_reserved_executor():
    replay = PoolReplay(1)
    replay.submit("long", StepSpec(1, 16_000, 100, estimate_ms=3000), run_ms=3000)
    replay.tick()
    replay.submit("large", LARGE, run_ms=1000)
    replay.tick()
    assert list(replay.reservations()) == ["e000"]
    # 16 cores are free now, and 12 beside the large task in 3 s.
    replay.submit("short", StepSpec(1, 4000, 100, estimate_ms=2000), run_ms=2000)
    replay.submit("beside", StepSpec(3, 5000, 100, estimate_ms=9000), run_ms=9000)
    replay.submit("lasting", StepSpec(1, 3000, 100, lasting=True), run_ms=0)
    replay.tick()
    names = replay.links_by_id["e000"].runs_by_name
    started = sorted(name.split(".")[0] for name in names)
    assert started == ["beside", "lasting", "long", "short"]
    while "large" not in replay.waits:
        replay.tick()
    assert replay.waits["large"] <= 3.2 * SECOND


@pytest.mark.parametrize("cause", ["cancelled", "lost"])
def test_a_reservation_ends_with_its_job_or_its_executor(cause):
    replay = full_pool(run_ms=4000)
    job = replay.submit("large", LARGE, run_ms=1000)
    replay.tick()
    assert replay.reservations()
    if cause == "cancelled":
        job.cancel()
        replay.changed(job)
        replay.submit("small", StepSpec(1, 20_000, 1, lasting=True), run_ms=0)
    else:
        replay.links_by_id["e000"].usable = False
    replay.tick()
    assert not replay.reservations()


def test_a_reservation_is_chosen_anew_after_5_s():
    """Expected run times may be wrong, and another executor may be ready sooner."""
    replay = full_pool(executors=2, run_ms=60_000)
    for placed in replay.links_by_id["e000"].runs_by_name.values():
        placed.task.step.usual_ms = 6000
    replay.submit("large", LARGE, run_ms=1000)
    for _ in range(99):
        replay.tick()
    assert len(reserve_lines(replay)) == 1
    for _ in range(10):
        replay.tick()
    assert len(reserve_lines(replay)) == 2


@pytest.mark.parametrize(("executors", "expected"), [(1, 1), (8, 1), (9, 2), (24, 3)])
def test_one_executor_in_eight_is_reserved_at_most(executors, expected):
    replay = full_pool(executors)
    replay.submit("large", replace(LARGE, count=30), run_ms=1000)
    for _ in range(20):
        replay.tick()
    assert len(replay.reservations()) == expected


def test_a_small_task_that_ranks_higher_prevents_a_reservation():
    """Large tasks must not take capacity that more valuable ones wait for."""
    replay = full_pool()
    replay.submit("small", StepSpec(1, 5000, 100, estimate_ms=100), run_ms=100)
    replay.submit("large", LARGE, run_ms=1000)
    for _ in range(6):
        replay.tick()
    assert not replay.reservations()


def test_a_long_running_task_that_waits_for_2_s_gets_a_reservation():
    """Small tasks of lower rank took each room before it (KNOWN-RED.txt, entry 19)."""
    replay = full_pool(run_ms=20_000)
    spec = StepSpec(1, 12_000, 100, lasting=True)
    replay.submit("lasting", spec, run_ms=0)
    for _ in range(38):
        replay.tick()
    assert not replay.reservations()
    for _ in range(10):
        replay.tick()
    assert list(replay.reservations()) == ["e000"]


def test_a_task_that_its_team_may_not_start_reserves_nothing():
    teams = (TeamLimits("nets"), TeamLimits("full", (), 1.0, Resources(4000, 0, 0)))
    replay = full_pool(teams=teams)
    replay.submit("large", LARGE, run_ms=1000, team="full")
    for _ in range(10):
        replay.tick()
    assert not replay.reservations()


def test_a_gang_and_a_task_for_which_no_executor_is_large_enough_reserve_nothing():
    replay = full_pool()
    replay.submit("gang", replace(LARGE, count=2, gang=True), run_ms=1000)
    replay.submit("huge", replace(LARGE, cpu_millis=40_000), run_ms=1000)
    for _ in range(10):
        replay.tick()
    assert not replay.reservations()


def test_without_large_tasks_nothing_is_reserved():
    """A deployment without this load behaves as before."""
    small = PoolReplay(2)
    for number in range(200):
        small.submit(f"s{number}", StepSpec(8, 3000, 5700, estimate_ms=500), run_ms=500)
        small.tick()
    assert not reserve_lines(small)


def test_the_work_of_a_round_is_bounded_with_100000_waiting_tasks(monkeypatch):
    """Ranking all 10,000 jobs at once would keep the holder from renewing leases."""
    replay = full_pool(executors=8, run_ms=60_000)
    for number in range(10_000):
        spec = StepSpec(10, 3000, 5700, estimate_ms=500)
        replay.submit(f"s{number}", spec, run_ms=500)
    replay.submit("large", LARGE, run_ms=1000)
    ranked = []
    monkeypatch.setattr(
        planner_module, "rank", lambda *args: ranked.append(1) or rank(*args)
    )
    for _ in range(3):
        replay.clock.advance(SECOND)
        before = len(ranked)
        replay.planner.plan({"mill"})
        assert len(ranked) - before <= MAX_NEW_RANKS
