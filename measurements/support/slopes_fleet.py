"""Steps and transactions of the controller, and store calls of the whole fleet."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Iterable, Iterator
from contextlib import AsyncExitStack

import anyio
import msgspec

from measurements.control_links import (
    READS_PER_SECOND,
    WRITES_PER_SECOND,
    _counts,
    _daemon,
)
from measurements.figures import Figure, at_most
from measurements.fleet import (
    FUTURE,
    STEP_SECONDS,
    Site,
    _planning_step,
    _run_wave,
    new_fleet,
    step,
)
from measurements.jobs import LILIM
from measurements.requests import _steady_claims
from pomeloyard.clock import ManualClock, SystemClock
from pomeloyard.config.publication import publish
from pomeloyard.fleet.waves import WaveKind
from pomeloyard.jobs.job import JobRequest
from pomeloyard.jobs.store import JobStore
from pomeloyard.keyvalue.memory import MemoryStore
from pomeloyard.serving import serving
from pomeloyard.standins.platform import PlatformState, platform_app
from pomeloyard.standins.vm_directory import MemoryVmDirectory
from tests.support.fake_workers import GIB, SchedulerBench

from . import target_fleet as target
from .lines import CONTROL_BYTES_PER_SECOND, CORE_PERCENT, fit, line_figures

VM_SIZES = (70, 740, 2000)
WAVE_SIZES = (78, 156, 312)
POOL_SIZES = (3, 10, 29)
DAEMON_SIZES = (3, 6, 9)
JOB_SIZES = (100, 200, 400)
PUBLICATIONS = (5, 10, 20)
CLAIM_RATES = (90, 360, 750)
CLAIM_SECONDS = 4
SETTLING_SECONDS = 5.0
IDLE_SECONDS = 9.0

MAINTENANCE_DAYS = 28
FAILURES_PER_DAY = 12
RESTARTS_PER_DAY = 38
LOST_STEPS = 60
WHOLE_STEPS = 60
IDLE_STEPS = 40


def _site(vms: int) -> Site:
    pools = max(1, vms // 26)
    return Site(
        str(vms),
        tuple(f"pool-{n:03d}" for n in range(pools)),
        0,
        vms // pools,
        FUTURE.zones,
        0.85,
    )


def controller_figures() -> Iterable[Figure]:
    """Yield the controller's planning step and its writes."""
    seconds = {n: anyio.run(_planning_step, n) for n in VM_SIZES}
    times = {n: taken * 1000 for n, taken in seconds.items()}
    yield from line_figures("controller.step", "ms", "VMs", times, target.VMS)
    share = {n: taken / STEP_SECONDS * 100 for n, taken in seconds.items()}
    yield from line_figures(
        "controller.core", "% of a core", "VMs", share, target.VMS, CORE_PERCENT
    )
    whole = {n: anyio.run(_whole_step_seconds, n) * 1000 for n in VM_SIZES}
    # This time includes the fake store and platform.
    yield from line_figures(
        "controller.whole_step_with_fakes", "ms", "VMs", whole, target.VMS
    )
    idle = {n: anyio.run(_idle_reads, n) for n in POOL_SIZES}
    yield from line_figures(
        "controller.idle_reads",
        "reads/s",
        "pools",
        idle,
        target.SERVICES,
        READS_PER_SECOND,
    )
    waves = {n: anyio.run(_wave_calls, n) for n in WAVE_SIZES}
    writes = {n: float(calls[0]) for n, calls in waves.items()}
    yield from line_figures(
        "controller.wave_writes", "writes", "VMs", writes, target.VMS
    )
    reads = {n: float(calls[1]) for n, calls in waves.items()}
    yield from line_figures("controller.wave_reads", "reads", "VMs", reads, target.VMS)
    losses = {n: float(anyio.run(_loss_writes, n)) for n in (2, 4, 8)}
    yield from line_figures(
        "controller.loss_writes", "writes", "lost VMs", losses, FAILURES_PER_DAY
    )
    yield from _per_day(fit(writes).slope, fit(losses).slope)


def _per_day(per_wave_vm: float, per_lost_vm: float) -> Iterator[Figure]:
    maintained = target.VMS / MAINTENANCE_DAYS
    # A restart or replacement has the same steps as maintenance.
    writes = (maintained + RESTARTS_PER_DAY) * per_wave_vm
    writes += FAILURES_PER_DAY * per_lost_vm
    place = f"{target.VMS} VMs"
    yield Figure("slopes.controller.writes_per_day", writes, "writes", deployment=place)
    yield Figure(
        "slopes.store.writes_by_controller",
        writes / target.DAY_SECONDS,
        "writes/s",
        deployment=place,
    )
    record = target.vm_record(target.vm_list(1).vms_by_name["vm-0000"])
    size = len(msgspec.json.encode(record))
    yield at_most(
        "slopes.state.vm_events",
        writes * size / target.DAY_SECONDS,
        "B/s",
        CONTROL_BYTES_PER_SECOND,
        place,
    )


async def _whole_step_seconds(vms: int) -> float:
    """Return the mean time of the controller's step at the start of a wave."""
    fleet = new_fleet(_site(vms))
    fleet.store.after_commit.clear()
    await step(fleet)
    await fleet.controller.waves.start("all", WaveKind.REBOOT, "measurement")
    began = time.process_time()
    for _ in range(WHOLE_STEPS):
        await step(fleet)
    return (time.process_time() - began) / WHOLE_STEPS


