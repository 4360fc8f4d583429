"""Contract of all stores, and faults of the connection to an etcd store."""

from __future__ import annotations

import json
import time
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import replace
from datetime import timedelta

import anyio
import pytest
from starlette.applications import Starlette
from starlette.responses import Response
from starlette.routing import Route

from pomeloyard.clock import ManualClock, SystemClock
from pomeloyard.errors import (
    CompactedError,
    LeaseLostError,
    StoreOutcomeUnknownError,
    StoreRequestError,
    StoreUnavailableError,
)
from pomeloyard.keyvalue.etcd import CALL_TIMEOUT, MAX_CALLS_IN_FLIGHT, EtcdStore
from pomeloyard.keyvalue.memory import MemoryStore
from pomeloyard.keyvalue.records import (
    RECENT_WRITES,
    Change,
    ConflictError,
    commit_changes,
    read_record,
)
from pomeloyard.keyvalue.store import (
    MAX_VALUE_BYTES,
    Compare,
    Delete,
    Put,
    Transaction,
    scan_all,
)
from pomeloyard.serving import serving
from pomeloyard.standins.fault_proxy import Faults, proxying
from pomeloyard.standins.platform import (
    MemoryVmDirectory,
    PlatformState,
    platform_app,
)
from pomeloyard.vm_platform.directory import Vm, VmOperation, VmRole
from pomeloyard.vm_platform.vm_service import HttpVmDirectory

from .support.faulty_store import FaultyStore

CALL_LIMIT_SECONDS = 2.5
"""Timeout of a call, 2 s, and a margin for measuring it."""


@asynccontextmanager
async def served(memory, through_proxy=False, call_timeout=CALL_TIMEOUT):
    """Yield an HTTP client of ``memory``, and the fault proxy or None."""
    app = platform_app(PlatformState(memory, MemoryVmDirectory(ManualClock())))
    async with AsyncExitStack() as stack:
        address = await stack.enter_async_context(serving(app))
        proxy = None
        if through_proxy:
            proxy = await stack.enter_async_context(proxying(address))
            address = proxy.address
        client = EtcdStore(f"http://{address}", call_timeout)
        stack.push_async_callback(client.close)
        yield client, proxy


def put(key, value=b"", lease=0, at=None):
    compares = () if at is None else (Compare(key, at),)
    return Transaction(compares, (Put(key, value, lease),))


async def compare_and_swap(store, memory, clock):
    first = await store.commit(put("a", b"1", at=0))
    assert first.succeeded
    assert not (await store.commit(put("a", b"2", at=0))).succeeded
    second = await store.commit(put("a", b"2", at=first.revision))
    entry = await store.get("a")
    assert (entry.value, entry.mod_revision) == (b"2", second.revision)
    assert entry.create_revision == first.revision < second.revision
    assert await store.get("b") is None


async def all_or_nothing(store, memory, clock):
    await store.commit(put("a", b"1"))
    both = (Put("b", b"2"), Delete("a"))
    assert not (await store.commit(Transaction((Compare("b", 9),), both))).succeeded
    assert await store.get("b") is None
    assert (await store.commit(Transaction((Compare("b", 0),), both))).succeeded
    assert [e.key for e in (await store.scan("")).entries] == ["b"]


async def range_pages(store, memory, clock):
    names = [f"p/{n:04d}" for n in range(25)]
    await store.commit(Transaction((), tuple(Put(n, n.encode()) for n in names)))
    await store.commit(put("q", b"outside"))
    page = await store.scan("p/", limit=10)
    assert page.more
    assert [e.key for e in page.entries] == names[:10]
    rest = await store.scan("p/", start=names[9] + "\0", limit=100)
    assert not rest.more
    assert [e.key for e in rest.entries] == names[10:]
    assert len((await scan_all(store, "")).entries) == 26


