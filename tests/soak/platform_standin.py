"""Platform stand-in for the soak (store, executors, VM list), and its audit."""

from __future__ import annotations

import json
import random
import time
from collections import Counter, defaultdict

import anyio
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from pomeloyard.clock import SystemClock
from pomeloyard.keyvalue.memory import MemoryStore
from pomeloyard.keyvalue.store import Delete, Put, Transaction
from tests.support.platform_standin import store_app

STOP_LIMIT_MS = 900
HOLD_MAX_MS = 10_000
WITHDRAWAL_LIMIT_S = 5.0
CANCEL_LIMIT_S = 3.0
SHRINK_LIMIT_S = 4.5
CRASHES_BEFORE_LIMIT = 3
STARTS_AFTER_LIMIT = 2
CRASHES_TO_GIVE_UP = 2
MAX_ATTEMPTS = 4
"""The platform's time limits; the audit allows each of them in full."""


class Audit:
    """Observations of callers and executors, and the guarantees that were violated."""

    def __init__(self):
        self.violations = []
        self.running = defaultdict(set)
        self.acknowledged_done = set()
        self.accepted = set()
        self.refused_only = set()
        self.cancel_confirmed = {}
        self.withdrawn = {}
        self.starts = 0
        self.deadly_jobs = set()
        self.crashes = Counter()
        self.failures = Counter()
        self.starts_after_limit = Counter()
        self.count_starts_of_deadly = True
        """Off while daemons run that do not count crashes."""

    def add_violation(self, rule, detail):
        self.violations.append(f"{time.time() % 1000:.1f} {rule}: {detail}")

    def record_start(self, task, executor, delayed):
        self.starts += 1
        job = task.split(".")[0]
        if job in self.refused_only:
            self.add_violation("REFUSED", f"{task} starts though its job was refused")
        if self.running[task]:
            self.add_violation(
                "TWICE", f"{task} on {executor} and {self.running[task]}"
            )
        if task in self.acknowledged_done:
            self.add_violation(
                "TWICE", f"{task} starts on {executor} after it was done"
            )
        confirmed = self.cancel_confirmed.get(job)
        if confirmed is not None and not delayed:
            elapsed = time.monotonic() - confirmed
            if elapsed > CANCEL_LIMIT_S:
                self.add_violation(
                    "UNASKED", f"{task} starts {elapsed:.1f} s after cancelling"
                )
        self.running[task].add(executor)
        if job in self.deadly_jobs and self.crashes[task] >= CRASHES_BEFORE_LIMIT:
            self.starts_after_limit[task] += self.count_starts_of_deadly
            if self.starts_after_limit[task] > STARTS_AFTER_LIMIT:
                self.add_violation("BUDGET", f"{task} starts again and again")

    def record_end(self, task, executor, reason=""):
        self.running[task].discard(executor)
        self.failures[task] += reason == "failed"

    def record_crash(self, task, executor):
        self.crashes[task] += 1
        self.record_end(task, executor)

    def check_final_state(self, job, state):
        """Check that a job has failed for a reason, and a deadly one at all."""
        if job in self.deadly_jobs and state == "completed":
            self.add_violation("MIXED", f"{job} crashes executors and is completed")
        if state != "failed":
            return
        crashes = max(
            (n for t, n in self.crashes.items() if t.startswith(job)), default=0
        )
        failed = max(
            (n for t, n in self.failures.items() if t.startswith(job)), default=0
        )
        if crashes < CRASHES_TO_GIVE_UP and failed < MAX_ATTEMPTS:
            self.add_violation(
                "LOST", f"{job} is failed: {failed} failures, {crashes} crashes"
            )


