"""Calls to peers that send valid, unusual or invalid HTTP responses."""

from __future__ import annotations

import socket
from contextlib import asynccontextmanager
from datetime import timedelta

import anyio
import pytest

from pomeloyard.errors import CallNotSentError, CallUnansweredError
from pomeloyard.platform import connection
from pomeloyard.platform.http import HttpClient

pytestmark = pytest.mark.anyio
SECOND = timedelta(seconds=1)
COMPLETE = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nhere"


@pytest.fixture
def anyio_backend():
    return "asyncio"


class Peer:
    """Responds to each request with the next of the given byte strings.

    None closes the connection.
    """

    def __init__(self, *responses):
        self.responses = list(responses)
        self.connections = 0
        self.closed = anyio.Event()
        """Set once the peer has closed its first connection."""

    async def serve(self, stream):
        self.connections += 1
        await self.respond_all(stream)
        stream.extra(anyio.abc.SocketAttribute.raw_socket).shutdown(socket.SHUT_RDWR)
        await stream.aclose()
        self.closed.set()

    async def respond_all(self, stream):
        while self.responses:
            try:
                await stream.receive()
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                return
            response = self.responses.pop(0)
            if response is None:
                return
            for part in response if isinstance(response, list) else [response]:
                await stream.send(part)
                await anyio.sleep(0)

    @asynccontextmanager
    async def calling(self):
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        client = HttpClient(2)
        async with listener, anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, self.serve)

            async def call(body=b"x", timeout=SECOND):
                address = f"127.0.0.1:{port}"
                return await client.request("POST", address, "/a", timeout, body)

            yield call
            await client.close()
            tasks.cancel_scope.cancel()


@pytest.mark.parametrize(
    "response",
    [
        COMPLETE,
        [COMPLETE[:9], COMPLETE[9:30], COMPLETE[30:-2], COMPLETE[-2:]],
        b"HTTP/1.1 102 Processing\r\n\r\n" + COMPLETE,
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhere\r\n0\r\n\r\n",
    ],
)
async def test_complete_responses(response):
    peer = Peer(response, response)
    async with peer.calling() as call:
        for _ in range(2):
            result = await call()
            assert (result.status, result.body) == (200, b"here")
    assert peer.connections == 1


@pytest.mark.parametrize(
    "response",
    [
        None,
        [b"HTTP/1.1 200 OK\r\nContent-Le", None],
        b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nhe",
        b"what is this\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n" + b"y" * 2000,
    ],
)
async def test_an_incomplete_or_invalid_response_is_an_error(response, monkeypatch):
    monkeypatch.setattr(connection, "MAX_RESPONSE_BYTES", 1000)
    parts = [p for p in response if p] if isinstance(response, list) else response
    async with Peer(parts).calling() as call:
        with pytest.raises(CallUnansweredError):
            await call()


async def test_a_connection_closed_by_the_peer_is_not_reused():
    peer = Peer(COMPLETE, None, COMPLETE)
    peer.responses = [
        COMPLETE.replace(b"OK\r\n", b"OK\r\nConnection: close\r\n"),
        COMPLETE,
    ]
    async with peer.calling() as call:
        await call()
        await call()
    assert peer.connections == 2


async def test_a_connection_closed_while_idle_is_not_reused():
    peer = Peer(COMPLETE)
    async with peer.calling() as call:
        await call()
        with anyio.fail_after(5):
            await peer.closed.wait()
        peer.responses = [COMPLETE]
        await call()
    assert peer.connections == 2


async def test_a_late_response_is_not_taken_for_that_of_the_next_call():
    peer = Peer(b"", COMPLETE)
    async with peer.calling() as call:
        with pytest.raises(CallUnansweredError):
            await call(timeout=SECOND * 0.05)
        assert (await call()).body == b"here"
    assert peer.connections == 2


@pytest.mark.parametrize(
    ("address", "header"),
    [
        ("", "a"),
        ("nowhere", "a"),
        ("127.0.0.1:x", "a"),
        ("127.0.0.1:99999", "a"),
        ("127.0.0.1:1", "a\r\nX-More: b"),
        ("127.0.0.1:1", "\u2603"),
    ],
)
async def test_an_invalid_address_or_header_counts_as_not_sent(address, header):
    # Addresses and ids come from registrations that other programs write. Any other
    # error would end the term of the placing role.
    client = HttpClient()
    with pytest.raises(CallNotSentError):
        await client.request("GET", address, "/a", SECOND, b"", {"X-Id": header})
    await client.close()
