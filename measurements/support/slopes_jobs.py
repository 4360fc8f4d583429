"""Scheduler: memory per job, planning step, lease renewals."""

from __future__ import annotations

import gc
import time
import tracemalloc
from collections.abc import AsyncIterator, Iterable, Iterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

import anyio
import msgspec
from anyio.abc import SocketStream

from measurements.figures import Figure
from measurements.jobs import _step_seconds
from pomeloyard.jobs.job import JobRequest, job_id_of
from pomeloyard.jobs.term import PLAN_INTERVAL, TICK_INTERVAL
from pomeloyard.outcomes import Done
from pomeloyard.workers.client import HttpWorkerClient
from pomeloyard.workers.connections import IDLE_INTERVAL, RENEW_INTERVAL, TASK_LEASE
from pomeloyard.workers.tasks import TaskReport, TaskState
from tests.support.fake_workers import GIB, SchedulerBench

from . import target_fleet as target
from .lines import (
    CONTROL_BYTES_PER_SECOND,
    CORE_PERCENT,
    MEGABYTE,
    MEMORY_MB,
    line_figures,
)

QUEUED_SIZES = (500, 2000, 6000)
RUNNING_SIZES = (100, 400, 1200)
TARGET_QUEUED = 10_000
"""As in measurements/jobs.py; the targets do not specify a job queue length."""

TASKS_PER_WORKER = 4
TARGET_RUNNING = target.WORKERS * TASKS_PER_WORKER
WORKER_SIZES = (70, 740, 2000)
TASK_SIZES = (1, 4, 16)
RENEWALS = 100
HEADERS = (
    "HTTP/1.1 200 OK\r\ndate: Thu, 01 Jan 2026 00:00:00 GMT\r\nserver: uvicorn\r\n"
    "content-length: {}\r\ncontent-type: application/json\r\n\r\n"
)
"""Headers as the worker stand-in's server sends them."""


def memory_figures() -> Iterable[Figure]:
    """Yield the memory of a scheduler that takes over jobs, by number of jobs."""
    queued = {n: anyio.run(_queued_bytes, n) / MEGABYTE for n in QUEUED_SIZES}
    yield from line_figures(
        "scheduler.queued.memory",
        "MB",
        "queued jobs",
        queued,
        TARGET_QUEUED,
        MEMORY_MB,
    )
    running = {n: anyio.run(_running_bytes, n) / MEGABYTE for n in RUNNING_SIZES}
    yield from line_figures(
        "scheduler.running.memory",
        "MB",
        "running jobs",
        running,
        TARGET_RUNNING,
        MEMORY_MB,
    )


async def _queued_bytes(count: int) -> int:
    # The only worker is too small, so every job stays queued.
    bench = SchedulerBench(workers=1, cores=1)
    request = JobRequest("sleep 2", cores=1, memory_bytes=GIB)
    await bench.submit_many("mill", request, count)
    return await _term_bytes(bench, count, 1)


async def _running_bytes(count: int) -> int:
    workers = count // TASKS_PER_WORKER
    bench = SchedulerBench(workers, TASKS_PER_WORKER, {"mill": 10**6})
    request = JobRequest("sleep 3600", 1, GIB, expected_seconds=3600.0)
    await bench.submit_many("mill", request, count)
    async with bench.scheduler():
        await bench.run(3)
    assert len(bench.workers.running()) == count
    # Records, store and workers are created before tracing starts.
    return await _term_bytes(bench, count, 2)


async def _term_bytes(bench: SchedulerBench, count: int, seconds: float) -> int:
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    async with bench.scheduler() as scheduler:
        await bench.run(seconds)
        assert scheduler.term is not None
        assert len(scheduler.term.table) == count
        gc.collect()
        used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return used


