"""Operator routes for pools and budgets."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from ..fleet.budgets import BudgetRecord
from ..keys import Role
from .bodies import read_body
from .support import OperatorContext, json_response


@dataclass(frozen=True, slots=True)
class MoveBody:
    """Request to move a VM to another pool."""

    vm: str


def pool_routes(context: OperatorContext) -> list[Route]:
    """Return the routes below /v1/pools and /v1/budgets."""
    controller = context.controller

    async def list_pools(request: Request) -> Response:
        context.authorize(request, Role.READ)
        pools = sorted(context.state.config.pools_by_name)
        return json_response([_pool(context, name) for name in pools])

    async def move_vm(request: Request) -> Response:
        by = context.authorize(request, Role.OPERATE).key_id
        body = await read_body(request, MoveBody)
        pool = request.path_params["name"]
        return json_response(await controller.operations.move(body.vm, pool, by))

    async def list_budgets(request: Request) -> Response:
        context.authorize(request, Role.READ)
        stored = await controller.records.budgets()
        budgets = [stored[name].value for name in sorted(stored)]
        return json_response([_budget(context, budget) for budget in budgets])

    return [
        Route("/v1/pools", list_pools, methods=["GET"]),
        Route("/v1/pools/{name}/moves", move_vm, methods=["POST"]),
        Route("/v1/budgets", list_budgets, methods=["GET"]),
    ]


def _pool(context: OperatorContext, name: str) -> dict[str, object]:
    vms = [r for r in context.state.vm_records_by_name.values() if r.pool == name]
    alarm = context.controller.repairs.alarms_by_pool.get(name)
    return {
        "name": name,
        "spare": context.state.config.pools_by_name[name].spare,
        "vms": len(vms),
        "by_state": dict(Counter(vm.state.value for vm in vms)),
        "borrowed": sorted(vm.name for vm in vms if vm.home_pool),
        "repair_alarm": alarm,
    }


def _budget(context: OperatorContext, record: BudgetRecord) -> dict[str, object]:
    config = context.state.config
    service = config.services_by_name.get(record.service)
    scopes = []
    if service is not None:
        headroom = context.controller.records.headroom(service, record)
        scopes = [
            {
                "role": scope.role.value,
                "availability_zone": scope.availability_zone,
                "total": scope_headroom.total,
                "needed": scope_headroom.needed,
                "available": scope_headroom.available,
            }
            for scope, scope_headroom in headroom.items()
        ]
    return {
        "service": record.service,
        "scopes": scopes,
        "spent": record.spending_by_vm,
    }
