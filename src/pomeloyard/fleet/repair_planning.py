"""Detect failed VMs from observations and decide which of them to repair."""

from __future__ import annotations

from collections import defaultdict, deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from enum import Enum

from .vms import Cause, VmPlan, VmRecord, VmState

WINDOW = timedelta(seconds=60)
"""Maximum age of outcomes that are counted."""

MAX_OUTCOMES = 200
"""Outcomes kept for each VM."""

SILENCE_TIMEOUT = timedelta(seconds=20)
"""Time without an answer after which a VM counts as failed; longer than the 15 s
for which a process may be paused."""

MIN_FAILED_OUTCOMES = 10
FAILED_SHARE = 0.9
MIN_PARTLY_FAILED_OUTCOMES = 20
PARTLY_FAILED_SHARE = 0.2
PARTLY_FAILED_RATIO = 3.0
"""Minimum ratio of a VM's failure rate to that of the rest of its pool. A fault of
the service itself affects all VMs alike and makes none of them suspect."""

FLAPPING_BOOTS = 3
FLAPPING_WINDOW = timedelta(hours=1)
REPLACE_DELAY = timedelta(seconds=60)
"""Time in which the platform may bring back a VM before a replacement is requested."""

DETECTED_FAILURES = (Cause.VM_SILENT, Cause.VM_FAILED)
"""Causes for which a VM is taken out of service without a drain, as it serves
nothing. A partly failed or flapping VM is drained as planned work."""

REPAIR_PREFIX = "repair-"
"""Prefix of the operation IDs of repairs."""


class ObservationKind(Enum):
    """What was observed of a VM."""

    REQUEST_DONE = "request-done"
    REQUEST_FAILED = "request-failed"
    TASK_DONE = "task-done"
    TASK_FAILED = "task-failed"
    RESPONSIVE = "responsive"
    UNRESPONSIVE = "unresponsive"


_FAILURES = frozenset({ObservationKind.REQUEST_FAILED, ObservationKind.TASK_FAILED})
_SILENT = ObservationKind.UNRESPONSIVE


@dataclass(frozen=True, slots=True)
class Observation:
    """One outcome of a request or task, or one health report."""

    vm: str
    kind: ObservationKind
    at: datetime


@dataclass(frozen=True, slots=True)
class Suspicion:
    """A VM that looks failed, with the evidence."""

    vm: str
    cause: Cause
    evidence: str


@dataclass(eq=False)
class _Health:
    outcomes: deque[tuple[datetime, bool]] = field(
        default_factory=lambda: deque(maxlen=MAX_OUTCOMES)
    )
    silent_since: datetime | None = None
    boot_id: str = ""
    boots: deque[datetime] = field(default_factory=lambda: deque(maxlen=FLAPPING_BOOTS))

    def counts(self, now: datetime) -> tuple[int, int]:
        """Return the number of recent outcomes and of failures among them."""
        recent = [failed for at, failed in self.outcomes if now - at <= WINDOW]
        return len(recent), sum(recent)


class HealthTracker:
    """Keeps recent observations of each VM and detects failures."""

    def __init__(self) -> None:
        self._health_by_vm: dict[str, _Health] = defaultdict(_Health)

    def observe(self, observation: Observation) -> None:
        """Add one observation."""
        health = self._health_by_vm[observation.vm]
        if observation.kind is _SILENT:
            if health.silent_since is None:
                health.silent_since = observation.at
            return
        health.silent_since = None
        if observation.kind is not ObservationKind.RESPONSIVE:
            failed = observation.kind in _FAILURES
            health.outcomes.append((observation.at, failed))

    def record_boot(self, name: str, boot_id: str, at: datetime, planned: bool) -> None:
        """Record a VM's boot ID and count the boot if it was not planned."""
        health = self._health_by_vm[name]
        if health.boot_id not in ("", boot_id) and not planned:
            health.boots.append(at)
        health.boot_id = boot_id

    def reset(self, name: str) -> None:
        """Drop the observations of a VM, for example after its reboot."""
        health = self._health_by_vm[name]
        self._health_by_vm[name] = _Health(boot_id=health.boot_id)

    def suspicions(self, names: Iterable[str], now: datetime) -> list[Suspicion]:
        """Return the VMs of one pool that look failed, in name order."""
        names = sorted(names)
        counts = {
            name: self._health_by_vm[name].counts(now)
            for name in names
            if name in self._health_by_vm
        }
        total = sum(n for n, _ in counts.values())
        failed = sum(f for _, f in counts.values())
        suspicions = []
        for name in counts:
            n, f = counts[name]
            rest_rate = (failed - f) / max(1, total - n)
            suspicion = self._suspicion(name, now, n, f, rest_rate)
            if suspicion is not None:
                suspicions.append(suspicion)
        return suspicions

    def is_failing(self, name: str, now: datetime) -> bool:
        """Tell whether a VM on trial fails its requests or tasks."""
        if name not in self._health_by_vm:
            return False
        count, failures = self._health_by_vm[name].counts(now)
        return failures >= 3 and failures >= FAILED_SHARE * count

    def _suspicion(
        self, name: str, now: datetime, count: int, failures: int, rest_rate: float
    ) -> Suspicion | None:
        health = self._health_by_vm[name]
        silent_since = health.silent_since
        if silent_since is not None and now - silent_since >= SILENCE_TIMEOUT:
            return Suspicion(name, Cause.VM_SILENT, f"since {silent_since}")
        rate = failures / count if count else 0.0
        evidence = f"{failures} of {count} failed, {rest_rate:.0%} elsewhere"
        unusual = rate >= PARTLY_FAILED_RATIO * rest_rate
        if count >= MIN_FAILED_OUTCOMES and rate >= FAILED_SHARE and unusual:
            return Suspicion(name, Cause.VM_FAILED, evidence)
        many = count >= MIN_PARTLY_FAILED_OUTCOMES
        if many and rate >= PARTLY_FAILED_SHARE and unusual:
            return Suspicion(name, Cause.VM_PARTLY_FAILED, evidence)
        recent = [at for at in health.boots if now - at <= FLAPPING_WINDOW]
        if len(recent) >= FLAPPING_BOOTS:
            return Suspicion(name, Cause.VM_FLAPPING, f"{len(recent)} boots")
        return None


