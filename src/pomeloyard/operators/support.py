"""What all operator routes share: authentication, context and JSON answers."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec
from starlette.requests import Request
from starlette.responses import Response

from ..authentication import authenticate_operator
from ..clock import Clock
from ..controller import Controller
from ..decisions import DecisionLog
from ..fleet_state import FleetState
from ..job_store import JobStore
from ..keys import KeyRecord, Role
from ..platform.store import Store


@dataclass(frozen=True)
class OperatorContext:
    """The parts of the daemon that operator routes use."""

    clock: Clock
    state: FleetState
    store: Store
    controller: Controller
    jobs: JobStore
    decisions: DecisionLog

    def check(self, request: Request, role: Role) -> KeyRecord:
        """Return the operator's key record; raises RefusedError."""
        header = request.headers.get("authorization")
        return authenticate_operator(self.state, header, role)


def json_response(value: object, status: int = 200) -> Response:
    """Return a JSON response."""
    return Response(msgspec.json.encode(value), status, media_type="application/json")
