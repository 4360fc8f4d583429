"""Expected run times learned from finished runs, under loads that mislead estimates."""

from __future__ import annotations

import math
import random
from dataclasses import replace
from datetime import timedelta

import anyio
import msgspec
import pytest

from pomeloyard.batch import run_times as run_times_module
from pomeloyard.batch.demand import PoolDemand
from pomeloyard.batch.distributions import Distribution
from pomeloyard.batch.fenced_records import FencedRecords
from pomeloyard.batch.job_ranking import STEP_OVERHEAD_MS, critical_path_ms
from pomeloyard.batch.model import Queue, StepSpec
from pomeloyard.batch.peaks import PeakForecaster
from pomeloyard.batch.progress import TaskState
from pomeloyard.batch.run_estimates import RunEstimates
from pomeloyard.batch.run_time_records import (
    MAX_RECORD_BYTES,
    RunTimeRecords,
    encode,
    key_of,
    restore,
)
from pomeloyard.batch.run_times import MAX_ESTIMATE_MS, MAX_QUEUES, RunTimes
from pomeloyard.clock import ManualClock
from pomeloyard.keyvalue.store import Compare, Put, Transaction

from .support.job_fakes import FaultyStore, advance
from .test_batch_decisions import job_of

SEEDS = [1, 2, 3]
QUEUE = "cuts"
POOL_QUEUE = Queue(QUEUE, "desk.example", "/cuts/", "mill")


class Blend:
    """The earlier model: one mean of logarithms and a fixed weight of 0.5."""

    def __init__(self):
        self._log_ms = None

    def expected_ms(self, estimate_ms):
        if self._log_ms is None:
            return estimate_ms
        return math.exp(0.5 * math.log(estimate_ms) + 0.5 * self._log_ms)

    def record(self, run_ms):
        log_ms = math.log(run_ms)
        before = log_ms if self._log_ms is None else self._log_ms
        self._log_ms = before + 0.05 * (log_ms - before)


def errors(seed, estimate_error, *, bias=1.0, drift=1.0, long_share=0.0, steps=400):
    """Return the mean error of the learned model and of the blend, in logarithms.

    Steps differ by 0.5 and the tasks of a step by 0.25; the first 50 do not count.
    """
    rng = random.Random(seed)
    run_times, blend = RunTimes(), Blend()
    learned_errors, blend_errors = [], []
    for number in range(steps):
        middle = 800 * drift ** (number / steps)
        usual = middle * math.exp(rng.gauss(0, 0.5))
        estimate = usual * bias * math.exp(rng.gauss(0, estimate_error))
        run = usual * math.exp(rng.gauss(0, 0.25))
        run *= 7 if rng.random() < long_share else 1
        if number >= 50:
            learned = run_times.expected_ms(QUEUE, estimate)
            learned_errors.append(abs(math.log(run / learned)))
            blend_errors.append(abs(math.log(run / blend.expected_ms(estimate))))
        run_times.record(QUEUE, estimate, None, run, whole_step=True)
        blend.record(run)
    return (
        sum(learned_errors) / len(learned_errors),
        sum(blend_errors) / len(blend_errors),
    )


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("estimate_error", [0.2, 0.9])
def test_estimates_count_as_far_as_they_have_been_right(seed, estimate_error):
    """A fixed weight trusted good estimates too little and bad ones too much."""
    learned, blend = errors(seed, estimate_error)
    assert learned < blend


@pytest.mark.parametrize("seed", SEEDS)
def test_estimates_as_good_as_the_queue_are_weighted_as_before(seed):
    learned, blend = errors(seed, 0.5)
    assert learned <= 1.02 * blend


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("bias", [0.1, 5.0])
def test_a_constant_factor_in_the_estimates_is_corrected(seed, bias):
    learned, blend = errors(seed, 0.2, bias=bias)
    assert learned < 0.5 * blend


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("drift", [0.2, 5.0])
def test_drifting_run_times_are_followed(seed, drift):
    learned, blend = errors(seed, 0.5, drift=drift)
    assert learned <= 1.05 * blend


