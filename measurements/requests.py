"""Cost of the request path: added latency, throughput and claims.

The daemon's request path, the executor and the callers run in separate
processes, so that the figures are those of one daemon on at most one core.
"""

from __future__ import annotations

import asyncio
import multiprocessing
import os
import statistics
import time
import tracemalloc
from collections.abc import Iterable
from datetime import timedelta

import anyio
import httpcore

from pomeloyard.allocation.partitions import new_table
from pomeloyard.claims.log import ClaimLog
from pomeloyard.claims.outage_tracker import OutageTracker
from pomeloyard.claims.table import CLAIM_BYTES, Claim, ClaimTable
from pomeloyard.clock import ManualClock, SystemClock
from pomeloyard.errors import StoreUnavailableError
from pomeloyard.fleet_state import FleetState
from pomeloyard.keyvalue import layout
from pomeloyard.keyvalue.memory import MemoryStore
from pomeloyard.keyvalue.records import Change, commit_changes
from pomeloyard.keyvalue.store import Put
from pomeloyard.peers.messages import Hello
from pomeloyard.peers.streams import PeerNetwork
from pomeloyard.serving import serving
from pomeloyard.standins.endpoint import EndpointState, endpoint_app
from tests.support.request_path import request_path

from .figures import Figure, at_most

CALLS = 600
WORK_MS = 2
CALLERS = 16
THROUGHPUT_SECONDS = 4.0
STORE_WRITES_PER_DAEMON = 25.0
"""One transaction per 40 ms (docs/design.md, section 4)."""

CLAIM_WAIT_MS = 40.0 + 10.0
"""The interval of a group commit, plus some milliseconds for a store call."""


def measure() -> Iterable[Figure]:
    """Yield the figures of the request path."""
    yield from _latency()
    yield from _claim_latency()
    yield from _claim_memory()
    for rate in (50, 200):
        yield from _store_writes(rate)


def _serve_executor(queue: multiprocessing.Queue[str]) -> None:
    async def main() -> None:
        app = endpoint_app(EndpointState(slots=64))
        async with serving(app) as address:
            queue.put(address)
            await anyio.sleep_forever()

    anyio.run(main)


def _serve_daemon(executor: str, queue: multiprocessing.Queue[object]) -> None:
    async def main() -> None:
        executors = {f"e{n}": executor for n in range(4)}
        options = {"request_timeout": timedelta(seconds=10)}
        async with request_path(executors, **options) as (paths, _):
            # The test fleet limits units; only the request path is measured.
            queue.put((paths[0].address, paths[0].key, os.getpid()))
            await anyio.sleep_forever()

    anyio.run(main)


def _processes() -> tuple[list[multiprocessing.Process], str, str, str, int]:
    context = multiprocessing.get_context("spawn")
    queue = context.Queue()
    executor = context.Process(target=_serve_executor, args=(queue,), daemon=True)
    executor.start()
    address = queue.get(timeout=20)
    daemon = context.Process(target=_serve_daemon, args=(address, queue), daemon=True)
    daemon.start()
    entry, key, pid = queue.get(timeout=20)
    return [executor, daemon], address, entry, key, pid


def _latency() -> Iterable[Figure]:
    processes, executor, entry, key, pid = _processes()
    try:
        yield from asyncio.run(_compare(executor, entry, key, pid))
    finally:
        for process in processes:
            process.terminate()
            process.join()


async def _compare(executor: str, entry: str, key: str, pid: int) -> list[Figure]:
    direct = f"http://{executor}/cut?work_ms={WORK_MS}"
    through = f"http://{entry}/v1/services/orders/cut?work_ms={WORK_MS}"
    headers = {"Authorization": f"Bearer {key}"}
    times: dict[str, list[float]] = {direct: [], through: []}
    async with httpcore.AsyncConnectionPool() as pool:
        for number in range(CALLS):
            # Alternate between both within one run, so that both see the same load.
            for url in (direct, through):
                started = time.perf_counter()
                response = await pool.request("GET", url, headers=headers)
                assert response.status == 200, response.content
                if number >= CALLS // 10:
                    times[url].append((time.perf_counter() - started) * 1000)
        rate, cpu = await _throughput(entry, headers, pid)
    figures = []
    for name, quantile in (("p50", 0.50), ("p99", 0.99)):
        base = _quantile(times[direct], quantile)
        with_daemon = _quantile(times[through], quantile)
        figures.append(Figure(f"request_{name}_direct", base, "ms"))
        figures.append(Figure(f"request_{name}_through_daemon", with_daemon, "ms"))
        figures.append(Figure(f"request_{name}_ratio", with_daemon / base, "1"))
    figures.append(Figure("requests_per_second_one_daemon", rate, "1/s"))
    figures.append(Figure("requests_per_daemon_cpu_second", rate / cpu, "1/s"))
    return figures


async def _throughput(
    entry: str, headers: dict[str, str], pid: int
) -> tuple[float, float]:
    url = f"http://{entry}/v1/services/orders/cut"
    done = 0
    end = time.perf_counter() + THROUGHPUT_SECONDS

    async def caller() -> None:
        nonlocal done
        async with httpcore.AsyncConnectionPool() as pool:
            while time.perf_counter() < end:
                response = await pool.request("GET", url, headers=headers)
                done += response.status == 200

    cpu = _cpu_seconds(pid)
    async with anyio.create_task_group() as tasks:
        for _ in range(CALLERS):
            tasks.start_soon(caller)
    used = _cpu_seconds(pid) - cpu
    return done / THROUGHPUT_SECONDS, used / THROUGHPUT_SECONDS


