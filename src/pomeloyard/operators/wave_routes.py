"""Operator routes for maintenance waves."""

from __future__ import annotations

from dataclasses import dataclass

from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from ..errors import RefusedError
from ..fleet.waves import WaveKind, WaveState
from ..keys import Role
from ..outcomes import RefusalReason, Refused
from .bodies import read_body
from .support import OperatorContext, json_response

STATES_BY_ACTION = {
    "pause": WaveState.PAUSED,
    "resume": WaveState.RUNNING,
    "cancel": WaveState.CANCELLED,
}


@dataclass(frozen=True, slots=True)
class WaveBody:
    """Request to start a wave over "pool/<name>", "service/<name>" or "all"."""

    scope: str
    kind: WaveKind = WaveKind.REBOOT


def wave_routes(context: OperatorContext) -> list[Route]:
    """Return the routes below /v1/waves."""
    waves = context.controller.waves

    async def list_waves(request: Request) -> Response:
        context.authorize(request, Role.READ)
        stored = await waves.waves()
        ordered = sorted(stored.values(), key=lambda wave: wave.value.started_at)
        return json_response([waves.status_of(wave.value) for wave in ordered])

    async def show_wave(request: Request) -> Response:
        context.authorize(request, Role.READ)
        return json_response(await waves.status(request.path_params["wave"]))

    async def start_wave(request: Request) -> Response:
        by = context.authorize(request, Role.OPERATE).key_id
        body = await read_body(request, WaveBody)
        wave = await waves.start(body.scope, body.kind, by)
        return json_response(waves.status_of(wave))

    async def change_wave(request: Request) -> Response:
        by = context.authorize(request, Role.OPERATE).key_id
        state = STATES_BY_ACTION.get(request.path_params["action"])
        if state is None:
            detail = request.path_params["action"]
            raise RefusedError(Refused(RefusalReason.NOT_FOUND, detail))
        wave = await waves.change(request.path_params["wave"], state, by)
        return json_response(waves.status_of(wave))

    return [
        Route("/v1/waves", list_waves, methods=["GET"]),
        Route("/v1/waves", start_wave, methods=["POST"]),
        Route("/v1/waves/{wave}", show_wave, methods=["GET"]),
        Route("/v1/waves/{wave}/{action}", change_wave, methods=["POST"]),
    ]
