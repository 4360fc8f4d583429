"""The daemon: builds all parts, runs them and shuts down gracefully."""

from __future__ import annotations

import argparse
import secrets
import signal
import socket
import sys
from pathlib import Path

import anyio
import logbook
from anyio.abc import TaskGroup
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from .admission import AdmissionController
from .callers.app import caller_app
from .clock import Clock, SystemClock
from .controller import Controller
from .decisions import DecisionLog
from .drain_notices import DrainNotices
from .drains import JobTaskCounts
from .endpoints.client import EndpointClient
from .errors import SettingsError, StoreError
from .fleet_state import DaemonRecord, FleetState
from .follower import FleetFollower
from .health_reports import HealthReports
from .jobs import JobStore
from .membership import Membership
from .operators.app import operator_app
from .operators.support import OperatorContext
from .peers.calls import PeerCalls
from .peers.messages import Heartbeat, Hello
from .peers.streams import PeerNetwork
from .platform.directory import VmDirectory, VmRole
from .platform.etcd import EtcdStore
from .platform.records import ConflictError
from .platform.store import Store
from .platform.vm_service import HttpVmDirectory
from .requests import RequestService
from .roles import RoleCandidate
from .scheduler import Scheduler
from .serving import EmbeddedServer, server_config
from .settings import DaemonSettings, load_settings
from .workers.client import WorkerClient

log = logbook.Logger("pomeloyard.daemon")


