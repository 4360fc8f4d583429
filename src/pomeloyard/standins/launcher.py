"""Start and stop a small fleet as child processes on loopback."""

from __future__ import annotations

import itertools
import os
import socket
import subprocess
import sys
import time
from collections.abc import Callable
from functools import partial
from pathlib import Path

import httpcore
import msgspec

from ..errors import PomeloyardError
from ..keys import hash_key, new_key
from ..vm_platform.directory import Vm, VmRole

SOURCE = Path(__file__).resolve().parents[2]
FIRST_PORT = 10_000
PORT_COUNT = 22_000
PORTS_PER_PROCESS = 101
"""Offset between the first ports of processes with consecutive process IDs."""
START_SECONDS = 30.0
STOP_SECONDS = 15.0
ADDRESS_KINDS = ("caller", "operator", "peer", "metrics")

_MODULES_BY_ROLE = {
    VmRole.EXECUTOR: "pomeloyard.standins.endpoint",
    VmRole.WORKER: "pomeloyard.standins.worker",
}


_port_numbers = itertools.count(os.getpid() * PORTS_PER_PROCESS)


class LaunchError(PomeloyardError):
    """A process did not reach the expected state in time."""


def free_port() -> int:
    """Return a port of the loopback interface that nothing listens on.

    The ports are below the ephemeral range, which the system uses for outgoing
    connections. Each port is returned once: it stays free until its user
    listens, so a second probe could find the same one.
    """
    while True:
        port = FIRST_PORT + next(_port_numbers) % PORT_COUNT
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port


def wait_until(
    condition: Callable[[], bool], what: str, seconds: float = START_SECONDS
) -> float:
    """Wait for a condition and return the seconds it took."""
    started = time.monotonic()
    while not condition():
        if time.monotonic() - started > seconds:
            raise LaunchError(f"timed out after {seconds} s waiting for: {what}")
        time.sleep(0.02)
    return time.monotonic() - started


def responds_ok(url: str) -> bool:
    """Tell whether a URL responds with status 200."""
    try:
        return httpcore.request("GET", url).status == 200
    except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError):
        return False


