"""Calls against peers that answer in ways that HTTP allows, or does not."""

from __future__ import annotations

import socket
from contextlib import asynccontextmanager
from datetime import timedelta

import anyio
import pytest

from pomeloyard.errors import CallNotSentError, CallUnansweredError
from pomeloyard.platform import connection
from pomeloyard.platform.http import HttpCaller

pytestmark = pytest.mark.anyio
SECOND = timedelta(seconds=1)
WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nhere"


@pytest.fixture
def anyio_backend():
    return "asyncio"


class Peer:
    """Answers each request on a connection with the next of some byte strings.

    None closes the connection.
    """

    def __init__(self, *answers):
        self.answers = list(answers)
        self.connections = 0
        self.ended = anyio.Event()
        """Set once the first connection was closed by the peer."""

    async def serve(self, stream):
        self.connections += 1
        await self.answer_all(stream)
        stream.extra(anyio.abc.SocketAttribute.raw_socket).shutdown(socket.SHUT_RDWR)
        await stream.aclose()
        self.ended.set()

    async def answer_all(self, stream):
        while self.answers:
            try:
                await stream.receive()
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                return
            answer = self.answers.pop(0)
            if answer is None:
                return
            for part in answer if isinstance(answer, list) else [answer]:
                await stream.send(part)
                await anyio.sleep(0)

    @asynccontextmanager
    async def calling(self):
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        caller = HttpCaller(2)
        async with listener, anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, self.serve)

            async def call(body=b"x", timeout=SECOND):
                address = f"127.0.0.1:{port}"
                return await caller.call("POST", address, "/a", timeout, body)

            yield call
            await caller.close()
            tasks.cancel_scope.cancel()


@pytest.mark.parametrize(
    "answer",
    [
        WHOLE,
        [WHOLE[:9], WHOLE[9:30], WHOLE[30:-2], WHOLE[-2:]],
        b"HTTP/1.1 102 Processing\r\n\r\n" + WHOLE,
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhere\r\n0\r\n\r\n",
    ],
)
async def test_whole_answers(answer):
    peer = Peer(answer, answer)
    async with peer.calling() as call:
        for _ in range(2):
            result = await call()
            assert (result.status, result.body) == (200, b"here")
    assert peer.connections == 1


@pytest.mark.parametrize(
    "answer",
    [
        None,
        [b"HTTP/1.1 200 OK\r\nContent-Le", None],
        b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nhe",
        b"what is this\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n" + b"y" * 2000,
    ],
)
async def test_an_answer_that_is_not_whole_is_never_passed_on(answer, monkeypatch):
    monkeypatch.setattr(connection, "MAX_RESPONSE_BYTES", 1000)
    parts = [p for p in answer if p] if isinstance(answer, list) else answer
    async with Peer(parts).calling() as call:
        with pytest.raises(CallUnansweredError):
            await call()


async def test_a_connection_that_the_peer_closed_is_not_used_again():
    peer = Peer(WHOLE, None, WHOLE)
    peer.answers = [WHOLE.replace(b"OK\r\n", b"OK\r\nConnection: close\r\n"), WHOLE]
    async with peer.calling() as call:
        await call()
        await call()
    assert peer.connections == 2


async def test_a_connection_that_ended_while_idle_is_not_used_again():
    peer = Peer(WHOLE)
    async with peer.calling() as call:
        await call()
        with anyio.fail_after(5):
            await peer.ended.wait()
        peer.answers = [WHOLE]
        await call()
    assert peer.connections == 2


async def test_an_answer_that_came_too_late_is_not_taken_for_the_next():
    peer = Peer(b"", WHOLE)
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
async def test_what_cannot_be_sent_is_certainly_not_sent(address, header):
    # Registrations come from other writers; one that made a call fail in another way
    # would end the term of the placing role.
    caller = HttpCaller()
    with pytest.raises(CallNotSentError):
        await caller.call("GET", address, "/a", SECOND, b"", {"X-Id": header})
    await caller.close()
