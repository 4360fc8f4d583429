"""TCP proxy that injects faults into the links between processes."""

from __future__ import annotations

import argparse
import contextlib
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, replace
from typing import Any

import anyio
import msgspec
import uvicorn
from anyio.abc import SocketStream, TaskGroup
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from ..serving import server_config

CHUNK_BYTES = 65_536
CONNECT_TIMEOUT_SECONDS = 2.0

_STREAM_ERRORS = (
    OSError,
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)


@dataclass(frozen=True, slots=True)
class Faults:
    """Faults of a link; they apply to open and new connections.

    ``refuse`` stops listening, so that new connections are refused. ``hang``
    discards all bytes of connections opened from now on. ``delay_seconds``
    delays each chunk in both directions. ``drop_answers`` closes that many
    connections instead of forwarding their next response, after the request was
    forwarded. ``truncate_after`` closes a connection after that many bytes of
    responses. ``duplicate_chunks`` sends that many response chunks twice.
    """

    refuse: bool = False
    hang: bool = False
    delay_seconds: float = 0.0
    drop_answers: int = 0
    truncate_after: int | None = None
    duplicate_chunks: int = 0


@dataclass(eq=False)
class _Connection:
    """One forwarded connection."""

    scope: anyio.CancelScope
    silent: bool = False
    response_bytes: int = 0


class FaultProxy:
    """Forwards connections from ``address`` to ``target``, both "host:port"."""

    def __init__(self, target: str) -> None:
        self.target = target
        self.faults = Faults()
        self.accepted = 0
        self._connections: set[_Connection] = set()
        # A bound socket that never listens reserves the port while connections
        # are refused.
        self._reservation = socket.socket()
        self._reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._reservation.bind(("127.0.0.1", 0))
        self.address = "{}:{}".format(*self._reservation.getsockname())
        self._listening: anyio.CancelScope | None = None
        self._closed = anyio.Event()
        self._tasks: TaskGroup | None = None

    async def start(self, tasks: TaskGroup) -> None:
        """Listen and forward until closed."""
        self._tasks = tasks
        await tasks.start(self._listen)

    async def close(self) -> None:
        """Stop listening and abort all connections."""
        await self._stop_listening()
        self.cut()
        self._reservation.close()

    async def set_faults(self, faults: Faults) -> None:
        """Replace the faults of this link."""
        self.faults = faults
        if faults.refuse:
            await self._stop_listening()
        elif self._listening is None and self._tasks is not None:
            await self._tasks.start(self._listen)

    def cut(self) -> None:
        """Abort all open connections."""
        for connection in list(self._connections):
            connection.scope.cancel()

    def silence(self) -> None:
        """Discard all further bytes of the open connections, without closing them."""
        for connection in self._connections:
            connection.silent = True

    async def _stop_listening(self) -> None:
        if self._listening is not None:
            self._listening.cancel()
            self._listening = None
            await self._closed.wait()

    async def _listen(
        self, *, task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        host, port = self.address.rsplit(":", 1)
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=int(port)
        )
        with anyio.CancelScope() as scope:
            self._listening = scope
            self._closed = anyio.Event()
            async with listener:
                task_status.started()
                await listener.serve(self._forward_connection, self._tasks)
        self._closed.set()

    async def _forward_connection(self, client: SocketStream) -> None:
        self.accepted += 1
        with anyio.CancelScope() as scope:
            connection = _Connection(scope, silent=self.faults.hang)
            self._connections.add(connection)
            try:
                with anyio.fail_after(CONNECT_TIMEOUT_SECONDS):
                    host, port = self.target.rsplit(":", 1)
                    server = await anyio.connect_tcp(host, int(port))
                try:
                    await self._forward_both_ways(connection, client, server)
                finally:
                    await anyio.aclose_forcefully(server)
            except _STREAM_ERRORS:
                pass
            finally:
                self._connections.discard(connection)
                await anyio.aclose_forcefully(client)

    async def _forward_both_ways(
        self, connection: _Connection, client: SocketStream, server: SocketStream
    ) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._forward_stream, connection, client, server, False)
            tasks.start_soon(self._forward_stream, connection, server, client, True)

    async def _forward_stream(
        self,
        connection: _Connection,
        source: SocketStream,
        sink: SocketStream,
        is_response: bool,
    ) -> None:
        with contextlib.suppress(*_STREAM_ERRORS):
            while True:
                chunk = await source.receive(CHUNK_BYTES)
                if self.faults.delay_seconds:
                    await anyio.sleep(self.faults.delay_seconds)
                if connection.silent:
                    continue
                if is_response:
                    await self._send_response(connection, sink, chunk)
                else:
                    await sink.send(chunk)
        if connection.silent:
            await anyio.sleep_forever()  # The end of the stream is discarded too.
        with contextlib.suppress(*_STREAM_ERRORS):
            await sink.send_eof()

    async def _send_response(
        self, connection: _Connection, sink: SocketStream, chunk: bytes
    ) -> None:
        faults = self.faults
        if faults.drop_answers:
            self.faults = replace(faults, drop_answers=faults.drop_answers - 1)
            connection.scope.cancel()
            return
        if faults.truncate_after is not None:
            remaining = max(0, faults.truncate_after - connection.response_bytes)
            if len(chunk) > remaining:
                await sink.send(chunk[:remaining])
                await sink.send_eof()
                connection.scope.cancel()
                return
        connection.response_bytes += len(chunk)
        await sink.send(chunk)
        if faults.duplicate_chunks:
            self.faults = replace(faults, duplicate_chunks=faults.duplicate_chunks - 1)
            await sink.send(chunk)


