"""Connections between daemons: dialling, heartbeats and message dispatch."""

from __future__ import annotations

import random
import ssl
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

import anyio
from anyio.abc import ByteStream, SocketAttribute, TaskGroup
from anyio.streams.buffered import BufferedByteReceiveStream
from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream
from anyio.streams.tls import TLSStream

from ..clock import Clock
from ..errors import FrameError
from .codec import LENGTH, decode_length, decode_payload, encode_frame
from .messages import Goodbye, Hello, Message

HEARTBEAT_INTERVAL = timedelta(seconds=1)
SILENCE_TIMEOUT = timedelta(seconds=3)
DIAL_TIMEOUT = timedelta(seconds=1)
DIAL_INTERVAL = timedelta(seconds=0.5)
SEND_QUEUE_MESSAGES = 1000

Handler = Callable[[str, Any], None]


@dataclass(eq=False)
class Connection:
    """One open connection to another daemon."""

    hello: Hello
    outgoing: MemoryObjectSendStream[bytes]
    scope: anyio.CancelScope
    heard_at: timedelta
    sent_bytes: int = 0


@dataclass
class Traffic:
    """Bytes exchanged with other daemons since the start."""

    sent_bytes: int = 0
    received_bytes: int = 0
    dropped_messages: int = 0
    rejected_frames: int = 0