class Daemon:
    """One daemon with all its parts."""

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
        self.incarnation = f"{settings.vm}.{secrets.token_hex(4)}"
        record = DaemonRecord(
            incarnation=self.incarnation,
            vm=settings.vm,
            peer_address=settings.peer_address,
            operator_address=settings.operator_address,
            caller_address=settings.caller_address,
            availability_zone=settings.availability_zone,
        )
        self.follower = FleetFollower(store, directory, clock, self.state)
        self.membership = Membership(store, clock, self.state, record)
        self.peers = PeerNetwork(
            clock,
            Hello(
                self.incarnation,
                settings.vm,
                settings.peer_address,
                settings.availability_zone,
            ),
        )
        self.peers.addresses.update(settings.peers)
        self.calls = PeerCalls(self.peers)
        self.admission = AdmissionController(
            clock, self._slots, self._units, self._executors, self._weight
        )
        self.endpoints = EndpointClient()
        self.workers = WorkerClient()
        self.requests = RequestService(
            clock, self.state, self.admission, self.endpoints
        )
        self.jobs = JobStore(store, clock)
        self.drain_notices = DrainNotices(
            self.peers,
            self.calls,
            self.state,
            lambda vm: self.admission.running_by_vm.get(vm, 0),
        )
        self.controller = Controller(
            clock,
            self.state,
            store,
            directory,
            self.decisions,
            self.drain_notices.ask,
            JobTaskCounts(store),
            self.drain_notices.announce,
            self._demand_by_pool,
        )
        self.health_reports = HealthReports(
            clock, self.peers, self.state, self.controller.repairs.health.observe
        )
        self.scheduler = Scheduler(clock, self.state, self.jobs, self.workers)
        self._servers: list[EmbeddedServer] = []

    async def run(self) -> None:
        """Run until SIGTERM or SIGINT."""
        async with anyio.create_task_group() as tasks:
            await self.start(tasks)
            with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
                async for _ in signals:
                    break
            with anyio.move_on_after(self.settings.shutdown_seconds):
                await self.close()
            tasks.cancel_scope.cancel()

    async def start(self, tasks: TaskGroup) -> None:
        """Start all parts."""
        self.state.bootstrap_sha256 = self.settings.bootstrap_key_sha256
        self.peers.heartbeat = self._heartbeat
        self.follower.on_change.append(self._on_change)
        self.drain_notices.start()
        self.health_reports.start()
        await self.peers.start(tasks)
        tasks.start_soon(self.follower.run)
        tasks.start_soon(self.follower.run_vm_list)
        tasks.start_soon(self.membership.run)
        tasks.start_soon(self.health_reports.run)
        for name, work in (
            ("scheduler", self.scheduler.run),
            ("controller", self.controller.run),
        ):
            candidate = RoleCandidate(
                self.store, self.clock, name, self.incarnation, work
            )
            tasks.start_soon(candidate.run)
        settings = self.settings
        caller = caller_app(self.state, self.requests, self.jobs)
        operator = operator_app(self._operator_context())
        self._serve(tasks, caller, settings.caller_address)
        self._serve(tasks, operator, settings.operator_address)
        self._serve(tasks, self._metrics_app(), settings.metrics_address)
        log.info("{} started", self.incarnation)

    async def close(self) -> None:
        """Stop accepting, finish running requests and give up partitions."""
        for server in self._servers:
            server.should_exit = True
        while any(self.admission.running_by_vm.values()):
            await anyio.sleep(0.05)
        try:
            await self.membership.release()
        except (StoreError, ConflictError) as error:
            log.warning("partitions not released: {}", error)
        await self.peers.close()
        await self.endpoints.close()
        await self.workers.close()

    def _operator_context(self) -> OperatorContext:
        return OperatorContext(
            clock=self.clock,
            state=self.state,
            store=self.store,
            controller=self.controller,
            jobs=self.jobs,
            decisions=self.decisions,
        )

    def _serve(self, tasks: TaskGroup, app: Starlette, address: str) -> None:
        host, port = address.rsplit(":", 1)
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, int(port)))
        server = EmbeddedServer(server_config(app))
        self._servers.append(server)
        tasks.start_soon(server.serve, [listener])

    def _metrics_app(self) -> Starlette:
        async def ready(request: Request) -> Response:
            is_ready = self.state.config.revision > 0
            return Response(
                "ready" if is_ready else "not ready", 200 if is_ready else 503
            )

        return Starlette(
            routes=[
                Route("/healthz", lambda request: Response("ok")),
                Route("/readyz", ready),
            ]
        )

    def _heartbeat(self) -> Heartbeat:
        state = self.state
        return Heartbeat(
            state.config.revision,
            state.keys.version,
            state.partitions_revision,
            state.store_reachable,
        )

    def _on_change(self) -> None:
        self.peers.addresses.update(
            record.peer_address for record in self.state.daemons_by_incarnation.values()
        )
        self.admission.dispatch_all()

    def _slots(self, vm: str) -> int:
        record = self.state.vm_list.vms_by_name.get(vm)
        if record is None:
            return 0
        pool = self.state.pool_of(record)
        for service in self.state.config.services_by_name.values():
            if service.pool == pool:
                return self.membership.amount(vm, service.slots_per_executor)
        return 0

    def _units(self, team: str) -> int:
        config = self.state.config.teams_by_name.get(team)
        if config is None:
            return 0
        return self.membership.amount(team, config.limit - config.job_limit)

    def _executors(self, service: str) -> list[str]:
        config = self.state.config.services_by_name.get(service)
        if config is None:
            return []
        vms = self.state.available_vms(config.pool, VmRole.EXECUTOR)
        return [vm.name for vm in vms]

    def _demand_by_pool(self) -> dict[str, float]:
        """Return the demand of pools in VMs, extrapolated from this daemon's."""
        daemons = max(1, len(self.state.daemons_by_incarnation))
        demand: dict[str, float] = {}
        for service in self.state.config.services_by_name.values():
            running = sum(
                count
                for (name, _), count in self.admission.running_by_service_team.items()
                if name == service.name
            )
            slots = (running + self.admission.queued(service.name)) * daemons
            vms = slots / max(1, service.slots_per_executor)
            demand[service.pool] = demand.get(service.pool, 0.0) + vms
        return demand

    def _weight(self, team: str) -> float:
        config = self.state.config.teams_by_name.get(team)
        return config.share if config is not None else 1.0


def main() -> None:
    """Run the daemon with a settings file."""
    parser = argparse.ArgumentParser(prog="pomeloyardd", description=main.__doc__)
    parser.add_argument("--settings", type=Path, required=True)
    arguments = parser.parse_args()
    try:
        settings = load_settings(arguments.settings)
    except SettingsError as error:
        print(f"error: {error}", file=sys.stderr)
        raise SystemExit(2) from error
    logbook.StreamHandler(sys.stderr, level="INFO").push_application()
    daemon = Daemon(
        settings,
        EtcdStore(settings.store_url),
        HttpVmDirectory(settings.directory_url),
        SystemClock(),
    )
    anyio.run(daemon.run)


if __name__ == "__main__":
    main()
