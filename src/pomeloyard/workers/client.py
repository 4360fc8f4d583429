"""Client of workers: interface and HTTP implementation."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Sequence
from datetime import timedelta
from typing import Any

import anyio
import httpcore
import msgspec

from ..outcomes import Done, Outcome, RefusalReason, Refused, Unknown, UnknownReason
from .tasks import TaskAction, TaskReport, TaskStart

CALL_TIMEOUT = timedelta(seconds=2)
HTTP_CONFLICT = 409
HTTP_SERVER_ERROR = 500


class WorkerClient(ABC):
    """Task interface of workers.

    A worker refuses calls whose fencing token is lower than the highest that it
    has seen, with RefusalReason.STALE_FENCE.
    """

    @abstractmethod
    async def start_task(self, address: str, task: TaskStart) -> Outcome[None]:
        """Start a task; repeating this with the same task id has no effect."""

    @abstractmethod
    async def renew(
        self, address: str, fence: int, lease_seconds: float, task_ids: Sequence[str]
    ) -> Outcome[list[TaskReport]]:
        """Renew the leases of tasks and return reports of all tasks."""

    @abstractmethod
    async def acknowledge(
        self, address: str, fence: int, task_ids: Sequence[str]
    ) -> Outcome[None]:
        """Allow the worker to discard the reports of ended tasks."""

    @abstractmethod
    async def signal(
        self, address: str, task_id: str, fence: int, action: TaskAction
    ) -> Outcome[None]:
        """Request an action on a running task; its effect shows in later reports."""

    async def close(self) -> None:  # noqa: B027
        """Release connections."""


class HttpWorkerClient(WorkerClient):
    """Client of the task interface over HTTP."""

    def __init__(self, call_timeout: timedelta = CALL_TIMEOUT) -> None:
        self._timeout = call_timeout.total_seconds()
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=256, max_keepalive_connections=256, keepalive_expiry=10.0
        )

    async def close(self) -> None:
        """Close all connections."""
        await self._pool.aclose()

    async def start_task(self, address: str, task: TaskStart) -> Outcome[None]:
        """Start a task; repeating this with the same task id has no effect."""
        return _discard_value(await self._call(address, "/v1/tasks", task))

    async def renew(
        self, address: str, fence: int, lease_seconds: float, task_ids: Sequence[str]
    ) -> Outcome[list[TaskReport]]:
        """Renew the leases of tasks and return reports of all tasks."""
        body = {
            "fence": fence,
            "lease_seconds": lease_seconds,
            "task_ids": list(task_ids),
        }
        outcome = await self._call(address, "/v1/renew", body)
        if not isinstance(outcome, Done):
            return outcome
        try:
            return Done(msgspec.json.decode(outcome.value, type=list[TaskReport]))
        except msgspec.MsgspecError as error:
            return Unknown(UnknownReason.ANSWER_MISMATCHED, str(error))

    async def acknowledge(
        self, address: str, fence: int, task_ids: Sequence[str]
    ) -> Outcome[None]:
        """Allow the worker to discard the reports of ended tasks."""
        body = {"fence": fence, "task_ids": list(task_ids)}
        return _discard_value(await self._call(address, "/v1/acknowledge", body))

    async def signal(
        self, address: str, task_id: str, fence: int, action: TaskAction
    ) -> Outcome[None]:
        """Request an action on a running task."""
        path = f"/v1/tasks/{task_id}/{action.value}"
        return _discard_value(await self._call(address, path, {"fence": fence}))

    async def _call(self, address: str, path: str, body: Any) -> Outcome[bytes]:
        try:
            with anyio.fail_after(self._timeout):
                response = await self._pool.request(
                    "POST",
                    f"http://{address}{path}",
                    headers={"Content-Type": "application/json"},
                    content=msgspec.json.encode(body),
                )
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
            return Refused(RefusalReason.ENDPOINT_UNREACHABLE, repr(error))
        except (TimeoutError, httpcore.TimeoutException) as error:
            return Unknown(UnknownReason.TIMEOUT, repr(error))
        except (httpcore.NetworkError, httpcore.ProtocolError) as error:
            return Unknown(UnknownReason.CONNECTION_LOST, repr(error))
        if response.status == HTTP_CONFLICT:
            return Refused(RefusalReason.STALE_FENCE, response.content.decode())
        if response.status >= HTTP_SERVER_ERROR:
            return Unknown(UnknownReason.ANSWER_LOST, f"status {response.status}")
        if response.status != 200:
            return Refused(RefusalReason.INVALID_INPUT, response.content.decode())
        return Done(response.content)


def _discard_value(outcome: Outcome[bytes]) -> Outcome[None]:
    return Done(None) if isinstance(outcome, Done) else outcome
