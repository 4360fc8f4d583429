"""Tests for partitions and membership of several daemons, in virtual time."""

from __future__ import annotations

from dataclasses import replace
from datetime import timedelta

import anyio
import pytest

from measurements.support.daemons import CapacityNode
from measurements.support.deployments import LILIM, executors_of, fleet_config
from measurements.support.virtual_time import LoopClock, run_virtual
from pomeloyard.allocation.loans import LIMIT, SLOTS, Resource
from pomeloyard.allocation.membership import Membership
from pomeloyard.allocation.partitions import PartitionTable
from pomeloyard.errors import StoreUnavailableError
from pomeloyard.fleet_state import DaemonRecord
from pomeloyard.follower import FleetFollower
from pomeloyard.keyvalue import layout
from pomeloyard.keyvalue.memory import MemoryStore
from pomeloyard.keyvalue.records import read_record
from pomeloyard.outcomes import Done
from pomeloyard.standins.platform import MemoryVmDirectory
from pomeloyard.vm_platform.directory import Vm, VmListState, VmRole

VM = "mill-e1"
LIMIT_OF_T1 = 40
REQUEST_TIMEOUT = 10


class DownStore:
    """Store whose every call fails as unavailable."""

    def __init__(self, store):
        self.calls = store.calls

    def __getattr__(self, name):
        async def unavailable(*arguments, **options):
            raise StoreUnavailableError(name)

        return unavailable


class Member:
    """One daemon's membership, capacity service and follower."""

    def __init__(self, fleet, name):
        config = fleet_config(LILIM, limit=LIMIT_OF_T1)
        fleet.started += 1
        self.node = CapacityNode(
            name, fleet.clock, config, LILIM.latency, fleet.started
        )
        self.name = self.node.incarnation
        state = self.node.state
        state.vm_list = replace(state.vm_list, vms_by_name=fleet.executors)
        record = DaemonRecord(self.name, name, "", "", "", "bulacan")
        capacity = self.node.capacity
        self.membership = Membership(
            fleet.store, fleet.clock, state, record, capacity.ledger, capacity.resources
        )
        self.follower = FleetFollower(fleet.store, fleet.directory, fleet.clock, state)
        self.follower.on_change.append(self._on_change)
        self.scope = anyio.CancelScope()

    def _on_change(self):
        self.node.capacity.on_state_change()
        self.membership.notify_partition_changes()

    async def run(self):
        with self.scope:
            async with anyio.create_task_group() as tasks:
                self.node.network.start(tasks)
                tasks.start_soon(self.follower.run)
                tasks.start_soon(self.follower.run_vm_list)
                tasks.start_soon(self.membership.run)
                tasks.start_soon(self.node.capacity.run)
                tasks.start_soon(self.node.capacity.run_retransmissions)


class Members:
    """Several members that share a store and a VM list."""

    def __init__(self, tasks):
        self.clock = LoopClock()
        self.store = MemoryStore(self.clock)
        self.executors = executors_of(LILIM)
        vms = list(self.executors.values())
        self.directory = MemoryVmDirectory(self.clock, vms)
        self.tasks = tasks
        self.running: list[Member] = []
        self.started = 0

    def start(self, name):
        member = Member(self, name)
        for other in self.running:
            other.node.network.others[member.name] = member.node.network
            member.node.network.others[other.name] = other.node.network
        self.running.append(member)
        self.list_vm(name, VmListState.LIVE)
        self.tasks.start_soon(member.run)
        return member

    def kill(self, member):
        self.running.remove(member)
        member.scope.cancel()
        for other in self.running:
            other.node.network.others.pop(member.name, None)

    def list_vm(self, name, state):
        vm = Vm(name, VmRole.ENTRY, "", "luzon", "bulacan", "r", "127.0.0.1:1", state)
        self.directory.put(vm)

    async def table(self):
        record = await read_record(self.store, layout.PARTITIONS, PartitionTable)
        return record.value

    def usable(self, resource):
        return sum(m.node.capacity.ledger.usable(resource) for m in self.running)


def in_virtual_time(check):
    async def program():
        async with anyio.create_task_group() as tasks:
            await check(Members(tasks))
            tasks.cancel_scope.cancel()

    run_virtual(program)


def test_partitions_are_divided_and_divided_again_when_a_daemon_joins():
    """Guards against capacity lost or counted twice as daemons join."""

    async def check(fleet):
        first = fleet.start("entry-1")
        await anyio.sleep(5)
        assert len((await fleet.table()).partitions_held_by(first.name)) == 18
        for number in range(2, 10):
            fleet.start(f"entry-{number}")
        await anyio.sleep(20)
        table = await fleet.table()
        assert {len(table.partitions_held_by(m.name)) for m in fleet.running} == {2}
        assert fleet.usable(Resource(SLOTS, VM)) == 8
        assert fleet.usable(Resource(LIMIT, "t1")) == LIMIT_OF_T1

    in_virtual_time(check)


