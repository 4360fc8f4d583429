"""Daemons of the build in production beside those of the working tree.

Both run as real processes on one store, with the soak's executors. The build in
production is unpacked from the repository's history, as the deploy file names it.
"""

from __future__ import annotations

import json
import signal
from contextlib import AsyncExitStack, asynccontextmanager

import anyio
import msgspec
import pytest

from pomeloyard.batch import layout
from pomeloyard.batch.progress_records import CrashRecord, RunRecord
from pomeloyard.platform.http import HttpClient
from pomeloyard.serving import serving
from tests.soak.platform_standin import CRASHES_BEFORE_LIMIT
from tests.soak.soak_run import ROOT, Soak, check_out_production, crashes, run_seed

pytestmark = pytest.mark.anyio

STATE_LIMIT_S = 45.0
"""The longest wait for the leases of a silent executor, 29.9 s, and a margin for a
machine that is busy."""


@pytest.fixture
def anyio_backend():
    return "asyncio"


class Upgrade(Soak):
    """Daemons of two builds without random faults."""

    @classmethod
    @asynccontextmanager
    async def running(cls, seed, folder, first):
        """Start daemons of a build; end all at exit and check for violations."""
        soak = cls(seed, 0, folder, [first])
        async with AsyncExitStack() as stack:
            soak.tasks = await stack.enter_async_context(anyio.create_task_group())
            soak.caller = HttpClient()
            stack.push_async_callback(soak.caller.close)
            platform = soak.platform
            store = await stack.enter_async_context(serving(platform.store_app()))
            vms = await stack.enter_async_context(serving(platform.vm_app()))
            await platform.publish()
            await soak.start_executors(stack, soak.tasks)
            try:
                await soak.start_daemons(stack, store, vms)
                yield soak
            finally:
                for daemon in soak.daemons:
                    daemon.end()
                soak.tasks.cancel_scope.cancel()
        assert soak.audit.violations == []

    async def replace_all(self, build):
        """Replace the daemons one after the other by those of a build."""
        for daemon in self.daemons:
            daemon.root = build
            daemon.signal(signal.SIGTERM)
            await self.restart(daemon, 0.1)
        with anyio.fail_after(STATE_LIMIT_S):
            for daemon in self.daemons:
                while not await self.is_ready(daemon):
                    await anyio.sleep(0.1)

    async def submit(self, job, *, ms=300, count=3, deadly=False, gang=False):
        spec = {"cpu": 400, "ms": ms, "deadly": deadly}
        step = {"count": count, "cpu": 400, "mem_mb": 10, "est_ms": ms, "gang": gang}
        body = json.dumps({"task_spec": json.dumps(spec), "steps": [step]}).encode()
        if deadly:
            self.audit.deadly_jobs.add(job)
        with anyio.fail_after(STATE_LIMIT_S):
            while await self.call("POST", job, "key-a", body) != 200:
                await anyio.sleep(0.2)

    async def wait_for_state(self, job, state):
        with anyio.fail_after(STATE_LIMIT_S):
            while self.states_by_job.get(job) != state:
                await self.call("GET", job, "key-a")
                await anyio.sleep(0.1)

    async def wait_for_crashes(self, task, count):
        with anyio.fail_after(STATE_LIMIT_S):
            while self.audit.crashes[task] < count:
                await anyio.sleep(0.02)

    async def record(self, prefix, job, kind):
        entry = await self.platform.memory.get(prefix + job)
        return None if entry is None else msgspec.msgpack.decode(entry.value, type=kind)


@pytest.fixture(scope="module")
def production(tmp_path_factory):
    return check_out_production(tmp_path_factory.mktemp("build"))


