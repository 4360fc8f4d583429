"""From all daemons' demand to targets for teams and advice on lending.

The coordinator only advises. Limits and slots are safe whatever it says, so a
late, lost or contradictory round costs accuracy of shares and nothing else.
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
"""A daemon that has not reported for this long is left out of the targets."""

CREDIT_HORIZON_SECONDS = 1.0
"""Time within which a team's missing service is made up for."""

CREDIT_MEMORY_SECONDS = 10.0
"""Decay of credits; the share error is read over windows of 10 s."""


KEEP_WITHIN = 0.6
"""Units by which an amount may differ from the need before a unit is moved."""


MAX_CARRIED = 2.0
"""Bound of the rounding error that is carried into later rounds, in slots."""


@dataclass(frozen=True, slots=True)
class Demand:
    """Requests of a team for a service at one daemon.

    ``served_seconds`` is the slot time received since the daemon's start.
    """

    service: str
    team: str
    queued: int
    running: int
    served_seconds: float


@dataclass(frozen=True, slots=True)
class Report:
    """What one daemon has reported; ``at`` is monotonic time of arrival."""

    incarnation: str
    at: timedelta
    ready_partitions: tuple[int, ...]
    demands: tuple[Demand, ...]


@dataclass(frozen=True, slots=True)
class FleetShape:
    """Capacity and weights that targets are computed from."""

    partitions: int
    slots_by_vm: Mapping[str, int]
    vms_by_service: Mapping[str, tuple[str, ...]]
    weights_by_team: Mapping[str, float]
    units_by_team: Mapping[str, int]


@dataclass(frozen=True, slots=True)
class Advice:
    """Targets in slots by (service, team), and amounts to lend by resource."""

    targets: dict[tuple[str, str], float] = field(default_factory=dict)
    lend: dict[Resource, dict[str, int]] = field(default_factory=dict)


