"""Decisions without I/O, each under the load that it is designed for."""

from __future__ import annotations

import random
from dataclasses import replace
from datetime import UTC, datetime, timedelta
from types import SimpleNamespace

import pytest

from pomeloyard.batch.call_losses import CallLosses
from pomeloyard.batch.distributions import RELATIVE_ACCURACY
from pomeloyard.batch.job_ranking import rank
from pomeloyard.batch.maintenance import (
    MAX_DRAIN_TIME,
    MaintenanceCandidate,
    MaintenanceChoice,
    choose_maintenance,
    target_concurrency,
)
from pomeloyard.batch.model import JobRecord, JobSpec, Queue, StepSpec, Wave
from pomeloyard.batch.pacing import CHANGE_INTERVAL, next_pace
from pomeloyard.batch.peaks import NO_ARRIVALS, Peak, PeakForecaster
from pomeloyard.batch.placed_run import Phase, PlacedRun
from pomeloyard.batch.pool_scaling import (
    DrainableVm,
    IdleVm,
    PoolLoad,
    choose_moves,
    choose_to_drain,
)
from pomeloyard.batch.progress import EndKind, JobRun, TaskState
from pomeloyard.batch.run_estimates import QUARANTINE_TIME, RunEstimates
from pomeloyard.batch.run_monitor import RunMonitor
from pomeloyard.batch.stalls import slowness, stalled_for
from pomeloyard.clock import ManualClock

NOW = datetime(2026, 1, 1, tzinfo=UTC)
QUEUE = Queue("q", "h", "/q/", "mill", stretch=1.6, objective=timedelta(seconds=0.6))
SECOND = timedelta(seconds=1)


def job_of(*steps, job_id="a1", attempts=3):
    queue = Queue("q", "h", "/q/", "mill", max_attempts=attempts)
    record = JobRecord("q", "nets", JobSpec("p", tuple(steps)), NOW, "w")
    return JobRun(job_id, record, queue, timedelta(0))


def expected_ms(step):
    return float(step.spec.estimate_ms)


class Replay:
    """A pool of cores that serves single-task jobs in the order of a sort key."""

    def __init__(self, arrivals, cores, key):
        self.cores = cores
        self.key = key
        self.arrivals = arrivals
        self.in_time = 0
        self.largest_wait = 0

    def run(self, step_ms=50, until_ms=60_000):
        waiting, running = [], []
        arrivals = list(self.arrivals)
        for now in range(0, until_ms, step_ms):
            while arrivals and arrivals[0][0] <= now:
                waiting.append(arrivals.pop(0))
            running = [end for end in running if end > now]
            waiting.sort(key=lambda arrival: self.key(arrival, now))
            while waiting and len(running) < self.cores:
                at, work_ms, _ = waiting.pop(0)
                running.append(now + work_ms)
                limit = 1.6 * work_ms + 600
                self.in_time += now + work_ms - at <= limit
                self.largest_wait = max(self.largest_wait, now - at)
        return self


def peak_arrivals(seed):
    """Arrivals with peaks of 4 s every 16 s, five times the mean and above capacity."""
    rng = random.Random(seed)
    arrivals = []
    for now in range(0, 40_000, 50):
        rate = 12.0 if now % 16_000 < 4000 else 0.2
        if rng.random() < rate * 0.05:
            work = rng.choice([400, 800, 1600, 3200])
            job = job_of(StepSpec(1, 1000, 100, estimate_ms=work), job_id=str(now))
            arrivals.append((now, work, job))
    return arrivals


@pytest.mark.parametrize("seed", range(5))
def test_ranking_finishes_more_jobs_in_time_than_first_come_first_served(seed):
    def ranked(arrival, now):
        at, _, job = arrival
        age = timedelta(milliseconds=now - at)
        return rank(job, QUEUE, age, expected_ms, 1.5).key

    first_come = Replay(peak_arrivals(seed), 8, lambda a, now: a[0]).run()
    by_rank = Replay(peak_arrivals(seed), 8, ranked).run()
    assert by_rank.in_time > first_come.in_time


