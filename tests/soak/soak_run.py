"""Randomized soak: real daemons, faults from outside, promises checked meanwhile.

    python -m tests.soak.soak_run --seeds 1-50 [--jobs 4] [--seconds 12]

prints a line a seed and exits with 1 if any promise was broken. Only processes that
the soak started are signalled, by their ids.
"""

from __future__ import annotations

import argparse
import json
import logging
import os
import shutil
import signal
import subprocess
import sys
import tempfile
import time
from contextlib import AsyncExitStack
from datetime import timedelta
from pathlib import Path

import anyio

from pomeloyard.errors import CallNotSentError, CallUnansweredError
from pomeloyard.keyvalue import layout
from pomeloyard.platform.http import HttpClient
from pomeloyard.serving import serving
from pomeloyard.standins.fault_proxy import Faults, proxying
from tests.soak.soak_yard import WITHDRAWAL_S, Yard, YardExecutor

ROOT = Path(__file__).resolve().parents[2]
DAEMONS = 4
EXECUTORS = 5
CAPACITY = 4000
SETTLE_S = 40.0
"""After the faults all accepted jobs must end within this: the longest wait for a
silent executor's leases, 22.2 s, a change of the role and the work itself."""
START_LIMIT_S = 15.0
EXIT_LIMIT_S = 10.0
"""The platform's grace of 6 s, and a pause that overlaps it."""
CALL_TIMEOUT = timedelta(seconds=2.5)


class Daemon:
    """One daemon process."""

    def __init__(self, number, ip, folder, settings):
        self.number = number
        self.ip = ip
        self.front = f"{ip}:8340"
        self.ready = f"{ip}:8343"
        self.file = folder / f"boot-{number}.json"
        self.log = folder / f"daemon-{number}.log"
        listen = {"front": self.front, "ready_addr": self.ready}
        content = {"node_name": f"d-{number}", "ip": ip, "zone": "z1"}
        self.file.write_text(
            json.dumps({**content, "listen_addrs": listen, **settings})
        )
        self.process = None
        self.paused = False
        self.double_starts = 0

    def start(self):
        if self.running():
            # Two overlapping faults of one daemon: the first has started it again.
            self.double_starts += 1
            return
        # The executors of the soak restart under their ids.
        environment = {
            **os.environ,
            "POMELOYARD_CONFIG": str(self.file),
            "POMELOYARD_EXECUTOR_IDS": "kept",
        }
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "deploy/daemon.py"],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def running(self):
        return self.process is not None and self.process.poll() is None

    def end(self):
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()


