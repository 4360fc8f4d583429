"""HTTP API for callers, whose requests the platform forwards."""

from __future__ import annotations

import math
from datetime import timedelta
from http import HTTPStatus
from typing import Any

import anyio
import msgspec
from prometheus_client import CONTENT_TYPE_LATEST
from starlette.types import Receive, Scope, Send

from ..batch.configuration_follower import ConfigurationFollower
from ..batch.decision_log import JobDecisionLog
from ..batch.job_service import AuthorizedCall, JobService
from ..batch.metrics import BatchMetrics
from ..batch.model import JobSpec, StepSpec
from ..clock import Clock
from ..errors import OutcomeUnknownError, RefusedError
from ..outcomes import RefusalReason, Unknown, UnknownReason
from .bodies import read_body, refused
from .codec import decode_json

DEFAULT_CALL_TIMEOUT = timedelta(seconds=3)
"""Applies to requests without a deadline header."""
RESPONSE_MARGIN = timedelta(milliseconds=150)
"""A response is sent this long before the caller times out."""
MUTATING_METHODS = ("POST", "DELETE")
"""A request with one of these may have changed the store when it times out."""
MAX_CONFIG_AGE_RATIO = 0.95
"""Fraction of the bound on configuration changes. A daemon that last verified its
configuration longer ago refuses calls; a change that it missed is newer than that."""
MAX_KEY_AGE_RATIO = 0.5
"""The corresponding fraction of the bound on withdrawn keys."""
MAX_JOB_ID_LENGTH = 64
"""Callers use 16 characters; longer paths are not job ids."""

_STATUS_BY_REASON = {
    RefusalReason.KEY_MISSING: HTTPStatus.UNAUTHORIZED,
    RefusalReason.KEY_INVALID: HTTPStatus.UNAUTHORIZED,
    RefusalReason.NOT_FOUND: HTTPStatus.NOT_FOUND,
    RefusalReason.INVALID_INPUT: HTTPStatus.BAD_REQUEST,
    RefusalReason.TOO_LARGE: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    RefusalReason.QUEUE_FULL: HTTPStatus.TOO_MANY_REQUESTS,
    RefusalReason.LIMIT_REACHED: HTTPStatus.TOO_MANY_REQUESTS,
}
"""All other refusals are 503: the call had no effect and may be retried."""


class _Step(msgspec.Struct):
    count: int
    cpu: int = 0
    """Thousandths of a core."""
    mem_mb: int = 0
    gpu: int = 0
    est_ms: int = 0
    after: list[int] = []
    saves_progress: bool = False
    gang: bool = False
    same_rack: bool = False
    requirements: str = ""
    """A label that the executor must have."""
    affinity: str = ""
    """Rack of the data; tasks also run in other racks, but take longer."""
    max_per_server: int = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    target_ms: int = 0
    fills: bool = False
    may_miss: int = 0


class _Job(msgspec.Struct):
    steps: list[_Step]
    task_spec: str = ""
    first_ms: int = 0
    interval_ms: int = 0
    repeat_count: int = 0


def decode_job(body: bytes) -> JobSpec:
    """Decode a submitted job; raises RefusedError."""
    try:
        job = decode_json(body, _Job)
    except msgspec.MsgspecError as error:
        raise refused(RefusalReason.INVALID_INPUT, str(error)) from error
    return JobSpec(
        payload=job.task_spec,
        steps=tuple(_step(step) for step in job.steps),
        first_due_ms=job.first_ms,
        interval_ms=job.interval_ms,
        occurrences=job.repeat_count,
    )


def _step(step: _Step) -> StepSpec:
    return StepSpec(
        count=step.count,
        cpu_millis=step.cpu,
        memory_mb=step.mem_mb,
        accelerators=step.gpu,
        estimate_ms=step.est_ms,
        after=tuple(step.after),
        checkpoints=step.saves_progress,
        gang=step.gang,
        same_rack=step.same_rack,
        label=step.requirements,
        data_rack=step.affinity,
        max_per_executor=step.max_per_server,
        speculative=step.speculative,
        lasting=step.long_running,
        image=step.image,
        target_tail_ms=step.target_ms,
        fills=step.fills,
        may_be_away=step.may_miss,
    )


