"""The client for the platform's store against a stand-in over HTTP."""

from __future__ import annotations

import base64
from contextlib import asynccontextmanager
from datetime import timedelta

import anyio
import msgspec
import pytest

from pomeloyard.batch.job_reload import scan_with_retries
from pomeloyard.clock import SystemClock
from pomeloyard.errors import (
    CompactedError,
    LeaseLostError,
    StoreOutcomeUnknownError,
    StoreRequestError,
    StoreUnavailableError,
)
from pomeloyard.keyvalue.adaptive_timeout import AdaptiveTimeout
from pomeloyard.keyvalue.memory import MemoryStore
from pomeloyard.keyvalue.store import Compare, Delete, Put, Transaction, scan_all
from pomeloyard.platform.http import HttpClient
from pomeloyard.platform.store_client import (
    MAX_CALL_TIMEOUT,
    MAX_TRANSACTION_ENTRIES,
    MIN_CALL_TIMEOUT,
    PlatformStore,
)
from pomeloyard.serving import serving
from tests.support.platform_standin import FakePeer, store_app

pytestmark = pytest.mark.anyio
SHORT = timedelta(milliseconds=50)


@pytest.fixture
def anyio_backend():
    return "asyncio"


@asynccontextmanager
async def client_of(app):
    client = HttpClient()
    async with serving(app) as address:
        yield PlatformStore(client, address)
        await client.close()


async def put(store, key, value=b"1", *compares, lease=0):
    return await store.commit(Transaction(compares, (Put(key, value, lease),)))


async def test_items_pages_conditions_and_deletions():
    memory = MemoryStore(SystemClock())
    async with client_of(store_app(memory)) as store:
        assert await store.get("a/1") is None
        first = await put(store, "a/1", b"\x00\xff")
        entry = await store.get("a/1")
        assert (entry.value, entry.mod_revision) == (b"\x00\xff", first.revision)
        assert not (await put(store, "a/1", b"x", Compare("a/1", 0))).succeeded
        assert (await put(store, "a/1", b"y", Compare("a/1", first.revision))).succeeded
        for number in range(2, 9):
            await put(store, f"a/{number}")
        page = await scan_all(store, "a/")
        assert [e.key for e in page.entries] == [f"a/{n}" for n in range(1, 9)]
        await store.commit(Transaction((), (Delete("a/1"),)))
        assert await store.get("a/1") is None


async def test_changes_are_polled_from_a_revision_on():
    memory = MemoryStore(SystemClock())
    async with client_of(store_app(memory)) as store:
        start = (await put(store, "b/1")).revision
        assert (await store.poll_changes("b/", start, SHORT)).events == ()
        await put(store, "b/2", b"v")
        await store.commit(Transaction((), (Delete("b/1"),)))
        batch = await store.poll_changes("b/", start, SHORT)
        assert [event.key for event in batch.events] == ["b/2", "b/1"]
        assert batch.events[1].entry is None
        memory.compact()
        with pytest.raises(CompactedError):
            await store.poll_changes("b/", start, SHORT)


async def test_leases_end_with_their_keys():
    memory = MemoryStore(SystemClock())
    async with client_of(store_app(memory)) as store:
        lease = await store.grant_lease(timedelta(seconds=5))
        await put(store, "c", lease=lease)
        assert await store.keep_lease_alive(lease) > timedelta(0)
        await store.revoke_lease(lease)
        assert await store.get("c") is None
        with pytest.raises(LeaseLostError):
            await store.keep_lease_alive(lease)
        with pytest.raises(LeaseLostError):
            await put(store, "c", lease=lease)


@pytest.mark.parametrize(
    ("status", "body", "error"),
    [
        (503, None, StoreUnavailableError),
        (429, None, StoreUnavailableError),
        (403, None, StoreRequestError),
        (400, None, StoreRequestError),
        (500, None, StoreOutcomeUnknownError),
        (200, b"{nonsense", StoreOutcomeUnknownError),
    ],
)
async def test_errors_of_writes_that_the_store_rejects(status, body, error):
    peer = FakePeer()
    peer.script("/kv-txn", status, body)
    async with client_of(peer) as store:
        with pytest.raises(error):
            await put(store, "a")


async def test_a_write_to_a_closed_port_has_no_effect():
    store = PlatformStore(HttpClient(), "127.0.0.1:9")
    with pytest.raises(StoreUnavailableError):
        await put(store, "a")


async def test_an_oversized_transaction_is_not_sent():
    store = PlatformStore(HttpClient(), "127.0.0.1:9")
    operations = tuple(Put(str(n), b"") for n in range(MAX_TRANSACTION_ENTRIES + 1))
    with pytest.raises(StoreRequestError):
        await store.commit(Transaction((), operations))


