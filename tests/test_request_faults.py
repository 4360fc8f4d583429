"""What the caller sees and what runs under faults of executors and daemons."""

import json
from datetime import timedelta

import anyio
import httpcore
import pytest

from pomeloyard.clock import SystemClock
from pomeloyard.errors import StoreOutcomeUnknownError, StoreUnavailableError
from pomeloyard.keyvalue.memory import MemoryStore

from .support.executors import FaultyExecutor
from .support.request_path import UNITS, request_path

COMPLETE_BODY = b"0123456789"


def run(test, *faults, **options):
    """Run ``test(paths, pool, executors)`` with one executor for each fault."""

    async def main():
        executors = [FaultyExecutor() for _ in faults]
        async with anyio.create_task_group() as tasks:
            for executor, fault in zip(executors, faults, strict=True):
                executor.fault = fault
                await tasks.start(serve, executor)
            addresses = {f"e{i}": e.address for i, e in enumerate(executors)}
            with anyio.fail_after(20):
                async with request_path(addresses, **options) as (paths, pool):
                    await test(paths, pool, executors)
            tasks.cancel_scope.cancel()

    anyio.run(main)


async def serve(executor, *, task_status):
    async with executor.serving():
        task_status.started()
        await anyio.sleep_forever()


def problem(response):
    content = json.loads(response.content)
    retry = b"retry-after" in {name for name, _ in response.headers}
    return response.status, content["type"].split(":")[-1], content["outcome"], retry


# fault, method, (status, type, outcome, Retry-After), requests received, permits held
FAULTS = [
    ("refused", "POST", (503, "endpoint-unreachable", "not-run", True), 0, 0),
    ("refused", "GET", (503, "endpoint-unreachable", "not-run", True), 0, 0),
    ("reset before", "POST", (502, "connection-lost", "unknown", False), 0, 1),
    ("reset after", "POST", (502, "connection-lost", "unknown", False), 1, 1),
    ("reset after", "GET", (502, "connection-lost", "unknown", False), 1, 1),
    ("silent", "POST", (504, "timeout", "unknown", False), 1, 1),
    ("wrong id", "POST", (502, "answer-mismatched", "unknown", False), 1, 1),
    ("wrong id", "GET", (502, "answer-mismatched", "unknown", False), 1, 1),
    ("no length", "POST", (502, "answer-truncated", "unknown", False), 1, 1),
]


@pytest.mark.parametrize(("fault", "method", "expected", "received", "held"), FAULTS)
def test_fault_gives_outcome_that_is_true(fault, method, expected, received, held):
    """Guards against reporting work that ran as refused, and early slot release."""

    async def check(paths, pool, executors):
        if fault == "refused":
            vm = paths[0].state.vm_list.vms_by_name["e0"]
            object.__setattr__(vm, "address", "127.0.0.1:1")
        response = await paths[0].call(pool, method, body=b"x")
        assert problem(response) == expected
        assert len(executors[0].requests) == received
        assert paths[0].running() == held

    run(check, fault)


@pytest.mark.parametrize("fault", ["truncated", "chunk missing"])
def test_truncated_response_is_a_protocol_error_for_the_caller(fault):
    """Guards against a truncated body that looks complete."""

    async def check(paths, pool, executors):
        with pytest.raises((httpcore.RemoteProtocolError, httpcore.ReadError)):
            await paths[0].call(pool, "POST")
        assert paths[0].running() == 1

    run(check, fault)


@pytest.mark.parametrize(
    ("method", "statuses", "received"),
    [("GET", {200}, 1), ("POST", {200, 502}, 1), ("PUT", {200}, 1)],
)
def test_only_idempotent_requests_are_sent_again(method, statuses, received):
    """Guards against a second execution of a POST, and a GET that is not retried."""

    async def check(paths, pool, executors):
        response = await paths[0].call(pool, method, body=b"x")
        assert response.status in statuses
        assert response.status != 200 or response.content == COMPLETE_BODY
        total = sum(len(e.requests) for e in executors)
        assert total <= (2 if method != "POST" else 1)
        assert len(executors[1].requests) <= received

    run(check, "reset after", "none")


def test_refused_connection_moves_a_post_to_another_executor():
    """Guards against failing a request that was certainly not sent."""

    async def check(paths, pool, executors):
        vm = paths[0].state.vm_list.vms_by_name["e0"]
        object.__setattr__(vm, "address", "127.0.0.1:1")
        for _ in range(4):
            assert (await paths[0].call(pool, "POST")).status == 200
        assert len(executors[1].requests) == 4

    run(check, "none", "none")


