"""Interface of the platform's VM list and VM operations."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import Enum


class VmRole(Enum):
    """What a VM is used for."""

    ENTRY = "entry"
    EXECUTOR = "executor"
    WORKER = "worker"


class VmListState(Enum):
    """State of a VM in the platform's list, which may be outdated."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


class VmOperation(Enum):
    """Operation on a VM that the platform carries out."""

    DRAIN = "drain"
    REBOOT = "reboot"
    REPLACE = "replace"
    RETURN = "return"
    ASSIGN = "assign"


@dataclass(frozen=True, slots=True)
class Vm:
    """A VM as the platform's list shows it.

    ``address`` is "host:port"; memory is in bytes.
    """

    name: str
    role: VmRole
    pool: str
    region: str
    availability_zone: str
    rack: str
    address: str
    state: VmListState = VmListState.LIVE
    cores: int = 0
    memory_bytes: int = 0
    accelerators: int = 0
    boot_id: str = ""
    """Changes with every reboot or replacement."""


@dataclass(frozen=True, slots=True)
class VmList:
    """Snapshot of the platform's list; ``version`` increases with every change."""

    vms_by_name: dict[str, Vm]
    version: int


class VmDirectory(ABC):
    """The platform's VM list and VM operations.

    Methods raise StoreUnavailableError (no effect) or StoreOutcomeUnknownError.
    """

    @abstractmethod
    async def list_vms(self) -> VmList:
        """Return the platform's current, possibly outdated, list of VMs."""

    @abstractmethod
    async def operate(
        self, name: str, operation: VmOperation, *, operation_id: str, pool: str = ""
    ) -> None:
        """Start an operation; idempotent by ``operation_id``.

        ``pool`` is the new pool for VmOperation.ASSIGN.
        """

    async def close(self) -> None:  # noqa: B027
        """Release connections."""
