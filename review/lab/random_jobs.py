"""Random jobs under random faults, checked at the end: random_jobs.py SEED [FAULTS].

FAULTS are names of methods of ``Faults``, separated by commas; all of them by default.
Prints what looks broken. A tool to find candidates for cases, not a case.
"""

from __future__ import annotations

import asyncio
import json
import random
import signal
import sys
import tempfile
import time
from pathlib import Path

from lab import Executor, Lab, run_case

CPU = 16_000
TROUBLE_S = 45.0
CANCEL_S, STOP_S = 3.0, 0.9


class Faults:
    """Disturbances; each method plays one and ends it."""

    def __init__(self, lab: Lab, source: random.Random) -> None:
        self._lab = lab
        self._random = source
        self._last_id = 100

    async def play(self, name: str) -> None:
        """Play one disturbance."""
        self._lab.record.add("fault", name=name)
        await getattr(self, name)()
        self._lab.record.add("fault-end", name=name)

    def _holder(self):
        return self._lab.role_holder() or self._lab.daemons[0]

    def _executor(self) -> Executor:
        return self._random.choice(list(self._lab.executors.values()))

    async def _come_back(self, executors: list[Executor]) -> None:
        for executor in executors:
            self._last_id += 1
            await executor.rejoin(f"i-{self._last_id}")

    async def kill(self) -> None:
        """Kill the holder of the role."""
        holder = self._holder()
        holder.end()
        await asyncio.sleep(1)
        holder.start()

    async def term(self) -> None:
        """Stop the holder with SIGTERM."""
        holder = self._holder()
        holder.signal(signal.SIGTERM)
        await asyncio.to_thread(holder.process.wait)
        await asyncio.sleep(0.5)
        holder.start()

    async def freeze(self) -> None:
        """Let the holder stand still."""
        holder = self._holder()
        holder.signal(signal.SIGSTOP)
        await asyncio.sleep(self._random.choice([1, 2, 4]))
        holder.signal(signal.SIGCONT)

    async def kill_all(self) -> None:
        """Kill all daemons."""
        for daemon in self._lab.daemons:
            daemon.end()
        await asyncio.sleep(1)
        for daemon in self._lab.daemons:
            daemon.start()

    async def crash(self) -> None:
        """Crash an executor."""
        executor = self._executor()
        await executor.crash()
        await asyncio.sleep(self._random.choice([1, 3]))
        await self._come_back([executor])

    async def rack(self) -> None:
        """Crash a rack."""
        label = self._executor().labels[-1]
        rack = [e for e in self._lab.executors.values() if e.labels[-1] == label]
        for executor in rack:
            await executor.crash()
        await asyncio.sleep(3)
        await self._come_back(rack)

    async def cut(self) -> None:
        """Cut an executor off from the daemons."""
        executor = self._executor()
        executor.begin_cut()
        await asyncio.sleep(self._random.choice([1, 3, 5]))
        executor.end_cut()

    async def late(self) -> None:
        """Hold orders on their way."""

        def lose_order(path, content):
            held = self._random.random() < 0.06
            return self._random.uniform(2, 12) if held else None

        for executor in self._lab.executors.values():
            executor.lose_order = lose_order
        await asyncio.sleep(5)
        for executor in self._lab.executors.values():
            executor.lose_order = None

    async def store_dark(self) -> None:
        """Take the store down."""
        await self._darken(self._lab.store_servers, self._random.choice([1, 4]))

    async def holder_dark(self) -> None:
        """Cut the holder off from the store."""
        number = self._lab.daemons.index(self._holder())
        await self._darken([self._lab.store_servers[number]], 5)

    async def _darken(self, servers, seconds: float) -> None:
        for server in servers:
            server.dark = True
        await asyncio.sleep(seconds)
        for server in servers:
            server.dark = False
            server.reset()

    async def store_late(self) -> None:
        """Carry writes out late, without an answer."""

        def hold(transaction):
            held = self._random.random() < 0.3
            return self._random.uniform(1, 6) if held else None

        self._lab.store.on_txn = hold
        await asyncio.sleep(4)
        self._lab.store.on_txn = None

    async def grey(self) -> None:
        """Let an executor fail all that it starts."""
        executor = self._executor()
        executor.failing = True
        await asyncio.sleep(4)
        executor.failing = False

    async def busy(self) -> None:
        """Let an executor refuse all starts."""
        executor = self._executor()
        executor.unhealthy = True
        await asyncio.sleep(4)
        executor.unhealthy = False

    async def silence(self) -> None:
        """Let all open channels fall silent."""
        for server in self._servers():
            server.silence_connections()

    async def reset(self) -> None:
        """Reset all open channels."""
        for server in self._servers():
            server.reset()

    def _servers(self):
        executors = [e.server for e in self._lab.executors.values()]
        return [*self._lab.store_servers, *executors]


