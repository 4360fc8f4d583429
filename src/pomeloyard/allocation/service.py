"""Connects loans, coordination and admission to the other daemons."""

from __future__ import annotations

from datetime import timedelta

import anyio
import logbook

from ..clock import Clock
from ..fleet_state import FleetState
from ..peers.messages import (
    DemandReport,
    LendAdvice,
    LoanGrant,
    LoanKept,
    LoanQuery,
    LoanStatement,
)
from ..peers.streams import PeerNetwork
from ..vm_platform.directory import Vm, VmRole
from .admission import AdmissionController, Permit
from .advice import AdviceIndex, SentAdvice, read_advice
from .coordination import Advice, Coordinator, Demand, FleetShape, Report
from .loans import LIMIT, SLOTS, LoanBook, Outgoing, Resource

BUSY_INTERVAL = timedelta(milliseconds=250)
IDLE_INTERVAL = timedelta(seconds=1)
EARLY_INTERVAL = timedelta(milliseconds=50)
"""Least time between reports when a request has to wait."""

REPEAT_INTERVAL = timedelta(seconds=1)
ADVICE_REPEAT = timedelta(seconds=2)
"""Unchanged advice is repeated so that targets stay in force."""

COORDINATOR_TIMEOUT = timedelta(seconds=1.5)

log = logbook.Logger("pomeloyard.jobs.capacity")