def test_jobs_past_three_times_their_objective_run_oldest_first():
    late, later = (job_of(StepSpec(1, 1000, 100, estimate_ms=500)) for _ in range(2))
    late.accepted_at = timedelta(seconds=20)
    now = timedelta(seconds=40)
    keys = [rank(job, QUEUE, now, expected_ms, 1.0).key for job in (late, later)]
    assert keys[1] < keys[0]


def test_a_rank_is_valid_until_the_job_can_no_longer_be_in_time():
    job = job_of(StepSpec(1, 1000, 100, estimate_ms=500))
    first = rank(job, QUEUE, timedelta(0), expected_ms, 1.0)
    just_before = first.valid_until - timedelta(milliseconds=1)
    assert rank(job, QUEUE, just_before, expected_ms, 1.0).key == first.key
    after = first.valid_until + timedelta(milliseconds=1)
    late = rank(job, QUEUE, after, expected_ms, 1.0)
    assert late.key > first.key
    after = late.valid_until + timedelta(milliseconds=1)
    assert rank(job, QUEUE, after, expected_ms, 1.0).key > late.key


def test_calls_count_as_lost_only_if_several_executors_lose_them():
    losses = CallLosses()
    losses.record("e-1", SECOND)
    losses.record("e-1", 2 * SECOND)
    assert not losses.calls_are_lost(2 * SECOND)
    losses.record("e-2", 3 * SECOND)
    assert losses.calls_are_lost(3 * SECOND)
    assert losses.calls_are_lost(5.9 * SECOND)
    assert not losses.calls_are_lost(6 * SECOND)


def test_an_executor_is_quarantined_by_failures_of_several_jobs():
    estimates = RunEstimates()
    for _ in range(6):
        assert not estimates.record_failure("e-1", "bad", timedelta(0))
    estimates = RunEstimates()
    results = [estimates.record_failure("e-2", f"j{n}", timedelta(0)) for n in range(3)]
    assert results == [False, False, True]
    assert estimates.is_quarantined("e-2", QUARANTINE_TIME / 2)
    assert not estimates.is_quarantined("e-2", QUARANTINE_TIME * 2)


def step_of(estimate=0, job_id="a1"):
    return job_of(StepSpec(9, 1000, 100, estimate_ms=estimate), job_id=job_id)


def done(estimates, job, run_ms, now=SECOND, partial=False, executor="e-1", task=0):
    step = job.occurrences[0][0]
    estimates.record_completion(
        step.tasks[task], executor, run_ms, now, partial=partial
    )


def test_a_slow_executor_is_detected_and_tried_again():
    estimates = RunEstimates()
    job = step_of(1000)
    for task in range(2):
        done(estimates, job, 6000, task=task)
    assert estimates.slowness("e-1", SECOND) > 2
    assert estimates.slowness("e-1", SECOND * 20) == 1.0
    assert estimates.expected_ms(job.occurrences[0][0]) == 1000


def test_a_long_task_does_not_make_its_executor_slow():
    """In some queues 3 of 100 tasks take seven times as long as the others."""
    estimates = RunEstimates()
    job = step_of(1000)
    for task in range(3):
        done(estimates, job, 1000, task=task)
    done(estimates, job, 7000, task=3)
    assert estimates.slowness("e-1", SECOND) < 1.5
    assert estimates.expected_ms(job.occurrences[0][0]) < 2000


def test_a_first_task_that_is_much_too_long_is_confirmed_by_a_second_one():
    estimates = RunEstimates()
    step = (job := step_of(1000)).occurrences[0][0]
    done(estimates, job, 7000)
    assert estimates.expected_ms(step) == 1000
    done(estimates, job, 5000, executor="e-2", task=1)
    assert estimates.expected_ms(step) == 5000


