"""The daemon that runs on each entry VM of the operators' platform."""

from __future__ import annotations

import signal
from collections.abc import Sequence
from dataclasses import replace
from datetime import timedelta

import anyio
import logbook
from starlette.types import ASGIApp

from ..batch.admission import memory_for_jobs
from ..batch.configuration_follower import ConfigurationFollower
from ..batch.decision_log import JobDecisionLog
from ..batch.executor_registry import ExecutorRegistry
from ..batch.job_service import JobService
from ..batch.metrics import BatchMetrics
from ..batch.placing import ROLE, ROLE_TIMES, PlacingRole
from ..batch.placing_term import PlacingTerm
from ..batch.vm_controller import VmController
from ..clock import Clock, SystemClock
from ..errors import SettingsError
from ..keyvalue.store import Compare
from ..logs import STDOUT, JsonLogHandler, LogWriter
from ..roles import HeldRole, RoleCandidate
from ..serving import EmbeddedServer, server_config, tcp_listener
from .advice import PlatformAdvice
from .caller_app import CallerApp, MetricsApp, ReadinessApp
from .documents import PlatformDocuments, RegistrationDocuments
from .executors import PlatformExecutors
from .http import HttpClient
from .settings import PlatformSettings, read_settings
from .store_client import PlatformStore
from .store_relay import RelayPeers, StoreRelay
from .vms import PlatformVms

RETENTION_MARGIN = timedelta(seconds=30)
"""Job states are kept this much longer than callers may query them."""
LISTENER_CLOSE_DELAY = timedelta(seconds=1.5)
"""Between SIGTERM and the close of the listeners. Meanwhile the load balancer sees the
failing readiness check, and responses tell callers to close their connections."""
MIN_PLACING_SPEED = 1.0
"""Placing for 180 executors takes up to 0.4 of a core; slower VMs defer to others."""
SMALL_VM_DELAY = timedelta(seconds=0.4)
"""Delay of small VMs in acquiring the placing role, so that larger ones win."""
MIN_PLACING_MBPS = 20
"""A page of the store, of 1 MB at most, arrives within 0.4 s; VMs with slower links
defer to others."""
SLOW_LINK_DELAY = timedelta(seconds=0.3)
"""Delay of VMs with slow links, added to that of small ones."""
MAX_EXECUTOR_CALLS = 3
"""Concurrent calls to one executor, as each new connection has a cost. Long polls and
orders without a response have a limit of their own (``http.MAX_OVERDUE_CALLS``)."""
IDLE_POLL_INTERVAL_S = 0.02
SHUTDOWN_TIMEOUT_S = 3
"""Time to finish calls in flight once the listeners close: callers wait 3 s, and the
platform kills the process 6 s after SIGTERM."""
KEEP_ALIVE_TIMEOUT_S = 60
"""Longer than callers pause between calls, so that they reuse connections."""

log = logbook.Logger("pomeloyard.platform.daemon")