@dataclass(frozen=True, slots=True)
class RepairAlarm:
    """More VMs of a pool are suspect at once than may be repaired; none is."""

    pool: str
    limit: int
    suspects: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class RepairPlan:
    """Actions in one pool: fail VMs, drain VMs within the budget, and repair."""

    fail: tuple[Suspicion, ...] = ()
    drain: tuple[Suspicion, ...] = ()
    repair: tuple[tuple[str, VmPlan], ...] = ()
    alarm: RepairAlarm | None = None


def repair_limit(vms: int, max_repairs: float) -> int:
    """Return how many VMs of a pool may be in repair at once.

    >>> repair_limit(6, 0.05), repair_limit(740, 0.05)
    (1, 37)
    """
    return max(1, int(vms * max_repairs))


def plan_repairs(
    pool: str,
    vms_by_name: Mapping[str, VmRecord],
    suspicions: Iterable[Suspicion],
    now: datetime,
    max_repairs: float,
) -> RepairPlan:
    """Return the repairs to start in a pool.

    VMs that the platform reports as gone are certain and are repaired up to the
    limit. Suspicions come from detectors that may be wrong; when more VMs are
    suspect at once than the limit allows, none of them is acted on.
    """
    limit = repair_limit(len(vms_by_name), max_repairs)
    vms = [vm for _, vm in sorted(vms_by_name.items())]
    free = max(0, limit - sum(_in_repair(vm) for vm in vms))
    failed = [vm for vm in vms if vm.state is VmState.FAILED]
    planned = [(vm.name, plan) for vm in failed if (plan := _repair_plan(vm, now))]
    repair = tuple(planned[:free])
    suspects = [s for s in suspicions if vms_by_name[s.vm].state is VmState.IN_SERVICE]
    detected = sum(vm.reasons[-1].cause in DETECTED_FAILURES for vm in failed)
    if detected + len(suspects) > limit:
        names = tuple(s.vm for s in suspects)
        return RepairPlan(repair=repair, alarm=RepairAlarm(pool, limit, names))
    chosen = suspects[: max(0, free - len(planned))]
    return RepairPlan(
        fail=tuple(s for s in chosen if s.cause in DETECTED_FAILURES),
        drain=tuple(s for s in chosen if s.cause not in DETECTED_FAILURES),
        repair=repair,
    )


def _in_repair(vm: VmRecord) -> bool:
    idle = (VmState.IN_SERVICE, VmState.FAILED, VmState.SET_ASIDE)
    return vm.state not in idle and vm.operation.startswith(REPAIR_PREFIX)


def _repair_plan(vm: VmRecord, now: datetime) -> VmPlan | None:
    """Return the plan for a failed VM, or None to wait."""
    cause = vm.reasons[-1].cause
    if cause is Cause.VM_LEAVING:
        return None  # The platform will remove the VM or return it.
    if cause is Cause.VM_GONE:
        overdue = vm.since is None or now - vm.since >= REPLACE_DELAY
        return VmPlan.REPLACE if overdue else None
    if cause is Cause.TRIAL_FAILED:
        return VmPlan.REPLACE
    return VmPlan.REBOOT