def test_run_times_of_a_step_replace_its_estimate():
    estimates = RunEstimates()
    job = step_of(300)
    assert estimates.expected_ms(job.occurrences[0][0]) == 300
    done(estimates, job, 550)
    assert estimates.expected_ms(job.occurrences[0][0]) == 550


def test_the_median_task_tells_how_long_a_step_takes():
    """The first tasks that are done are the fastest ones, by up to a third."""
    estimates = RunEstimates()
    job = step_of()
    for task, run_ms in enumerate([500, 600, 700, 800, 900]):
        done(estimates, job, run_ms, task=task)
    assert estimates.expected_ms(job.occurrences[0][0]) == 900
    done(estimates, job, 9000, task=5)
    assert estimates.expected_ms(job.occurrences[0][0]) == 900
    other = step_of(job_id="a2").occurrences[0][0]
    near = pytest.approx(900, rel=RELATIVE_ACCURACY)
    assert estimates.expected_ms(other) == near


def test_an_estimate_is_weighted_with_the_mean_of_the_queue():
    estimates = RunEstimates()
    first = step_of(1000)
    for task in range(5):
        done(estimates, first, 1000, task=task)
    far_off = step_of(60, "a2").occurrences[0][0]
    assert 200 < estimates.expected_ms(far_off) < 300
    none = step_of(0, "a3").occurrences[0][0]
    near = pytest.approx(1000, rel=RELATIVE_ACCURACY)
    assert estimates.expected_ms(none) == near


def test_a_paced_run_does_not_change_the_expected_run_time():
    """Best-effort runs that were slowed down beside others counted as usual ones."""
    clock = ManualClock()
    clock.advance(CHANGE_INTERVAL * 2)
    estimates = RunEstimates()
    monitor = RunMonitor(clock, estimates, None)
    job = job_of(StepSpec(1, 1000, fills=True), job_id="a1")
    filler = PlacedRun(job.occurrences[0][0].tasks[0], 1, Phase.RUNNING, 1)
    serving = StepSpec(1, 1000, lasting=True, target_tail_ms=100)
    server = job_of(serving, job_id="a2").occurrences[0][0].tasks[0]
    other = PlacedRun(server, 1, Phase.RUNNING, 1)
    other.gauge = 1000
    sent = []
    link = SimpleNamespace(
        runs_by_name={run.task.name: run for run in (filler, other)},
        limit_cpu=lambda run, percent: sent.append(percent),
    )
    monitor.check_status(link, filler)
    assert sent == [0]
    now = clock.monotonic()
    monitor.record_end(filler.task, "e-1", EndKind.DONE, 9000, filler.partial, now)
    assert estimates.run_times.queues() == {}


def test_a_resumed_task_does_not_lower_the_expected_run_time():
    estimates = RunEstimates()
    job = step_of(1000)
    done(estimates, job, 1000)
    done(estimates, job, 10, partial=True)
    assert estimates.expected_ms(job.occurrences[0][0]) == 1000


def test_a_job_with_little_remaining_work_ranks_first():
    nearly = job_of(*[StepSpec(4, 1000, 100, estimate_ms=800)] * 2)
    for task in nearly.occurrences[0][0].tasks:
        nearly.place(task, "e", 1, timedelta(0))
        nearly.end(task, 1, EndKind.DONE, "")
    fresh = job_of(*[StepSpec(4, 1000, 100, estimate_ms=800)] * 2, job_id="a2")
    age = timedelta(seconds=0.5)
    first = rank(nearly, QUEUE, age, expected_ms, 6.4)
    assert first.key < rank(fresh, QUEUE, age, expected_ms, 6.4).key


