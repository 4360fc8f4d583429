"""The stand-ins' faults; a fault without effect would let other tests pass wrongly."""

from __future__ import annotations

from datetime import timedelta

import anyio
import httpcore
import msgspec
import pytest

from pomeloyard.clock import ManualClock
from pomeloyard.errors import StoreRequestError
from pomeloyard.serving import serving
from pomeloyard.standins.endpoint import EndpointState, endpoint_app
from pomeloyard.standins.vm_directory import (
    DirectoryBehaviour,
    MemoryVmDirectory,
    OperationFault,
)
from pomeloyard.standins.worker import WorkerBehaviour, WorkerState
from pomeloyard.vm_platform.directory import Vm, VmListState, VmOperation, VmRole
from pomeloyard.workers.tasks import TaskStart, TaskState

RESPONSES = [
    ("", 200, b"e ran GET /p ", b"id"),
    ("?status=503&size=3", 503, b"xxx", b"id"),
    ("?echo=none", 200, b"e ran GET /p ", None),
    ("?echo=wrong", 200, b"e ran GET /p ", b"another"),
    ("?truncate=length", None, None, None),
    ("?truncate=chunked", None, None, None),
    ("?silent=true", None, None, None),
]


@pytest.mark.parametrize("by_control_route", [False, True])
def test_endpoint_applies_requested_faults(by_control_route):
    async def run():
        state = EndpointState("e")
        async with serving(endpoint_app(state)) as address:
            for query, status, body, echoed in RESPONSES:
                path = f"/p{query}"
                if by_control_route:
                    path = "/p"
                    pairs = [p.split("=") for p in query[1:].split("&") if p]
                    given = dict(pairs) | (
                        {"silent": True} if "silent" in query else {}
                    )
                    values = {
                        k: int(v) if str(v).isdigit() else v for k, v in given.items()
                    }
                    await post(address, "/standin/behaviour", values)
                received = await get(address, path)
                assert received == (status and (status, body, echoed)), query
            assert len(state.executions) == len(RESPONSES)
            # A request stops counting as running once its caller has disconnected.
            with anyio.fail_after(2):
                while state.running:
                    await anyio.sleep(0.01)

    anyio.run(run)


async def get(address, path):
    try:
        async with httpcore.AsyncConnectionPool() as pool:
            with anyio.fail_after(0.5):
                headers = {"Host": address, "X-Request-Id": "id"}
                response = await pool.request(
                    "GET", f"http://{address}{path}", headers=headers
                )
    except (TimeoutError, httpcore.RemoteProtocolError):
        return None
    echoed = dict(response.headers).get(b"x-request-id")
    return response.status, response.content, echoed


async def post(address, path, body):
    async with httpcore.AsyncConnectionPool() as pool:
        content = msgspec.json.encode(body)
        url = f"http://{address}{path}"
        response = await pool.request("POST", url, content=content)
        assert response.status == 200, response.content


def task_start(command, **more):
    return TaskStart("t", "j", "mill", 1, 10.0, 2.0, 100, command=command, **more)


def test_worker_reports_late_and_keeps_progress():
    clock = ManualClock()
    worker = WorkerState(clock)

    def advance_and_tick(seconds):
        for _ in range(round(seconds * 10)):
            clock.advance(timedelta(seconds=0.1))
            worker.tick()

    worker.behaviour = WorkerBehaviour(report_lag=1.0, cores_factor=2.0)
    worker.tick()
    worker.start_task(task_start("sleep 3 memory=700"))
    advance_and_tick(0.9)
    assert worker.reports() == []
    advance_and_tick(0.3)
    (report,) = worker.reports()
    assert (report.peak_cores, report.peak_memory_bytes) == (4.0, 700)
    assert report.run_seconds < 0.5
    task = worker.tasks_by_id["t"]
    task.speed = 0.5
    advance_and_tick(2.0)
    worker.end(task, TaskState.CHECKPOINTED)
    assert worker.reports()[0].state is TaskState.RUNNING
    advance_and_tick(1.1)
    (report,) = worker.reports()
    assert report.state is TaskState.CHECKPOINTED

    del worker.tasks_by_id["t"]
    worker.behaviour = WorkerBehaviour(fail_all=True)
    worker.start_task(task_start("sleep 3", checkpoint=report.checkpoint))
    advance_and_tick(0.7)
    assert worker.reports()[0].state is TaskState.RUNNING
    advance_and_tick(0.3)
    assert worker.reports()[0].state is TaskState.FAILED


def test_vm_list_lags_and_operations_take_time_or_fail():
    async def run():
        clock = ManualClock()
        names = ("a", "b", "c")
        vms = [Vm(n, VmRole.WORKER, "p", "r", "z", "z-1", "127.0.0.1:1") for n in names]
        directory = MemoryVmDirectory(clock, vms)
        directory.behaviour = DirectoryBehaviour(
            list_lag=2.0,
            durations={VmOperation.REPLACE: 5.0},
            faults={"b": OperationFault.REFUSED, "c": OperationFault.STUCK},
        )
        clock.advance(timedelta(seconds=10))
        await directory.operate("a", VmOperation.REPLACE, operation_id="1")
        with pytest.raises(StoreRequestError):
            await directory.operate("b", VmOperation.REBOOT, operation_id="2")
        await directory.operate("c", VmOperation.REBOOT, operation_id="3")
        observed = []
        for _ in range(10):
            vms_by_name = (await directory.list_vms()).vms_by_name
            observed.append([vms_by_name[name].state for name in names])
            clock.advance(timedelta(seconds=1))
        live, gone, leaving = VmListState.LIVE, VmListState.GONE, VmListState.LEAVING
        assert observed[:2] == [[live, live, live]] * 2
        assert observed[2:7] == [[gone, live, leaving]] * 5
        assert observed[7:] == [[live, live, leaving]] * 3
        assert (await directory.list_vms()).vms_by_name["a"].boot_id == "1"

    anyio.run(run)
