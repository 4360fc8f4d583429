"""Lending between pools, compared with a fixed buffer for each pool's own peak.

Controllers, store and records are the product's; the platform and the queues are
fakes on a manual clock.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field, replace
from functools import cache

import anyio

from pomeloyard.fleet.forecasts import idle_cost
from pomeloyard.fleet.vms import VmState
from pomeloyard.vm_platform.directory import VmOperation, VmRole
from tests.support.fleet import Fleet, make_vms

from .figures import Figure, at_most
from .fleet import HSINCHU, LILIM, STEP_SECONDS, Site, step

BUFFER_COST_BOUND = 0.5
SLOTS = 8
PRICE_PER_HOUR = 1.0
PEAK_SECONDS = 20.0
PEAK_JITTER = 0.2
LEARNING_CYCLES = 4
"""Peaks of each pool before queue delay is compared, since forecasts start empty."""

MEASURED_CYCLES = 12


def measure() -> Iterable[Figure]:
    """Yield all figures."""
    for site in (LILIM, HSINCHU):
        yield from lending(site)


@dataclass
class Queue:
    """Fluid queue of one pool; work in slot-seconds."""

    waiting: float = 0.0
    worst_delay: float = 0.0
    delay_sum: float = 0.0

    def step(self, demand: float, capacity: float, measured: bool) -> None:
        """Advance by one step; delay is the waiting work over the capacity."""
        self.waiting = max(0.0, self.waiting + (demand - capacity) * STEP_SECONDS)
        if measured:
            delay = self.waiting / max(capacity, 1.0)
            self.worst_delay = max(self.worst_delay, delay)
            self.delay_sum += delay * demand * STEP_SECONDS


@dataclass
class Series:
    """Executors in service and in demand at each step, and those of a fixed buffer."""

    seconds: list[float] = field(default_factory=list)
    demanded: dict[str, list[float]] = field(default_factory=dict)
    in_service: dict[str, list[int]] = field(default_factory=dict)
    fixed_vms: int = 0
    """Executors that a pool with a fixed buffer for its own peak always has."""

    spare_pool: str = ""
    lending_vms: int = 0
    """Executors of all pools together under lending."""

    def append(
        self, demanded: dict[str, float], in_service: dict[str, int], measured: float
    ) -> None:
        """Add one step of all pools."""
        self.seconds.append(measured)
        for pool, vms in demanded.items():
            self.demanded.setdefault(pool, []).append(vms)
            self.in_service.setdefault(pool, []).append(in_service.get(pool, 0))


@dataclass
class BuffersRun:
    """Results of one run by name, and its series after the learning cycles."""

    results: dict[str, float]
    series: Series


@cache
def buffers_run(site: Site, random_order: bool = False) -> BuffersRun:
    """Run a site's peaks once; figures and plots share the result."""
    return anyio.run(_buffers, site, random_order)


def lending(site: Site) -> Iterator[Figure]:
    """Compare lending with a fixed buffer sized for each pool's own peak."""
    result = buffers_run(site).results
    yield at_most(
        "fleet_buffer_cost_over_fixed",
        result["cost_ratio"],
        "ratio",
        BUFFER_COST_BOUND,
        site.name,
    )
    yield at_most(
        "fleet_buffer_worst_delay",
        result["worst_delay"],
        "s",
        result["fixed_worst_delay"],
        site.name,
    )
    yield at_most(
        "fleet_buffer_mean_delay",
        result["mean_delay"],
        "s",
        result["fixed_mean_delay"],
        site.name,
    )
    yield Figure(
        "fleet_buffer_moves_per_hour", result["moves"], "1/h", deployment=site.name
    )
    yield at_most("fleet_buffer_violations", result["violations"], "VMs", 0, site.name)
    # Without a bound: the target assumes that the pools peak in a fixed order.
    result = buffers_run(site, True).results
    for key in ("worst_delay", "mean_delay"):
        name = f"fleet_buffer_{key}_random_order"
        yield Figure(name, result[key], "s", deployment=site.name)


