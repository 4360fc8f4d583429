"""Drains, moves and returns to service under a fault at each step."""

from __future__ import annotations

from dataclasses import replace

import pytest

from pomeloyard.errors import RefusedError, StoreError
from pomeloyard.fleet.vms import Cause, VmPlan, VmState
from pomeloyard.keyvalue.records import ConflictError
from pomeloyard.outcomes import RefusalReason
from pomeloyard.vm_platform.directory import VmOperation

from .support.fleet import DAEMONS, Fleet, make_config, make_vms, run
from .support.fleet_faults import is_kill

POOLS = {"orders": (6, 6), "mill": (6, 0)}
VM = "orders-e000"


def new_fleet(controllers=1, **config):
    vms = [vm for pool, sizes in POOLS.items() for vm in make_vms(pool, *sizes)]
    return Fleet(make_config(POOLS, **config), vms, controllers)


async def adopted(fleet):
    await fleet.step()
    assert fleet.all_in_service()
    return fleet


async def begin(fleet, plan):
    """Start a plan, retrying as an operator would until it is accepted."""
    pool = "mill" if plan is VmPlan.MOVE else ""
    for _ in range(50):
        controller = fleet.controller
        await fleet.refresh(controller)
        try:
            return await controller.operations.drain(
                VM, "op", plan=plan, operation="op-1", target_pool=pool
            )
        except (StoreError, ConflictError):
            await fleet.step()
        except BaseException as error:
            if not is_kill(error):
                raise
            fleet.controllers[0] = fleet.new_controller()
    raise AssertionError("drain was not accepted in 50 attempts")


def store_down(fleet, step):
    if step == 4:
        fleet.store.down = True
    if step == 10:
        fleet.store.down = False


def platform_down(fleet, step):
    fleet.directory.down = step < 10


def platform_slow(fleet, step):
    # Longer than the reboot timeout, so that a second attempt overlaps the first.
    fleet.directory.delay = fleet.config.maintenance.reboot_timeout * 1.5


def operation_lost(fleet, step):
    if step == 0:
        fleet.directory.lose = 1


def platform_answer_lost(fleet, step):
    if step == 0:
        fleet.directory.answer_lost = 2


def platform_refuses(fleet, step):
    fleet.directory.refuse = step < 10


def store_answers_lost(fleet, step):
    if step % 2 == 0:
        fleet.store.lose_answers = 1


FAULTS = [
    store_down,
    store_answers_lost,
    platform_down,
    platform_slow,
    operation_lost,
    platform_answer_lost,
    platform_refuses,
]
KILLS = [(commit, after) for commit in range(7) for after in (False, True)]
PLANS = [VmPlan.REBOOT, VmPlan.REPLACE, VmPlan.MOVE]


@pytest.mark.parametrize("plan", PLANS)
@pytest.mark.parametrize("fault", FAULTS)
def test_plan_ends_in_service_after_fault(plan, fault):
    """Guards against a stuck, lost or doubly counted VM after an external fault."""

    async def body():
        fleet = await adopted(new_fleet())
        await begin(fleet, plan)
        for step in range(600):
            fault(fleet, step)
            await fleet.step()
            if step > 12 and fleet.all_in_service():
                break
        check_end(fleet, plan)

    run(body)


@pytest.mark.parametrize("plan", PLANS)
@pytest.mark.parametrize(("commit", "after_effect"), KILLS)
def test_plan_is_resumed_after_kill_at_each_step(plan, commit, after_effect):
    """Guards against steps that only the controller that began them can finish."""

    async def body():
        fleet = await adopted(new_fleet())
        fleet.store.kill_at_commit = commit
        fleet.store.kill_after_effect = after_effect
        await begin(fleet, plan)
        await fleet.run_until(lambda: fleet.all_in_service())
        check_end(fleet, plan)
        operations = [o for name, o, _ in fleet.directory.started if name == VM]
        assert len(operations) == 1, "a resumed step repeated the operation"

    run(body)


@pytest.mark.parametrize("plan", PLANS)
@pytest.mark.parametrize("stale", [False, True])
def test_two_concurrent_controllers_take_each_step_once(plan, stale):
    """Guards against repeated operations by a controller that resumes after a pause."""

    async def body():
        fleet = await adopted(new_fleet(controllers=2))
        await begin(fleet, plan)
        for step in range(200):
            # A stale controller acts on a copy that is up to 15 s old.
            await fleet.step(refresh=not stale or step % 30 == 0)
            if step > 60 and fleet.all_in_service():
                break
        check_end(fleet, plan)
        operations = [o for name, o, _ in fleet.directory.started if name == VM]
        assert len(operations) == 1

    run(body)


def check_end(fleet, plan):
    assert fleet.all_in_service(), fleet.summary()
    assert fleet.unavailable_vms() == set()
    assert fleet.violations == []
    vm = fleet.vm(VM)
    assert vm.pool == ("mill" if plan is VmPlan.MOVE else "orders")
    in_budgets = [n for n, b in fleet.budgets().items() if VM in b.members_by_vm]
    assert in_budgets == [vm.pool]
    if plan is not VmPlan.MOVE:
        assert vm.boot_id != "first"


def test_concurrent_drains_of_the_last_allowed_vm_succeed_once():
    """Guards against a race between checking the budget and using it."""

    async def body():
        fleet = await adopted(new_fleet(2, min_available=5))
        first, second = fleet.controllers
        await first.operations.drain("orders-e000", "op-a")
        # The second controller's copy does not show the first drain yet.
        with pytest.raises(RefusedError) as caught:
            await second.operations.drain("orders-e001", "op-b")
        assert caught.value.refusal.reason is RefusalReason.BUDGET_EXCEEDED
        with pytest.raises(RefusedError) as caught:
            await second.operations.drain("orders-e000", "op-b")
        assert caught.value.refusal.reason is RefusalReason.CONFLICT
        assert fleet.violations == []

    run(body)