class CapacityService:
    """Keeps this daemon's capacity in step with the demand of the fleet."""

    def __init__(
        self,
        clock: Clock,
        state: FleetState,
        network: PeerNetwork,
        admission: AdmissionController,
    ) -> None:
        self._clock = clock
        self._state = state
        self._network = network
        self._admission = admission
        self._me = network.hello.incarnation
        self._coordinator = Coordinator()
        self._sequence = 0
        self._wake = anyio.Event()
        self._busy = False
        self._queued_services: set[str] = set()
        self._short_by_reporter: dict[str, frozenset[str]] = {}
        self._index_cache: AdviceIndex | None = None
        self._sent_advice: dict[str, SentAdvice] = {}
        self._table_revision = 0
        self._totals_key: tuple[int, int] = (0, 0)
        self._totals: dict[Resource, int] = {}
        self._connections: dict[str, int] = {}
        self._executors_by_pool: dict[str, list[Vm]] = {}
        self.book = LoanBook(self._me, self.total_of, self.in_use)
        admission.on_shortage = self._on_shortage
        admission.on_release = self._on_release
        network.on_connect.append(self._on_connect)
        network.on(DemandReport, self._on_report)
        network.on(LendAdvice, self._on_advice)
        network.on(LoanGrant, self._on_grant)
        network.on(LoanKept, self._on_kept)
        network.on(LoanQuery, self._on_query)
        network.on(LoanStatement, self._on_statement)

    def slots(self, vm: str) -> int:
        """Return how many slots of a VM this daemon may use."""
        return self.book.usable(Resource(SLOTS, vm))

    def units(self, team: str) -> int:
        """Return how many units of a team's limit this daemon may use."""
        return self.book.usable(Resource(LIMIT, team))

    def executors(self, service: str) -> list[str]:
        """Return the executors of a service that accept work, in name order."""
        config = self._state.config.services_by_name.get(service)
        if config is None:
            return []
        vms = self._executors_by_pool.get(config.pool, ())
        return [vm.name for vm in vms if self._state.accepts_work(vm)]

    def connections(self, vm: str) -> int:
        """Return how many connections to a VM this daemon may have open."""
        return self.book.base(f"connections/{vm}", self._connections.get(vm, 0))

    def in_use(self, resource: Resource) -> int:
        """Return how many units of a resource this daemon uses."""
        if resource.kind == SLOTS:
            return self._admission.running_by_vm.get(resource.name, 0)
        return self._admission.running_by_team.get(resource.name, 0)

    def total_of(self, resource: Resource) -> int:
        """Return a resource's total in the whole fleet."""
        return self._totals.get(resource, 0)

    def resources(self) -> list[Resource]:
        """Return all resources."""
        return list(self._totals)

    def on_state_change(self) -> None:
        """Adopt a new partition table, configuration or VM list."""
        state = self._state
        self._refresh_totals()
        if state.partitions is None:
            return
        if state.partitions_revision > self._table_revision:
            self._table_revision = state.partitions_revision
            self._send(self.book.follow_table(state.partitions))
        self._admission.dispatch_all()

    async def run(self) -> None:
        """Report demand, advise if coordinating, and lend, until cancelled."""
        while True:
            self._busy = self._report()
            if self._coordinating():
                self._advise()
            self._send(self.book.reconcile())
            self._admission.release_due()
            await self._pause(BUSY_INTERVAL if self._busy else IDLE_INTERVAL)

    async def run_repeats(self) -> None:
        """Repeat questions and grants that have not been answered."""
        while True:
            await self._clock.sleep(REPEAT_INTERVAL)
            self._send(self.book.questions())
            self._send(self.book.unconfirmed())
            self._admission.release_due()

    async def _pause(self, interval: timedelta) -> None:
        await self._clock.sleep(EARLY_INTERVAL)
        with anyio.move_on_after((interval - EARLY_INTERVAL).total_seconds()):
            await self._wake.wait()
        self._wake = anyio.Event()

    def _on_connect(self, incarnation: str) -> None:
        # What was sent on an earlier connection may be lost.
        self._sent_advice.pop(incarnation, None)

    def _on_shortage(self) -> None:
        # Only the first shortage is reported early; while it lasts, reports at
        # the busy interval keep the control traffic bounded.
        if not self._busy:
            self._wake.set()

    def _on_release(self, permit: Permit) -> None:
        service = permit.service
        if service in self._queued_services and not self._admission.queued(service):
            # Others may need the slots that this daemon has no more use for.
            self._queued_services.discard(service)
            self._wake.set()
        self._send(self.book.settle(Resource(SLOTS, permit.vm)))
        self._send(self.book.settle(Resource(LIMIT, permit.team)))

    # Reports

    def _report(self) -> bool:
        """Send a demand report to the coordinator; return whether there is any."""
        index = self._index()
        services, teams = index.services, index.teams
        uses = self._admission.use_by_service_team()
        demands = tuple(
            (
                services.index(service),
                teams.index(team),
                use.queued,
                use.running,
                round(use.served_seconds * 1000),
            )
            for (service, team), use in sorted(uses.items())
            if service in services and team in teams and use.served_seconds + use.queued
        )
        self._queued_services = {s for (s, _), use in uses.items() if use.queued}
        self._sequence += 1
        report = DemandReport(
            self._sequence, index.revisions[0], self.book.ready_partitions(), demands
        )
        coordinator = self._coordinator_incarnation()
        if coordinator == self._me:
            self._on_report(self._me, report)
        elif coordinator:
            self._network.send(coordinator, report)
        return any(use.queued for use in uses.values())

    def _on_report(self, sender: str, report: DemandReport) -> None:
        index = self._index()
        if report.config_revision != index.revisions[0]:
            return  # The positions mean something else in another revision.
        services, teams = index.services, index.teams
        try:
            demands = tuple(
                Demand(services[s], teams[t], queued, running, served / 1000)
                for s, t, queued, running, served in report.demands
            )
        except IndexError:
            log.warning("demand report of {} has an unknown position", sender)
            return
        now = self._clock.monotonic()
        self._coordinator.add_report(
            Report(sender, now, report.ready_partitions, demands)
        )
        short = frozenset(demand.service for demand in demands if demand.queued)
        if short != self._short_by_reporter.get(sender, frozenset()):
            self._short_by_reporter[sender] = short
            self._wake.set()

    def _coordinator_incarnation(self) -> str:
        """Return the holder of the lowest partition that is heard from."""
        table = self._state.partitions
        now = self._clock.monotonic()
        for partition in table.partitions if table is not None else ():
            if partition.holder == self._me:
                return self._me
            link = self._network.connections_by_incarnation.get(partition.holder)
            if link is not None and now - link.heard_at < COORDINATOR_TIMEOUT:
                return partition.holder
        return ""

    def _coordinating(self) -> bool:
        return self._coordinator_incarnation() == self._me

    # Advice

    def _advise(self) -> None:
        now = self._clock.monotonic()
        for name, advice in self._coordinator.plan(self._shape(), now).items():
            message = self._advice_message(name, advice, now)
            if message is None:
                continue
            if name == self._me:
                self._adopt(message)
            elif not self._network.send(name, message):
                self._sent_advice.pop(name, None)

    def _advice_message(
        self, name: str, advice: Advice, now: timedelta
    ) -> LendAdvice | None:
        """Return what has changed since the last advice to a daemon, if anything."""
        sent = self._sent_advice.get(name)
        index = self._index()
        full = sent is None or sent.index != index
        if sent is None or full:
            sent = self._sent_advice[name] = SentAdvice(index)
        message = sent.next_message(advice, full=full)
        unchanged = not (full or message.targets or message.lend)
        if unchanged and now - sent.at < ADVICE_REPEAT:
            return None
        sent.at = now
        return message

    def _index(self) -> AdviceIndex:
        """Return the meaning of positions, in the revisions known here."""
        state = self._state
        key = (state.config.revision, state.partitions_revision)
        if self._index_cache is None or self._index_cache.revisions != key:
            config = state.config
            members = state.partitions.members if state.partitions is not None else ()
            self._index_cache = AdviceIndex(
                key,
                tuple(sorted(config.services_by_name)),
                tuple(sorted(config.teams_by_name)),
                members,
            )
        return self._index_cache

    def _on_advice(self, sender: str, advice: LendAdvice) -> None:
        if sender == self._coordinator_incarnation():
            self._adopt(advice)

    def _adopt(self, message: LendAdvice) -> None:
        advice = read_advice(message, self._index())
        if advice is None:
            return
        wanted = dict(advice.lend)
        if message.full:
            wanted = {r: wanted.get(r, {}) for r in self._totals.keys() | wanted.keys()}
        for resource, amounts in wanted.items():
            self.book.want_lent(resource, amounts)
        self._admission.set_targets(advice.targets, replace_all=message.full)
        self._send(self.book.reconcile())

    def _shape(self) -> FleetShape:
        state = self._state
        config = state.config
        vms_by_service = {
            name: tuple(self.executors(name)) for name in config.services_by_name
        }
        totals = self._totals
        return FleetShape(
            partitions=len(state.partitions.partitions) if state.partitions else 1,
            slots_by_vm={r.name: n for r, n in totals.items() if r.kind == SLOTS},
            vms_by_service=vms_by_service,
            weights_by_team={t.name: t.share for t in config.teams_by_name.values()},
            units_by_team={r.name: n for r, n in totals.items() if r.kind == LIMIT},
        )

    def _refresh_totals(self) -> None:
        """Read the totals from the configuration and the VMs' pools."""
        state = self._state
        by_pool = {s.pool: s for s in state.config.services_by_name.values()}
        totals: dict[Resource, int] = {}
        self._connections = {}
        self._executors_by_pool = {}
        for _, vm in sorted(state.vm_list.vms_by_name.items()):
            if vm.role is not VmRole.EXECUTOR:
                continue
            pool = state.pool_of(vm)
            self._executors_by_pool.setdefault(pool, []).append(vm)
            service = by_pool.get(pool)
            if service is not None:
                totals[Resource(SLOTS, vm.name)] = service.slots_per_executor
                self._connections[vm.name] = service.connections_per_executor
        for team in state.config.teams_by_name.values():
            totals[Resource(LIMIT, team.name)] = max(0, team.limit - team.job_limit)
        if totals != self._totals:
            self._totals = totals
            self.book.forget_totals()

    # Loans

    def _on_grant(self, sender: str, grant: LoanGrant) -> None:
        self._send(self.book.on_grant(sender, grant))
        self._admission.dispatch_all()

    def _on_kept(self, sender: str, kept: LoanKept) -> None:
        self.book.on_kept(sender, kept)
        self._send(self.book.reconcile())
        self._admission.dispatch_all()

    def _on_query(self, sender: str, query: LoanQuery) -> None:
        self._send(self.book.on_query(sender, query))

    def _on_statement(self, sender: str, statement: LoanStatement) -> None:
        self.book.on_statement(sender, statement)
        self._admission.dispatch_all()

    def _send(self, messages: Outgoing) -> None:
        for incarnation, message in messages:
            self._network.send(incarnation, message)
