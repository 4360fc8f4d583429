"""Operator routes for configurations."""

from __future__ import annotations

import msgspec
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from ..config.model import FleetConfig
from ..config.publication import publish
from ..keys import Role
from .support import OperatorContext, json_response


def config_routes(context: OperatorContext) -> list[Route]:
    """Return the routes below /v1/config."""

    async def publish_config(request: Request) -> Response:
        context.check(request, Role.PUBLISH)
        config = msgspec.json.decode(await request.body(), type=FleetConfig)
        made_from = int(request.query_params.get("made_from", "0"))
        return json_response(await publish(context.store, config, made_from))

    async def config_status(request: Request) -> Response:
        context.check(request, Role.READ)
        return json_response({"revision": context.state.config.revision})

    return [
        Route("/v1/config", publish_config, methods=["POST"]),
        Route("/v1/config", config_status, methods=["GET"]),
    ]