class Soak:
    """One seed."""

    def __init__(self, seed, seconds, folder):
        self.seed = seed
        self.seconds = seconds
        self.folder = folder
        self.yard = Yard(seed)
        self.chance = self.yard.chance
        self.audit = self.yard.audit
        self.daemons = []
        self.store_proxies = []
        self.executor_proxies = {}
        self.faults_until = 0.0
        self.done = {}
        self.faults = []
        self.answers = {}

    async def run(self):
        async with AsyncExitStack() as stack:
            tasks = await stack.enter_async_context(anyio.create_task_group())
            self.tasks = tasks
            self.caller = HttpClient()
            stack.push_async_callback(self.caller.close)
            store = await stack.enter_async_context(serving(self.yard.store_app()))
            vms = await stack.enter_async_context(serving(self.yard.vm_app()))
            await self.yard.publish()
            await self.start_executors(stack, tasks)
            try:
                await self.start_daemons(stack, store, vms)
                await self.play(tasks)
                await self.settle()
            finally:
                for daemon in self.daemons:
                    daemon.end()
                tasks.cancel_scope.cancel()
        return self.audit.broken

    async def start_executors(self, stack, tasks):
        for number in range(EXECUTORS):
            executor = YardExecutor(self.audit, self.chance, f"i-{number}", CAPACITY)
            address = await stack.enter_async_context(serving(executor.app(tasks)))
            proxy = await stack.enter_async_context(proxying(address))
            self.yard.executors[executor.executor_id] = executor
            self.yard.addresses[executor.executor_id] = proxy.address
            self.executor_proxies[executor.executor_id] = proxy
            await self.yard.register(executor)

    async def start_daemons(self, stack, store, vms):
        for number in range(DAEMONS):
            proxy = await stack.enter_async_context(proxying(store))
            self.store_proxies.append(proxy)
            ip = f"127.{1 + self.seed // 200 % 100}.{self.seed % 200}.{number + 2}"
            settings = {
                "platform": {"address": proxy.address},
                "cloud_api": {"address": vms},
            }
            daemon = Daemon(number, ip, self.folder, settings)
            self.daemons.append(daemon)
            daemon.start()
        with anyio.fail_after(START_LIMIT_S):
            for daemon in self.daemons:
                while not await self.is_ready(daemon):
                    await anyio.sleep(0.1)

    async def is_ready(self, daemon):
        try:
            limit = timedelta(seconds=1)
            answer = await self.caller.request("GET", daemon.ready, "/ready", limit)
        except (CallNotSentError, CallUnansweredError):
            return False
        return answer.status == 200

    async def play(self, tasks):
        ends = time.monotonic() + self.seconds
        self.faults_until = ends
        async with anyio.create_task_group() as play:
            for number in range(8):
                play.start_soon(self.client, number, ends)
            for _ in range(3):
                play.start_soon(self.trouble, ends)

    # Clients

    async def client(self, number, ends):
        count = 0
        while time.monotonic() < ends:
            job = f"{self.seed:04x}{number:04x}{count:08x}"
            count += 1
            key = self.chance.choice(["key-a", "key-b", "key-c"])
            await self.hand_in(job, key)
            await anyio.sleep(self.chance.uniform(0.1, 0.5))

    async def hand_in(self, job, key):
        cpu = self.chance.choice([500, 1000, 1500])
        width = self.chance.randrange(1, 5)
        spec = json.dumps({"cpu": cpu, "ms": self.chance.choice([200, 500, 1200])})
        steps = [{"count": width, "cpu": cpu, "mem_mb": 10, "est_ms": 500}]
        if self.chance.random() < 0.4:
            steps.append({**steps[0], "after": [0]})
        body = json.dumps({"task_spec": spec, "steps": steps}).encode()
        refused = []
        for _ in range(4):
            status = await self.call("POST", job, key, body)
            if status == 200:
                self.audit.accepted.add(job)
                break
            refused.append(status in (429, 503, 401, 404))
            await anyio.sleep(0.3)
        else:
            if all(refused):
                self.audit.refused_only.add(job)
            return
        if self.chance.random() < 0.1:
            await anyio.sleep(self.chance.uniform(0, 0.5))
            if await self.call("DELETE", job, key) in (200, 410):
                self.audit.cancel_confirmed[job] = time.monotonic()

    async def call(self, method, job, key, body=b""):
        daemon = self.chance.choice(self.daemons)
        headers = {"X-Credential": key, "X-Deadline-Ms": "2000"}
        sent = time.monotonic()
        try:
            answer = await self.caller.request(
                method,
                daemon.front,
                f"/cuts/{job}",
                CALL_TIMEOUT,
                body,
                {**headers, "Host": "yard.example"},
            )
        except (CallNotSentError, CallUnansweredError):
            return 0
        withdrawn = self.audit.withdrawn.get(key)
        late = withdrawn is not None and sent > withdrawn + WITHDRAWAL_S
        if late and answer.status == 200:
            self.audit.note("CONFIG", f"{method} with withdrawn {key} is answered")
        if method == "GET" and answer.status == 200:
            self.done[job] = json.loads(answer.body)["state"]
        return answer.status

    # Faults

    async def trouble(self, ends):
        kinds = [
            self.kill,
            self.pause,
            self.terminate,
            self.hang_up,
            self.cut_store,
            self.lose_answers,
            self.slow_store,
            self.forget_history,
            self.drop_role,
            self.crash_executor,
            self.silence_executor,
            self.late_orders,
            self.bad_registration,
            self.publish,
            self.withdraw,
        ]
        while time.monotonic() < ends - 1:
            await anyio.sleep(self.chance.uniform(0.2, 1.2))
            kind = self.chance.choice(kinds)
            self.faults.append(f"{time.time() % 1000:.1f} {kind.__name__}")
            await kind(self.chance.uniform(0.5, 3.0))
            self.faults.append(f"{time.time() % 1000:.1f} end of {kind.__name__}")

    async def kill(self, seconds):
        daemon = self.chance.choice(self.daemons)
        daemon.signal(signal.SIGKILL)
        await self.restart(daemon, seconds / 2)

    async def restart(self, daemon, seconds):
        ending = daemon.process
        await anyio.sleep(seconds)
        with anyio.move_on_after(EXIT_LIMIT_S) as waiting:
            while ending.poll() is None:
                await anyio.sleep(0.1)
        if waiting.cancelled_caught and not daemon.paused:
            self.audit.note("EXIT", f"daemon {daemon.number} does not stop")
        if not daemon.paused:
            daemon.start()

    async def pause(self, seconds):
        daemon = self.chance.choice(self.daemons)
        if daemon.paused:
            return
        daemon.paused = True
        daemon.signal(signal.SIGSTOP)
        await anyio.sleep(seconds + 1)
        daemon.signal(signal.SIGCONT)
        daemon.paused = False
        if not daemon.running():
            daemon.start()

    async def terminate(self, seconds):
        daemon = self.chance.choice(self.daemons)
        if not daemon.paused:
            daemon.signal(signal.SIGTERM)
            await self.restart(daemon, seconds)

    async def hang_up(self, seconds):
        self.chance.choice(self.daemons).signal(signal.SIGHUP)

    async def cut_store(self, seconds):
        proxies = self.chance.sample(self.store_proxies, self.chance.randrange(1, 5))
        for proxy in proxies:
            way = self.chance.randrange(3)
            if way == 0:
                await proxy.set_faults(Faults(refuse=True))
                proxy.cut()
            elif way == 1:
                await proxy.set_faults(Faults(hang=True))
                proxy.silence()
            else:
                proxy.silence()
        await anyio.sleep(seconds)
        for proxy in proxies:
            await proxy.set_faults(Faults())

    async def lose_answers(self, seconds):
        for proxy in self.store_proxies:
            await proxy.set_faults(Faults(drop_answers=self.chance.randrange(1, 6)))

    async def slow_store(self, seconds):
        for proxy in self.store_proxies:
            await proxy.set_faults(Faults(delay_seconds=0.15))
        await anyio.sleep(seconds)
        for proxy in self.store_proxies:
            await proxy.set_faults(Faults())

    async def forget_history(self, seconds):
        self.yard.memory.compact()

    async def drop_role(self, seconds):
        """Let the holder's lease lapse while it still works."""
        entry = await self.yard.memory.get(layout.ROLES + "placing")
        if entry is not None and entry.lease:
            await self.yard.memory.revoke_lease(entry.lease)

    async def crash_executor(self, seconds):
        executor = self.chance.choice(list(self.yard.executors.values()))
        proxy = self.executor_proxies[executor.executor_id]
        await proxy.set_faults(Faults(refuse=True))
        proxy.cut()
        executor.crash()
        await anyio.sleep(seconds)
        await proxy.set_faults(Faults())
        await self.yard.register(executor)

    async def silence_executor(self, seconds):
        name = self.chance.choice(list(self.executor_proxies))
        proxy = self.executor_proxies[name]
        proxy.silence()
        await proxy.set_faults(Faults(hang=True))
        await anyio.sleep(seconds)
        await proxy.set_faults(Faults())

    async def late_orders(self, seconds):
        executor = self.chance.choice(list(self.yard.executors.values()))
        executor.late_share = 0.3
        await anyio.sleep(seconds)
        executor.late_share = 0.0

    async def bad_registration(self, seconds):
        name = self.chance.choice(list(self.yard.executors))
        entry = self.chance.choice([{}, {"service": 3}, [], {"state": "gone"}])
        await self.yard.write(f"servers/{name}", entry)
        await anyio.sleep(seconds / 2)
        await self.yard.register(self.yard.executors[name])

    async def publish(self, seconds):
        await self.yard.publish()

    async def withdraw(self, seconds):
        if len(self.audit.withdrawn) < 1:
            await self.yard.withdraw("key-b")

    # The end

    async def settle(self):
        for proxy in [*self.store_proxies, *self.executor_proxies.values()]:
            await proxy.set_faults(Faults())
        for executor in self.yard.executors.values():
            executor.late_share = 0.0
            await self.yard.register(executor)
        for daemon in self.daemons:
            daemon.signal(signal.SIGCONT)
            if not daemon.running():
                daemon.start()
        open_jobs = set(self.audit.accepted)
        deadline = time.monotonic() + SETTLE_S
        while open_jobs and time.monotonic() < deadline:
            for job in sorted(open_jobs):
                await self.call("GET", job, "key-a")
                if self.done.get(job) in ("completed", "failed", "cancelled"):
                    open_jobs.discard(job)
            await anyio.sleep(0.3)
        for job in sorted(open_jobs):
            self.audit.note("LOST", f"{job} is {self.done.get(job, 'unknown')}")


