"""Exchange of demand reports, advice and loans with the other daemons."""

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
from .coordination import Advice, Coordinator, Demand, FleetCapacity, Report
from .loans import LIMIT, SLOTS, LoanLedger, OutgoingMessages, Resource

BUSY_REPORT_INTERVAL = timedelta(milliseconds=250)
IDLE_REPORT_INTERVAL = timedelta(seconds=1)
MIN_REPORT_INTERVAL = timedelta(milliseconds=50)
"""Minimum time between reports, also when a newly queued request triggers one."""

RETRANSMIT_INTERVAL = timedelta(seconds=1)
ADVICE_REPEAT_INTERVAL = timedelta(seconds=2)
"""Unchanged advice is repeated before the targets expire at the receiver."""

COORDINATOR_TIMEOUT = timedelta(seconds=1.5)

log = logbook.Logger("pomeloyard.jobs.capacity")


class CapacityService:
    """Adjusts this daemon's usable capacity to the demand of the whole fleet."""

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
        self._incarnation = network.hello.incarnation
        self._coordinator = Coordinator()
        self._sequence = 0
        self._wake = anyio.Event()
        self._busy = False
        self._queued_services: set[str] = set()
        self._queued_services_by_daemon: dict[str, frozenset[str]] = {}
        self._index_cache: AdviceIndex | None = None
        self._sent_advice: dict[str, SentAdvice] = {}
        self._applied_table_revision = 0
        self._totals_key: tuple[int, int] = (0, 0)
        self._totals: dict[Resource, int] = {}
        self._connections: dict[str, int] = {}
        self._executors_by_pool: dict[str, list[Vm]] = {}
        self.ledger = LoanLedger(self._incarnation, self.total_of, self.in_use)
        admission.on_request_queued = self._on_request_queued
        admission.on_release = self._on_release
        network.on_connect.append(self._on_connect)
        network.on(DemandReport, self._on_report)
        network.on(LendAdvice, self._on_advice)
        network.on(LoanGrant, self._on_grant)
        network.on(LoanKept, self._on_kept)
        network.on(LoanQuery, self._on_query)
        network.on(LoanStatement, self._on_statement)

    def slots(self, vm: str) -> int:
        """Return the number of slots of a VM that this daemon may use."""
        return self.ledger.usable(Resource(SLOTS, vm))

    def units(self, team: str) -> int:
        """Return the number of units of a team's limit that this daemon may use."""
        return self.ledger.usable(Resource(LIMIT, team))

    def executors(self, service: str) -> list[str]:
        """Return the names of a service's executors that accept work, sorted."""
        config = self._state.config.services_by_name.get(service)
        if config is None:
            return []
        vms = self._executors_by_pool.get(config.pool, ())
        return [vm.name for vm in vms if self._state.accepts_work(vm)]

    def connections(self, vm: str) -> int:
        """Return the number of connections that this daemon may open to a VM."""
        return self.ledger.base(f"connections/{vm}", self._connections.get(vm, 0))

    def in_use(self, resource: Resource) -> int:
        """Return the number of units of a resource in use at this daemon."""
        if resource.kind == SLOTS:
            return self._admission.running_by_vm.get(resource.name, 0)
        return self._admission.running_by_team.get(resource.name, 0)

    def total_of(self, resource: Resource) -> int:
        """Return the fleet-wide total of a resource."""
        return self._totals.get(resource, 0)

    def resources(self) -> list[Resource]:
        """Return all resources of the current configuration and VM list."""
        return list(self._totals)

    def on_state_change(self) -> None:
        """Apply a new partition table, configuration or VM list."""
        state = self._state
        self._refresh_totals()
        if state.partitions is None:
            return
        if state.partitions_revision > self._applied_table_revision:
            self._applied_table_revision = state.partitions_revision
            self._send(self.ledger.apply_table(state.partitions))
        self._admission.dispatch_all()

    async def run(self) -> None:
        """Report demand, send advice if coordinator, and reconcile loans in a loop."""
        while True:
            self._busy = self._report()
            if self._is_coordinator():
                self._send_advice()
            self._send(self.ledger.reconcile())
            self._admission.release_expired_holds()
            await self._pause(
                BUSY_REPORT_INTERVAL if self._busy else IDLE_REPORT_INTERVAL
            )

    async def run_retransmissions(self) -> None:
        """Resend unanswered queries and grants periodically."""
        while True:
            await self._clock.sleep(RETRANSMIT_INTERVAL)
            self._send(self.ledger.pending_queries())
            self._send(self.ledger.unconfirmed_grants())
            self._admission.release_expired_holds()

    async def _pause(self, interval: timedelta) -> None:
        await self._clock.sleep(MIN_REPORT_INTERVAL)
        with anyio.move_on_after((interval - MIN_REPORT_INTERVAL).total_seconds()):
            await self._wake.wait()
        self._wake = anyio.Event()

    def _on_connect(self, incarnation: str) -> None:
        # Advice sent over the earlier connection may be lost: send it in full again.
        self._sent_advice.pop(incarnation, None)

    def _on_request_queued(self) -> None:
        # Only the first queued request triggers an early report. While requests
        # stay queued, the busy interval bounds the control traffic.
        if not self._busy:
            self._wake.set()

    def _on_release(self, permit: Permit) -> None:
        service = permit.service
        if service in self._queued_services and not self._admission.queued_count(
            service
        ):
            # The queue is empty now: report early, as others may need the slots.
            self._queued_services.discard(service)
            self._wake.set()
        self._send(self.ledger.reconcile_resource(Resource(SLOTS, permit.vm)))
        self._send(self.ledger.reconcile_resource(Resource(LIMIT, permit.team)))

    # Reports

    def _report(self) -> bool:
        """Send demand to the coordinator; return whether any request is queued."""
        index = self._index()
        services, teams = index.services, index.teams
        usages = self._admission.usage_by_service_team()
        demands = tuple(
            (
                services.index(service),
                teams.index(team),
                usage.queued,
                usage.running,
                round(usage.served_seconds * 1000),
            )
            for (service, team), usage in sorted(usages.items())
            if service in services
            and team in teams
            and usage.served_seconds + usage.queued
        )
        self._queued_services = {s for (s, _), usage in usages.items() if usage.queued}
        self._sequence += 1
        report = DemandReport(
            self._sequence, index.revisions[0], self.ledger.ready_partitions(), demands
        )
        coordinator = self._coordinator_incarnation()
        if coordinator == self._incarnation:
            self._on_report(self._incarnation, report)
        elif coordinator:
            self._network.send(coordinator, report)
        return any(usage.queued for usage in usages.values())

    def _on_report(self, sender: str, report: DemandReport) -> None:
        index = self._index()
        if report.config_revision != index.revisions[0]:
            return  # Positions refer to other names in another revision.
        services, teams = index.services, index.teams
        try:
            demands = tuple(
                Demand(services[s], teams[t], queued, running, served / 1000)
                for s, t, queued, running, served in report.demands
            )
        except IndexError:
            log.warning("ignoring demand report of {}: position out of range", sender)
            return
        now = self._clock.monotonic()
        self._coordinator.add_report(
            Report(sender, now, report.ready_partitions, demands)
        )
        queued_services = frozenset(
            demand.service for demand in demands if demand.queued
        )
        if queued_services != self._queued_services_by_daemon.get(sender, frozenset()):
            self._queued_services_by_daemon[sender] = queued_services
            self._wake.set()

    def _coordinator_incarnation(self) -> str:
        """Return the first reachable holder in order of partition numbers."""
        table = self._state.partitions
        now = self._clock.monotonic()
        for partition in table.partitions if table is not None else ():
            if partition.holder == self._incarnation:
                return self._incarnation
            link = self._network.connections_by_incarnation.get(partition.holder)
            if link is not None and now - link.last_received_at < COORDINATOR_TIMEOUT:
                return partition.holder
        return ""

    def _is_coordinator(self) -> bool:
        return self._coordinator_incarnation() == self._incarnation

    # Advice

    def _send_advice(self) -> None:
        now = self._clock.monotonic()
        for name, advice in self._coordinator.plan(self._fleet_capacity(), now).items():
            message = self._advice_message(name, advice, now)
            if message is None:
                continue
            if name == self._incarnation:
                self._apply_advice(message)
            elif not self._network.send(name, message):
                self._sent_advice.pop(name, None)

    def _advice_message(
        self, name: str, advice: Advice, now: timedelta
    ) -> LendAdvice | None:
        """Return the next message to a daemon, or None if none is due."""
        sent = self._sent_advice.get(name)
        index = self._index()
        full = sent is None or sent.index != index
        if sent is None or full:
            sent = self._sent_advice[name] = SentAdvice(index)
        message = sent.next_message(advice, full=full)
        unchanged = not (full or message.targets or message.lend)
        if unchanged and now - sent.sent_at < ADVICE_REPEAT_INTERVAL:
            return None
        sent.sent_at = now
        return message

    def _index(self) -> AdviceIndex:
        """Return the index of positions for the revisions known to this daemon."""
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
            self._apply_advice(advice)

    def _apply_advice(self, message: LendAdvice) -> None:
        advice = read_advice(message, self._index())
        if advice is None:
            return
        wanted = dict(advice.lend)
        if message.full:
            wanted = {r: wanted.get(r, {}) for r in self._totals.keys() | wanted.keys()}
        for resource, amounts in wanted.items():
            self.ledger.set_lending_targets(resource, amounts)
        self._admission.set_targets(advice.targets, replace_all=message.full)
        self._send(self.ledger.reconcile())

    def _fleet_capacity(self) -> FleetCapacity:
        state = self._state
        config = state.config
        vms_by_service = {
            name: tuple(self.executors(name)) for name in config.services_by_name
        }
        totals = self._totals
        return FleetCapacity(
            partitions=len(state.partitions.partitions) if state.partitions else 1,
            slots_by_vm={r.name: n for r, n in totals.items() if r.kind == SLOTS},
            vms_by_service=vms_by_service,
            weights_by_team={t.name: t.share for t in config.teams_by_name.values()},
            units_by_team={r.name: n for r, n in totals.items() if r.kind == LIMIT},
        )

    def _refresh_totals(self) -> None:
        """Recompute the totals from the configuration and the VM list."""
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
            self.ledger.invalidate_usable()

    # Loans

    def _on_grant(self, sender: str, grant: LoanGrant) -> None:
        self._send(self.ledger.on_grant(sender, grant))
        self._admission.dispatch_all()

    def _on_kept(self, sender: str, kept: LoanKept) -> None:
        self.ledger.on_kept(sender, kept)
        self._send(self.ledger.reconcile())
        self._admission.dispatch_all()

    def _on_query(self, sender: str, query: LoanQuery) -> None:
        self._send(self.ledger.on_query(sender, query))

    def _on_statement(self, sender: str, statement: LoanStatement) -> None:
        self.ledger.on_statement(sender, statement)
        self._admission.dispatch_all()

    def _send(self, messages: OutgoingMessages) -> None:
        for incarnation, message in messages:
            self._network.send(incarnation, message)