@pytest.mark.parametrize(("restarted", "seconds"), [(False, 8), (True, 3)])
def test_silent_daemon_blocks_a_drain_until_its_requests_have_ended(restarted, seconds):
    """Guards against rebooting a VM at which a paused or killed daemon has requests."""

    async def body():
        fleet = await adopted(new_fleet())
        fleet.running[DAEMONS[1], VM] = None
        record = await begin(fleet, VmPlan.HOLD)
        if restarted:
            daemons = fleet.controller._state.daemons_by_incarnation
            old = daemons.pop(DAEMONS[1])
            daemons["entry-2.c"] = replace(old, incarnation="entry-2.c")
        await fleet.run_until(lambda: fleet.vm(VM).state is VmState.DRAINED)
        # The longest request timeout is 3 s. For a daemon that may merely be paused,
        # the drain timeout of 5 s is added.
        waited = (fleet.clock.now() - record.since).total_seconds()
        assert seconds <= waited < seconds + 1
        assert fleet.vm(VM).reasons[-1].cause is Cause.DAEMONS_SILENT

    run(body)


@pytest.mark.parametrize("kind", ["request", "task"])
def test_drain_waits_for_running_work(kind):
    """Guards against a planned drain that interrupts running work."""

    async def body():
        fleet = await adopted(new_fleet())
        name = VM if kind == "request" else "orders-w000"
        fleet.running[DAEMONS[0], VM] = 1 if kind == "request" else 0
        fleet.tasks.count_by_vm[name] = 1 if kind == "task" else 0
        await fleet.controller.operations.drain(name, "op")
        for _ in range(60):
            await fleet.step()
        assert fleet.vm(name).state is VmState.DRAINING
        waiting = {"request": "requests-running", "task": "tasks-running"}
        assert fleet.vm(name).waiting.value == waiting[kind]
        assert fleet.vm(name).must_evacuate(fleet.clock.now())
        fleet.running.clear()
        fleet.tasks.count_by_vm.clear()
        await fleet.run_until(lambda: fleet.vm(name).state is VmState.DRAINED, 5)
        await fleet.controller.operations.return_to_service(name, "op")
        assert fleet.all_in_service()
        assert fleet.unavailable_vms() == set()

    run(body)


def test_unplanned_loss_is_counted_and_may_exceed_the_budget():
    """Guards against drains in a pool whose budget is exhausted by losses."""

    async def body():
        fleet = await adopted(new_fleet(min_available=5))
        fleet.directory.lose_vms(["orders-e003"])
        # The list counts at once, before a controller has recorded the loss.
        await fleet.refresh(fleet.controller)
        with pytest.raises(RefusedError):
            await fleet.controller.operations.drain(VM, "op")
        fleet.directory.lose_vms(["orders-e004"])
        await fleet.step()
        assert fleet.unavailable_vms() == {"orders-e003", "orders-e004"}
        fleet.directory.restore_vms(["orders-e003", "orders-e004"])
        await fleet.run_until(fleet.all_in_service, 30)
        assert fleet.unavailable_vms() == set()

    run(body)


def test_vm_that_does_not_boot_is_replaced_and_then_set_aside():
    """Guards against retrying a failed VM forever while it uses up the budget."""

    async def body():
        fleet = await adopted(new_fleet())
        fleet.directory.broken.add(VM)
        await begin(fleet, VmPlan.REBOOT)
        await fleet.run_until(lambda: fleet.vm(VM).state is VmState.SET_ASIDE)
        operations = [o for name, o, _ in fleet.directory.started if name == VM]
        reboot, replace = VmOperation.REBOOT, VmOperation.REPLACE
        assert operations == [reboot, reboot, replace]
        assert fleet.vm(VM).reasons[-1].cause is Cause.ATTEMPTS_USED_UP
        assert fleet.unavailable_vms() == {VM}

    run(body)


def test_verification_of_an_earlier_drain_does_not_finish_a_later_one():
    """Guards against a reboot when the VM was returned and drained again meanwhile."""

    async def body():
        fleet = await adopted(new_fleet(controllers=2))
        await begin(fleet, VmPlan.REBOOT)
        first, second = fleet.controllers
        await fleet.refresh(second)
        verifier = first.lifecycle._verifier
        check = verifier.check

        async def check_then_drain_again(record, tasks):
            result = await check(record, tasks)
            await second.operations.return_to_service(VM, "op")
            fleet.running[DAEMONS[0], VM] = 1  # New work arrived after the return.
            await second.operations.drain(VM, "op", plan=VmPlan.REBOOT)
            return result

        verifier.check = check_then_drain_again
        await first.lifecycle.advance_all()
        assert fleet.vm(VM).state is VmState.DRAINING
        assert fleet.directory.started == []

    run(body)


def test_delayed_reboot_of_an_earlier_attempt_restarts_the_trial():
    """Guards against returning a VM to service that is booting again."""

    async def body():
        fleet = await adopted(new_fleet())
        await begin(fleet, VmPlan.REBOOT)
        await fleet.run_until(lambda: fleet.vm(VM).state is VmState.TRIAL)
        await fleet.step(3)  # The trial lasts 4 s.
        fleet.directory.boot(VM, "late")
        await fleet.step(2)
        assert fleet.vm(VM).state is VmState.TRIAL
        assert fleet.vm(VM).boot_id == "late"
        await fleet.run_until(fleet.all_in_service, 5)

    run(body)
