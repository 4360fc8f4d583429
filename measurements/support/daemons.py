"""Capacity services of several daemons on an in-memory network."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

import anyio
from anyio.abc import TaskGroup

from pomeloyard.allocation.admission import AdmissionController
from pomeloyard.allocation.partitions import new_table
from pomeloyard.allocation.service import CapacityService
from pomeloyard.clock import Clock
from pomeloyard.config.model import FleetConfig
from pomeloyard.fleet_state import FleetState
from pomeloyard.peers.codec import encode_frame
from pomeloyard.peers.messages import Hello, Message
from pomeloyard.vm_platform.directory import Vm, VmList


@dataclass
class Link:
    """The part of a connection that the capacity service reads."""

    last_received_at: timedelta


class MemoryNetwork:
    """Delivers messages between daemons of one process after a fixed latency."""

    def __init__(self, hello: Hello, clock: Clock, latency: timedelta) -> None:
        self.hello = hello
        self.others: dict[str, MemoryNetwork] = {}
        self.sent_bytes_by_type: Counter[str] = Counter()
        self.cut = False
        self.on_connect: list[Any] = []
        self._clock = clock
        self._latency = latency
        self._handlers: dict[type, Any] = {}
        self._tasks: TaskGroup | None = None

    @property
    def connections_by_incarnation(self) -> dict[str, Link]:
        """Return a link for each reachable daemon."""
        now = self._clock.monotonic()
        reachable = {} if self.cut else self.others
        return {name: Link(now) for name, n in reachable.items() if not n.cut}

    def start(self, tasks: TaskGroup) -> None:
        """Deliver messages in tasks of this group."""
        self._tasks = tasks

    def on(self, kind: type, handler: Any) -> None:
        """Register the handler of a message type."""
        self._handlers[kind] = handler

    def send(self, incarnation: str, message: Message) -> bool:
        """Deliver a message later; return False if it cannot be sent."""
        other = self.others.get(incarnation)
        if other is None or self.cut or other.cut or self._tasks is None:
            return False
        size = len(encode_frame(message))
        self.sent_bytes_by_type[type(message).__name__] += size
        self._tasks.start_soon(self._deliver, other, message)
        return True

    async def _deliver(self, other: MemoryNetwork, message: Message) -> None:
        await anyio.sleep(self._latency.total_seconds())
        handler = other._handlers.get(type(message))
        if handler is not None and not other.cut:
            handler(self.hello.incarnation, message)


class CapacityNode:
    """Admission and capacity service of one daemon."""

    def __init__(
        self,
        name: str,
        clock: Clock,
        config: FleetConfig,
        latency: timedelta,
        start: int = 0,
    ) -> None:
        self.incarnation = f"{name}.{start:08x}"
        self.state = FleetState(config=config)
        self.network = MemoryNetwork(
            Hello(self.incarnation, name, "", ""), clock, latency
        )
        self.admission = AdmissionController(
            clock,
            lambda vm: self.capacity.slots(vm),
            lambda team: self.capacity.units(team),
            self._executors,
            lambda team: config.teams_by_name[team].share,
        )
        network: Any = self.network
        self.capacity = CapacityService(clock, self.state, network, self.admission)

    def _executors(self, service: str) -> list[str]:
        return self.capacity.executors(service)


def start_nodes(
    tasks: TaskGroup,
    clock: Clock,
    count: int,
    config: FleetConfig,
    vms: dict[str, Vm],
    latency: timedelta,
) -> list[CapacityNode]:
    """Start ``count`` daemons that hold all partitions evenly."""
    nodes = [
        CapacityNode(f"entry-{n + 1}", clock, config, latency) for n in range(count)
    ]
    table = new_table()
    for node in nodes:
        table = table.with_member(node.incarnation)
    for number in range(len(table.partitions)):
        holder = nodes[number % count].incarnation
        table = table.with_holder(number, holder, clean=True)
    for node in nodes:
        node.network.others = {n.incarnation: n.network for n in nodes if n is not node}
        node.network.start(tasks)
        node.state.vm_list = VmList(vms, 1)
        node.state.partitions = table
        node.state.partitions_revision = 1
    for node in nodes:
        node.capacity.on_state_change()
        tasks.start_soon(node.capacity.run)
        tasks.start_soon(node.capacity.run_retransmissions)
    return nodes
