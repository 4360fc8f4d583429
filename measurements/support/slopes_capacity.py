"""Coordinator and loan ledger of one daemon, with the product's capacity service."""

from __future__ import annotations

import gc
import random
import time
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from datetime import timedelta
from statistics import median
from typing import Any

from measurements.figures import Figure
from pomeloyard.allocation.admission import AdmissionController
from pomeloyard.allocation.loans import LIMIT, SLOTS, LoanLedger, Resource
from pomeloyard.allocation.partitions import vm_name_of
from pomeloyard.allocation.service import BUSY_REPORT_INTERVAL, CapacityService
from pomeloyard.clock import ManualClock
from pomeloyard.fleet_state import FleetState
from pomeloyard.peers.codec import LENGTH_PREFIX, decode_payload, encode_frame
from pomeloyard.peers.messages import DemandReport, Hello, LoanGrant, LoanStatement

from . import target_fleet as target
from .daemons import MemoryNetwork
from .lines import (
    CONTROL_BYTES_PER_SECOND,
    CORE_PERCENT,
    MEGABYTE,
    MEMORY_MB,
    growth_exponent,
    least_seconds,
    line_figures,
    traced_bytes,
)

TEAMS_BY_PAIRS = {30: 6, 280: 28, 840: 84}
TARGET_PAIRS = 840
VM_SIZES = (70, 740, 2000)
LOAN_SIZES = {36: (30, 6), 108: (80, 28), 316: (232, 84)}
"""Resources: (executors, teams); the last is the target."""

DAEMONS_PER_ACCOUNT = 4
"""Daemons to which a client account has connections."""

ROUNDS = 12
SEED = 7
ROUNDS_PER_SECOND = 1 / BUSY_REPORT_INTERVAL.total_seconds()


class CountingNetwork(MemoryNetwork):
    """Encodes and counts sent messages, and delivers none."""

    def send(self, incarnation: str, message: Any) -> bool:
        """Count a message."""
        size = len(encode_frame(message))
        self.sent_bytes_by_type[type(message).__name__] += size
        return True


