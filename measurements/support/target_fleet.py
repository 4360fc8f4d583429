"""Records of a fleet of any size, up to the size expected in two years."""

from __future__ import annotations

import math
from datetime import UTC, datetime

from pomeloyard.allocation.partitions import PartitionTable, new_table
from pomeloyard.config.model import (
    BudgetConfig,
    FleetConfig,
    PoolConfig,
    ServiceConfig,
    TeamConfig,
)
from pomeloyard.fleet.vms import MAX_REASONS, Cause, VmRecord, VmState
from pomeloyard.fleet_state import DaemonRecord, RoleRecord
from pomeloyard.keys import KeyRing, new_key
from pomeloyard.keyvalue import layout
from pomeloyard.keyvalue.memory import MemoryStore
from pomeloyard.keyvalue.records import Change, commit_changes
from pomeloyard.keyvalue.store import Store
from pomeloyard.vm_platform.directory import Vm, VmList, VmRole

WORKERS = 740
SERVICES = 29
EXECUTORS_PER_SERVICE = 8
VMS = WORKERS + SERVICES * EXECUTORS_PER_SERVICE
TEAMS = 84
DAEMONS = 9
CONFIG_CHANGES_PER_DAY = 1300
FAILURES_PER_DAY = 12
RESTARTS_PER_DAY = 38
MAINTENANCE_DAYS = 28
LIST_CHANGES_PER_STEP = 3
"""A VM leaves, is replaced or rebooted, and is back."""

VM_LIST_CHANGES_PER_DAY = LIST_CHANGES_PER_STEP * (
    FAILURES_PER_DAY + RESTARTS_PER_DAY + math.ceil(VMS / MAINTENANCE_DAYS)
)
KEYS_PER_TEAM = 2
DAY_SECONDS = 86_400

START = datetime(2026, 1, 1, tzinfo=UTC)
MEMBERS = tuple(f"entry-{n}.0123abc{n}" for n in range(DAEMONS))


def config(teams: int = TEAMS, revision: int = 1) -> FleetConfig:
    """Return a configuration with the target's services and ``teams`` teams."""
    names = [f"service-{n:02d}" for n in range(SERVICES)]
    accounts = [f"team-{n:02d}" for n in range(teams)]
    return FleetConfig(
        "target",
        revision=revision,
        pools_by_name={n: PoolConfig(n, EXECUTORS_PER_SERVICE, 26) for n in names},
        services_by_name={n: ServiceConfig(n, n, BudgetConfig(0.85)) for n in names},
        teams_by_name={n: TeamConfig(n, 1.0, 400, 100) for n in accounts},
    )


def vm_list(count: int) -> VmList:
    """Return the platform's list of ``count`` workers and executors."""
    vms = {}
    for n in range(count):
        name, zone = f"vm-{n:04d}", f"zone-{n % 6}"
        role = VmRole.EXECUTOR if n % 4 == 0 else VmRole.WORKER
        pool, rack = f"service-{n % SERVICES:02d}", f"{zone}-r{n // 24}"
        vms[name] = Vm(name, role, pool, "luzon", zone, rack, "10.0.0.1:8000")
    return VmList(vms, 1)


def vm_record(vm: Vm) -> VmRecord:
    """Return the record of a VM whose history has its maximum length."""
    record = VmRecord(
        vm.name,
        vm.role,
        vm.pool,
        availability_zone=vm.availability_zone,
        rack=vm.rack,
        since=START,
        maintained_at=START,
    )
    for _ in range(MAX_REASONS):
        record = record.with_step(START, VmState.IN_SERVICE, Cause.TRIAL_PASSED)
    return record


def key_ring(teams: int) -> KeyRing:
    """Return the keys of all teams."""
    keys = [new_key(f"team-{n:02d}")[1] for n in range(teams) for _ in range(2)]
    return KeyRing(1, {key.key_id: key for key in keys})


def partition_table() -> PartitionTable:
    """Return a table whose partitions are spread evenly over the nine daemons."""
    table = new_table()
    for member in MEMBERS:
        table = table.with_member(member)
    for number in range(len(table.partitions)):
        table = table.with_holder(number, MEMBERS[number % DAEMONS], clean=True)
    return table


async def fill(store: Store, vms: VmList, teams: int) -> None:
    """Write all followed records."""
    records: dict[str, object] = {
        layout.config_revision_key(1): config(teams),
        layout.CONFIG_HEAD: 1,
        layout.KEYS: key_ring(teams),
        layout.PARTITIONS: partition_table(),
    }
    for member in MEMBERS:
        vm = member.split(".")[0]
        record = DaemonRecord(member, vm, *["10.0.0.1:8000"] * 3, "zone-0")
        records[layout.DAEMONS + member] = record
    for role in ("scheduler", "controller"):
        records[layout.ROLES + role] = RoleRecord(MEMBERS[0], 1)
    for vm_ in vms.vms_by_name.values():
        records[layout.VMS + vm_.name] = vm_record(vm_)
    for key, value in records.items():
        await commit_changes(store, [Change(key, value, None)])


def value_bytes(store: MemoryStore, key: str) -> int:
    """Return the size of a stored value."""
    return len(store._entries_by_key[key].value)
