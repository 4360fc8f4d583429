"""Callers' requests as the platform forwards them."""

from __future__ import annotations

import math
from datetime import timedelta
from http import HTTPStatus
from typing import Any

import anyio
import msgspec
from prometheus_client import CONTENT_TYPE_LATEST
from starlette.types import Receive, Scope, Send

from ..batch.decisions import DecisionLines
from ..batch.follow import OperatorFollower
from ..batch.intake import Authorized, Intake
from ..batch.metrics import BatchMetrics
from ..batch.model import JobSpec, StepSpec
from ..clock import Clock
from ..errors import OutcomeUnknownError, RefusedError
from ..outcomes import RefusalReason, Unknown, UnknownReason
from .bodies import read_body, refused

DEFAULT_DEADLINE = timedelta(seconds=3)
"""For callers that do not say how long they wait."""
ANSWER_MARGIN = timedelta(milliseconds=150)
"""An answer is sent this much before the caller stops waiting."""
CHANGING_METHODS = ("POST", "DELETE")
"""A call of these may have changed the store when its time is over."""
MAX_PROOF_AGE_SHARE = 0.95
"""Share of the bound on configuration changes after which a daemon that cannot
prove that it is current refuses calls; what it missed is younger than its proof."""
MAX_KEYED_PROOF_AGE_SHARE = 0.5
"""The same of the bound on withdrawn keys."""
MAX_ID_CHARACTERS = 64
"""Callers choose 16; longer ones are no ids."""

_STATUS = {
    RefusalReason.KEY_MISSING: HTTPStatus.UNAUTHORIZED,
    RefusalReason.KEY_INVALID: HTTPStatus.UNAUTHORIZED,
    RefusalReason.NOT_FOUND: HTTPStatus.NOT_FOUND,
    RefusalReason.INVALID_INPUT: HTTPStatus.BAD_REQUEST,
    RefusalReason.TOO_LARGE: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    RefusalReason.QUEUE_FULL: HTTPStatus.TOO_MANY_REQUESTS,
    RefusalReason.LIMIT_REACHED: HTTPStatus.TOO_MANY_REQUESTS,
}
"""Every other refusal is 503: not run, come again."""


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
    """One label that the executor must have."""
    affinity: str = ""
    """Rack of the data; elsewhere tasks only take longer."""
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
    """Decode a submission; raises RefusedError."""
    try:
        job = msgspec.json.decode(body, type=_Job)
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


