"""Operator routes for keys."""

from __future__ import annotations

from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from ..errors import RefusedError
from ..keys import KeyRing, Role, new_key
from ..outcomes import RefusalReason, Refused
from ..platform import layout
from ..platform.records import Change, commit_changes, read_record
from .support import OperatorContext, json_response


def key_routes(context: OperatorContext) -> list[Route]:
    """Return the routes below /v1/keys."""

    async def grant_key(request: Request) -> Response:
        context.check(request, Role.PUBLISH)
        body = await request.json()
        role = Role(body["role"]) if body.get("role") else None
        text, record = new_key(body.get("team", ""), role)
        current = await read_record(context.store, layout.KEYS, KeyRing)
        ring = (current.value if current else KeyRing()).with_key(record)
        await commit_changes(context.store, [Change(layout.KEYS, ring, current)])
        return json_response({"key": text, "key_id": record.key_id})

    async def withdraw_key(request: Request) -> Response:
        context.check(request, Role.OPERATE)
        key_id = request.path_params["key_id"]
        current = await read_record(context.store, layout.KEYS, KeyRing)
        if current is None or key_id not in current.value.keys_by_id:
            raise RefusedError(Refused(RefusalReason.NOT_FOUND, key_id))
        ring = current.value.without_key(key_id)
        await commit_changes(context.store, [Change(layout.KEYS, ring, current)])
        return json_response({"key_id": key_id})

    return [
        Route("/v1/keys", grant_key, methods=["POST"]),
        Route("/v1/keys/{key_id}", withdraw_key, methods=["DELETE"]),
    ]