async def leases_expire(store, memory, clock):
    lease = await store.grant_lease(timedelta(seconds=5))
    await store.commit(put("a", b"1", lease))
    clock.advance(timedelta(seconds=4))
    assert await store.keep_lease_alive(lease) == timedelta(seconds=5)
    clock.advance(timedelta(seconds=4))
    assert (await store.get("a")).lease == lease
    clock.advance(timedelta(seconds=1))
    assert await store.get("a") is None
    with pytest.raises(LeaseLostError):
        await store.keep_lease_alive(lease)
    with pytest.raises(LeaseLostError):
        await store.commit(put("a", b"1", lease))
    await store.revoke_lease(lease)
    other = await store.grant_lease(timedelta(seconds=5))
    await store.commit(put("a", b"1", other))
    await store.revoke_lease(other)
    assert await store.get("a") is None


async def watch_from_a_past_revision(store, memory, clock):
    first = await store.commit(put("w/a", b"1"))
    await store.commit(put("x", b"not watched"))
    lease = await store.grant_lease(timedelta(seconds=5))
    await store.commit(put("w/b", b"", lease))
    events = []
    async with store.watch("w/", from_revision=first.revision) as batches:
        clock.advance(timedelta(seconds=5))
        await store.commit(Transaction((), (Delete("w/a"), Put("w/c", b"3"))))
        with anyio.fail_after(5):
            while len(events) < 5:
                events += (await anext(batches)).events
    seen = [(e.key, e.entry and e.entry.value) for e in events]
    assert seen == [
        *[("w/a", b"1"), ("w/b", b""), ("w/b", None), ("w/a", None), ("w/c", b"3")]
    ]
    revisions = [e.revision for e in events]
    assert revisions == sorted(revisions)
    assert revisions[-1] == revisions[-2] > revisions[-3]


async def compaction(store, memory, clock):
    first = await store.commit(put("a", b"1"))
    await store.commit(put("a", b"2"))
    memory.compact()
    with pytest.raises(CompactedError), anyio.fail_after(5):
        async with store.watch("a", from_revision=first.revision) as batches:
            await anext(batches)


async def broken_watch(store, memory, clock):
    async with store.watch("a", from_revision=memory.revision + 1) as batches:
        await store.commit(put("a", b"1"))
        with anyio.fail_after(5):
            assert (await anext(batches)).events[0].entry.value == b"1"
            memory.break_watches()
            with pytest.raises(StoreUnavailableError):
                await anext(batches)


async def limits_of_a_transaction(store, memory, clock):
    largest = b"v" * MAX_VALUE_BYTES
    await store.commit(put("a", largest))
    assert (await store.get("a")).value == largest
    many = tuple(Put(f"k{n}", b"") for n in range(129))
    assert (await store.commit(Transaction((), many[:128]))).succeeded
    for refused in (
        put("a", largest + b"v"),
        Transaction((), many),
        Transaction((), (Put("a", b"1"), Delete("a"))),
    ):
        revision = memory.revision
        with pytest.raises(StoreRequestError):
            await store.commit(refused)
        assert memory.revision == revision


async def cancelled_wait(store, memory, clock):
    async with store.watch("a", from_revision=memory.revision + 1) as batches:
        with anyio.move_on_after(0.01):
            await anext(batches)
        if store is memory:  # Over HTTP, the cancellation closes the connection.
            await store.commit(put("a", b"1"))
            assert (await anext(batches)).events[0].entry.value == b"1"


async def idle_watch(store, memory, clock):
    async with store.watch("a", from_revision=memory.revision + 1) as batches:
        await anyio.sleep(0.1)
        await store.commit(put("a", b"1"))
        with anyio.fail_after(5):
            assert (await anext(batches)).events[0].entry.value == b"1"


async def counted_calls(store, memory, clock):
    before = (store.calls.reads, store.calls.writes)
    await store.get("a")
    await store.commit(put("a", b"1"))
    assert (store.calls.reads, store.calls.writes) == (before[0] + 1, before[1] + 1)
    async with store.watch("a", from_revision=1):
        assert store.calls.open_watches == 1
    assert store.calls.open_watches == 0


