"""A daemon's copy of the fleet state in the store and the platform's VM list."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from .allocation.partitions import PartitionTable
from .config.model import FleetConfig
from .fleet.vms import VmRecord
from .keys import KeyRing
from .vm_platform.directory import Vm, VmList, VmListState, VmRole


@dataclass(frozen=True, slots=True)
class DaemonRecord:
    """Registration of a running daemon."""

    incarnation: str
    vm: str
    peer_address: str
    operator_address: str
    caller_address: str
    availability_zone: str


@dataclass(frozen=True, slots=True)
class RoleRecord:
    """Holder of a role, with its fencing token ``epoch``."""

    holder: str
    epoch: int


@dataclass(frozen=True, slots=True)
class Evacuation:
    """Request that nothing new be sent to an availability zone."""

    requested_at: str
    """ISO 8601 time."""
    requested_by: str
    """Id of the operator's key."""


@dataclass(frozen=True, slots=True)
class EvacuatedZones:
    """All evacuations in force; a higher version replaces a lower one."""

    version: int = 0
    by_zone: dict[str, Evacuation] = field(default_factory=dict)


@dataclass
class FleetState:
    """State that a daemon replicates; changed only by the follower and by peers."""

    config: FleetConfig = field(default_factory=lambda: FleetConfig(name=""))
    config_content: bytes = b""
    keys: KeyRing = field(default_factory=KeyRing)
    bootstrap_sha256: str = ""
    withdrawn_key_ids: set[str] = field(default_factory=set)
    partitions: PartitionTable | None = None
    partitions_revision: int = 0
    daemons_by_incarnation: dict[str, DaemonRecord] = field(default_factory=dict)
    vm_records_by_name: dict[str, VmRecord] = field(default_factory=dict)
    vm_list: VmList = field(default_factory=lambda: VmList({}, 0))
    roles_by_name: dict[str, RoleRecord] = field(default_factory=dict)
    evacuated_zones: EvacuatedZones = field(default_factory=EvacuatedZones)
    store_reachable: bool = False
    failed_authentications: Counter[str] = field(default_factory=Counter)
    """Refused authentications since the start, by reason."""
    drain_epochs_by_vm: dict[str, int] = field(default_factory=dict)
    """Epochs of drains announced by peers, which may precede the store's watch."""

    def record_drain_notice(self, name: str, epoch: int) -> None:
        """Cordon a VM until its record reaches the epoch of an announced drain."""
        known = self.drain_epochs_by_vm.get(name, 0)
        self.drain_epochs_by_vm[name] = max(known, epoch)

    def is_withdrawn(self, key_id: str) -> bool:
        """Tell whether a key, by its id, is known to be withdrawn."""
        record = self.keys.keys_by_id.get(key_id)
        known = record is not None and record.withdrawn
        return known or key_id in self.withdrawn_key_ids

    def vms_of(self, pool: str, role: VmRole) -> list[Vm]:
        """Return the VMs assigned to a pool, in name order."""
        return [
            vm
            for name, vm in sorted(self.vm_list.vms_by_name.items())
            if vm.role is role and self.pool_of(vm) == pool
        ]

    def pool_of(self, vm: Vm) -> str:
        """Return the pool of a VM by its record, else by the platform's list."""
        record = self.vm_records_by_name.get(vm.name)
        return record.pool if record is not None else vm.pool

    def is_evacuated(self, vm: Vm) -> bool:
        """Tell whether a VM is in an evacuated availability zone."""
        return vm.availability_zone in self.evacuated_zones.by_zone

    def accepts_work(self, vm: Vm) -> bool:
        """Tell whether new work may be sent to a VM."""
        return not self.is_evacuated(vm) and self.is_in_service(vm)

    def is_in_service(self, vm: Vm) -> bool:
        """Tell whether a VM is neither drained nor leaving; its work may continue."""
        record = self.vm_records_by_name.get(vm.name)
        if record is not None:
            if not record.accepts_work():
                return False
            if self.drain_epochs_by_vm.get(vm.name, 0) > record.epoch:
                return False
        return vm.state is VmListState.LIVE

    def available_vms(self, pool: str, role: VmRole) -> list[Vm]:
        """Return the VMs of a pool that accept new work."""
        return [vm for vm in self.vms_of(pool, role) if self.accepts_work(vm)]