class Coordinator:
    """Keeps reports and service credits, and plans rounds of advice."""

    def __init__(self) -> None:
        self._reports: dict[str, Report] = {}
        self._served: dict[str, dict[tuple[str, str], float]] = {}
        self._received: dict[tuple[str, str], float] = defaultdict(float)
        self._credits: dict[tuple[str, str], float] = defaultdict(float)
        self._planned_at: timedelta | None = None
        self._entitled: dict[tuple[str, str], float] = {}
        self._layout: dict[Resource, dict[str, int]] = {}
        self._carried: dict[str, dict[str, float]] = {}

    def add_report(self, report: Report) -> None:
        """Take a daemon's report and the service its teams received since."""
        before = self._served.get(report.incarnation, {})
        now = {(d.service, d.team): d.served_seconds for d in report.demands}
        for key, served in now.items():
            if key in before:
                self._received[key] += max(0.0, served - before[key])
        self._served[report.incarnation] = {**before, **now}
        self._reports[report.incarnation] = report

    def plan(self, shape: FleetShape, now: timedelta) -> dict[str, Advice]:
        """Return advice for each daemon that has reported lately."""
        self._forget_old(now)
        self._settle_credits(now)
        demands = _demand_by_service(self._reports.values())
        self._entitled = entitlements(shape, demands)
        advice = {name: Advice() for name in self._reports}
        wanted: dict[Resource, dict[str, int]] = {}
        for service, vms in shape.vms_by_service.items():
            targets = self._targets(shape, service, vms, demands.get(service, {}))
            _add_targets(advice, service, targets)
            wanted.update(self._slot_layout(shape, service, vms, targets))
        wanted.update(self._unit_layout(shape))
        for resource, amounts in wanted.items():
            self._layout[resource] = amounts
            base = self._base_by_daemon(shape, resource)
            for lender, lend in lending(base, amounts).items():
                advice[lender].lend[resource] = lend
        return advice

    def _forget_old(self, now: timedelta) -> None:
        for name, report in list(self._reports.items()):
            if now - report.at > REPORT_LIFETIME:
                del self._reports[name]
                self._served.pop(name, None)

    def _settle_credits(self, now: timedelta) -> None:
        """Add entitled and subtract received service since the last round."""
        if self._planned_at is not None:
            elapsed = (now - self._planned_at).total_seconds()
            kept = math.exp(-elapsed / CREDIT_MEMORY_SECONDS)
            for key in self._credits.keys() | self._entitled.keys():
                entitled = self._entitled.get(key)
                if entitled is None:
                    self._credits[key] = 0.0
                    continue
                gained = entitled * elapsed - self._received.get(key, 0.0)
                limit = 2.0 * CREDIT_HORIZON_SECONDS * (1.0 + entitled)
                credit = self._credits[key] * kept + gained
                self._credits[key] = max(-limit, min(limit, credit))
        self._received.clear()
        self._planned_at = now

    def _targets(
        self,
        shape: FleetShape,
        service: str,
        vms: tuple[str, ...],
        demand_by_team: Mapping[str, Mapping[str, int]],
    ) -> dict[str, dict[str, float]]:
        """Return slots by team and daemon."""
        capacity = float(sum(shape.slots_by_vm.get(vm, 0) for vm in vms))
        corrected: dict[str, float] = {}
        for team, by_daemon in demand_by_team.items():
            entitled = self._entitled.get((service, team), 0.0)
            credit = self._credits.get((service, team), 0.0)
            slots = entitled + credit / CREDIT_HORIZON_SECONDS
            corrected[team] = min(max(0.1, slots), float(sum(by_daemon.values())))
        total = sum(corrected.values())
        scale = min(1.0, capacity / total) if total else 1.0
        return {
            team: _in_proportion(slots * scale, demand_by_team[team])
            for team, slots in corrected.items()
        }

    def _slot_layout(
        self,
        shape: FleetShape,
        service: str,
        vms: tuple[str, ...],
        targets: Mapping[str, Mapping[str, float]],
    ) -> dict[Resource, dict[str, int]]:
        """Return how many slots of each VM each daemon should have."""
        daemons = sorted(self._reports)
        resources = {vm: Resource(SLOTS, vm) for vm in vms}
        base = {vm: self._base_by_daemon(shape, r) for vm, r in resources.items()}
        layout = {
            vm: _continued(self._layout.get(resources[vm]), base[vm]) for vm in vms
        }
        needed = dict.fromkeys(daemons, 0.0)
        for by_daemon in targets.values():
            for daemon, slots in by_daemon.items():
                needed[daemon] += slots
        total = sum(sum(amounts.values()) for amounts in layout.values())
        held = {d: sum(layout[vm].get(d, 0) for vm in vms) for d in daemons}
        base_held = {d: sum(base[vm].get(d, 0) for vm in vms) for d in daemons}
        goal = self._goal(service, total, needed, held, base_held)
        _shift(layout, held, goal)
        return {resources[vm]: amounts for vm, amounts in layout.items()}

    def _goal(
        self,
        service: str,
        total: int,
        needed: Mapping[str, float],
        held: Mapping[str, int],
        base: Mapping[str, int],
    ) -> dict[str, int]:
        """Return whole slots by daemon that follow the need on average.

        What rounding gave too much or too little is carried into later rounds;
        else a team alone at a daemon would gain or lose by it all the time.
        """
        full = sum(needed.values()) >= total - 0.5
        carried = self._carried.get(service, {}) if full else {}
        adjusted = {d: max(0.0, n + carried.get(d, 0.0)) for d, n in needed.items()}
        goal = whole_amounts(total, adjusted, held, base)
        self._carried[service] = {
            d: max(-MAX_CARRIED, min(MAX_CARRIED, carried.get(d, 0.0) + n - goal[d]))
            for d, n in needed.items()
        }
        return goal

    def _unit_layout(self, shape: FleetShape) -> dict[Resource, dict[str, int]]:
        """Return how many units of each team's limit each daemon should have."""
        wanted: dict[str, dict[str, float]] = defaultdict(dict)
        for name, report in self._reports.items():
            for demand in report.demands:
                units = wanted[demand.team].get(name, 0.0)
                wanted[demand.team][name] = units + demand.queued + demand.running
        result = {}
        for team, by_daemon in wanted.items():
            resource = Resource(LIMIT, team)
            base = self._base_by_daemon(shape, resource)
            total = sum(base.values())
            before = _continued(self._layout.get(resource), base)
            needed = weighted_max_min(total, by_daemon, {})
            full = {name: needed.get(name, 0.0) for name in self._reports}
            result[resource] = whole_amounts(total, full, before, base)
        for resource in self._layout:
            if resource.kind == LIMIT and resource.name not in wanted:
                result[resource] = self._base_by_daemon(shape, resource)
        return result

    def _base_by_daemon(self, shape: FleetShape, resource: Resource) -> dict[str, int]:
        amounts = shape.slots_by_vm if resource.kind == SLOTS else shape.units_by_team
        total = amounts.get(resource.name, 0)
        return {
            name: sum(
                base_amount(resource.name, total, number, shape.partitions)
                for number in report.ready_partitions
            )
            for name, report in sorted(self._reports.items())
        }