def step_figures() -> Iterable[Figure]:
    """Yield the time of a planning step that fills a tenth of the fleet."""
    seconds = {n: _step_seconds(n) for n in WORKER_SIZES}
    steps = {n: taken * 1000 for n, taken in seconds.items()}
    yield from line_figures("scheduler.step", "ms", "workers", steps, target.WORKERS)
    # The scheduler plans every second, and in each tick in which jobs changed.
    for name, interval in (
        ("each_second", PLAN_INTERVAL),
        ("each_tick", TICK_INTERVAL),
    ):
        rate = 100 / interval.total_seconds()
        share = {n: taken * rate for n, taken in seconds.items()}
        yield from line_figures(
            f"scheduler.core_{name}",
            "% of a core",
            "workers",
            share,
            target.WORKERS,
            CORE_PERCENT,
        )


@dataclass
class Renewals:
    """Cost of the lease renewals of one worker with some tasks."""

    sent: int = 0
    received: int = 0
    seconds: float = 0.0


def renewal_figures() -> Iterable[Figure]:
    """Yield the traffic of lease renewals: requests and responses with headers."""
    costs = {n: anyio.run(_renewals, n) for n in TASK_SIZES}
    interval = RENEW_INTERVAL.total_seconds()
    one = {n: (c.sent + c.received) / interval for n, c in costs.items()}
    yield from line_figures(
        "scheduler.renewals_per_worker", "B/s", "tasks", one, TASKS_PER_WORKER
    )
    for direction in ("sent", "received"):
        fleet = {
            n: getattr(costs[TASKS_PER_WORKER], direction) * n / interval
            for n in WORKER_SIZES
        }
        yield from line_figures(
            f"scheduler.renewals_{direction}",
            "B/s",
            "workers",
            fleet,
            target.WORKERS,
            CONTROL_BYTES_PER_SECOND,
        )
    yield from _renewal_calls(costs[TASKS_PER_WORKER])


def _renewal_calls(cost: Renewals) -> Iterator[Figure]:
    busy = {n: n / RENEW_INTERVAL.total_seconds() for n in WORKER_SIZES}
    idle = {n: n / IDLE_INTERVAL.total_seconds() for n in WORKER_SIZES}
    for name, calls in (("with_tasks", busy), ("idle", idle)):
        yield from line_figures(
            f"scheduler.renewal_calls_{name}",
            "calls/s",
            "workers",
            calls,
            target.WORKERS,
        )
    share = {n: rate * cost.seconds * 100 for n, rate in busy.items()}
    yield from line_figures(
        "scheduler.renewals_core",
        "% of a core",
        "workers",
        share,
        target.WORKERS,
        CORE_PERCENT,
    )


async def _renewals(tasks: int) -> Renewals:
    """Renew over loopback; the processor time includes the server side."""
    ids = [f"{job_id_of('team-01', str(n))}.1" for n in range(tasks)]
    reports = [
        TaskReport(i, i[:-2], TaskState.RUNNING, 7, 1234.567, 3.25, 3 * GIB)
        for i in ids
    ]
    body = msgspec.json.encode(reports)
    cost = Renewals()
    client = HttpWorkerClient()
    async with _serving_fixed_response(
        HEADERS.format(len(body)).encode() + body, cost
    ) as address:
        await client.renew(address, 7, TASK_LEASE.total_seconds(), ids)
        cost.sent = cost.received = 0
        began = time.process_time()
        for _ in range(RENEWALS):
            outcome = await client.renew(address, 7, TASK_LEASE.total_seconds(), ids)
            assert isinstance(outcome, Done)
        cost.seconds = (time.process_time() - began) / RENEWALS
        await client.close()
    cost.sent //= RENEWALS
    cost.received //= RENEWALS
    return cost


@asynccontextmanager
async def _serving_fixed_response(
    response: bytes, cost: Renewals
) -> AsyncIterator[str]:
    """Serve a fixed response to each request and count the bytes."""

    async def serve(stream: SocketStream) -> None:
        pending = b""
        async with stream:
            async for data in stream:
                cost.sent += len(data)
                pending += data
                if pending.endswith(b"]}"):  # The list of task IDs ends the body.
                    pending = b""
                    cost.received += len(response)
                    await stream.send(response)

    async with anyio.create_task_group() as tasks:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        tasks.start_soon(listener.serve, serve)
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        yield f"127.0.0.1:{port}"
        tasks.cancel_scope.cancel()
