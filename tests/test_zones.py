"""Evacuated availability zones of the product's own interface."""

from __future__ import annotations

from datetime import timedelta

import anyio
import pytest

from pomeloyard.clock import ManualClock
from pomeloyard.fleet.zones import ZoneService
from pomeloyard.fleet_state import EvacuatedZones, Evacuation, FleetState
from pomeloyard.follower import FleetFollower, adopt_evacuations
from pomeloyard.keyvalue import layout
from pomeloyard.standins.platform import MemoryVmDirectory
from pomeloyard.vm_platform.directory import Vm, VmList, VmListState, VmRole
from tests.operators.test_commands import run, served
from tests.operators.test_operator_app import Operator

from .support.job_fakes import FaultyStore, settle

__all__ = ["served"]
pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


def vm(name, zone):
    return Vm(
        name=name,
        address="127.0.0.1:9",
        pool="orders",
        role=VmRole.EXECUTOR,
        state=VmListState.LIVE,
        boot_id="b1",
        region="luzon",
        availability_zone=zone,
        rack="r1",
        cores=4,
    )


def list_vms(state):
    vms = [vm("a-1", "bulacan"), vm("b-1", "laguna")]
    state.vm_list = VmList({one.name: one for one in vms}, 1)


def zone_service(operator):
    daemon = operator.daemon
    return ZoneService(daemon.clock, daemon.store, daemon.state, daemon.decisions)


def test_evacuate_list_and_readmit(served):
    list_vms(served.state)
    assert run(served, "zone", "evacuate", "bulacan")["evacuated"]
    rows = {row["name"]: row for row in run(served, "zone", "list")}
    assert rows["bulacan"]["evacuated"]
    assert rows["bulacan"]["requested_by"]
    assert not rows["laguna"]["evacuated"]
    names = [one.name for one in served.state.available_vms("orders", VmRole.EXECUTOR)]
    assert names == ["b-1"]
    explained = run(served, "explain", "zone", "bulacan")
    assert explained["explanation"]["decisions"][0]["choice"] == "zone-evacuated"
    assert not run(served, "zone", "readmit", "bulacan")["evacuated"]
    names = [one.name for one in served.state.available_vms("orders", VmRole.EXECUTOR)]
    assert names == ["a-1", "b-1"]
    table = run(served, "zone", "list", output="table").stdout
    assert "bulacan" in table


def test_an_unknown_zone_is_refused_with_the_known_ones(served):
    list_vms(served.state)
    result = run(served, "zone", "evacuate", "bulakan", status=1)
    assert "bulacan, laguna" in result.output
    run(served, "zone", "readmit", "bulakan", status=1)
    run(served, "zone", "evacuate", status=2)


def test_a_second_evacuation_keeps_the_first_requester():
    operator = Operator()
    list_vms(operator.state)
    service = zone_service(operator)
    anyio.run(service.evacuate, "bulacan", "first")
    status = anyio.run(service.evacuate, "bulacan", "second")
    assert status.requested_by == "first"
    assert operator.state.evacuated_zones.version == 1


def test_two_operators_who_race_both_take_effect():
    operators = [Operator()]
    operators.append(Operator(operators[0].store, "entry-2"))
    for operator in operators:
        list_vms(operator.state)

    async def race():
        async with anyio.create_task_group() as tasks:
            for operator, zone in zip(operators, ("bulacan", "laguna"), strict=True):
                tasks.start_soon(zone_service(operator).evacuate, zone, "k")

    anyio.run(race)
    stored = operators[0].stored(layout.EVACUATIONS, EvacuatedZones)
    assert set(stored.by_zone) == {"bulacan", "laguna"}
    assert stored.version == 2


def test_an_older_version_is_never_adopted():
    state = FleetState()
    assert adopt_evacuations(state, EvacuatedZones(3, {"a": Evacuation("", "")}))
    assert not adopt_evacuations(state, EvacuatedZones(2))
    assert set(state.evacuated_zones.by_zone) == {"a"}


def test_running_work_of_an_evacuated_zone_continues():
    state = FleetState()
    list_vms(state)
    adopt_evacuations(state, EvacuatedZones(1, {"bulacan": Evacuation("", "")}))
    evacuated = state.vm_list.vms_by_name["a-1"]
    assert not state.accepts_work(evacuated)
    assert state.is_in_service(evacuated)


async def test_a_watch_that_hangs_hides_an_evacuation_for_seconds_only():
    operator = Operator(FaultyStore(ManualClock()))
    store, clock = operator.store, operator.store._clock
    state = FleetState()
    follower = FleetFollower(store, MemoryVmDirectory(clock), clock, state)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(follower.run)
        await settle()
        store._watchers.clear()
        list_vms(operator.state)
        await zone_service(operator).evacuate("bulacan", "k")
        for _ in range(40):
            clock.advance(timedelta(milliseconds=100))
            await settle()
        assert set(state.evacuated_zones.by_zone) == {"bulacan"}
        tasks.cancel_scope.cancel()
