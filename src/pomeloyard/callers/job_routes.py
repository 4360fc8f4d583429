"""Routes for jobs; a team can access only its own jobs."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeVar

import msgspec
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from ..authentication import authenticate_team
from ..fleet_state import FleetState
from ..jobs.job import Job, JobRequest, refused, valid_label
from ..jobs.store import JobStore
from ..keys import KeyRecord
from ..outcomes import RefusalReason

T = TypeVar("T")

MAX_BODY_BYTES = 512 * 1024


@dataclass(frozen=True, slots=True)
class CancelRequest:
    """Jobs to cancel, by ids or by a label."""

    job_ids: tuple[str, ...] = ()
    label: str = ""


def job_routes(state: FleetState, jobs: JobStore) -> list[Route]:
    """Return the routes under /v1/jobs."""

    def key_of(request: Request) -> KeyRecord:
        return authenticate_team(state, request.headers.get("authorization"))

    def team_of(request: Request) -> str:
        return key_of(request).team

    async def own_job(request: Request) -> Job:
        job = await jobs.get(team_of(request), request.path_params["job_id"])
        if job is None:
            raise refused(RefusalReason.NOT_FOUND, "no such job")
        return job

    async def submit_job(request: Request) -> Response:
        key = key_of(request)
        job_request = await _decode(request, JobRequest)
        idempotency_key = request.headers.get("idempotency-key", "")
        job = await jobs.submit(key.team, job_request, idempotency_key, key.key_id)
        return _json(job, 202)

    async def cancel_jobs(request: Request) -> Response:
        team = team_of(request)
        cancel_request = await _decode(request, CancelRequest)
        if not valid_label(cancel_request.label):
            raise refused(RefusalReason.INVALID_INPUT, "label")
        states = await jobs.cancel(team, cancel_request.job_ids, cancel_request.label)
        return _json({"states_by_id": states})

    async def list_jobs(request: Request) -> Response:
        team = team_of(request)
        after = request.query_params.get("after", "")
        text = request.query_params.get("limit", "100")
        if not (text.isascii() and text.isdigit() and len(text) < 6):
            raise refused(RefusalReason.INVALID_INPUT, "limit")
        page, next_after = await jobs.page(team, after, int(text))
        return _json({"jobs": page, "after": next_after})

    async def job_status(request: Request) -> Response:
        return _json(await own_job(request))

    async def explain_job(request: Request) -> Response:
        job = await own_job(request)
        return _json(
            {
                "job_id": job.job_id,
                "state": job.state,
                "reason": job.reason,
                "decisions": job.decisions,
            }
        )

    return [
        Route("/v1/jobs", submit_job, methods=["POST"]),
        Route("/v1/jobs", list_jobs, methods=["GET"]),
        Route("/v1/jobs/cancel", cancel_jobs, methods=["POST"]),
        Route("/v1/jobs/{job_id}", job_status, methods=["GET"]),
        Route("/v1/jobs/{job_id}/explain", explain_job, methods=["GET"]),
    ]


async def _decode(request: Request, request_type: type[T]) -> T:
    body = b""
    async for chunk in request.stream():
        body += chunk
        if len(body) > MAX_BODY_BYTES:
            raise refused(RefusalReason.TOO_LARGE, f"at most {MAX_BODY_BYTES} bytes")
    try:
        return msgspec.json.decode(body, type=request_type)
    except msgspec.MsgspecError as error:
        raise refused(RefusalReason.INVALID_INPUT, str(error)) from error


def _json(value: object, status: int = 200) -> Response:
    return Response(msgspec.json.encode(value), status, media_type="application/json")