def test_progress_survives_storing_and_loading():
    job = job_of(StepSpec(3, 1000, 100), StepSpec(1, after=(0,)))
    first, second, _ = job.occurrences[0][0].tasks
    job.place(first, "e-1", 1, timedelta(0))
    job.place(second, "e-2", 4, timedelta(0))
    job.end(first, 1, EndKind.DONE, "")
    loaded = job_of(StepSpec(3, 1000, 100), StepSpec(1, after=(0,)))
    loaded.restore_progress(job.encode(), 9)
    states = [task.state for task in loaded.occurrences[0][0].tasks]
    assert states == [TaskState.DONE, TaskState.PLACED, TaskState.WAITING]
    assert loaded.occurrences[0][0].tasks[1].run == 4
    assert [step.number for step in loaded.ready_steps()] == [0]


def test_each_occurrence_of_a_scheduled_job_begins_by_itself():
    """Later occurrences were exempt from their team's share for having begun once."""
    spec = JobSpec("p", (StepSpec(2, 1000, 100),), interval_ms=1000, occurrences=2)
    job = JobRun("a1", JobRecord("q", "nets", spec, NOW, "w"), QUEUE, timedelta(0))
    job.open_due_occurrences(1500)
    first = job.occurrences[0][0].tasks[0]
    job.place(first, "e", 1, timedelta(0))
    job.end(first, 1, EndKind.DONE, "")
    assert job.has_begun(0)
    assert not job.has_begun(1)


def test_the_end_of_an_earlier_run_is_ignored():
    job = job_of(StepSpec(1, 1000, 100))
    (task,) = job.occurrences[0][0].tasks
    job.place(task, "e-1", 2, timedelta(0))
    job.end(task, 1, EndKind.DONE, "")
    assert task.state is TaskState.PLACED


def test_a_gang_ends_as_a_whole_and_its_failure_counts_once():
    job = job_of(StepSpec(3, 1000, 100, gang=True), attempts=2)
    tasks = job.occurrences[0][0].tasks
    for task in tasks:
        job.place(task, "e-1", 1, timedelta(0))
    job.end(tasks[0], 1, EndKind.FAILED, "")
    for task in tasks[1:]:
        job.end(task, 1, EndKind.BROKEN, "")
    assert job.occurrences[0][0].gang_failures == 1
    for task in tasks:
        job.place(task, "e-1", 2, timedelta(0))
    job.end(tasks[1], 2, EndKind.DONE, "")
    assert job.state.value == "completed"


def test_a_run_of_a_gang_fails_once_whatever_members_report_it():
    # One executor that fails all it starts failed the job at once (review/earlier/3).
    job = job_of(StepSpec(3, 1000, 100, gang=True), attempts=2)
    tasks = job.occurrences[0][0].tasks
    for run in (1, 2):
        for task in tasks:
            job.place(task, "e-1", run, timedelta(0))
        for task in tasks:
            job.end(task, run, EndKind.FAILED, "")
            # The next holder reads what is stored between two reports.
            content = job.encode()
            job = job_of(StepSpec(3, 1000, 100, gang=True), attempts=2)
            job.restore_progress(content, 1)
            tasks = job.occurrences[0][0].tasks
            if run == 1:
                assert job.occurrences[0][0].gang_failures == 1
                assert not job.final
    assert job.state.value == "failed"


def pool(name, waiting, vms=6, arriving=0, peak=None):
    return PoolLoad(name, waiting, 16.0, vms, arriving, 6, 2, peak)


def peak_in(seconds, rate=90.0):
    return Peak(seconds * SECOND, (seconds + 4) * SECOND, rate)


def test_a_backlog_gets_as_many_vms_from_standby_as_it_needs():
    spares = [IdleVm(f"s{n}", "spare", True, timedelta(0)) for n in range(6)]
    moves = choose_moves([pool("a", 72.0), pool("b", 0.0)], spares, "spare")
    assert [move.pool for move in moves] == ["a"] * 3


