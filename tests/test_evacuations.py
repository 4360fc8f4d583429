"""Evacuated availability zones: what the copy says, and what is started meanwhile."""

from __future__ import annotations

from dataclasses import replace
from datetime import timedelta

import anyio
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pomeloyard.batch import layout
from pomeloyard.batch.evacuations import (
    DEFAULT_EVACUATION_BOUND,
    ZoneEvacuations,
    ZoneGate,
    ZoneState,
)
from pomeloyard.batch.model import StepSpec, Wave
from pomeloyard.batch.pool_scaling import IdleVm, Move, PoolLoad, choose_moves
from pomeloyard.keyvalue.store import Page

from .support.batch_world import World, configuration
from .support.job_fakes import settle

pytestmark = pytest.mark.anyio
SECOND = timedelta(seconds=1)
SIX_TASKS = StepSpec(6, 500, 100, estimate_ms=1000)


@pytest.fixture
def anyio_backend():
    return "asyncio"


def zones_started_in(world, first=0):
    zone_by_id = {
        fake.executor.executor_id: fake.executor.availability_zone
        for fake in world.fake_executors
    }
    return {zone_by_id[where] for _, _, where in world.client.started[first:]}


# The copy of the evacuations


def test_a_change_older_than_the_last_one_of_its_zone_is_ignored():
    evacuations = ZoneEvacuations()
    assert evacuations.apply("a", 5, evacuated=True)
    assert evacuations.apply("a", 8, evacuated=False)
    assert not evacuations.apply("a", 5, evacuated=True)
    assert evacuations.zones == frozenset()


def test_a_second_evacuation_of_a_zone_changes_nothing():
    evacuations = ZoneEvacuations()
    evacuations.apply("a", 5, evacuated=True)
    assert not evacuations.apply("a", 6, evacuated=True)
    assert evacuations.apply("a", 7, evacuated=False)
    assert evacuations.zones == frozenset()


def test_a_complete_read_ends_evacuations_that_are_no_longer_listed():
    evacuations = ZoneEvacuations()
    evacuations.apply("a", 5, evacuated=True)
    evacuations.apply("b", 6, evacuated=True)
    assert evacuations.replace_all({"b": 6, "c": 9}, 10)
    assert evacuations.zones == {"b", "c"}


def test_an_older_complete_read_neither_hides_nor_restores_an_evacuation():
    evacuations = ZoneEvacuations()
    evacuations.apply("a", 20, evacuated=True)
    evacuations.apply("b", 5, evacuated=True)
    evacuations.apply("b", 21, evacuated=False)
    assert not evacuations.replace_all({"b": 5}, 12)
    assert evacuations.zones == {"a"}


@given(st.data())
@settings(max_examples=300)
def test_any_order_of_reads_and_events_ends_at_the_newest_state(data):
    # Each read or event shows the store at some revision. Whatever the order, the copy
    # equals the store once the newest change of each zone was seen.
    history = data.draw(
        st.lists(st.tuples(st.sampled_from("abc"), st.booleans()), min_size=1)
    )
    states = [{}]
    for revision, (zone, evacuated) in enumerate(history, 1):
        state = dict(states[-1])
        state.pop(zone, None)
        if evacuated:
            state[zone] = revision
        states.append(state)
    evacuations = ZoneEvacuations()
    views = data.draw(st.lists(st.integers(0, len(history)), max_size=10))
    for revision in views:
        if data.draw(st.booleans()):
            evacuations.replace_all(states[revision], revision)
        elif revision:
            zone, evacuated = history[revision - 1]
            evacuations.apply(zone, revision, evacuated)
    for revision, (zone, evacuated) in enumerate(history, 1):
        evacuations.apply(zone, revision, evacuated)
    assert evacuations.zones == set(states[-1])


def test_the_bound_leaves_time_for_the_poll_and_for_the_start():
    # An evacuation that is confirmed just after a poll was sent is missing from the
    # copy which that poll confirms. No start may rely on the copy so long that it
    # arrives after the bound.
    age = timedelta(0)
    gate = ZoneGate(ZoneEvacuations(), lambda: age, 5 * SECOND)
    newest_unseen_evacuation = timedelta(0)
    for age_ms in range(0, 6000, 50):
        age = timedelta(milliseconds=age_ms)
        arrives_at = age + timedelta(seconds=0.5)  # the time-out of a start
        if gate.may_start_in("a"):
            assert arrives_at <= newest_unseen_evacuation + 5 * SECOND
    # Two polls of half a second at a store that takes 0.35 s for each answer.
    age = timedelta(seconds=1.7)
    assert gate.may_start_in("a")


