"""Operator routes for VMs."""

from __future__ import annotations

from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from ..errors import RefusedError
from ..fleet.vms import VmRecord
from ..keys import Role
from ..outcomes import RefusalReason, Refused
from .support import OperatorContext, json_response


def vm_routes(context: OperatorContext) -> list[Route]:
    """Return the routes below /v1/vms."""
    operations = context.controller.operations
    lifecycle = context.controller.lifecycle

    async def list_vms(request: Request) -> Response:
        context.authorize(request, Role.READ)
        records = context.state.vm_records_by_name
        return json_response([records[name] for name in sorted(records)])

    async def show_vm(request: Request) -> Response:
        context.authorize(request, Role.READ)
        return json_response(_record(context, request.path_params["name"]))

    async def explain_vm(request: Request) -> Response:
        context.authorize(request, Role.READ)
        name = request.path_params["name"]
        record = _record(context, name)
        explanation = await context.explain(f"vm/{name}")
        check = lifecycle.drain_checks_by_vm.get(name)
        return json_response(
            {
                "vm": record,
                "listed": context.state.vm_list.vms_by_name.get(name),
                "drain": check,
                "decisions": explanation.decisions,
                "silent": explanation.silent,
                "damaged": explanation.damaged,
                "omitted": explanation.omitted,
            }
        )

    async def drain_vm(request: Request) -> Response:
        by = context.authorize(request, Role.OPERATE).key_id
        return json_response(await operations.drain(request.path_params["name"], by))

    async def return_vm(request: Request) -> Response:
        by = context.authorize(request, Role.OPERATE).key_id
        name = request.path_params["name"]
        return json_response(await operations.return_to_service(name, by))

    return [
        Route("/v1/vms", list_vms, methods=["GET"]),
        Route("/v1/vms/{name}", show_vm, methods=["GET"]),
        Route("/v1/vms/{name}/explain", explain_vm, methods=["GET"]),
        Route("/v1/vms/{name}/drain", drain_vm, methods=["POST"]),
        Route("/v1/vms/{name}/return", return_vm, methods=["POST"]),
    ]


def _record(context: OperatorContext, name: str) -> VmRecord:
    record = context.state.vm_records_by_name.get(name)
    if record is None:
        raise RefusedError(Refused(RefusalReason.NOT_FOUND, name))
    return record
