"""Connections between daemons: dialling, heartbeats and message dispatch."""

from __future__ import annotations

import random
from collections.abc import Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

import anyio
import logbook
from anyio.abc import ByteStream, TaskGroup
from anyio.streams.buffered import BufferedByteReceiveStream
from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream

from ..clock import Clock
from ..errors import FrameError
from .codec import LENGTH_PREFIX, decode_length, decode_payload, encode_frame
from .dialling import DIAL_INTERVAL, DialSchedule
from .messages import Goodbye, Hello, Message
from .tls import PeerTls
from .traffic import Traffic

HEARTBEAT_INTERVAL = timedelta(seconds=1)
SILENCE_TIMEOUT = timedelta(seconds=3)
DIAL_TIMEOUT = timedelta(seconds=1)
CLOSE_TIMEOUT = timedelta(seconds=0.5)
DUPLICATE_GRACE = timedelta(seconds=2)
"""How long two connections to the same daemon stay open before one is closed."""

SEND_QUEUE_MESSAGES = 1000
SEND_QUEUE_BYTES = 4 * 1024 * 1024
"""Limit of the memory that one slow reader occupies in a daemon of 32 MB."""

MAX_CONNECTIONS = 256
"""Limit of open accepted connections, so that a faulty peer cannot exhaust the
file descriptors."""

Handler = Callable[[str, Any], None]

log = logbook.Logger("pomeloyard.peers")


@dataclass(eq=False)
class Connection:
    """One open connection to another daemon."""

    hello: Hello
    outgoing: MemoryObjectSendStream[bytes]
    scope: anyio.CancelScope
    last_received_at: timedelta
    opened_at: timedelta = timedelta(0)
    dialled: bool = False
    queued_bytes: int = 0


