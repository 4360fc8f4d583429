"""Choice of executors, compared with an exhaustive search and at peak load."""

from __future__ import annotations

import random
from datetime import timedelta

import pytest

from pomeloyard.batch.executor_choice import FreeCapacityIndex, can_place
from pomeloyard.batch.executors import Executor
from pomeloyard.batch.model import Resources, StepSpec
from pomeloyard.batch.run_estimates import SLOW_FACTOR, RunEstimates
from pomeloyard.batch.usage import Usage

from .test_batch_decisions import job_of

NOW = timedelta(seconds=100)


class Link:
    """The attributes of a link that the choice uses."""

    def __init__(self, number, cpu=16_000):
        rack = f"r{number // 4}"
        capacity = Resources(cpu, 64_000, 0)
        labels = ("even" if number % 2 == 0 else "odd", rack)
        self.executor = Executor(
            f"e{number:03}", "a:1", "mill", "z", capacity, labels, False, 1, rack
        )
        self.needs_maintenance = self.spreading_tasks = False


class CountingUsage(Usage):
    """Counts the calls of ``fits``."""

    fits_calls = 0

    def fits(self, executor, capacity, spec):
        self.fits_calls += 1
        return super().fits(executor, capacity, spec)


def exhaustive_search(task, links, usage, estimates, rack, allowed):
    """Return the best executor after scoring all of them."""
    best, best_score = None, ()
    spec = task.step.spec
    for link in links:
        executor = link.executor
        name = executor.executor_id
        if allowed is not None and name not in allowed:
            continue
        if not can_place(link, task.step, usage):
            continue
        slow = estimates.slowness(name, NOW) >= SLOW_FACTOR
        free = usage.free_cpu(name, executor.capacity)
        if spec.lasting:
            spread = (
                link.needs_maintenance,
                usage.tasks_of_step(name, task.step) >= 2,
                usage.lasting_tasks(name) == 0,
                usage.tasks_in_rack(task.step, executor.rack),
            )
            score = (link.spreading_tasks, name in task.failed_on, slow, *spread)
            score += (-free if spec.fills else free,)
        else:
            elsewhere = bool(rack) and executor.rack != rack
            score = (name in task.failed_on, elsewhere, slow, free, name)
        if best is None or score < best_score:
            best, best_score = link, score
    return best


@pytest.mark.parametrize("seed", range(40))
def test_the_choice_equals_that_of_an_exhaustive_search(seed):
    rng = random.Random(seed)
    usage, estimates = Usage(), RunEstimates()
    links = [Link(n, rng.choice([4000, 8000, 16_000])) for n in range(12)]
    for link in rng.sample(links, 3):
        for number in range(4):
            task = f"a1.0.0.{number}"
            estimates.record_progress(link.executor.executor_id, task, 9.0, NOW)
    for link in rng.sample(links, 3):
        link.needs_maintenance = True
    for link in rng.sample(links, 2):
        link.spreading_tasks = True
    index = FreeCapacityIndex(links, usage, estimates, NOW)
    placed = []
    for number in range(60):
        spec = StepSpec(
            1,
            rng.choice([500, 2300, 4900]),
            rng.choice([100, 9000]),
            label=rng.choice(["", "", "even", "odd"]),
            max_per_executor=rng.choice([0, 1]),
            lasting=rng.random() < 0.3,
            fills=rng.random() < 0.1,
        )
        (task,) = job_of(spec, job_id=f"j{number}").occurrences[0][0].tasks
        names = [link.executor.executor_id for link in links]
        task.failed_on = tuple(rng.sample(names, rng.choice([0, 0, 2])))
        rack = rng.choice(["", "", "r1"])
        allowed = rng.choice([None, None, set(rng.sample(names, 4))])
        expected = exhaustive_search(task, links, usage, estimates, rack, allowed)
        assert index.choose(task, rack, allowed) is expected
        if expected is not None:
            index.allocate(expected, task)
            placed.append((expected, task))
        if placed and rng.random() < 0.4:
            index.release(*placed.pop(rng.randrange(len(placed))))


def test_a_full_pool_is_not_searched_for_each_task():
    # A large deployment has 105 VMs and gets 960 tasks of 2.3 cores a second. Checking
    # each VM for each task took most of the placing daemon's time on a full pool.
    usage = CountingUsage()
    links = [Link(n) for n in range(105)]
    index = FreeCapacityIndex(links, usage, RunEstimates(), NOW)
    placed = 0
    for number in range(120):
        step = job_of(StepSpec(8, 2300, 1000), job_id=f"j{number}").occurrences[0][0]
        for task in step.tasks:
            link = index.choose(task)
            if link is not None:
                index.allocate(link, task)
                placed += 1
    assert placed == 105 * 6
    assert usage.fits_calls == placed
