"""Calls to executors and to the VM service, and the meaning of their responses."""

from __future__ import annotations

import json
from contextlib import asynccontextmanager
from datetime import timedelta

import pytest

from pomeloyard.batch.executors import Executor, StartAnswer, StartOrder
from pomeloyard.batch.model import Resources
from pomeloyard.batch.progress import EndKind
from pomeloyard.batch.vms import VmAnswer, VmState
from pomeloyard.errors import CallNotSentError, CallUnansweredError, StaleFenceError
from pomeloyard.platform.advice import PlatformAdvice
from pomeloyard.platform.executors import PlatformExecutors
from pomeloyard.platform.http import HttpClient
from pomeloyard.platform.vms import PlatformVms
from pomeloyard.serving import serving
from tests.support.platform_standin import FakePeer

pytestmark = pytest.mark.anyio
SECOND = timedelta(seconds=1)
ORDER = StartOrder("a1.0.0.0", 2, "text", "cp", timedelta(seconds=9), 7)


@pytest.fixture
def anyio_backend():
    return "asyncio"


@asynccontextmanager
async def peer_and_executor():
    peer = FakePeer()
    client = HttpClient()
    async with serving(peer) as address:
        executor = Executor("i-1", address, "s", "z", Resources(1), (), False, 5)
        yield peer, client, executor
        await client.close()


@pytest.mark.parametrize(
    ("status", "reason", "answer"),
    [
        (200, "", StartAnswer.STARTED),
        (409, "old", StartAnswer.STALE_RUN),
        (409, "late", StartAnswer.TOO_LATE),
        (409, "room", StartAnswer.NO_CAPACITY),
        (409, "ticket", StartAnswer.NO_TICKET),
        (421, "", StartAnswer.OTHER_INCARNATION),
        (429, "", StartAnswer.NOT_ACCEPTED),
        (503, "", StartAnswer.NOT_ACCEPTED),
    ],
)
async def test_answers_to_a_start(status, reason, answer):
    async with peer_and_executor() as (peer, client, executor):
        peer.script("/run-start", status, {"clock_ms": 1500, "reason": reason})
        start_answer, _ = await PlatformExecutors(client).start(executor, ORDER, SECOND)
        assert start_answer is answer
        _, headers, body = peer.calls[0]
        assert headers["x-expect-instance"] == "i-1"
        assert json.loads(body) == {
            "task": "a1.0.0.0",
            "run_id": 2,
            "task_spec": "text",
            "until_ms": 9000,
            "fencing_token": 7,
            "saved": "cp",
        }


async def test_a_higher_fencing_token_raises_its_own_error():
    async with peer_and_executor() as (peer, client, executor):
        for path in ("/run-start", "/run-stop", "/hold"):
            peer.script(path, 409, {"clock_ms": 1, "reason": "fence"})
        executor_client = PlatformExecutors(client)
        with pytest.raises(StaleFenceError):
            await executor_client.start(executor, ORDER, SECOND)
        with pytest.raises(StaleFenceError):
            await executor_client.stop(executor, "t", 1, 7, SECOND)
        with pytest.raises(StaleFenceError):
            await look(executor_client, executor)


async def look(client, executor):
    return await client.poll(
        executor,
        fence=7,
        acknowledged=3,
        lease_until=None,
        wait=timedelta(0),
        timeout=SECOND,
    )


async def test_both_task_lists_are_decoded():
    async with peer_and_executor() as (peer, client, executor):
        lists = {
            "clock_ms": 2000,
            "born": 77,
            "running": [["a", 1, "s", 40, 12], ["b", 2, "", 100]],
            "ended": [[4, "c", 1, "done", ""]],
            "remaining_ms": 100,
        }
        peer.script("/hold", 200, lists)
        report = await look(PlatformExecutors(client), executor)
        assert report.clock == 2 * SECOND
        assert report.incarnation == 77
        assert [row.gauge for row in report.running] == [12, 0]
        assert report.ended[0].kind is EndKind.DONE
        assert report.draining


@pytest.mark.parametrize(
    "lists",
    [
        b"not json",
        {"clock_ms": 1, "running": [["a"]], "ended": []},
        {"clock_ms": 1, "running": [], "ended": [[1, "a", 1, "melted", ""]]},
        {"clock_ms": 1, "running": 5, "ended": []},
    ],
)
async def test_invalid_task_lists_count_as_unanswered(lists):
    async with peer_and_executor() as (peer, client, executor):
        peer.script("/hold", 200, lists)
        with pytest.raises(CallUnansweredError):
            await look(PlatformExecutors(client), executor)


async def test_an_order_to_a_closed_port_counts_as_not_sent():
    executor = Executor("i", "127.0.0.1:9", "s", "z", Resources(1), (), False, 5)
    with pytest.raises(CallNotSentError):
        await PlatformExecutors(HttpClient()).start(executor, ORDER, SECOND)


@pytest.mark.parametrize(
    ("status", "reason", "answer"),
    [
        (200, "", VmAnswer.DONE),
        (409, "busy", VmAnswer.BUSY),
        (409, "wave", VmAnswer.NOT_IN_WAVE),
        (400, "", VmAnswer.INVALID),
        (429, "", VmAnswer.THROTTLED),
    ],
)
async def test_answers_to_an_operation_on_a_vm(status, reason, answer):
    async with peer_and_executor() as (peer, client, executor):
        service = PlatformVms(client, executor.address)
        for path in ("/machine-move", "/machine-upkeep"):
            peer.script(path, status, {"reason": reason})
        assert await service.move("m", "p", "d-1", 12) is answer
        assert await service.maintain("m", 3, "d-1", 12) is answer
        assert peer.calls[0][1]["x-fencing-token"] == "12"
        assert peer.calls[0][1]["x-duty-holder"] == "d-1"
        peer.script("/machine-move", 409, {"reason": "fence"})
        with pytest.raises(StaleFenceError):
            await service.move("m", "p", "d-1", 12)


async def test_vms_are_listed_with_their_current_executor():
    async with peer_and_executor() as (peer, client, executor):
        rows = [
            {"machine": "m1", "pool": "p", "state": "up", "id": "i", "labels": ["r"]},
            {"machine": "m2", "pool": "p", "state": "upkeep", "id": None},
            {"machine": "m3", "pool": "p", "state": "new word"},
        ]
        peer.script("/machines", 200, {"machines": rows, "next_token": None})
        vms = await PlatformVms(client, executor.address).list()
        assert [vm.state for vm in vms] == [
            VmState.UP,
            VmState.IN_MAINTENANCE,
            VmState.DOWN,
        ]
        assert vms[0].executor_id == "i"


async def test_advice_is_requested_and_decoded():
    async with peer_and_executor() as (peer, client, executor):
        service = PlatformAdvice(client, executor.address)
        peer.script("/advise", 200, {"good": [["i-1", "t-1"]], "valid_ms": 3000})
        advice = await service.advise("a1.0.0", ["i-1", "i-2"], SECOND)
        assert advice.ticket_by_executor == {"i-1": "t-1"}
        assert advice.valid == 3 * SECOND
        request = json.loads(peer.calls[0][2])
        assert request == {"step": "a1.0.0", "workers": ["i-1", "i-2"]}
        for status, body in ((429, None), (200, b"{"), (200, {"good": 3})):
            peer.script("/advise", status, body)
            with pytest.raises(CallUnansweredError):
                await service.advise("a1.0.0", ["i-1"], SECOND)
