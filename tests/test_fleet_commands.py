"""Operator commands and routes for VMs, pools, waves and budgets."""

from __future__ import annotations

import json

import anyio
import click.testing
import pytest

from pomeloyard.cli.main import cli
from pomeloyard.decisions import DecisionLog
from pomeloyard.explanations import Explanation
from pomeloyard.jobs.store import JobStore
from pomeloyard.keys import hash_key
from pomeloyard.operators.app import operator_app
from pomeloyard.operators.client import OperatorCallError, OperatorClient
from pomeloyard.operators.support import OperatorContext

from .support.fleet import Fleet, make_config, make_vms

POOLS = {"orders": (3, 0), "spare": (1, 0)}
KEY = "first-operator"
COMMANDS = [
    ["vm", "list"],
    ["vm", "drain"],
    ["vm", "return"],
    ["vm", "explain"],
    ["pool", "list"],
    ["pool", "move"],
    ["wave", "start"],
    ["wave", "status"],
    ["wave", "pause"],
    ["wave", "resume"],
    ["wave", "cancel"],
    ["budget"],
    ["explain"],
]


async def no_decisions(subject):
    return Explanation(subject)


class InProcessClient(OperatorClient):
    """Calls the operator application directly and steps the fleet after each call."""

    def __init__(self, fleet: Fleet) -> None:
        controller = fleet.controller
        controller._state.bootstrap_sha256 = hash_key(KEY)
        self._fleet = fleet
        self._app = operator_app(
            OperatorContext(
                fleet.clock,
                controller._state,
                fleet.store,
                controller,
                JobStore(fleet.store, fleet.clock, lambda: fleet.state.config),
                DecisionLog(),
                keys=None,
                zones=None,
                daemon_statuses=list,
                team_usage=list,
                explain=no_decisions,
            )
        )

    def close(self):
        pass

    def call(self, method, path, body=None):
        return anyio.run(self._call, method, path, body)

    async def _call(self, method, path, body):
        sent = []
        content = json.dumps(body).encode() if body is not None else b""

        async def receive():
            return {"type": "http.request", "body": content, "more_body": False}

        async def send(message):
            sent.append(message)

        scope = {
            "type": "http",
            "method": method,
            "path": path,
            "raw_path": path.encode(),
            "query_string": b"",
            "headers": [(b"authorization", b"Bearer " + KEY.encode())],
        }
        await self._app(scope, receive, send)
        status = sent[0]["status"]
        answer = json.loads(b"".join(m.get("body", b"") for m in sent[1:]))
        await self._fleet.step()
        if status >= 400:
            raise OperatorCallError(status, answer)
        return answer


@pytest.fixture
def operate(monkeypatch):
    fleet = Fleet(
        make_config(POOLS, 2, spare="spare"),
        [vm for pool, sizes in POOLS.items() for vm in make_vms(pool, *sizes)],
    )
    anyio.run(fleet.step)
    client = InProcessClient(fleet)
    monkeypatch.setattr("pomeloyard.cli.main.Session", lambda *_: client)
    monkeypatch.setattr("time.sleep", lambda seconds: None)

    def run(*arguments):
        options = ["--daemon", "local", "--key", KEY]
        return click.testing.CliRunner().invoke(cli, [*options, *arguments])

    return run


def answer_of(result):
    assert result.exit_code == 0, result.exception or result.output
    return json.loads(result.stdout.splitlines()[-1])


@pytest.mark.parametrize("command", COMMANDS)
def test_help_of_each_command_has_an_example(command):
    """Guards against commands that cannot be used without the manual."""
    runner = click.testing.CliRunner()
    options = ["--daemon", "local", "--key", KEY]
    output = runner.invoke(cli, [*options, *command, "--help"]).output
    assert f"pomeloyard {' '.join(command)}" in output
    assert "Examples:\n" in output


def test_drain_waits_with_progress_and_explain_shows_the_history(operate):
    """Guards against a command that ends before the VM is drained."""
    result = operate("vm", "drain", "orders-e000", "--wait")
    assert answer_of(result)["state"] == "drained"
    assert "orders-e000: drained" in result.stderr
    history = answer_of(operate("vm", "explain", "orders-e000"))["vm"]["reasons"]
    assert [step["cause"] for step in history] == [
        "adopted",
        "asked-for-by-operator",
        "nothing-running",
    ]
    budget = answer_of(operate("budget", "orders"))[0]
    assert list(budget["spent"]) == ["orders-e000"]
    assert budget["scopes"][0]["available"] <= 2
    assert answer_of(operate("vm", "return", "orders-e000"))["state"] == "in_service"


@pytest.mark.parametrize(
    ("arguments", "reason"),
    [
        (("vm", "drain", "orders-e001"), "budget-exceeded"),
        (("vm", "drain", "orders-e000"), "conflict"),
        (("vm", "drain", "nowhere"), "not-found"),
        (("pool", "move", "spare-e000", "nowhere"), "not-found"),
        (("pool", "move", "spare-e000", "spare"), "invalid-input"),
        (("wave", "pause", "nowhere"), "not-found"),
        (("wave", "start", "pool/nowhere"), "not-found"),
    ],
)
def test_refusals_are_typed(operate, arguments, reason):
    """Guards against untyped errors and changes beyond a budget."""
    operate("vm", "drain", "orders-e000")
    result = operate(*arguments)
    assert (result.exit_code, result.stdout) == (1, "")
    problem = json.loads(result.stderr)
    assert problem["type"] == f"urn:pomeloyard:{reason}"
    assert problem["outcome"] == "not-run"


def test_wave_is_followed_and_moves_are_listed(operate):
    """Guards against a wave that ends before its VMs are back in service."""
    result = operate("wave", "start", "pool/orders", "--follow")
    status = answer_of(result)
    assert status["wave"]["state"] == "done"
    assert status["vms_by_progress"]["done"] == 3
    assert "pool-orders-1: running" in result.stderr
    assert answer_of(operate("wave", "status"))[0]["wave"]["wave_id"]
    explained = answer_of(operate("explain", "wave", "pool-orders-1"))
    assert explained["record"] == answer_of(operate("wave", "status"))[0]
    answer_of(operate("pool", "move", "spare-e000", "orders"))
    for _ in range(20):
        pools = {p["name"]: p for p in answer_of(operate("pool", "list"))}
    assert pools["orders"]["borrowed"] == ["spare-e000"]
    assert pools["spare"]["vms"] == 0
