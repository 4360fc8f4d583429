"""Packing by all resources, under the loads that it is designed for."""

from __future__ import annotations

import random
from dataclasses import replace
from datetime import timedelta
from types import SimpleNamespace
from unittest.mock import ANY

import pytest

from pomeloyard.batch.demand import PoolDemand
from pomeloyard.batch.executor_choice import FreeCapacityIndex, can_place
from pomeloyard.batch.job_ranking import PathTimes, core_seconds_of, critical_path_ms
from pomeloyard.batch.model import Configuration, Pool, Resources, StepSpec
from pomeloyard.batch.peaks import PeakForecaster
from pomeloyard.batch.policy import DefaultPolicy
from pomeloyard.batch.progress import EndKind
from pomeloyard.batch.run_estimates import RunEstimates
from pomeloyard.batch.usage import Usage
from pomeloyard.batch.vm_mover import VmMover
from pomeloyard.batch.vms import PoolVm, VmState
from pomeloyard.clock import ManualClock

from .test_batch_decisions import QUEUE, expected_ms, job_of
from .test_batch_spread import NOW, CountingUsage, Link


def step_of(spec, number=0):
    return job_of(spec, job_id=f"j{number}").occurrences[0][0]


@pytest.mark.parametrize("seed", range(10))
def test_the_largest_free_amounts_follow_each_change(seed):
    """A stale amount would keep tasks waiting that fit."""
    rng = random.Random(seed)
    usage, links = Usage(), [Link(n) for n in range(6)]
    index = FreeCapacityIndex(links, usage, RunEstimates(), NOW)
    placed = []
    for number in range(80):
        spec = StepSpec(1, rng.randrange(4000), rng.randrange(20_000))
        (task,) = step_of(spec, number).tasks
        link = index.choose(task)
        assert (link is None) == (
            not any(can_place(k, task.step, usage) for k in links)
        )
        if link is not None:
            index.allocate(link, task)
            placed.append((link, task))
        if placed and rng.random() < 0.5:
            index.release(*placed.pop(rng.randrange(len(placed))))
        free = [usage.free(k.executor.executor_id, k.executor.capacity) for k in links]
        assert index.max_free == Resources(
            max(amount.cpu_millis for amount in free),
            max(amount.memory_mb for amount in free),
            max(amount.accelerators for amount in free),
        )
    for link in links:
        index.discard(link)
    assert not Resources().fits(index.max_free)


def test_a_pool_without_free_memory_is_not_searched_for_each_task():
    # With cores free on 105 VMs, each waiting task was compared with all of them.
    usage = CountingUsage()
    links = [Link(n) for n in range(105)]
    index = FreeCapacityIndex(links, usage, RunEstimates(), NOW)
    for number in range(105):
        for task in step_of(StepSpec(4, 1000, 16_000), number).tasks:
            index.allocate(index.choose(task), task)
    searched = usage.fits_calls
    waiting = job_of(StepSpec(1, 1000, 16_000), StepSpec(1, 9000, 200, accelerators=1))
    assert not waiting.smallest_ready().fits(index.max_free)
    for number in range(200):
        (task,) = step_of(StepSpec(1, 1000, 16_000), number).tasks
        assert index.choose(task) is None
    assert usage.fits_calls == searched


def test_a_job_is_considered_as_long_as_one_of_its_tasks_may_fit():
    index = FreeCapacityIndex([Link(0)], Usage(), RunEstimates(), NOW)
    accelerated = StepSpec(1, 100, 100, accelerators=1)
    assert not job_of(accelerated).smallest_ready().fits(index.max_free)
    mixed = job_of(accelerated, StepSpec(1, 9000, 200))
    assert mixed.smallest_ready().fits(index.max_free)
    best_effort = job_of(StepSpec(1, 99_000, 100, fills=True))
    assert best_effort.smallest_ready().fits(index.max_free)
    assert job_of(StepSpec(1, after=())).smallest_ready() == Resources()


SECOND = timedelta(seconds=1)
POOLS = Configuration(
    1, {}, {"mill": Pool("mill"), "spare": Pool("spare", standby=True)}, {}
)


class PoolLink(Link):
    """An executor of a pool with the state that the planner and the mover use."""

    usable = registered = True
    cordoned_for_move = zone_evacuated = has_trial = False

    def __init__(self, number, cpu=16_000, memory=64_000):
        super().__init__(number)
        capacity = Resources(cpu, memory)
        self.executor = replace(self.executor, capacity=capacity)
        self.runs_by_name = {}

    def assign(self, placed):
        self.runs_by_name[placed.task.name] = placed


class LoadRecorder(DefaultPolicy):
    """Keeps the loads by which moves are chosen."""

    loads = ()

    def choose_moves(self, loads, spares, standby_pool):
        self.loads = loads
        return []


class Scaling:
    """The demand of one pool and the loads that its holder derives from it."""

    def __init__(self, links, usage):
        self.clock = ManualClock()
        self.links_by_id = {link.executor.executor_id: link for link in links}
        self.usage = usage
        self.policy = LoadRecorder()
        self.jobs_by_id = {}
        self.demand = PoolDemand(
            self.clock,
            self.jobs_by_id,
            RunEstimates(),
            PeakForecaster(),
            lambda record: QUEUE,
            self.links_by_id,
        )
        listing = SimpleNamespace(
            vms_by_name={
                name: PoolVm(name, "mill", VmState.UP, "") for name in self.links_by_id
            }
        )
        orders = SimpleNamespace(by_vm={}, may_order=lambda vm: False)
        zones = SimpleNamespace(is_evacuated=lambda zone: False)
        self.mover = VmMover(
            None,
            None,
            SimpleNamespace(record=lambda *args, **inputs: None),
            self,
            listing,
            orders,
            zones,
            "d-1",
            1,
            1.5 * SECOND,
        )

    def add(self, job):
        self.jobs_by_id[job.job_id] = job
        job.accepted_at = self.clock.monotonic()
        path = critical_path_ms(job, PathTimes.of_tasks(expected_ms), remaining=False)
        job.expected_path_ms = path
        if not job.lasting:
            work = core_seconds_of(job, expected_ms, remaining=False)
            self.demand.record_arrival("mill", job, work)

    def load(self):
        """Return the load of the pool, as the mover sees it."""
        now = self.clock.monotonic()
        self.mover.move(POOLS, self.demand.backlog(), (), now)
        (load,) = self.policy.loads
        return load