CONTRACT = [
    compare_and_swap,
    all_or_nothing,
    range_pages,
    leases_expire,
    watch_from_a_past_revision,
    compaction,
    broken_watch,
    limits_of_a_transaction,
    cancelled_wait,
    idle_watch,
    counted_calls,
]


@pytest.mark.parametrize("over_http", [False, True], ids=["memory", "etcd"])
@pytest.mark.parametrize("case", CONTRACT, ids=lambda case: case.__name__)
def test_store_contract(case, over_http, monkeypatch):
    """Guards against an in-memory store with weaker rules than etcd's protocol."""
    progress = "pomeloyard.standins.platform.WATCH_PROGRESS_INTERVAL"
    monkeypatch.setattr(progress, timedelta(seconds=0.02))

    async def run():
        clock = ManualClock()
        memory = MemoryStore(clock)
        if not over_http:
            return await case(memory, memory, clock)
        async with served(memory) as (client, _):
            await case(client, memory, clock)

    anyio.run(run)


async def refused_link(store, proxy, memory):
    await proxy.set_faults(Faults(refuse=True))
    proxy.cut()
    await raises(StoreUnavailableError, store.get("a"))
    # The kept connection was closed; a write sent on it may be lost.
    await raises(StoreUnavailableError, store.commit(put("a", b"1")))
    assert memory.revision == 1
    await proxy.set_faults(Faults())
    assert (await store.commit(put("a", b"1"))).succeeded


async def slow_link(store, proxy, memory):
    await proxy.set_faults(Faults(delay_seconds=3.0))
    await raises(StoreOutcomeUnknownError, store.commit(put("a", b"1")))
    await proxy.set_faults(Faults())
    await store.get("a")


async def lost_answer(store, proxy, memory):
    await proxy.set_faults(Faults(drop_answers=1))
    await raises(StoreOutcomeUnknownError, store.commit(put("a", b"1")))
    assert (await store.get("a")).value == b"1"


async def silent_connections(store, proxy, memory):
    async with anyio.create_task_group() as tasks:
        for _ in range(MAX_CALLS_IN_FLIGHT):
            tasks.start_soon(store.get, "a")
    proxy.silence()
    await raises(StoreUnavailableError, store.get("a"))
    # All kept connections hung; only one call may time out because of it.
    with anyio.fail_after(1):
        await store.get("a")


async def hanging_watch(store, proxy, memory):
    await proxy.set_faults(Faults(hang=True))

    async def watch():
        async with store.watch("", from_revision=1):
            raise AssertionError("a watch without an answer was opened")

    await raises(StoreUnavailableError, watch())


async def calls_in_flight_are_bounded(store, proxy, memory):
    await proxy.set_faults(Faults(hang=True))
    errors = []

    async def write(number):
        try:
            await store.commit(put(f"k{number}", b"1"))
        except (StoreUnavailableError, StoreOutcomeUnknownError) as error:
            errors.append(type(error))

    async with anyio.create_task_group() as tasks:
        for number in range(MAX_CALLS_IN_FLIGHT + 4):
            tasks.start_soon(write, number)
    assert proxy.accepted == MAX_CALLS_IN_FLIGHT
    assert errors.count(StoreUnavailableError) == 4
    assert errors.count(StoreOutcomeUnknownError) == MAX_CALLS_IN_FLIGHT


async def truncated_answers(store, proxy, memory):
    await store.commit(put("a", b"v" * 500))
    for length in (0, 10, 100, 250, 600):
        await proxy.set_faults(Faults(truncate_after=length))
        proxy.cut()
        await raises(StoreUnavailableError, store.get("a"))
    await proxy.set_faults(Faults(truncate_after=100))
    await raises(StoreOutcomeUnknownError, store.grant_lease(LEASE))


