"""Caller routes for jobs."""

from __future__ import annotations

import msgspec
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from ..authentication import authenticate_team
from ..errors import RefusedError
from ..fleet_state import FleetState
from ..jobs import JobRequest, JobStore
from ..outcomes import RefusalReason, Refused


def job_routes(state: FleetState, jobs: JobStore) -> list[Route]:
    """Return the routes below /v1/jobs."""

    async def submit_job(request: Request) -> Response:
        key = authenticate_team(state, request.headers.get("authorization"))
        try:
            job_request = msgspec.json.decode(await request.body(), type=JobRequest)
        except msgspec.MsgspecError as error:
            raise RefusedError(
                Refused(RefusalReason.INVALID_INPUT, str(error))
            ) from error
        idempotency_key = request.headers.get("idempotency-key", "")
        job = await jobs.submit(key.team, job_request, idempotency_key)
        return _json(job, 202)

    async def job_status(request: Request) -> Response:
        key = authenticate_team(state, request.headers.get("authorization"))
        job = await jobs.get(request.path_params["job_id"])
        if job is None or job.team != key.team:
            raise RefusedError(Refused(RefusalReason.NOT_FOUND, "no such job"))
        return _json(job)

    return [
        Route("/v1/jobs", submit_job, methods=["POST"]),
        Route("/v1/jobs/{job_id}", job_status, methods=["GET"]),
    ]


def _json(value: object, status: int = 200) -> Response:
    return Response(msgspec.json.encode(value), status, media_type="application/json")
