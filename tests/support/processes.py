"""Start and stop the daemons and stand-ins as child processes on loopback."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path

import httpcore
import msgspec

from pomeloyard.keys import KeyRecord, hash_key, new_key
from pomeloyard.standins.launcher import free_port
from pomeloyard.vm_platform.directory import Vm, VmRole

SOURCE = Path(__file__).resolve().parents[2] / "src"
START_TIMEOUT_SECONDS = 20.0


def wait_until(condition: Callable[[], bool], seconds: float = 15.0) -> None:
    """Wait for a condition; raise an AssertionError that names it on timeout."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.05)
    raise AssertionError(f"timed out after {seconds} s waiting for: {condition}")


class Process:
    """A Python module run as a child process with its output in a file."""

    def __init__(self, module: str, *arguments: str, log: Path) -> None:
        self.log = log
        with log.open("ab") as output:
            self._process = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                stdout=output,
                stderr=output,
                env={**os.environ, "PYTHONPATH": str(SOURCE)},
            )

    @property
    def pid(self) -> int:
        return self._process.pid

    def running(self) -> bool:
        return self._process.poll() is None

    def signal(self, number: signal.Signals) -> None:
        self._process.send_signal(number)

    def stop(self, seconds: float = 15.0) -> int:
        """Terminate the process gracefully and return its exit status."""
        if self.running():
            self.signal(signal.SIGCONT)
            self._process.terminate()
        try:
            return self._process.wait(seconds)
        except subprocess.TimeoutExpired:
            self.kill()
            raise

    def kill(self) -> None:
        self._process.kill()
        self._process.wait()

    def pause(self) -> None:
        self.signal(signal.SIGSTOP)

    def resume(self) -> None:
        self.signal(signal.SIGCONT)


class Fleet:
    """Platform, executors, workers and daemons of one test, as processes."""

    def __init__(self, directory: Path) -> None:
        self.directory = directory
        self.processes: dict[str, Process] = {}
        self.settings: dict[str, dict[str, object]] = {}
        self.vms: list[Vm] = []
        self.platform_url = ""
        self._control_url = ""
        self._listen_ports: dict[str, str] = {}
        self.operator_key, record = new_key()
        self.bootstrap_sha256 = hash_key(self.operator_key)
        assert isinstance(record, KeyRecord)

    def start_proxies(self) -> None:
        """Start the process that runs this fleet's fault proxies."""
        port = free_port()
        self._control_url = f"http://127.0.0.1:{port}"
        self._start("proxies", "pomeloyard.standins.fault_proxy", "--port", str(port))
        self.wait_for_url(f"{self._control_url}/healthz")

    def link(self, name: str, target: str) -> str:
        """Add a fault proxy to ``target`` and return its "host:port"."""
        return str(self._control("PUT", f"/links/{name}", target=target)["address"])

    def set_faults(self, name: str, **faults: object) -> None:
        """Replace the faults of a link; see ``fault_proxy.Faults``."""
        self._control("POST", f"/links/{name}/faults", **faults)

    def cut(self, name: str) -> None:
        self._control("POST", f"/links/{name}/cut")

    def silence(self, name: str) -> None:
        self._control("POST", f"/links/{name}/silence")

    def _control(self, method: str, path: str, **body: object) -> dict[str, object]:
        response = httpcore.request(
            method, self._control_url + path, content=msgspec.json.encode(body)
        )
        assert response.status == 200, response.content
        return dict(msgspec.json.decode(response.content))

    def add_vm(
        self,
        name: str,
        role: VmRole,
        pool: str,
        zone: str,
        *,
        proxied: bool = False,
        **more,
    ) -> Vm:
        """Add a VM; if proxied, daemons reach it through the link with its name."""
        address = f"127.0.0.1:{free_port()}"
        self._listen_ports[name] = address.rsplit(":", 1)[1]
        if proxied:
            address = self.link(name, address)
        rack = more.pop("rack", f"{zone}-1")
        vm = Vm(name, role, pool, "luzon", zone, rack, address, **more)
        self.vms.append(vm)
        return vm

    def direct_address(self, vm: Vm) -> str:
        """Return the VM's own address, which bypasses its link."""
        return f"127.0.0.1:{self._listen_ports[vm.name]}"

    def start_platform(self) -> None:
        port = free_port()
        file = self.directory / "vms.json"
        file.write_bytes(msgspec.json.encode(self.vms))
        self.platform_url = f"http://127.0.0.1:{port}"
        self._start(
            "platform",
            "pomeloyard.standins.platform",
            *("--port", str(port), "--vms", str(file)),
        )
        self.wait_for_url(f"{self.platform_url}/v1/vms")

    def start_standins(self) -> None:
        modules = {VmRole.EXECUTOR: "endpoint", VmRole.WORKER: "worker"}
        for vm in self.vms:
            if vm.role in modules:
                port = self._listen_ports[vm.name]
                module = f"pomeloyard.standins.{modules[vm.role]}"
                self._start(vm.name, module, "--port", port, "--name", vm.name)
        for vm in self.vms:
            if vm.role in modules:
                self.wait_for_url(f"http://{vm.address}/healthz")

    def start_daemon(
        self,
        name: str,
        zone: str,
        *,
        store_link: str = "",
        proxied_peers: bool = False,
        **more: object,
    ) -> None:
        """Start a daemon.

        ``store_link`` is the address of the link through which the daemon reaches
        the store. With ``proxied_peers``, other daemons reach it
        through the link "peer-NAME".
        """
        settings: dict[str, object] = {
            "vm": name,
            "availability_zone": zone,
            "store_url": self.platform_url,
            "directory_url": self.platform_url,
            "bootstrap_key_sha256": self.bootstrap_sha256,
            "shutdown_seconds": 5.0,
        }
        for kind in ("caller", "operator", "peer", "metrics"):
            settings[f"{kind}_address"] = f"127.0.0.1:{free_port()}"
        if store_link:
            settings["store_url"] = f"http://{store_link}"
        if proxied_peers:
            listen = str(settings["peer_address"])
            settings["peer_listen_address"] = listen
            settings["peer_address"] = self.link(f"peer-{name}", listen)
        settings.update(self.settings.get(name, {}))
        settings.update(more)
        self.settings[name] = settings
        file = self.directory / f"{name}.toml"
        lines = [
            f"{k} = {msgspec.json.encode(v).decode()}" for k, v in settings.items()
        ]
        file.write_text("\n".join(lines))
        self._start(name, "pomeloyard.daemon", "--settings", str(file))

    def address(self, daemon: str, kind: str) -> str:
        return str(self.settings[daemon][f"{kind}_address"])

    def wait_ready(self, *daemons: str) -> None:
        for name in daemons:
            self.wait_for_url(f"http://{self.address(name, 'metrics')}/readyz")

    def wait_for_url(self, url: str) -> None:
        def answers() -> bool:
            try:
                return httpcore.request("GET", url).status == 200
            except httpcore.NetworkError:
                return False

        wait_until(answers, START_TIMEOUT_SECONDS)

    def close(self) -> None:
        for process in reversed(self.processes.values()):
            if process.running():
                process.signal(signal.SIGCONT)
                process.kill()

    def _start(self, name: str, module: str, *arguments: str) -> None:
        log = self.directory / f"{name}.log"
        self.processes[name] = Process(module, *arguments, log=log)