class ExecutorStandin:
    """One executor with leases, fencing, capacity, delayed starts and clock drift."""

    def __init__(self, audit, rng, executor_id, capacity):
        self.audit = audit
        self.rng = rng
        self.executor_id = executor_id
        self.capacity = capacity
        self.drift = rng.choice([1.0, 0.98])
        self.delayed_start_share = 0.0
        self.failing = False
        self.cpu_by_task = {}
        self.on_deadly_start = None
        """Called when it has started a task that crashes it."""
        self.larger_until = []
        """Earlier, larger capacities, and until when they still count."""
        self.reset()

    def reset(self):
        self.started_at = time.monotonic()
        self.born = round(time.time() * 1000) + self.rng.randrange(1000)
        self.fence = 0
        self.runs = {}
        self.unacknowledged_ends = []
        self.last_end_number = 0
        self.highest_runs = {}
        self.ended_event = anyio.Event()

    def crash(self):
        for task in self.runs:
            self.audit.record_crash(task, self.executor_id)
        self.reset()

    def resize(self, capacity):
        self.larger_until.append((self.capacity, time.monotonic() + SHRINK_LIMIT_S))
        self.capacity = capacity

    def capacity_limit(self):
        now = time.monotonic()
        return max(
            [self.capacity, *(c for c, until in self.larger_until if now < until)]
        )

    def clock_ms(self):
        return (time.monotonic() - self.started_at) * 1000 * self.drift

    def end(self, task, reason):
        run = self.runs.pop(task)
        self.audit.record_end(task, self.executor_id, reason)
        self.last_end_number += 1
        self.highest_runs[task] = max(self.highest_runs.get(task, 0), run["run"])
        self.unacknowledged_ends.append(
            [self.last_end_number, task, run["run"], reason, ""]
        )
        self.ended_event.set()
        self.ended_event = anyio.Event()

    def advance(self):
        now = self.clock_ms()
        for task, run in list(self.runs.items()):
            if now >= run["until"]:
                self.end(task, "lapsed")
            elif now >= run["ends"]:
                self.end(task, "failed" if run["fails"] else "done")

    def start(self, body, delayed=False):
        self.advance()
        now = self.clock_ms()
        if body["fencing_token"] < self.fence:
            return 409, "fence"
        self.fence = body["fencing_token"]
        task, run = body["task"], body["run_id"]
        current = self.runs.get(task)
        if current is not None and current["run"] == run:
            return 200, ""
        if run <= self.highest_runs.get(task, 0) or current is not None:
            return 409, "old"
        if body["until_ms"] <= now:
            return 409, "late"
        spec = json.loads(body["task_spec"])
        self.cpu_by_task[task] = spec["cpu"]
        used = sum(self.cpu_by_task[name] for name in self.runs) + spec["cpu"]
        if used > self.capacity_limit() and not delayed:
            self.audit.add_violation(
                "LIMIT", f"{task} brings {self.executor_id} to {used}"
            )
        self.audit.record_start(task, self.executor_id, delayed)
        until = min(body["until_ms"], now + HOLD_MAX_MS)
        self.runs[task] = {
            "run": run,
            "until": until,
            "ends": now + spec["ms"] * self.rng.uniform(0.8, 1.2),
            "fails": self.failing or self.rng.random() < 0.02,
        }
        if spec.get("deadly") and task.endswith(".0.0") and self.on_deadly_start:
            self.on_deadly_start(self)
        return 200, ""

    async def _start(self, request: Request):
        body = await request.json()
        if self.rng.random() < self.delayed_start_share:
            delay = self.rng.uniform(2, 6)
            self.tasks.start_soon(self._start_delayed, body, delay)
            # The caller gives up long before; the order is carried out once.
            await anyio.sleep(30)
            return self._answer(503, "")
        status, reason = self.start(body)
        return self._answer(status, reason)

    async def _start_delayed(self, body, delay):
        await anyio.sleep(delay)
        self.start(body, delayed=True)

    async def _stop(self, request: Request):
        body = await request.json()
        self.advance()
        if body["fencing_token"] < self.fence:
            return self._answer(409, "fence")
        self.fence = body["fencing_token"]
        task, run = body["task"], body["run_id"]
        if task in self.runs and self.runs[task]["run"] == run:
            self.tasks.start_soon(self._stop_later, task, run)
        self.highest_runs[task] = max(self.highest_runs.get(task, 0), run)
        return self._answer(200, "")

    async def _stop_later(self, task, run):
        await anyio.sleep(self.rng.uniform(0, STOP_LIMIT_MS / 1000))
        if task in self.runs and self.runs[task]["run"] == run:
            self.end(task, "stopped")

    async def _hold(self, request: Request):
        body = await request.json()
        if body["fencing_token"] < self.fence:
            return self._answer(409, "fence")
        self.fence = body["fencing_token"]
        seen = body["last_seen"]
        for end in self.unacknowledged_ends:
            if end[0] <= seen and end[3] == "done":
                self.audit.acknowledged_done.add(end[1])
        self.unacknowledged_ends = [
            end for end in self.unacknowledged_ends if end[0] > seen
        ]
        deadline = time.monotonic() + body.get("wait_ms", 0) / 1000
        while True:
            self.advance()
            if "until_ms" in body:
                until = min(body["until_ms"], self.clock_ms() + HOLD_MAX_MS)
                for run in self.runs.values():
                    run["until"] = max(run["until"], until)
            if self.unacknowledged_ends or time.monotonic() >= deadline:
                break
            await anyio.sleep(0.02)
        now = self.clock_ms()
        rows = [[t, r["run"], "", 50, 0] for t, r in self.runs.items()]
        lists = {
            "running": rows,
            "ended": self.unacknowledged_ends,
            "born": self.born,
        }
        return JSONResponse({"clock_ms": now, **lists})

    def _answer(self, status, reason):
        body = {"clock_ms": self.clock_ms(), "reason": reason}
        return JSONResponse(body, status)

    def app(self, tasks):
        self.tasks = tasks
        return Starlette(
            routes=[
                Route("/run-start", self._start, methods=["POST"]),
                Route("/run-stop", self._stop, methods=["POST"]),
                Route("/hold", self._hold, methods=["POST"]),
            ]
        )


