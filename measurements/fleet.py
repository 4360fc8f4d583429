"""Waves, budgets and the cost of planning, on a manual clock.

Only decisions are measured: controllers, store and records are the product's,
and the platform is a fake.
"""

from __future__ import annotations

import math
import random
import time
from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from datetime import timedelta
from functools import cache
from itertools import pairwise

import anyio

from pomeloyard.config.model import FleetConfig
from pomeloyard.fleet.budgets import Scope
from pomeloyard.fleet.vms import VmRecord
from pomeloyard.fleet.waves import WaveKind, WaveRecord, WaveState
from pomeloyard.keyvalue import layout
from pomeloyard.vm_platform.directory import Vm, VmRole
from tests.support.fleet import Fleet, make_config, make_vms

from .figures import Figure, at_most

ROLLOUT_BOUND = 1.25
GROWTH_SIZES = (70, 740, 7400)
STEP_SECONDS = 0.5
CPU_SHARE_BOUND = 0.04
"""Bound on a daemon's control as a whole; the figure includes the fakes."""

WAVE_STEPS = 300
PLANNING_STEPS = 40


@dataclass(frozen=True)
class Site:
    """Pools of a deployment: executors and workers of each, and its zones."""

    name: str
    pools: tuple[str, ...]
    executors: int
    workers: int
    zones: tuple[str, ...]
    min_available: int | float
    min_available_per_zone: int | float = 0
    mean_slots: int = 0
    larger_pools: int = 0

    def vms(self) -> list[Vm]:
        """Return all VMs."""
        return [
            vm
            for pool in self.pools
            for vm in make_vms(pool, self.executors, self.workers_of(pool), self.zones)
        ]

    def config(self, **maintenance: timedelta | float) -> FleetConfig:
        """Return the site's configuration."""
        sizes = {pool: (self.executors, self.workers_of(pool)) for pool in self.pools}
        return make_config(
            sizes,
            self.min_available,
            per_zone=self.min_available_per_zone,
            **maintenance,
        )

    def workers_of(self, pool: str) -> int:
        """Return the workers of a pool; the first ``larger_pools`` have one more."""
        return self.workers + (self.pools.index(pool) < self.larger_pools)


LILIM = Site(
    "lilim",
    ("desk-a", "desk-b", "desk-c", "mill", "catalog"),
    6,
    6,
    ("bulacan", "pampanga", "laguna"),
    0.66,
    1,
    mean_slots=16,
)
HSINCHU = Site(
    "hsinchu",
    ("desk-a", "desk-b", "desk-c", "mill", "support"),
    8,
    8,
    ("hs-1", "hs-2", "hs-3", "hs-4"),
    0.75,
    1,
    mean_slots=22,
)
FUTURE = Site(
    "740-workers",
    tuple(f"pool-{n:02d}" for n in range(29)),
    0,
    25,
    tuple(f"zone-{n}" for n in range(6)),
    0.85,
    larger_pools=15,
)
"""Expected in two years: 29 pools, 15 with 26 and 14 with 25 of the 740 workers."""


def measure() -> Iterable[Figure]:
    """Yield all figures."""
    for site in (LILIM, HSINCHU, FUTURE):
        yield from rollout(site)
    for site in (LILIM, HSINCHU):
        yield from losses_during_wave(site, whole_rack=False)
        yield from losses_during_wave(site, whole_rack=True)
    yield from losses_during_wave(FUTURE, whole_rack=True)
    yield from growth()


@dataclass(frozen=True, slots=True)
class Rollout:
    """One full wave: its time, the lower bound, and the VMs maintained over time."""

    seconds: float
    least_seconds: float
    violations: int
    maintained: list[tuple[float, int]]
    most_maintained: list[tuple[float, int]]
    """The most VMs that the budgets allow after each round."""


@cache
def rollout_run(site: Site) -> Rollout:
    """Run a site's full wave once; figures and plots share the result."""
    return anyio.run(_rollout, site)


def rollout(site: Site) -> Iterator[Figure]:
    """Compare a full wave's time with the least that the budgets allow."""
    run = rollout_run(site)
    ratio = run.seconds / run.least_seconds
    yield at_most("fleet_rollout_over_least", ratio, "ratio", ROLLOUT_BOUND, site.name)
    yield at_most("fleet_budget_violations", run.violations, "VMs", 0, site.name)


