"""Operator routes for teams, shares and the fleet's summary."""

from __future__ import annotations

from collections import Counter

from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from ..keys import Role
from .support import OperatorContext, json_response


def team_routes(context: OperatorContext) -> list[Route]:
    """Return the routes /v1/teams, /v1/shares and /v1/fleet."""
    state = context.state

    async def list_teams(request: Request) -> Response:
        context.authorize(request, Role.READ)
        keys = Counter(
            key.team
            for key in state.keys.keys_by_id.values()
            if not key.withdrawn and key.key_id not in state.withdrawn_key_ids
        )
        teams = [
            {
                "name": team.name,
                "share": team.share,
                "limit": team.limit,
                "job_limit": team.job_limit,
                "client_account": team.client_account,
                "keys": keys[name],
            }
            for name, team in sorted(state.config.teams_by_name.items())
        ]
        return json_response(teams)

    async def shares(request: Request) -> Response:
        context.authorize(request, Role.READ)
        return json_response(context.team_usage())

    async def fleet_status(request: Request) -> Response:
        context.authorize(request, Role.READ)
        records = state.vm_records_by_name.values()
        partitions = state.partitions.partitions if state.partitions else ()
        held = Counter(partition.holder for partition in partitions)
        daemons = [
            {"daemon": status, "partitions": held[status.incarnation]}
            for status in context.daemon_statuses()
        ]
        return json_response(
            {
                "name": state.config.name,
                "config_revision": state.config.revision,
                "store_reachable": state.store_reachable,
                "unheld_partitions": held[""],
                "daemons": daemons,
                "roles": {n: r.holder for n, r in sorted(state.roles_by_name.items())},
                "vms_by_state": Counter(record.state.value for record in records),
            }
        )

    return [
        Route("/v1/teams", list_teams, methods=["GET"]),
        Route("/v1/shares", shares, methods=["GET"]),
        Route("/v1/fleet", fleet_status, methods=["GET"]),
    ]
