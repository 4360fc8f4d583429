"""Caller routes for requests to services."""

from __future__ import annotations

from collections.abc import AsyncIterator
from datetime import timedelta

from starlette.requests import Request
from starlette.responses import Response, StreamingResponse
from starlette.routing import Route

from ..authentication import authenticate_team
from ..errors import RefusedError
from ..fleet_state import FleetState
from ..outcomes import RefusalReason, Refused
from ..requests import RequestService, ServiceRequest

ALL_METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"]
HOP_HEADERS = frozenset(
    {
        b"authorization",
        b"connection",
        b"content-length",
        b"host",
        b"keep-alive",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"x-request-id",
        b"x-team",
    }
)
"""Headers that are not passed on in either direction."""


def service_routes(state: FleetState, requests: RequestService) -> list[Route]:
    """Return the routes below /v1/services."""

    async def run_service(request: Request) -> Response:
        key = authenticate_team(state, request.headers.get("authorization"))
        service_request = ServiceRequest(
            service=request.path_params["service"],
            team=key.team,
            method=request.method,
            target=_target(request),
            headers=tuple(
                (k, v) for k, v in request.headers.raw if k not in HOP_HEADERS
            ),
            body=await request.body(),
            timeout=_timeout(request),
            urgent=request.headers.get("priority") == "urgent",
            idempotency_key=request.headers.get("idempotency-key", ""),
        )
        return await _stream(requests, service_request)

    return [
        Route("/v1/services/{service}/{path:path}", run_service, methods=ALL_METHODS),
    ]


async def _stream(requests: RequestService, request: ServiceRequest) -> Response:
    """Start a request and return a response that streams its body."""
    context = requests.run(request)
    response = await context.__aenter__()

    async def chunks() -> AsyncIterator[bytes]:
        failure: BaseException | None = None
        try:
            async for chunk in response.chunks:
                yield chunk
        except BaseException as error:
            failure = error
            raise
        finally:
            await context.__aexit__(type(failure) if failure else None, failure, None)

    result = StreamingResponse(chunks(), response.status)
    result.raw_headers = [
        (k.lower(), v) for k, v in response.headers if k.lower() not in HOP_HEADERS
    ]
    return result


def _target(request: Request) -> str:
    path = "/" + request.path_params["path"]
    return f"{path}?{request.url.query}" if request.url.query else path


def _timeout(request: Request) -> timedelta | None:
    text = request.headers.get("request-timeout")
    if text is None:
        return None
    try:
        seconds = float(text)
    except ValueError:
        seconds = -1.0
    if not 0 < seconds < 86_400:
        raise RefusedError(Refused(RefusalReason.INVALID_INPUT, "Request-Timeout"))
    return timedelta(seconds=seconds)
