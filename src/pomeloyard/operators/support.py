"""Shared parts of the operator routes: authentication, context and JSON bodies."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TypeVar

import msgspec
from starlette.requests import Request
from starlette.responses import Response

from ..authentication import authenticate_operator
from ..clock import Clock
from ..decisions import DecisionLog
from ..errors import RefusedError
from ..explanations import Explanation
from ..fleet.controller import Controller
from ..fleet.zones import ZoneService
from ..fleet_state import FleetState
from ..heartbeats import DaemonStatus
from ..jobs.store import JobStore
from ..key_service import KeyService
from ..keys import KeyRecord, Role
from ..keyvalue.store import Store
from ..outcomes import RefusalReason, Refused

MAX_BODY_BYTES = 2 * 1024 * 1024

T = TypeVar("T")


@dataclass(frozen=True)
class OperatorContext:
    """The parts of the daemon that operator routes use."""

    clock: Clock
    state: FleetState
    store: Store
    controller: Controller
    jobs: JobStore
    decisions: DecisionLog
    keys: KeyService
    zones: ZoneService
    daemon_statuses: Callable[[], list[DaemonStatus]]
    team_usage: Callable[[], object]
    explain: Callable[[str], Awaitable[Explanation]]
    """Returns all daemons' decisions about a subject such as "vm/cut-3"."""

    def authorize(self, request: Request, role: Role) -> KeyRecord:
        """Authenticate the operator and return the key record; raises RefusedError."""
        header = request.headers.get("authorization")
        return authenticate_operator(self.state, header, role)


def json_response(value: object, status: int = 200) -> Response:
    """Return a JSON response."""
    return Response(msgspec.json.encode(value), status, media_type="application/json")


async def read_json(request: Request, kind: type[T]) -> T:
    """Return the body as an instance of ``kind``; raises RefusedError."""
    body = b""
    async for chunk in request.stream():
        body += chunk
        if len(body) > MAX_BODY_BYTES:
            detail = f"the body is over {MAX_BODY_BYTES} bytes"
            raise RefusedError(Refused(RefusalReason.TOO_LARGE, detail))
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise RefusedError(Refused(RefusalReason.INVALID_INPUT, str(error))) from error


def query_number(request: Request, name: str) -> int:
    """Return a required whole number of the query string; raises RefusedError."""
    text = request.query_params.get(name, "")
    if not (text.isascii() and text.isdigit() and len(text) <= 10):
        detail = f"{name} must be a whole number"
        raise RefusedError(Refused(RefusalReason.INVALID_INPUT, detail))
    return int(text)
