"""Operator routes for keys."""

from __future__ import annotations

from dataclasses import dataclass

from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from ..keys import Role
from .support import OperatorContext, json_response, read_json

ACCEPTED = 202
"""Status of a withdrawal that is in force but not stored yet."""


@dataclass(frozen=True, slots=True)
class GrantRequest:
    """Request for a key of a team, or of an operator with a role."""

    team: str = ""
    role: Role | None = None


@dataclass(frozen=True, slots=True)
class KeyView:
    """Public part of a key record, without its text or hash."""

    key_id: str
    team: str
    role: Role | None
    withdrawn: bool
    granted_at: str
    granted_by: str
    withdrawn_at: str


def key_routes(context: OperatorContext) -> list[Route]:
    """Return the routes below /v1/keys."""

    async def grant_key(request: Request) -> Response:
        by = context.authorize(request, Role.PUBLISH).key_id
        grant_request = await read_json(request, GrantRequest)
        text, record = await context.keys.grant(
            grant_request.team, grant_request.role, by
        )
        return json_response({"key": text, "key_id": record.key_id}, 201)

    async def list_keys(request: Request) -> Response:
        context.authorize(request, Role.READ)
        withdrawn = context.state.withdrawn_key_ids
        views = [
            KeyView(
                key.key_id,
                key.team,
                key.role,
                key.withdrawn or key.key_id in withdrawn,
                key.granted_at,
                key.granted_by,
                key.withdrawn_at,
            )
            for _, key in sorted(context.state.keys.keys_by_id.items())
        ]
        return json_response(views)

    async def withdraw_key(request: Request) -> Response:
        by = context.authorize(request, Role.OPERATE)
        result = await context.keys.withdraw(request.path_params["key_id"], by)
        return json_response(result, 200 if result.stored else ACCEPTED)

    return [
        Route("/v1/keys", grant_key, methods=["POST"]),
        Route("/v1/keys", list_keys, methods=["GET"]),
        Route("/v1/keys/{key_id}", withdraw_key, methods=["DELETE"]),
    ]