async def _buffers(site: Site, random_order: bool) -> BuffersRun:
    spare = site.pools[-1]
    peak, low = 5.0 * site.mean_slots, site.mean_slots / 20
    peak_vms = math.ceil(peak / SLOTS)
    extra_vms = peak_vms - site.executors
    # Two sets: one serves the current peak, one is reserved for the next.
    buffer_vms = 2 * extra_vms
    site_vms = [vm for vm in site.vms() if vm.role is VmRole.EXECUTOR]
    spare_vms = make_vms(spare, site.executors + buffer_vms, 0, site.zones)
    vms = [vm for vm in site_vms if vm.pool != spare] + spare_vms
    fleet = Fleet(site.config(), vms)
    pools = fleet.config.pools_by_name
    pools[spare] = replace(pools[spare], spare=True)
    await step(fleet)
    lending_queues, fixed_queues = (
        {pool: Queue() for pool in site.pools} for _ in range(2)
    )
    turns = _turns(site, random_order)
    measured_seconds = 0.0
    series = Series(fixed_vms=peak_vms, spare_pool=spare, lending_vms=len(vms))
    for turn, pool_at_peak, seconds in turns:
        measured = turn >= LEARNING_CYCLES * len(site.pools)
        for _ in range(round(seconds / STEP_SECONDS)):
            demand = {p: peak if p == pool_at_peak else low for p in site.pools}
            fleet.demand = {p: d / SLOTS for p, d in demand.items()}
            await step(fleet)
            in_service = _in_service(fleet)
            for pool in site.pools:
                capacity = in_service.get(pool, 0) * SLOTS
                lending_queues[pool].step(demand[pool], capacity, measured)
                fixed_queues[pool].step(demand[pool], peak_vms * SLOTS, measured)
            if measured:
                series.append(fleet.demand, in_service, measured_seconds)
            measured_seconds += STEP_SECONDS if measured else 0.0
            if not measured:
                fleet.directory.started.clear()
    hours = measured_seconds / 3600
    moves = sum(o is VmOperation.ASSIGN for _, o, _ in fleet.directory.started)
    move_time = fleet.controller.buffers.move_time()
    cost = idle_cost(buffer_vms * hours, moves, move_time, PRICE_PER_HOUR)
    fixed_cost = PRICE_PER_HOUR * extra_vms * len(site.pools) * hours
    work = sum(q.delay_sum for q in lending_queues.values())
    fixed_work = sum(q.delay_sum for q in fixed_queues.values())
    total = sum(peak * s for t, _, s in turns if t >= LEARNING_CYCLES)
    results = {
        "cost_ratio": cost / fixed_cost,
        "worst_delay": max(q.worst_delay for q in lending_queues.values()),
        "fixed_worst_delay": max(q.worst_delay for q in fixed_queues.values()),
        "mean_delay": work / total,
        "fixed_mean_delay": fixed_work / total,
        "moves": moves / hours,
        "violations": float(len(fleet.violations)),
    }
    return BuffersRun(results, series)


def _turns(site: Site, random_order: bool) -> list[tuple[int, str, float]]:
    """Return peaks of varying length, in a fixed or a random order of pools."""
    rng = random.Random(11)
    count = (LEARNING_CYCLES + MEASURED_CYCLES) * len(site.pools)
    order = list(site.pools) * (LEARNING_CYCLES + MEASURED_CYCLES)
    if random_order:
        rng.shuffle(order)
    return [
        (
            turn,
            order[turn],
            PEAK_SECONDS * rng.uniform(1 - PEAK_JITTER, 1 + PEAK_JITTER),
        )
        for turn in range(count)
    ]


def _in_service(fleet: Fleet) -> dict[str, int]:
    counts: dict[str, int] = {}
    for vm in fleet.controller._state.vm_records_by_name.values():
        if vm.role is VmRole.EXECUTOR and vm.state is VmState.IN_SERVICE:
            counts[vm.pool] = counts.get(vm.pool, 0) + 1
    return counts