async def repeated_watch_events(store, proxy, memory):
    async with store.watch("", from_revision=2) as batches:
        await proxy.set_faults(Faults(duplicate_chunks=1))
        await memory.commit(put("a", b"1"))
        with anyio.fail_after(5):
            batch = await anext(batches)
            assert await anext(batches) == batch
            await memory.commit(put("b", b"2"))
            assert (await anext(batches)).events[0].key == "b"


LEASE = timedelta(seconds=5)
LINK_FAULTS = [
    refused_link,
    slow_link,
    lost_answer,
    silent_connections,
    hanging_watch,
    calls_in_flight_are_bounded,
    truncated_answers,
    repeated_watch_events,
]


async def raises(kind, call):
    """Check the error of a call, and that it came within the call's timeout."""
    start = time.monotonic()
    with pytest.raises(kind):
        await call
    assert time.monotonic() - start < CALL_LIMIT_SECONDS


@pytest.mark.parametrize("case", LINK_FAULTS, ids=lambda case: case.__name__)
def test_faults_of_the_link_have_typed_errors(case):
    """Guards against a write that took effect and is reported as not done."""

    async def run():
        memory = MemoryStore(ManualClock())
        # Shorter than in production, to shorten the test.
        timeout = CALL_TIMEOUT if case is slow_link else timedelta(seconds=0.5)
        async with served(memory, True, timeout) as (store, proxy):
            await case(store, proxy, memory)

    anyio.run(run)


class StuckPool:
    """Connection pool whose requests get stuck after some trace events."""

    connections = ()

    def __init__(self, *events):
        self.events = events

    async def request(self, method, url, *, headers, content, extensions):
        for event in self.events:
            await extensions["trace"](event, {})
        await anyio.sleep_forever()


@pytest.mark.parametrize(
    ("events", "error"),
    [
        ((), StoreUnavailableError),
        (("connection.connect_tcp.started",), StoreUnavailableError),
        (
            ("connection.connect_tcp.started", "http11.send_request_headers.started"),
            StoreOutcomeUnknownError,
        ),
    ],
)
def test_a_call_counts_as_sent_only_once_bytes_may_have_left(events, error):
    # A call that was still connecting at its time-out was reported as unknown, and its
    # caller could not retry what had certainly not run.
    async def run():
        store = EtcdStore("http://127.0.0.1:1", timedelta(seconds=0.05))
        store._pool = StuckPool(*events)
        with pytest.raises(error):
            await store.commit(put("a"))

    anyio.run(run)


def test_a_slot_that_becomes_free_late_does_not_let_a_waiting_call_begin():
    # Waiting and being in flight had one time limit: a call that waited until the
    # first ones timed out began with no time left, and its outcome was unknown.
    async def run():
        store = EtcdStore("http://127.0.0.1:1", timedelta(seconds=0.2))
        store._pool = StuckPool("http11.send_request_headers.started")
        errors = []

        async def write(number):
            try:
                await store.commit(put(f"k{number}"))
            except (StoreUnavailableError, StoreOutcomeUnknownError) as error:
                errors.append(type(error))

        async with anyio.create_task_group() as tasks:
            for number in range(MAX_CALLS_IN_FLIGHT):
                tasks.start_soon(write, number)
            await anyio.wait_all_tasks_blocked()
            tasks.start_soon(write, MAX_CALLS_IN_FLIGHT)
            await anyio.wait_all_tasks_blocked()
            # Blocks the loop, so that all time limits are due at once.
            time.sleep(0.25)
        assert errors.count(StoreUnavailableError) == 1
        assert errors.count(StoreOutcomeUnknownError) == MAX_CALLS_IN_FLIGHT

    anyio.run(run)


MALFORMED = [
    (200, b""),
    (200, b"not json"),
    (200, b"[]"),
    (200, b"null"),
    (200, b'{"header": {}}'),
    (200, b'{"header": {"revision": "x"}}'),
    (200, b'{"header": {"revision": "1"}, "kvs": [{"key": "*"}]}'),
    (200, b'{"error": {"grpc_code": 14, "message": "etcdserver: no leader"}}'),
    (200, b"[" * 100_000),
    (503, b'{"error": "no leader", "message": "no leader", "code": 14}'),
    (504, b"<html>gateway timeout</html>"),
    (500, b"[]"),
]


