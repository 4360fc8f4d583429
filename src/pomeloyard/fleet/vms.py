"""VM records: pool, state, operation in progress and history."""

from __future__ import annotations

from dataclasses import dataclass, replace
from datetime import datetime
from enum import Enum
from typing import Any

from ..vm_platform.directory import VmRole


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


class VmPlan(Enum):
    """What happens to a VM once it is drained."""

    NONE = "none"
    HOLD = "hold"
    REBOOT = "reboot"
    REPLACE = "replace"
    MOVE = "move"


class DrainStatus(Enum):
    """Whether a drain is complete, and what it waits for."""

    CLEAR = "clear"
    REQUESTS_RUNNING = "requests-running"
    TASKS_RUNNING = "tasks-running"
    DAEMONS_SILENT = "daemons-silent"
    TIMED_OUT_SILENT = "silent-daemons-timed-out"


class Cause(Enum):
    """Why a VM's record changed."""

    ADOPTED = "adopted"
    OPERATOR = "asked-for-by-operator"
    WAVE = "wave"
    WAVE_STOPPED = "wave-stopped"
    WAVE_CANCELLED = "wave-cancelled"
    LEND = "lent-to-peak"
    GIVE_BACK = "given-back"
    NOTHING_RUNNING = "nothing-running"
    DAEMONS_SILENT = "silent-daemons-timed-out"
    PLAN = "next-step-of-plan"
    NEW_BOOT = "new-boot-seen"
    ASSIGNED = "assigned-to-pool"
    TRIAL_PASSED = "trial-passed"
    TRIAL_FAILED = "trial-failed"
    OPERATION_TIMED_OUT = "operation-timed-out"
    ATTEMPTS_USED_UP = "attempts-used-up"
    VM_BACK = "vm-back-in-list"
    VM_GONE = "vm-gone"
    VM_LEAVING = "vm-leaving"
    VM_SILENT = "vm-silent"
    VM_FAILED = "vm-failed"
    VM_FLAPPING = "vm-flapping"
    VM_PARTLY_FAILED = "vm-partly-failed"


MAX_REASONS = 20
"""Number of history entries that a VM's record keeps."""


@dataclass(frozen=True, slots=True)
class Reason:
    """One entry of a VM's history: when, which new state, why and by whom."""

    at: datetime
    action: VmState
    cause: Cause
    by: str = ""
    detail: str = ""


@dataclass(frozen=True, slots=True)
class VmRecord:
    """A VM's assignment to exactly one pool, its state and its operation."""

    name: str
    role: VmRole
    pool: str
    state: VmState = VmState.IN_SERVICE
    epoch: int = 1
    operation: str = ""
    """ID of the operation that took the VM out of service, or empty."""
    plan: VmPlan = VmPlan.NONE
    target_pool: str = ""
    home_pool: str = ""
    """Pool that lent the VM, or empty."""
    availability_zone: str = ""
    rack: str = ""
    since: datetime | None = None
    deadline: datetime | None = None
    """When the state times out: end of the drain timeout, reboot timeout or trial."""
    verify_by: datetime | None = None
    """Time after which a daemon that does not answer no longer blocks a drain."""
    waiting: DrainStatus | None = None
    """What a drain waits for, according to the latest verification."""
    asked: tuple[str, ...] = ()
    """Daemons known at the start of the drain; each must confirm it."""
    boot_id: str = ""
    """Boot ID before a reboot, or that of the boot on trial."""
    attempts: int = 0
    wave: str = ""
    last_wave: str = ""
    maintained_at: datetime | None = None
    failed_at: datetime | None = None
    reasons: tuple[Reason, ...] = ()

    def accepts_work(self) -> bool:
        """Tell whether new work may be sent to the VM."""
        return self.state in (VmState.IN_SERVICE, VmState.TRIAL)

    def must_evacuate(self, now: datetime) -> bool:
        """Tell whether the drain timed out and tasks must be checkpointed or moved."""
        return (
            self.state is VmState.DRAINING
            and self.deadline is not None
            and now >= self.deadline
        )

    def with_step(
        self,
        now: datetime,
        state: VmState,
        cause: Cause,
        *,
        by: str = "controller",
        detail: str = "",
        **changes: Any,
    ) -> VmRecord:
        """Return the record after one step, which is added to its history."""
        reasons = (*self.reasons, Reason(now, state, cause, by, detail))
        return replace(
            self,
            state=state,
            epoch=self.epoch + 1,
            since=now,
            reasons=reasons[-MAX_REASONS:],
            **changes,
        )
