"""A holder of the placing role that is cut off, beside its successor and in outages.

Guards against a task that runs twice (review/6): a holder whose store calls failed at
once kept its role for ever and renewed the leases at an executor that only it reached,
while its successor started the tasks again elsewhere.
"""

from __future__ import annotations

from contextlib import asynccontextmanager
from datetime import timedelta

import anyio
import pytest

from pomeloyard.batch.executor_link import CLOCK_DRIFT_FACTOR, MAX_UNCONFIRMED
from pomeloyard.batch.executor_registry import ExecutorRegistry
from pomeloyard.batch.executors import Executor, ExecutorClient, StartOrder
from pomeloyard.batch.model import NO_RESOURCES, StepSpec
from pomeloyard.batch.placing import ROLE, ROLE_TIMES, PlacingRole
from pomeloyard.batch.placing_term import PlacingTerm
from pomeloyard.clock import Clock
from pomeloyard.errors import (
    CallNotPermittedError,
    CallNotSentError,
    StoreUnavailableError,
)
from pomeloyard.keyvalue.store import PollingStore
from pomeloyard.platform.executors import PlatformExecutors
from pomeloyard.platform.vms import PlatformVms
from pomeloyard.roles import RoleCandidate

from .support.batch_world import RegistrationDocuments, World, configuration
from .support.job_fakes import STEP, settle

pytestmark = pytest.mark.anyio

CALL_TIMEOUT = timedelta(seconds=0.35)
"""The shortest time-out of a call to the store, MIN_CALL_TIMEOUT of its client."""
LATE_CALLS = timedelta(seconds=12) + timedelta(seconds=10) * CLOCK_DRIFT_FACTOR
"""A late order takes effect, and the longest lease that it gives ends."""


@pytest.fixture
def anyio_backend():
    return "asyncio"


class SlowClock(Clock):
    """A clock that runs slow by the drift that is allowed for."""

    def __init__(self, shared):
        self._shared = shared

    def now(self):
        return self._shared.now()

    def monotonic(self):
        return self._shared.monotonic() / CLOCK_DRIFT_FACTOR

    async def sleep(self, delay):
        await self._shared.sleep(delay * CLOCK_DRIFT_FACTOR)


class SideStore(PollingStore):
    """One daemon's way to the store, which fails as ``fault`` says."""

    def __init__(self, world):
        self._world = world
        self.calls = world.store.calls
        self.fault = ""

    async def _check(self, method):
        if self.fault == "refused":
            raise StoreUnavailableError("refused")
        if self.fault == "silent":
            await self._world.clock.sleep(CALL_TIMEOUT)
            raise StoreUnavailableError("silent")
        if self.fault == "renewals" and method == "keep_lease_alive":
            raise StoreUnavailableError("only renewals are refused")

    async def get(self, key):
        await self._check("get")
        return await self._world.store.get(key)

    async def scan(self, prefix, *, start="", limit=1000):
        await self._check("scan")
        return await self._world.store.scan(prefix, start=start, limit=limit)

    async def commit(self, transaction):
        await self._check("commit")
        return await self._world.store.commit(transaction)

    async def grant_lease(self, ttl):
        await self._check("grant_lease")
        return await self._world.store.grant_lease(ttl)

    async def keep_lease_alive(self, lease):
        await self._check("keep_lease_alive")
        return await self._world.store.keep_lease_alive(lease)

    async def revoke_lease(self, lease):
        await self._check("revoke_lease")
        await self._world.store.revoke_lease(lease)

    async def poll_changes(self, prefix, after_revision, wait):
        await self._check("poll_changes")
        return await self._world.store.poll_changes(prefix, after_revision, wait)

    def watch(self, prefix, *, from_revision):
        return self._world.store.watch(prefix, from_revision=from_revision)


class SideExecutors(ExecutorClient):
    """One daemon's way to the executors; it does not reach ``unreachable``."""

    def __init__(self, daemon, permitted):
        self._daemon, self._permitted = daemon, permitted
        self._inner = daemon.world.client

    def _check(self, executor):
        if executor.executor_id in self._daemon.unreachable:
            raise CallNotSentError("cut off")
        if not self._permitted():
            raise CallNotPermittedError("no longer permitted")
        self._daemon.last_sent_at = self._daemon.world.clock.monotonic()

    async def start(self, executor, order, timeout, permitted):
        self._check(executor)
        return await self._inner.start(executor, order, timeout, permitted)

    async def stop(self, executor, task, run, fence, timeout):
        self._check(executor)
        await self._inner.stop(executor, task, run, fence, timeout)

    async def poll(self, executor, **options):
        self._check(executor)
        return await self._inner.poll(executor, **options)

    async def limit_cpu(self, executor, task, run, percent, fence, timeout):
        self._check(executor)
        await self._inner.limit_cpu(executor, task, run, percent, fence, timeout)


class Daemon:
    """A candidate for the placing role with its own ways to store and executors."""

    def __init__(self, world, name, clock):
        self.world, self.clock = world, clock
        self.store = SideStore(world)
        self.unreachable = set()
        self.last_sent_at = timedelta(0)
        self.role = PlacingRole(self._new_term)
        self.candidate = RoleCandidate(
            self.store, clock, ROLE, name, self.role.run, ROLE_TIMES
        )

    def _new_term(self, held, guard):
        world = self.world
        registry = ExecutorRegistry(self.clock, self.store, RegistrationDocuments())
        return PlacingTerm(
            self.clock,
            self.store,
            world.follower,
            registry,
            SideExecutors(self, held.still_held),
            world.decision_log,
            held,
            guard,
            timedelta(seconds=60),
        )


