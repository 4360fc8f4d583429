"""Serve ASGI applications within the current event loop."""

from __future__ import annotations

import contextlib
import socket
import ssl
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager

import anyio
import uvicorn
from starlette.types import ASGIApp

BACKLOG = 512
"""Connections waiting to be accepted; when full, callers retry after seconds."""


def tcp_listener(address: str) -> socket.socket:
    """Return a socket listening at "host:port"; port 0 means any free port."""
    host, _, port = address.rpartition(":")
    # asyncio sets TCP_NODELAY only on sockets created with IPPROTO_TCP. With Nagle's
    # algorithm, a response waits up to 40 ms for a delayed acknowledgement.
    listener = socket.socket(proto=socket.IPPROTO_TCP)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, int(port)))
    listener.listen(BACKLOG)
    return listener


class EmbeddedServer(uvicorn.Server):
    """Uvicorn server that leaves signal handling to the process."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no signal handlers."""
        yield


def server_config(
    app: ASGIApp, tls: ssl.SSLContext | None = None, **options: object
) -> uvicorn.Config:
    """Return a uvicorn configuration without logging, lifespan and WebSockets."""
    if tls is not None:
        options["ssl_context_factory"] = lambda config, default: tls
    return uvicorn.Config(
        app,
        log_config=None,
        access_log=False,
        lifespan="off",
        http="h11",
        ws="none",
        loop="asyncio",
        **options,  # type: ignore[arg-type]
    )


@asynccontextmanager
async def serving(
    app: ASGIApp,
    host: str = "127.0.0.1",
    port: int = 0,
    tls: ssl.SSLContext | None = None,
) -> AsyncIterator[str]:
    """Serve ``app`` and yield its "host:port"."""
    listener = tcp_listener(f"{host}:{port}")
    address = "{}:{}".format(*listener.getsockname())
    server = EmbeddedServer(server_config(app, tls, timeout_graceful_shutdown=1))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.serve, [listener])
        while not server.started:
            await anyio.sleep(0.005)
        try:
            yield address
        finally:
            server.should_exit = True