def test_the_time_out_is_short_unless_the_store_is_slow():
    # Lilim, with 30% of the store's responses lost for a day: each loss stopped task
    # starts for 1.2 s.
    timeouts = AdaptiveTimeout(MIN_CALL_TIMEOUT, MAX_CALL_TIMEOUT)
    second = timedelta(seconds=1)
    timeouts.record_response(second, 0.005 * second)
    assert timeouts.timeout(second) == MIN_CALL_TIMEOUT
    timeouts.record_response(1.1 * second, 0.33 * second)
    timeouts.record_response(1.2 * second, 0.3 * second)
    assert timeouts.timeout(2 * second) == 0.99 * second
    assert timeouts.timeout(6.15 * second) == 0.9 * second
    assert timeouts.timeout(7 * second) == MIN_CALL_TIMEOUT


def test_the_time_out_doubles_with_each_lost_response():
    timeouts = AdaptiveTimeout(MIN_CALL_TIMEOUT, MAX_CALL_TIMEOUT)
    now = timedelta(0)
    limits = []
    for _ in range(4):
        limits.append(timeouts.timeout(now))
        timeouts.record_loss()
    assert limits == [
        MIN_CALL_TIMEOUT,
        2 * MIN_CALL_TIMEOUT,
        MAX_CALL_TIMEOUT,
        MAX_CALL_TIMEOUT,
    ]
    timeouts.record_response(now, timedelta(seconds=0.005))
    assert timeouts.timeout(now) == MIN_CALL_TIMEOUT


async def test_an_unanswered_write_times_out_before_a_role_would_be_lost():
    async def hang(scope, receive, send):
        await anyio.sleep(60)

    async with serving(hang) as address:
        client = HttpClient()
        store = PlatformStore(client, address)
        began_at = anyio.current_time()
        with pytest.raises(StoreOutcomeUnknownError):
            await store.keep_lease_alive(1)
        assert anyio.current_time() - began_at < MAX_CALL_TIMEOUT.total_seconds()
        await client.close()


class SlowLink:
    """A store behind a slow link: pages arrive in parts, or whole after a delay."""

    PAGE_PARTS = 10

    def __init__(self, page_time, *, in_parts):
        self.page_time = page_time
        self.in_parts = in_parts
        self.pages_asked = 0

    async def __call__(self, scope, receive, send):
        if scope["path"] != "/kv-range":
            body = b'{"ttl_ms": 1500}'
            await self._send_head(send, len(body))
            await send({"type": "http.response.body", "body": body})
            return
        self.pages_asked += 1
        rows = [
            {"key": f"a/{n}", "rev": 1, "value": base64.b64encode(b"x" * 900).decode()}
            for n in range(500)
        ]
        body = msgspec.json.encode({"items": rows, "current_rev": 7})
        parts = self.PAGE_PARTS if self.in_parts else 1
        size = -(-len(body) // parts)
        if not self.in_parts:
            await anyio.sleep(self.page_time)
        await self._send_head(send, len(body))
        for number in range(parts):
            if self.in_parts:
                await anyio.sleep(self.page_time / parts)
            part = body[number * size : (number + 1) * size]
            more = number < parts - 1
            await send({"type": "http.response.body", "body": part, "more_body": more})

    async def _send_head(self, send, length):
        headers = [(b"content-length", str(length).encode())]
        await send({"type": "http.response.start", "status": 200, "headers": headers})


async def keep_renewing(store):
    while True:
        await store.keep_lease_alive(1)
        await anyio.sleep(0.1)


@pytest.mark.parametrize("in_parts", [True, False])
async def test_a_page_arrives_over_a_slow_link_beside_quick_renewals(in_parts):
    """A new placing term read the same page for ever; review/11 (LOST)."""
    link = SlowLink(1.6, in_parts=in_parts)
    async with client_of(link) as store, anyio.create_task_group() as tasks:
        tasks.start_soon(keep_renewing, store)
        await anyio.sleep(0.3)
        with anyio.fail_after(8):
            page = await scan_with_retries(SystemClock(), store, "a/")
        tasks.cancel_scope.cancel()
    assert len(page.entries) == 500
    assert link.pages_asked == 1 if in_parts else link.pages_asked <= 4


async def test_a_response_that_stops_arriving_fails_after_a_pause():
    """Guards against a call that waits for ever since its response had begun."""

    async def stalls(scope, receive, send):
        headers = [(b"content-length", b"100")]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        await send({"type": "http.response.body", "body": b"{", "more_body": True})
        await anyio.sleep_forever()

    async with client_of(stalls) as store:
        with anyio.fail_after(4), pytest.raises(StoreUnavailableError):
            await store.scan("a/")
