"""The end of the daemon on the platform."""

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


async def test_the_end_waits_for_a_call_whose_caller_has_left():
    # Soak seed 13: the call was cancelled in its work and logged as a failure.
    began, go_on, done = anyio.Event(), anyio.Event(), anyio.Event()

    async def app(scope, receive, send):
        began.set()
        await go_on.wait()
        done.set()

    listener = tcp_listener("127.0.0.1:0")
    server = EmbeddedServer(server_config(app))
    # Soak seed 217: the end waited for callers, not for calls that it relayed.
    idle = EmbeddedServer(server_config(app))
    waited = False

    async def wait():
        nonlocal waited
        await wait_idle((idle, server), timedelta(seconds=10))
        waited = True

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.serve, [listener])
        async with await anyio.connect_tcp(*listener.getsockname()) as caller:
            await caller.send(b"GET /a HTTP/1.1\r\nHost: a\r\n\r\n")
            await began.wait()
        while server.server_state.connections:
            await anyio.lowlevel.checkpoint()
        tasks.start_soon(wait)
        for _ in range(20):
            await anyio.lowlevel.checkpoint()
        assert not waited
        go_on.set()
        with anyio.fail_after(10):
            while not waited:
                await anyio.lowlevel.checkpoint()
        assert done.is_set()
        server.should_exit = True
