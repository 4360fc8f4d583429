"""Calls to the platform's executors."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from typing import TypeVar

import msgspec

from ..batch.executors import (
    EndedTask,
    Executor,
    ExecutorClient,
    Report,
    RunningTask,
    StartAnswer,
    StartOrder,
)
from ..batch.progress import EndKind
from ..errors import CallUnansweredError, StaleFenceError
from .http import Answer, HttpCaller, always

INSTANCE_HEADER = "X-Expect-Instance"
MAX_ENDS = 500
"""Ends in one answer; more follow in the next."""

T = TypeVar("T")

_ANSWERS = {
    "old": StartAnswer.STALE_RUN,
    "late": StartAnswer.TOO_LATE,
    "room": StartAnswer.NO_ROOM,
    "ticket": StartAnswer.NO_TICKET,
}


class _Clock(msgspec.Struct):
    clock_ms: float | None = None
    """Steady clock of the executor, from its start."""
    reason: str = ""


class _Lists(msgspec.Struct):
    clock_ms: float
    running: list[list[object]]
    ended: list[tuple[int, str, int, str, str]]
    born: int = 0
    remaining_ms: float | None = None


class PlatformExecutors(ExecutorClient):
    """Client of all executors; calls only while ``permitted`` says so."""

    def __init__(
        self, caller: HttpCaller, permitted: Callable[[], bool] = always
    ) -> None:
        self._caller = caller
        self._permitted = permitted

    async def start(
        self, executor: Executor, order: StartOrder, timeout: timedelta
    ) -> tuple[StartAnswer, timedelta | None]:
        """Order a start; return the answer and the executor's clock if it told."""
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
        answer = await self._call(executor, "/run-start", body, timeout)
        if answer.status == 421:
            return StartAnswer.OTHER_INCARNATION, None
        if answer.status in (400, 429, 503):
            return StartAnswer.NOT_TAKEN, None
        if answer.status not in (200, 409):
            raise CallUnansweredError(f"/run-start: status {answer.status}")
        told = _decode(answer, _Clock)
        clock = None if told.clock_ms is None else time_of(told.clock_ms)
        if answer.status == 200:
            return StartAnswer.STARTED, clock
        _check_fence(executor, told.reason)
        return _ANSWERS.get(told.reason, StartAnswer.NOT_TAKEN), clock

    async def stop(
        self, executor: Executor, task: str, run: int, fence: int, timeout: timedelta
    ) -> None:
        """Stop a run, or make a start of it that has not arrived void."""
        body = {"task": task, "run_id": run, "fencing_token": fence}
        answer = await self._call(executor, "/run-stop", body, timeout)
        if answer.status == 409:
            _check_fence(executor, _decode(answer, _Clock).reason)
        if answer.status not in (200, 409, 421):
            raise CallUnansweredError(f"/run-stop: status {answer.status}")

    async def look(
        self,
        executor: Executor,
        *,
        fence: int,
        acknowledged: int,
        lease_until: timedelta | None,
        wait: timedelta,
        timeout: timedelta,
    ) -> Report:
        """Read both lists, extend all leases and acknowledge ends."""
        body: dict[str, object] = {"fencing_token": fence, "last_seen": acknowledged}
        if lease_until is not None:
            body["until_ms"] = _ms(lease_until)
        if wait:
            body["wait_ms"] = _ms(wait)
        answer = await self._call(executor, "/hold", body, timeout)
        if answer.status == 409:
            _check_fence(executor, _decode(answer, _Clock).reason)
        if answer.status != 200:
            raise CallUnansweredError(f"/hold: status {answer.status}")
        lists = _decode(answer, _Lists)
        return Report(
            clock=time_of(lists.clock_ms),
            incarnation=lists.born,
            running=tuple(_running(row) for row in lists.running),
            ended=tuple(_end(*row) for row in lists.ended),
            ended_truncated=len(lists.ended) >= MAX_ENDS,
            draining=lists.remaining_ms is not None,
        )

    async def pace(
        self,
        executor: Executor,
        task: str,
        run: int,
        percent: int,
        fence: int,
        timeout: timedelta,
    ) -> None:
        """Limit the share at which a run works."""
        body = {
            "task": task,
            "run_id": run,
            "percent": percent,
            "fencing_token": fence,
        }
        answer = await self._call(executor, "/pace", body, timeout)
        if answer.status == 409:
            _check_fence(executor, _decode(answer, _Clock).reason)

    async def _call(
        self, executor: Executor, path: str, body: object, timeout: timedelta
    ) -> Answer:
        return await self._caller.call(
            "POST",
            executor.address,
            path,
            timeout,
            msgspec.json.encode(body),
            {INSTANCE_HEADER: executor.executor_id},
            self._permitted,
        )


def _running(row: list[object]) -> RunningTask:
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
        raise CallUnansweredError(f"unreadable row {row!r}") from error


def _end(number: int, task: str, run: int, how: str, saved: str) -> EndedTask:
    try:
        return EndedTask(number, task, run, EndKind(how), saved)
    except ValueError as error:
        raise CallUnansweredError(f"unknown end {how!r} of {task}") from error


def _decode(answer: Answer, kind: type[T]) -> T:
    try:
        return msgspec.json.decode(answer.body, type=kind)
    except msgspec.MsgspecError as error:
        raise CallUnansweredError(f"unreadable answer: {error}") from error


def _check_fence(executor: Executor, reason: str) -> None:
    if reason == "fence":
        raise StaleFenceError(f"executor {executor.executor_id} knows a higher fence")


def _ms(time: timedelta) -> int:
    return round(time / timedelta(milliseconds=1))


def time_of(milliseconds: float) -> timedelta:
    """Return a length of time that a peer told; raises CallUnansweredError."""
    try:
        return timedelta(milliseconds=milliseconds)
    except OverflowError as error:
        raise CallUnansweredError(f"no time: {milliseconds}") from error
