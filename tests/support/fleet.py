"""An in-memory fleet: controllers, and a store and a platform with faults."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from datetime import timedelta

import anyio

from pomeloyard.clock import ManualClock
from pomeloyard.config.model import (
    BudgetConfig,
    FleetConfig,
    MaintenanceConfig,
    PoolConfig,
    ServiceConfig,
)
from pomeloyard.decisions import DecisionLog
from pomeloyard.errors import (
    RefusedError,
    StoreError,
)
from pomeloyard.fleet.budgets import BudgetRecord, SpendingKind
from pomeloyard.fleet.controller import Controller
from pomeloyard.fleet.drains import TaskCounts
from pomeloyard.fleet.vms import VmRecord, VmState
from pomeloyard.fleet_state import DaemonRecord, FleetState
from pomeloyard.keyvalue import layout
from pomeloyard.keyvalue.records import ConflictError, decode_record
from pomeloyard.keyvalue.store import scan_all
from pomeloyard.vm_platform.directory import Vm, VmRole

from .fleet_faults import FaultyDirectory, FaultyStore, is_kill

DAEMONS = ("entry-1.a", "entry-2.b")


@dataclass
class FakeTaskCounts(TaskCounts):
    """Task counts that a test sets."""

    count_by_vm: dict[str, int] = field(default_factory=dict)

    async def running_tasks(self):
        return self.count_by_vm


class Fleet:
    """A store, a platform and any number of controllers on one manual clock."""

    def __init__(self, config: FleetConfig, vms: list[Vm], controllers: int = 1):
        self.clock = ManualClock()
        self.config = config
        self.store = FaultyStore(self.clock)
        self.directory = FaultyDirectory(self.clock, vms)
        self.tasks = FakeTaskCounts()
        self.running: dict[tuple[str, str], int | None] = {}
        """Running requests by daemon and VM; None if the daemon does not answer."""
        self.demand: dict[str, float] = {}
        self.violations: list[str] = []
        self._decoded: dict[str, tuple[int, object]] = {}
        self._known_spending: set[tuple[str, str, str]] = set()
        self.controllers = [self.new_controller() for _ in range(controllers)]
        self.store.after_commit.append(self._check_invariants)

    def new_controller(self) -> Controller:
        state = FleetState(config=self.config, store_reachable=True)
        for name in DAEMONS:
            record = DaemonRecord(name, name.split(".")[0], "", "", "", "bulacan")
            state.daemons_by_incarnation[name] = record

        async def ask(daemon, record):
            key = (daemon, record.name)
            return self.running.get(key, self.running.get((daemon, ""), 0))

        return Controller(
            self.clock,
            state,
            self.store,
            self.directory,
            DecisionLog(),
            ask,
            self.tasks,
            demand_by_pool=lambda: self.demand,
        )

    @property
    def controller(self) -> Controller:
        return self.controllers[0]

    async def refresh(self, controller: Controller) -> None:
        """Update a controller's local copy, as its follower does."""
        state = controller._state
        listing = await self.directory.list_vms()
        state.vm_list = replace(listing)
        try:
            page = await scan_all(self.store, layout.VMS)
        except StoreError:
            return
        records = [decode_record(e, VmRecord).value for e in page.entries]
        state.vm_records_by_name = {r.name: r for r in records}

    async def step(self, seconds: float = 0.5, refresh: bool = True) -> None:
        """Advance the clock and let every controller take one step."""
        self.clock.advance(timedelta(seconds=seconds))
        await self.directory.apply_due_operations()
        for number, controller in enumerate(self.controllers):
            if refresh:
                await self.refresh(controller)
            try:
                await controller.step()
            except (StoreError, ConflictError, RefusedError):
                pass
            except BaseException as error:
                if not is_kill(error):
                    raise
                self.controllers[number] = self.new_controller()

    async def run_until(
        self, condition: Callable[[], bool], seconds: float = 600, step: float = 0.5
    ) -> float:
        """Step until a condition holds and return the elapsed seconds."""
        began = self.clock.monotonic()
        while not condition():
            passed = (self.clock.monotonic() - began).total_seconds()
            assert passed < seconds, self.summary()
            await self.step(step)
        return (self.clock.monotonic() - began).total_seconds()

    def vm(self, name: str) -> VmRecord:
        return self.stored(layout.VMS, VmRecord)[name]

    def stored(self, prefix: str, kind: type) -> dict:
        return {
            key.removeprefix(prefix): self._decode(key, kind)
            for key in self.store._entries_by_key
            if key.startswith(prefix)
        }

    def _decode(self, key: str, kind: type):
        entry = self.store._entries_by_key[key]
        revision, value = self._decoded.get(key, (0, None))
        if revision != entry.mod_revision:
            value = decode_record(entry, kind).value
            self._decoded[key] = entry.mod_revision, value
        return value

    def budgets(self) -> dict[str, BudgetRecord]:
        return self.stored(layout.BUDGETS, BudgetRecord)

    def states(self) -> set[VmState]:
        return {vm.state for vm in self.stored(layout.VMS, VmRecord).values()}

    def all_in_service(self) -> bool:
        return self.states() == {VmState.IN_SERVICE}

    def unavailable_vms(self) -> set[str]:
        return {vm for b in self.budgets().values() for vm in b.spending_by_vm}

    def summary(self) -> str:
        vms = self.stored(layout.VMS, VmRecord).values()
        return "\n".join(
            f"{v.name} {v.pool} {v.state} {v.reasons[-1]}"
            for v in vms
            if v.state is not VmState.IN_SERVICE
        )

    def _check_invariants(self, transaction) -> None:
        """Record planned drains beyond a budget and VMs not in exactly one pool.

        Counts independently of the functions under test.
        """
        for operation in transaction.operations:
            if operation.key.startswith(layout.BUDGETS):
                self._check_budget(operation.key)

    def _check_budget(self, key: str) -> None:
        budget = self._decode(key, BudgetRecord)
        service = self.config.services_by_name[budget.service]
        for name in budget.members_by_vm:
            if self._decode(layout.VMS + name, VmRecord).pool != service.pool:
                self.violations.append(f"{name} counted in {service.pool}")
        for name, spending in budget.spending_by_vm.items():
            entry = (service.name, name, spending.since.isoformat())
            if entry in self._known_spending:
                continue
            self._known_spending.add(entry)
            if spending.kind is SpendingKind.PLANNED:
                self._check_planned(service, budget, name)

    def _check_planned(self, service, budget, name) -> None:
        # Copies of the list lag: a loss counts once every controller has seen it.
        members = budget.members_by_vm
        known = [c.records.unavailable(members) for c in self.controllers]
        lost = set.intersection(*known)
        role = budget.members_by_vm[name].role
        pool = self.config.pools_by_name[service.pool]
        size = pool.executors if role is VmRole.EXECUTOR else pool.workers
        needed = service.budget.min_available
        if isinstance(needed, float):
            needed *= size
        elif role is VmRole.WORKER and pool.executors:
            needed = needed * pool.workers // pool.executors
        left = [
            vm
            for vm, member in budget.members_by_vm.items()
            if member.role is role
            and vm not in budget.spending_by_vm
            and vm not in lost
        ]
        if len(left) < needed:
            self.violations.append(
                f"{service.name}: {name} leaves {len(left)} of {needed}"
            )