class Front:
    """ASGI application of the callers' interface."""

    def __init__(
        self,
        clock: Clock,
        follower: OperatorFollower,
        intake: Intake,
        lines: DecisionLines,
        config_bound: timedelta,
        withdrawal_bound: timedelta,
        metrics: BatchMetrics | None = None,
    ) -> None:
        self._metrics = metrics
        self._clock = clock
        self._follower = follower
        self._intake = intake
        self._lines = lines
        self._max_proof_age = min(
            config_bound * MAX_PROOF_AGE_SHARE,
            withdrawal_bound * MAX_KEYED_PROOF_AGE_SHARE,
        )
        self.closing = False

    @property
    def ready(self) -> bool:
        """Tell whether new connections are welcome."""
        return not self.closing and self._is_current()

    def _is_current(self) -> bool:
        return (
            self._follower.current is not None
            and self._follower.proof_age() <= self._max_proof_age
        )

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request."""
        if scope["type"] != "http":
            return
        method, path = scope["method"], scope["path"]
        started_at = self._clock.monotonic()
        headers = dict(scope["headers"])
        job_id = path.rpartition("/")[2]
        extra: list[tuple[bytes, bytes]] = []
        deadline = started_at + _patience(headers) - ANSWER_MARGIN
        try:
            status, body = await self._answer_in_time(
                method, path, headers, receive, deadline
            )
        except RefusedError as error:
            refusal = error.refusal
            status = _STATUS.get(refusal.reason, HTTPStatus.SERVICE_UNAVAILABLE)
            body = {"error": refusal.reason.value, "detail": refusal.detail}
            if refusal.retry_after is not None:
                seconds = max(1, math.ceil(refusal.retry_after.total_seconds()))
                extra.append((b"retry-after", str(seconds).encode()))
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
            # The caller's next connection goes to a daemon that can serve it.
            extra.append((b"connection", b"close"))
        if self._metrics is not None:
            took = self._clock.monotonic() - started_at
            series = self._metrics.call_seconds.labels(method, str(int(status)))
            series.observe(took.total_seconds())
        content = msgspec.json.encode(body)
        response_headers = [
            (b"content-type", b"application/json"),
            (b"content-length", str(len(content)).encode()),
            *extra,
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
        self._lines.decided(
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

    async def _answer_in_time(
        self,
        method: str,
        path: str,
        headers: dict[bytes, bytes],
        receive: Receive,
        deadline: timedelta,
    ) -> tuple[int, dict[str, Any]]:
        """Answer before the caller stops waiting, whatever the store does.

        A change whose write may have reached the store has an unknown outcome then.
        """
        limit = max(deadline - self._clock.monotonic(), timedelta(0))
        body: bytes | None = None
        with anyio.move_on_after(limit.total_seconds()):
            body = await read_body(receive, self._max_body())
            return await self._answer(method, path, headers, body, deadline)
        if body is None:
            raise refused(RefusalReason.NOT_READY, "the body came too late")
        detail = "no answer from the store while the caller waited"
        if method in CHANGING_METHODS:
            raise OutcomeUnknownError(Unknown(UnknownReason.ANSWER_LOST, detail))
        raise refused(RefusalReason.NOT_READY, detail, seconds=1)

    async def _answer(
        self,
        method: str,
        path: str,
        headers: dict[bytes, bytes],
        body: bytes,
        deadline: timedelta,
    ) -> tuple[int, dict[str, Any]]:
        host = headers.get(b"host", b"").decode("latin-1").partition(":")[0]
        key = headers.get(b"x-credential", b"").decode("latin-1")

        def authorize() -> Authorized:
            return self._authorize(host, path, key)

        queue = authorize().queue
        job_id = path[len(queue.path_prefix) :]
        if not job_id and method == "GET":
            waiting = await self._intake.waiting(queue.name)
            authorize()
            return HTTPStatus.OK, {"waiting": waiting}
        if not job_id or len(job_id) > MAX_ID_CHARACTERS or not job_id.isalnum():
            raise refused(RefusalReason.NOT_FOUND, "no such job")
        if method == "POST":
            await self._intake.submit(job_id, decode_job(body), authorize, deadline)
            return HTTPStatus.OK, {}
        if method == "DELETE":
            if await self._intake.cancel(job_id, deadline):
                return HTTPStatus.OK, {}
            return HTTPStatus.GONE, {"error": "no such job"}
        if method == "GET":
            state = await self._intake.state(job_id)
            authorize()
            if state is None:
                return HTTPStatus.GONE, {"error": "no such job"}
            return HTTPStatus.OK, {"state": state.value}
        return HTTPStatus.METHOD_NOT_ALLOWED, {"error": "method"}

    def _max_body(self) -> int:
        current = self._follower.current
        return current.max_body_bytes if current else 262_144

    def _authorize(self, host: str, path: str, key: str) -> Authorized:
        """Return queue and team of a call; raises RefusedError."""
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
        return Authorized(queue, team, self._follower.revision)


class Readiness:
    """ASGI application that the platform's balancer asks."""

    def __init__(self, front: Front) -> None:
        self._front = front

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer 200 when new connections are welcome, else 503."""
        status = 200 if self._front.ready else 503
        headers = [(b"content-length", b"0")]
        await send(
            {"type": "http.response.start", "status": status, "headers": headers}
        )
        await send({"type": "http.response.body", "body": b""})


class MetricText:
    """ASGI application that serves the metrics at every path."""

    def __init__(self, metrics: BatchMetrics) -> None:
        self._metrics = metrics

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer with all metrics."""
        content = self._metrics.text()
        headers = [
            (b"content-type", CONTENT_TYPE_LATEST.encode()),
            (b"content-length", str(len(content)).encode()),
        ]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        await send({"type": "http.response.body", "body": content})


def _patience(headers: dict[bytes, bytes]) -> timedelta:
    try:
        return timedelta(milliseconds=float(headers[b"x-deadline-ms"]))
    except (KeyError, ValueError, OverflowError):
        return DEFAULT_DEADLINE


def _ms(time: timedelta) -> int:
    return round(time / timedelta(milliseconds=1))
