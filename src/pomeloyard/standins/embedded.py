"""A small complete fleet in one process, for evaluation."""

from __future__ import annotations

import signal
from contextlib import AsyncExitStack

import anyio
from anyio.abc import TaskGroup

from ..clock import Clock, SystemClock
from ..config.model import FleetConfig
from ..config.publication import publish
from ..config.reader import parse_file, read_contents
from ..daemon import Daemon
from ..keys import Role, hash_key, new_key
from ..keyvalue.memory import MemoryStore
from ..logs import JsonLogHandler
from ..serving import serving
from ..settings import DaemonSettings
from ..vm_platform.directory import Vm, VmRole
from .endpoint import EndpointState, endpoint_app
from .launcher import free_port
from .platform import MemoryVmDirectory, expire_leases
from .worker import WorkerState, run_ticks, worker_app

CONFIGURATION = """
[fleet]
name = "embedded"
[regions.luzon]
availability_zones = ["bulacan"]
[pools.orders]
executors = 2
workers = 2
[services.orders]
pool = "orders"
budget = { min_available = 1 }
[teams.mill]
share = 1.0
limit = 40
job_limit = 16
"""

USAGE = """\
A fleet of 2 executors and 2 workers runs in this process; nothing is kept.

team key      {team_key}
operator key  {operator_key}
callers       http://{caller}
operators     http://{operator}
metrics       http://{metrics}/metrics

Send a request:
  curl -H 'Authorization: Bearer {team_key}' http://{caller}/v1/services/orders/hello
Submit a job:
  curl -H 'Authorization: Bearer {team_key}' -d '{{"command": "sleep 1"}}' \\
    http://{caller}/v1/jobs
Look at the fleet:
  pomeloyard --daemon {operator} --key {operator_key} fleet status

Stop with Ctrl-C.
"""


def embedded_config() -> FleetConfig:
    """Return the configuration of the embedded fleet."""
    return read_contents({"embedded": parse_file(CONFIGURATION.encode(), "embedded")})


async def run_embedded() -> None:
    """Run the fleet until SIGTERM or SIGINT."""
    clock = SystemClock()
    async with anyio.create_task_group() as tasks:
        async with AsyncExitStack() as servers:
            await _run_fleet(servers, tasks, clock)
        tasks.cancel_scope.cancel()


async def _run_fleet(servers: AsyncExitStack, tasks: TaskGroup, clock: Clock) -> None:
    """Start all components, print how to use them and wait for a signal."""
    vms = await _start_vms(servers, tasks, clock)
    store = MemoryStore(clock)
    tasks.start_soon(expire_leases, store, clock)
    operator_key = new_key(role=Role.PUBLISH)[0]
    daemon = _daemon(store, MemoryVmDirectory(clock, vms), clock, operator_key)
    with JsonLogHandler(daemon.log_writer, "WARNING"):
        await publish(store, embedded_config(), 0, by="embedded")
        await daemon.start(tasks)
        while daemon.state.config.revision == 0 or not _all_partitions_held(daemon):
            await anyio.sleep(0.02)
        team_key, _ = await daemon.keys.grant("mill", None, "embedded")
        _print_usage(daemon.settings, team_key, operator_key)
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                break
        with anyio.move_on_after(daemon.settings.shutdown_seconds):
            await daemon.close()


def main() -> None:
    """Run the embedded fleet."""
    anyio.run(run_embedded)


def _all_partitions_held(daemon: Daemon) -> bool:
    """Tell whether every partition has a holder, so that requests can start."""
    table = daemon.state.partitions
    return table is not None and all(p.holder for p in table.partitions)


async def _start_vms(
    servers: AsyncExitStack, tasks: TaskGroup, clock: Clock
) -> list[Vm]:
    vms = []
    for number in (1, 2):
        executor = endpoint_app(EndpointState(f"orders-e{number}"))
        address = await servers.enter_async_context(serving(executor))
        vms.append(_vm(f"orders-e{number}", VmRole.EXECUTOR, address))
        worker = WorkerState(clock, f"orders-w{number}")
        tasks.start_soon(run_ticks, worker)
        address = await servers.enter_async_context(serving(worker_app(worker)))
        vms.append(_vm(worker.name, VmRole.WORKER, address))
    return vms


def _vm(name: str, role: VmRole, address: str) -> Vm:
    rack = "bulacan-1"
    return Vm(
        name,
        role,
        "orders",
        "luzon",
        "bulacan",
        rack,
        address,
        cores=16 if role is VmRole.WORKER else 0,
        memory_bytes=32 * 1024**3 if role is VmRole.WORKER else 0,
    )


def _daemon(
    store: MemoryStore, directory: MemoryVmDirectory, clock: Clock, operator_key: str
) -> Daemon:
    caller, operator, peer, metrics = (f"127.0.0.1:{free_port()}" for _ in range(4))
    settings = DaemonSettings(
        vm="entry-1",
        region="luzon",
        availability_zone="bulacan",
        caller_address=caller,
        operator_address=operator,
        peer_address=peer,
        metrics_address=metrics,
        store_url="http://127.0.0.1:1",
        directory_url="http://127.0.0.1:1",
        bootstrap_key_sha256=hash_key(operator_key),
    )
    return Daemon(settings, store, directory, clock)


def _print_usage(settings: DaemonSettings, team_key: str, operator_key: str) -> None:
    text = USAGE.format(
        team_key=team_key,
        operator_key=operator_key,
        caller=settings.caller_address,
        operator=settings.operator_address,
        metrics=settings.metrics_address,
    )
    print(text, flush=True)
