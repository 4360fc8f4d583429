"""Operator route that explains decisions about one subject."""

from __future__ import annotations

from enum import Enum

from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from ..errors import RefusedError, StoreError
from ..keys import Role
from ..outcomes import RefusalReason, Refused
from .support import OperatorContext, json_response

MAX_NAME_CHARACTERS = 256


class SubjectKind(Enum):
    """Kind of a subject that can be explained."""

    VM = "vm"
    WAVE = "wave"
    SERVICE = "service"
    KEY = "key"
    MEMBERSHIP = "membership"
    JOB = "job"
    ZONE = "zone"


def explain_routes(context: OperatorContext) -> list[Route]:
    """Return the route below /v1/explain."""

    async def explain(request: Request) -> Response:
        context.authorize(request, Role.READ)
        kind, name = _subject(request)
        record, record_read = None, True
        try:
            record = await _record(context, kind, name)
        except StoreError:
            # Decisions are in memory, so they are available in a store outage.
            record_read = False
        explanation = await context.explain(f"{kind.value}/{name}")
        # Only with replies of all daemons is it certain that the subject is unknown.
        complete = record_read and not explanation.silent and not explanation.damaged
        unknown = record is None and not _exists(context, kind, name)
        if unknown and complete and not explanation.decisions:
            raise RefusedError(Refused(RefusalReason.NOT_FOUND, explanation.subject))
        answer = {"record": record, "record_read": record_read}
        return json_response({**answer, "explanation": explanation})

    return [Route("/v1/explain/{kind}/{name}", explain, methods=["GET"])]


def _subject(request: Request) -> tuple[SubjectKind, str]:
    name = request.path_params["name"]
    if len(name) > MAX_NAME_CHARACTERS:
        detail = f"a name has at most {MAX_NAME_CHARACTERS} characters"
        raise RefusedError(Refused(RefusalReason.INVALID_INPUT, detail))
    try:
        return SubjectKind(request.path_params["kind"]), name
    except ValueError as error:
        detail = f"kind must be one of {', '.join(k.value for k in SubjectKind)}"
        raise RefusedError(Refused(RefusalReason.INVALID_INPUT, detail)) from error


async def _record(context: OperatorContext, kind: SubjectKind, name: str) -> object:
    """Return the stored record with the subject's latest reasons, or None."""
    if kind is SubjectKind.VM:
        return context.state.vm_records_by_name.get(name)
    if kind is SubjectKind.WAVE:
        try:
            return await context.controller.waves.status(name)
        except RefusedError:
            return None
    if kind is SubjectKind.JOB:
        return await _job(context, name)
    return None


async def _job(context: OperatorContext, job_id: str) -> object:
    """Return a job's state and decisions, without its request, which is private."""
    for team in sorted(context.state.config.teams_by_name):
        job = await context.jobs.get(team, job_id)
        if job is not None:
            return {
                "job_id": job.job_id,
                "team": job.team,
                "state": job.state,
                "reason": job.reason,
                "decisions": job.decisions,
            }
    return None


def _exists(context: OperatorContext, kind: SubjectKind, name: str) -> bool:
    """Tell whether this daemon knows a subject of a kind without stored reasons."""
    state = context.state
    if kind is SubjectKind.SERVICE:
        return name in state.config.services_by_name
    if kind is SubjectKind.KEY:
        return name in state.keys.keys_by_id
    if kind is SubjectKind.MEMBERSHIP:
        return any(d.vm == name for d in state.daemons_by_incarnation.values())
    return False