def make_vms(
    pool: str,
    executors: int,
    workers: int = 0,
    zones: tuple[str, ...] = ("bulacan", "pampanga", "laguna"),
    per_rack: int = 4,
) -> list[Vm]:
    """Return the VMs of a pool, spread over zones, ``per_rack`` to a rack."""
    vms = []
    for role, count in ((VmRole.EXECUTOR, executors), (VmRole.WORKER, workers)):
        for n in range(count):
            zone, place = zones[n % len(zones)], n // len(zones)
            vms.append(
                Vm(
                    f"{pool}-{role.value[0]}{n:03d}",
                    role,
                    pool,
                    "luzon",
                    zone,
                    f"{pool}-{role.value[0]}-{zone}-{place // per_rack}",
                    "",
                    boot_id="first",
                )
            )
    return vms


def make_config(
    pools: dict[str, tuple[int, int]],
    min_available: int | float = 0.5,
    *,
    spare: str = "",
    drain_seconds: float = 5,
    per_zone: int | float = 0,
    **maintenance,
) -> FleetConfig:
    """Return a configuration with one service for each pool but the spare one."""
    values = {
        "trial": timedelta(seconds=4),
        "reboot_timeout": timedelta(seconds=20),
        **maintenance,
    }
    return FleetConfig(
        "test",
        revision=1,
        pools_by_name={
            name: PoolConfig(name, *sizes, spare=name == spare)
            for name, sizes in pools.items()
        },
        services_by_name={
            name: ServiceConfig(
                name,
                name,
                BudgetConfig(min_available, per_zone),
                request_timeout=timedelta(seconds=3),
                drain_timeout=timedelta(seconds=drain_seconds),
            )
            for name in pools
            if name != spare
        },
        maintenance=MaintenanceConfig(**values),
    )


def run(work: Callable, *arguments) -> None:
    """Run an async test body with a fixed seed."""
    random.seed(7)
    anyio.run(work, *arguments)
