"""Repairs: failure detection, operations started, and limits."""

from __future__ import annotations

from datetime import timedelta

import pytest

from pomeloyard.fleet.health_reports import HealthReports
from pomeloyard.fleet.repair_planning import Observation, ObservationKind
from pomeloyard.fleet.vms import Cause, VmRecord, VmState
from pomeloyard.fleet_state import FleetState, RoleRecord
from pomeloyard.keyvalue import layout
from pomeloyard.vm_platform.directory import VmOperation

from .support.fleet import Fleet, make_config, make_vms, run
from .support.network import Network

OK, FAILED = ObservationKind.REQUEST_DONE, ObservationKind.REQUEST_FAILED
SILENT = ObservationKind.UNRESPONSIVE
FAULTY_VM = "orders-e001"


async def new_fleet(**config):
    fleet = Fleet(make_config({"orders": (6, 0)}, 4, **config), make_vms("orders", 6))
    await fleet.step()
    return fleet


def observe(fleet, name, kind, count=1):
    for controller in fleet.controllers:
        for _ in range(count):
            observation = Observation(name, kind, fleet.clock.now())
            controller.repairs.health_tracker.observe(observation)


def observe_rest(fleet, failures=0):
    for n in range(6):
        name = f"orders-e{n:03d}"
        if name != FAULTY_VM:
            observe(fleet, name, OK, 30)
            observe(fleet, name, FAILED, failures)


async def silent(fleet):
    observe(fleet, FAULTY_VM, SILENT)
    await fleet.step(21)


async def failing(fleet):
    observe_rest(fleet)
    observe(fleet, FAULTY_VM, FAILED, 12)


async def partly_failing(fleet):
    observe_rest(fleet)
    observe(fleet, FAULTY_VM, OK, 20)
    observe(fleet, FAULTY_VM, FAILED, 15)


async def flapping(fleet):
    for boot in range(4):
        fleet.directory.boot(FAULTY_VM, f"own-{boot}")
        await fleet.step()


async def taken_away(fleet):
    fleet.directory.mark_leaving(FAULTY_VM)
    await fleet.step()
    assert fleet.vm(FAULTY_VM).reasons[-1].cause is Cause.VM_LEAVING
    await gone(fleet)


async def gone(fleet):
    fleet.directory.lose_vms([FAULTY_VM])
    await fleet.step(1)
    await fleet.step(61)


@pytest.mark.parametrize(
    ("fault", "cause", "operation"),
    [
        (silent, Cause.VM_SILENT, VmOperation.REBOOT),
        (failing, Cause.VM_FAILED, VmOperation.REBOOT),
        (partly_failing, Cause.VM_PARTLY_FAILED, VmOperation.REBOOT),
        (flapping, Cause.VM_FLAPPING, VmOperation.REBOOT),
        (gone, Cause.VM_GONE, VmOperation.REPLACE),
        (taken_away, Cause.VM_LEAVING, VmOperation.REPLACE),
    ],
)
def test_failed_vm_is_repaired_and_returns_after_a_trial(fault, cause, operation):
    """Guards against missing failures that the platform does not report."""

    async def body():
        fleet = await new_fleet()
        await fault(fleet)
        for _ in range(4):
            await fleet.step()
        assert not fleet.all_in_service()
        await fleet.run_until(fleet.all_in_service, 120)
        steps = [(r.action, r.cause) for r in fleet.vm(FAULTY_VM).reasons]
        assert cause in [c for _, c in steps]
        assert (VmState.TRIAL, Cause.NEW_BOOT) in steps
        done = [(name, o) for name, o, _ in fleet.directory.started]
        assert done == [(FAULTY_VM, operation)]
        assert fleet.unavailable_vms() == set()
        assert fleet.violations == []

    run(body)


