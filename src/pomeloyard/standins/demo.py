"""Demonstration with real processes; exits with status 0 within a minute."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from pathlib import Path
from typing import Any

import httpcore

from ..operators.client import OperatorClient
from ..vm_platform.directory import VmRole
from .launcher import SOURCE, LaunchError, LocalFleet, wait_until

EXAMPLE = SOURCE.parent / "examples" / "lilim"
TEAMS = ("bulacan-desk", "pampanga-desk", "mill")
ZONES = ("bulacan", "pampanga", "laguna")
SERVICES = ("cutting-mill", "catalog")
EXECUTORS_PER_POOL = 6
REQUESTS_PER_TEAM = 30
JOBS_PER_TEAM = 2
RETRIED_STATUSES = (429, 503)
HTTP_UNAUTHORIZED = 401


class Demo:
    """One run of the demonstration."""

    def __init__(self, fleet: LocalFleet) -> None:
        self._fleet = fleet
        self._client: OperatorClient | None = None
        self._keys_by_team: dict[str, dict[str, str]] = {}

    def run(self) -> None:
        """Run all steps; raise LaunchError if one fails."""
        self.start()
        self.publish()
        self.send_requests()
        self.run_jobs()
        self.withdraw_key()
        self.drain()
        self.stop()

    def start(self) -> None:
        """Start the processes."""
        fleet = self._fleet
        for service in SERVICES:
            for number in range(EXECUTORS_PER_POOL):
                zone = ZONES[number % len(ZONES)]
                name = f"{service}-e{number + 1}"
                fleet.add_vm(name, VmRole.EXECUTOR, service, "luzon", zone)
            fleet.add_vm(f"{service}-w1", VmRole.WORKER, service, "luzon", ZONES[0])
        _print_step("Starting the platform, 12 executors, 2 workers and 3 daemons")
        fleet.start_platform()
        fleet.start_vms()
        for number, zone in enumerate(ZONES, 1):
            fleet.start_daemon(f"entry-{number}", zone)
        fleet.wait_for_daemons("healthz")
        self._client = OperatorClient(fleet.addresses("operator"), fleet.operator_key)

    def publish(self) -> None:
        """Publish the example files and grant a key to each team."""
        _print_step(f"Publishing the files below {EXAMPLE.name} as one revision")
        self._run_cli("config", "publish", "--wait", str(EXAMPLE))
        self._fleet.wait_for_daemons("readyz")
        self._run_cli("--output", "table", "config", "status")
        for team in TEAMS:
            self._keys_by_team[team] = self._call_operator(
                "POST", "/v1/keys", {"team": team}
            )
        _print_step(
            "Waiting until the daemons have divided the partitions among themselves"
        )
        seconds = wait_until(self._partitions_divided, "all partitions are held")
        print(f"  done after {seconds:.1f} s")

    def send_requests(self) -> None:
        """Send requests of three teams through three daemons."""
        _print_step(
            f"Sending {REQUESTS_PER_TEAM} requests of each team through all daemons"
        )
        work = [(t, n) for n in range(REQUESTS_PER_TEAM) for t in TEAMS]
        with ThreadPoolExecutor(12) as threads:
            executor_names = list(threads.map(lambda item: self._request(*item), work))
        for team in TEAMS:
            executors = Counter(
                a for (t, _), a in zip(work, executor_names, strict=True) if t == team
            )
            shown = ", ".join(
                f"{name} {count}" for name, count in sorted(executors.items())
            )
            print(f"  {team}: {executors.total()} complete answers ({shown})")

    def run_jobs(self) -> None:
        """Submit jobs of three teams and wait until they have succeeded."""
        _print_step(f"Submitting {JOBS_PER_TEAM} jobs of each team")
        jobs = [(t, self._submit(t, n)) for t in TEAMS for n in range(JOBS_PER_TEAM)]
        for team, job_id in jobs:
            succeeded = partial(self._has_succeeded, team, job_id)
            wait_until(succeeded, f"job {job_id} succeeded")
            worker = self._job(team, job_id).get("worker") or "a worker"
            print(f"  {team}: job {job_id[:8]} succeeded on {worker}")

    def withdraw_key(self) -> None:
        """Withdraw a key and check that every daemon refuses it."""
        team = TEAMS[0]
        _print_step(f"Withdrawing the key of {team}")
        started = time.monotonic()
        self._run_cli("key", "withdraw", self._keys_by_team[team]["key_id"])
        for daemon in self._fleet.daemons:
            wait_until(
                partial(self._refuses, daemon, team), f"{daemon} refuses the key"
            )
            print(f"  {daemon} refuses it after {time.monotonic() - started:.2f} s")

    def drain(self) -> None:
        """Drain VMs within the budget, until the budget refuses one."""
        _print_step(
            "Draining executors of the cutting mill, as far as its budget allows"
        )
        drained = []
        for number in range(1, EXECUTORS_PER_POOL + 1):
            name = f"cutting-mill-e{number}"
            if not self._run_cli(
                "--output", "table", "vm", "drain", name, may_fail=True
            ):
                break
            drained.append(name)
            wait_until(partial(self._is_in_state, name, "drained"), f"{name} drained")
            print(f"  {name} is drained and receives nothing")
        if not drained or len(drained) == EXECUTORS_PER_POOL:
            raise LaunchError(f"{len(drained)} drains were allowed")
        print(f"  the budget refused to drain more than {len(drained)}")
        for name in drained:
            self._run_cli("--output", "table", "vm", "return", name, quiet=True)
            wait_until(partial(self._is_in_state, name, "in_service"), f"{name} back")
            print(f"  {name} is back in service")

    def stop(self) -> None:
        """Stop the daemons gracefully."""
        _print_step("Stopping the daemons")
        for name, status in self._fleet.stop_daemons().items():
            print(f"  {name} ended with status {status}")
            if status != 0:
                raise LaunchError(f"{name} ended with status {status}")

    def _call_operator(self, method: str, path: str, body: object = None) -> Any:
        assert self._client is not None
        return self._client.call(method, path, body)

    def _partitions_divided(self) -> bool:
        status = self._call_operator("GET", "/v1/fleet")
        held = [daemon["partitions"] for daemon in status["daemons"]]
        all_hold = len(held) == len(ZONES) and min(held) > 0
        return all_hold and status["unheld_partitions"] == 0

    def _is_in_state(self, name: str, state: str) -> bool:
        records = self._call_operator("GET", "/v1/vms")
        return any(r["name"] == name and r["state"] == state for r in records)

    def _has_succeeded(self, team: str, job_id: str) -> bool:
        return bool(self._job(team, job_id)["state"] == "succeeded")

    def _refuses(self, daemon: str, team: str) -> bool:
        return self._send(daemon, team, "GET", "/quote")[0] == HTTP_UNAUTHORIZED

    def _request(self, team: str, number: int) -> str:
        """Return the executor that ran a request; retry after refusals."""
        daemon = self._fleet.daemons[number % len(self._fleet.daemons)]
        path = f"/cut/{number}?work_ms=20"
        for _ in range(20):
            status, body, headers = self._send(daemon, team, "GET", path)
            if status == 200:
                return headers.get(b"x-executor", b"?").decode()
            if status not in RETRIED_STATUSES:
                break
            time.sleep(0.2)
        raise LaunchError(f"request of {team}: status {status}: {body!r}")

    def _send(
        self, daemon: str, team: str, method: str, path: str
    ) -> tuple[int, bytes, dict[bytes, bytes]]:
        target = f"/v1/services/cutting-mill{path}"
        return self._call_daemon(daemon, team, method, target)

    def _submit(self, team: str, number: int) -> str:
        daemon = self._fleet.daemons[number % len(self._fleet.daemons)]
        job = json.dumps({"command": "sleep 0.5", "cores": 2}).encode()
        status, body, _ = self._call_daemon(daemon, team, "POST", "/v1/jobs", job)
        if status not in (200, 201, 202):
            raise LaunchError(f"job of {team}: status {status}: {body!r}")
        return str(json.loads(body)["job_id"])

    def _job(self, team: str, job_id: str) -> dict[str, Any]:
        daemon = self._fleet.daemons[-1]
        _, body, _ = self._call_daemon(daemon, team, "GET", f"/v1/jobs/{job_id}")
        answer: dict[str, Any] = json.loads(body)
        return answer

    def _call_daemon(
        self, daemon: str, team: str, method: str, path: str, body: bytes | None = None
    ) -> tuple[int, bytes, dict[bytes, bytes]]:
        key = self._keys_by_team[team]["key"]
        response = httpcore.request(
            method,
            f"http://{self._fleet.address(daemon, 'caller')}{path}",
            headers={"Authorization": f"Bearer {key}"},
            content=body,
        )
        headers = {name.lower(): value for name, value in response.headers}
        return response.status, response.content, headers

    def _run_cli(
        self, *arguments: str, may_fail: bool = False, quiet: bool = False
    ) -> bool:
        """Run the command-line tool, print its output and tell whether it succeeded."""
        shown = " ".join(a for a in arguments if a not in ("--output", "table"))
        print(
            f"  $ pomeloyard {shown.replace(str(EXAMPLE), 'examples/lilim')}",
            flush=True,
        )
        environment = {
            **os.environ,
            "PYTHONPATH": str(SOURCE),
            "POMELOYARD_DAEMONS": " ".join(self._fleet.addresses("operator")),
            "POMELOYARD_KEY": self._fleet.operator_key,
        }
        command = [sys.executable, "-m", "pomeloyard.cli.main", *arguments]
        result = subprocess.run(
            command, env=environment, capture_output=True, text=True
        )
        lines = result.stderr + ("" if quiet else result.stdout)
        for line in lines.splitlines():
            print(f"    {line}")
        if result.returncode != 0 and not may_fail:
            raise LaunchError(f"{shown}: status {result.returncode}")
        return result.returncode == 0


def _print_step(text: str) -> None:
    print(f"\n{text}", flush=True)


def _exit_on_signal(number: int, frame: object) -> None:
    raise SystemExit(128 + number)


def main() -> None:
    """Run the demonstration; exit with status 1 if a step fails."""
    signal.signal(signal.SIGTERM, _exit_on_signal)
    started = time.monotonic()
    with tempfile.TemporaryDirectory() as directory:
        fleet = LocalFleet(Path(directory))
        try:
            Demo(fleet).run()
        except LaunchError as error:
            print(f"error: {error}", file=sys.stderr)
            for name in fleet.daemons:
                print(
                    f"--- log of {name}\n{fleet.log_text(name)[-2000:]}",
                    file=sys.stderr,
                )
            raise SystemExit(1) from error
        finally:
            fleet.close()
    print(f"\nDone after {time.monotonic() - started:.0f} s; no process is left.")


if __name__ == "__main__":
    main()
