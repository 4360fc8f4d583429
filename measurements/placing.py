"""The placing daemon in a peak of a large deployment: processor time and delay.

The term, its links and its HTTP client are real; executors are processes of their own
and the store is in memory, so that what is measured is placing alone.
"""

from __future__ import annotations

import contextlib
import json
import subprocess
import sys
import time
from collections.abc import Iterable, Iterator
from contextlib import ExitStack
from datetime import UTC, datetime, timedelta

import anyio
import msgspec

from measurements.figures import Figure, at_most
from pomeloyard.batch import layout
from pomeloyard.batch.decisions import DecisionLines
from pomeloyard.batch.executors import Executor
from pomeloyard.batch.follow import OperatorFollower
from pomeloyard.batch.model import JobRecord, JobSpec, JobState, Resources, StepSpec
from pomeloyard.batch.registry import ExecutorRegistry
from pomeloyard.batch.term import PlacingTerm
from pomeloyard.clock import Clock, SystemClock
from pomeloyard.keyvalue.memory import MemoryStore
from pomeloyard.keyvalue.store import Compare, Put, Transaction
from pomeloyard.logs import LogWriter
from pomeloyard.platform.executors import PlatformExecutors
from pomeloyard.platform.http import HttpCaller
from pomeloyard.roles import HeldRole
from tests.support.batch_world import (
    QUEUE,
    TEAM,
    ConfigDocuments,
    RegistrationDocuments,
    configuration,
)

EXECUTORS = 276
"""Of the large deployment; the pool in its peak has 105 of them."""
POOL = 105
YARD_PROCESSES = 3
LASTING_JOBS = 5
LASTING = StepSpec(24, 2400, 1000, lasting=True)
PEAK_SECONDS = 6.0
JOBS_PER_SECOND = 50
STEPS = (
    StepSpec(8, 2300, 1000, estimate_ms=640),
    StepSpec(8, 2300, 1000, estimate_ms=640, after=(0,)),
)
"""A quote of the large deployment has 1.6 steps of 8 tasks of 2.3 cores."""
START_BOUND_MS = 300.0
"""95 of 100 first starts on the large quiet day."""
CORE_BOUND = 0.5
"""Of a core in the busiest second of any daemon there."""


def measure() -> Iterable[Figure]:
    """Return the figures of one peak."""
    with yards() as addresses:
        figures = anyio.run(_peak, addresses)
    tasks, busy, busiest, first_starts = figures
    name = "large"
    each = busy / tasks * 1000
    yield Figure("processor time of a task in a peak", each, "ms", None, None, name)
    yield at_most("busiest second", busiest, "core", CORE_BOUND, name)
    late = sorted(first_starts)[int(len(first_starts) * 0.95)]
    yield at_most("95 of 100 first starts", late, "ms", START_BOUND_MS, name)


class _Lines(DecisionLines):
    """Notes how old each job was when its first task was placed."""

    def __init__(self, clock: Clock, writer: LogWriter, daemon: str) -> None:
        super().__init__(clock, writer, daemon)
        self.first_start_ms_by_job: dict[str, float] = {}

    def decided(
        self, kind: str, subject: str, outcome: str, **inputs: str | int | float | bool
    ) -> None:
        if kind == "place" and subject.startswith("j"):
            job_id = subject.partition(".")[0]
            self.first_start_ms_by_job.setdefault(job_id, float(inputs["age_ms"]))
        super().decided(kind, subject, outcome, **inputs)


@contextlib.contextmanager
def yards() -> Iterator[list[str]]:
    """Start the executors' processes and return the executors' addresses."""
    command = [sys.executable, "-m", "measurements.support.executor_yard"]
    with ExitStack() as stack:
        addresses: list[str] = []
        for _ in range(YARD_PROCESSES):
            process = stack.enter_context(
                subprocess.Popen(
                    [*command, str(EXECUTORS // YARD_PROCESSES)],
                    stdin=subprocess.PIPE,
                    stdout=subprocess.PIPE,
                    text=True,
                )
            )
            assert process.stdout is not None
            ports = json.loads(process.stdout.readline())
            addresses += [f"127.0.0.1:{port}" for port in ports]
        yield addresses


async def _peak(addresses: list[str]) -> tuple[int, float, float, list[float]]:
    clock = SystemClock()
    store = MemoryStore(clock)
    follower = OperatorFollower(clock, store, ConfigDocuments())
    lines = _Lines(clock, LogWriter(clock), "measured")
    await _put(store, "op/config", configuration())
    for number, address in enumerate(addresses):
        service = "mill" if number < POOL else f"other-{number % 3}"
        rack = f"r{number // 20}"
        room = Resources(16_000, 64_000, 0)
        executor_id = f"e{number:04}"
        executor = Executor(
            executor_id, address, service, "z", room, ("a", rack), False, 1, rack
        )
        await _put(store, f"executors/{executor_id}", executor)
    await _put(store, "epochs/placing", 1)
    entry = await store.get("epochs/placing")
    assert entry is not None
    term = PlacingTerm(
        clock,
        store,
        follower,
        ExecutorRegistry(clock, store, RegistrationDocuments()),
        PlatformExecutors(HttpCaller(3)),
        lines,
        HeldRole(1, entry.mod_revision, clock.monotonic()),
        Compare("epochs/placing", entry.mod_revision),
        timedelta(seconds=60),
    )
    busiest = 0.0
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(follower.run)
        tasks.start_soon(term.run)
        for number in range(LASTING_JOBS):
            await _submit(store, f"l{number}", "lasts", (LASTING,))
        await anyio.sleep(3)
        began = time.process_time()
        steps = int(PEAK_SECONDS * 10)
        second_began = began
        for step in range(steps):
            for number in range(JOBS_PER_SECOND // 10):
                await _submit(store, f"j{step}x{number}", "short", STEPS)
            await anyio.sleep(0.1)
            if step % 10 == 9:
                used = time.process_time()
                busiest = max(busiest, used - second_began)
                second_began = used
        short = [job for job in term.jobs_by_id.values() if not job.lasting]
        while any(job.state is not JobState.COMPLETED for job in short):
            await anyio.sleep(0.1)
        busy = time.process_time() - began
        tasks.cancel_scope.cancel()
    done = sum(step.count for step in STEPS) * len(short)
    return done, busy, busiest, list(lines.first_start_ms_by_job.values())


async def _submit(
    store: MemoryStore, job_id: str, payload: str, steps: tuple[StepSpec, ...]
) -> None:
    spec = JobSpec(payload, steps)
    record = JobRecord(QUEUE.name, TEAM.name, spec, datetime.now(UTC), "w", QUEUE)
    await _put(store, layout.JOBS + job_id, record)


async def _put(store: MemoryStore, key: str, value: object) -> None:
    content = msgspec.msgpack.encode(value)
    await store.commit(Transaction((), (Put(key, content),)))
