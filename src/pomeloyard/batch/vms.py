"""Interface to the VMs of the pools and the operations on them."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import Enum


class VmState(Enum):
    """What the platform says of a VM; its list lags behind."""

    UP = "up"
    MOVING = "moving"
    IN_UPKEEP = "in-upkeep"
    DOWN = "down"


@dataclass(frozen=True, slots=True)
class PoolVm:
    """A VM of a pool; each of its lives is another executor."""

    name: str
    pool: str
    state: VmState
    executor_id: str
    """The present executor; "" if there is none."""
    rack: str = ""


class VmAnswer(Enum):
    """What became of an operation; only DONE means that it took effect."""

    DONE = "done"
    BUSY = "busy"
    """The VM is not up, or it is leaving."""
    NOT_OF_WAVE = "not-of-wave"
    INVALID = "invalid"
    THROTTLED = "throttled"
    HELD_BACK = "held-back"
    """It was never ordered: too many lasting tasks would be away."""


class VmService(ABC):
    """Operations on VMs under a fencing token.

    Every method raises CallNotSentError, CallUnansweredError (the operation may be
    carried out, also seconds later) or StaleFenceError.
    """

    @abstractmethod
    async def list(self) -> tuple[PoolVm, ...]:
        """Return all VMs."""

    @abstractmethod
    async def move(self, vm: str, pool: str, holder: str, fence: int) -> VmAnswer:
        """Move a VM; all that runs on it ends at once."""

    @abstractmethod
    async def maintain(self, vm: str, wave: int, holder: str, fence: int) -> VmAnswer:
        """Begin the maintenance of a VM; all that runs on it ends at once."""