class PeakReplay:
    """The first peak of a large pool: 60 jobs a second of 13 tasks of 2.3 cores.

    Its 50 VMs have the capacity for half of the arriving tasks, minus that used by
    long-running tasks; 45 VMs are on standby, and a move takes 1.5 s. Jobs are served
    first come, first served.
    """

    def __init__(self, seed, with_rate):
        rng = random.Random(seed)
        forecaster = PeakForecaster()
        vms, moving = 50, []
        waiting = []
        busy = []
        self.in_time = self.jobs = 0
        for tick in range(120):
            now = tick * 0.05
            if tick < 80:
                for _ in range(sum(rng.random() < 0.3 for _ in range(10))):
                    waiting.append((now, 13))
                    self.jobs += 1
                    forecaster.record_arrival("a", now * SECOND, 13 * 2.3 * 0.64)
            vms += sum(at <= now for at in moving)
            moving = [at for at in moving if at > now]
            busy = [end for end in busy if end > now]
            room = vms * 5 - len(busy)
            while waiting and room > 0:
                at, left = waiting.pop(0)
                started = min(left, room)
                room -= started
                busy += [now + 0.64] * started
                if started < left:
                    waiting.insert(0, (at, left - started))
                else:
                    self.in_time += now + 0.64 - at <= 1.6 * 0.64 + 0.6
            if tick % 5 == 0:
                backlog = sum(left for _, left in waiting) * 2.3 * 0.64
                load = PoolLoad(
                    "a", backlog, 16.0, vms + len(moving), len(moving), 50, 24
                )
                rate = forecaster.arrival_rate("a", now * SECOND) if with_rate else None
                rate = rate or NO_ARRIVALS
                load = replace(load, rate=rate, short_task_cores=vms * 11.5)
                spares = [
                    IdleVm(f"s{n}", "spare", True, timedelta(0))
                    for n in range(95 - vms - len(moving))
                ]
                moves = choose_moves([load], spares, "spare")
                moving += [now + 1.5] * len(moves)


@pytest.mark.parametrize("seed", range(5))
def test_scaling_by_arrival_rate_finishes_more_jobs_of_a_large_pool_in_time(seed):
    # By backlog alone, VMs for a peak at second 2 were ordered 3 s after its start.
    by_backlog, by_rate = PeakReplay(seed, False), PeakReplay(seed, True)
    assert by_rate.jobs == by_backlog.jobs
    assert by_rate.in_time > by_backlog.in_time


class FirstPeakReplay:
    """The first peak of an idle pool: 11 jobs a second of 6 tasks of 3.5 cores.

    The pool has 3 VMs of 64 cores, and long-running tasks use 30 cores. VMs on standby
    arrive 1.75 s after the order. A job is in time within 1.6 s.
    """

    def __init__(self, seed, by_rate):
        rng = random.Random(seed)
        forecaster = PeakForecaster()
        forecaster.record_arrival("a", timedelta(0), 21.0, SECOND)
        cores, moving, waiting, busy = 3 * 64 - 30, [], [], []
        self.jobs = self.in_time = self.vm_seconds = 0
        for tick in range(200, 360):
            now = tick * 0.05
            if tick < 300 and rng.random() < 11 * 0.05:
                waiting.append(now)
                self.jobs += 1
                forecaster.record_arrival("a", now * SECOND, 21.0, SECOND)
            cores += 64 * sum(at <= now for at in moving)
            moving = [at for at in moving if at > now]
            busy = [end for end in busy if end > now]
            while waiting and cores - 21 * len(busy) >= 21:
                self.in_time += now + 1 - waiting.pop(0) <= 1.6 + 0.6
                busy.append(now + 1)
            if tick % 5 == 0:
                vms = round((cores + 30) / 64) + len(moving)
                load = PoolLoad("a", 21.0 * len(waiting), 64.0, vms, len(moving), 6, 3)
                if by_rate:
                    load = replace(
                        load,
                        rate=forecaster.arrival_rate("a", now * SECOND),
                        move_lead_time=1.75 * SECOND,
                        busy_short_task_cores=21.0 * len(busy),
                        short_task_cores=float(cores),
                    )
                spares = [IdleVm(f"s{n}", "spare", True, SECOND) for n in range(18)]
                moves = choose_moves([load], spares[vms:], "spare")
                moving += [now + 1.75] * len(moves)