class PeerNetwork:
    """Connections to all other daemons and the dispatch of their messages."""

    def __init__(self, clock: Clock, hello: Hello) -> None:
        self._clock = clock
        self.hello = hello
        self.connections_by_incarnation: dict[str, Connection] = {}
        self.addresses: set[str] = set()
        self.traffic = Traffic()
        self.heartbeat: Callable[[], Message | None] = lambda: None
        self.on_connect: list[Callable[[str], None]] = []
        self.on_goodbye: list[Callable[[str], None]] = []
        self._handlers_by_type: dict[type, list[Handler]] = {}
        self.server_tls: ssl.SSLContext | None = None
        self.client_tls: ssl.SSLContext | None = None
        self._dialling: set[str] = set()
        self._tasks: TaskGroup | None = None
        self._listener: anyio.abc.Listener[Any] | None = None

    def on(self, kind: type, handler: Handler) -> None:
        """Add a handler of a message type; it must not block."""
        self._handlers_by_type.setdefault(kind, []).append(handler)

    async def start(self, tasks: TaskGroup) -> None:
        """Listen on the daemon's own address and dial the others."""
        self._tasks = tasks
        host, port = self.hello.address.rsplit(":", 1)
        self._listener = await anyio.create_tcp_listener(
            local_host=host, local_port=int(port), reuse_port=False
        )
        tasks.start_soon(self._listen, self._listener)
        tasks.start_soon(self._dial_all)
        tasks.start_soon(self._beat)

    async def close(self) -> None:
        """Say goodbye and close all connections."""
        self.broadcast(Goodbye(self.hello.incarnation))
        await anyio.sleep(0)
        if self._listener is not None:
            await self._listener.aclose()
        for connection in list(self.connections_by_incarnation.values()):
            connection.outgoing.close()

    def send(self, incarnation: str, message: Message) -> bool:
        """Queue a message; return False if it was dropped."""
        connection = self.connections_by_incarnation.get(incarnation)
        if connection is None:
            return False
        frame = encode_frame(message)
        try:
            connection.outgoing.send_nowait(frame)
        except (anyio.WouldBlock, anyio.ClosedResourceError, anyio.BrokenResourceError):
            self.traffic.dropped_messages += 1
            return False
        self.traffic.sent_bytes += len(frame)
        return True

    def broadcast(self, message: Message) -> int:
        """Queue a message for all connected daemons; return how many."""
        return sum(self.send(i, message) for i in list(self.connections_by_incarnation))

    def connected(self) -> list[str]:
        """Return the incarnations of connected daemons, sorted."""
        return sorted(self.connections_by_incarnation)

    async def _listen(self, listener: anyio.abc.Listener[Any]) -> None:
        try:
            await listener.serve(self._accept)
        except* anyio.ClosedResourceError:
            pass  # close() ends the listener.

    async def _dial_all(self) -> None:
        while True:
            linked = {c.hello.address for c in self.connections_by_incarnation.values()}
            for address in self.addresses - linked - self._dialling:
                if address != self.hello.address and self._tasks is not None:
                    self._dialling.add(address)
                    self._tasks.start_soon(self._dial, address)
            jitter = random.uniform(0.5, 1.5)
            await self._clock.sleep(DIAL_INTERVAL * jitter)

    async def _dial(self, address: str) -> None:
        host, port = address.rsplit(":", 1)
        try:
            with anyio.fail_after(DIAL_TIMEOUT.total_seconds()):
                stream = await self._connect(host, int(port))
        except (OSError, TimeoutError, anyio.BrokenResourceError, anyio.EndOfStream):
            self._dialling.discard(address)
            return
        try:
            await self._converse(stream)
        finally:
            self._dialling.discard(address)

    async def _connect(self, host: str, port: int) -> ByteStream:
        if self.client_tls is None:
            return await anyio.connect_tcp(host, port)
        return await anyio.connect_tcp(host, port, ssl_context=self.client_tls)

    async def _accept(self, stream: ByteStream) -> None:
        if self.server_tls is not None:
            try:
                with anyio.fail_after(DIAL_TIMEOUT.total_seconds()):
                    stream = await TLSStream.wrap(
                        stream, server_side=True, ssl_context=self.server_tls
                    )
            except (
                OSError,
                TimeoutError,
                anyio.BrokenResourceError,
                anyio.EndOfStream,
            ):
                # A stranger without a certificate must not end the listener.
                self.traffic.rejected_frames += 1
                return
        await self._converse(stream)

    async def _converse(self, stream: ByteStream) -> None:
        """Exchange messages until the connection ends or is silent."""
        connection: Connection | None = None
        try:
            async with stream, anyio.create_task_group() as tasks:
                stream.extra(SocketAttribute.raw_socket)  # fails if already closed
                await stream.send(encode_frame(self.hello))
                reader = BufferedByteReceiveStream(stream)
                with anyio.fail_after(SILENCE_TIMEOUT.total_seconds()):
                    first = await self._receive(reader)
                if not isinstance(first, Hello):
                    raise FrameError("the first message must be Hello")
                send, receive = anyio.create_memory_object_stream[bytes](
                    SEND_QUEUE_MESSAGES
                )
                connection = Connection(
                    first, send, tasks.cancel_scope, self._clock.monotonic()
                )
                self._register(connection)
                tasks.start_soon(self._send_queued, stream, receive, connection)
                await self._dispatch(reader, connection)
                tasks.cancel_scope.cancel()
        except* FrameError:
            self.traffic.rejected_frames += 1
        except* (
            OSError,
            anyio.EndOfStream,
            anyio.IncompleteRead,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
        ):
            pass  # An ended connection is dialled again by _dial_all.
        finally:
            if connection is not None:
                self._unregister(connection)

    async def _send_queued(
        self,
        stream: ByteStream,
        receive: MemoryObjectReceiveStream[bytes],
        connection: Connection,
    ) -> None:
        async for frame in receive:
            with anyio.fail_after(SILENCE_TIMEOUT.total_seconds()):
                await stream.send(frame)
        connection.scope.cancel()

    async def _dispatch(
        self, reader: BufferedByteReceiveStream, connection: Connection
    ) -> None:
        while True:
            with anyio.fail_after(SILENCE_TIMEOUT.total_seconds()):
                message = await self._receive(reader)
            connection.heard_at = self._clock.monotonic()
            if isinstance(message, Goodbye):
                for callback in self.on_goodbye:
                    callback(message.incarnation)
                return
            for handler in self._handlers_by_type.get(type(message), ()):
                handler(connection.hello.incarnation, message)

    async def _receive(self, reader: BufferedByteReceiveStream) -> Message:
        length = decode_length(await reader.receive_exactly(LENGTH.size))
        payload = await reader.receive_exactly(length)
        self.traffic.received_bytes += LENGTH.size + length
        return decode_payload(payload)[1]

    def _register(self, connection: Connection) -> None:
        incarnation = connection.hello.incarnation
        self.addresses.add(connection.hello.address)
        # The newest connection is used; an older one may have lost its way.
        self.connections_by_incarnation[incarnation] = connection
        for callback in self.on_connect:
            callback(incarnation)

    def _unregister(self, connection: Connection) -> None:
        incarnation = connection.hello.incarnation
        if self.connections_by_incarnation.get(incarnation) is connection:
            del self.connections_by_incarnation[incarnation]

    async def _beat(self) -> None:
        while True:
            message = self.heartbeat()
            if message is not None:
                self.broadcast(message)
            await self._clock.sleep(HEARTBEAT_INTERVAL)
