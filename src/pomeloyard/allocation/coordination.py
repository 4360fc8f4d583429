"""Computes team targets and lending advice from the demand of all daemons.

The coordinator only advises: daemons enforce limits and slots on their own, so a
late, lost or contradictory round makes shares less accurate and does no other harm.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from datetime import timedelta

from ..shares import weighted_max_min
from .loans import LIMIT, SLOTS, Resource
from .partitions import base_amount

REPORT_LIFETIME = timedelta(seconds=1.5)
"""Reports older than this are excluded from the targets."""

CREDIT_PAYBACK_SECONDS = 1.0
"""Time over which a team is compensated for service it missed."""

CREDIT_DECAY_SECONDS = 10.0
"""Time constant of credit decay; share errors are evaluated over 10 s windows."""


MOVE_THRESHOLD_UNITS = 0.6
"""Difference between need and current amount up to which no unit is moved."""


MAX_CARRIED_SLOTS = 2.0
"""Largest rounding error in slots that is carried over to later rounds."""


@dataclass(frozen=True, slots=True)
class Demand:
    """A team's demand for a service at one daemon.

    ``served_seconds`` is the slot time received since the daemon started.
    """

    service: str
    team: str
    queued: int
    running: int
    served_seconds: float


@dataclass(frozen=True, slots=True)
class Report:
    """A daemon's latest report; ``received_at`` is monotonic."""

    incarnation: str
    received_at: timedelta
    ready_partitions: tuple[int, ...]
    demands: tuple[Demand, ...]


@dataclass(frozen=True, slots=True)
class FleetCapacity:
    """Capacity, team weights and limits from which targets are computed."""

    partitions: int
    slots_by_vm: Mapping[str, int]
    vms_by_service: Mapping[str, tuple[str, ...]]
    weights_by_team: Mapping[str, float]
    units_by_team: Mapping[str, int]


@dataclass(frozen=True, slots=True)
class Advice:
    """Targets in slots by (service, team), and lending by resource and borrower."""

    targets: dict[tuple[str, str], float] = field(default_factory=dict)
    lend: dict[Resource, dict[str, int]] = field(default_factory=dict)