@pytest.mark.parametrize("seed", range(10))
def test_where_cpu_dominates_the_load_of_a_pool_is_that_by_cpu_alone(seed):
    """Pools that are not short of memory must not get other VMs than before."""
    loads = []
    for memory_share in (0.0, 0.9):
        rng = random.Random(seed)
        links, usage = [PoolLink(n) for n in range(8)], Usage()
        scaling = Scaling(links, usage)
        index = FreeCapacityIndex(links, usage, RunEstimates(), NOW)
        for number in range(60):
            scaling.clock.advance(rng.random() * 0.1 * SECOND)
            cpu = rng.randrange(500, 5000)
            # An executor has 4 MB for each thousandth of a core.
            memory = int(4 * cpu * memory_share)
            lasting = rng.random() < 0.1
            spec = StepSpec(
                rng.randrange(1, 9),
                cpu,
                memory,
                estimate_ms=rng.randrange(100, 4000),
                lasting=lasting,
            )
            job = job_of(spec, job_id=f"j{number}")
            scaling.add(job)
            for task in job.occurrences[0][0].tasks[: rng.randrange(9)]:
                link = index.choose(task)
                if link is not None:
                    job.place(task, link.executor.executor_id, 1, NOW)
                    index.allocate(link, task)
        loads.append(scaling.load())
    assert loads[0].waiting_core_seconds > 0 < loads[0].missing_vms
    by_cpu, by_both = loads
    assert by_both == replace(
        by_cpu, peak=by_both.peak, rate=replace(by_cpu.rate, memory_gb=ANY)
    )
    assert (by_both.peak is None) == (by_cpu.peak is None)


class MemoryPeak:
    """A peak of 4 s in a pool whose memory runs out first, 16 jobs a second.

    Of 16 cores and 64 GB, a task needs 1 core and 12 GB for 1.8 s. The pool has 16
    VMs; 28 on standby take 1.75 s to arrive.
    """

    RUN = 1.8 * SECOND

    def __init__(self, seed, knows_memory):
        rng = random.Random(seed)
        usage, moving, running = Usage(), [], []
        self.jobs = self.in_time = 0
        links = [PoolLink(n) for n in range(16)]
        shown = Scaling(links, usage)
        self.most_vms = 16
        for tick in range(240):
            now = shown.clock.monotonic()
            if 20 <= tick < 120 and rng.random() < 0.8:
                spec = StepSpec(8, 1000, 12_000, estimate_ms=1800)
                shown.add(job_of(spec, job_id=f"j{tick}"))
                self.jobs += 1
            for at in [at for at in moving if at <= now]:
                moving.remove(at)
                links.append(PoolLink(len(links)))
                shown.links_by_id[links[-1].executor.executor_id] = links[-1]
            for end, link, task in [run for run in running if run[0] <= now]:
                running.remove((end, link, task))
                usage.remove(link.executor.executor_id, link.executor.rack, task)
                job = task.step.job
                job.end(task, 1, EndKind.DONE, "")
                if job.final:
                    limit = 1.6 * self.RUN + 0.6 * SECOND
                    self.in_time += now - job.accepted_at <= limit
                    del shown.jobs_by_id[job.job_id]
            index = FreeCapacityIndex(links, usage, RunEstimates(), now)
            for job in shown.jobs_by_id.values():
                for task in list(job.occurrences[0][0].waiting.values()):
                    link = index.choose(task)
                    if link is None:
                        break
                    job.place(task, link.executor.executor_id, 1, now)
                    index.allocate(link, task)
                    running.append((now + self.RUN, link, task))
            if tick % 5 == 0:
                self._scale(shown, links, moving, knows_memory, now)
            shown.clock.advance(0.05 * SECOND)

    def _scale(self, shown, links, moving, knows_memory, now):
        if not knows_memory:
            # Executors without known memory are scaled by cpu alone.
            for link in links:
                capacity = replace(link.executor.capacity, memory_mb=0)
                link.executor = replace(link.executor, capacity=capacity)
        load = shown.load()
        for link in links:
            capacity = replace(link.executor.capacity, memory_mb=64_000)
            link.executor = replace(link.executor, capacity=capacity)
        missing = min(load.missing_vms - len(moving), 44 - len(links) - len(moving))
        moving += [now + 1.75 * SECOND] * max(0, missing)
        self.most_vms = max(self.most_vms, len(links) + len(moving))


@pytest.mark.parametrize("seed", range(5))
def test_a_pool_whose_memory_runs_out_first_gets_vms_in_time(seed):
    # With 47 VMs in a pool, 33 VMs' worth of cores were busy while tasks waited.
    by_cpu, by_both = MemoryPeak(seed, False), MemoryPeak(seed, True)
    assert by_both.jobs == by_cpu.jobs
    assert by_cpu.in_time < 0.6 * by_cpu.jobs
    assert by_both.in_time > 0.95 * by_both.jobs
