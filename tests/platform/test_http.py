"""Calls on persistent connections to a peer that leaves some unanswered."""

from __future__ import annotations

from contextlib import asynccontextmanager
from datetime import timedelta

import anyio
import pytest
from starlette.applications import Starlette
from starlette.responses import Response
from starlette.routing import Route

from pomeloyard.errors import CallNotSentError, CallQueuedError, CallUnansweredError
from pomeloyard.platform import http
from pomeloyard.platform.http import HttpClient
from pomeloyard.serving import serving

pytestmark = pytest.mark.anyio
SHORT = timedelta(milliseconds=100)
SECOND = timedelta(seconds=1)


@pytest.fixture
def anyio_backend():
    return "asyncio"


async def hang(request):
    PEER.state.hanging += 1
    await anyio.sleep(60)


async def answer(request):
    return Response(b"here")


PEER = Starlette(routes=[Route("/hang", hang), Route("/answer", answer)])


@asynccontextmanager
async def calling(connections):
    PEER.state.hanging = 0
    client = HttpClient(connections)
    async with serving(PEER) as address:
        yield client, address
        await client.close()


async def call_many(client, address, target, count, timeout, queue_timeout=None):
    """Make concurrent calls; return their error types, None for a success."""
    outcomes = []

    async def one():
        try:
            await client.request(
                "GET", address, target, timeout, queue_timeout=queue_timeout
            )
        except (CallNotSentError, CallUnansweredError) as error:
            outcomes.append(type(error))
        else:
            outcomes.append(None)

    async with anyio.create_task_group() as tasks:
        for _ in range(count):
            tasks.start_soon(one)
    return outcomes


@pytest.mark.parametrize("round_size", [3, 4, 5, 17])
async def test_calls_succeed_after_many_concurrent_calls_timed_out(round_size):
    # A peer did not answer 30% of its orders, at peaks of 20 calls. Calls queued for a
    # connection timed out together and left no connection for any later call.
    async with calling(4) as (client, address):
        for _ in range(4):
            outcomes = await call_many(client, address, "/hang", round_size, SHORT)
            assert None not in outcomes
            assert await call_many(client, address, "/answer", 8, SECOND) == [None] * 8


async def test_a_call_that_times_out_in_the_queue_counts_as_not_sent(monkeypatch):
    monkeypatch.setattr(http, "OVERDUE_AFTER_S", 60.0)
    async with calling(2) as (client, address), anyio.create_task_group() as tasks:
        for _ in range(2):
            tasks.start_soon(call_many, client, address, "/hang", 1, SECOND * 60)
        with anyio.fail_after(10):
            while PEER.state.hanging < 2:
                await anyio.sleep(0.01)
        outcomes = await call_many(client, address, "/answer", 4, SHORT)
        assert outcomes == [CallNotSentError] * 4
        tasks.cancel_scope.cancel()


async def test_the_limit_of_a_call_begins_when_it_has_waited_for_others(monkeypatch):
    # review/1: starts that waited in this process timed out, and the executors that had
    # never received them counted as unreachable.
    monkeypatch.setattr(http, "OVERDUE_AFTER_S", 60.0)
    async with calling(1) as (client, address), anyio.create_task_group() as tasks:
        tasks.start_soon(call_many, client, address, "/hang", 1, SHORT * 4)
        with anyio.fail_after(10):
            while PEER.state.hanging < 1:
                await anyio.sleep(0.01)
        outcomes = await call_many(client, address, "/answer", 2, SHORT * 3, SECOND * 9)
        assert outcomes == [None] * 2
        tasks.start_soon(call_many, client, address, "/hang", 1, SECOND * 60)
        with anyio.fail_after(10):
            while PEER.state.hanging < 2:
                await anyio.sleep(0.01)
        outcomes = await call_many(client, address, "/answer", 2, SECOND, SHORT)
        assert outcomes == [CallQueuedError] * 2
        tasks.cancel_scope.cancel()


async def test_overdue_calls_do_not_block_others(monkeypatch):
    monkeypatch.setattr(http, "OVERDUE_AFTER_S", 0.01)
    async with calling(2) as (client, address), anyio.create_task_group() as tasks:
        for _ in range(8):
            tasks.start_soon(call_many, client, address, "/hang", 1, SECOND * 60)
        assert await call_many(client, address, "/answer", 4, SECOND * 10) == [None] * 4
        tasks.cancel_scope.cancel()


async def test_calls_succeed_after_others_to_the_peer_were_cancelled():
    async with calling(3) as (client, address):
        for number in range(30):
            with anyio.move_on_after(0.001 * (number % 10)):
                await call_many(client, address, "/answer", 6, SECOND)
        assert await call_many(client, address, "/answer", 6, SECOND) == [None] * 6


async def test_nothing_is_sent_if_permission_ended_while_the_call_waited():
    # A process paused between a check of its role and the send may resume after it
    # has lost the role; see role-guard.md.
    permitted = True

    async def slow_answer(request):
        nonlocal permitted
        permitted = False
        await anyio.sleep(0)
        return Response(b"here")

    calls = 0

    async def count(request):
        nonlocal calls
        calls += 1
        return Response(b"here")

    peer = Starlette(routes=[Route("/slow", slow_answer), Route("/count", count)])
    async with serving(peer) as address:
        client = HttpClient(1)

        async def call():
            with pytest.raises(CallNotSentError):
                await client.request(
                    "GET", address, "/count", SECOND, permitted=lambda: permitted
                )

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(client.request, "GET", address, "/slow", SECOND)
            await anyio.lowlevel.checkpoint()
            tasks.start_soon(call)
        assert calls == 0
        await client.close()
