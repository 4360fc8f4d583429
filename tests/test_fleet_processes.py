"""Drains with real daemon processes, running requests and a killed controller."""

from __future__ import annotations

import base64
import json
import os
import subprocess
import sys
import threading

import httpcore
import pytest

from pomeloyard.keyvalue import layout
from pomeloyard.vm_platform.directory import VmRole

from .support.processes import SOURCE, Fleet, wait_until

DAEMONS = ("entry-1", "entry-2", "entry-3")
CONFIG = """
[fleet]
name = "drains"
[regions.luzon]
availability_zones = ["bulacan", "pampanga"]
[pools.orders]
executors = 2
[services.orders]
pool = "orders"
budget = { min_available = 1 }
drain_timeout = "2s"
request_timeout = "4s"
[teams.mill]
share = 1.0
limit = 40
"""


@pytest.fixture
def fleet(tmp_path):
    fleet = Fleet(tmp_path)
    fleet.add_vm("orders-e1", VmRole.EXECUTOR, "orders", "bulacan")
    fleet.add_vm("orders-e2", VmRole.EXECUTOR, "orders", "pampanga")
    try:
        start(fleet, tmp_path)
        yield fleet
    finally:
        # Also if the start fails, so that no process keeps running.
        fleet.close()


def start(fleet, directory):
    fleet.start_platform()
    fleet.start_standins()
    for name in DAEMONS:
        fleet.start_daemon(name, "bulacan")
    for name in DAEMONS:
        fleet.wait_for_url(f"http://{fleet.address(name, 'metrics')}/healthz")
    (directory / "drains.pomeloyard.toml").write_text(CONFIG)
    operate(fleet, "config", "publish", str(directory))
    fleet.wait_ready(*DAEMONS)


def operate(fleet, *arguments, check=True):
    alive = [name for name in DAEMONS if fleet.processes[name].running()]
    environment = {
        **os.environ,
        "PYTHONPATH": str(SOURCE),
        "POMELOYARD_DAEMONS": " ".join(fleet.address(n, "operator") for n in alive),
        "POMELOYARD_KEY": fleet.operator_key,
    }
    command = [sys.executable, "-m", "pomeloyard.cli.main", *arguments]
    result = subprocess.run(
        command, env=environment, capture_output=True, text=True, timeout=60
    )
    if not check:
        return result
    assert result.returncode == 0, result.stderr
    return json.loads(result.stdout)


def controller_of(fleet):
    """Return a daemon that has held the controller role, according to its log."""
    holders = [
        name
        for name in DAEMONS
        if "holds role controller" in fleet.processes[name].log.read_text()
    ]
    return holders[-1] if holders else None


def partitions_of(fleet, daemon):
    """Return how many partitions a daemon holds, from the store."""
    key = base64.b64encode(layout.PARTITIONS.encode()).decode()
    body = json.dumps({"key": key}).encode()
    url = f"{fleet.platform_url}/v3/kv/range"
    answer = httpcore.request("POST", url, content=body)
    [entry] = json.loads(answer.content)["kvs"]
    table = json.loads(base64.b64decode(entry["value"]))["data"]
    holders = [partition["holder"] for partition in table["partitions"]]
    return sum(holder.startswith(f"{daemon}.") for holder in holders)


def running_at(fleet, name):
    vm = next(vm for vm in fleet.vms if vm.name == name)
    audit = httpcore.request("GET", f"http://{vm.address}/standin/audit")
    return json.loads(audit.content)["running"]


def test_drain_waits_for_requests_and_survives_a_killed_controller(fleet):
    """Guards against reboots during requests and drains that never complete."""
    wait_until(lambda: len(operate(fleet, "vm", "list")) == 2)
    wait_until(lambda: controller_of(fleet) is not None)
    controller = controller_of(fleet)
    entry = next(name for name in DAEMONS if name != controller)
    key = operate(fleet, "key", "grant", "--team", "mill")["key"]
    url = f"http://{fleet.address(entry, 'caller')}/v1/services/orders/cut"
    headers = {"Authorization": f"Bearer {key}"}
    # Daemons take one partition a second; with fewer, requests may wait for a slot.
    wait_until(lambda: partitions_of(fleet, entry) >= 6)
    wait_until(lambda: httpcore.request("GET", url, headers=headers).status == 200)

    statuses = []
    threads = [
        threading.Thread(
            target=lambda: statuses.append(
                httpcore.request("GET", f"{url}?work_ms=3000", headers=headers).status
            )
        )
        for _ in range(2)
    ]
    for thread in threads:
        thread.start()
    # The drain must not lose a request that has started. Which executor runs them
    # depends on the slots of the daemon's partitions.
    names = [vm.name for vm in fleet.vms]
    wait_until(lambda: sum(running_at(fleet, name) for name in names) == 2)
    names.sort(key=lambda name: running_at(fleet, name))
    idle, busy = names
    operate(fleet, "vm", "drain", busy)
    refused = operate(fleet, "vm", "drain", idle, check=False)
    assert refused.returncode == 1
    assert "budget-exceeded" in refused.stderr
    fleet.processes[controller].kill()

    def drained():
        states = {vm["name"]: vm["state"] for vm in operate(fleet, "vm", "list")}
        if states[busy] != "drained":
            return False
        assert running_at(fleet, busy) == 0
        return True

    wait_until(drained, 30)
    for thread in threads:
        thread.join()
    assert statuses == [200] * 2
    operate(fleet, "vm", "return", busy)
    assert operate(fleet, "budget", "orders")[0]["spent"] == {}