class PlatformStandin:
    """Store contents, VM list and executors of one seed."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.audit = Audit()
        self.memory = MemoryStore(SystemClock())
        self.executors = {}
        self.addresses = {}
        self.version = 1
        self.keys = {"alpha": ["key-a", "key-b"], "beta": ["key-c"]}

    async def write(self, key, value):
        content = json.dumps(value).encode()
        await self.memory.commit(Transaction((), (Put(key, content),)))

    async def publish(self):
        route = {
            "name": "r-1",
            "hostname": "yard.example",
            "prefix": "/cuts/",
            "service": "mill",
            "max_attempts": 4,
            "stretch": 1.6,
            "slo_ms": 600,
        }
        tenants = [{"name": name, "api_keys": keys} for name, keys in self.keys.items()]
        self.version += self.rng.randrange(1, 4)
        config = {
            "version": self.version,
            "routes": [route],
            "services": [{"name": "mill"}],
            "tenants": tenants,
        }
        await self.write("op/config", config)

    async def withdraw_key(self, key):
        for keys in self.keys.values():
            if key in keys:
                keys.remove(key)
        await self.publish()
        self.audit.withdrawn[key] = time.monotonic()

    async def register(self, executor):
        entry = {
            "service": "mill",
            "address": self.addresses[executor.executor_id],
            "zone": "z1",
            "state": "ready",
            "capacity": {"cpu": executor.capacity, "mem_mb": 64_000, "gpu": 0},
            "labels": ["a", "r1-1"],
            "sequence": self.rng.randrange(1_000_000),
            "born": executor.born,
        }
        await self.write(f"servers/{executor.executor_id}", entry)

    async def unregister(self, executor_id):
        key = f"servers/{executor_id}"
        await self.memory.commit(Transaction((), (Delete(key),)))

    async def _machines(self, request: Request):
        rows = [
            {"machine": f"m-{name}", "pool": "mill", "state": "up", "id": name}
            for name in self.executors
        ]
        return JSONResponse({"machines": rows, "next_token": None})

    async def _operation(self, request: Request):
        return Response(status_code=400)

    def vm_app(self):
        return Starlette(
            routes=[
                Route("/machines", self._machines),
                Route("/machine-move", self._operation, methods=["POST"]),
                Route("/machine-upkeep", self._operation, methods=["POST"]),
            ]
        )

    def store_app(self):
        return store_app(self.memory)