class CoordinatorBench:
    """The coordinating daemon, which receives a report from each daemon every round."""

    def __init__(self, pairs: int, vms: int) -> None:
        self.clock = ManualClock()
        self._rng = random.Random(SEED)
        self._table = target.partition_table()
        self.state = FleetState(
            config=target.config(),
            vm_list=target.vm_list(vms),
            partitions=self._table,
            partitions_revision=1,
        )
        own_incarnation = target.MEMBERS[0]
        self.network: Any = CountingNetwork(
            Hello(own_incarnation, vm_name_of(own_incarnation), "", ""),
            self.clock,
            timedelta(0),
        )
        admission = AdmissionController(
            self.clock,
            lambda vm: self.service.slots(vm),
            lambda team: self.service.units(team),
            lambda service: [],
            lambda team: 1.0,
        )
        self.service = CapacityService(self.clock, self.state, self.network, admission)
        self.service.on_state_change()
        for number in self._table.partitions_held_by(own_incarnation):
            epoch = self._table.partitions[number].epoch
            for member in target.MEMBERS[1:]:
                self.service.ledger.on_statement(
                    member, LoanStatement(number, epoch, ())
                )
        teams = TEAMS_BY_PAIRS[pairs]
        self._daemons_by_pair = {
            (
                (number * (pairs // teams) + k) % target.SERVICES,
                number,
            ): self._rng.sample(range(target.DAEMONS), DAEMONS_PER_ACCOUNT)
            for number in range(teams)
            for k in range(pairs // teams)
        }
        self._served: Counter[tuple[tuple[int, int], int]] = Counter()

    def reports(self, sequence: int) -> list[bytes]:
        """Return one encoded report of random demand for each daemon."""
        rows = defaultdict(list)
        for pair, daemons in self._daemons_by_pair.items():
            for daemon in daemons:
                queued, running = self._rng.randrange(6), self._rng.randrange(4)
                self._served[pair, daemon] += 250 * running + 1
                served = self._served[pair, daemon]
                row = (*pair, queued, running, served)
                rows[daemon].append(row)
        return [
            encode_frame(
                DemandReport(
                    sequence,
                    1,
                    self._table.partitions_held_by(member),
                    tuple(rows[daemon]),
                ),
                sequence,
            )
            for daemon, member in enumerate(target.MEMBERS)
        ]

    def round(self, frames: list[bytes]) -> float:
        """Process all reports and send advice; return the processor time."""
        gc.collect()
        began = time.process_time()
        for member, frame in zip(target.MEMBERS, frames, strict=True):
            report: Any = decode_payload(frame[LENGTH_PREFIX.size :])[1]
            self.service._on_report(member, report)
        self.service._send_advice()
        return time.process_time() - began

    def plan_seconds(self) -> float:
        """Return the time of ``Coordinator.plan`` alone, with the latest reports."""
        shape, now = self.service._fleet_capacity(), self.clock.monotonic()
        return least_seconds(lambda: self.service._coordinator.plan(shape, now), 5)


@dataclass(frozen=True, slots=True)
class Rounds:
    """Medians of a round's processor time, and means of its bytes."""

    seconds: float
    plan_seconds: float
    report_bytes: float
    advice_bytes: float


def measure_rounds(pairs: int, vms: int) -> Rounds:
    """Run rounds of changing demand; exclude the first, which sends all advice."""
    bench = CoordinatorBench(pairs, vms)
    seconds, reports = [], []
    for sequence in range(ROUNDS + 1):
        frames = bench.reports(sequence)
        bench.clock.advance(BUSY_REPORT_INTERVAL)
        taken = bench.round(frames)
        if sequence == 0:
            bench.network.sent_bytes_by_type.clear()
            continue
        seconds.append(taken)
        reports.append(sum(map(len, frames)))
    advice = bench.network.sent_bytes_by_type["LendAdvice"] / ROUNDS
    others = target.DAEMONS - 1
    return Rounds(
        median(seconds),
        bench.plan_seconds(),
        sum(reports) / ROUNDS * others / target.DAEMONS,
        advice,
    )


def coordinator_figures() -> Iterable[Figure]:
    """Yield time and traffic of rounds by active pairs and by VMs."""
    by_pairs = {n: measure_rounds(n, target.VMS) for n in TEAMS_BY_PAIRS}
    by_vms = {n: measure_rounds(TARGET_PAIRS, n) for n in VM_SIZES}
    for name, per, cases, size in (
        ("coordinator.pairs", "active pairs", by_pairs, TARGET_PAIRS),
        ("coordinator.vms", "VMs", by_vms, target.VMS),
    ):
        plan = {n: c.plan_seconds * 1000 for n, c in cases.items()}
        yield from line_figures(f"{name}.plan", "ms", per, plan, size)
        whole = {n: c.seconds * 1000 for n, c in cases.items()}
        yield from line_figures(f"{name}.round", "ms", per, whole, size)
        share = {n: c.seconds * ROUNDS_PER_SECOND * 100 for n, c in cases.items()}
        yield from line_figures(
            f"{name}.core", "% of a core", per, share, size, CORE_PERCENT
        )
    yield from _traffic(by_pairs)
    changes = {n: _change_seconds(n) * 1000 for n in VM_SIZES}
    yield from line_figures("capacity.state_change", "ms", "VMs", changes, target.VMS)


def _change_seconds(vms: int) -> float:
    """Return the time to process a change of VM list, records or configuration."""
    bench = CoordinatorBench(TARGET_PAIRS, vms)
    return least_seconds(bench.service.on_state_change)


def _traffic(by_pairs: dict[int, Rounds]) -> Iterator[Figure]:
    others = target.DAEMONS - 1
    for name, daemons, attribute in (
        ("coordinator.reports_received", 1, "report_bytes"),
        ("coordinator.advice_sent", 1, "advice_bytes"),
        ("daemon.reports_sent", others, "report_bytes"),
        ("daemon.advice_received", others, "advice_bytes"),
    ):
        rate = {
            n: getattr(case, attribute) * ROUNDS_PER_SECOND / daemons
            for n, case in by_pairs.items()
        }
        yield from line_figures(
            name, "B/s", "active pairs", rate, TARGET_PAIRS, CONTROL_BYTES_PER_SECOND
        )


def loan_figures() -> Iterable[Figure]:
    """Yield time and memory of the loan ledger by resources."""
    largest = max(LOAN_SIZES)
    ledgers = {n: traced_bytes(lambda n=n: _ledger(*LOAN_SIZES[n])) for n in LOAN_SIZES}
    memory = {n: used / MEGABYTE for n, (_, used) in ledgers.items()}
    yield from line_figures(
        "loans.memory", "MB", "resources", memory, largest, MEMORY_MB
    )
    seconds = {n: least_seconds(ledger.reconcile) for n, (ledger, _) in ledgers.items()}
    times = {n: taken * 1000 for n, taken in seconds.items()}
    yield from line_figures("loans.reconcile", "ms", "resources", times, largest)
    exponent = growth_exponent(times)
    yield Figure("slopes.loans.reconcile.growth", exponent, "exponent")
    # A round reconciles once on its own and once more for the advice received.
    share = {n: s * 2 * ROUNDS_PER_SECOND * 100 for n, s in seconds.items()}
    yield from line_figures(
        "loans.core", "% of a core", "resources", share, largest, CORE_PERCENT
    )


def _ledger(executors: int, teams: int) -> LoanLedger:
    """Return a ledger that lends a unit of each resource and borrows from four."""
    rng = random.Random(SEED)
    totals = {Resource(SLOTS, f"vm-{n:04d}"): 8 for n in range(executors)}
    totals.update({Resource(LIMIT, f"team-{n:02d}"): 300 for n in range(teams)})
    table = target.partition_table()
    own_incarnation, *others = target.MEMBERS
    ledger = LoanLedger(
        own_incarnation, lambda resource: totals[resource], lambda resource: 0
    )
    ledger.apply_table(table)
    for number in table.partitions_held_by(own_incarnation):
        for member in others:
            epoch = table.partitions[number].epoch
            ledger.on_statement(member, LoanStatement(number, epoch, ()))
    for resource in totals:
        ledger.set_lending_targets(resource, {rng.choice(others): 1})
        for lender in rng.sample(others, DAEMONS_PER_ACCOUNT):
            number = table.partitions_held_by(lender)[0]
            epoch = table.partitions[number].epoch
            grant = LoanGrant(number, epoch, resource.kind, resource.name, 1, 1)
            ledger.on_grant(lender, grant)
    ledger.reconcile()
    return ledger
