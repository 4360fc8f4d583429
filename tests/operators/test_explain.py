"""Explain route and commands, with decisions of several daemons."""

from __future__ import annotations

import anyio
import anyio.from_thread
import pytest

from pomeloyard.config.model import FleetConfig, TeamConfig
from pomeloyard.fleet.vms import VmRecord
from pomeloyard.jobs.job import Job, JobRequest, job_key
from pomeloyard.keys import KeyRing, Role, new_key
from pomeloyard.keyvalue.records import Change, commit_changes
from pomeloyard.operators.app import operator_app
from pomeloyard.serving import serving
from pomeloyard.vm_platform.directory import VmRole
from tests.operators.test_commands import run
from tests.operators.test_operator_app import Operator
from tests.test_explanations import daemon as peer_daemon
from tests.test_explanations import decision, replying

READER, READER_RECORD = new_key(role=Role.READ)
TEAM, TEAM_RECORD = new_key("mill")
JOB_ID = "5d1e0c7ab2f94e6688d10c37"
JOB = Job(JOB_ID, "mill", JobRequest("secret"), decision(0).at)


class ExplainedOperator(Operator):
    """A daemon with a peer that made decisions and optionally a silent peer."""

    def __init__(self, silent=False):
        super().__init__()
        networks = {}
        explanations = self.daemon.explanations = peer_daemon("a.1", networks, ())
        explanations._state, explanations._decisions = self.state, self.daemon.decisions
        peer_daemon("b.1", networks, [decision(1), decision(2, "wave/w 1")])
        if silent:
            replying("c.1", networks, None)
        self.daemon.decisions.record(decision(3))
        record = VmRecord("cut-3", VmRole.EXECUTOR, "orders")
        self.state.vm_records_by_name["cut-3"] = record
        self.state.keys = KeyRing().with_key(READER_RECORD).with_key(TEAM_RECORD)
        teams = {"mill": TeamConfig("mill", 1.0, 10)}
        self.state.config = FleetConfig("small", teams_by_name=teams)
        change = Change(job_key("mill", JOB_ID), JOB, None)
        anyio.run(commit_changes, self.store, [change])
        self.app = operator_app(self.daemon._operator_context())

    def explain(self, subject, key=READER):
        return self.call("GET", f"/v1/explain/{subject}", key=key)


# Each row: subject, status, daemons of the decisions.
SUBJECTS = [
    ("vm/cut-3", 200, ["b.1", "a.1"]),
    ("wave/w 1", 200, ["b.1"]),
    (f"job/{JOB_ID}", 200, []),
    (f"key/{READER_RECORD.key_id}", 200, []),
    ("vm/nowhere", 404, None),
    ("job/nowhere", 404, None),
    ("key/nowhere", 404, None),
    ("service/nowhere", 404, None),
    ("membership/nowhere", 404, None),
    ("pool/orders", 400, None),
    ("vm/" + "x" * 300, 400, None),
]


@pytest.mark.parametrize(("subject", "status", "daemons"), SUBJECTS)
def test_route_answers_with_all_decisions_or_a_typed_refusal(subject, status, daemons):
    """Guards against decisions shown only by the daemon that made them."""
    answer = ExplainedOperator().explain(subject)
    assert answer.status == status, answer.json
    if daemons is not None:
        decisions = answer.json["explanation"]["decisions"]
        assert [d["daemon"] for d in decisions] == daemons


def test_route_needs_an_operators_key_and_shows_no_secrets():
    """Guards against a team that can read decisions about other teams."""
    operator = ExplainedOperator()
    for key, status in (("", 401), ("nonsense", 401), (TEAM, 403)):
        assert operator.explain("vm/cut-3", key).status == status
    answer = operator.explain(f"job/{JOB_ID}")
    assert answer.json["record"]["team"] == "mill"
    assert b"secret" not in answer.body


@pytest.mark.parametrize("subject", [f"job/{JOB_ID}", "wave/w 1"])
def test_store_outage_leaves_the_decisions(subject):
    """Guards against explanations that are unavailable during a store outage."""
    operator = ExplainedOperator()
    operator.store.down = True
    answer = operator.explain(subject)
    assert (answer.status, answer.json["record_read"]) == (200, False)


def test_commands_show_the_merged_decisions_and_who_is_silent():
    """Guards against commands that hide that an answer is incomplete."""
    operator = ExplainedOperator(silent=True)
    with (
        anyio.from_thread.start_blocking_portal() as portal,
        portal.wrap_async_context_manager(
            portal.call(serving, operator.app)
        ) as operator.address,
    ):
        answer = run(operator, "explain", "vm", "cut-3", key=READER)
        vm = run(operator, "vm", "explain", "cut-3", key=READER)
        table = run(operator, "explain", "wave", "w 1", output="table", key=READER)
        vm_table = run(operator, "vm", "explain", "cut-3", output="table", key=READER)
        unknown = run(operator, "explain", "vm", "nowhere", key=READER)
        run(operator, "explain", "pool", "orders", key=READER, status=2)
    assert vm["vm"]["name"] == "cut-3"
    for explanation in (answer["explanation"], vm):
        assert [d["daemon"] for d in explanation["decisions"]] == ["b.1", "a.1"]
        assert explanation["silent"] == ["c.1"]
    for result in (table, vm_table):
        assert "b.1" in result.stdout
        assert "no answer from: c.1" in result.stderr
    # The silent daemon may know the subject, so this is not "not-found".
    assert unknown["explanation"]["decisions"] == []