@pytest.mark.parametrize("how", ["listed as gone", "unlisted", "restarted"])
def test_capacity_of_a_killed_daemon_returns_after_its_requests_have_ended(how):
    """Guards against reusing a unit while a killed daemon's request may still run."""

    async def check(fleet):
        members = [fleet.start(f"entry-{n}") for n in (1, 2, 3)]
        await anyio.sleep(10)
        assert fleet.usable(Resource(LIMIT, "t1")) == LIMIT_OF_T1
        fleet.kill(members[0])
        remaining = fleet.usable(Resource(LIMIT, "t1"))
        assert remaining < LIMIT_OF_T1
        await anyio.sleep(30)
        # Missing heartbeats alone must not return any capacity.
        assert fleet.usable(Resource(LIMIT, "t1")) == remaining
        if how == "listed as gone":
            fleet.list_vm("entry-1", VmListState.GONE)
        elif how == "unlisted":
            fleet.directory.remove("entry-1")
        else:
            fleet.start("entry-1")
        await anyio.sleep(REQUEST_TIMEOUT - 1)
        assert fleet.usable(Resource(LIMIT, "t1")) <= remaining
        await anyio.sleep(8)
        assert fleet.usable(Resource(LIMIT, "t1")) == LIMIT_OF_T1
        assert members[0].name not in (await fleet.table()).members

    in_virtual_time(check)


def test_a_daemon_that_leaves_hands_over_at_once():
    """Guards against capacity that stays unusable after a planned stop."""

    async def check(fleet):
        members = [fleet.start(f"entry-{n}") for n in (1, 2, 3)]
        await anyio.sleep(10)
        with anyio.fail_after(3):
            await members[0].membership.leave()
        fleet.kill(members[0])
        await anyio.sleep(5)
        table = await fleet.table()
        assert members[0].name not in table.members
        assert not any(p.holder not in table.members for p in table.partitions)
        assert fleet.usable(Resource(SLOTS, VM)) == 8

    in_virtual_time(check)


def test_units_lent_out_are_counted_after_the_lender_was_replaced():
    """Guards against a new holder reusing units that a borrower still uses."""

    async def check(fleet):
        members = [fleet.start(f"entry-{n}") for n in (1, 2, 3)]
        await anyio.sleep(10)
        busy = members[2]
        permits = []

        async def request():
            outcome = await busy.node.admission.acquire(
                "mill",
                "t1",
                deadline=timedelta(seconds=anyio.current_time() + 20),
                queue_length=1000,
            )
            if isinstance(outcome, Done):
                permits.append(outcome.value)

        for _ in range(60):
            fleet.tasks.start_soon(request)
        await anyio.sleep(5)
        assert len(permits) == LIMIT_OF_T1  # One daemon has borrowed all units.
        fleet.kill(members[0])
        fleet.list_vm("entry-1", VmListState.GONE)
        await anyio.sleep(30)
        assert len(permits) == LIMIT_OF_T1
        others = [m.node.capacity for m in fleet.running if m is not busy]
        assert sum(c.ledger.usable(Resource(LIMIT, "t1")) for c in others) == 0

    in_virtual_time(check)


def test_unlisted_daemon_stops_admitting_before_others_take_it_as_gone():
    """Guards against a unit used twice when a daemon is cut off from the store.

    The others reuse its units after the absence timeout; it must have stopped
    admitting before.
    """

    async def check(fleet):
        members = [fleet.start(f"entry-{n}") for n in (1, 2)]
        for name in ("entry-1", "entry-2"):
            fleet.directory.remove(name)
        await anyio.sleep(10)
        cut_off, other = members
        assert cut_off.membership.can_admit()
        cut_off.membership._store = DownStore(fleet.store)
        lost_at = anyio.current_time()
        while cut_off.membership.can_admit():
            await anyio.sleep(1)
            assert anyio.current_time() < lost_at + 60
            assert fleet.usable(Resource(LIMIT, "t1")) == LIMIT_OF_T1
        stopped_at = anyio.current_time()
        while other.node.capacity.ledger.usable(Resource(LIMIT, "t1")) < LIMIT_OF_T1:
            await anyio.sleep(1)
        # The last request it admitted before stopping must have ended by now.
        assert anyio.current_time() >= stopped_at + REQUEST_TIMEOUT

    in_virtual_time(check)