class Coordinator:
    """Collects demand reports, keeps team credits and computes advice."""

    def __init__(self) -> None:
        self._reports_by_daemon: dict[str, Report] = {}
        self._served_by_daemon: dict[str, dict[tuple[str, str], float]] = {}
        self._received: dict[tuple[str, str], float] = defaultdict(float)
        self._credits: dict[tuple[str, str], float] = defaultdict(float)
        self._planned_at: timedelta | None = None
        self._entitlements: dict[tuple[str, str], float] = {}
        self._layout_by_resource: dict[Resource, dict[str, int]] = {}
        self._carried_by_service: dict[str, dict[str, float]] = {}

    def add_report(self, report: Report) -> None:
        """Store a report, and add the service received since the previous one."""
        before = self._served_by_daemon.get(report.incarnation, {})
        now = {(d.service, d.team): d.served_seconds for d in report.demands}
        for key, served in now.items():
            if key in before:
                self._received[key] += max(0.0, served - before[key])
        self._served_by_daemon[report.incarnation] = {**before, **now}
        self._reports_by_daemon[report.incarnation] = report

    def plan(self, fleet: FleetCapacity, now: timedelta) -> dict[str, Advice]:
        """Return advice for each daemon with a recent report."""
        self._expire_reports(now)
        self._update_credits(now)
        demands = _demand_by_service(self._reports_by_daemon.values())
        self._entitlements = entitlements(fleet, demands)
        advice = {name: Advice() for name in self._reports_by_daemon}
        wanted: dict[Resource, dict[str, int]] = {}
        for service, vms in fleet.vms_by_service.items():
            targets = self._targets(fleet, service, vms, demands.get(service, {}))
            _add_targets(advice, service, targets)
            wanted.update(self._slot_layout(fleet, service, vms, targets))
        wanted.update(self._unit_layout(fleet))
        for resource, amounts in wanted.items():
            self._layout_by_resource[resource] = amounts
            base = self._base_by_daemon(fleet, resource)
            for lender, lend in lending(base, amounts).items():
                advice[lender].lend[resource] = lend
        return advice

    def _expire_reports(self, now: timedelta) -> None:
        for name, report in list(self._reports_by_daemon.items()):
            if now - report.received_at > REPORT_LIFETIME:
                del self._reports_by_daemon[name]
                self._served_by_daemon.pop(name, None)

    def _update_credits(self, now: timedelta) -> None:
        """Add the entitled and subtract the received service since the last round."""
        if self._planned_at is not None:
            elapsed = (now - self._planned_at).total_seconds()
            kept = math.exp(-elapsed / CREDIT_DECAY_SECONDS)
            for key in self._credits.keys() | self._entitlements.keys():
                entitled = self._entitlements.get(key)
                if entitled is None:
                    self._credits[key] = 0.0
                    continue
                gained = entitled * elapsed - self._received.get(key, 0.0)
                limit = 2.0 * CREDIT_PAYBACK_SECONDS * (1.0 + entitled)
                credit = self._credits[key] * kept + gained
                self._credits[key] = max(-limit, min(limit, credit))
        self._received.clear()
        self._planned_at = now

    def _targets(
        self,
        fleet: FleetCapacity,
        service: str,
        vms: tuple[str, ...],
        demand_by_team: Mapping[str, Mapping[str, int]],
    ) -> dict[str, dict[str, float]]:
        """Return target slots by team and daemon."""
        capacity = float(sum(fleet.slots_by_vm.get(vm, 0) for vm in vms))
        corrected: dict[str, float] = {}
        for team, by_daemon in demand_by_team.items():
            entitled = self._entitlements.get((service, team), 0.0)
            credit = self._credits.get((service, team), 0.0)
            slots = entitled + credit / CREDIT_PAYBACK_SECONDS
            corrected[team] = min(max(0.1, slots), float(sum(by_daemon.values())))
        total = sum(corrected.values())
        scale = min(1.0, capacity / total) if total else 1.0
        return {
            team: _split_proportionally(slots * scale, demand_by_team[team])
            for team, slots in corrected.items()
        }

    def _slot_layout(
        self,
        fleet: FleetCapacity,
        service: str,
        vms: tuple[str, ...],
        targets: Mapping[str, Mapping[str, float]],
    ) -> dict[Resource, dict[str, int]]:
        """Return how many slots of each VM each daemon should have."""
        daemons = sorted(self._reports_by_daemon)
        resources = {vm: Resource(SLOTS, vm) for vm in vms}
        base = {vm: self._base_by_daemon(fleet, r) for vm, r in resources.items()}
        layout = {
            vm: _previous_or_base(self._layout_by_resource.get(resources[vm]), base[vm])
            for vm in vms
        }
        needed = dict.fromkeys(daemons, 0.0)
        for by_daemon in targets.values():
            for daemon, slots in by_daemon.items():
                needed[daemon] += slots
        total = sum(sum(amounts.values()) for amounts in layout.values())
        held = {d: sum(layout[vm].get(d, 0) for vm in vms) for d in daemons}
        base_held = {d: sum(base[vm].get(d, 0) for vm in vms) for d in daemons}
        goals = self._slot_goals(service, total, needed, held, base_held)
        _move_slots(layout, held, goals)
        return {resources[vm]: amounts for vm, amounts in layout.items()}

    def _slot_goals(
        self,
        service: str,
        total: int,
        needed: Mapping[str, float],
        held: Mapping[str, int],
        base: Mapping[str, int],
    ) -> dict[str, int]:
        """Return whole slots by daemon that match the need on average.

        Rounding errors are carried over to later rounds; otherwise a team that is
        alone at a daemon would gain or lose by them in every round.
        """
        full = sum(needed.values()) >= total - 0.5
        carried = self._carried_by_service.get(service, {}) if full else {}
        adjusted = {d: max(0.0, n + carried.get(d, 0.0)) for d, n in needed.items()}
        goals = allocate_units(total, adjusted, held, base)
        self._carried_by_service[service] = {
            d: max(
                -MAX_CARRIED_SLOTS,
                min(MAX_CARRIED_SLOTS, carried.get(d, 0.0) + n - goals[d]),
            )
            for d, n in needed.items()
        }
        return goals

    def _unit_layout(self, fleet: FleetCapacity) -> dict[Resource, dict[str, int]]:
        """Return how many units of each team's limit each daemon should have."""
        wanted: dict[str, dict[str, float]] = defaultdict(dict)
        for name, report in self._reports_by_daemon.items():
            for demand in report.demands:
                units = wanted[demand.team].get(name, 0.0)
                wanted[demand.team][name] = units + demand.queued + demand.running
        result = {}
        for team, by_daemon in wanted.items():
            resource = Resource(LIMIT, team)
            base = self._base_by_daemon(fleet, resource)
            total = sum(base.values())
            before = _previous_or_base(self._layout_by_resource.get(resource), base)
            needed = weighted_max_min(total, by_daemon, {})
            full = {name: needed.get(name, 0.0) for name in self._reports_by_daemon}
            result[resource] = allocate_units(total, full, before, base)
        for resource in self._layout_by_resource:
            if resource.kind == LIMIT and resource.name not in wanted:
                result[resource] = self._base_by_daemon(fleet, resource)
        return result

    def _base_by_daemon(
        self, fleet: FleetCapacity, resource: Resource
    ) -> dict[str, int]:
        amounts = fleet.slots_by_vm if resource.kind == SLOTS else fleet.units_by_team
        total = amounts.get(resource.name, 0)
        return {
            name: sum(
                base_amount(resource.name, total, number, fleet.partitions)
                for number in report.ready_partitions
            )
            for name, report in sorted(self._reports_by_daemon.items())
        }


