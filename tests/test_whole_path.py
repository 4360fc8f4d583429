"""End-to-end requests, jobs and drains through real processes, without faults."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path

import httpcore
import pytest

from pomeloyard.vm_platform.directory import VmRole

from .support.processes import SOURCE, Fleet, wait_until

CONFIGURATION = Path(__file__).resolve().parent / "fleets"
DAEMONS = ("entry-1", "entry-2", "entry-3")


@pytest.fixture
def fleet(tmp_path):
    fleet = Fleet(tmp_path)
    fleet.add_vm("orders-e1", VmRole.EXECUTOR, "orders", "bulacan")
    fleet.add_vm("orders-e2", VmRole.EXECUTOR, "orders", "pampanga")
    fleet.add_vm("orders-w1", VmRole.WORKER, "orders", "bulacan", cores=16)
    fleet.start_platform()
    fleet.start_standins()
    for name in DAEMONS:
        fleet.start_daemon(name, "bulacan")
    for name in DAEMONS:
        fleet.wait_for_url(f"http://{fleet.address(name, 'metrics')}/healthz")
    yield fleet
    fleet.close()


def run_cli(fleet, *arguments, key=None):
    environment = {
        **os.environ,
        "PYTHONPATH": str(SOURCE),
        "POMELOYARD_DAEMONS": " ".join(fleet.address(n, "operator") for n in DAEMONS),
        "POMELOYARD_KEY": key or fleet.operator_key,
    }
    result = subprocess.run(
        [sys.executable, "-m", "pomeloyard.cli.main", *arguments],
        env=environment,
        capture_output=True,
        text=True,
        timeout=30,
    )
    assert result.returncode == 0, result.stderr
    return json.loads(result.stdout)


def call(fleet, daemon, method, path, key, body=None, **headers):
    response = httpcore.request(
        method,
        f"http://{fleet.address(daemon, 'caller')}{path}",
        headers={"Authorization": f"Bearer {key}", **headers},
        content=body,
    )
    return response.status, response.content


def test_request_job_and_drain_pass_through_three_daemons(fleet):
    assert run_cli(fleet, "config", "publish", str(CONFIGURATION)) == 1
    fleet.wait_ready(*DAEMONS)
    team_key = run_cli(fleet, "key", "grant", "--team", "mill")["key"]

    for name in DAEMONS:
        wait_until(
            lambda name=name: (
                call(fleet, name, "GET", "/v1/services/orders/quote", team_key)[0]
                == 200
            )
        )
        status, body = call(
            fleet, name, "POST", "/v1/services/orders/cut", team_key, b"net 7"
        )
        assert status == 200
        assert body.endswith(b"ran POST /cut net 7")

    job = json.dumps({"command": "sleep 0.2", "cores": 2}).encode()
    status, body = call(fleet, "entry-1", "POST", "/v1/jobs", team_key, job)
    assert status == 202
    job_path = f"/v1/jobs/{json.loads(body)['job_id']}"
    wait_until(
        lambda: (
            json.loads(call(fleet, "entry-2", "GET", job_path, team_key)[1])["state"]
            == "succeeded"
        )
    )

    run_cli(fleet, "vm", "drain", "orders-e1")
    wait_until(lambda: vm_state(fleet, "orders-e1") == "drained")
    for name in DAEMONS:
        _, body = call(fleet, name, "GET", "/v1/services/orders/quote", team_key)
        assert body.startswith(b"orders-e2")
    explanations = [explain(fleet, name, "vm/orders-e1") for name in DAEMONS]
    assert explanations[0] == explanations[1] == explanations[2]
    assert "asked-for-by-operator" in [
        d["reason"] for d in explanations[0]["decisions"]
    ]
    assert explanations[0]["silent"] == []
    decisions = explain(fleet, "entry-1", "membership/entry-2")["decisions"]
    assert {d["kind"] for d in decisions} == {"membership"}
    run_cli(fleet, "vm", "return", "orders-e1")
    assert vm_state(fleet, "orders-e1") == "in_service"

    statuses = [fleet.processes[name].stop() for name in DAEMONS]
    assert statuses == [0, 0, 0]


def vm_state(fleet, name):
    records = run_cli(fleet, "vm", "list")
    return {r["name"]: r["state"] for r in records}[name]


def explain(fleet, daemon, subject):
    url = f"http://{fleet.address(daemon, 'operator')}/v1/explain/{subject}"
    headers = {"Authorization": f"Bearer {fleet.operator_key}"}
    response = httpcore.request("GET", url, headers=headers)
    return json.loads(response.content)["explanation"]