ALL_FAULTS = [
    name
    for name in vars(Faults)
    if not name.startswith("_") and name not in ("play", "store_servers")
]


class Traffic:
    """Random jobs, and what their clients were told."""

    def __init__(self, lab: Lab, source: random.Random) -> None:
        self._lab = lab
        self._random = source
        self.kind_by_job: dict[str, str] = {}
        self.steps_by_job: dict[str, list[dict]] = {}
        self.accepted: set[str] = set()
        self.cancelled_at: dict[str, float] = {}

    def _step(self, most: int, ms: int, **fields) -> dict:
        count = self._random.randint(1, most)
        cpu = self._random.choice([500, 1000, 3000])
        return {"count": count, "cpu": cpu, "mem_mb": 100, "est_ms": ms, **fields}

    def _document(self, kind: str) -> dict:
        choose = self._random.choice
        ms = choose([200, 600, 1200, 2500])
        spec: dict = {"ms": ms}
        fields: dict = {}
        if kind == "gang":
            step = self._step(4, ms, gang=True)
            step["count"] = max(2, step["count"])
            step["same_rack"] = choose([True, False])
            spec["gang"] = {"0": step["count"]}
            steps = [step, self._step(2, ms, after=[0])]
        elif kind == "timed":
            steps = [self._step(2, ms)]
            fields["first_ms"] = round(time.time() * 1000) + choose([-500, 500, 2000])
            fields["interval_ms"] = choose([700, 1500])
            fields["repeat_count"] = 4
        elif kind == "lasting":
            steps = [self._step(3, ms, long_running=True, may_miss=1)]
            spec |= {"lasts": True, "ms": 700}
        else:
            steps = [self._step(6, ms) for _ in range(choose([1, 1, 2, 3]))]
            for number, step in enumerate(steps[1:]):
                step["after"] = [number]
            if kind == "label":
                for step in steps:
                    step["requirements"] = choose("ab")
        return {"task_spec": json.dumps(spec), "steps": steps, **fields}

    async def run(self, seconds: float) -> None:
        """Hand jobs in for a time."""
        until = self._lab.record.now() + seconds
        pending = set()
        number = 0xA000000
        while self._lab.record.now() < until:
            number += 1
            pending.add(asyncio.ensure_future(self._hand_in(f"{number:016x}")))
            await asyncio.sleep(self._random.random() * 0.6)
        await asyncio.gather(*pending)

    async def _hand_in(self, job: str) -> None:
        kinds = ["plain", "plain", "gang", "timed", "lasting", "label", "cancel"]
        kind = self._random.choice(kinds)
        document = self._document(kind)
        self.kind_by_job[job] = kind
        self.steps_by_job[job] = document["steps"]
        if await self._until_answered("POST", job, document, (200,)):
            self.accepted.add(job)
            if kind == "cancel":
                await asyncio.sleep(self._random.random() * 2)
                if await self._until_answered("DELETE", job, None, (200, 410)):
                    self.cancelled_at[job] = self._lab.record.now()

    async def _until_answered(self, method, job, document, wanted) -> bool:
        for _ in range(12):
            daemon = self._random.randrange(3)
            answer = await self._lab.request(method, f"/cuts/{job}", document, daemon)
            if answer is not None and answer[0] in wanted:
                return True
            await asyncio.sleep(0.3)
        return False