class PeerNetwork:
    """Connections to all other daemons and the dispatch of their messages.

    Received data cannot end the daemon: a malformed frame, a failing handler or
    a silent peer ends only its connection, which is then dialled again.
    """

    def __init__(
        self,
        clock: Clock,
        hello: Hello,
        *,
        listen_address: str = "",
        tls: PeerTls | None = None,
    ) -> None:
        self._clock = clock
        self.hello = hello
        self._listen_address = listen_address or hello.address
        self._tls = tls
        self.connections_by_incarnation: dict[str, Connection] = {}
        self.seeds: set[str] = set()
        """Addresses from the settings; never removed."""
        self.addresses: set[str] = set()
        """Addresses learned from registrations and from other daemons."""
        self.traffic = Traffic()
        self.heartbeat: Callable[[], Message | None] = lambda: None
        self.on_connect: list[Callable[[str], object]] = []
        self.on_disconnect: list[Callable[[str], object]] = []
        """Called when the last connection to a daemon has ended."""
        self.on_goodbye: list[Callable[[str], object]] = []
        self._handlers_by_type: dict[type, list[Handler]] = {}
        self._connections: set[Connection] = set()
        self._accepted = 0
        self._dial_schedule = DialSchedule(hello.address)
        self._tasks: TaskGroup | None = None
        self._listener: anyio.abc.Listener[Any] | None = None

    def on(self, kind: type, handler: Handler) -> None:
        """Register a handler of a message type; it must not block."""
        self._handlers_by_type.setdefault(kind, []).append(handler)

    async def start(self, tasks: TaskGroup) -> None:
        """Listen on the daemon's own address and dial the others."""
        self._tasks = tasks
        host, port = self._listen_address.rsplit(":", 1)
        self._listener = await anyio.create_tcp_listener(
            local_host=host, local_port=int(port), reuse_port=False
        )
        tasks.start_soon(self._listen, self._listener)
        tasks.start_soon(self._dial_all)
        tasks.start_soon(self._send_heartbeats)

    async def close(self) -> None:
        """Send Goodbye and close all connections."""
        self.broadcast(Goodbye(self.hello.incarnation))
        await anyio.sleep(0)
        if self._listener is not None:
            await self._listener.aclose()
        for connection in list(self._connections):
            connection.outgoing.close()
        with anyio.move_on_after(CLOSE_TIMEOUT.total_seconds()):
            while self._connections:
                await anyio.sleep(0.01)

    def send(self, incarnation: str, message: Message) -> bool:
        """Queue a message; return False if it was dropped."""
        connection = self.connections_by_incarnation.get(incarnation)
        if connection is None:
            return False
        return self._queue(connection, message, self._encode(message))

    def broadcast(self, message: Message) -> int:
        """Queue a message for all connected daemons; return for how many."""
        frame = self._encode(message)
        connections = list(self.connections_by_incarnation.values())
        return sum(self._queue(c, message, frame) for c in connections)

    def connected(self) -> list[str]:
        """Return the incarnations of connected daemons, sorted."""
        return sorted(self.connections_by_incarnation)

    def _encode(self, message: Message) -> bytes | None:
        try:
            return encode_frame(message)
        except FrameError as error:
            log.error("message dropped, cannot encode it: {}", error)
            return None

    def _queue(
        self, connection: Connection, message: Message, frame: bytes | None
    ) -> bool:
        full = connection.queued_bytes + len(frame or b"") > SEND_QUEUE_BYTES
        try:
            if frame is None or full:
                raise anyio.WouldBlock
            connection.outgoing.send_nowait(frame)
        except (anyio.WouldBlock, anyio.ClosedResourceError, anyio.BrokenResourceError):
            self.traffic.dropped_messages += 1
            return False
        connection.queued_bytes += len(frame)
        self.traffic.record_sent(type(message), len(frame))
        return True

    async def _listen(self, listener: anyio.abc.Listener[Any]) -> None:
        listening = True
        while listening:
            try:
                await listener.serve(self._accept)
            except* anyio.ClosedResourceError:
                listening = False  # close() ends the listener.
            except* OSError as group:
                # Accepting fails while file descriptors are exhausted.
                log.error("cannot accept connections: {}", group.exceptions[0])
                await self._clock.sleep(DIAL_INTERVAL)

    async def _dial_all(self) -> None:
        while True:
            now = self._clock.monotonic()
            connected = {c.hello.address for c in self._connections}
            addresses = self.seeds | self.addresses
            for address in self._dial_schedule.due(addresses, connected, now):
                if self._tasks is not None:
                    self._tasks.start_soon(self._dial, address)
            self.addresses -= self._dial_schedule.expired(now)
            await self._clock.sleep(DIAL_INTERVAL * random.uniform(0.5, 1.5))

    async def _dial(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        try:
            with anyio.fail_after(DIAL_TIMEOUT.total_seconds()):
                stream = await anyio.connect_tcp(host, int(port))
            await self._run_connection(stream, dialled=True)
        except (OSError, ValueError, OverflowError):
            pass  # Unreachable or invalid address; dialled again with back-off.
        finally:
            self._dial_schedule.ended(address)

    async def _accept(self, stream: ByteStream) -> None:
        if self._accepted >= MAX_CONNECTIONS:
            await anyio.aclose_forcefully(stream)
            return
        self._accepted += 1
        try:
            await self._run_connection(stream, dialled=False)
        finally:
            self._accepted -= 1

    async def _run_connection(self, stream: ByteStream, *, dialled: bool) -> None:
        """Exchange messages until the connection ends or is silent for too long."""
        try:
            async with AsyncExitStack() as stack:
                stack.push_async_callback(stream.aclose)
                with anyio.fail_after(SILENCE_TIMEOUT.total_seconds()):
                    if self._tls is not None:
                        stream = await self._tls.wrap(stream, server_side=not dialled)
                    await stream.send(encode_frame(self.hello))
                    reader = BufferedByteReceiveStream(stream)
                    first = await self._receive(reader)
                if not isinstance(first, Hello):
                    raise FrameError("first message is not Hello")
                if first.incarnation != self.hello.incarnation:
                    await self._exchange_messages(stream, reader, first, dialled)
        except* FrameError as group:
            self.traffic.rejected_frames += 1
            log.warning("connection to a peer closed: {}", group.exceptions[0])
        except* (
            OSError,
            anyio.EndOfStream,
            anyio.IncompleteRead,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
        ):
            pass  # An ended connection is dialled again by _dial_all.
        except* Exception:
            log.exception("connection to a peer closed by an unexpected error")

    async def _exchange_messages(
        self,
        stream: ByteStream,
        reader: BufferedByteReceiveStream,
        hello: Hello,
        dialled: bool,
    ) -> None:
        send, receive = anyio.create_memory_object_stream[bytes](SEND_QUEUE_MESSAGES)
        now = self._clock.monotonic()
        async with anyio.create_task_group() as tasks:
            scope = tasks.cancel_scope
            connection = Connection(hello, send, scope, now, now, dialled)
            self._register(connection)
            try:
                tasks.start_soon(self._send_queued, stream, receive, connection)
                await self._dispatch(reader, connection)
                scope.cancel()
            finally:
                self._unregister(connection)
                send.close()

    async def _send_queued(
        self,
        stream: ByteStream,
        receive: MemoryObjectReceiveStream[bytes],
        connection: Connection,
    ) -> None:
        with receive:
            async for frame in receive:
                with anyio.fail_after(SILENCE_TIMEOUT.total_seconds()):
                    await stream.send(frame)
                connection.queued_bytes -= len(frame)
        connection.scope.cancel()

    async def _dispatch(
        self, reader: BufferedByteReceiveStream, connection: Connection
    ) -> None:
        while True:
            with anyio.fail_after(SILENCE_TIMEOUT.total_seconds()):
                message = await self._receive(reader)
            connection.last_received_at = self._clock.monotonic()
            sender = connection.hello.incarnation
            if isinstance(message, Goodbye):
                # A daemon can only announce its own end.
                if message.incarnation == sender:
                    self._notify(self.on_goodbye, sender)
                return
            self._notify(self._handlers_by_type.get(type(message), ()), sender, message)

    def _notify(self, callbacks: Any, *arguments: Any) -> None:
        """Call all callbacks; an exception in one must not end the daemon."""
        for callback in callbacks:
            try:
                callback(*arguments)
            except Exception:
                self.traffic.failed_handlers += 1
                log.exception("handler failed for {!r}", arguments[-1])

    async def _receive(self, reader: BufferedByteReceiveStream) -> Message:
        length = decode_length(await reader.receive_exactly(LENGTH_PREFIX.size))
        payload = await reader.receive_exactly(length)
        message = decode_payload(payload)[1]
        self.traffic.record_received(type(message), LENGTH_PREFIX.size + length)
        return message

    def _register(self, connection: Connection) -> None:
        incarnation = connection.hello.incarnation
        self._connections.add(connection)
        self.addresses.add(connection.hello.address)
        # The newest connection is used, as an older one may be dead.
        self.connections_by_incarnation[incarnation] = connection
        self._notify(self.on_connect, incarnation)

    def _unregister(self, connection: Connection) -> None:
        self._connections.discard(connection)
        incarnation = connection.hello.incarnation
        if self.connections_by_incarnation.get(incarnation) is not connection:
            return
        others = [c for c in self._connections if c.hello.incarnation == incarnation]
        if others:
            newest = max(others, key=lambda c: c.opened_at)
            self.connections_by_incarnation[incarnation] = newest
        else:
            del self.connections_by_incarnation[incarnation]
            self._notify(self.on_disconnect, incarnation)

    async def _send_heartbeats(self) -> None:
        """Send heartbeats on all connections, as each has its own silence time-out."""
        while True:
            message = self.heartbeat()
            if message is not None:
                frame = self._encode(message)
                for connection in list(self._connections):
                    self._queue(connection, message, frame)
            self._close_duplicates()
            await self._clock.sleep(HEARTBEAT_INTERVAL)

    def _close_duplicates(self) -> None:
        """Close a duplicate connection that this daemon dialled.

        Of two daemons that dialled each other, only the one with the greater
        incarnation closes its own, so that one connection always remains.
        """
        now = self._clock.monotonic()
        for connection in list(self._connections):
            other = connection.hello.incarnation
            if not connection.dialled or self.hello.incarnation < other:
                continue
            if any(
                c is not connection
                and c.hello.incarnation == other
                and not c.dialled
                and now - c.opened_at >= DUPLICATE_GRACE
                and now - c.last_received_at < DUPLICATE_GRACE
                for c in self._connections
            ):
                connection.outgoing.close()