async def _rollout(site: Site) -> Rollout:
    fleet = new_fleet(site)
    await step(fleet)
    seconds_per_vm = _seconds_for_one_vm(fleet)
    rounds = least_rounds(fleet)
    most = [(n * seconds_per_vm, _most_after(fleet, n)) for n in range(rounds + 1)]
    await fleet.controller.waves.start("all", WaveKind.REBOOT, "measurement")
    maintained = await _run_wave(fleet)
    seconds = maintained[-1][0]
    return Rollout(
        seconds, rounds * seconds_per_vm, len(fleet.violations), maintained, most
    )


@dataclass(frozen=True, slots=True)
class Group:
    """VMs of one pool and role, and how many may be out of service at a time."""

    size: int
    allowed: int
    zones: tuple[tuple[int, int], ...]
    """Size and allowed number in each availability zone."""


def _groups(fleet: Fleet) -> Iterator[Group]:
    vms = list(fleet.stored(layout.VMS, VmRecord).values())
    for pool in fleet.config.pools_by_name:
        for role in (VmRole.EXECUTOR, VmRole.WORKER):
            members = [vm for vm in vms if vm.pool == pool and vm.role is role]
            if not members:
                continue
            sizes = Counter(vm.availability_zone for vm in members)
            zones = tuple(
                (size, _allowed(fleet, pool, Scope(role, zone), size))
                for zone, size in sizes.items()
            )
            allowed = _allowed(fleet, pool, Scope(role), len(members))
            yield Group(len(members), allowed, zones)


def least_rounds(fleet: Fleet) -> int:
    """Return the number of rounds that the budgets require of any plan."""
    limits = [
        limit
        for group in _groups(fleet)
        for limit in ((group.size, group.allowed), *group.zones)
    ]
    return max(math.ceil(size / allowed) for size, allowed in limits)


def _most_after(fleet: Fleet, rounds: int) -> int:
    """Return the most VMs that any plan can have maintained after some rounds."""
    return sum(
        min(
            rounds * group.allowed,
            sum(min(size, rounds * allowed) for size, allowed in group.zones),
        )
        for group in _groups(fleet)
    )


def _allowed(fleet: Fleet, pool: str, scope: Scope, total: int) -> int:
    budget = fleet.config.services_by_name[pool].budget
    minimum = (
        budget.min_available_per_zone
        if scope.availability_zone
        else budget.min_available
    )
    if isinstance(minimum, float):
        minimum = math.ceil(minimum * total - 1e-9)
    return max(1, total - minimum)


def _seconds_for_one_vm(fleet: Fleet) -> float:
    """Return the least time out of service: the platform's reboot, then the trial.

    The drain of an idle VM is assumed to take no time.
    """
    reboot = fleet.directory.delay + fleet.config.maintenance.trial
    return reboot.total_seconds()


async def _run_wave(fleet: Fleet) -> list[tuple[float, int]]:
    """Return the VMs maintained at each step until the wave has ended."""

    def ended() -> bool:
        waves = fleet.stored(layout.WAVES, WaveRecord).values()
        return all(wave.state is WaveState.DONE for wave in waves)

    def maintained() -> int:
        # A new VM counts as maintained, so times before the wave are excluded.
        vms = fleet.stored(layout.VMS, VmRecord).values()
        return sum(bool(vm.maintained_at and vm.maintained_at > start) for vm in vms)

    start = fleet.clock.now()
    began = fleet.clock.monotonic()
    counts = [(0.0, maintained())]
    while not ended():
        await step(fleet)
        seconds = (fleet.clock.monotonic() - began).total_seconds()
        counts.append((seconds, maintained()))
    return counts


async def step(fleet: Fleet) -> None:
    """Advance by one tick of the controller, with a current VM list."""
    for controller in fleet.controllers:
        controller._state.vm_list = await fleet.directory.list_vms()
    await fleet.step(STEP_SECONDS, refresh=False)


