"""The entry points for new users: example files, demonstration and --embedded."""

from __future__ import annotations

import os
import re
import signal
import subprocess
import sys
from pathlib import Path

import httpcore
import pytest

from pomeloyard.config.reader import read_directories

from .support.processes import SOURCE

EXAMPLES = SOURCE.parent / "examples"
ENVIRONMENT = {**os.environ, "PYTHONPATH": str(SOURCE)}


@pytest.mark.parametrize(("name", "zones", "vms"), [("lilim", 3, 6), ("hsinchu", 4, 8)])
def test_example_files_have_the_sizes_of_the_deployments(name, zones, vms):
    config = read_directories([EXAMPLES / name])
    regions = config.regions_by_name.values()
    assert sum(len(region.availability_zones) for region in regions) == zones
    assert len(config.services_by_name) == 5
    assert len({team.client_account for team in config.teams_by_name.values()}) == 6
    pools = config.pools_by_name.values()
    assert {(pool.executors, pool.workers) for pool in pools} == {(vms, vms)}
    assert [pool.spare for pool in pools].count(True) == 1
    for file in (EXAMPLES / name).rglob("*.toml"):
        assert len(file.read_text().splitlines()) < 60


def test_daemon_imports_nothing_that_only_tools_need():
    code = "import sys, pomeloyard.daemon; print(*sys.modules)"
    command = [sys.executable, "-c", code]
    output = subprocess.check_output(command, env=ENVIRONMENT, text=True)
    loaded = {name.partition(".")[0] for name in output.split()}
    assert loaded.isdisjoint({"rich", "matplotlib", "numpy", "pytest", "hypothesis"})
    assert not [m for m in output.split() if m.startswith("pomeloyard.standins")]


def test_demo_ends_with_status_0_and_leaves_no_process():
    command = [sys.executable, "-m", "pomeloyard.standins.demo"]
    demo = subprocess.Popen(
        command,
        env=ENVIRONMENT,
        stdout=subprocess.PIPE,
        text=True,
        start_new_session=True,
    )
    try:
        output, _ = demo.communicate(timeout=60)
    except subprocess.TimeoutExpired:
        demo.terminate()
        output, _ = demo.communicate(timeout=20)
        pytest.fail(f"the demonstration has not ended after 60 s:\n{output}")
    assert demo.returncode == 0, output
    assert "refuses it after" in output
    assert "the budget refused" in output
    assert processes_in_session(demo.pid) == []


def processes_in_session(session):
    found = []
    for stat in Path("/proc").glob("[0-9]*/stat"):
        try:
            fields = stat.read_text().rpartition(")")[2].split()
        except OSError:
            continue
        if int(fields[3]) == session:
            found.append(stat)
    return found


def test_embedded_fleet_answers_and_stops():
    command = [sys.executable, "-m", "pomeloyard.daemon", "--embedded"]
    fleet = subprocess.Popen(
        command, env=ENVIRONMENT, stdout=subprocess.PIPE, text=True
    )
    try:
        text = ""
        while "Ctrl-C" not in text:
            line = fleet.stdout.readline()
            assert line, text
            text += line
        key = re.search(r"^team key +(\S+)", text, re.M)[1]
        callers = re.search(r"^callers +(\S+)", text, re.M)[1]
        headers = {"Authorization": f"Bearer {key}"}
        answer = httpcore.request(
            "GET", f"{callers}/v1/services/orders/x", headers=headers
        )
        assert (answer.status, answer.content[-12:]) == (200, b" ran GET /x ")
        fleet.send_signal(signal.SIGTERM)
        assert fleet.wait(15) == 0
    finally:
        fleet.kill()
        fleet.wait()
        fleet.stdout.close()