def test_the_state_of_a_zone_is_unknown_without_a_recent_proof():
    evacuations = ZoneEvacuations()
    gate = ZoneGate(evacuations, lambda: timedelta.max)
    assert gate.state("a") is ZoneState.UNKNOWN
    evacuations.apply("a", 1, evacuated=True)
    assert gate.state("a") is ZoneState.EVACUATED


# Following the store


async def test_evacuations_and_readmissions_are_followed():
    world = World(zones=2)
    async with world.running():
        await world.evacuate("zone-1")
        await world.run_for(1)
        assert world.follower.evacuations.zones == {"zone-1"}
        await world.readmit("zone-1")
        await world.run_for(1)
        assert world.follower.evacuations.zones == frozenset()


async def test_an_evacuation_that_ends_within_a_poll_leaves_no_trace():
    world = World(zones=2)
    async with world.running():
        await world.evacuate("zone-1")
        await world.readmit("zone-1")
        await world.run_for(1)
        assert world.follower.evacuations.zones == frozenset()
        await world.submit("a1", StepSpec(12, 500, 100, estimate_ms=1000))
        await world.run_for(2)
        assert zones_started_in(world) == {"zone-1", "zone-2"}


async def test_a_readmission_in_discarded_history_is_noticed():
    # The watch missed the deletion, and the store no longer has it.
    world = World(zones=2)
    async with world.running():
        await world.evacuate("zone-1")
        await world.run_for(1)
        world.store.down = True
        await world.run_for(1)
        await world.readmit_during_outage("zone-1")
        world.store.compact()
        world.store.down = False
        await world.run_for(2)
        assert world.follower.evacuations.zones == frozenset()


async def test_a_reload_from_an_earlier_state_of_the_store_is_repeated(monkeypatch):
    world = World(zones=2)
    async with world.running():
        await world.evacuate("zone-1")
        await world.run_for(1)
        scan = world.store.scan
        proof_ages = []

        async def stale_scan(prefix, **options):
            if prefix != "op/":
                return await scan(prefix, **options)
            proof_ages.append(world.follower.proof_age())
            if len(proof_ages) == 1:
                return Page((), 1)
            return await scan(prefix, **options)

        monkeypatch.setattr(world.store, "scan", stale_scan)
        world.store.compact()
        await world.put("op/other", b"")
        world.store.compact()
        world.store.break_watches()
        await world.run_for(2)
        assert world.follower.evacuations.zones == {"zone-1"}
        # The first read proved nothing: evacuations since then may be missing from it.
        assert len(proof_ages) == 2
        assert proof_ages[1] >= proof_ages[0]


async def test_odd_keys_below_the_evacuations_do_no_harm(capsys):
    world = World(zones=2)
    async with world.running():
        await world.put("op/evacuate/", b"{}")
        await world.put("op/evacuate/zone-1", b"\xff\xff not a document")
        await world.put("op/evacuate/no such zone", b"{}")
        await world.put("op/elsewhere", b"\xff")
        await world.run_for(1)
        # The key alone counts: no unreadable value may hide an evacuation.
        assert world.follower.evacuations.zones == {"zone-1", "no such zone"}
        await world.submit("a1", SIX_TASKS)
        await world.run_for(2)
        assert zones_started_in(world) == {"zone-2"}


# Starts


async def test_nothing_is_started_in_an_evacuated_zone_until_it_is_readmitted():
    world = World(executors=4, zones=2)
    async with world.running():
        await world.evacuate("zone-1")
        await world.run_for(1)
        await world.submit("a1", SIX_TASKS)
        await world.run_for(2)
        assert zones_started_in(world) == {"zone-2"}
        started = len(world.client.started)
        await world.readmit("zone-1")
        await world.run_for(1)
        await world.submit("b1", StepSpec(30, 500, 100, estimate_ms=1000))
        await world.run_for(2)
        assert zones_started_in(world, started) == {"zone-1", "zone-2"}


async def test_running_tasks_of_an_evacuated_zone_continue():
    world = World(executors=1)
    world.client.run_time = 3 * SECOND
    async with world.running():
        await world.submit("a1", StepSpec(2, 500, 100, estimate_ms=3000))
        await world.run_for(1)
        await world.evacuate("zone-1")
        await world.run_for(12)
        assert world.state("a1").value == "completed"
        assert world.client.stopped == []


async def test_tasks_wait_while_all_zones_are_evacuated():
    world = World(executors=4, zones=2)
    async with world.running():
        await world.evacuate("zone-1")
        await world.evacuate("zone-2")
        await world.run_for(1)
        await world.submit("a1", SIX_TASKS)
        await world.run_for(8)
        assert world.client.started == []
        await world.readmit("zone-2")
        assert await world.run_for(4, lambda: world.state("a1").value == "completed")
        assert zones_started_in(world) == {"zone-2"}


