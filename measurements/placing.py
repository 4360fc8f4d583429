"""Processor time and delay of the placing daemon in a peak of a large deployment.

The term, its links and its HTTP client are real. Executors run in separate processes
and the store is in memory, so that only placing is measured.
"""

from __future__ import annotations

import contextlib
import json
import subprocess
import sys
import time
from collections.abc import Iterable, Iterator
from contextlib import ExitStack
from dataclasses import dataclass
from datetime import UTC, datetime, timedelta

import anyio
import msgspec

from measurements.figures import Figure, at_most
from pomeloyard.batch import layout
from pomeloyard.batch.configuration_follower import ConfigurationFollower
from pomeloyard.batch.decision_log import JobDecisionLog
from pomeloyard.batch.executor_registry import ExecutorRegistry
from pomeloyard.batch.executors import Executor
from pomeloyard.batch.model import JobRecord, JobSpec, JobState, Resources, StepSpec
from pomeloyard.batch.placing_term import PlacingTerm
from pomeloyard.clock import Clock, SystemClock
from pomeloyard.keyvalue.memory import MemoryStore
from pomeloyard.keyvalue.store import Compare, Put, Transaction
from pomeloyard.logs import LogWriter
from pomeloyard.platform.executors import PlatformExecutors
from pomeloyard.platform.http import HttpClient
from pomeloyard.roles import HeldRole
from tests.support.batch_world import (
    QUEUE,
    TEAM,
    ConfigDocuments,
    RegistrationDocuments,
    configuration,
)

SITE = "large"
EXECUTORS = 276
"""Executors of the large deployment; the pool at its peak has 105 of them."""
POOL = 105
EXECUTOR_PROCESSES = 3
LONG_RUNNING_JOBS = 5
LONG_RUNNING = StepSpec(24, 2400, 1000, lasting=True)
PEAK_SECONDS = 6.0
JOBS_PER_SECOND = 50
STEPS = (
    StepSpec(8, 2300, 1000, estimate_ms=640),
    StepSpec(8, 2300, 1000, estimate_ms=640, after=(0,)),
)
"""A quote in the large deployment has 1.6 steps of 8 tasks with 2.3 cores each."""
START_BOUND_MS = 300.0
"""Target for 95 of 100 first starts on the large deployment's quiet day."""
CORE_BOUND = 0.5
"""Share of a core in the busiest second of any daemon on that day."""


TAKEOVER_BOUND_SECONDS = 3.0
"""From a kill to the successor's first start, including 1.5 s for the lease and 0.2 s
for polling and acquiring the role."""
LEASE_SECONDS = 1.7


@dataclass(frozen=True, slots=True)
class Peak:
    """Cost of one peak, and of a change of term during the next."""

    tasks: int
    busy_seconds: float
    busiest_second: float
    first_starts_ms: tuple[float, ...]
    takeover_seconds: float
    takeover_busy_seconds: float


def measure() -> Iterable[Figure]:
    """Return the figures of one peak and of a change of term during the next."""
    with executor_processes() as addresses:
        peak = anyio.run(_peak, addresses)
    each = peak.busy_seconds / peak.tasks * 1000
    yield Figure("processor time of a task in a peak", each, "ms", None, None, SITE)
    busiest = peak.busiest_second
    yield at_most("busiest second", busiest, "core", CORE_BOUND, SITE)
    p95 = sorted(peak.first_starts_ms)[int(len(peak.first_starts_ms) * 0.95)]
    yield at_most("95 of 100 first starts", p95, "ms", START_BOUND_MS, SITE)
    name = "new term until its first start"
    bound = TAKEOVER_BOUND_SECONDS - LEASE_SECONDS
    yield at_most(name, peak.takeover_seconds, "s", bound, SITE)
    name = "processor time of a new term until then"
    yield Figure(name, peak.takeover_busy_seconds, "s", None, None, SITE)


class _FirstStartRecorder(JobDecisionLog):
    """Records the age of each job when its first task was placed."""

    def __init__(self, clock: Clock, writer: LogWriter, daemon: str) -> None:
        super().__init__(clock, writer, daemon)
        self.first_start_ms_by_job: dict[str, float] = {}
        self.prefix = "j"
        """Prefix of the job IDs to record."""

    def record(
        self, kind: str, subject: str, outcome: str, **inputs: str | int | float | bool
    ) -> None:
        if kind == "place" and subject.startswith(self.prefix):
            job_id = subject.partition(".")[0]
            self.first_start_ms_by_job.setdefault(job_id, float(inputs["age_ms"]))
        super().record(kind, subject, outcome, **inputs)


