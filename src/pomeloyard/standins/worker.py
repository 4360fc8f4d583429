"""Stand-in for a worker: runs sleeping tasks under leases."""

from __future__ import annotations

import argparse
import time
from collections import deque
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
THROTTLED_SPEED = 0.5


@dataclass(frozen=True, slots=True)
class WorkerBehaviour:
    """Faults of a worker.

    ``report_lag`` is the age of reports in seconds. The factors are the ratio of
    actual usage to the declared size, unless a command states its own usage.
    """

    fail_all: bool = False
    report_lag: float = 0.0
    cores_factor: float = 1.0
    memory_factor: float = 1.0


@dataclass(frozen=True, slots=True)
class Command:
    """A parsed command such as ``sleep 1.5 cores=3 memory=1000`` or ``fail``."""

    run_seconds: float = DEFAULT_RUN_SECONDS
    fails: bool = False
    cores: float | None = None
    memory: float | None = None


@dataclass
class Task:
    """A task on this worker; times are of the monotonic clock."""

    start: TaskStart
    started: timedelta
    lease_until: timedelta
    command: Command
    state: TaskState = TaskState.RUNNING
    ended: timedelta | None = None
    speed: float = 1.0
    progress_seconds: float = 0.0
    checkpoint: str = ""
    record: dict[str, object] = field(default_factory=dict)


@dataclass
class WorkerState:
    """Tasks of one worker; ended tasks are retained until acknowledged."""

    clock: Clock
    name: str = "worker"
    fail_all: bool = False
    highest_fence: int = 0
    behaviour: WorkerBehaviour = WorkerBehaviour()
    tasks_by_id: dict[str, Task] = field(default_factory=dict)
    history: list[dict[str, object]] = field(default_factory=list)
    snapshots: deque[tuple[timedelta, list[TaskReport]]] = field(default_factory=deque)
    ticked_at: timedelta | None = None

    def start_task(self, start_request: TaskStart) -> None:
        """Start a task, from its checkpoint if it has one."""
        now = self.clock.monotonic()
        record: dict[str, object] = {
            "task": start_request.task_id,
            "job": start_request.job_id,
            "team": start_request.team,
            "cores": start_request.cores,
            "fence": start_request.fence,
            "started": time.monotonic(),
            "ended": None,
            "state": TaskState.RUNNING.value,
        }
        self.history.append(record)
        self.tasks_by_id[start_request.task_id] = Task(
            start=start_request,
            started=now,
            lease_until=now + timedelta(seconds=start_request.lease_seconds),
            command=parse_command(start_request.command),
            progress_seconds=_saved_seconds(start_request.checkpoint),
            record=record,
        )

    def tick(self) -> None:
        """End tasks that have finished or whose lease has expired."""
        now = self.clock.monotonic()
        elapsed = (now - (self.ticked_at or now)).total_seconds()
        self.ticked_at = now
        for task in self.tasks_by_id.values():
            if task.state is not TaskState.RUNNING:
                continue
            run = min(elapsed, (now - task.started).total_seconds())
            task.progress_seconds += run * task.speed
            if now >= task.lease_until:
                self.end(task, TaskState.LEASE_EXPIRED)
            elif task.progress_seconds >= task.command.run_seconds:
                fail_all = self.fail_all or self.behaviour.fail_all
                failed = fail_all or task.command.fails
                self.end(task, TaskState.FAILED if failed else TaskState.SUCCEEDED)
        self._snapshot(now)

    def end(self, task: Task, state: TaskState) -> None:
        """Record the end of a task."""
        task.state = state
        task.ended = self.clock.monotonic()
        task.record.update(ended=time.monotonic(), state=state.value)
        if state is TaskState.CHECKPOINTED:
            task.checkpoint = f"{task.start.task_id}@{task.progress_seconds:.3f}"

    def report(self, task: Task) -> TaskReport:
        """Return the current state and usage of a task."""
        until = task.ended or self.clock.monotonic()
        command, behaviour = task.command, self.behaviour
        cores = task.start.cores * behaviour.cores_factor
        memory = task.start.memory_bytes * behaviour.memory_factor
        return TaskReport(
            task_id=task.start.task_id,
            job_id=task.start.job_id,
            state=task.state,
            fence=task.start.fence,
            run_seconds=(until - task.started).total_seconds(),
            peak_cores=cores if command.cores is None else command.cores,
            peak_memory_bytes=int(memory if command.memory is None else command.memory),
            checkpoint=task.checkpoint,
        )

    def reports(self) -> list[TaskReport]:
        """Return the worker's reports as of ``report_lag`` ago."""
        self.tick()
        return self.snapshots[0][1]

    def _snapshot(self, now: timedelta) -> None:
        reports = [self.report(task) for task in self.tasks_by_id.values()]
        self.snapshots.append((now, reports))
        until = now - timedelta(seconds=self.behaviour.report_lag)
        while len(self.snapshots) > 1 and self.snapshots[1][0] <= until:
            self.snapshots.popleft()