@pytest.mark.parametrize("seed", SEEDS)
def test_a_heavy_tail_does_not_move_what_is_expected(seed):
    learned, blend = errors(seed, 0.2, long_share=0.03)
    assert learned <= blend


def with_tail(seed, tasks=2000):
    """Tasks of known steps, of which 3 in 100 take seven times as long."""
    rng = random.Random(seed)
    run_times = RunTimes()
    for _ in range(tasks):
        run = 1000 * math.exp(rng.gauss(0, 0.25)) * (7 if rng.random() < 0.03 else 1)
        run_times.record(QUEUE, 1000, 1000.0, run, whole_step=False)
    return run_times


@pytest.mark.parametrize("seed", SEEDS)
def test_quantiles_show_the_tail(seed):
    run_times = with_tail(seed)
    assert run_times.quantile_ms(QUEUE, 1000, 1000.0, 0.5) == pytest.approx(1000, 0.1)
    assert run_times.quantile_ms(QUEUE, 1000, 1000.0, 0.9) < 2000
    assert run_times.quantile_ms(QUEUE, 1000, 1000.0, 0.99) > 4000
    assert run_times.mean_ms(QUEUE, 1000, 1000.0) > 1100


@pytest.mark.parametrize("seed", SEEDS)
def test_a_run_that_has_outlasted_the_usual_is_expected_to_be_a_long_one(seed):
    run_times = with_tail(seed)
    fresh = run_times.remaining_ms(QUEUE, 1000, 1000.0, 0.0)
    old = run_times.remaining_ms(QUEUE, 1000, 1000.0, 2500.0)
    assert fresh < 1500
    assert old > 2000
    quantile = run_times.remaining_ms(QUEUE, 1000, 1000.0, 0.0, 0.9)
    assert fresh < quantile < 2000


def test_a_run_beyond_all_others_is_expected_to_take_as_long_again():
    assert with_tail(1).remaining_ms(QUEUE, 1000, 1000.0, 90_000.0) == 90_000.0


def test_a_step_takes_as_long_as_the_slowest_of_its_tasks():
    run_times = with_tail(1)
    one = run_times.slowest_ms(QUEUE, 1000, 1000.0, 1)
    eight = run_times.slowest_ms(QUEUE, 1000, 1000.0, 8)
    assert one == pytest.approx(1000, 0.1)
    assert 1200 < eight < 2000


@pytest.mark.parametrize("estimate", [0, -5, 10**15])
def test_a_missing_or_absurd_estimate_has_no_weight(estimate):
    run_times = RunTimes()
    assert run_times.expected_ms(QUEUE, estimate) == 1000
    for _ in range(30):
        run_times.record(QUEUE, estimate, None, 400, whole_step=True)
    assert run_times.expected_ms(QUEUE, estimate) == pytest.approx(400, 0.03)


def test_no_step_is_expected_to_take_longer_than_a_duration_holds():
    """The times of a job's steps are added up and become a timedelta; an overflow in a
    planning round ends the term."""
    rng = random.Random(1)
    run_times = RunTimes()
    for _ in range(100):
        estimate = int(math.exp(rng.uniform(0, 7)))
        run = estimate * 600_000
        run_times.record(QUEUE, estimate, None, run, whole_step=True)
    assert run_times.expected_ms(QUEUE, MAX_ESTIMATE_MS) <= MAX_ESTIMATE_MS


@pytest.mark.parametrize("tasks", [-1, 0])
def test_a_step_without_tasks_takes_as_long_as_one_task(tasks):
    run_times = with_tail(1)
    one = run_times.slowest_ms(QUEUE, 1000, 1000.0, 1)
    assert run_times.slowest_ms(QUEUE, 1000, 1000.0, tasks) == one


def test_a_step_whose_tasks_are_counted_wrongly_does_not_end_the_term():
    """A run record with two rows of one task counts it as placed and as done."""
    job = job_of(StepSpec(1, 1000, estimate_ms=700))
    step = job.occurrences[0][0]
    (task,) = step.tasks
    step.waiting.clear()
    step.placed, task.state = 1, TaskState.DONE
    assert RunEstimates().rest_ms(step, timedelta(seconds=9)) == 700


