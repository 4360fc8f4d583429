"""Operator routes for configurations."""

from __future__ import annotations

from enum import Enum

from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from ..config.checks import config_problems
from ..config.model import FleetConfig
from ..config.problems import ConfigProblemsError
from ..config.publication import (
    ConfigConflictError,
    Published,
    history,
    publish,
    read_revision,
    roll_back,
)
from ..decisions import Decision, DecisionKind
from ..follower import adopt_config
from ..keys import Role
from ..outcomes import RefusalReason, Refused
from ..problems import refusal_response
from .support import OperatorContext, json_response, query_number, read_json


class PublishReason(Enum):
    """Why a revision was published."""

    PUBLISHED = "published"
    ROLLED_BACK = "rolled-back"


def config_routes(context: OperatorContext) -> list[Route]:
    """Return the routes below /v1/config."""

    def record_publication(
        published: Published, by: str, reason: PublishReason
    ) -> Response:
        config = published.config
        adopt_config(context.state, config)
        at = context.clock.now()
        context.decisions.record(
            Decision(
                at,
                DecisionKind.PUBLISH,
                "config",
                str(config.revision),
                reason,
                inputs={"by": by},
            )
        )
        changes = published.changes
        return json_response({"revision": config.revision, "changes": changes})

    async def publish_config(request: Request) -> Response:
        by = context.authorize(request, Role.PUBLISH).key_id
        made_from = query_number(request, "made_from")
        config = await read_json(request, FleetConfig)
        problems = config_problems(config)
        if problems:
            raise ConfigProblemsError(problems)
        at = context.clock.now().isoformat()
        published = await publish(context.store, config, made_from, by=by, at=at)
        return record_publication(published, by, PublishReason.PUBLISHED)

    async def roll_back_config(request: Request) -> Response:
        by = context.authorize(request, Role.PUBLISH).key_id
        made_from = query_number(request, "made_from")
        revision = query_number(request, "revision")
        at = context.clock.now().isoformat()
        published = await roll_back(context.store, revision, made_from, by=by, at=at)
        return record_publication(published, by, PublishReason.ROLLED_BACK)

    async def config_status(request: Request) -> Response:
        context.authorize(request, Role.READ)
        status = {
            "revision": context.state.config.revision,
            "name": context.state.config.name,
            "daemons": context.daemon_statuses(),
        }
        return json_response(status)

    async def config_history(request: Request) -> Response:
        context.authorize(request, Role.READ)
        return json_response(await history(context.store))

    async def config_revision(request: Request) -> Response:
        context.authorize(request, Role.READ)
        revision = request.path_params["revision"]
        if revision == context.state.config.revision:
            return json_response(context.state.config)
        return json_response(await read_revision(context.store, revision))

    return [
        Route("/v1/config", publish_config, methods=["POST"]),
        Route("/v1/config", config_status, methods=["GET"]),
        Route("/v1/config/rollback", roll_back_config, methods=["POST"]),
        Route("/v1/config/history", config_history, methods=["GET"]),
        Route("/v1/config/revisions/{revision:int}", config_revision, methods=["GET"]),
    ]


async def problems_response(request: Request, error: Exception) -> Response:
    """Return the response for an invalid configuration, with all its problems."""
    assert isinstance(error, ConfigProblemsError)
    refusal = Refused(RefusalReason.INVALID_INPUT, f"{len(error.problems)} errors")
    return refusal_response(refusal, {"problems": error.problems})


async def conflict_response(request: Request, error: Exception) -> Response:
    """Return the response for a conflict, with the changes published meanwhile."""
    assert isinstance(error, ConfigConflictError)
    members = {
        "made_from": error.made_from,
        "in_force": error.in_force,
        "changes": error.changes,
    }
    return refusal_response(Refused(RefusalReason.CONFLICT, str(error)), members)
