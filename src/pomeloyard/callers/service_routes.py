"""Routes for requests to services."""

from __future__ import annotations

import math
from datetime import timedelta

from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from ..authentication import authenticate_team
from ..errors import RefusedError
from ..fleet_state import FleetState
from ..outcomes import RefusalReason, Refused
from ..requests.service import RequestService, ServiceRequest
from .bodies import CallerBody
from .headers import request_headers
from .streaming import RelayedResponse

ALL_METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"]
MAX_IDEMPOTENCY_KEY_LENGTH = 255
MAX_REQUEST_TIMEOUT_SECONDS = 86_400


def service_routes(state: FleetState, requests: RequestService) -> list[Route]:
    """Return the routes under /v1/services."""

    async def run_service(request: Request) -> Response:
        key = authenticate_team(state, request.headers.get("authorization"))
        service = requests.service(request.path_params["service"])
        if request.scope["http_version"] == "1.0":
            # Without chunked encoding, a lost connection looks like the end of a body.
            raise _invalid("HTTP/1.1 is required")
        length = _content_length(request)
        body = CallerBody(request.receive, length, service.max_body_bytes)
        idempotency_key = _idempotency_key(request)
        service_request = ServiceRequest(
            service=service.name,
            team=key.team,
            key_id=key.key_id,
            method=request.method,
            target=_target(request),
            headers=request_headers(request.headers.raw),
            body=await body.read(buffered=bool(idempotency_key)),
            timeout=_timeout(request),
            urgent=request.headers.get("priority") == "urgent",
            idempotency_key=idempotency_key,
            content_length=length,
        )
        return RelayedResponse(requests, service_request, body)

    return [
        Route("/v1/services/{service}/{path:path}", run_service, methods=ALL_METHODS),
    ]


def _target(request: Request) -> bytes:
    """Return path and query relative to the service, as the caller encoded them."""
    raw_path: bytes = request.scope["raw_path"]
    segments = raw_path.split(b"/", 4)
    path = b"/" + (segments[4] if len(segments) > 4 else b"")
    query: bytes = request.scope["query_string"]
    return path + b"?" + query if query else path


def _content_length(request: Request) -> int | None:
    text = request.headers.get("content-length")
    if text is not None:
        if not (text.isascii() and text.isdigit()):
            raise RefusedError(Refused(RefusalReason.INVALID_INPUT, "Content-Length"))
        return int(text)
    return None if "transfer-encoding" in request.headers else 0


def _idempotency_key(request: Request) -> str:
    keys = request.headers.getlist("idempotency-key")
    if not keys:
        return ""
    if len(keys) > 1 or not 0 < len(keys[0]) <= MAX_IDEMPOTENCY_KEY_LENGTH:
        raise _invalid("Idempotency-Key must be given once, with 1 to 255 characters")
    return keys[0]


def _timeout(request: Request) -> timedelta | None:
    text = request.headers.get("request-timeout")
    if text is None:
        return None
    try:
        seconds = float(text)
    except ValueError:
        seconds = math.nan
    if not 0 < seconds < MAX_REQUEST_TIMEOUT_SECONDS:
        raise _invalid("Request-Timeout must be a number of seconds up to 86400")
    return timedelta(seconds=seconds)


def _invalid(detail: str) -> RefusedError:
    return RefusedError(Refused(RefusalReason.INVALID_INPUT, detail))