@asynccontextmanager
async def proxying(target: str) -> AsyncIterator[FaultProxy]:
    """Run a proxy to ``target`` in the current event loop."""
    async with anyio.create_task_group() as tasks:
        proxy = FaultProxy(target)
        await proxy.start(tasks)
        try:
            yield proxy
        finally:
            await proxy.close()
            tasks.cancel_scope.cancel()


def control_app(proxies_by_name: dict[str, FaultProxy], tasks: TaskGroup) -> Starlette:
    """Return the control routes of a process that runs several proxies.

    ``PUT /links/{name}`` with ``{"target": "host:port"}`` adds a proxy,
    ``POST /links/{name}/faults`` replaces its faults, ``POST /links/{name}/cut``
    and ``POST /links/{name}/silence`` act on its open connections.
    """

    async def add(request: Request) -> Response:
        proxy = FaultProxy((await request.json())["target"])
        await proxy.start(tasks)
        proxies_by_name[request.path_params["name"]] = proxy
        return JSONResponse({"address": proxy.address})

    async def act(request: Request) -> Response:
        proxy = proxies_by_name.get(request.path_params["name"])
        if proxy is None:
            return JSONResponse({"message": "no such link"}, 404)
        action = request.path_params["action"]
        if action == "faults":
            body: Any = msgspec.json.decode(await request.body())
            await proxy.set_faults(msgspec.convert(body, Faults))
        elif action == "cut":
            proxy.cut()
        elif action == "silence":
            proxy.silence()
        else:
            return JSONResponse({"message": f"no action {action}"}, 404)
        return JSONResponse({"accepted": proxy.accepted})

    return Starlette(
        routes=[
            Route("/healthz", lambda request: Response("ok")),
            Route("/links/{name}", add, methods=["PUT"]),
            Route("/links/{name}/{action}", act, methods=["POST"]),
        ]
    )


def main() -> None:
    """Run proxies that are added and controlled over HTTP."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True, help="port of the control")
    arguments = parser.parse_args()

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            app = control_app({}, tasks)
            config = server_config(app, host=arguments.host, port=arguments.port)
            await uvicorn.Server(config).serve()
            tasks.cancel_scope.cancel()

    anyio.run(run)


if __name__ == "__main__":
    main()
