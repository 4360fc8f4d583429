"""The daemon: builds its parts, runs them and shuts down gracefully."""

from __future__ import annotations

import argparse
import secrets
import signal
import socket
import ssl
import sys
from pathlib import Path

import anyio
import logbook
from anyio.abc import TaskGroup
from starlette.types import ASGIApp

from .allocation.admission import AdmissionController
from .allocation.decisions import MembershipDecisions
from .allocation.membership import Membership
from .allocation.metrics import capacity_metrics
from .allocation.service import CapacityService
from .callers.app import caller_app
from .claims.service import ClaimService
from .clock import Clock, SystemClock
from .decisions import DecisionLog
from .endpoints.client import EndpointClient
from .errors import SettingsError, StoreError
from .explanations import Explanations
from .fleet.controller import Controller
from .fleet.drain_notices import DrainNotices
from .fleet.drains import JobTaskCounts
from .fleet.health_reports import HealthReports
from .fleet.health_sources import WorkerObserver, record_executor_outcome
from .fleet.zones import ZoneService
from .fleet_state import DaemonRecord, FleetState
from .follower import FleetFollower
from .heartbeats import PeerHeartbeats
from .jobs.scheduler import Scheduler
from .jobs.store import JobStore
from .key_service import KeyService
from .keyvalue.etcd import EtcdStore
from .keyvalue.records import ConflictError
from .keyvalue.store import Store
from .logs import DecisionSink, JsonLogHandler, LogWriter
from .metrics import FleetMetrics, MetricSources, RequestMetrics
from .monitoring import monitoring_app
from .operators.app import operator_app
from .operators.support import OperatorContext
from .peers.calls import PeerCalls
from .peers.messages import Heartbeat, Hello
from .peers.replication import Replication
from .peers.streams import PeerNetwork
from .peers.tls import PeerTls
from .readiness import NotReadyReason, not_ready_reasons
from .requests.exchanges import ExchangeSender
from .requests.keyed import KeyedRequests
from .requests.results import ResultTable
from .requests.routing import ExecutorRouter
from .requests.service import RequestService
from .roles import HeldRole, RoleCandidate
from .serving import EmbeddedServer, server_config
from .settings import DaemonSettings, load_settings
from .tls import TlsContexts
from .usage import TeamUsage, team_usages
from .vm_platform.directory import VmDirectory
from .vm_platform.vm_service import HttpVmDirectory
from .workers.client import HttpWorkerClient

log = logbook.Logger("pomeloyard.daemon")