def entitlements(
    shape: FleetShape, demands: Mapping[str, Mapping[str, Mapping[str, int]]]
) -> dict[tuple[str, str], float]:
    """Return the slots that each (service, team) is entitled to.

    Weighted max-min within each service; a team whose limit is smaller than the
    sum over its services is reduced in proportion, and others get what it leaves.
    """
    caps: dict[tuple[str, str], float] = {}
    result: dict[tuple[str, str], float] = {}
    for _ in range(2):
        for service, vms in shape.vms_by_service.items():
            capacity = sum(shape.slots_by_vm.get(vm, 0) for vm in vms)
            wanted = {
                team: min(sum(by.values()), caps.get((service, team), math.inf))
                for team, by in demands.get(service, {}).items()
            }
            slots = weighted_max_min(capacity, wanted, shape.weights_by_team)
            result.update({(service, team): s for team, s in slots.items()})
        sums: dict[str, float] = defaultdict(float)
        for (_, team), slots_of_team in result.items():
            sums[team] += slots_of_team
        for key, slots_of_team in result.items():
            limit = float(shape.units_by_team.get(key[1], 0))
            if sums[key[1]] > limit:
                caps[key] = slots_of_team * limit / sums[key[1]]
        if not caps:
            break
    return result


def whole_amounts(
    total: int,
    needed: Mapping[str, float],
    before: Mapping[str, int],
    base: Mapping[str, int],
) -> dict[str, int]:
    """Divide ``total`` units as needed; what nobody needs stays where it was.

    An amount close to the need is kept, because every move of a unit
    costs a recall and a grant.

    >>> whole_amounts(6, {"a": 3.4, "b": 0.6}, {"a": 3, "b": 3}, {"a": 3, "b": 3})
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
        if abs(exact[name] - before.get(name, 0)) <= KEEP_WITHIN
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
    """Return for each lender how much each borrower should have from it.

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


def _in_proportion(amount: float, parts: Mapping[str, int]) -> dict[str, float]:
    total = sum(parts.values())
    return {name: amount * part / total for name, part in parts.items()}


def _continued(
    before: Mapping[str, int] | None, base: Mapping[str, int]
) -> dict[str, int]:
    """Return the last layout if it still fits the capacity, else the base."""
    if (
        before is None
        or before.keys() != base.keys()
        or sum(before.values()) != sum(base.values())
    ):
        return dict(base)
    return dict(before)


def _shift(
    layout: Mapping[str, dict[str, int]],
    held: dict[str, int],
    goal: Mapping[str, int],
) -> None:
    """Move slots between daemons until each has its goal."""
    givers = [d for d in held if held[d] > goal[d]]
    takers = [d for d in held if held[d] < goal[d]]
    for taker in takers:
        for giver in givers:
            while held[taker] < goal[taker] and held[giver] > goal[giver]:
                # The VM of which the giver has most leaves both with a spread.
                vm = max(layout, key=lambda v: (layout[v].get(giver, 0), v))
                layout[vm][giver] -= 1
                layout[vm][taker] = layout[vm].get(taker, 0) + 1
                held[giver] -= 1
                held[taker] += 1
