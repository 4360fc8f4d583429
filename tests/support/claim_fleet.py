"""Several claim services in one event loop, with fault injection and a given clock."""

from __future__ import annotations

import asyncio
import itertools
import random
from datetime import timedelta

from pomeloyard.allocation.partitions import PartitionTable, new_table
from pomeloyard.claims.service import ClaimService, ClaimTicket
from pomeloyard.errors import (
    RefusedError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from pomeloyard.fleet_state import DaemonRecord, FleetState
from pomeloyard.keyvalue import layout
from pomeloyard.keyvalue.memory import MemoryStore
from pomeloyard.keyvalue.records import Change, commit_changes, read_record
from pomeloyard.peers.calls import PeerCalls, _PendingCall
from pomeloyard.peers.messages import ClaimOutage

STEP = timedelta(milliseconds=50)
MAX_TICKET_AGE_SECONDS = 150


class FaultyStore:
    """One daemon's store client, which pauses with it, fails and loses answers."""

    def __init__(self, fleet, daemon):
        self._fleet, self._daemon = fleet, daemon

    async def _check_available(self):
        await self._daemon.resumed.wait()
        if self._fleet.store_down or self._daemon.killed:
            raise StoreUnavailableError("down")

    async def get(self, key):
        await self._check_available()
        return await self._fleet.store.get(key)

    async def scan(self, *arguments, **options):
        await self._check_available()
        return await self._fleet.store.scan(*arguments, **options)

    async def commit(self, transaction):
        await self._check_available()
        loss = self._fleet.next_write_loss()
        if loss == "before":
            raise StoreOutcomeUnknownError("request lost")
        result = await self._fleet.store.commit(transaction)
        await self._daemon.resumed.wait()
        if loss == "after":
            raise StoreOutcomeUnknownError("answer lost")
        return result


class Network:
    """Delivers messages immediately, after a pause of either side, or not at all."""

    def __init__(self, fleet, daemon):
        self._fleet, self._daemon = fleet, daemon
        self.handlers = {}
        self.on_connect = []
        self.on_disconnect = []

    def on(self, kind, handler):
        self.handlers[kind] = handler

    def broadcast(self, message):
        for name in self.connected():
            self.send(name, message)

    def connected(self):
        return [d.name for d in self._fleet.live() if d is not self._daemon]

    def send(self, name, message):
        if not self._daemon.resumed.is_set():
            self._daemon.outbox.append((name, message))
            return True
        return self._fleet.deliver(self._daemon, name, message)


class Calls(PeerCalls):
    """Calls that time out only when the test expires them."""

    async def call(self, incarnation, make_message, reply_type, timeout):
        request_id = next(self._ids)
        pending = self._pending_by_id[request_id] = _PendingCall(incarnation)
        try:
            if self._network.send(incarnation, make_message(request_id)):
                await pending.ended.wait()
        finally:
            del self._pending_by_id[request_id]
        return pending.reply if isinstance(pending.reply, reply_type) else None

    def expire(self):
        for pending in self._pending_by_id.values():
            pending.ended.set()


class Daemon:
    def __init__(self, fleet, vm, number):
        self.vm, self.name = vm, f"{vm}.{number}"
        self.killed = False
        self.resumed = asyncio.Event()
        self.resumed.set()
        self.inbox, self.outbox = [], []
        self.state = FleetState(store_reachable=not fleet.store_down)
        self.network = Network(fleet, self)
        self.calls = Calls(self.network)
        self.service = ClaimService(
            FaultyStore(fleet, self),
            fleet.clock,
            self.state,
            self.network,
            self.calls,
            self.name,
        )
        self.task = asyncio.create_task(self.service.run())


class ClaimFleet:
    """Daemons on one store, with a record of the requests that ran."""

    def __init__(self, clock, vms=("a", "b", "c"), partitions=2, seed=0):
        self.clock = clock
        self.store = MemoryStore(clock)
        self.random = random.Random(seed)
        self.store_down = False
        self.write_losses = []
        self.message_losses = 0
        self.numbers = itertools.count(1)
        self.partition_count = partitions
        self.daemons = []
        self.runs_by_key = {}
        self.tasks = []
        self.vms = vms

    async def start(self):
        table = new_table(self.partition_count)
        for vm in self.vms:
            self.add(vm)
        for number in range(self.partition_count):
            holder = self.daemons[number % len(self.daemons)].name
            table = table.with_holder(number, holder, clean=True)
        await commit_changes(self.store, [Change(layout.PARTITIONS, table, None)])
        await self.sync()

    def add(self, vm):
        daemon = Daemon(self, vm, next(self.numbers))
        self.daemons.append(daemon)
        return daemon

    def live(self):
        return [d for d in self.daemons if not d.killed]

    def next_write_loss(self):
        return self.write_losses.pop(0) if self.write_losses else None

    def deliver(self, sender, name, message):
        target = next((d for d in self.live() if d.name == name), None)
        if sender.killed or target is None:
            return False
        # Outage notices are never lost: they are resent after a reconnect.
        is_lost = not isinstance(message, ClaimOutage) and self.message_losses > 0
        if is_lost and self.random.random() < 0.5:
            self.message_losses -= 1
            return True
        if target.resumed.is_set():
            target.network.handlers[type(message)](sender.name, message)
        else:
            target.inbox.append((sender.name, message))
        return True

    async def sync(self, *only):
        """Update daemons from the store, unless it is down or they are paused."""
        if not self.store_down:
            record = await read_record(self.store, layout.PARTITIONS, PartitionTable)
            registered = {
                d.name: DaemonRecord(d.name, d.vm, "", "", "", "") for d in self.live()
            }
            for daemon in only or self.live():
                if daemon.resumed.is_set() and not daemon.killed:
                    daemon.state.partitions = record.value
                    daemon.state.partitions_revision = record.mod_revision
                    daemon.state.daemons_by_incarnation = registered
                    daemon.service.apply_partition_table()
        await self.run_steps(2)

    async def run_steps(self, steps):
        """Run all tasks while the clock advances by a number of steps."""
        for _ in range(steps):
            for _ in range(12):
                await asyncio.sleep(0)
            self.clock.advance(STEP)
        for _ in range(12):
            await asyncio.sleep(0)

    async def time_out_calls(self):
        for daemon in self.live():
            if daemon.resumed.is_set():
                daemon.calls.expire()
        await self.run_steps(2)

    def set_store_down(self, down):
        self.store_down = down
        for daemon in self.live():
            daemon.state.store_reachable = not down

    def pause(self, daemon):
        daemon.resumed.clear()

    async def resume(self, daemon):
        daemon.resumed.set()
        for name, message in daemon.outbox:
            self.deliver(daemon, name, message)
        daemon.outbox = []
        inbox, daemon.inbox = daemon.inbox, []
        for sender, message in inbox:
            daemon.network.handlers[type(message)](sender, message)

    def kill(self, daemon):
        daemon.killed = True
        daemon.task.cancel()

    async def take_over(self, number, holder, *, clean):
        """Change a partition's holder in the store, if it is up."""
        if self.store_down:
            return
        record = await read_record(self.store, layout.PARTITIONS, PartitionTable)
        if clean:
            # A holder writes its claims before it releases a partition.
            former = record.value.partitions[number].holder
            for daemon in self.live():
                if daemon.name == former and daemon.resumed.is_set():
                    await daemon.service.close()
        table = record.value.with_holder(number, holder.name, clean=clean)
        await commit_changes(self.store, [Change(layout.PARTITIONS, table, record)])

    def submit(self, daemon, key, *, runs=True):
        """Claim a key at a daemon; then run its request, or release the claim unrun."""
        task = asyncio.create_task(self._run(daemon, key, runs))
        self.tasks.append(task)
        return task

    async def _run(self, daemon, key, runs):
        key_hash = key.to_bytes(8) + bytes(8)
        try:
            ticket = await daemon.service.claim(key_hash, b"f" * 16)
        except RefusedError as error:
            return error.refusal.reason.value
        if not isinstance(ticket, ClaimTicket):
            return "duplicate"
        # A paused daemon continues only once resumed, a killed one never.
        while not daemon.resumed.is_set():
            await daemon.resumed.wait()
        age = self.clock.monotonic().total_seconds() - ticket.asked_at
        if daemon.killed:
            return "killed"
        if not runs or age > MAX_TICKET_AGE_SECONDS:
            daemon.service.release(ticket)
            return "released"
        self.runs_by_key.setdefault(key, []).append(
            (daemon.name, self.clock.monotonic())
        )
        return "ran"

    async def close(self):
        for task in (*self.tasks, *(d.task for d in self.daemons)):
            task.cancel()
        await asyncio.sleep(0)