class LocalFleet:
    """Platform, executors, workers and daemons as child processes."""

    def __init__(self, directory: Path) -> None:
        self._directory = directory
        self._processes_by_name: dict[str, subprocess.Popen[bytes]] = {}
        self._addresses_by_daemon: dict[str, dict[str, str]] = {}
        self._vms: list[Vm] = []
        self.operator_key = new_key()[0]
        self.platform_url = ""
        self.slow_store_url = ""

    @property
    def daemons(self) -> list[str]:
        """Return the names of the daemons."""
        return list(self._addresses_by_daemon)

    def add_vm(
        self, name: str, role: VmRole, pool: str, region: str, zone: str
    ) -> None:
        """Add a VM, which ``start_vms`` starts."""
        address = f"127.0.0.1:{free_port()}"
        cores = 16 if role is VmRole.WORKER else 0
        memory = 32 * 1024**3 if role is VmRole.WORKER else 0
        rack = f"{zone}-1"
        vm = Vm(
            name,
            role,
            pool,
            region,
            zone,
            rack,
            address,
            cores=cores,
            memory_bytes=memory,
        )
        self._vms.append(vm)

    def start_platform(self) -> None:
        """Start the platform stand-in with the VMs added so far."""
        port = free_port()
        file = self._directory / "vms.json"
        file.write_bytes(msgspec.json.encode(self._vms))
        self.platform_url = f"http://127.0.0.1:{port}"
        module = "pomeloyard.standins.platform"
        self.start("platform", module, "--port", str(port), "--vms", str(file))
        url = f"{self.platform_url}/v1/vms"
        wait_until(lambda: responds_ok(url), "platform answers")

    def start_slow_store(self, delay_ms: int) -> str:
        """Start a proxy that delays the store's traffic and return its store URL."""
        port = free_port()
        self.start("proxy", "pomeloyard.standins.fault_proxy", "--port", str(port))
        control = f"http://127.0.0.1:{port}"
        wait_until(partial(responds_ok, f"{control}/healthz"), "proxy answers")
        target = self.platform_url.removeprefix("http://")
        link = _call_proxy_control("PUT", f"{control}/links/store", {"target": target})
        faults = {"delay_seconds": delay_ms / 1000}
        _call_proxy_control("POST", f"{control}/links/store/faults", faults)
        self.slow_store_url = f"http://{link['address']}"
        return self.slow_store_url

    def start_vms(self) -> None:
        """Start the stand-ins of all executors and workers."""
        for vm in self._vms:
            port = vm.address.rsplit(":", 1)[1]
            module = _MODULES_BY_ROLE[vm.role]
            self.start(vm.name, module, "--port", port, "--name", vm.name)
        for vm in self._vms:
            url = f"http://{vm.address}/healthz"
            wait_until(partial(responds_ok, url), f"{vm.name} answers")

    def start_daemon(self, name: str, zone: str, store_url: str = "") -> None:
        """Start a daemon with a settings file of its own."""
        addresses = {kind: f"127.0.0.1:{free_port()}" for kind in ADDRESS_KINDS}
        settings: dict[str, object] = {
            "vm": name,
            "availability_zone": zone,
            "store_url": store_url or self.platform_url,
            "directory_url": self.platform_url,
            "bootstrap_key_sha256": hash_key(self.operator_key),
            "shutdown_seconds": 5.0,
            **{f"{kind}_address": address for kind, address in addresses.items()},
        }
        file = self._directory / f"{name}.toml"
        lines = [
            f"{k} = {msgspec.json.encode(v).decode()}" for k, v in settings.items()
        ]
        file.write_text("\n".join(lines) + "\n")
        self._addresses_by_daemon[name] = addresses
        self.start(name, "pomeloyard.daemon", "--settings", str(file))

    def wait_for_daemons(self, path: str) -> None:
        """Wait until all daemons return 200 for ``path`` ("healthz" or "readyz")."""
        for name in self.daemons:
            url = f"http://{self.address(name, 'metrics')}/{path}"
            wait_until(partial(responds_ok, url), f"{path} of {name}")

    def address(self, daemon: str, kind: str) -> str:
        """Return an address of a daemon; ``kind`` is one of ADDRESS_KINDS."""
        return self._addresses_by_daemon[daemon][kind]

    def addresses(self, kind: str) -> list[str]:
        """Return the addresses of all daemons."""
        return [self.address(name, kind) for name in self.daemons]

    def pid(self, name: str) -> int:
        """Return the process ID of a component."""
        return self._processes_by_name[name].pid

    def log_text(self, name: str) -> str:
        """Return the output of a process so far."""
        return (self._directory / f"{name}.log").read_text(errors="replace")

    def start(self, name: str, module: str, *arguments: str) -> None:
        """Start a module as a child process with its output in a file."""
        with (self._directory / f"{name}.log").open("ab") as output:
            self._processes_by_name[name] = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                env={**os.environ, "PYTHONPATH": str(SOURCE)},
            )

    def kill(self, name: str) -> None:
        """Kill a process, as a crash does."""
        self._processes_by_name[name].kill()
        self._processes_by_name[name].wait()

    def stop_daemons(self) -> dict[str, int]:
        """Stop the daemons gracefully and return their exit statuses by name."""
        processes = {name: self._processes_by_name[name] for name in self.daemons}
        for process in processes.values():
            process.terminate()
        return {name: _wait_for_exit(process) for name, process in processes.items()}

    def close(self) -> None:
        """Kill all processes that still run."""
        for process in self._processes_by_name.values():
            if process.poll() is None:
                process.kill()
        for process in self._processes_by_name.values():
            process.wait()


def _call_proxy_control(method: str, url: str, body: object) -> dict[str, object]:
    response = httpcore.request(method, url, content=msgspec.json.encode(body))
    if response.status != 200:
        raise LaunchError(f"{url}: status {response.status}")
    return dict(msgspec.json.decode(response.content))


def _wait_for_exit(process: subprocess.Popen[bytes]) -> int:
    try:
        return process.wait(STOP_SECONDS)
    except subprocess.TimeoutExpired:
        process.kill()
        return process.wait()
