"""Operator routes for keys."""

from __future__ import annotations

from dataclasses import dataclass

from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from ..keys import Role
from .support import OperatorContext, json_response, read_json

ACCEPTED = 202
"""Status of a withdrawal that holds but is not in the store yet."""


@dataclass(frozen=True, slots=True)
class GrantRequest:
    """Who receives a key: a team, or an operator with a role."""

    team: str = ""
    role: Role | None = None


@dataclass(frozen=True, slots=True)
class KeyView:
    """What is shown of a key; never its text or hash."""

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
        by = context.check(request, Role.PUBLISH).key_id
        asked = await read_json(request, GrantRequest)
        text, record = await context.keys.grant(asked.team, asked.role, by)
        return json_response({"key": text, "key_id": record.key_id}, 201)

    async def list_keys(request: Request) -> Response:
        context.check(request, Role.READ)
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
        by = context.check(request, Role.OPERATE)
        result = await context.keys.withdraw(request.path_params["key_id"], by)
        return json_response(result, 200 if result.stored else ACCEPTED)

    return [
        Route("/v1/keys", grant_key, methods=["POST"]),
        Route("/v1/keys", list_keys, methods=["GET"]),
        Route("/v1/keys/{key_id}", withdraw_key, methods=["DELETE"]),
    ]