def entitlements(
    fleet: FleetCapacity, demands: Mapping[str, Mapping[str, Mapping[str, int]]]
) -> dict[tuple[str, str], float]:
    """Return the slots that each (service, team) is entitled to.

    Capacity is divided by weighted max-min fairness within each service. If a
    team's sum over all services exceeds its limit, its entitlements are scaled
    down proportionally and a second pass gives other teams the rest.
    """
    caps: dict[tuple[str, str], float] = {}
    result: dict[tuple[str, str], float] = {}
    for _ in range(2):
        for service, vms in fleet.vms_by_service.items():
            capacity = sum(fleet.slots_by_vm.get(vm, 0) for vm in vms)
            wanted = {
                team: min(sum(by.values()), caps.get((service, team), math.inf))
                for team, by in demands.get(service, {}).items()
            }
            slots = weighted_max_min(capacity, wanted, fleet.weights_by_team)
            result.update({(service, team): s for team, s in slots.items()})
        sums: dict[str, float] = defaultdict(float)
        for (_, team), slots_of_team in result.items():
            sums[team] += slots_of_team
        for key, slots_of_team in result.items():
            limit = float(fleet.units_by_team.get(key[1], 0))
            if sums[key[1]] > limit:
                caps[key] = slots_of_team * limit / sums[key[1]]
        if not caps:
            break
    return result