def test_scaling_by_arrival_rate_halves_the_late_jobs_of_a_first_peak():
    # With 3 VMs in an idle pool and scaling by backlog alone, VMs were ordered more
    # than a second after the peak had begun.
    seeds = range(20)
    by_rate = [FirstPeakReplay(seed, True) for seed in seeds]
    by_backlog = [FirstPeakReplay(seed, False) for seed in seeds]
    late = sum(replay.jobs - replay.in_time for replay in by_rate)
    late_by_backlog = sum(replay.jobs - replay.in_time for replay in by_backlog)
    assert late < late_by_backlog / 2


def test_an_arrival_rate_needs_several_jobs():
    forecaster = PeakForecaster()
    forecaster.record_arrival("a", SECOND, 500.0)
    assert forecaster.arrival_rate("a", SECOND).cores == 0.0
    for _ in range(3):
        forecaster.record_arrival("a", SECOND, 500.0)
    # Three of four jobs within half a second.
    assert forecaster.arrival_rate("a", SECOND).cores == 3000.0
    assert forecaster.arrival_rate("a", 3 * SECOND).cores == 0.0


def test_vms_being_moved_to_a_pool_count_towards_its_need():
    spares = [IdleVm("s1", "spare", True, timedelta(0))]
    assert choose_moves([pool("a", 72.0, 9, 3)], spares, "spare") == []


def test_a_pool_keeps_its_own_vms_until_its_first_job():
    idle = [IdleVm(f"v{n}", "a", False, timedelta(seconds=5)) for n in range(6)]
    unknown = replace(pool("a", 0.0), demand_known=False)
    assert choose_moves([unknown], idle, "spare") == []
    assert len(choose_moves([replace(unknown, vms=8)], idle, "spare")) == 2
    assert len(choose_moves([pool("a", 0.0)], idle, "spare")) == 3


def test_a_pool_gets_the_vms_that_its_long_running_tasks_need():
    # After a rack had failed, all 7 long-running tasks of a pool shared its last VM.
    spares = [IdleVm(f"s{n}", "spare", True, timedelta(0)) for n in range(6)]
    short = replace(pool("a", 0.0, vms=1), long_running_vms=4)
    assert len(choose_moves([short], spares, "spare")) == 3


def test_idle_vms_are_released_between_peaks_down_to_the_minimum():
    idle = [IdleVm(f"v{n}", "a", False, timedelta(seconds=5)) for n in range(6)]
    moves = choose_moves([pool("a", 0.0, peak=peak_in(9))], idle, "spare")
    assert [move.pool for move in moves] == ["spare"] * 3
    assert choose_moves([pool("a", 0.0, 3, peak=peak_in(9))], idle, "spare") == []


def test_vms_are_ordered_before_a_predicted_peak():
    spares = [IdleVm(f"s{n}", "spare", True, timedelta(0)) for n in range(6)]
    moves = choose_moves([pool("a", 0.0, 3, peak=peak_in(2, 130.0))], spares, "spare")
    assert [move.pool for move in moves] == ["a"] * 6


def test_a_pool_with_a_backlog_releases_no_vm():
    idle = IdleVm("v1", "a", False, timedelta(seconds=5))
    loads = [pool("a", 1.0, peak=peak_in(9)), pool("b", 72.0)]
    assert choose_moves(loads, [idle], "spare") == []


def test_an_idle_vm_moves_directly_to_the_next_peak():
    idle = IdleVm("v1", "a", False, timedelta(seconds=0.2))
    loads = [pool("a", 0.0, peak=peak_in(9)), pool("b", 72.0)]
    moves = choose_moves(loads, [idle], "spare")
    assert [(move.vm, move.pool) for move in moves] == [("v1", "b")]