class PlatformDaemon:
    """Serves callers and is a candidate for the placing role."""

    def __init__(self, settings: PlatformSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self.writer = LogWriter(clock, stream=STDOUT)
        self._decision_log = JobDecisionLog(clock, self.writer, settings.vm)
        self._client = HttpClient()
        self._executor_caller = HttpClient(MAX_EXECUTOR_CALLS)
        self._store = PlatformStore(self._client, settings.store_address)
        self._relay_peers = RelayPeers(
            clock,
            self._store,
            settings.vm,
            settings.relay_address,
            settings.core_speed,
            settings.memory_mb,
        )
        self._advice = (
            PlatformAdvice(self._client, settings.advice_address)
            if settings.advice_address
            else None
        )
        self._follower = ConfigurationFollower(
            clock,
            self._store,
            PlatformDocuments(),
            settings.evacuation_bound,
            settings.zones,
        )
        job_service = JobService(clock, self._store, self._follower)
        self._role = PlacingRole(self._new_term)
        self._metrics = BatchMetrics(
            self._decision_log,
            self.writer,
            self._store.calls,
            self._follower,
            self._role,
        )
        self._caller_app = CallerApp(
            clock,
            self._follower,
            job_service,
            self._decision_log,
            settings.config_bound,
            settings.withdrawal_bound,
            self._metrics,
        )
        times = replace(
            ROLE_TIMES,
            candidacy_delay=candidacy_delay(settings.core_speed, settings.link_mbps),
        )
        self._candidate = RoleCandidate(
            self._store, clock, ROLE, settings.vm, self._role.run, times
        )

    def _new_term(self, role: HeldRole, guard: Compare) -> PlacingTerm:
        registry = ExecutorRegistry(
            self._clock,
            self._store,
            RegistrationDocuments(),
            self._settings.capacity_bound,
        )
        return PlacingTerm(
            self._clock,
            self._store,
            self._follower,
            registry,
            PlatformExecutors(self._executor_caller, role.still_held),
            self._decision_log,
            role,
            guard,
            self._settings.job_retention + RETENTION_MARGIN,
            self._new_vm_controller if self._settings.vm_service_address else None,
            self._advice,
            ids_reused=self._settings.executor_ids_kept,
            memory_for_jobs=lambda: memory_for_jobs(
                self._relay_peers.smallest_memory_mb
            ),
        )

    def _new_vm_controller(self, term: PlacingTerm) -> VmController:
        settings = self._settings
        return VmController(
            self._clock,
            self._store,
            self._follower,
            PlatformVms(
                self._client, settings.vm_service_address, term.role.still_held
            ),
            PlatformDocuments(),
            self._decision_log,
            term,
            settings.vm,
            term.role,
            term.guard,
            maintenance_time=settings.upkeep_time,
            move_time=settings.move_time,
            takeover_pause=settings.takeover_pause,
        )

    async def run(self) -> None:
        """Serve until SIGTERM."""
        log.info("daemon starting on {}", self._settings.vm)
        caller_server = _server(self._caller_app, self._settings.caller_address)
        readiness_server = _server(
            ReadinessApp(self._caller_app), self._settings.readiness_address
        )
        async with anyio.create_task_group() as tasks:
            role_scope = anyio.CancelScope()
            tasks.start_soon(self.writer.run)
            tasks.start_soon(self._follower.run)
            tasks.start_soon(
                caller_server.serve, [tcp_listener(self._settings.caller_address)]
            )
            tasks.start_soon(
                readiness_server.serve, [tcp_listener(self._settings.readiness_address)]
            )
            store_relay = StoreRelay(self._store)
            relay_server = _server(store_relay, self._settings.relay_address)
            tasks.start_soon(
                relay_server.serve, [tcp_listener(self._settings.relay_address)]
            )
            tasks.start_soon(self._relay_peers.run)
            tasks.start_soon(self._relay_peers.probe)
            tasks.start_soon(self._run_candidate, role_scope)
            metrics_server = _server(
                MetricsApp(self._metrics), self._settings.metrics_address
            )
            tasks.start_soon(
                metrics_server.serve, [tcp_listener(self._settings.metrics_address)]
            )
            await _wait_for_sigterm()
            self._caller_app.closing = store_relay.closing = True
            log.info("SIGTERM received, daemon shutting down")
            role_scope.cancel()
            await self._clock.sleep(LISTENER_CLOSE_DELAY)
            readiness_server.should_exit = metrics_server.should_exit = True
            limit = self._settings.stop_grace - 2 * LISTENER_CLOSE_DELAY
            await stop_serving((caller_server, relay_server), limit)
            tasks.cancel_scope.cancel()
        await self._client.close()
        await self._executor_caller.close()
        self.writer.close()

    async def _run_candidate(self, scope: anyio.CancelScope) -> None:
        with scope:
            await self._candidate.run()


def candidacy_delay(core_speed: float, link_mbps: float) -> timedelta:
    """Return how long a VM waits before it takes the vacant placing role.

    ``core_speed`` is 1.0 for a whole core; ``link_mbps`` is 0 if it is not known.

    >>> candidacy_delay(2.0, 100).total_seconds()
    0.0
    >>> candidacy_delay(0.5, 100) < candidacy_delay(0.5, 5)
    True
    """
    delay = timedelta(0)
    if core_speed < MIN_PLACING_SPEED:
        delay += SMALL_VM_DELAY
    if 0 < link_mbps < MIN_PLACING_MBPS:
        delay += SLOW_LINK_DELAY
    return delay


async def _wait_for_sigterm() -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGHUP) as signals:
        async for received in signals:
            if received == signal.SIGTERM:
                return
            # Addresses and limits cannot be changed in a running process.
            log.info("SIGHUP received; changed settings apply after a restart")


async def stop_serving(servers: Sequence[EmbeddedServer], limit: timedelta) -> None:
    """Accept no more connections; return once all calls are answered, or after a limit.

    A server closes its listeners some time after it is asked to exit, and calls that
    arrive until then must be answered as well.
    """
    for server in servers:
        server.should_exit = True
    with anyio.move_on_after(limit.total_seconds()):
        while any(one.is_serving() for server in servers for one in server.servers):
            await anyio.sleep(IDLE_POLL_INTERVAL_S)
        # A connection that was accepted last may not be among the open ones yet.
        await anyio.sleep(IDLE_POLL_INTERVAL_S)
        await wait_idle(servers, limit)


async def wait_idle(servers: Sequence[EmbeddedServer], limit: timedelta) -> None:
    """Return once no connection is open and no call in progress, or after ``limit``.

    A call continues without a connection after its caller has disconnected.
    """
    states = [server.server_state for server in servers]
    with anyio.move_on_after(limit.total_seconds()):
        while any(state.connections or state.tasks for state in states):
            await anyio.sleep(IDLE_POLL_INTERVAL_S)


def _server(app: ASGIApp, address: str) -> EmbeddedServer:
    config = server_config(
        app,
        timeout_keep_alive=KEEP_ALIVE_TIMEOUT_S,
        timeout_graceful_shutdown=SHUTDOWN_TIMEOUT_S,
        server_header=False,
        date_header=False,
    )
    return EmbeddedServer(config)


def main() -> int:
    """Run the daemon and return its exit status."""
    clock = SystemClock()
    try:
        settings = read_settings()
    except SettingsError as error:
        logbook.StderrHandler().push_application()
        log.error("{}", error)
        return 2
    daemon = PlatformDaemon(settings, clock)
    JsonLogHandler(daemon.writer).push_application()
    anyio.run(daemon.run)
    return 0
