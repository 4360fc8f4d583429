"""The daemon as it runs on each entry VM of the operators' platform."""

from __future__ import annotations

import signal
from collections.abc import Sequence
from dataclasses import replace
from datetime import timedelta

import anyio
import logbook
from starlette.types import ASGIApp

from ..batch.decisions import DecisionLines
from ..batch.follow import OperatorFollower
from ..batch.intake import Intake
from ..batch.metrics import BatchMetrics
from ..batch.placing import ROLE, TIMES, PlacingRole
from ..batch.registry import ExecutorRegistry
from ..batch.term import PlacingTerm
from ..batch.vm_keeper import VmKeeper
from ..clock import Clock, SystemClock
from ..errors import SettingsError
from ..keyvalue.store import Compare
from ..logs import STDOUT, JsonLogHandler, LogWriter
from ..roles import HeldRole, RoleCandidate
from ..serving import EmbeddedServer, server_config, tcp_listener
from .advice import PlatformAdvice
from .documents import PlatformDocuments, RegistrationDocuments
from .executors import PlatformExecutors
from .front import Front, MetricText, Readiness
from .http import HttpCaller
from .kv import PlatformStore
from .settings import PlatformSettings, read_settings
from .store_relay import RelayPeers, StoreRelay
from .vms import PlatformVms

RETENTION_SLACK = timedelta(seconds=30)
"""Job states are kept this much longer than callers may ask for them."""
CLOSING_TIME = timedelta(seconds=1.5)
"""Between SIGTERM and the end of the listeners, while the balancer learns that the
daemon is not ready and callers are told to leave their connections."""
SMALL_VM_SPEED = 1.0
"""Placing takes up to 0.4 of a core for 180 executors; slower VMs should not do it."""
HEAD_START = timedelta(seconds=0.4)
"""Advantage of large VMs in the competition for the placing role."""
EXECUTOR_CONNECTIONS = 3
"""Prompt calls at once to one executor; each new connection has a price. A look that
waits and orders without an answer are counted apart (``http.MAX_OVERDUE``)."""
CALL_END_S = 3
"""Calls in flight at the end of the listeners have this long to be answered; callers
wait 3 s, and it stays within the platform's grace of 6 s."""
KEEP_ALIVE_S = 60
"""Idle connections of callers are kept longer than they pause between calls."""

log = logbook.Logger("pomeloyard.platform.daemon")


class PlatformDaemon:
    """Serves callers and competes for the placing role."""

    def __init__(self, settings: PlatformSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self.writer = LogWriter(clock, stream=STDOUT)
        self._lines = DecisionLines(clock, self.writer, settings.vm)
        self._caller = HttpCaller()
        self._executor_caller = HttpCaller(EXECUTOR_CONNECTIONS)
        self._store = PlatformStore(self._caller, settings.store_address)
        self._peers = RelayPeers(
            clock,
            self._store,
            settings.vm,
            settings.relay_address,
            settings.core_speed,
        )
        self._advice = (
            PlatformAdvice(self._caller, settings.advice_address)
            if settings.advice_address
            else None
        )
        self._follower = OperatorFollower(clock, self._store, PlatformDocuments())
        intake = Intake(clock, self._store, self._follower)
        self._role = PlacingRole(self._new_term)
        self._metrics = BatchMetrics(
            self._lines, self.writer, self._store.calls, self._follower, self._role
        )
        self._front = Front(
            clock,
            self._follower,
            intake,
            self._lines,
            settings.config_bound,
            settings.withdrawal_bound,
            self._metrics,
        )
        small = settings.core_speed < SMALL_VM_SPEED
        times = replace(TIMES, head_start=HEAD_START if small else timedelta(0))
        self._candidate = RoleCandidate(
            self._store, clock, ROLE, settings.vm, self._role.run, times
        )

    def _new_term(self, role: HeldRole, guard: Compare) -> PlacingTerm:
        registry = ExecutorRegistry(self._clock, self._store, RegistrationDocuments())
        return PlacingTerm(
            self._clock,
            self._store,
            self._follower,
            registry,
            PlatformExecutors(self._executor_caller, role.still_held),
            self._lines,
            role,
            guard,
            self._settings.job_retention + RETENTION_SLACK,
            self._new_keeper if self._settings.vm_service_address else None,
            self._advice,
            ids_kept=self._settings.executor_ids_kept,
        )

    def _new_keeper(self, term: PlacingTerm) -> VmKeeper:
        settings = self._settings
        return VmKeeper(
            self._clock,
            self._store,
            self._follower,
            PlatformVms(
                self._caller, settings.vm_service_address, term.role.still_held
            ),
            PlatformDocuments(),
            self._lines,
            term,
            settings.vm,
            term.role,
            term.guard,
            upkeep_time=settings.upkeep_time,
            move_time=settings.move_time,
            takeover_pause=settings.takeover_pause,
        )

    async def run(self) -> None:
        """Serve until SIGTERM."""
        log.info("daemon starts on {}", self._settings.vm)
        front = _server(self._front, self._settings.caller_address)
        ready = _server(Readiness(self._front), self._settings.readiness_address)
        async with anyio.create_task_group() as tasks:
            role_scope = anyio.CancelScope()
            tasks.start_soon(self.writer.run)
            tasks.start_soon(self._follower.run)
            tasks.start_soon(front.serve, [tcp_listener(self._settings.caller_address)])
            tasks.start_soon(
                ready.serve, [tcp_listener(self._settings.readiness_address)]
            )
            store_relay = StoreRelay(self._store)
            relay = _server(store_relay, self._settings.relay_address)
            tasks.start_soon(relay.serve, [tcp_listener(self._settings.relay_address)])
            tasks.start_soon(self._peers.run)
            tasks.start_soon(self._peers.probe)
            tasks.start_soon(self._compete, role_scope)
            metrics = _server(MetricText(self._metrics), self._settings.metrics_address)
            tasks.start_soon(
                metrics.serve, [tcp_listener(self._settings.metrics_address)]
            )
            await _until_stopped()
            self._front.closing = store_relay.closing = True
            log.info("daemon stops")
            role_scope.cancel()
            await self._clock.sleep(CLOSING_TIME)
            for server in (front, ready, metrics, relay):
                server.should_exit = True
            limit = self._settings.stop_grace - 2 * CLOSING_TIME
            await wait_idle((front, relay), limit)
            tasks.cancel_scope.cancel()
        await self._caller.close()
        await self._executor_caller.close()
        self.writer.close()

    async def _compete(self, scope: anyio.CancelScope) -> None:
        with scope:
            await self._candidate.run()


async def _until_stopped() -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGHUP) as signals:
        async for received in signals:
            if received == signal.SIGTERM:
                return
            # Settings name addresses and limits, which a running process keeps.
            log.info("settings changed; they hold from the next start")


async def wait_idle(servers: Sequence[EmbeddedServer], limit: timedelta) -> None:
    """Return once no connection is open and no call at work, or after ``limit``.

    A call whose caller has left goes on without a connection.
    """
    states = [server.server_state for server in servers]
    with anyio.move_on_after(limit.total_seconds()):
        while any(state.connections or state.tasks for state in states):
            await anyio.sleep(0.02)


def _server(app: ASGIApp, address: str) -> EmbeddedServer:
    config = server_config(
        app,
        timeout_keep_alive=KEEP_ALIVE_S,
        timeout_graceful_shutdown=CALL_END_S,
        server_header=False,
        date_header=False,
    )
    return EmbeddedServer(config)


def main() -> int:
    """Run the daemon; return its exit status."""
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