async def test_a_new_build_ends_a_deadly_task_that_an_old_one_started(
    production, tmp_path
):
    job, task = f"{1:016x}", f"{1:016x}.0.0.0"
    async with Upgrade.running(900, tmp_path, production) as soak:
        soak.audit.count_starts_of_deadly = False
        await soak.submit(job, deadly=True)
        await soak.wait_for_crashes(task, 2)
        await soak.replace_all(ROOT)
        before = soak.audit.crashes[task]
        soak.audit.count_starts_of_deadly = True
        await soak.wait_for_state(job, "failed")
        assert soak.audit.crashes[task] - before <= 2
        await soak.submit(f"{2:016x}")
        await soak.wait_for_state(f"{2:016x}", "completed")


async def test_an_old_build_keeps_the_crashes_that_a_new_one_has_stored(
    production, tmp_path
):
    job, task = f"{1:016x}", f"{1:016x}.0.0.0"
    async with Upgrade.running(901, tmp_path, ROOT) as soak:
        soak.audit.count_starts_of_deadly = False
        await soak.submit(job, deadly=True)
        with anyio.fail_after(STATE_LIMIT_S):
            while await soak.record(layout.CRASHES, job, CrashRecord) is None:
                await anyio.sleep(0.02)
        # All of the new build end before any of the old one starts, so that it is sure
        # to hold the role.
        for daemon in soak.daemons:
            daemon.end()
            daemon.root = production
        crashes = await soak.record(layout.CRASHES, job, CrashRecord)
        before = soak.audit.crashes[task]
        for daemon in soak.daemons:
            daemon.start()
        await soak.wait_for_crashes(task, before + 1)
        with anyio.fail_after(STATE_LIMIT_S):
            while (await soak.record(layout.RUNS, job, RunRecord)).counts_crashes:
                await anyio.sleep(0.02)
        assert await soak.record(layout.CRASHES, job, CrashRecord) == crashes
        await soak.submit(f"{2:016x}")
        await soak.wait_for_state(f"{2:016x}", "completed")
        await soak.replace_all(ROOT)
        before = soak.audit.crashes[task]
        await soak.wait_for_state(job, "failed")
        assert soak.audit.crashes[task] - before <= CRASHES_BEFORE_LIMIT - 1
        await soak.call("GET", f"{2:016x}", "key-a")
        assert soak.states_by_job[f"{2:016x}"] == "completed"


@pytest.mark.parametrize("to_new", [True, False], ids=["old-to-new", "new-to-old"])
async def test_work_survives_while_builds_are_replaced(production, tmp_path, to_new):
    first, last = (production, ROOT) if to_new else (ROOT, production)
    async with Upgrade.running(902 + to_new, tmp_path, first) as soak:
        jobs = [f"{number:016x}" for number in range(1, 9)]
        for number, job in enumerate(jobs):
            await soak.submit(job, ms=300 + 1500 * (number % 2), count=1 + number % 4)
        cancelled = f"{20:016x}"
        await soak.submit(cancelled, ms=60_000)
        await soak.call("DELETE", cancelled, "key-a")
        await soak.replace_all(last)
        for job in jobs:
            await soak.wait_for_state(job, "completed")
        await soak.wait_for_state(cancelled, "cancelled")


def traceback_of(path, error):
    frame = f'  File "{path}/src/pomeloyard/platform/caller_app.py", line 1, in call'
    return f"Traceback (most recent call last):\n{frame}\n    call()\n{error}\n"


def test_only_calls_that_the_build_in_production_cancels_are_passed_over():
    """A cancelled call of the tree, or another error of either build, is an EXIT."""
    cancelled = "asyncio.exceptions.CancelledError"
    assert crashes(traceback_of("/x/production", cancelled)) == []
    assert len(crashes(traceback_of("/x", cancelled))) == 1
    assert len(crashes(traceback_of("/x/production", "ValueError: odd"))) == 1


@pytest.mark.parametrize("seed", [400, 401], ids=["old-to-new", "new-to-old"])
async def test_guarantees_hold_while_builds_are_replaced_under_faults(seed):
    violations, counts = await run_seed(seed, 8.0, upgrade=True)
    assert violations == [], counts
