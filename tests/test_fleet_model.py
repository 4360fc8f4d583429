"""Model test of pool membership and budgets with concurrent operators and faults."""

from __future__ import annotations

import asyncio

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from pomeloyard.errors import PomeloyardError
from pomeloyard.fleet.vms import VmPlan, VmRecord, VmState
from pomeloyard.fleet.waves import WaveKind, WaveRecord, WaveState
from pomeloyard.keyvalue import layout

from .support.fleet import Fleet, make_config, make_vms
from .support.fleet_faults import is_kill

POOLS = {"orders": (6, 4), "mill": (4, 0), "spare": (3, 0)}
VMS = [vm for pool, sizes in POOLS.items() for vm in make_vms(pool, *sizes)]
NAMES = [vm.name for vm in VMS]

vm_names = st.sampled_from(NAMES)
pool_names = st.sampled_from(sorted(POOLS))
controllers = st.integers(0, 1)


class FleetModel(RuleBasedStateMachine):
    """Runs operators' calls, controller steps and faults in any order."""

    def __init__(self):
        super().__init__()
        config = make_config(POOLS, 0.5, spare="spare", per_zone=0.25)
        self.fleet = Fleet(config, VMS, controllers=2)
        self.runner = asyncio.Runner()
        self.attempt(self.fleet.step())

    def attempt(self, call):
        """Run a call; refusals, conflicts, lost answers and kills are allowed."""
        try:
            return self.runner.run(call)
        except PomeloyardError:
            return None
        except BaseException as error:
            if not is_kill(error):
                raise
            return None

    @rule(name=vm_names, plan=st.sampled_from(VmPlan), who=controllers)
    def drain(self, name, plan, who):
        if plan not in (VmPlan.NONE, VmPlan.MOVE):
            operations = self.fleet.controllers[who].operations
            self.attempt(operations.drain(name, "op", plan=plan))

    @rule(name=vm_names, pool=pool_names, who=controllers)
    def move(self, name, pool, who):
        self.attempt(self.fleet.controllers[who].operations.move(name, pool, "op"))

    @rule(name=vm_names, who=controllers)
    def return_vm(self, name, who):
        operations = self.fleet.controllers[who].operations
        self.attempt(operations.return_to_service(name, "op"))

    @rule(pool=pool_names, who=controllers, kind=st.sampled_from(WaveKind))
    def start_wave(self, pool, who, kind):
        self.attempt(self.fleet.controllers[who].waves.start(f"pool/{pool}", kind, ""))

    @rule(state=st.sampled_from([WaveState.PAUSED, WaveState.RUNNING]), who=controllers)
    def change_waves(self, state, who):
        for wave in self.fleet.stored(layout.WAVES, WaveRecord):
            self.attempt(self.fleet.controllers[who].waves.change(wave, state, "op"))

    @rule(who=controllers)
    def cancel_waves(self, who):
        waves = self.fleet.controllers[who].waves
        for wave in self.fleet.stored(layout.WAVES, WaveRecord):
            self.attempt(waves.change(wave, WaveState.CANCELLED, "op"))

    @rule(names=st.sets(vm_names, max_size=3))
    def lose_vms(self, names):
        self.fleet.directory.lose_vms(names)

    @rule(names=st.sets(vm_names, max_size=6))
    def restore_vms(self, names):
        self.fleet.directory.restore_vms(names)

    @rule(names=st.sets(vm_names, max_size=3))
    def break_reboots(self, names):
        self.fleet.directory.broken = names

    @rule(commit=st.integers(0, 6), after=st.booleans())
    def kill_later(self, commit, after):
        self.fleet.store.kill_at_commit = commit
        self.fleet.store.kill_after_effect = after

    @rule(count=st.integers(1, 4))
    def lose_answers(self, count):
        self.fleet.store.lose_answers = count

    @rule(down=st.booleans())
    def store_down(self, down):
        self.fleet.store.down = down

    @rule(vm=vm_names, running=st.sampled_from([None, 0, 2]))
    def requests_run(self, vm, running):
        self.fleet.running["entry-1.a", vm] = running

    @rule(demand=st.dictionaries(st.sampled_from(["orders", "mill"]), st.floats(0, 9)))
    def demand_changes(self, demand):
        self.fleet.demand = {"orders": 1.0, "mill": 1.0, **demand}

    @rule(steps=st.integers(1, 12), seconds=st.sampled_from([0.5, 3, 20]))
    def controllers_step(self, steps, seconds):
        for _ in range(steps):
            self.attempt(self.fleet.step(seconds))

    @rule(steps=st.integers(1, 4))
    def stale_controllers_step(self, steps):
        for _ in range(steps):
            self.attempt(self.fleet.step(refresh=False))

    @invariant()
    def planned_spending_is_within_budgets(self):
        assert self.fleet.violations == []

    @invariant()
    def every_vm_is_in_one_pool(self):
        vms = self.fleet.stored(layout.VMS, VmRecord)
        for service, budget in self.fleet.budgets().items():
            members = {name for name, vm in vms.items() if vm.pool == service}
            assert set(budget.members_by_vm) == members
            out = {n for n in members if vms[n].state is not VmState.IN_SERVICE}
            assert set(budget.spending_by_vm) == out

    def teardown(self):
        self.clear_faults()
        for step in range(400):
            self.attempt(self.fleet.step(2))
            if step % 20 == 19:
                self.return_all()
            if self.fleet.all_in_service():
                break
        assert self.fleet.all_in_service(), self.fleet.summary()
        assert self.fleet.unavailable_vms() == set()
        assert set(self.fleet.stored(layout.VMS, VmRecord)) == set(NAMES)
        self.runner.close()

    def clear_faults(self):
        """End all faults and cancel all waves."""
        fleet = self.fleet
        fleet.store.down, fleet.store.lose_answers = False, 0
        fleet.store.kill_at_commit = None
        fleet.directory.broken = set()
        fleet.directory.restore_vms(NAMES)
        fleet.running.clear()
        fleet.demand = {}
        self.attempt(fleet.step())
        self.cancel_waves(0)

    def return_all(self):
        """Return VMs to service that are drained, set aside or failed."""
        for name, vm in self.fleet.stored(layout.VMS, VmRecord).items():
            if vm.state in (VmState.DRAINED, VmState.SET_ASIDE, VmState.FAILED):
                self.return_vm(name, 0)


FleetModel.TestCase.settings = settings(
    derandomize=True,
    deadline=None,
    max_examples=60,
    stateful_step_count=40,
    suppress_health_check=list(HealthCheck),
)
TestFleetModel = FleetModel.TestCase