def new_fleet(site: Site) -> Fleet:
    """Return a site's fleet with a platform that needs 30 s for a reboot."""
    config = site.config(
        trial=timedelta(seconds=30),
        reboot_timeout=timedelta(seconds=120),
        max_repairs=0.05,
    )
    fleet = Fleet(config, site.vms())
    fleet.directory.delay = timedelta(seconds=30)
    return fleet


def losses_during_wave(site: Site, *, whole_rack: bool) -> Iterator[Figure]:
    """Count VMs taken beyond the budgets while VMs or a rack are lost."""
    violations, ended = anyio.run(_losses, site, whole_rack)
    name = "rack" if whole_rack else "vm"
    yield at_most(
        f"fleet_budget_violations_{name}_lost", violations, "VMs", 0, site.name
    )
    yield Figure(
        f"fleet_wave_ended_{name}_lost", float(ended), "1 = yes", 1.0, ended, site.name
    )


async def _losses(site: Site, whole_rack: bool) -> tuple[int, bool]:
    rng = random.Random(7)
    fleet = new_fleet(site)
    await step(fleet)
    await fleet.controller.waves.start("all", WaveKind.REBOOT, "measurement")
    listed = list(fleet.directory._vms_by_name.values())
    lost: dict[int, set[str]] = {}
    for tick in range(40, 2000):
        if tick % 150 == 40 and tick < 700:
            lost_vm = rng.choice(listed)
            names = {lost_vm.name}
            if whole_rack:
                names = {vm.name for vm in listed if vm.rack == lost_vm.rack}
            fleet.directory.lose_vms(names)
            lost[tick + 120] = names
        fleet.directory.restore_vms(lost.pop(tick, ()))
        await step(fleet)
        for wave in fleet.stored(layout.WAVES, WaveRecord).values():
            if wave.state is WaveState.STOPPED and tick % 100 == 0:
                await fleet.controller.waves.change(
                    wave.wave_id, WaveState.RUNNING, "measurement"
                )
            if wave.state is WaveState.DONE and fleet.all_in_service() and not lost:
                return len(fleet.violations), True
    return len(fleet.violations), False


def growth() -> Iterator[Figure]:
    """Measure one planning step of a running wave at growing sizes."""
    seconds = {size: anyio.run(_planning_step, size) for size in GROWTH_SIZES}
    for size, value in seconds.items():
        yield Figure(f"fleet_planning_step_{size}", value * 1000, "ms")
    share = anyio.run(_controller_step) / STEP_SECONDS
    yield at_most(
        "fleet_controller_cpu_share", share, "cores", CPU_SHARE_BOUND, FUTURE.name
    )
    for small, large in pairwise(GROWTH_SIZES):
        exponent = math.log(seconds[large] / seconds[small]) / math.log(large / small)
        # The growth exponent of n log n between the two sizes.
        log_factor = math.log(math.log(large) / math.log(small))
        bound = 1 + log_factor / math.log(large / small)
        name = f"fleet_planning_growth_exponent_{small}_{large}"
        yield at_most(name, exponent, "exponent", bound)


async def _controller_step() -> float:
    """Return the mean time of the whole controller's step during a wave."""
    fleet = new_fleet(FUTURE)
    fleet.store.after_commit.clear()
    await step(fleet)
    await fleet.controller.waves.start("all", WaveKind.REBOOT, "measurement")
    began = time.process_time()
    for _ in range(WAVE_STEPS):
        await step(fleet)
    return (time.process_time() - began) / WAVE_STEPS


async def _planning_step(size: int) -> float:
    """Return the least time of several steps in which nothing is drained."""
    pools = max(1, size // 26)
    site = Site(
        f"{size}",
        tuple(f"pool-{n:03d}" for n in range(pools)),
        0,
        size // pools,
        FUTURE.zones,
        0.85,
    )
    fleet = new_fleet(site)
    fleet.store.after_commit.clear()
    await fleet.step()
    await fleet.controller.waves.start("all", WaveKind.REBOOT, "measurement")
    await step(fleet)
    times = []
    for _ in range(PLANNING_STEPS):
        budgets = await fleet.controller.records.budgets()
        began = time.process_time()
        await fleet.controller.waves.step(budgets)
        times.append(time.process_time() - began)
    return min(times)