def test_borrowed_vms_of_a_late_backlog_are_drained_for_the_next_peak():
    # 13 VMs worked on a late backlog, while the next pool had only 6 VMs for 8 s.
    late = replace(pool("a", 300.0, vms=13), urgent_core_seconds=5.0)
    peak = replace(pool("b", 200.0, vms=6), urgent_core_seconds=150.0)
    busy = [DrainableVm(f"v{n}", "a", float(n % 3)) for n in range(10)]
    moves = choose_to_drain([late, peak], busy, {}, {})
    assert {move.pool for move in moves} == {"b"}
    assert [move.vm for move in moves[:4]] == ["v0", "v3", "v6", "v9"]
    assert len(moves) == 6
    assert len(choose_to_drain([late, peak], busy, {"b": 4}, {"a": 4})) == 2
    assert len(choose_to_drain([late, peak], busy, {"b": 2}, {"a": 6})) == 1


def test_own_vms_and_vms_with_urgent_work_are_not_drained():
    peak = replace(pool("b", 200.0, vms=6), urgent_core_seconds=150.0)
    busy = [DrainableVm(f"v{n}", "a", 0.0) for n in range(10)]
    own_only = replace(pool("a", 300.0, vms=6), urgent_core_seconds=0.0)
    assert choose_to_drain([own_only, peak], busy, {}, {}) == []
    also_urgent = replace(pool("a", 300.0, vms=13), urgent_core_seconds=150.0)
    assert choose_to_drain([also_urgent, peak], busy, {}, {}) == []