def _cpu_seconds(pid: int) -> float:
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


class _SwitchableStore(MemoryStore):
    down = False

    async def commit(self, transaction):  # type: ignore[no-untyped-def]
        if self.down:
            raise StoreUnavailableError("down")
        await anyio.sleep(0.003)  # the platform's store responds within milliseconds
        return await super().commit(transaction)


def _claim_latency() -> Iterable[Figure]:
    return asyncio.run(_claim_figures())


async def _claim_figures() -> list[Figure]:
    store = _SwitchableStore(SystemClock())
    figures = []
    async with request_path({}, names=("a.1", "b.1"), store=store) as (paths, _):
        # Claims 10 ms apart wait for the next group commit; those 60 ms apart do not.
        for state, down, pause in (
            ("up_busy", False, 0.01),
            ("up_idle", False, 0.06),
            ("down", True, 0.01),
        ):
            store.down = down
            for path in paths:
                path.state.store_reachable = not down
            for side, path in (("local", paths[0]), ("remote", paths[1])):
                durations_ms = []
                for _ in range(60):
                    started = time.perf_counter()
                    await path.claims.claim(os.urandom(16), bytes(16))
                    durations_ms.append((time.perf_counter() - started) * 1000)
                    await anyio.sleep(pause)
                name = f"claim_{side}_store_{state}"
                figures.append(
                    at_most(
                        f"{name}_p50", _quantile(durations_ms, 0.5), "ms", CLAIM_WAIT_MS
                    )
                )
                figures.append(
                    Figure(f"{name}_p99", _quantile(durations_ms, 0.99), "ms")
                )
    return figures


def _claim_memory() -> Iterable[Figure]:
    count = 20_000
    table = ClaimTable()
    runner = "entry-1.0123abcd"
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for number in range(count):
        key = number.to_bytes(8) + os.urandom(8)
        table.try_claim(
            0, Claim(key, os.urandom(16), runner, number, float(number) / 99)
        )
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    yield at_most("memory_per_claim", used / count, "B", CLAIM_BYTES)


class _CountingStore(MemoryStore):
    commits = 0
    written_bytes = 0

    async def commit(self, transaction):  # type: ignore[no-untyped-def]
        self.commits += 1
        for operation in transaction.operations:
            if isinstance(operation, Put):
                self.written_bytes += len(operation.value)
        return await super().commit(transaction)


def _store_writes(rate: int) -> Iterable[Figure]:
    """Claim at a steady fleet-wide rate, with nine daemons of two partitions each."""
    seconds = 60
    writes, written, keys = asyncio.run(_steady_claims(rate / 9, seconds))
    name = f"claims_at_{rate}_per_second"
    yield at_most(
        f"{name}_store_writes_per_daemon", writes, "1/s", STORE_WRITES_PER_DAEMON
    )
    yield Figure(f"{name}_store_writes_fleet", writes * 9, "1/s")
    yield Figure(f"{name}_written_fleet", written * 9 / 1000, "kB/s")
    yield Figure(f"{name}_segments_per_partition", keys / 2, "1")


async def _steady_claims(rate: float, seconds: int) -> tuple[float, float, int]:
    clock = ManualClock()
    store = _CountingStore(clock)
    table = new_table(2).with_holder(0, "a.1", clean=True)
    table = table.with_holder(1, "a.1", clean=True)
    revision = await commit_changes(store, [Change(layout.PARTITIONS, table, None)])
    state = FleetState(partitions=table, partitions_revision=revision)
    claims = ClaimTable()
    network = PeerNetwork(clock, Hello("a.1", "a", "", "east"))
    outage_tracker = OutageTracker(clock, state, network, "a.1")
    log = ClaimLog(store, clock, state, outage_tracker, claims, "a.1")
    for number in (0, 1):
        await log.open(number, table.partitions[number].epoch)
    store.commits = store.written_bytes = 0
    runner = asyncio.create_task(log.run())
    writers = []
    for number in range(int(rate * seconds)):
        claim = Claim(
            os.urandom(16), bytes(16), "a.1", number, clock.monotonic().total_seconds()
        )
        claims.try_claim(number % 2, claim)
        writers.append(asyncio.create_task(log.write(number % 2, claim)))
        for _ in range(8):
            await asyncio.sleep(0)
        clock.advance(timedelta(seconds=1 / rate))
    for _ in range(20):
        await asyncio.sleep(0)
        clock.advance(timedelta(seconds=0.05))
    runner.cancel()
    assert all(await asyncio.gather(*writers))
    keys = len((await store.scan(layout.CLAIMS)).entries)
    return store.commits / seconds, store.written_bytes / seconds, keys


def _quantile(values: list[float], quantile: float) -> float:
    if quantile == 0.5:
        return statistics.median(values)
    return sorted(values)[min(len(values) - 1, int(len(values) * quantile))]
