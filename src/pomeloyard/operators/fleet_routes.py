"""Operator routes for VMs, pools, waves and budgets."""

from __future__ import annotations

from collections.abc import Callable

from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from ..errors import RefusedError
from ..keys import Role
from ..outcomes import RefusalReason, Refused
from .support import OperatorContext, json_response


def fleet_routes(context: OperatorContext) -> list[Route]:
    """Return the routes below /v1/vms."""
    controller = context.controller

    async def list_vms(request: Request) -> Response:
        context.check(request, Role.READ)
        records = context.state.vm_records_by_name
        return json_response([records[name] for name in sorted(records)])

    async def change_vm(request: Request) -> Response:
        by = context.check(request, Role.OPERATE).key_id
        name, action = request.path_params["name"], request.path_params["action"]
        changes: dict[str, Callable] = {
            "drain": controller.drain,
            "return": controller.return_to_service,
        }
        if action not in changes:
            raise RefusedError(Refused(RefusalReason.NOT_FOUND, action))
        record = await changes[action](name, "asked for by an operator", by)
        return json_response(record)

    return [
        Route("/v1/vms", list_vms, methods=["GET"]),
        Route("/v1/vms/{name}/{action}", change_vm, methods=["POST"]),
    ]
