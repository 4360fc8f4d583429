"""Request path of daemons on loopback, with an in-memory store."""

from __future__ import annotations

from contextlib import AsyncExitStack, asynccontextmanager
from datetime import timedelta

import anyio
import httpcore
from starlette.applications import Starlette

from pomeloyard.allocation.admission import AdmissionController
from pomeloyard.allocation.partitions import PartitionTable, new_table
from pomeloyard.callers.service_routes import service_routes
from pomeloyard.claims.service import ClaimService
from pomeloyard.clock import SystemClock
from pomeloyard.config.model import (
    BudgetConfig,
    FleetConfig,
    ServiceConfig,
    TeamConfig,
)
from pomeloyard.decisions import DecisionLog
from pomeloyard.endpoints.client import EndpointClient
from pomeloyard.fleet_state import DaemonRecord, FleetState
from pomeloyard.keys import KeyRing, new_key
from pomeloyard.keyvalue import layout
from pomeloyard.keyvalue.memory import MemoryStore
from pomeloyard.keyvalue.records import Change, commit_changes, read_record
from pomeloyard.peers.calls import PeerCalls
from pomeloyard.peers.messages import Hello
from pomeloyard.peers.streams import PeerNetwork
from pomeloyard.problems import EXCEPTION_HANDLERS
from pomeloyard.requests.exchanges import ExchangeSender
from pomeloyard.requests.keyed import KeyedRequests
from pomeloyard.requests.results import ResultTable
from pomeloyard.requests.routing import ExecutorRouter
from pomeloyard.requests.service import RequestService
from pomeloyard.serving import serving
from pomeloyard.vm_platform.directory import Vm, VmList, VmRole

from .processes import free_port

UNITS = 20
CONNECTIONS = 8
"""A daemon's share of an executor's 64 connections, with eight or nine daemons."""


class RequestPath:
    """The components of the daemon ``name`` that handle requests."""

    def __init__(self, name, executors, store, network_address, **options):
        self.clock = SystemClock()
        self.name = name
        self.state = fleet_state(executors, **options)
        self.network = PeerNetwork(
            self.clock, Hello(name, name.split(".")[0], network_address, "east")
        )
        self.calls = PeerCalls(self.network)
        self.router = ExecutorRouter(
            self.clock, "east", lambda vm: "east", self.load, self.executors
        )
        self.admission = AdmissionController(
            self.clock,
            lambda vm: 8,
            lambda team: UNITS,
            self.executors,
            lambda team: 1.0,
            self.router.rank,
        )
        self.client = EndpointClient(lambda vm: CONNECTIONS)
        self.decisions = DecisionLog()
        self.claims = ClaimService(
            store, self.clock, self.state, self.network, self.calls, name
        )
        self.results = ResultTable(self.clock)
        keyed = KeyedRequests(
            self.clock, self.claims, self.results, self.network, self.calls, name
        )
        sender = ExchangeSender(
            self.clock,
            self.state,
            self.admission,
            self.client,
            self.router,
            self.decisions,
        )
        self.requests = RequestService(self.clock, self.state, sender, keyed)
        self.key, record = new_key(team="mill")
        self.state.keys = KeyRing(1, {record.key_id: record})
        self.address = ""

    def executors(self, service):
        return sorted(self.state.vm_list.vms_by_name)

    def load(self, vm):
        return self.admission.running_by_vm.get(vm, 0) / 8

    def running(self):
        return sum(self.admission.running_by_vm.values())

    @asynccontextmanager
    async def serving(self):
        app = Starlette(
            routes=service_routes(self.state, self.requests),
            exception_handlers=EXCEPTION_HANDLERS,
        )
        async with anyio.create_task_group() as tasks:
            await self.network.start(tasks)
            tasks.start_soon(self.claims.run)
            async with serving(app) as self.address:
                yield self
            await self.client.close()
            tasks.cancel_scope.cancel()

    def call(self, pool, method, path="/cut", body=b"", **headers):
        """Send a request as a caller of team "mill"."""
        named = {name.replace("_", "-"): value for name, value in headers.items()}
        return pool.request(
            method,
            f"http://{self.address}/v1/services/orders{path}",
            headers={"Authorization": f"Bearer {self.key}", **named},
            content=body,
        )


def fleet_state(executors, **options):
    service = ServiceConfig(
        "orders",
        "orders",
        BudgetConfig(0),
        **{
            "request_timeout": timedelta(seconds=0.4),
            "queue_timeout": timedelta(seconds=0.4),
            "max_body_bytes": 200_000,
            **options,
        },
    )
    vms = {
        name: Vm(name, VmRole.EXECUTOR, "orders", "r", "east", "k", address)
        for name, address in executors.items()
    }
    config = FleetConfig(
        "test",
        1,
        services_by_name={"orders": service},
        teams_by_name={"mill": TeamConfig("mill", 1.0, UNITS)},
    )
    return FleetState(config=config, vm_list=VmList(vms, 1), store_reachable=True)


async def assign_partitions(store, paths, holders):
    """Store a table that assigns partition i to ``holders[i]`` and load it in paths."""
    table = new_table(len(holders))
    for number, holder in enumerate(holders):
        table = table.with_holder(number, holder, clean=True)
    current = await read_record(store, layout.PARTITIONS, PartitionTable)
    await commit_changes(store, [Change(layout.PARTITIONS, table, current)])
    record = await read_record(store, layout.PARTITIONS, PartitionTable)
    for path in paths:
        path.state.partitions = record.value
        path.state.partitions_revision = record.mod_revision
        path.state.daemons_by_incarnation = {
            p.name: DaemonRecord(p.name, p.name.split(".")[0], "", "", "", "")
            for p in paths
        }
        path.claims.apply_partition_table()
    while any(p.claims.has_unopened_partitions() for p in paths):
        await anyio.sleep(0.01)


@asynccontextmanager
async def request_path(executors, names=("a.1",), store=None, **options):
    """Serve the request paths of connected daemons; the first holds the partition."""
    store = store or MemoryStore(SystemClock())
    async with AsyncExitStack() as stack:
        paths = []
        for name in names:
            address = f"127.0.0.1:{free_port()}"
            path = RequestPath(name, executors, store, address, **options)
            path.network.addresses.update(p.network.hello.address for p in paths)
            paths.append(await stack.enter_async_context(path.serving()))
        while any(len(p.network.connected()) < len(names) - 1 for p in paths):
            await anyio.sleep(0.01)
        await assign_partitions(store, paths, [names[0]])
        pool = await stack.enter_async_context(httpcore.AsyncConnectionPool())
        yield paths, pool
