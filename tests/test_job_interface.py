"""The HTTP interface for jobs and its command-line tool, on loopback."""

import json
from types import SimpleNamespace

import anyio
import click.testing
import pytest
from anyio import to_thread
from starlette.applications import Starlette

from pomeloyard.callers.job_routes import job_routes
from pomeloyard.cli.main import cli
from pomeloyard.clock import SystemClock
from pomeloyard.config.model import FleetConfig, TeamConfig
from pomeloyard.fleet_state import FleetState
from pomeloyard.jobs.store import JobStore
from pomeloyard.keys import KeyRing, new_key
from pomeloyard.keyvalue.memory import MemoryStore
from pomeloyard.problems import EXCEPTION_HANDLERS
from pomeloyard.serving import serving


@pytest.fixture
def keys():
    return {team: new_key(team) for team in ("mill", "desk")}


def with_daemon(keys, check):
    async def main():
        clock = SystemClock()
        teams = {team: TeamConfig(team, 1.0, 10, 10) for team in keys}
        state = FleetState(config=FleetConfig("t", teams_by_name=teams))
        for _, record in keys.values():
            state.keys = state.keys.with_key(record)
        assert isinstance(state.keys, KeyRing)
        jobs = JobStore(MemoryStore(clock), clock, lambda: state.config)
        app = Starlette(
            routes=job_routes(state, jobs), exception_handlers=EXCEPTION_HANDLERS
        )
        async with serving(app) as address:
            await to_thread.run_sync(check, address)

    anyio.run(main)


def run(address, key, *arguments):
    environment = {"POMELOYARD_CALLERS": address, "POMELOYARD_TEAM_KEY": key}
    result = click.testing.CliRunner().invoke(cli, ["job", *arguments], env=environment)
    if result.exit_code and not result.stdout:
        problem = json.loads(result.stderr)
        return SimpleNamespace(status=problem.pop("status"), problem=problem)
    return json.loads(result.stdout)


def test_jobs_from_the_command_line(keys):
    """Guards against access to other teams' jobs, and duplicated submissions."""
    mill, desk = keys["mill"][0], keys["desk"][0]

    def check(address):
        submit = ("submit", "--label", "n", "--idempotency-key", "k", "sleep 1")
        first = run(address, mill, *submit)
        assert run(address, mill, *submit) == first
        job_id = first["job_id"]
        assert run(address, mill, "list")["jobs"] == [first]
        other_team = run(address, desk, "status", job_id)
        absent = run(address, desk, "status", "0" * 24)
        assert (other_team.status, other_team.problem) == (404, absent.problem)
        assert run(address, desk, "cancel", "--label", "n") == {}
        changed = run(address, mill, *submit[:-1], "sleep 2")
        assert (changed.status, changed.problem["outcome"]) == (422, "not-run")
        assert run(address, mill, "submit", "--cores", "-1", "x").status == 400
        assert run(address, mill, "cancel", "--label", "n") == {job_id: "cancelled"}
        assert run(address, mill, "wait", job_id)["state"] == "cancelled"
        assert run(address, mill, "explain", job_id)["reason"] == "cancelled"
        assert run("127.0.0.1:1", mill, "status", job_id).status == 0

    with_daemon(keys, check)