async def test_a_gang_is_not_split_by_an_evacuated_zone():
    world = World(executors=2, zones=2, cpu=1000)
    async with world.running():
        await world.evacuate("zone-1")
        await world.run_for(1)
        await world.submit("a1", StepSpec(2, 800, 100, gang=True))
        await world.run_for(3)
        assert world.client.started == []
        await world.readmit("zone-1")
        assert await world.run_for(4, lambda: world.state("a1").value == "completed")


async def test_a_long_running_task_restarts_outside_of_the_zone():
    world = World(executors=4, zones=2)
    async with world.running():
        await world.submit("a1", StepSpec(4, 500, 100, lasting=True, may_be_away=1))
        await world.run_for(2)
        await world.evacuate("zone-1")
        await world.run_for(1)
        started = len(world.client.started)
        fake = next(f for f in world.fake_executors if f.runs)
        fake.advance()
        fake.executor = replace(fake.executor)
        fake.restart()
        assert await world.run_for(5, lambda: len(world.client.started) > started)
        assert zones_started_in(world, started) == {"zone-2"}


async def test_an_order_that_waits_for_its_record_is_not_sent_into_the_zone(
    monkeypatch,
):
    # The assignment is durable only after the evacuation is known. The task is then
    # placed elsewhere at once.
    world = World(executors=2, zones=2)
    async with world.running():
        commit = world.store.commit
        record_may_be_stored = anyio.Event()

        async def late_commit(transaction):
            if any(op.key.startswith(layout.RUNS) for op in transaction.operations):
                await record_may_be_stored.wait()
            return await commit(transaction)

        monkeypatch.setattr(world.store, "commit", late_commit)
        await world.submit("a1", StepSpec(16, 500, 100))
        await world.run_for(1)
        assert world.client.started == []
        await world.evacuate("zone-1")
        await world.run_for(0.5)
        record_may_be_stored.set()
        assert await world.run_for(1, lambda: world.client.started != [])
        assert await world.run_for(4, lambda: world.state("a1").value == "completed")
        assert zones_started_in(world) == {"zone-2"}


async def test_starts_wait_for_a_copy_that_is_new_enough():
    # The polls of the configuration fail while all other calls to the store succeed.
    world = World(executors=2, zones=2)
    async with world.running():
        world.store.silent_prefix, world.store.silent_polls = "op/", 1000
        await world.run_for(7)
        await world.evacuate("zone-1")
        await world.submit("a1", SIX_TASKS)
        await world.run_for(5)
        assert world.client.started == []
        world.store.silent_prefix = ""
        assert await world.run_for(3, lambda: world.client.started != [])
        assert zones_started_in(world) == {"zone-2"}


async def test_a_task_that_is_stopped_while_its_start_waits_is_not_started():
    world = World(executors=1)
    async with world.running():
        world.store.silent_prefix, world.store.silent_polls = "op/", 1000
        await world.run_for(7)
        await world.submit("a1", SIX_TASKS)
        await world.run_for(1)
        deadline = world.clock.monotonic() + 3 * SECOND
        await world.job_service.cancel("a1", "nets", deadline)
        await world.run_for(1)
        world.store.silent_prefix = ""
        await world.run_for(4)
        assert world.client.started == []


async def test_a_paused_holder_starts_nothing_in_a_zone_evacuated_meanwhile():
    # The clock counts the pause, so the copy is too old when the process wakes up.
    world = World(executors=2, zones=2)
    async with world.running():
        world.client.run_time = 2 * SECOND
        await world.submit("a1", StepSpec(40, 500, 100, estimate_ms=2000))
        await world.run_for(1)
        world.store.silent_prefix, world.store.silent_polls = "op/", 3
        # The poll that is under way would still show the evacuation.
        await world.run_for(1.5)
        started = len(world.client.started)
        await world.evacuate("zone-1")
        world.clock.advance(9 * SECOND)
        await settle(200)
        await world.run_for(6)
        assert zones_started_in(world, started) == {"zone-2"}


async def test_a_new_holder_knows_the_evacuations_before_its_first_order():
    world = World(executors=2, zones=2)
    await world.publish(configuration())
    for fake in world.fake_executors:
        await world.put(f"executors/{fake.executor.executor_id}", fake.executor)
    await world.evacuate("zone-1")
    # The configuration is known, but no poll has confirmed it yet.
    await world.follower._load_all()
    world.follower.evacuations.__init__()
    await world.submit("a1", SIX_TASKS)
    async with anyio.create_task_group() as tasks:
        async with world.term():
            await world.run_for(3)
            assert world.client.started == []
            tasks.start_soon(world.follower.run)
            assert await world.run_for(3, lambda: world.client.started != [])
        tasks.cancel_scope.cancel()
    assert zones_started_in(world) == {"zone-2"}