def test_quantiles_are_not_computed_again_for_each_observation():
    """They took a tenth of a core while a queue ended 480 tasks a second."""
    distribution = Distribution(400)
    summaries = set()
    for number in range(2000):
        distribution.add(1000 + number)
        summaries.add(distribution.summary())
    assert len(summaries) < 200
    assert distribution.summary().quantile(0.9) > 2500


def test_the_weight_of_estimates_is_not_computed_for_each_step(monkeypatch):
    """The first round of 2,000 jobs took 2.5 times as long as with a fixed weight."""
    run_times = learned_from()
    calls = []
    variance = run_times_module._variance
    monkeypatch.setattr(
        run_times_module, "_variance", lambda s: calls.append(s) or variance(s)
    )
    for estimate in range(1, 1000):
        run_times.expected_ms(QUEUE, estimate)
    assert len(calls) <= 2


def test_the_rest_of_a_step_counts_from_the_start_of_its_oldest_run():
    """A job whose last tasks had run for a while counted as if they had just begun."""
    estimates = RunEstimates()
    job = job_of(StepSpec(2, 1000, estimate_ms=700))
    (step,) = job.occurrences[0]
    now = timedelta(seconds=9)
    ages = [timedelta(milliseconds=400), timedelta(milliseconds=100)]
    for task, age in zip(step.tasks, ages, strict=True):
        assert estimates.rest_ms(step, now) == 700
        job.place(task, "e-1", 1, now - age)
    assert estimates.rest_ms(step, now) == 300


def test_the_demand_on_a_pool_includes_long_tasks():
    """With 3 of 100 tasks at seven times their step's time, a pool got too few VMs."""
    estimates = RunEstimates(with_tail(1))
    job = job_of(StepSpec(2, 1000, estimate_ms=700))
    (step,) = job.occurrences[0]
    record = replace(job.record, queue=QUEUE)
    job.record = record
    demand = PoolDemand(
        ManualClock(),
        {"a1": job},
        estimates,
        PeakForecaster(),
        lambda _: POOL_QUEUE,
    )
    expected = 2 * estimates.expected_ms(step) / 1000
    assert demand.backlog()["mill"] > 1.1 * expected


def test_the_number_of_queues_is_bounded():
    run_times = RunTimes()
    for number in range(MAX_QUEUES + 50):
        run_times.record(f"q{number}", 100, None, 100, whole_step=True)
    assert len(run_times.queues()) == MAX_QUEUES
    assert f"q{MAX_QUEUES + 49}" in run_times.queues()


def test_the_queue_that_learned_least_recently_is_dropped():
    run_times = RunTimes()
    for number in range(MAX_QUEUES):
        run_times.record(f"q{number}", 100, None, 100, whole_step=True)
    run_times.record("q0", 100, None, 100, whole_step=True)
    run_times.record("another", 100, None, 100, whole_step=True)
    assert "q0" in run_times.queues()
    assert "q1" not in run_times.queues()


def test_the_rest_of_a_job_counts_the_time_that_its_runs_have_worked():
    """Jobs counted as late, as their running steps were expected to begin only now."""
    estimates = RunEstimates()
    job = job_of(StepSpec(1, 1000, estimate_ms=700))
    (step,) = job.occurrences[0]
    job.place(step.tasks[0], "e-1", 1, job.accepted_at)
    path = estimates.path_times(job.accepted_at + timedelta(milliseconds=600))
    assert critical_path_ms(job, path, remaining=False) == 700
    assert critical_path_ms(job, path, remaining=True) == 100 + STEP_OVERHEAD_MS


def test_the_rest_of_a_step_is_that_of_the_slowest_of_its_runs():
    estimates = RunEstimates(with_tail(1))
    rests = []
    for count in (1, 8, 64):
        job = job_of(StepSpec(count, 1000))
        job.record = replace(job.record, queue=QUEUE)
        (step,) = job.occurrences[0]
        step.usual_ms = 1000.0
        for task in step.tasks:
            job.place(task, "e-1", 1, job.accepted_at)
        rests.append(estimates.rest_ms(step, job.accepted_at))
    assert rests[0] < rests[1] < rests[2]
    assert rests[2] > 4000


