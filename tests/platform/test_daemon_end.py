"""Graceful shutdown of the daemon on the platform."""

from __future__ import annotations

import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from datetime import timedelta

import anyio
import pytest

from pomeloyard.platform.daemon import stop_serving, wait_idle
from pomeloyard.serving import EmbeddedServer, server_config, tcp_listener

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


async def test_shutdown_waits_for_a_call_whose_caller_has_disconnected():
    # Soak seed 13: shutdown cancelled a call in progress whose caller had
    # disconnected, and it was logged as a failure.
    started, proceed, done = anyio.Event(), anyio.Event(), anyio.Event()

    async def app(scope, receive, send):
        started.set()
        await proceed.wait()
        done.set()

    listener = tcp_listener("127.0.0.1:0")
    server = EmbeddedServer(server_config(app))
    # Soak seed 217: shutdown waited for the callers' server, but not for the relay.
    idle = EmbeddedServer(server_config(app))
    wait_returned = False

    async def wait():
        nonlocal wait_returned
        await wait_idle((idle, server), timedelta(seconds=10))
        wait_returned = True

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.serve, [listener])
        async with await anyio.connect_tcp(*listener.getsockname()) as caller:
            await caller.send(b"GET /a HTTP/1.1\r\nHost: a\r\n\r\n")
            await started.wait()
        while server.server_state.connections:
            await anyio.lowlevel.checkpoint()
        tasks.start_soon(wait)
        for _ in range(20):
            await anyio.lowlevel.checkpoint()
        assert not wait_returned
        proceed.set()
        with anyio.fail_after(10):
            while not wait_returned:
                await anyio.lowlevel.checkpoint()
        assert done.is_set()
        server.should_exit = True


@pytest.mark.parametrize("delay_s", [0.0, 0.01, 0.03])
def test_a_call_that_arrives_before_the_listeners_close_is_answered(delay_s):
    # Soak seeds 717 and 4001: shutdown found no connection open while the listeners
    # still were, and cancelled the call that came next.
    async def app(scope, receive, send):
        await anyio.sleep(0.3)
        start = {"type": "http.response.start", "status": 200, "headers": []}
        await send({**start, "headers": [(b"content-length", b"0")]})
        await send({"type": "http.response.body", "body": b""})

    listener = tcp_listener("127.0.0.1:0")
    address = listener.getsockname()
    stopping = threading.Event()

    async def daemon():
        server = EmbeddedServer(server_config(app, timeout_graceful_shutdown=3))
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(server.serve, [listener])
            while not server.started:
                await anyio.sleep(0.005)
            stopping.set()
            await stop_serving((server,), timedelta(seconds=3))
            tasks.cancel_scope.cancel()

    def call():
        stopping.wait(10)
        time.sleep(delay_s)
        try:
            caller = socket.create_connection(address, 5)
        except ConnectionRefusedError:
            # It came after the listener was closed.
            return b"refused"
        with caller:
            caller.sendall(b"GET /a HTTP/1.1\r\nHost: a\r\n\r\n")
            return caller.recv(1000)

    # The end of the daemon's event loop cancels the calls that are left.
    with ThreadPoolExecutor() as threads:
        answer = threads.submit(call)
        threads.submit(anyio.run, daemon).result(20)
        assert answer.result(20).startswith((b"HTTP/1.1 200", b"refused"))