class Checks:
    """What is wrong with the runs of the jobs."""

    def __init__(self, lab: Lab, traffic: Traffic) -> None:
        self._runs = lab.runs
        self._traffic = traffic

    def all(self) -> list[str]:
        """Return all that looks broken."""
        return [
            *filter(None, [self._runs.twice()]),
            *self._order(),
            *self._limit(),
            *self._unasked(),
            *self._refused(),
        ]

    def _step_of(self, task: str) -> dict | None:
        job, _, number, _ = task.split(".")
        steps = self._traffic.steps_by_job.get(job)
        return steps[int(number)] if steps else None

    def _order(self) -> list[str]:
        done: dict[str, float] = {}
        for at, task, _, _, how in self._runs.ends:
            if how == "done":
                done.setdefault(task, at)
        found = []
        for at, task, run, _ in self._runs.starts:
            job, occurrence, _, _ = task.split(".")
            for number in (self._step_of(task) or {}).get("after", []):
                step = self._traffic.steps_by_job[job][number]
                ends = [
                    done.get(f"{job}.{occurrence}.{number}.{i}", float("inf"))
                    for i in range(step["count"])
                ]
                # One end of a gang stands for all of them.
                ready = min(ends) if step.get("gang") else max(ends)
                if ready > at:
                    found.append(f"ORDER: {task} run {run} at {at:.3f}")
        return found

    def _limit(self) -> list[str]:
        changes = [(at, 1, task, ex) for at, task, _, ex in self._runs.starts]
        changes += [(at, -1, task, ex) for at, task, _, ex, _ in self._runs.ends]
        used: dict[str, int] = {}
        found = []
        for at, sign, task, executor in sorted(changes):
            step = self._step_of(task)
            if step is not None:
                used[executor] = used.get(executor, 0) + sign * step["cpu"]
                if used[executor] > CPU:
                    found.append(f"LIMIT: {executor} has {used[executor]} at {at:.3f}")
        return found

    def _unasked(self) -> list[str]:
        found = []
        for job, since in self._traffic.cancelled_at.items():
            for at, task, run, executor in self._runs.starts_of(job):
                ends = [
                    end[0]
                    for end in self._runs.ends
                    if end[1:4] == (task, run, executor)
                ]
                late_end = min(ends, default=float("inf")) > since + CANCEL_S + STOP_S
                if at > since + CANCEL_S or late_end:
                    found.append(f"UNASKED: {task} run {run} from {at:.3f} on")
        return found

    def _refused(self) -> list[str]:
        return [
            f"REFUSED: {job} was not accepted and has run"
            for job in self._traffic.kind_by_job
            if job not in self._traffic.accepted and self._runs.starts_of(job)
        ]


def build(lab: Lab) -> None:
    """Add the executors."""
    for number in range(12):
        kind = "a" if number % 2 else "b"
        lab.add_executor(f"i-{number:02}", CPU, [kind, f"r1-{number // 4 + 1}"])


async def scenario(lab: Lab) -> str:
    """Play random faults; return the first thing that looks broken, or ""."""
    source = random.Random(int(sys.argv[1]))
    names = sys.argv[2].split(",") if len(sys.argv) > 2 else ALL_FAULTS
    traffic = Traffic(lab, source)
    faults = Faults(lab, source)
    jobs = asyncio.ensure_future(traffic.run(TROUBLE_S))
    until = lab.record.now() + TROUBLE_S
    while lab.record.now() < until:
        chosen = [source.choice(names) for _ in range(source.choice([1, 1, 2]))]
        await asyncio.gather(*(faults.play(name) for name in set(chosen)))
        await asyncio.sleep(source.uniform(0.2, 3))
    await jobs
    await asyncio.sleep(12)
    broken = Checks(lab, traffic).all()
    for job in sorted(traffic.accepted):
        wanted = {"lasting": ("running",), "cancel": ("cancelled", "completed")}
        states = wanted.get(traffic.kind_by_job[job], ("completed",))
        state = await lab.wait_for_state(job, states, 15)
        if state not in states:
            broken.append(f"LOST: {job} ({traffic.kind_by_job[job]}) is {state}")
    for what in broken:
        lab.record.add("broken", what=what)
        print(what)
    return broken[0] if broken else ""


if __name__ == "__main__":
    with tempfile.TemporaryDirectory(prefix="review-") as folder:
        sys.exit(run_case(Path(folder), build, scenario, 118))