def test_retries_stay_within_the_budget():
    """Guards against retries that multiply the load on failing executors."""

    async def check(paths, pool, executors):
        for _ in range(30):
            await paths[0].call(pool, "GET")
            for permit in list(paths[0].admission._held_permits):
                paths[0].admission._held_permits.remove(permit)
                paths[0].admission.release(permit[2])
        # 30 requests, 10 initial retry tokens and 3 added by the requests.
        assert sum(len(e.requests) for e in executors) <= 30 + 13

    short = timedelta(seconds=0.1)
    run(check, "reset after", "reset after", queue_timeout=short)


def test_hedge_answers_while_the_first_executor_is_silent():
    """Guards against a caller that waits for one unresponsive executor."""

    async def check(paths, pool, executors):
        with anyio.fail_after(0.35):
            for _ in range(2):
                assert (await paths[0].call(pool, "GET")).content == COMPLETE_BODY

    run(check, "silent", "none", hedge_after=timedelta(seconds=0.05))


def test_stale_idle_connection_is_replaced_before_sending():
    """Guards against an unknown outcome from a connection closed while idle."""

    async def check(paths, pool, executors):
        assert (await paths[0].call(pool, "POST")).status == 200
        executors[0].fault = "hop headers"  # answers and closes the connection
        assert (await paths[0].call(pool, "POST")).status == 200
        await anyio.sleep(0.05)
        executors[0].fault = "none"
        assert (await paths[0].call(pool, "POST")).status == 200
        assert executors[0].connections == 2

    run(check, "none")


def test_expired_idle_connections_are_closed_without_further_requests():
    """Guards against idle connections that stay open at an executor indefinitely."""

    async def check(paths, pool, executors):
        client = paths[0].client
        client._keepalive = timedelta(seconds=0.05)
        assert (await paths[0].call(pool, "POST")).status == 200
        assert executors[0].open_connections == 1
        while executors[0].open_connections:
            await anyio.sleep(0.02)
            await client.close_idle()
        assert (await paths[0].call(pool, "POST")).status == 200
        assert executors[0].connections == 2

    run(check, "none")


def test_headers_of_one_connection_and_of_the_team_are_not_passed_on():
    """Guards against a caller that impersonates another team or smuggles headers."""

    async def check(paths, pool, executors):
        response = await paths[0].call(
            pool,
            "POST",
            X_Team="other",
            X_Request_Id="mine",
            Connection="keep-alive, X-Secret",
            X_Secret="1",
            X_Kept="1",
        )
        received = executors[0].requests[0].headers
        assert received["x-team"] == "mill"
        assert received["x-request-id"] != "mine"
        assert received["x-kept"] == "1"
        assert "x-secret" not in received
        assert "authorization" not in received
        names = {name.lower() for name, _ in response.headers}
        assert not names & {b"x-private", b"x-team", b"x-request-id"}

    run(check, "hop headers")


@pytest.mark.parametrize(
    ("size", "known", "expected"),
    [
        (100, True, 200),
        (150_000, True, 200),
        (150_000, False, 200),
        (200_001, True, "too-large"),
        (300_000, False, "connection-lost"),
    ],
)
def test_bodies_are_streamed_up_to_the_limit(size, known, expected):
    """Guards against unbounded bodies and bodies altered in transit."""

    async def check(paths, pool, executors):
        async def chunks():
            for start in range(0, size, 10_000):
                yield b"z" * min(10_000, size - start)

        body = b"z" * size if known else chunks()
        response = await paths[0].call(pool, "POST", body=body)
        if expected == 200:
            assert response.status == 200
            assert executors[0].requests[0].body.count(b"z") == size
        else:
            assert problem(response)[1] == expected

    run(check, "none", request_timeout=timedelta(seconds=3))


def test_caller_that_does_not_read_stops_the_executor():
    """Guards against a response that is buffered without bound."""

    async def check(paths, pool, executors):
        url = f"http://{paths[0].address}/v1/services/orders/cut"
        headers = {"Authorization": f"Bearer {paths[0].key}"}
        async with pool.stream("GET", url, headers=headers) as response:
            assert response.status == 200
            sent = -1
            while sent != executors[0].sent_bytes:
                sent = executors[0].sent_bytes
                await anyio.sleep(0.2)
        # The kernel buffers some megabytes for each loopback socket.
        assert 0 < sent < 32 * 1024 * 1024

    run(check, "endless", request_timeout=timedelta(seconds=5))


def test_disconnect_cancels_a_get_and_leaves_a_keyed_post_running():
    """Guards against leaked permits and lost results after callers disconnect."""

    async def check(paths, pool, executors):
        path, executor = paths[0], executors[0]
        for method, options in (("GET", {}), ("POST", {"Idempotency_Key": "k"})):
            async with httpcore.AsyncConnectionPool() as own:
                with anyio.move_on_after(0.2):
                    await path.call(own, method, **options)
        assert path.running() == 2  # the executor may still run the GET
        executor.released.set()
        with anyio.fail_after(5):
            while path.running() > 1:
                await anyio.sleep(0.01)
        answer = await path.call(pool, "POST", Idempotency_Key="k")
        assert answer.content == COMPLETE_BODY
        assert (b"idempotency-replayed", b"true") in answer.headers
        assert [r.method for r in executor.requests] == ["GET", "POST"]

    run(check, "slow", request_timeout=timedelta(seconds=5))