def keep_logs(soak, folder, broken):
    """Keep the daemons' output and the faults of a seed that failed."""
    kept = ROOT / "target" / "soak" / str(soak.seed)
    shutil.copytree(folder, kept, dirs_exist_ok=True)
    (kept / "faults.txt").write_text("\n".join([*broken, *soak.faults]) + "\n")


def crashes(text):
    """Return the exceptions that a daemon's output shows."""
    lines = text.splitlines()
    found = []
    for number, line in enumerate(lines):
        if line.startswith("Traceback") or "+ Exception Group" in line:
            found.append("EXIT: " + " | ".join(lines[number : number + 60])[-1500:])
        elif '"exception"' in line:
            found.append(f"EXIT: {line[-1500:]}")
    return found[:3]


async def play(seed, seconds):
    with tempfile.TemporaryDirectory() as folder:
        soak = Soak(seed, seconds, Path(folder))
        broken = await soak.run()
        for daemon in soak.daemons:
            broken.extend(crashes(daemon.log.read_text(errors="replace")))
        if broken:
            keep_logs(soak, folder, broken)
        counts = f"{len(soak.audit.accepted)} jobs, {soak.audit.starts} starts"
        doubled = sum(daemon.double_starts for daemon in soak.daemons)
        counts += f", {doubled} overlapping restarts"
    return broken, counts


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1-3", help="N or N-M")
    parser.add_argument("--seconds", type=float, default=12.0)
    parser.add_argument("--jobs", type=int, default=1, help="seeds at a time")
    arguments = parser.parse_args()
    # Ends like an interrupt, so that no daemon is left with the addresses of its seed.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    # The stand-ins' servers report the connections that the faults cut.
    logging.disable(logging.CRITICAL)
    first, _, last = arguments.seeds.partition("-")
    seeds = range(int(first), int(last or first) + 1)
    if arguments.jobs > 1:
        return run_many(list(seeds), arguments)
    failed = False
    for seed in seeds:
        broken, counts = anyio.run(play, seed, arguments.seconds)
        print(f"seed {seed}: {counts}, {len(broken)} broken", flush=True)
        for line in broken[:8]:
            print(f"  {line}", flush=True)
        failed = failed or bool(broken)
    return int(failed)


def run_many(seeds, arguments):
    """Run each seed in a process of its own, some at a time."""
    command = [sys.executable, "-m", "tests.soak.soak_run"]
    running = []
    failed = False
    try:
        while seeds or running:
            while seeds and len(running) < arguments.jobs:
                options = ["--seeds", str(seeds.pop(0))]
                options += ["--seconds", str(arguments.seconds)]
                running.append(subprocess.Popen(command + options, cwd=ROOT))
            ended = running.pop(0)
            failed = ended.wait() != 0 or failed
    finally:
        for process in running:
            process.terminate()
    return int(failed)


if __name__ == "__main__":
    sys.exit(main())