def test_malformed_answers_leave_the_outcome_unknown():
    """Guards against untyped errors, and a write wrongly reported as not done."""

    async def check(url, body):
        store = EtcdStore(url)
        await raises(StoreUnavailableError, store.get("a"))
        await raises(StoreOutcomeUnknownError, store.keep_lease_alive(1))
        await raises(StoreOutcomeUnknownError, store.grant_lease(LEASE))
        if b'"revision": "1"' not in body:
            await raises(StoreOutcomeUnknownError, store.commit(put("a")))
        with pytest.raises(StoreUnavailableError):
            async with store.watch("a", from_revision=1) as batches:
                await anext(batches)
        await store.close()

    async def run():
        async def answer(request):
            status, body = MALFORMED[request.path_params["case"]]
            return Response(body, status)

        route = Route("/{case:int}/{path:path}", answer, methods=["POST"])
        async with serving(Starlette(routes=[route])) as address:
            for number, (_, body) in enumerate(MALFORMED):
                await check(f"http://{address}/{number}", body)

    anyio.run(run)


def test_published_gateway_forms_are_understood():
    """Guards against a client that understands only the stand-in's responses.

    The responses follow the published JSON mapping: zero values are omitted, an
    expired lease has no TTL, and streams wrap each message in "result".
    """
    answers = {
        "/v3/kv/range": {"header": {"cluster_id": "1", "revision": "7"}},
        "/v3/kv/txn": {"header": {"revision": "7"}},
        "/v3/lease/grant": {"header": {"revision": "7"}, "ID": "9", "TTL": "5"},
        "/v3/lease/keepalive": {"result": {"header": {"revision": "7"}, "ID": "9"}},
        "/v3/lease/revoke": {
            "error": "etcdserver: requested lease not found",
            "message": "etcdserver: requested lease not found",
            "code": 5,
        },
    }
    watch = (
        b'{"result":{"header":{"revision":"7"},"created":true}}\n'
        b'{"result":{"header":{"revision":"8"},"events":[{"kv":{"key":"YQ==",'
        b'"create_revision":"8","mod_revision":"8","version":"1"}}]}}\n'
        b'{"result":{"header":{"revision":"9"},"canceled":true,'
        b'"compact_revision":"9"}}\n'
    )

    async def run():
        async def answer(request):
            if request.url.path == "/v3/watch":
                return Response(watch)
            body = answers[request.url.path]
            return Response(json.dumps(body), 404 if "code" in body else 200)

        app = Starlette(routes=[Route("/{path:path}", answer, methods=["POST"])])
        async with serving(app) as address:
            store = EtcdStore(f"http://{address}")
            page = await store.scan("")
            assert (page.entries, page.revision, page.more) == ((), 7, False)
            assert not (await store.commit(put("a"))).succeeded
            assert await store.grant_lease(LEASE) == 9
            with pytest.raises(LeaseLostError):
                await store.keep_lease_alive(9)
            await store.revoke_lease(9)
            async with store.watch("", from_revision=7) as batches:
                entry = (await anext(batches)).events[0].entry
                assert (entry.key, entry.value, entry.lease) == ("a", b"", 0)
                with pytest.raises(CompactedError):
                    await anext(batches)
            await store.close()

    anyio.run(run)


def overwrite(key, times):
    async def change(store):
        for _ in range(times):
            current = await read_record(store, key, int)
            await commit_changes(store, [Change(key, 7, current)])

    return change


async def recreate(store):
    current = await read_record(store, "a", int)
    await commit_changes(store, [Change("a", None, current)])
    await commit_changes(store, [Change("a", 7, None)])


async def nothing(store):
    pass