def test_faulty_detector_does_not_take_the_fleet_out_of_service():
    """Guards against rebooting all VMs when the detector itself is faulty."""

    async def body():
        fleet = await new_fleet()
        for n in range(6):
            observe(fleet, f"orders-e{n:03d}", SILENT)
        await fleet.step(30)
        for _ in range(20):
            await fleet.step()
        assert fleet.all_in_service()
        assert fleet.directory.started == []
        alarm = fleet.controller.repairs.alarms_by_pool["orders"]
        assert alarm.limit == 1
        assert len(alarm.suspects) == 6
        subject = fleet.controller.repairs._decisions.for_subject("pool/orders")
        assert [decision.choice for decision in subject] == ["stop"]

    run(body)


def test_service_fault_on_all_vms_makes_none_suspect():
    """Guards against repairing VMs for an error that occurs on all of them."""

    async def body():
        fleet = await new_fleet()
        observe_rest(fleet, failures=30)
        observe(fleet, FAULTY_VM, FAILED, 20)
        observe(fleet, FAULTY_VM, OK, 15)
        for _ in range(5):
            await fleet.step()
        assert fleet.all_in_service()

    run(body)


def test_vm_that_fails_its_trial_is_replaced():
    """Guards against returning a VM to service that still fails after a reboot."""

    async def body():
        fleet = await new_fleet()
        await failing(fleet)
        await fleet.run_until(lambda: fleet.vm(FAULTY_VM).state is VmState.TRIAL)
        observe(fleet, FAULTY_VM, FAILED, 3)
        await fleet.run_until(fleet.all_in_service)
        operations = [o for _, o, _ in fleet.directory.started]
        assert operations == [VmOperation.REBOOT, VmOperation.REPLACE]

    run(body)


def test_concurrent_repairs_are_limited_when_vms_are_gone():
    """Guards against replacing a whole rack at once; the limit for six VMs is one."""

    async def body():
        fleet = await new_fleet()
        names = [f"orders-e{n:03d}" for n in range(3)]
        fleet.directory.lose_vms(names)
        fleet.directory.delay = timedelta(seconds=5)
        most = 0
        await fleet.step(1)
        await fleet.step(61)
        for _ in range(200):
            await fleet.step()
            vms = [fleet.vm(name) for name in names]
            working = (VmState.DRAINING, VmState.DRAINED, VmState.REBOOTING)
            most = max(most, sum(vm.state in working for vm in vms))
        assert most == 1
        assert fleet.all_in_service(), fleet.summary()
        assert fleet.unavailable_vms() == set()

    run(body)


def test_vm_that_left_the_platform_is_removed_from_its_pool():
    """Guards against budgets that count a VM which will never return."""

    async def body():
        fleet = await new_fleet()
        fleet.directory.remove(FAULTY_VM)
        fleet.directory.refuse = True  # The platform refuses to replace it.
        gone_for_good = VmState.SET_ASIDE
        await fleet.run_until(
            lambda: fleet.vm(FAULTY_VM).state is gone_for_good, step=5
        )
        await fleet.step(24 * 3600)
        assert FAULTY_VM not in fleet.stored(layout.VMS, VmRecord)
        assert FAULTY_VM not in fleet.budgets()["orders"].members_by_vm
        assert fleet.unavailable_vms() == set()

    run(body)


def test_observations_of_all_daemons_reach_the_controller():
    """Guards against detection based on one daemon's requests only."""

    async def body():
        fleet = await new_fleet()
        health = fleet.controller.repairs.health_tracker
        networks = {}
        reports = {}
        for name in ("entry-1.a", "entry-2.b"):
            state = FleetState(roles_by_name={"controller": RoleRecord("entry-1.a", 1)})
            network = Network(name, networks)
            reports[name] = HealthReports(fleet.clock, network, state, health.observe)
            reports[name].start()
        observe_rest(fleet)
        for report in reports.values():
            for _ in range(6):
                report.record(FAULTY_VM, FAILED)
            report.report()
        [suspicion] = health.suspicions([FAULTY_VM, "orders-e000"], fleet.clock.now())
        assert suspicion.cause is Cause.VM_FAILED

    run(body)
