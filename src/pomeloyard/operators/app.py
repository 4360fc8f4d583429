"""Routes for operators."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from ..authentication import authenticate_operator
from ..config.model import FleetConfig
from ..config.publication import publish
from ..controller import Controller
from ..errors import OutcomeUnknownError, RefusedError, StoreUnavailableError
from ..fleet_state import FleetState
from ..keys import KeyRing, Role, new_key
from ..outcomes import RefusalReason, Refused
from ..platform import layout
from ..platform.records import Change, ConflictError, commit_changes, read_record
from ..platform.store import Store
from ..problems import refusal_response, unknown_response


def operator_app(state: FleetState, store: Store, controller: Controller) -> Starlette:
    """Return the ASGI application for operators."""

    def check(request: Request, role: Role) -> str:
        header = request.headers.get("authorization")
        return authenticate_operator(state, header, role).key_id

    async def publish_config(request: Request) -> Response:
        check(request, Role.PUBLISH)
        config = msgspec.json.decode(await request.body(), type=FleetConfig)
        made_from = int(request.query_params.get("made_from", "0"))
        return _json(await publish(store, config, made_from))

    async def config_status(request: Request) -> Response:
        check(request, Role.READ)
        return _json({"revision": state.config.revision})

    async def grant_key(request: Request) -> Response:
        check(request, Role.PUBLISH)
        body = await request.json()
        role = Role(body["role"]) if body.get("role") else None
        text, record = new_key(body.get("team", ""), role)
        current = await read_record(store, layout.KEYS, KeyRing)
        ring = (current.value if current else KeyRing()).with_key(record)
        await commit_changes(store, [Change(layout.KEYS, ring, current)])
        return _json({"key": text, "key_id": record.key_id})

    async def withdraw_key(request: Request) -> Response:
        check(request, Role.OPERATE)
        key_id = request.path_params["key_id"]
        current = await read_record(store, layout.KEYS, KeyRing)
        if current is None or key_id not in current.value.keys_by_id:
            raise RefusedError(Refused(RefusalReason.NOT_FOUND, key_id))
        ring = current.value.without_key(key_id)
        await commit_changes(store, [Change(layout.KEYS, ring, current)])
        return _json({"key_id": key_id})

    async def list_vms(request: Request) -> Response:
        check(request, Role.READ)
        return _json(sorted(state.vm_records_by_name.values(), key=lambda r: r.name))

    async def change_vm(request: Request) -> Response:
        by = check(request, Role.OPERATE)
        name, action = request.path_params["name"], request.path_params["action"]
        changes: dict[str, Callable] = {
            "drain": controller.drain,
            "return": controller.return_to_service,
        }
        if action not in changes:
            raise RefusedError(Refused(RefusalReason.NOT_FOUND, action))
        return _json(await changes[action](name, "asked for by an operator", by))

    return Starlette(
        routes=[
            Route("/v1/config", publish_config, methods=["POST"]),
            Route("/v1/config", config_status, methods=["GET"]),
            Route("/v1/keys", grant_key, methods=["POST"]),
            Route("/v1/keys/{key_id}", withdraw_key, methods=["DELETE"]),
            Route("/v1/vms", list_vms, methods=["GET"]),
            Route("/v1/vms/{name}/{action}", change_vm, methods=["POST"]),
        ],
        exception_handlers={
            RefusedError: _refused,
            OutcomeUnknownError: _unknown,
            ConflictError: _conflict,
            StoreUnavailableError: _store_unavailable,
        },
    )


def _json(value: object) -> Response:
    return Response(msgspec.json.encode(value), media_type="application/json")


async def _refused(request: Request, error: Exception) -> Response:
    assert isinstance(error, RefusedError)
    return refusal_response(error.refusal)


async def _unknown(request: Request, error: Exception) -> Response:
    assert isinstance(error, OutcomeUnknownError)
    return unknown_response(error.unknown)


async def _conflict(request: Request, error: Exception) -> Response:
    return refusal_response(Refused(RefusalReason.CONFLICT, str(error)))


async def _store_unavailable(request: Request, error: Exception) -> Response:
    return refusal_response(Refused(RefusalReason.STORE_UNAVAILABLE, str(error)))