def worker_app(state: WorkerState) -> Starlette:
    """Return the ASGI application of a worker."""

    def accepts_fence(fence: int) -> bool:
        if fence < state.highest_fence:
            return False
        state.highest_fence = fence
        return True

    def stale_fence_response() -> Response:
        return JSONResponse({"highest_fence": state.highest_fence}, 409)

    async def start(request: Request) -> Response:
        start_request = msgspec.json.decode(await request.body(), type=TaskStart)
        if not accepts_fence(start_request.fence):
            return stale_fence_response()
        if start_request.task_id not in state.tasks_by_id:
            state.start_task(start_request)
        return JSONResponse({})

    async def renew(request: Request) -> Response:
        body = await request.json()
        if not accepts_fence(body["fence"]):
            return stale_fence_response()
        state.tick()
        until = state.clock.monotonic() + timedelta(seconds=body["lease_seconds"])
        for task_id in body["task_ids"]:
            task = state.tasks_by_id.get(task_id)
            if task is not None and task.state is TaskState.RUNNING:
                task.lease_until = until
                task.start = replace(task.start, fence=body["fence"])
        reports = msgspec.json.encode(state.reports())
        return Response(reports, media_type="application/json")

    async def acknowledge(request: Request) -> Response:
        body = await request.json()
        if not accepts_fence(body["fence"]):
            return stale_fence_response()
        for task_id in body["task_ids"]:
            task = state.tasks_by_id.get(task_id)
            if task is not None and task.state is not TaskState.RUNNING:
                del state.tasks_by_id[task_id]
        return JSONResponse({})

    async def signal(request: Request) -> Response:
        body = await request.json()
        if not accepts_fence(body["fence"]):
            return stale_fence_response()
        task = state.tasks_by_id.get(request.path_params["task_id"])
        if task is not None and task.state is TaskState.RUNNING:
            state.tick()
            action = request.path_params["action"]
            if action == "throttle":
                task.speed = THROTTLED_SPEED
            elif task.state is TaskState.RUNNING and action in _END_STATES_BY_ACTION:
                state.end(task, _END_STATES_BY_ACTION[action])
        return JSONResponse({})

    async def set_behaviour(request: Request) -> Response:
        body = msgspec.json.decode(await request.body())
        state.behaviour = msgspec.convert(body, WorkerBehaviour)
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
            Route("/standin/behaviour", set_behaviour, methods=["POST"]),
            Route("/healthz", lambda request: Response("ok")),
        ]
    )


_END_STATES_BY_ACTION = {
    "stop": TaskState.STOPPED,
    "checkpoint": TaskState.CHECKPOINTED,
}


def parse_command(text: str) -> Command:
    """Parse a task's command.

    >>> parse_command("sleep 1.5 cores=3").cores
    3.0
    >>> parse_command("fail").fails
    True
    """
    words = text.split()
    values = dict(word.split("=", 1) for word in words if "=" in word)
    seconds = words[1] if words[:1] == ["sleep"] and len(words) > 1 else None
    return Command(
        run_seconds=float(seconds) if seconds else DEFAULT_RUN_SECONDS,
        fails="fail" in words,
        cores=float(values["cores"]) if "cores" in values else None,
        memory=float(values["memory"]) if "memory" in values else None,
    )


def _saved_seconds(checkpoint: str) -> float:
    """Return the seconds of work saved in a checkpoint."""
    return float(checkpoint.rpartition("@")[2] or 0)


async def run_ticks(state: WorkerState) -> None:
    """End finished and expired tasks periodically."""
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