class Daemon:
    """One daemon and the services that it consists of."""

    def __init__(
        self,
        settings: DaemonSettings,
        store: Store,
        directory: VmDirectory,
        clock: Clock,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.store = store
        self.directory = directory
        self.state = FleetState()
        self.decisions = DecisionLog()
        self.tls = TlsContexts(settings)
        self.log_writer = LogWriter(clock, settings.log_file, settings.log_queue_lines)
        self.incarnation = f"{settings.vm}.{secrets.token_hex(4)}"
        self._build_connections()
        self._build_allocation()
        self._build_requests()
        self._build_roles()
        self._build_monitoring()
        self._servers: list[EmbeddedServer] = []
        self._closing = False

    def _daemon_record(self) -> DaemonRecord:
        return DaemonRecord(
            incarnation=self.incarnation,
            vm=self.settings.vm,
            peer_address=self.settings.peer_address,
            operator_address=self.settings.operator_address,
            caller_address=self.settings.caller_address,
            availability_zone=self.settings.availability_zone,
        )

    def _build_connections(self) -> None:
        """Build the connections to the store and to other daemons."""
        self.follower = FleetFollower(
            self.store, self.directory, self.clock, self.state
        )
        self.peers = PeerNetwork(
            self.clock,
            Hello(
                self.incarnation,
                self.settings.vm,
                self.settings.peer_address,
                self.settings.availability_zone,
            ),
            listen_address=self.settings.peer_listen_address,
            tls=_peer_tls(self.settings),
        )
        self.peers.seeds.update(self.settings.peers)
        self.calls = PeerCalls(self.peers)
        self.replication = Replication(
            self.clock, self.state, self.peers, self.follower.notify_changed
        )

    def _build_allocation(self) -> None:
        """Build the division of slots and limits among the daemons."""
        record = self._daemon_record()
        self.router = ExecutorRouter(
            self.clock,
            self.settings.availability_zone,
            self._zone_of,
            self._load_of,
            self._executors,
        )
        self.admission = AdmissionController(
            self.clock,
            lambda vm: self.capacity.slots(vm) if self.membership.can_admit() else 0,
            lambda team: self.capacity.units(team),
            self._executors,
            self._weight,
            self.router.rank,
        )
        self.capacity = CapacityService(
            self.clock, self.state, self.peers, self.admission
        )
        self.membership = Membership(
            self.store,
            self.clock,
            self.state,
            record,
            self.capacity.ledger,
            self.capacity.resources,
        )
        membership_decisions = MembershipDecisions(
            self.clock, self.state, self.incarnation, self.decisions
        )
        self.membership.on_partition_gained.append(membership_decisions.record_gained)
        self.membership.on_partition_lost.append(membership_decisions.record_lost)

    def _build_requests(self) -> None:
        """Build the services that handle requests."""
        self.endpoints = EndpointClient(self.capacity.connections)
        self.claims = ClaimService(
            self.store, self.clock, self.state, self.peers, self.calls, self.incarnation
        )
        self.results = ResultTable(self.clock)
        keyed = KeyedRequests(
            self.clock,
            self.claims,
            self.results,
            self.peers,
            self.calls,
            self.incarnation,
        )
        sender = ExchangeSender(
            self.clock,
            self.state,
            self.admission,
            self.endpoints,
            self.router,
            self.decisions,
        )
        self.requests = RequestService(self.clock, self.state, sender, keyed)

    def _build_roles(self) -> None:
        """Build job scheduling and fleet control, which run under roles."""
        self.workers = HttpWorkerClient()
        self.jobs = JobStore(self.store, self.clock, lambda: self.state.config)
        self.drain_notices = DrainNotices(
            self.peers,
            self.calls,
            self.state,
            lambda vm: self.admission.running_by_vm.get(vm, 0),
        )
        self.controller = Controller(
            self.clock,
            self.state,
            self.store,
            self.directory,
            self.decisions,
            self.drain_notices.query_running,
            JobTaskCounts(self.store),
            self.drain_notices.broadcast_state,
            self._demand_by_pool,
        )
        self.scheduler = Scheduler(
            self.clock, self.state, self.store, self.workers, self.decisions
        )
        self.roles_by_name: dict[str, RoleCandidate] = {}
        self.health_reports = HealthReports(
            self.clock,
            self.peers,
            self.state,
            self.controller.repairs.health_tracker.observe,
        )
        self.router.on_outcome = self._on_executor_outcome
        self.worker_observer = WorkerObserver(
            self.clock, self.scheduler, self.health_reports.record
        )

    def _build_monitoring(self) -> None:
        """Build metrics, explanations and the services for operators."""
        self.explanations = Explanations(
            self.peers, self.calls, self.state, self.decisions
        )
        self.heartbeats = PeerHeartbeats(self.clock)
        self.peers.on(Heartbeat, self.heartbeats.record)
        self.keys = KeyService(
            self.store, self.clock, self.state, self.peers.broadcast, self.decisions
        )
        self.metrics = FleetMetrics(
            self.clock,
            MetricSources(
                self.incarnation,
                self.state,
                self.admission,
                self.peers,
                self.log_writer,
                self._team_usage,
                self.store.calls,
                collectors=[lambda: capacity_metrics(self.capacity)],
            ),
        )
        self.decisions.sinks += [
            DecisionSink(self.log_writer),
            self.metrics.count_decision,
        ]

    async def run(self) -> None:
        """Run until SIGTERM or SIGINT, with log lines as JSON."""
        try:
            with JsonLogHandler(self.log_writer, self.settings.log_level):
                await self._run()
        finally:
            self.log_writer.close()

    async def _run(self) -> None:
        async with anyio.create_task_group() as tasks:
            await self.start(tasks)
            with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
                async for _ in signals:
                    break
            with anyio.move_on_after(self.settings.shutdown_seconds) as scope:
                await self.close()
            if scope.cancelled_caught:
                self._log_unfinished()
            tasks.cancel_scope.cancel()

    async def start(self, tasks: TaskGroup) -> None:
        """Start all parts as tasks of ``tasks``."""
        self.state.bootstrap_sha256 = self.settings.bootstrap_key_sha256
        self.peers.heartbeat = self._heartbeat
        self.follower.on_change.append(self._on_change)
        self.drain_notices.start()
        self.explanations.start()
        self.health_reports.start()
        await self.peers.start(tasks)
        tasks.start_soon(self.follower.run)
        tasks.start_soon(self.follower.run_vm_list)
        tasks.start_soon(self.membership.run)
        tasks.start_soon(self.capacity.run)
        tasks.start_soon(self.capacity.run_retransmissions)
        tasks.start_soon(self.claims.run)
        tasks.start_soon(self.keys.run)
        tasks.start_soon(self.log_writer.run)
        tasks.start_soon(self.tls.run, self.clock)
        tasks.start_soon(self.endpoints.run)
        tasks.start_soon(self.health_reports.run)
        tasks.start_soon(self.worker_observer.run)
        for name, work in (
            ("scheduler", self._schedule),
            ("controller", self._control),
        ):
            candidate = RoleCandidate(
                self.store, self.clock, name, self.incarnation, work
            )
            self.roles_by_name[name] = candidate
            tasks.start_soon(candidate.run)
        settings = self.settings
        caller = caller_app(self.state, self.requests, self.jobs)
        operator = operator_app(self._operator_context())
        app_with_metrics = RequestMetrics(caller, self.metrics, self.clock, self.state)
        self._serve(tasks, app_with_metrics, settings.caller_address, self.tls.caller)
        self._serve(tasks, operator, settings.operator_address, self.tls.operator)
        monitoring = monitoring_app(self.metrics, self._not_ready_reasons)
        self._serve(tasks, monitoring, settings.metrics_address, self.tls.operator)
        if settings.allow_plaintext:
            log.warning("plaintext is allowed on addresses other than loopback")
        log.info("{} started", self.incarnation)

    async def _schedule(self, held: HeldRole) -> None:
        await self.scheduler.run(held.epoch)

    async def _control(self, held: HeldRole) -> None:
        await self.controller.run(held.epoch)

    async def close(self) -> None:
        """Stop accepting requests, finish running ones and release partitions."""
        self._closing = True
        self.admission.close()
        for server in self._servers:
            server.should_exit = True
        while self.admission.running_count():
            await anyio.sleep(0.05)
        try:
            await self.claims.close()
            await self.membership.leave()
        except (StoreError, ConflictError) as error:
            log.warning("partitions not released at shutdown: {}", error)
        await self.peers.close()
        await self.endpoints.close()
        await self.workers.close()

    def _log_unfinished(self) -> None:
        table = self.state.partitions
        held = table.partitions_held_by(self.incarnation) if table is not None else ()
        log.warning(
            "shutdown timed out: {} requests may still be running, {} partitions and "
            "{} permits of requests with unknown outcome are not released",
            self.admission.running_count(),
            len(held),
            self.admission.held_count(),
        )

    def _operator_context(self) -> OperatorContext:
        return OperatorContext(
            clock=self.clock,
            state=self.state,
            store=self.store,
            controller=self.controller,
            jobs=self.jobs,
            decisions=self.decisions,
            keys=self.keys,
            zones=ZoneService(self.clock, self.store, self.state, self.decisions),
            daemon_statuses=lambda: self.heartbeats.statuses(
                self.state, self.incarnation, self._heartbeat()
            ),
            team_usage=self._team_usage,
            explain=self.explanations.explain,
        )

    def _not_ready_reasons(self) -> list[NotReadyReason]:
        return not_ready_reasons(self.state, closing=self._closing)

    def _serve(
        self,
        tasks: TaskGroup,
        app: ASGIApp,
        address: str,
        tls: ssl.SSLContext | None,
    ) -> None:
        host, port = address.rsplit(":", 1)
        # As in serving.py: asyncio sets TCP_NODELAY only with IPPROTO_TCP.
        listener = socket.socket(proto=socket.IPPROTO_TCP)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, int(port)))
        server = EmbeddedServer(server_config(app, tls=tls))
        self._servers.append(server)
        tasks.start_soon(server.serve, [listener])

    def _heartbeat(self) -> Heartbeat:
        state = self.state
        return Heartbeat(
            state.config.revision,
            state.keys.version,
            state.partitions_revision,
            state.store_reachable,
        )

    def _team_usage(self) -> list[TeamUsage]:
        teams = self.state.config.teams_by_name
        queued = self.admission.queued_by_team()
        return team_usages(teams, self.admission.running_by_team, queued)

    def _on_change(self) -> None:
        self.peers.addresses.update(
            record.peer_address for record in self.state.daemons_by_incarnation.values()
        )
        self.capacity.on_state_change()
        self.membership.notify_partition_changes()
        self.claims.apply_partition_table()
        self.router.retain_only(self.state.vm_list.vms_by_name)

    def _on_executor_outcome(self, vm: str, failed: bool, unresponsive: bool) -> None:
        record_executor_outcome(
            self.health_reports.record, vm, failed=failed, unresponsive=unresponsive
        )

    def _zone_of(self, vm: str) -> str:
        record = self.state.vm_list.vms_by_name.get(vm)
        return record.availability_zone if record is not None else ""

    def _load_of(self, vm: str) -> float:
        return self.admission.running_by_vm.get(vm, 0) / max(1, self.capacity.slots(vm))

    def _executors(self, service: str) -> list[str]:
        return self.capacity.executors(service)

    def _demand_by_pool(self) -> dict[str, float]:
        """Estimate the demand by pool in VMs from this daemon's requests."""
        daemons = max(1, len(self.state.daemons_by_incarnation))
        demand: dict[str, float] = {}
        for service in self.state.config.services_by_name.values():
            uses = self.admission.usage_by_service_team().items()
            asked = sum(u.queued + u.running for (n, _), u in uses if n == service.name)
            slots = asked * daemons
            vms = slots / max(1, service.slots_per_executor)
            demand[service.pool] = demand.get(service.pool, 0.0) + vms
        return demand

    def _weight(self, team: str) -> float:
        config = self.state.config.teams_by_name.get(team)
        return config.share if config is not None else 1.0


