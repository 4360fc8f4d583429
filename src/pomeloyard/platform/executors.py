"""Client for the platform's executors."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from typing import TypeVar

import msgspec

from ..batch.executors import (
    EndedTask,
    Executor,
    ExecutorClient,
    ExecutorReport,
    RunningTask,
    StartAnswer,
    StartOrder,
)
from ..batch.progress import EndKind
from ..errors import CallUnansweredError, StaleFenceError
from .codec import decode_json
from .http import HttpClient, Response, always_permitted

INSTANCE_HEADER = "X-Expect-Instance"
MAX_ENDED_TASKS = 500
"""Ended tasks in one response; the rest follow in the next."""

MAX_QUEUE_TIME = timedelta(seconds=1)
"""How long an order may wait for other calls to the same executor."""

T = TypeVar("T")

_START_ANSWER_BY_REASON = {
    "old": StartAnswer.STALE_RUN,
    "late": StartAnswer.TOO_LATE,
    "room": StartAnswer.NO_CAPACITY,
    "ticket": StartAnswer.NO_TICKET,
}


class _StartResponse(msgspec.Struct):
    clock_ms: float | None = None
    """Monotonic clock of the executor, from its start."""
    reason: str = ""


class _HoldResponse(msgspec.Struct):
    clock_ms: float
    running: list[list[object]]
    ended: list[tuple[int, str, int, str, str]]
    born: int = 0
    remaining_ms: float | None = None


class PlatformExecutors(ExecutorClient):
    """Client for all executors; sends nothing once ``permitted`` returns False."""

    def __init__(
        self, client: HttpClient, permitted: Callable[[], bool] = always_permitted
    ) -> None:
        self._client = client
        self._permitted = permitted

    async def start(
        self,
        executor: Executor,
        order: StartOrder,
        timeout: timedelta,
        permitted: Callable[[], bool] = always_permitted,
    ) -> tuple[StartAnswer, timedelta | None]:
        """Order a start; return the result and the executor's clock if it sent one."""
        body: dict[str, object] = {
            "task": order.task,
            "run_id": order.run,
            "task_spec": order.payload,
            "until_ms": _ms(order.lease_until),
            "fencing_token": order.fence,
        }
        if order.saved:
            body["saved"] = order.saved
        if order.ticket:
            body["ticket"] = order.ticket
        response = await self._call(executor, "/run-start", body, timeout, permitted)
        if response.status == 421:
            return StartAnswer.OTHER_INCARNATION, None
        if response.status in (400, 429, 503):
            return StartAnswer.NOT_ACCEPTED, None
        if response.status not in (200, 409):
            raise CallUnansweredError(f"/run-start: status {response.status}")
        decoded = _decode(response, _StartResponse)
        clock = None if decoded.clock_ms is None else to_duration(decoded.clock_ms)
        if response.status == 200:
            return StartAnswer.STARTED, clock
        _check_fence(executor, decoded.reason)
        return _START_ANSWER_BY_REASON.get(
            decoded.reason, StartAnswer.NOT_ACCEPTED
        ), clock

    async def stop(
        self, executor: Executor, task: str, run: int, fence: int, timeout: timedelta
    ) -> None:
        """Stop a run, or invalidate a start order for it that is still in transit."""
        body = {"task": task, "run_id": run, "fencing_token": fence}
        response = await self._call(executor, "/run-stop", body, timeout)
        if response.status == 409:
            _check_fence(executor, _decode(response, _StartResponse).reason)
        if response.status not in (200, 409, 421):
            raise CallUnansweredError(f"/run-stop: status {response.status}")

    async def poll(
        self,
        executor: Executor,
        *,
        fence: int,
        acknowledged: int,
        lease_until: timedelta | None,
        wait: timedelta,
        timeout: timedelta,
    ) -> ExecutorReport:
        """Read both task lists, extend all leases and acknowledge ended tasks."""
        body: dict[str, object] = {"fencing_token": fence, "last_seen": acknowledged}
        if lease_until is not None:
            body["until_ms"] = _ms(lease_until)
        if wait:
            body["wait_ms"] = _ms(wait)
        response = await self._call(executor, "/hold", body, timeout)
        if response.status == 409:
            _check_fence(executor, _decode(response, _StartResponse).reason)
        if response.status != 200:
            raise CallUnansweredError(f"/hold: status {response.status}")
        lists = _decode(response, _HoldResponse)
        return ExecutorReport(
            clock=to_duration(lists.clock_ms),
            incarnation=lists.born,
            running=tuple(_running_task(row) for row in lists.running),
            ended=tuple(_ended_task(*row) for row in lists.ended),
            ended_truncated=len(lists.ended) >= MAX_ENDED_TASKS,
            draining=lists.remaining_ms is not None,
        )

    async def limit_cpu(
        self,
        executor: Executor,
        task: str,
        run: int,
        percent: int,
        fence: int,
        timeout: timedelta,
    ) -> None:
        """Throttle a run to a percentage of its full speed."""
        body = {
            "task": task,
            "run_id": run,
            "percent": percent,
            "fencing_token": fence,
        }
        response = await self._call(executor, "/pace", body, timeout)
        if response.status == 409:
            _check_fence(executor, _decode(response, _StartResponse).reason)

    async def _call(
        self,
        executor: Executor,
        path: str,
        body: object,
        timeout: timedelta,
        permitted: Callable[[], bool] = always_permitted,
    ) -> Response:
        return await self._client.request(
            "POST",
            executor.address,
            path,
            timeout,
            msgspec.json.encode(body),
            {INSTANCE_HEADER: executor.executor_id},
            lambda: self._permitted() and permitted(),
            MAX_QUEUE_TIME,
        )


def _running_task(row: list[object]) -> RunningTask:
    try:
        task, run, saved, percent, *rest = row
        gauge = rest[0] if rest else 0
        return RunningTask(
            str(task),
            int(run),  # type: ignore[call-overload]
            str(saved or ""),
            int(percent),  # type: ignore[call-overload]
            int(gauge or 0),  # type: ignore[call-overload]
        )
    except (ValueError, TypeError, OverflowError) as error:
        raise CallUnansweredError(f"cannot decode running task {row!r}") from error


def _ended_task(number: int, task: str, run: int, kind: str, saved: str) -> EndedTask:
    try:
        return EndedTask(number, task, run, EndKind(kind), saved)
    except ValueError as error:
        raise CallUnansweredError(
            f"unknown end kind {kind!r} of task {task}"
        ) from error


def _decode(response: Response, kind: type[T]) -> T:
    try:
        return decode_json(response.body, kind)
    except msgspec.MsgspecError as error:
        raise CallUnansweredError(f"cannot decode response: {error}") from error


def _check_fence(executor: Executor, reason: str) -> None:
    if reason == "fence":
        raise StaleFenceError(
            f"executor {executor.executor_id} has seen a higher fencing token"
        )


def _ms(time: timedelta) -> int:
    return round(time / timedelta(milliseconds=1))


def to_duration(milliseconds: float) -> timedelta:
    """Convert a duration sent by a peer; raises CallUnansweredError."""
    try:
        return timedelta(milliseconds=milliseconds)
    except OverflowError as error:
        raise CallUnansweredError(
            f"duration out of range: {milliseconds} ms"
        ) from error