@given(st.data())
@settings(max_examples=40, deadline=None, derandomize=True)
def test_no_start_after_the_bound_whatever_happens(data):
    async def play():
        world = World(executors=4, zones=2)
        async with world.running() as term:
            await term_under_faults(world, term, data)

    async def term_under_faults(world, term, data):
        async with anyio.create_task_group() as tasks:
            for number in range(data.draw(st.integers(4, 10))):
                kind = data.draw(st.integers(0, 6))
                zone = data.draw(st.sampled_from(["zone-1", "zone-2"]))
                if kind <= 1 and not world.store.down:
                    await world.evacuate(zone)
                elif kind == 2 and not world.store.down:
                    await world.readmit(zone)
                elif kind == 3:
                    world.store.silent_prefix = "op/"
                    world.store.silent_polls = data.draw(st.integers(4, 12))
                elif kind == 4:
                    world.store.down = not world.store.down
                    world.store.compact()
                elif kind == 5 and not world.store.down:
                    term._ended.set()
                    await settle()
                    term = await world.new_term()
                    tasks.start_soon(term.run)
                else:
                    world.clock.advance(data.draw(st.integers(1, 9)) * SECOND)
                await world.run_for(data.draw(st.sampled_from([0.5, 3, 6])))
                if not world.store.down:
                    await world.submit(f"j{number}", SIX_TASKS)
            tasks.cancel_scope.cancel()
        # The world's audit finds starts in a zone after the bound on its evacuation.

    anyio.run(play)


# VMs


async def test_no_vm_of_an_evacuated_zone_joins_a_pool():
    world = World(executors=2, zones=2)
    vms = world.manage_vms(standby=4)
    async with world.running():
        await world.publish(configuration(2))
        await world.evacuate("zone-1")
        await world.run_for(4)
        await world.submit("a1", StepSpec(60, 1000, 100, estimate_ms=2000))
        await world.run_for(4)
        moved = {vm for vm, pool in vms.moves if pool == "mill"}
        assert moved
        assert {vms.vms[vm].availability_zone for vm in moved} == {"zone-2"}


async def test_idle_vms_of_an_evacuated_zone_go_to_standby():
    world = World(executors=4, zones=2)
    vms = world.manage_vms()
    async with world.running():
        await world.publish(configuration(2))
        await world.submit("a1", StepSpec(1, 100, 100))
        await world.run_for(4)
        before = set(vms.moves)
        await world.evacuate("zone-1")
        await world.run_for(5)
        released = {vm for vm, pool in set(vms.moves) - before if pool == "spare"}
        zones = {vms.vms[vm].availability_zone for vm in released}
        assert zones == {"zone-1"}


def test_a_pool_that_lost_its_room_to_an_evacuation_gets_vms_of_other_zones():
    # Twelve VMs are evacuated: the pool counts six, and its backlog asks for eight.
    load = PoolLoad("mill", 8 * 32 * 1.5, 32.0, 6, 0, 18)
    spares = [
        IdleVm("a", "spare", True, timedelta(0)),
        IdleVm("b", "mill", False, 5 * SECOND, zone_evacuated=True),
    ]
    moves = choose_moves([load], spares, "spare")
    assert {(move.vm, move.pool) for move in moves} == {("a", "mill"), ("b", "spare")}


async def test_a_policy_cannot_move_a_vm_of_an_evacuated_zone_into_a_pool():
    world = World(executors=2, zones=2)
    vms = world.manage_vms(standby=2)
    async with world.running() as term:
        await world.publish(configuration(2))
        await world.run_for(2)
        await world.evacuate("zone-1")
        await world.run_for(1)
        mover = term.vm_controller._mover
        for name in ("vm-s0", "vm-s1"):
            vm = vms.vms[name]
            mover._begin_move(vm, Move(name, "mill"))
        await world.run_for(1)
        assert [vm for vm, pool in vms.moves if pool == "mill"] == ["vm-s1"]


async def test_a_wave_continues_in_an_evacuated_zone():
    world = World(executors=4, zones=2)
    vms = world.manage_vms()
    async with world.running():
        await world.evacuate("zone-1")
        await world.run_for(1)
        names = tuple(vms.vms)
        await world.put("op/wave/1", Wave(1, names, timedelta(seconds=25), 2))
        assert await world.run_for(25, lambda: len(vms.maintained) == 4)


def test_the_default_bound_is_that_of_the_deployments():
    assert DEFAULT_EVACUATION_BOUND == 5 * SECOND