LOST = StoreOutcomeUnknownError
LOST_WRITES = [
    # took effect, concurrent changes, new value (None: delete), outcome
    (True, nothing, 2, "done"),
    (True, overwrite("a", 1), 2, "done"),
    (True, overwrite("a", RECENT_WRITES), 2, LOST),
    (True, recreate, 2, LOST),
    (True, nothing, None, "done"),
    (False, nothing, 2, "done"),
    (False, overwrite("a", 1), 2, ConflictError),
    (False, overwrite("a", RECENT_WRITES), 2, LOST),
    (False, overwrite("a", 1), None, ConflictError),
    (False, recreate, 2, LOST),
    (False, "outage", 2, LOST),
    (True, "outage", 2, LOST),
]


@pytest.mark.parametrize(("effect", "meanwhile", "value", "outcome"), LOST_WRITES)
def test_lost_answer_is_resolved_by_write_id(effect, meanwhile, value, outcome):
    """Guards against a lost response that is reported as a conflict or repeated."""

    async def run():
        memory = MemoryStore(ManualClock())
        await commit_changes(memory, [Change("a", 1, None)])
        expected = await read_record(memory, "a", int)
        store = FaultyStore(memory)
        store.lose_answers, store.lose_requests = (1, 0) if effect else (0, 1)
        commits = []

        def before(operation):
            commits.append(operation)
            if operation == "commit" and commits.count("commit") == 2:
                if meanwhile == "outage":
                    store.available = False
                else:
                    run_now(meanwhile(memory))

        store.before = before
        change = [Change("a", value, expected)]
        if outcome == "done":
            await commit_changes(store, change)
        else:
            with pytest.raises(outcome):
                await commit_changes(store, change)

    anyio.run(run)


def run_now(coroutine):
    """Run a coroutine that never suspends, as those of MemoryStore."""
    with pytest.raises(StopIteration):
        coroutine.send(None)


OPERATIONS = [
    (200, None),
    (400, StoreRequestError),
    (404, StoreRequestError),
    (500, StoreOutcomeUnknownError),
    (504, StoreOutcomeUnknownError),
    ("drop", StoreOutcomeUnknownError),
    ("hang", StoreOutcomeUnknownError),
    ("refuse", StoreUnavailableError),
]


def test_vm_operations_have_typed_outcomes():
    """Guards against a reboot that was started and is reported as refused."""

    async def run():
        status = 200

        async def answer(request):
            return Response(b"{}", status)

        route = Route("/{path:path}", answer, methods=["GET", "POST"])
        async with (
            serving(Starlette(routes=[route])) as address,
            proxying(address) as proxy,
        ):
            for fault, expected in OPERATIONS:
                status = fault if isinstance(fault, int) else 200
                faults = {
                    "drop": Faults(drop_answers=1),
                    "hang": Faults(hang=True),
                    "refuse": Faults(refuse=True),
                }
                proxy.cut()
                await proxy.set_faults(faults.get(fault, Faults()))
                directory = HttpVmDirectory(f"http://{proxy.address}", LEASE / 10)
                call = directory.operate("a", VmOperation.REBOOT, operation_id="1")
                if expected is None:
                    await call
                else:
                    await raises(expected, call)
                # An unreadable list must not be taken for an empty one.
                await raises(StoreUnavailableError, directory.list_vms())
                await directory.close()

    anyio.run(run)


def test_unchanged_vm_list_is_not_sent_again():
    """Guards against traffic every second that grows with the size of the fleet."""

    async def check():
        clock = SystemClock()
        vm = Vm("a", VmRole.WORKER, "p", "r", "z", "k", "127.0.0.1:1")
        directory = MemoryVmDirectory(clock, [vm])
        app = platform_app(PlatformState(MemoryStore(clock), directory))
        async with serving(app) as address:
            client = HttpVmDirectory(f"http://{address}")
            first = await client.list_vms()
            assert await client.list_vms() is first
            directory.put(replace(vm, pool="q"))
            second = await client.list_vms()
            assert second.vms_by_name["a"].pool == "q"
            assert second.version > first.version
            await client.close()

    anyio.run(check)