def arrivals_until(seconds, seed=1):
    """Arrivals of two busy and two less busy pools, which peak in turn for 4 s each."""
    rng = random.Random(seed)
    forecaster = PeakForecaster()
    for tick in range(round(seconds / 0.05)):
        now = tick * 0.05
        for index, rate in enumerate((3.7, 0.44, 4.6, 0.54)):
            in_turn = int(now // 4) % 4 == index
            if rng.random() < rate * (4 if in_turn else 0.05) * 0.05:
                forecaster.record_arrival(f"p{index}", now * SECOND, 5.0)
    return forecaster


@pytest.mark.parametrize("seed", range(6))
def test_the_period_of_peaks_is_known_in_the_second_cycle(seed):
    assert arrivals_until(12, seed).period() is None
    forecaster = arrivals_until(24, seed)
    assert 14 * SECOND <= forecaster.period() <= 18 * SECOND
    third = forecaster.next_peak("p2", 20 * SECOND)
    assert 2 * SECOND <= third.starts_in <= 6.5 * SECOND
    first = forecaster.next_peak("p0", 24 * SECOND)
    assert 6 * SECOND <= first.starts_in <= 10.5 * SECOND


WAVE = Wave(1, tuple(f"v{n}" for n in range(13)), timedelta(seconds=27), 5)


def candidate(vm, work=0.0, may_be_down=True, waits=False, reserved=None):
    return MaintenanceCandidate(vm, "mill", work, may_be_down, waits, reserved)


def test_a_wave_takes_as_many_vms_at_once_as_its_deadline_requires():
    upkeep = timedelta(seconds=2)
    assert target_concurrency(WAVE, 13, timedelta(seconds=27), upkeep) == 4
    assert target_concurrency(WAVE, 13, timedelta(seconds=8), upkeep) == 5
    assert target_concurrency(WAVE, 1, timedelta(seconds=27), upkeep) == 1


def test_a_wave_finishes_in_time_despite_an_interruption_of_7_s():
    # A mass kill and a store outage of 4 s made 3 of the 22 VMs of a wave late.
    wave = Wave(1, tuple(f"v{n}" for n in range(22)), timedelta(seconds=24), 10)
    left, now, cycle = 22, 0.0, 4.5
    while left:
        if now == 9.0:
            now += 7.0
        time_left = timedelta(seconds=24 - now)
        left -= min(left, target_concurrency(wave, left, time_left, 2 * SECOND))
        now += cycle
    assert now <= 24


def test_a_vm_is_maintained_once_drained_or_after_the_drain_time():
    long = timedelta(seconds=20)
    busy = candidate("v1", work=3.0)
    assert choose_maintenance([busy], 1, long, SECOND) == MaintenanceChoice(
        drain=("v1",)
    )
    idle = candidate("v1", reserved=SECOND)
    assert choose_maintenance([idle], 1, long, SECOND).maintain == ("v1",)
    late = candidate("v1", work=3.0, reserved=MAX_DRAIN_TIME)
    assert choose_maintenance([late], 1, long, SECOND).maintain == ("v1",)


def test_a_vm_whose_long_running_tasks_must_stay_available_stays_up_even_when_late():
    stuck = candidate("v1", may_be_down=False)
    assert choose_maintenance([stuck], 3, timedelta(0), SECOND) == MaintenanceChoice()


def test_vms_with_long_running_tasks_are_maintained_first():
    plain = candidate("v1")
    lasting = replace(candidate("v2", waits=True), lasting_tasks=1)
    assert choose_maintenance(
        [plain, lasting], 1, timedelta(seconds=20), SECOND
    ).maintain == ("v2",)


def test_long_running_tasks_leave_one_crowded_vm_of_a_pool_at_a_time():
    crowded = [
        replace(
            candidate(vm, may_be_down=False), exceeds_disruption_budget=True, pool=pool
        )
        for vm, pool in (("v1", "mill"), ("v2", "mill"), ("v3", "saw"))
    ]
    choice = choose_maintenance(crowded, 3, timedelta(seconds=20), SECOND)
    assert choice == MaintenanceChoice(spread=("v1", "v3"))
    begun = [crowded[0], replace(crowded[1], spreading_tasks=True)]
    choice = choose_maintenance(begun, 3, timedelta(seconds=20), SECOND)
    assert choice.spread == ("v2",)


def test_vms_of_pools_with_a_backlog_wait_while_there_is_time():
    waits = candidate("v1", waits=True)
    assert (
        choose_maintenance([waits], 1, timedelta(seconds=20), SECOND)
        == MaintenanceChoice()
    )
    assert choose_maintenance(
        [waits], 1, timedelta(seconds=1), SECOND * 2
    ).maintain == ("v1",)


def pair(gauge, pace=100):
    serving = job_of(StepSpec(1, lasting=True, target_tail_ms=100))
    best_effort = job_of(StepSpec(1, lasting=True, fills=True), job_id="a2")
    runs = []
    for job in (serving, best_effort):
        (task,) = job.occurrences[0][0].tasks
        runs.append(PlacedRun(task, 1, Phase.RUNNING, 1))
    runs[0].gauge = gauge
    runs[1].pace = pace
    return runs


@pytest.mark.parametrize(
    ("gauge", "pace", "expected"),
    [(150, 100, 0), (95, 100, 50), (95, 12, 0), (80, 50, None), (50, 50, 70)],
)
def test_best_effort_tasks_are_throttled_by_the_tail_latency_of_serving_tasks(
    gauge, pace, expected
):
    clock = ManualClock()
    clock.advance(CHANGE_INTERVAL)
    runs = pair(gauge, pace)
    assert next_pace(runs[1], runs, clock) == expected


def test_a_pace_is_not_changed_again_before_its_effect_is_measured():
    clock = ManualClock()
    runs = pair(150)
    runs[1].pace_sent_at = clock.monotonic()
    assert next_pace(runs[1], runs, clock) is None


def test_stalls_and_slowness_are_relative_to_the_expected_run_time():
    ago = timedelta(seconds=7)
    assert stalled_for(ago, 1000, ago + 2 * SECOND) > SECOND
    assert stalled_for(ago, 60_000, ago + 2 * SECOND) == timedelta(0)
    assert stalled_for(None, 1000, ago) == timedelta(0)
    assert slowness(50, 3 * SECOND, 1000) == 6.0
    assert slowness(2, 3 * SECOND, 1000) is None
