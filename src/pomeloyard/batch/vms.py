"""Interface to the platform's service for the VMs of the pools."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import Enum


class VmState(Enum):
    """State of a VM in the platform's list, which lags behind the actual state."""

    UP = "up"
    MOVING = "moving"
    IN_MAINTENANCE = "in-upkeep"
    DOWN = "down"


@dataclass(frozen=True, slots=True)
class PoolVm:
    """A VM of a pool; each restart gives it a new executor."""

    name: str
    pool: str
    state: VmState
    executor_id: str
    """The current executor; "" if there is none."""
    rack: str = ""
    availability_zone: str = ""


class VmAnswer(Enum):
    """Result of a requested operation; only DONE means that it took effect."""

    DONE = "done"
    BUSY = "busy"
    """The VM is not up, or another operation is about to take it down."""
    NOT_IN_WAVE = "not-of-wave"
    INVALID = "invalid"
    THROTTLED = "throttled"
    HELD_BACK = "held-back"
    """The operation was never requested, as it would exceed a disruption budget."""


class VmService(ABC):
    """Operations on VMs under a fencing token.

    Every method raises CallNotSentError, CallUnansweredError (the operation may have
    been carried out, or may be within seconds) or StaleFenceError.
    """

    @abstractmethod
    async def list(self) -> tuple[PoolVm, ...]:
        """Return all VMs."""

    @abstractmethod
    async def move(self, vm: str, pool: str, holder: str, fence: int) -> VmAnswer:
        """Move a VM to another pool, ending all runs on it at once."""

    @abstractmethod
    async def maintain(self, vm: str, wave: int, holder: str, fence: int) -> VmAnswer:
        """Begin the maintenance of a VM, ending all runs on it at once."""