async def _idle_reads(pools: int) -> float:
    """Return the reads per second while no VM has a pending step."""
    fleet = new_fleet(_site(pools * 26))
    await step(fleet)
    await step(fleet)
    reads = fleet.store.calls.reads
    for _ in range(IDLE_STEPS):
        await step(fleet)
    return (fleet.store.calls.reads - reads) / (IDLE_STEPS * STEP_SECONDS)


async def _wave_calls(vms: int) -> tuple[int, int]:
    fleet = new_fleet(_site(vms))
    await step(fleet)
    await fleet.controller.waves.start("all", WaveKind.REBOOT, "measurement")
    calls = fleet.store.calls
    writes, reads = calls.writes, calls.reads
    await _run_wave(fleet)
    return calls.writes - writes, calls.reads - reads


async def _loss_writes(count: int) -> int:
    """Return the writes for VMs that are lost one after another and then restored."""
    fleet = new_fleet(_site(78))
    await step(fleet)
    await step(fleet)
    writes = fleet.store.calls.writes
    for name in list(fleet.directory._vms_by_name)[:count]:
        fleet.directory.lose_vms([name])
        for _ in range(LOST_STEPS):
            await step(fleet)
        fleet.directory.restore_vms([name])
        while not fleet.all_in_service():
            await step(fleet)
    return fleet.store.calls.writes - writes


def idle_figures() -> Iterable[Figure]:
    """Yield store calls and peer bytes of idle fleets of three sizes."""
    rates = anyio.run(_idle_fleets)
    for position, (name, bound) in enumerate(
        (("sent", CONTROL_BYTES_PER_SECOND), ("received", CONTROL_BYTES_PER_SECOND))
    ):
        largest = {n: max(rate[position] for rate in r) for n, r in rates.items()}
        yield from line_figures(
            f"links.{name}", "B/s", "daemons", largest, target.DAEMONS, bound
        )
    for position, (name, bound) in enumerate(
        (("reads", READS_PER_SECOND), ("writes", WRITES_PER_SECOND)), 2
    ):
        total = {n: sum(rate[position] for rate in r) for n, r in rates.items()}
        yield from line_figures(
            f"store.idle_{name}", "calls/s", "daemons", total, target.DAEMONS, bound
        )


Rates = list[tuple[float, ...]]


async def _idle_fleets() -> dict[int, Rates]:
    """Run fleets of three sizes at once; they share only the process."""
    result: dict[int, Rates] = {}
    async with anyio.create_task_group() as tasks:
        for count in DAEMON_SIZES:
            tasks.start_soon(_idle_fleet, count, result)
    return {count: result[count] for count in DAEMON_SIZES}


async def _idle_fleet(count: int, result: dict[int, Rates]) -> None:
    clock = SystemClock()
    platform = PlatformState(MemoryStore(clock), MemoryVmDirectory(clock))
    async with AsyncExitStack() as stack:
        address = await stack.enter_async_context(serving(platform_app(platform)))
        tasks = await stack.enter_async_context(anyio.create_task_group())
        daemons = [_daemon(f"entry-{n}", address) for n in range(count)]
        for daemon in daemons:
            await daemon.start(tasks)
        await anyio.sleep(SETTLING_SECONDS)
        before = [_counts(daemon) for daemon in daemons]
        await anyio.sleep(IDLE_SECONDS)
        after = [_counts(daemon) for daemon in daemons]
        tasks.cancel_scope.cancel()
    result[count] = [
        tuple((late - early) / IDLE_SECONDS for early, late in zip(b, a, strict=True))
        for b, a in zip(before, after, strict=True)
    ]


def event_figures() -> Iterable[Figure]:
    """Yield the store writes per publication, job and claim."""
    published = {n: float(anyio.run(_publications, n)) for n in PUBLICATIONS}
    yield from line_figures(
        "store.publication_writes",
        "writes",
        "publications",
        published,
        target.CONFIG_CHANGES_PER_DAY,
    )
    per_second = fit(published).slope * target.CONFIG_CHANGES_PER_DAY
    yield at_most(
        "slopes.store.writes_by_publications",
        per_second / target.DAY_SECONDS,
        "writes/s",
        WRITES_PER_SECOND,
        f"{target.CONFIG_CHANGES_PER_DAY} a day",
    )
    jobs = {n: float(anyio.run(_job_writes, n)) for n in JOB_SIZES}
    yield from line_figures("store.job_writes", "writes", "jobs", jobs, 1000)
    claims = {
        n: asyncio.run(_steady_claims(n / target.DAEMONS, CLAIM_SECONDS))[0]
        * target.DAEMONS
        for n in CLAIM_RATES
    }
    yield from line_figures(
        "store.claim_writes",
        "writes/s",
        "claims/s",
        claims,
        max(CLAIM_RATES),
        WRITES_PER_SECOND,
    )


async def _publications(count: int) -> int:
    store = MemoryStore(ManualClock())
    for revision in range(count):
        await publish(store, target.config(), revision)
    return store.calls.writes


async def _job_writes(count: int) -> int:
    """Return the writes for jobs that arrive over time, from submission to result."""
    bench = SchedulerBench(LILIM.workers, LILIM.cores)
    jobs = JobStore(bench.store, bench.clock, lambda: bench.state.config)
    request = JobRequest("sleep 2", cores=1, memory_bytes=GIB)
    async with bench.scheduler(), anyio.create_task_group() as tasks:
        await bench.run(1)
        before = bench.store.calls.writes
        for number in range(count):
            tasks.start_soon(jobs.submit, "mill", request, f"k{number}")
            if number % 10 == 9:
                await bench.run(0.25)
        await bench.run(10)
    return bench.store.calls.writes - before
