"""Records of VMs: the pool they belong to and what is being done with them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from .platform.directory import VmRole


class VmState(Enum):
    """State of a VM in the fleet."""

    IN_SERVICE = "in_service"
    DRAINING = "draining"
    DRAINED = "drained"
    REBOOTING = "rebooting"
    MOVING = "moving"
    TRIAL = "trial"
    FAILED = "failed"
    SET_ASIDE = "set_aside"


MAX_REASONS = 20


@dataclass(frozen=True, slots=True)
class Reason:
    """One step in a VM's history: when, what and why."""

    at: str
    action: str
    cause: str
    by: str = ""


@dataclass(frozen=True, slots=True)
class VmRecord:
    """Assignment of a VM to exactly one pool, and its state."""

    name: str
    role: VmRole
    pool: str
    state: VmState = VmState.IN_SERVICE
    epoch: int = 1
    operation: str = ""
    reasons: tuple[Reason, ...] = ()

    def accepts_work(self) -> bool:
        """Tell whether new work may be sent to the VM."""
        return self.state in (VmState.IN_SERVICE, VmState.TRIAL)
