"""Keyed requests to real daemon processes that are killed and paused."""

import json
import signal
import threading
import time

import httpcore
import pytest

from pomeloyard.vm_platform.directory import VmRole

from .support.processes import Fleet, wait_until
from .test_whole_path import CONFIGURATION, DAEMONS, call, run_cli

KEYS = 30


@pytest.fixture
def fleet(tmp_path):
    fleet = Fleet(tmp_path)
    for number in (1, 2):
        fleet.add_vm(f"orders-e{number}", VmRole.EXECUTOR, "orders", "bulacan")
    fleet.start_platform()
    fleet.start_standins()
    for name in DAEMONS:
        fleet.start_daemon(name, "bulacan")
    for name in DAEMONS:
        fleet.wait_for_url(f"http://{fleet.address(name, 'metrics')}/healthz")
    yield fleet
    fleet.close()


def send(fleet, daemon, team_key, key):
    path = "/v1/services/orders/cut?work_ms=20"
    try:
        return call(fleet, daemon, "POST", path, team_key, b"1", **key_header(key))
    except (httpcore.NetworkError, httpcore.ProtocolError):
        return 0, b""


def key_header(key):
    return {"Idempotency-Key": key}


def executions(fleet):
    counts = {}
    for vm in fleet.vms:
        audit = httpcore.request("GET", f"http://{vm.address}/standin/audit").content
        for execution in json.loads(audit)["executions"]:
            key = execution["idempotency_key"]
            counts[key] = counts.get(key, 0) + 1
    return counts


def test_no_key_runs_twice_while_daemons_are_killed_and_paused(fleet):
    """Guards against a duplicate execution, and reporting work that ran as refused."""
    run_cli(fleet, "config", "publish", str(CONFIGURATION))
    fleet.wait_ready(*DAEMONS)
    team_key = run_cli(fleet, "key", "grant", "--team", "mill")["key"]
    for name in DAEMONS:
        wait_until(lambda n=name: send(fleet, n, team_key, f"first-{n}")[0] == 200)

    answers = {f"k{number}": [] for number in range(KEYS)}

    def send_all_keys(offset):
        for number, (key, responses) in enumerate(answers.items()):
            name = DAEMONS[(number + offset) % len(DAEMONS)]
            if name == "entry-3" and offset == 2:
                continue  # the paused daemon would block this thread
            responses.append(send(fleet, name, team_key, key))
            time.sleep(0.01)

    threads = [threading.Thread(target=send_all_keys, args=(o,)) for o in (0, 1, 2)]
    for thread in threads:
        thread.start()
    fleet.processes["entry-3"].signal(signal.SIGSTOP)
    fleet.processes["entry-1"].kill()
    time.sleep(0.5)  # lets the fault last for some requests; no check depends on it
    fleet.processes["entry-3"].signal(signal.SIGCONT)
    fleet.start_daemon("entry-1", "bulacan")
    for thread in threads:
        thread.join()

    def settled(key):
        statuses = [send(fleet, name, team_key, key)[0] for name in DAEMONS]
        return all(status in (200, 409) for status in statuses)

    for key in answers:
        wait_until(lambda key=key: settled(key))
    counts = executions(fleet)
    assert all(counts[key] == 1 for key in answers if counts.get(key, 0)), counts
    for key, responses in answers.items():
        if any(status == 200 for status, _ in responses):
            assert counts[key] == 1
