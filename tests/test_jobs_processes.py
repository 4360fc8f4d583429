"""Jobs on daemon processes while the scheduler is killed or paused."""

import json
import signal

import anyio
import httpcore
import pytest

from pomeloyard.fleet_state import RoleRecord
from pomeloyard.keyvalue import layout
from pomeloyard.keyvalue.etcd import EtcdStore
from pomeloyard.keyvalue.records import read_record
from pomeloyard.vm_platform.directory import VmRole
from tests.support.processes import Fleet, wait_until
from tests.test_whole_path import CONFIGURATION, DAEMONS, call, run_cli

JOBS = 8
"""The limit of team mill in the example is 8 units."""


@pytest.fixture
def fleet(tmp_path):
    fleet = Fleet(tmp_path)
    for n in range(2):
        fleet.add_vm(f"w{n}", VmRole.WORKER, "orders", "bulacan", cores=8)
    fleet.start_platform()
    fleet.start_standins()
    for name in DAEMONS:
        fleet.start_daemon(name, "bulacan")
    for name in DAEMONS:
        fleet.wait_for_url(f"http://{fleet.address(name, 'metrics')}/healthz")
    yield fleet
    fleet.close()


def scheduler_of(fleet):
    async def read():
        store = EtcdStore(fleet.platform_url)
        try:
            key = layout.ROLES + "scheduler"
            return await read_record(store, key, RoleRecord)
        finally:
            await store.close()

    record = anyio.run(read)
    return None if record is None else record.value.holder.rsplit(".", 1)[0]


def starts(fleet):
    """Return the job id of every task start, with repetitions."""
    history = []
    for vm in fleet.vms:
        answer = httpcore.request("GET", f"http://{vm.address}/standin/audit")
        history += json.loads(answer.content)["history"]
    return [entry["job"] for entry in history]


@pytest.mark.parametrize("fault", [signal.SIGKILL, signal.SIGSTOP])
def test_jobs_survive_the_loss_of_their_scheduler(fleet, fault):
    """Guards against lost or duplicated jobs if a daemon dies or is paused (R8)."""
    run_cli(fleet, "config", "publish", str(CONFIGURATION))
    fleet.wait_ready(*DAEMONS)
    team_key = run_cli(fleet, "key", "grant", "--team", "mill")["key"]
    wait_until(lambda: scheduler_of(fleet) is not None)
    holder = scheduler_of(fleet)
    other = next(name for name in DAEMONS if name != holder)
    listing = ("GET", "/v1/jobs", team_key)
    wait_until(lambda: call(fleet, other, *listing)[0] == 200)

    ids = set()
    for n in range(2 * JOBS):
        body = json.dumps({"command": "sleep 3", "memory_bytes": 2**20}).encode()
        headers = {"Idempotency-Key": f"k{n}"}
        answer = call(fleet, other, "POST", "/v1/jobs", team_key, body, **headers)
        assert answer[0] == 202
        ids.add(json.loads(answer[1])["job_id"])
    wait_until(lambda: len(starts(fleet)) >= JOBS)
    fleet.processes[holder].signal(fault)
    wait_until(lambda: scheduler_of(fleet) not in (None, holder))
    if fault is signal.SIGSTOP:
        fleet.processes[holder].signal(signal.SIGCONT)

    def states():
        jobs = json.loads(call(fleet, other, *listing)[1])["jobs"]
        return {job["job_id"]: job["state"] for job in jobs}

    wait_until(lambda: set(states().values()) == {"succeeded"}, 30)
    assert set(states()) == ids
    assert sorted(starts(fleet)) == sorted(ids)
