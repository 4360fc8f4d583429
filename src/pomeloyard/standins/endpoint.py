"""Stand-in for an executor: an HTTP endpoint with a fixed number of slots."""

from __future__ import annotations

import argparse
import time
from dataclasses import dataclass, field, fields
from enum import Enum
from typing import Any

import anyio
import msgspec
import uvicorn
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route
from starlette.types import Receive, Scope, Send

from ..serving import server_config

ALL_METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"]


@dataclass
class Execution:
    """One request that the executor ran, as recorded for audits.

    Times are of the monotonic clock, which all processes of a machine share.
    """

    request_id: str
    idempotency_key: str
    team: str
    method: str
    path: str
    started: float
    ended: float | None = None


class Truncation(Enum):
    """How a response body is truncated to half its length."""

    NONE = ""
    LENGTH = "length"
    CHUNKED = "chunked"


class Echo(Enum):
    """How a response echoes its request ID."""

    RIGHT = "right"
    WRONG = "wrong"
    NONE = "none"


@dataclass(frozen=True, slots=True)
class Behaviour:
    """How requests are handled; each field is also a query parameter.

    ``work_ms`` is how long a request runs, ``status`` and ``size`` are those of
    the response (size 0: a line that names the request, and its body). With
    ``silent``, the request runs and no response is sent.
    """

    work_ms: float = 0.0
    status: int = 200
    size: int = 0
    truncate: Truncation = Truncation.NONE
    echo: Echo = Echo.RIGHT
    silent: bool = False


@dataclass
class EndpointState:
    """Executions and counters of one executor."""

    name: str = "endpoint"
    slots: int = 8
    behaviour: Behaviour = Behaviour()
    executions: list[Execution] = field(default_factory=list)
    running: int = 0
    most_running: int = 0
    over_slots: int = 0


class TruncatedResponse(Response):
    """Response whose connection ends in the middle of the body."""

    def __init__(self, content: bytes, kind: Truncation, **options: Any) -> None:
        super().__init__(content, **options)
        if kind is Truncation.CHUNKED:
            del self.headers["content-length"]

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Send half of the body and abort the connection."""
        start = {"status": self.status_code, "headers": self.raw_headers}
        await send({"type": "http.response.start", **start})
        half = bytes(self.body)[: len(self.body) // 2]
        await send({"type": "http.response.body", "body": half, "more_body": True})
        raise ConnectionAbortedError("truncated on request")


def endpoint_app(state: EndpointState) -> Starlette:
    """Return the ASGI application of an executor.

    ``POST /standin/behaviour`` replaces the default Behaviour, which applies to
    requests without behaviour query parameters.
    """

    async def run(request: Request) -> Response:
        body = await request.body()
        behaviour = _behaviour_of(request, state.behaviour)
        execution = Execution(
            request_id=request.headers.get("x-request-id", ""),
            idempotency_key=request.headers.get("idempotency-key", ""),
            team=request.headers.get("x-team", ""),
            method=request.method,
            path=request.url.path,
            started=time.monotonic(),
        )
        state.executions.append(execution)
        state.running += 1
        state.most_running = max(state.most_running, state.running)
        state.over_slots += state.running > state.slots
        try:
            await anyio.sleep(behaviour.work_ms / 1000)
            while behaviour.silent and not await request.is_disconnected():
                await anyio.sleep(0.05)
        finally:
            state.running -= 1
            execution.ended = time.monotonic()
        return _response(state, behaviour, execution, body)

    async def set_behaviour(request: Request) -> Response:
        body = msgspec.json.decode(await request.body())
        state.behaviour = msgspec.convert(body, Behaviour)
        return JSONResponse({})

    async def audit(request: Request) -> Response:
        return JSONResponse(
            {
                "name": state.name,
                "running": state.running,
                "most_running": state.most_running,
                "over_slots": state.over_slots,
                "executions": [vars(e) for e in state.executions],
            }
        )

    return Starlette(
        routes=[
            Route("/standin/audit", audit),
            Route("/standin/behaviour", set_behaviour, methods=["POST"]),
            Route("/healthz", lambda request: Response("ok")),
            Route("/{path:path}", run, methods=ALL_METHODS),
        ]
    )


def _behaviour_of(request: Request, default: Behaviour) -> Behaviour:
    """Return the default behaviour overridden by the request's query parameters."""
    names = {field.name for field in fields(Behaviour)}
    given = {k: v for k, v in request.query_params.items() if k in names}
    if not given:
        return default
    values = {name: getattr(default, name) for name in names} | given
    return msgspec.convert(values, Behaviour, strict=False)


def _response(
    state: EndpointState, behaviour: Behaviour, execution: Execution, body: bytes
) -> Response:
    content = b"x" * behaviour.size
    if not behaviour.size:
        line = f"{state.name} ran {execution.method} {execution.path} "
        content = line.encode() + body
    headers = {"X-Executor": state.name}
    if behaviour.echo is not Echo.NONE:
        matches = behaviour.echo is Echo.RIGHT
        headers["X-Request-Id"] = execution.request_id if matches else "another"
    if behaviour.truncate is not Truncation.NONE:
        return TruncatedResponse(
            content,
            behaviour.truncate,
            status_code=behaviour.status,
            headers=headers,
        )
    return Response(content, behaviour.status, headers)


def main() -> None:
    """Serve one executor as a process of its own."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--name", default="endpoint")
    parser.add_argument("--slots", type=int, default=8)
    arguments = parser.parse_args()
    state = EndpointState(arguments.name, arguments.slots)
    config = server_config(
        endpoint_app(state), host=arguments.host, port=arguments.port
    )
    uvicorn.Server(config).run()


if __name__ == "__main__":
    main()
