"""Stand-in for an executor: an HTTP endpoint with a fixed number of slots."""

from __future__ import annotations

import argparse
from dataclasses import dataclass, field

import anyio
import uvicorn
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from ..serving import server_config

ALL_METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"]


@dataclass
class Execution:
    """One request that the executor ran, as its own record for audits."""

    request_id: str
    idempotency_key: str
    team: str
    method: str
    path: str
    started: float
    ended: float | None = None


@dataclass
class EndpointState:
    """Executions and counters of one executor."""

    name: str = "endpoint"
    slots: int = 8
    executions: list[Execution] = field(default_factory=list)
    running: int = 0
    most_running: int = 0
    over_slots: int = 0


def endpoint_app(state: EndpointState) -> Starlette:
    """Return the ASGI application of an executor.

    Query parameters: ``work_ms`` is how long the request runs, ``size`` is the
    length of the response body in bytes, ``status`` its status.
    """

    async def run(request: Request) -> Response:
        body = await request.body()
        execution = Execution(
            request_id=request.headers.get("x-request-id", ""),
            idempotency_key=request.headers.get("idempotency-key", ""),
            team=request.headers.get("x-team", ""),
            method=request.method,
            path=request.url.path,
            started=anyio.current_time(),
        )
        state.executions.append(execution)
        state.running += 1
        state.most_running = max(state.most_running, state.running)
        state.over_slots += state.running > state.slots
        try:
            await anyio.sleep(float(request.query_params.get("work_ms", "0")) / 1000)
        finally:
            state.running -= 1
            execution.ended = anyio.current_time()
        size = int(request.query_params.get("size", "0"))
        content = b"x" * size if size else _echo(state, execution, body)
        return Response(
            content,
            int(request.query_params.get("status", "200")),
            headers={"X-Request-Id": execution.request_id, "X-Executor": state.name},
        )

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
            Route("/healthz", lambda request: Response("ok")),
            Route("/{path:path}", run, methods=ALL_METHODS),
        ]
    )


def _echo(state: EndpointState, execution: Execution, body: bytes) -> bytes:
    line = f"{state.name} ran {execution.method} {execution.path} "
    return line.encode() + body


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
