"""Operator routes for availability zones."""

from __future__ import annotations

from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from ..keys import Role
from .support import OperatorContext, json_response


def zone_routes(context: OperatorContext) -> list[Route]:
    """Return the routes below /v1/zones."""

    async def list_zones(request: Request) -> Response:
        context.authorize(request, Role.READ)
        return json_response(context.zones.list())

    async def evacuate_zone(request: Request) -> Response:
        by = context.authorize(request, Role.OPERATE).key_id
        name = request.path_params["name"]
        return json_response(await context.zones.evacuate(name, by))

    async def readmit_zone(request: Request) -> Response:
        by = context.authorize(request, Role.OPERATE).key_id
        name = request.path_params["name"]
        return json_response(await context.zones.readmit(name, by))

    return [
        Route("/v1/zones", list_zones, methods=["GET"]),
        Route("/v1/zones/{name}/evacuate", evacuate_zone, methods=["POST"]),
        Route("/v1/zones/{name}/readmit", readmit_zone, methods=["POST"]),
    ]