def allocate_units(
    total: int,
    needed: Mapping[str, float],
    before: Mapping[str, int],
    base: Mapping[str, int],
) -> dict[str, int]:
    """Divide ``total`` units by need; spare units stay where they are.

    Amounts close to the need are left unchanged, because moving a unit takes a
    recall and a grant.

    >>> allocate_units(6, {"a": 3.4, "b": 0.6}, {"a": 3, "b": 3}, {"a": 3, "b": 3})
    {'a': 4, 'b': 2}
    """
    scale = min(1.0, total / sum(needed.values())) if sum(needed.values()) else 0.0
    exact = {name: need * scale for name, need in needed.items()}
    spare = total - sum(exact.values())
    weight = {name: before.get(name, 0) + base.get(name, 0) + 1e-6 for name in needed}
    weights = sum(weight.values())
    for name in exact:
        exact[name] += spare * weight[name] / weights if weights else 0.0
    kept = {
        name: before.get(name, 0)
        if abs(exact[name] - before.get(name, 0)) <= MOVE_THRESHOLD_UNITS
        else math.floor(exact[name])
        for name in needed
    }
    missing = total - sum(kept.values())
    while missing:
        step = 1 if missing > 0 else -1
        candidates = [name for name in kept if kept[name] + step >= 0]
        if not candidates:
            break
        best = max(candidates, key=lambda n: ((exact[n] - kept[n]) * step, n))
        kept[best] += step
        missing -= step
    return kept


def lending(
    base: Mapping[str, int], amounts: Mapping[str, int]
) -> dict[str, dict[str, int]]:
    """Return how many units each lender should lend to each borrower.

    >>> lending({"a": 4, "b": 4, "c": 4}, {"a": 2, "b": 3, "c": 7})
    {'a': {'c': 2}, 'b': {'c': 1}, 'c': {}}
    """
    short = {n: amounts.get(n, 0) - base[n] for n in sorted(base)}
    result: dict[str, dict[str, int]] = {name: {} for name in base}
    borrowers = [name for name, missing in short.items() if missing > 0]
    for lender in base:
        surplus = -short[lender]
        for borrower in borrowers:
            amount = min(surplus, short[borrower])
            if amount > 0:
                result[lender][borrower] = amount
                short[borrower] -= amount
                surplus -= amount
    return result


def _demand_by_service(
    reports: Iterable[Report],
) -> dict[str, dict[str, dict[str, int]]]:
    result: dict[str, dict[str, dict[str, int]]] = {}
    for report in reports:
        for demand in report.demands:
            wanted = demand.queued + demand.running
            if wanted:
                teams = result.setdefault(demand.service, {})
                teams.setdefault(demand.team, {})[report.incarnation] = wanted
    return result


def _add_targets(
    advice: Mapping[str, Advice],
    service: str,
    targets: Mapping[str, Mapping[str, float]],
) -> None:
    for team, by_daemon in targets.items():
        for daemon, slots in by_daemon.items():
            advice[daemon].targets[service, team] = slots


def _split_proportionally(amount: float, parts: Mapping[str, int]) -> dict[str, float]:
    total = sum(parts.values())
    return {name: amount * part / total for name, part in parts.items()}


def _previous_or_base(
    before: Mapping[str, int] | None, base: Mapping[str, int]
) -> dict[str, int]:
    """Return the last layout if daemons and total are unchanged, else the base."""
    if (
        before is None
        or before.keys() != base.keys()
        or sum(before.values()) != sum(base.values())
    ):
        return dict(base)
    return dict(before)


def _move_slots(
    layout: Mapping[str, dict[str, int]],
    held: dict[str, int],
    goals: Mapping[str, int],
) -> None:
    """Move slots between daemons until each has its goal; updates ``held`` too."""
    sources = [d for d in held if held[d] > goals[d]]
    destinations = [d for d in held if held[d] < goals[d]]
    for destination in destinations:
        for source in sources:
            while (
                held[destination] < goals[destination] and held[source] > goals[source]
            ):
                # Taking from the VM with most slots keeps both daemons spread over VMs.
                vm = max(layout, key=lambda v: (layout[v].get(source, 0), v))
                layout[vm][source] -= 1
                layout[vm][destination] = layout[vm].get(destination, 0) + 1
                held[source] -= 1
                held[destination] += 1