def learned_from(seed=1, steps=300):
    rng = random.Random(seed)
    run_times = RunTimes()
    for _ in range(steps):
        usual = 2000 * math.exp(rng.gauss(0, 0.5))
        estimate = 3 * usual * math.exp(rng.gauss(0, 0.2))
        run_times.record(QUEUE, estimate, None, usual, whole_step=True)
        for _ in range(3):
            run = usual * math.exp(rng.gauss(0, 0.25))
            run_times.record(QUEUE, estimate, usual, run, whole_step=False)
    return run_times


def test_a_record_is_small_and_keeps_what_decisions_use():
    before, after = learned_from(), RunTimes()
    content = encode(before.queues()[QUEUE])
    assert len(content) <= MAX_RECORD_BYTES
    restore(after.queue(QUEUE), content)
    for estimate in (300.0, 6000.0, 0.0):
        expected = before.expected_ms(QUEUE, estimate)
        assert after.expected_ms(QUEUE, estimate) == pytest.approx(expected, rel=0.1)
    weight = before.estimate_weight(QUEUE)
    assert after.estimate_weight(QUEUE) == pytest.approx(weight, abs=0.1)


def test_fields_of_a_later_build_are_ignored():
    stored = msgspec.msgpack.decode(encode(learned_from().queues()[QUEUE]))
    stored["distributions"].append([1, [2.0]])
    stored["later"] = {"x": 1}
    known = RunTimes().queue(QUEUE)
    restore(known, msgspec.msgpack.encode(stored))
    assert known.runs.count


class Terms:
    """Terms of the placing role that share a store."""

    def __init__(self):
        self.clock = ManualClock()
        self.store = FaultyStore(self.clock)
        self.epoch = 0

    async def new_epoch(self):
        put = Put("epochs/placing", b"%d" % self.epoch)
        result = await self.store.commit(Transaction((), (put,)))
        self.epoch += 1
        return Compare("epochs/placing", result.revision)

    async def begin(self, tasks, run_times):
        guard = await self.new_epoch()
        records = FencedRecords(self.clock, self.store, guard)
        writer = RunTimeRecords(self.clock, self.store, records, run_times)
        tasks.start_soon(writer.run)
        await advance(self.clock, 0.1)


@pytest.fixture
def anyio_backend():
    return "asyncio"


@pytest.mark.anyio
async def test_the_next_holder_takes_up_what_was_learned():
    terms = Terms()
    learned = learned_from()
    async with anyio.create_task_group() as tasks:
        await terms.begin(tasks, learned)
        await advance(terms.clock, 3)
        tasks.cancel_scope.cancel()
    successor = RunTimes()
    async with anyio.create_task_group() as tasks:
        await terms.begin(tasks, successor)
        tasks.cancel_scope.cancel()
    expected = learned.expected_ms(QUEUE, 6000)
    assert successor.expected_ms(QUEUE, 6000) == pytest.approx(expected, rel=0.1)


@pytest.mark.anyio
async def test_writes_are_bounded_while_many_queues_learn():
    terms = Terms()
    run_times = RunTimes()
    async with anyio.create_task_group() as tasks:
        await terms.begin(tasks, run_times)
        before = terms.store.calls_by_method["commit"]
        for _ in range(20):
            for number in range(3):
                run_times.record(f"q{number}", 100, None, 90, whole_step=True)
            await advance(terms.clock, 1)
        writes = terms.store.calls_by_method["commit"] - before
        tasks.cancel_scope.cancel()
    # One a queue in 5 s, of three queues in 20 s.
    assert 3 <= writes <= 3 * 5