def _peer_tls(settings: DaemonSettings) -> PeerTls | None:
    files = (
        settings.peer_certificate_file,
        settings.peer_key_file,
        settings.peer_ca_file,
    )
    if not any(files):
        return None
    try:
        return PeerTls(*map(Path, files))
    except OSError as error:
        raise SettingsError(f"peer certificates: {error}") from error


def main() -> None:
    """Run the daemon with a settings file, or a whole small fleet for trying it out."""
    parser = argparse.ArgumentParser(prog="pomeloyardd", description=main.__doc__)
    mode = parser.add_mutually_exclusive_group(required=True)
    mode.add_argument("--settings", type=Path, help="TOML file of this daemon")
    mode.add_argument(
        "--embedded", action="store_true", help="a fleet in memory, on free ports"
    )
    arguments = parser.parse_args()
    if arguments.embedded:
        # Imported here, because a daemon of a real fleet needs no stand-ins.
        from .standins.embedded import main as run_embedded

        run_embedded()
        return
    try:
        settings = load_settings(arguments.settings)
        daemon = Daemon(
            settings,
            EtcdStore(settings.store_url),
            HttpVmDirectory(settings.directory_url),
            SystemClock(),
        )
    except SettingsError as error:
        print(f"error: {error}", file=sys.stderr)
        raise SystemExit(2) from error
    anyio.run(daemon.run)


if __name__ == "__main__":
    main()