class Bench:
    """Two daemons and two executors."""

    def __init__(self, slow=False):
        world = self.world = World()
        self.daemons = [
            Daemon(world, "d0", SlowClock(world.clock) if slow else world.clock)
        ]

    @asynccontextmanager
    async def running(self):
        world = self.world
        await world.publish(configuration())
        for fake in world.fake_executors:
            await world.put(f"executors/{fake.executor.executor_id}", fake.executor)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(world.follower.run)
            await settle()
            tasks.start_soon(self.daemons[0].candidate.run)
            await self.run_for(1)
            self.daemons.append(Daemon(world, "d1", world.clock))
            tasks.start_soon(self.daemons[1].candidate.run)
            await self.run_for(0.5)
            try:
                yield
            finally:
                tasks.cancel_scope.cancel()
                # A holder that leaves ends its lease, which may wait for the clock.
                self.set_fault("")
                with anyio.CancelScope(shield=True):
                    await self.run_for(1)
        assert world.client.violations == [], world.client.violations

    async def run_for(self, seconds, until=None):
        for _ in range(round(seconds / STEP.total_seconds())):
            self.world.store.expire()
            if await self.world.run_for(STEP.total_seconds(), until):
                return True
        return False

    def set_fault(self, fault):
        """Let all daemons' calls to the store fail, or none with ""."""
        for daemon in self.daemons:
            daemon.store.fault = fault
        self.world.store.down = bool(fault)

    def running_tasks(self):
        for fake in self.world.fake_executors:
            fake.advance()
        return [
            (task, run.run, fake.executor.executor_id)
            for fake in self.world.fake_executors
            for task, run in fake.runs.items()
        ]


LASTING = StepSpec(2, 1000, 100, lasting=True)


@pytest.mark.parametrize("slow", [False, True])
@pytest.mark.parametrize("fault", ["refused", "silent", "renewals"])
async def test_a_holder_without_confirmation_sends_nothing_after_a_bounded_time(
    fault, slow
):
    """Guards against leases that are renewed while the successor starts the task."""
    bench = Bench(slow)
    world = bench.world
    async with bench.running():
        first, second = bench.daemons
        await world.submit("a1", StepSpec(1, 1000, 100, lasting=True))
        await bench.run_for(3)
        ((task, run, own),) = bench.running_tasks()
        (other,) = {"e-0", "e-1"} - {own}
        assert first.role.term is not None
        first.unreachable, second.unreachable = {other}, {own}
        first.store.fault = fault
        cut_at = world.clock.monotonic()
        assert await bench.run_for(3, lambda: second.role.term is not None)
        taken_at = world.clock.monotonic()
        again = (task, run + 1, other)
        bound = MAX_UNCONFIRMED * CLOCK_DRIFT_FACTOR
        await bench.run_for((bound + LATE_CALLS).total_seconds() - 0.1)
        assert again not in world.client.started
        assert first.last_sent_at <= cut_at + bound
        assert await bench.run_for(2, lambda: again in world.client.started)
        assert world.clock.monotonic() > taken_at + bound + LATE_CALLS - STEP
        await bench.run_for(30)
        assert bench.running_tasks() == [again]


@pytest.mark.parametrize("fault", ["refused", "silent"])
@pytest.mark.parametrize("offset", [0, 0.35, 0.7, 1.05, 1.4])
async def test_tasks_survive_an_outage_of_10_seconds(fault, offset):
    """Guards against a bound below what an outage for all daemons takes."""
    bench = Bench()
    world = bench.world
    async with bench.running():
        await world.submit("a1", LASTING)
        await bench.run_for(3 + offset)
        before = bench.running_tasks()
        assert len(before) == 2
        bench.set_fault(fault)
        await bench.run_for(10)
        bench.set_fault("")
        await bench.run_for(10)
        assert bench.running_tasks() == before


async def test_tasks_start_again_once_after_a_long_outage():
    """Guards against a daemon that keeps its role, or none that takes it."""
    bench = Bench()
    world = bench.world
    async with bench.running():
        await world.submit("a1", LASTING)
        await bench.run_for(3)
        bench.set_fault("refused")
        await bench.run_for(60)
        assert bench.running_tasks() == []
        assert all(daemon.role.term is None for daemon in bench.daemons)
        bench.set_fault("")
        await bench.run_for(10)
        assert sorted(run for _, run, _ in bench.running_tasks()) == [2, 2]


class PermittedClient:
    """Sends what is permitted, and records it."""

    def __init__(self):
        self.sent = []

    async def request(self, method, address, target, *args):
        permitted = next(arg for arg in args if callable(arg))
        if not permitted():
            raise CallNotPermittedError("no longer permitted")
        self.sent.append(target)
        raise CallNotSentError("recorded")


@pytest.mark.parametrize("held", [False, True])
async def test_no_order_is_sent_once_the_role_is_not_held(held):
    """Guards against a kind of order that does not ask whether the role is held."""
    client = PermittedClient()
    executors = PlatformExecutors(client, lambda: held)
    vms = PlatformVms(client, "vms:1", lambda: held)
    executor = Executor("e", "e:1", "mill", "z", NO_RESOURCES, (), False, 1)
    order = StartOrder("t", 1, "", "", STEP, 1, "")
    for call in (
        executors.start(executor, order, STEP),
        executors.stop(executor, "t", 1, 1, STEP),
        executors.limit_cpu(executor, "t", 1, 50, 1, STEP),
        executors.poll(
            executor, fence=1, acknowledged=0, lease_until=STEP, wait=STEP, timeout=STEP
        ),
        vms.move("v", "spare", "d", 1),
        vms.maintain("v", 1, "d", 1),
    ):
        with pytest.raises(CallNotSentError if held else CallNotPermittedError):
            await call
    assert len(client.sent) == (6 if held else 0)