class FailingStore(MemoryStore):
    """A store whose commits fail or are delayed as ``mode`` says."""

    mode = "up"

    async def commit(self, transaction):
        if self.mode == "down":
            raise StoreUnavailableError("down")
        if self.mode == "slow":
            await anyio.sleep(0.2)
        result = await super().commit(transaction)
        if self.mode == "answers lost":
            raise StoreOutcomeUnknownError("lost")
        return result


@pytest.mark.parametrize(
    ("mode", "daemons", "first"),
    [
        ("up", 2, 200),
        ("slow", 2, 200),
        ("answers lost", 2, 200),
        ("down", 2, 200),
        ("down", 1, 503),
    ],
)
def test_key_runs_once_whatever_the_store_does(mode, daemons, first):
    """Guards against a second execution while the store fails in any way."""
    store = FailingStore(SystemClock())

    async def check(paths, pool, executors):
        store.mode = mode
        answers = []

        async def call(path):
            answers.append(await path.call(pool, "POST", Idempotency_Key="k"))

        async with anyio.create_task_group() as tasks:
            for path in paths * 2:
                tasks.start_soon(call, path)
        statuses = sorted(answer.status for answer in answers)
        assert statuses[0] == first or first == 503
        assert set(statuses) <= {200, 409, 503}
        for path in paths:
            again = await path.call(pool, "POST", Idempotency_Key="k")
            assert again.status == first
        assert len(executors[0].requests) == (1 if first == 200 else 0)
        other = await paths[0].call(pool, "POST", body=b"2", Idempotency_Key="k")
        if first == 200:
            assert problem(other)[:3] == (422, "idempotency-key-reused", "not-run")
        else:
            assert problem(other) == (503, "claim-unavailable", "not-run", True)

    names = [f"{vm}.1" for vm in "ab"[:daemons]]
    run(check, "none", names=names, store=store)


@pytest.mark.parametrize(
    ("fault", "first", "second"),
    [
        ("refused", (503, "endpoint-unreachable", "not-run", True), None),
        (
            "reset after",
            (502, "connection-lost", "unknown", False),
            (409, "earlier-attempt", "unknown", False),
        ),
    ],
)
def test_key_of_a_failed_request(fault, first, second):
    """Guards against a key that stays claimed, or a retry after an unknown outcome."""

    async def check(paths, pool, executors):
        vm = paths[1].state.vm_list.vms_by_name["e0"]
        address = vm.address
        if fault == "refused":
            object.__setattr__(vm, "address", "127.0.0.1:1")
        answer = await paths[1].call(pool, "POST", Idempotency_Key="k")
        assert problem(answer) == first
        executors[0].fault = "none"
        object.__setattr__(vm, "address", address)
        for path in paths:
            again = await path.call(pool, "POST", Idempotency_Key="k")
            assert again.status == 200 if second is None else problem(again) == second
        assert len(executors[0].requests) == 1

    run(check, fault, names=["a.1", "b.1"])


def test_limit_holds_while_outcomes_are_unknown():
    """Guards against reuse of a unit while its request may still run (R5)."""

    async def check(paths, pool, executors):
        async with anyio.create_task_group() as tasks:
            for _ in range(UNITS + 10):
                tasks.start_soon(paths[0].call, pool, "POST")
        assert paths[0].running() <= UNITS
        assert len(executors[0].requests) + len(executors[1].requests) <= UNITS

    run(check, *["silent"] * 4)


def test_request_that_waits_is_refused_when_its_key_is_withdrawn():
    """Guards against a request sent for a key withdrawn while it was queued (R4)."""

    async def check(paths, pool, executors):
        path = paths[0]
        permits = []
        for _ in range(16):
            outcome = await path.admission.acquire(
                "orders", "mill", deadline=timedelta(days=1), queue_length=100
            )
            permits.append(outcome.value)
        answers = []

        async def call():
            answers.append(await path.call(pool, "POST", Idempotency_Key="k"))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(call)
            while not path.admission.queued_count("orders"):
                await anyio.sleep(0.001)
            path.state.withdrawn_key_ids.update(path.state.keys.keys_by_id)
            for permit in permits:
                path.admission.release(permit)
        assert problem(answers[0])[:3] == (401, "key-invalid", "not-run")
        assert not any(executor.requests for executor in executors)
        assert path.running() == 0

    run(check, "none", "none")
