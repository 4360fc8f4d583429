"""Packing by all resources, under the loads that it is designed for."""

from __future__ import annotations

import random

import pytest

from pomeloyard.batch.executor_choice import FreeCapacityIndex, can_place
from pomeloyard.batch.model import Resources, StepSpec
from pomeloyard.batch.run_estimates import RunEstimates
from pomeloyard.batch.usage import Usage

from .test_batch_decisions import job_of
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
