"""Stand-in for a worker: runs sleeping tasks under leases."""

from __future__ import annotations

import argparse
from dataclasses import dataclass, field, replace
from datetime import timedelta

import anyio
import msgspec
import uvicorn
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from ..clock import Clock, SystemClock
from ..serving import server_config
from ..workers.tasks import TaskReport, TaskStart, TaskState

TICK = timedelta(seconds=0.05)
DEFAULT_RUN_SECONDS = 0.5


@dataclass
class Task:
    """A task on this worker; times are of the monotonic clock."""

    start: TaskStart
    started: timedelta
    lease_until: timedelta
    run_seconds: float
    state: TaskState = TaskState.RUNNING
    ended: timedelta | None = None
    speed: float = 1.0


@dataclass
class WorkerState:
    """Tasks of one worker; ended tasks are kept until acknowledged."""

    clock: Clock
    name: str = "worker"
    fail_all: bool = False
    highest_fence: int = 0
    tasks_by_id: dict[str, Task] = field(default_factory=dict)
    history: list[dict[str, object]] = field(default_factory=list)

    def tick(self) -> None:
        """End tasks that have finished or whose lease has expired."""
        now = self.clock.monotonic()
        for task in self.tasks_by_id.values():
            if task.state is not TaskState.RUNNING:
                continue
            if now >= task.lease_until:
                self.end(task, TaskState.LEASE_EXPIRED)
            elif (now - task.started).total_seconds() >= task.run_seconds:
                failed = self.fail_all or task.start.command == "fail"
                self.end(task, TaskState.FAILED if failed else TaskState.SUCCEEDED)

    def end(self, task: Task, state: TaskState) -> None:
        """Record the end of a task."""
        task.state = state
        task.ended = self.clock.monotonic()

    def report(self, task: Task) -> TaskReport:
        """Return what the worker reports about a task."""
        until = task.ended or self.clock.monotonic()
        return TaskReport(
            task_id=task.start.task_id,
            job_id=task.start.job_id,
            state=task.state,
            fence=task.start.fence,
            run_seconds=(until - task.started).total_seconds(),
            peak_cores=task.start.cores,
            peak_memory_bytes=task.start.memory_bytes,
        )


def worker_app(state: WorkerState) -> Starlette:
    """Return the ASGI application of a worker."""

    def fenced(fence: int) -> bool:
        if fence < state.highest_fence:
            return False
        state.highest_fence = fence
        return True

    def stale() -> Response:
        return JSONResponse({"highest_fence": state.highest_fence}, 409)

    async def start(request: Request) -> Response:
        order = msgspec.json.decode(await request.body(), type=TaskStart)
        if not fenced(order.fence):
            return stale()
        if order.task_id not in state.tasks_by_id:
            now = state.clock.monotonic()
            state.tasks_by_id[order.task_id] = Task(
                start=order,
                started=now,
                lease_until=now + timedelta(seconds=order.lease_seconds),
                run_seconds=_run_seconds(order.command),
            )
            state.history.append({"task": order.task_id, "job": order.job_id})
        return JSONResponse({})

    async def renew(request: Request) -> Response:
        body = await request.json()
        if not fenced(body["fence"]):
            return stale()
        state.tick()
        until = state.clock.monotonic() + timedelta(seconds=body["lease_seconds"])
        for task_id in body["task_ids"]:
            task = state.tasks_by_id.get(task_id)
            if task is not None and task.state is TaskState.RUNNING:
                task.lease_until = until
                task.start = replace(task.start, fence=body["fence"])
        reports = [state.report(task) for task in state.tasks_by_id.values()]
        return Response(msgspec.json.encode(reports), media_type="application/json")

    async def acknowledge(request: Request) -> Response:
        body = await request.json()
        if not fenced(body["fence"]):
            return stale()
        for task_id in body["task_ids"]:
            task = state.tasks_by_id.get(task_id)
            if task is not None and task.state is not TaskState.RUNNING:
                del state.tasks_by_id[task_id]
        return JSONResponse({})

    async def signal(request: Request) -> Response:
        body = await request.json()
        if not fenced(body["fence"]):
            return stale()
        task = state.tasks_by_id.get(request.path_params["task_id"])
        if task is not None and task.state is TaskState.RUNNING:
            action = request.path_params["action"]
            if action == "stop":
                state.end(task, TaskState.STOPPED)
            elif action == "checkpoint":
                state.end(task, TaskState.CHECKPOINTED)
        return JSONResponse({})

    async def audit(request: Request) -> Response:
        state.tick()
        running = [
            task.start.task_id
            for task in state.tasks_by_id.values()
            if task.state is TaskState.RUNNING
        ]
        history = state.history
        return JSONResponse({"running": running, "history": history})

    return Starlette(
        routes=[
            Route("/v1/tasks", start, methods=["POST"]),
            Route("/v1/renew", renew, methods=["POST"]),
            Route("/v1/acknowledge", acknowledge, methods=["POST"]),
            Route("/v1/tasks/{task_id}/{action}", signal, methods=["POST"]),
            Route("/standin/audit", audit),
            Route("/healthz", lambda request: Response("ok")),
        ]
    )


def _run_seconds(command: str) -> float:
    """Return the run time of a command such as "sleep 1.5"."""
    words = command.split()
    if len(words) == 2 and words[0] == "sleep":
        return float(words[1])
    return DEFAULT_RUN_SECONDS


async def run_ticks(state: WorkerState) -> None:
    """End finished tasks regularly."""
    while True:
        await state.clock.sleep(TICK)
        state.tick()


def main() -> None:
    """Serve one worker as a process of its own."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--name", default="worker")
    arguments = parser.parse_args()
    state = WorkerState(SystemClock(), arguments.name)
    config = server_config(worker_app(state), host=arguments.host, port=arguments.port)

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(run_ticks, state)
            await uvicorn.Server(config).serve()
            tasks.cancel_scope.cancel()

    anyio.run(run)


if __name__ == "__main__":
    main()
