"""Error responses to callers and operators as problem details (RFC 9457)."""

from __future__ import annotations

import math
from collections.abc import Awaitable, Callable, Mapping
from datetime import timedelta
from typing import Any

import msgspec
from starlette.exceptions import HTTPException
from starlette.requests import Request
from starlette.responses import Response

from .errors import (
    OutcomeUnknownError,
    RefusedError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from .keyvalue.records import ConflictError
from .outcomes import RefusalReason, Refused, Unknown, UnknownReason

ExceptionHandler = Callable[[Request, Exception], Awaitable[Response]]

MEDIA_TYPE = "application/problem+json"

STATUS_BY_REASON = {
    RefusalReason.KEY_MISSING: 401,
    RefusalReason.KEY_INVALID: 401,
    RefusalReason.ROLE_INSUFFICIENT: 403,
    RefusalReason.NOT_FOUND: 404,
    RefusalReason.INVALID_INPUT: 400,
    RefusalReason.TOO_LARGE: 413,
    RefusalReason.QUEUE_FULL: 429,
    RefusalReason.DEADLINE_PASSED: 503,
    RefusalReason.LIMIT_REACHED: 429,
    RefusalReason.KEY_REUSED: 422,
    RefusalReason.CONFLICT: 409,
    RefusalReason.BUDGET_EXCEEDED: 409,
    RefusalReason.IMPOSSIBLE: 422,
    RefusalReason.CANCELLED: 409,
    RefusalReason.STALE_FENCE: 409,
}
"""HTTP status of a refusal; 503 for those not listed."""

UNKNOWN_STATUS_BY_REASON = {
    UnknownReason.TIMEOUT: 504,
    UnknownReason.IN_PROGRESS: 409,
    UnknownReason.EARLIER_ATTEMPT: 409,
    UnknownReason.INTERNAL_ERROR: 500,
}
"""HTTP status of an unknown outcome; 502 for those not listed."""

RETRIABLE_REASONS = frozenset(
    {
        RefusalReason.QUEUE_FULL,
        RefusalReason.DEADLINE_PASSED,
        RefusalReason.LIMIT_REACHED,
        RefusalReason.NO_CAPACITY,
        RefusalReason.NO_EXECUTOR,
        RefusalReason.ENDPOINT_UNREACHABLE,
        RefusalReason.CLAIM_UNAVAILABLE,
        RefusalReason.STORE_UNAVAILABLE,
        RefusalReason.NOT_READY,
        RefusalReason.SHUTTING_DOWN,
        UnknownReason.IN_PROGRESS,
    }
)
"""Transient reasons, after which a later retry may succeed."""

RETRY_AFTER = timedelta(seconds=1)
METHOD_NOT_ALLOWED = 405


def refusal_response(
    refusal: Refused, members: Mapping[str, object] | None = None
) -> Response:
    """Return the response for an operation that certainly did not run.

    ``members`` are extension members of the problem details.
    """
    status = STATUS_BY_REASON.get(refusal.reason, 503)
    retry_after = refusal.retry_after
    if retry_after is None and refusal.reason in RETRIABLE_REASONS:
        retry_after = RETRY_AFTER
    return _problem(
        status,
        refusal.reason.value,
        "not-run",
        refusal.detail,
        retry_after,
        members,
    )


def unknown_response(unknown: Unknown) -> Response:
    """Return the response for an operation that may have run."""
    status = UNKNOWN_STATUS_BY_REASON.get(unknown.reason, 502)
    retry_after = RETRY_AFTER if unknown.reason in RETRIABLE_REASONS else None
    return _problem(
        status, unknown.reason.value, "unknown", unknown.detail, retry_after
    )


def _problem(
    status: int,
    reason: str,
    outcome: str,
    detail: str,
    retry_after: timedelta | None = None,
    members: Mapping[str, object] | None = None,
) -> Response:
    body = {
        **(members or {}),
        "type": f"urn:pomeloyard:{reason}",
        "title": reason.replace("-", " "),
        "status": status,
        "detail": detail,
        "outcome": outcome,
    }
    headers = {}
    if retry_after is not None:
        headers["Retry-After"] = str(math.ceil(retry_after.total_seconds()))
    return Response(
        msgspec.json.encode(body), status, headers=headers, media_type=MEDIA_TYPE
    )


STORE_RETRY_AFTER = timedelta(seconds=5)


async def _refused(request: Request, error: Exception) -> Response:
    assert isinstance(error, RefusedError)
    return refusal_response(error.refusal)


async def _unknown(request: Request, error: Exception) -> Response:
    assert isinstance(error, OutcomeUnknownError)
    return unknown_response(error.unknown)


async def _conflict(request: Request, error: Exception) -> Response:
    return refusal_response(Refused(RefusalReason.CONFLICT, str(error)))


async def _store_unavailable(request: Request, error: Exception) -> Response:
    reason = RefusalReason.STORE_UNAVAILABLE
    return refusal_response(Refused(reason, str(error), STORE_RETRY_AFTER))


async def _store_unknown(request: Request, error: Exception) -> Response:
    return unknown_response(Unknown(UnknownReason.ANSWER_LOST, str(error)))


async def _not_routed(request: Request, error: Exception) -> Response:
    assert isinstance(error, HTTPException)
    if error.status_code == METHOD_NOT_ALLOWED:
        reason = RefusalReason.INVALID_INPUT.value
        return _problem(METHOD_NOT_ALLOWED, reason, "not-run", "method not allowed")
    return refusal_response(Refused(RefusalReason.NOT_FOUND, request.url.path))


async def _internal(request: Request, error: Exception) -> Response:
    return unknown_response(Unknown(UnknownReason.INTERNAL_ERROR, type(error).__name__))


EXCEPTION_HANDLERS: dict[Any, ExceptionHandler] = {
    HTTPException: _not_routed,
    Exception: _internal,
    RefusedError: _refused,
    OutcomeUnknownError: _unknown,
    ConflictError: _conflict,
    StoreUnavailableError: _store_unavailable,
    StoreOutcomeUnknownError: _store_unknown,
}
"""Exception handlers of the applications for callers and operators."""
