"""Graceful shutdown of the daemon on the platform."""

from __future__ import annotations

from datetime import timedelta

import anyio
import pytest

from pomeloyard.platform.daemon import wait_idle
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