class CallerApp:
    """ASGI application for callers: submit, query and cancel jobs."""

    def __init__(
        self,
        clock: Clock,
        follower: ConfigurationFollower,
        job_service: JobService,
        decision_log: JobDecisionLog,
        config_bound: timedelta,
        withdrawal_bound: timedelta,
        metrics: BatchMetrics | None = None,
    ) -> None:
        self._metrics = metrics
        self._clock = clock
        self._follower = follower
        self._job_service = job_service
        self._decision_log = decision_log
        self._max_config_age = min(
            config_bound * MAX_CONFIG_AGE_RATIO,
            withdrawal_bound * MAX_KEY_AGE_RATIO,
        )
        self.closing = False

    @property
    def ready(self) -> bool:
        """Tell whether the daemon accepts new connections."""
        return not self.closing and self._is_current()

    def _is_current(self) -> bool:
        return (
            self._follower.current is not None
            and self._follower.proof_age() <= self._max_config_age
        )

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one request."""
        if scope["type"] != "http":
            return
        method, path = scope["method"], scope["path"]
        started_at = self._clock.monotonic()
        headers = dict(scope["headers"])
        job_id = path.rpartition("/")[2]
        extra_headers: list[tuple[bytes, bytes]] = []
        deadline = started_at + _call_timeout(headers) - RESPONSE_MARGIN
        try:
            status, body = await self._handle_in_time(
                method, path, headers, receive, deadline
            )
        except RefusedError as error:
            refusal = error.refusal
            status = _STATUS_BY_REASON.get(
                refusal.reason, HTTPStatus.SERVICE_UNAVAILABLE
            )
            body = {"error": refusal.reason.value, "detail": refusal.detail}
            if refusal.retry_after is not None:
                seconds = max(1, math.ceil(refusal.retry_after.total_seconds()))
                extra_headers.append((b"retry-after", str(seconds).encode()))
            self._log(method, path, job_id, status, started_at, refusal.detail)
        except OutcomeUnknownError as error:
            status = HTTPStatus.GATEWAY_TIMEOUT
            unknown = error.unknown
            body = {"error": unknown.reason.value, "detail": unknown.detail}
            self._log(method, path, job_id, status, started_at, unknown.detail)
        else:
            if method != "GET":
                self._log(method, path, job_id, status, started_at, "")
        if self.closing or status == HTTPStatus.SERVICE_UNAVAILABLE:
            # The caller reconnects through the balancer, to a daemon that is ready.
            extra_headers.append((b"connection", b"close"))
        if self._metrics is not None:
            took = self._clock.monotonic() - started_at
            series = self._metrics.call_seconds.labels(method, str(int(status)))
            series.observe(took.total_seconds())
        content = msgspec.json.encode(body)
        response_headers = [
            (b"content-type", b"application/json"),
            (b"content-length", str(len(content)).encode()),
            *extra_headers,
        ]
        await send(
            {
                "type": "http.response.start",
                "status": int(status),
                "headers": response_headers,
            }
        )
        await send({"type": "http.response.body", "body": content})

    def _log(
        self,
        method: str,
        path: str,
        job_id: str,
        status: int,
        started_at: timedelta,
        detail: str,
    ) -> None:
        age = self._follower.proof_age()
        version = self._follower.current.version if self._follower.current else 0
        took = self._clock.monotonic() - started_at
        self._decision_log.record(
            "call",
            job_id,
            str(int(status)),
            method=method,
            path=path,
            config=version,
            config_age_ms=_ms(min(age, timedelta(days=1))),
            took_ms=_ms(took),
            detail=detail,
        )

    async def _handle_in_time(
        self,
        method: str,
        path: str,
        headers: dict[bytes, bytes],
        receive: Receive,
        deadline: timedelta,
    ) -> tuple[int, dict[str, Any]]:
        """Respond before the caller times out, even if the store does not answer.

        On a time-out, a request that changes the store has an unknown outcome.
        """
        limit = max(deadline - self._clock.monotonic(), timedelta(0))
        body: bytes | None = None
        with anyio.move_on_after(limit.total_seconds()):
            body = await read_body(receive, self._max_body())
            return await self._handle(method, path, headers, body, deadline)
        if body is None:
            raise refused(RefusalReason.NOT_READY, "the body came too late")
        detail = "no answer from the store while the caller waited"
        if method in MUTATING_METHODS:
            raise OutcomeUnknownError(Unknown(UnknownReason.ANSWER_LOST, detail))
        raise refused(RefusalReason.NOT_READY, detail, seconds=1)

    async def _handle(
        self,
        method: str,
        path: str,
        headers: dict[bytes, bytes],
        body: bytes,
        deadline: timedelta,
    ) -> tuple[int, dict[str, Any]]:
        host = headers.get(b"host", b"").decode("latin-1").partition(":")[0]
        key = headers.get(b"x-credential", b"").decode("latin-1")

        def authorize() -> AuthorizedCall:
            return self._authorize(host, path, key)

        queue = authorize().queue
        job_id = path[len(queue.path_prefix) :]
        if not job_id and method == "GET":
            waiting = await self._job_service.count_waiting(queue.name)
            authorize()
            return HTTPStatus.OK, {"waiting": waiting}
        if not job_id or len(job_id) > MAX_JOB_ID_LENGTH or not job_id.isalnum():
            raise refused(RefusalReason.NOT_FOUND, "no such job")
        if method == "POST":
            await self._job_service.submit(
                job_id, decode_job(body), authorize, deadline
            )
            return HTTPStatus.OK, {}
        if method == "DELETE":
            team = authorize().team
            if await self._job_service.cancel(job_id, team, deadline):
                return HTTPStatus.OK, {}
            return HTTPStatus.GONE, {"error": "no such job"}
        if method == "GET":
            state = await self._job_service.state(job_id)
            authorize()
            if state is None:
                return HTTPStatus.GONE, {"error": "no such job"}
            return HTTPStatus.OK, {"state": state.value}
        return HTTPStatus.METHOD_NOT_ALLOWED, {"error": "method"}

    def _max_body(self) -> int:
        current = self._follower.current
        return current.max_body_bytes if current else 262_144

    def _authorize(self, host: str, path: str, key: str) -> AuthorizedCall:
        """Return the queue and the team of a call; raises RefusedError."""
        current = self._follower.current
        if current is None or not self._is_current():
            raise refused(
                RefusalReason.NOT_READY, "configuration may be outdated", seconds=1
            )
        queue = current.queue_at(host, path)
        if queue is None:
            raise refused(RefusalReason.NOT_FOUND, "no such queue")
        team = current.team_by_key.get(key, "")
        if not team and not queue.public:
            raise refused(RefusalReason.KEY_INVALID, "unknown key")
        return AuthorizedCall(queue, team, self._follower.revision)


class ReadinessApp:
    """ASGI application for the readiness check of the platform's load balancer."""

    def __init__(self, caller_app: CallerApp) -> None:
        self._caller_app = caller_app

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Respond 200 if the daemon accepts new connections, else 503."""
        status = 200 if self._caller_app.ready else 503
        headers = [(b"content-length", b"0")]
        await send(
            {"type": "http.response.start", "status": status, "headers": headers}
        )
        await send({"type": "http.response.body", "body": b""})


class MetricsApp:
    """ASGI application that serves the metrics on every path."""

    def __init__(self, metrics: BatchMetrics) -> None:
        self._metrics = metrics

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Respond with all metrics in text form."""
        content = self._metrics.text()
        headers = [
            (b"content-type", CONTENT_TYPE_LATEST.encode()),
            (b"content-length", str(len(content)).encode()),
        ]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        await send({"type": "http.response.body", "body": content})


def _call_timeout(headers: dict[bytes, bytes]) -> timedelta:
    try:
        return timedelta(milliseconds=float(headers[b"x-deadline-ms"]))
    except (KeyError, ValueError, OverflowError):
        return DEFAULT_CALL_TIMEOUT


def _ms(time: timedelta) -> int:
    return round(time / timedelta(milliseconds=1))