@contextlib.contextmanager
def executor_processes() -> Iterator[list[str]]:
    """Start the executor processes and yield the executors' addresses."""
    command = [sys.executable, "-m", "measurements.support.executor_standin"]
    with ExitStack() as stack:
        addresses: list[str] = []
        for _ in range(EXECUTOR_PROCESSES):
            process = stack.enter_context(
                subprocess.Popen(
                    [*command, str(EXECUTORS // EXECUTOR_PROCESSES)],
                    stdin=subprocess.PIPE,
                    stdout=subprocess.PIPE,
                    text=True,
                )
            )
            assert process.stdout is not None
            ports = json.loads(process.stdout.readline())
            addresses += [f"127.0.0.1:{port}" for port in ports]
        yield addresses


async def _peak(addresses: list[str]) -> Peak:
    clock = SystemClock()
    store = MemoryStore(clock)
    follower = ConfigurationFollower(clock, store, ConfigDocuments())
    recorder = _FirstStartRecorder(clock, LogWriter(clock), "measured")
    await _put(store, "op/config", configuration())
    for number, address in enumerate(addresses):
        service = "mill" if number < POOL else f"other-{number % 3}"
        rack = f"r{number // 20}"
        capacity = Resources(16_000, 64_000, 0)
        executor_id = f"e{number:04}"
        executor = Executor(
            executor_id, address, service, "z", capacity, ("a", rack), False, 1, rack
        )
        await _put(store, f"executors/{executor_id}", executor)
    term = await _new_term(clock, store, follower, recorder, 1)
    busiest = 0.0
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(follower.run)
        tasks.start_soon(term.run)
        for number in range(LONG_RUNNING_JOBS):
            await _submit(store, f"l{number}", "lasts", (LONG_RUNNING,))
        await anyio.sleep(3)
        began = time.process_time()
        steps = int(PEAK_SECONDS * 10)
        second_start = began
        for step in range(steps):
            for number in range(JOBS_PER_SECOND // 10):
                await _submit(store, f"j{step}x{number}", "short", STEPS)
            await anyio.sleep(0.1)
            if step % 10 == 9:
                used = time.process_time()
                busiest = max(busiest, used - second_start)
                second_start = used
        short = [job for job in term.jobs_by_id.values() if not job.lasting]
        while any(job.state is not JobState.COMPLETED for job in short):
            await anyio.sleep(0.1)
        busy = time.process_time() - began
        first_starts = tuple(recorder.first_start_ms_by_job.values())
        for number in range(JOBS_PER_SECOND):
            await _submit(store, f"t{number}", "short", STEPS)
        term.end_term("superseded by the next term of the measurement")
        successor = await _new_term(clock, store, follower, recorder, 2)
        recorder.first_start_ms_by_job.clear()
        recorder.prefix = "t"
        began_at, began = time.monotonic(), time.process_time()
        tasks.start_soon(successor.run)
        while not recorder.first_start_ms_by_job:
            await anyio.sleep(0.005)
        takeover = time.monotonic() - began_at
        takeover_busy = time.process_time() - began
        tasks.cancel_scope.cancel()
    task_count = sum(step.count for step in STEPS) * len(short)
    return Peak(task_count, busy, busiest, first_starts, takeover, takeover_busy)


async def _new_term(
    clock: Clock,
    store: MemoryStore,
    follower: ConfigurationFollower,
    recorder: JobDecisionLog,
    epoch: int,
) -> PlacingTerm:
    await _put(store, "epochs/placing", epoch)
    entry = await store.get("epochs/placing")
    assert entry is not None
    return PlacingTerm(
        clock,
        store,
        follower,
        ExecutorRegistry(clock, store, RegistrationDocuments()),
        PlatformExecutors(HttpClient(3)),
        recorder,
        HeldRole(epoch, entry.mod_revision, clock.monotonic()),
        Compare("epochs/placing", entry.mod_revision),
        timedelta(seconds=60),
    )


async def _submit(
    store: MemoryStore, job_id: str, payload: str, steps: tuple[StepSpec, ...]
) -> None:
    spec = JobSpec(payload, steps)
    record = JobRecord(QUEUE.name, TEAM.name, spec, datetime.now(UTC), "w", QUEUE)
    await _put(store, layout.JOBS + job_id, record)


async def _put(store: MemoryStore, key: str, value: object) -> None:
    content = msgspec.msgpack.encode(value)
    await store.commit(Transaction((), (Put(key, content),)))