@pytest.mark.anyio
async def test_a_queue_that_was_dropped_and_came_back_is_stored_again():
    """It was not until it had more observations than when it was dropped."""
    terms = Terms()
    run_times = RunTimes()
    async with anyio.create_task_group() as tasks:
        await terms.begin(tasks, run_times)
        for _ in range(50):
            run_times.record(QUEUE, 100, None, 400, whole_step=True)
        await advance(terms.clock, 2)
        before = await terms.store.get(key_of(QUEUE))
        for number in range(MAX_QUEUES):
            run_times.queue(f"q{number}")
        assert QUEUE not in run_times.queues()
        run_times.record(QUEUE, 100, None, 900, whole_step=True)
        await advance(terms.clock, 6)
        assert (await terms.store.get(key_of(QUEUE))).value != before.value
        tasks.cancel_scope.cancel()


@pytest.mark.anyio
async def test_learning_goes_on_while_the_store_is_down():
    terms = Terms()
    run_times = RunTimes()
    async with anyio.create_task_group() as tasks:
        await terms.begin(tasks, run_times)
        terms.store.down = True
        run_times.record(QUEUE, 100, None, 400, whole_step=True)
        await advance(terms.clock, 4)
        assert run_times.queues()[QUEUE].runs.count == 1
        terms.store.down = False
        await advance(terms.clock, 4)
        assert await terms.store.get(key_of(QUEUE)) is not None
        tasks.cancel_scope.cancel()


@pytest.mark.anyio
async def test_a_holder_that_was_replaced_stores_nothing():
    terms = Terms()
    run_times = RunTimes()
    async with anyio.create_task_group() as tasks:
        await terms.begin(tasks, run_times)
        await terms.new_epoch()
        run_times.record(QUEUE, 100, None, 400, whole_step=True)
        await advance(terms.clock, 3)
        assert await terms.store.get(key_of(QUEUE)) is None
        tasks.cancel_scope.cancel()


@pytest.mark.anyio
@pytest.mark.parametrize(
    "content",
    [
        b"",
        b"\xc1",
        msgspec.msgpack.encode({"distributions": 3}),
        msgspec.msgpack.encode({"distributions": [[-5, [-1.0, float("nan")]]]}),
    ],
)
async def test_a_record_that_cannot_be_used_costs_its_queue_only(content):
    terms = Terms()
    good = Put(key_of(QUEUE), encode(learned_from().queues()[QUEUE]))
    await terms.store.commit(Transaction((), (good, Put(key_of("odd"), content))))
    run_times = RunTimes()
    async with anyio.create_task_group() as tasks:
        await terms.begin(tasks, run_times)
        tasks.cancel_scope.cancel()
    assert run_times.queues()[QUEUE].runs.count
    assert run_times.expected_ms("odd", 700) == 700


@pytest.mark.parametrize("point", [5e-324, 1e-310, 1e-300, 1e300, 1.7e308])
@pytest.mark.parametrize("position", range(4))
def test_absurd_numbers_in_a_record_do_not_end_the_term(point, position):
    """Numbers near the limits of a float led to infinite times and logarithms of 0."""
    distributions = [[100, [1.0] * 4] for _ in range(4)]
    distributions[position] = [100, [point] * 4]
    run_times = RunTimes()
    content = msgspec.msgpack.encode({"distributions": distributions})
    restore(run_times.queue(QUEUE), content)
    for estimate in (0, 500, MAX_ESTIMATE_MS):
        for usual_ms in (None, 700.0):
            times = [
                run_times.slowest_ms(QUEUE, estimate, usual_ms, 20_000),
                run_times.mean_ms(QUEUE, estimate, usual_ms),
                run_times.quantile_ms(QUEUE, estimate, usual_ms, 0.9),
                run_times.remaining_ms(QUEUE, estimate, usual_ms, 100.0),
            ]
            # As many steps as a job may have, until a job is very late.
            timedelta(milliseconds=64 * 3 * max(times))
            run_times.record(QUEUE, estimate, usual_ms, 900, whole_step=True)
    assert math.isfinite(run_times.error(QUEUE))


def test_time_without_observations_writes_nothing():
    clock = ManualClock()
    store = FaultyStore(clock)
    records = FencedRecords(clock, store, Compare("epochs/placing", 0))
    writer = RunTimeRecords(clock, store, records, RunTimes())
    clock.advance(timedelta(seconds=60))
    assert writer._next_to_write() is None
