"""Stand-ins for the cases: store, executors, VM service, daemons and clients.

Standard library only. One process serves all stand-ins; the daemons are started with
the command of the deploy file, each on a loopback address of its own.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HOLD_MAX_MS = 10_000
STOP_MS = 900
HOST = "yard.example"
KEY = "key-a"
BOUNDS = {
    "contact_ms": 3000,
    "ack_ms": 4000,
    "drain_ms": 2000,
    "grace_s": 6,
    "config_ms": 2000,
    "back_ms": 250,
    "revoke_ms": 5000,
    "hold_max_ms": HOLD_MAX_MS,
    "stop_ms": STOP_MS,
    "gang_ms": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "finish_s": 14,
    "status_s": 120,
    "save_s": 2,
    "restore_ms": 250,
    "notice_ms": 4500,
    "move_s": 1.5,
    "upkeep_s": 2,
    "lease_ms": 3000,
}
"""Bounds of the deployment hn-goalnet."""


class CaseError(Exception):
    """The case could not run."""


PORTS = (8340, 8343, 7000, 9464)
"""Ports of a daemon: callers, readiness, relay and metrics; the last is fixed."""


def free_network(count: int) -> tuple[int, int]:
    """Return the middle of loopback addresses whose ports for daemons are all free."""
    for _ in range(50):
        middle = random.randrange(16, 240), random.randrange(1, 250)
        try:
            for number in range(count):
                for port in PORTS:
                    with socket.socket() as probe:
                        probe.bind((f"127.{middle[0]}.{middle[1]}.{number + 2}", port))
        except OSError:
            continue
        return middle
    raise CaseError("no free loopback ports")


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder: Path) -> None:
        self._started = time.monotonic()
        self._file = (folder / "record.txt").open("w", encoding="utf-8")

    def now(self) -> float:
        return time.monotonic() - self._started

    def add(self, kind: str, **fields: object) -> float:
        now = self.now()
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{now:8.3f} {kind} {text}\n")
        self._file.flush()
        return now


class SilenceError(Exception):
    """The stand-in does not answer this call."""


class Server:
    """A small HTTP/1.1 server; ``handler`` returns an answer or raises SilenceError."""

    def __init__(self, handler, host: str = "127.0.0.1") -> None:
        self._handler = handler
        self._host = host
        self._writers: set[asyncio.StreamWriter] = set()
        self._unknown: set[asyncio.StreamWriter] = set()
        self._silent: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self.port = 0
        self.dark = False
        """Accepts connections and bytes but answers nothing."""

    @property
    def address(self) -> str:
        return f"{self._host}:{self.port}"

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, self._host, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Close the listener and reset all connections, as a killed process does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        self.reset()
        await asyncio.sleep(0)

    async def close_connections(self) -> None:
        """Close the listener and all connections, as the end of a process does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.close()
        await asyncio.sleep(0)

    def silence_connections(self) -> None:
        """Let all open connections fall silent for good; new ones work."""
        self._silent.update(self._writers)

    def forget_connections(self) -> None:
        """Reset each connection that is open now as soon as it is used again."""
        self._unknown.update(self._writers)

    def reset(self) -> None:
        """Reset all connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if writer in self._unknown and not self.dark:
                    return
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    name, _, value = line.partition(":")
                    if name:
                        headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                try:
                    if self.dark:
                        raise SilenceError
                    status, content = await self._handler(method, target, headers, body)
                except SilenceError:
                    # A channel on which an answer is lost returns nothing further.
                    await reader.read()
                    return
                if self.dark or writer in self._silent:
                    await reader.read()
                    return
                payload = json.dumps(content).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\ncontent-type: application/json\r\n"
                    f"content-length: {len(payload)}\r\n\r\n".encode()
                    + payload
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            self._writers.discard(writer)
            self._unknown.discard(writer)
            self._silent.discard(writer)
            writer.transport.abort()


async def call(
    address: str, method: str, target: str, headers=None, body=b"", timeout: float = 5.0
):
    """Make one call on a new connection; return status and body, or None."""

    async def exchange():
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            lines = [f"{method} {target} HTTP/1.1", f"content-length: {len(body)}"]
            fields = {"Host": address, **(headers or {})}
            lines += [f"{name}: {value}" for name, value in fields.items()]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            await writer.drain()
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            status = int(head.split(" ", 2)[1])
            length = 0
            for line in head.split("\r\n")[1:]:
                name, _, value = line.partition(":")
                if name.strip().lower() == "content-length":
                    length = int(value)
            content = await reader.readexactly(length)
            try:
                return status, json.loads(content) if content else None
            except ValueError:
                return status, None
        finally:
            writer.transport.abort()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.IncompleteReadError, TimeoutError):
        return None


class Store:
    """The platform's store: revisions, leases, watches and transactions."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self._items: dict[str, dict] = {}
        self._events: list[dict] = []
        self._leases: dict[int, tuple[float, float]] = {}
        self._next_lease = 1
        self.rev = 1
        self._changed = asyncio.Event()
        self.on_txn = None
        """Called with a transaction's body; returns seconds by which it is carried out
        late, without an answer, or None."""

    async def handle(self, method, target, headers, body):
        parts = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(parts.query, True).items()}
        path = parts.path
        self._expire()
        if path == "/kv-key":
            item = self._items.get(query["key"])
            if item is None:
                return 404, {"current_rev": self.rev}
            return 200, {**item, "current_rev": self.rev}
        if path == "/kv-range":
            return 200, self._range(query["prefix"], query.get("after", ""))
        if path == "/kv-watch":
            return await self._watch(query)
        if path == "/kv-txn":
            txn = json.loads(body)
            late = self.on_txn(txn) if self.on_txn is not None else None
            if late is not None:
                keys = [put["key"] for put in txn["puts"]]
                self._record.add("store-write-unanswered", keys=keys, late_s=late)
                asyncio.get_running_loop().call_later(late, self._late, txn)
                raise SilenceError
            return self._txn(txn)
        if path == "/kv-lease":
            ttl = json.loads(body)["ttl_ms"] / 1000
            lease = self._next_lease
            self._next_lease += 1
            self._leases[lease] = (time.monotonic() + ttl, ttl)
            return 200, {"lease": lease, "ttl_ms": round(ttl * 1000)}
        if path.startswith("/kv-keep/"):
            lease = int(path.rpartition("/")[2])
            if lease not in self._leases:
                return 404, {}
            ttl = self._leases[lease][1]
            self._leases[lease] = (time.monotonic() + ttl, ttl)
            return 200, {"lease": lease, "ttl_ms": round(ttl * 1000)}
        if path.startswith("/kv-lease-end/"):
            self._end_lease(int(path.rpartition("/")[2]))
            return 200, {}
        return 404, {}

    def _range(self, prefix, after):
        keys = sorted(k for k in self._items if k.startswith(prefix) and k > after)
        page = [self._items[key] for key in keys[:500]]
        truncated = len(keys) > 500
        return {"items": page, "truncated": truncated, "current_rev": self.rev}

    async def _watch(self, query):
        prefix, after = query["prefix"], int(query["after"])
        until = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            self._expire()
            events = [
                event
                for event in self._events
                if event["rev"] > after and event["key"].startswith(prefix)
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "current_rev": self.rev}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), min(left, 0.05))

    def _late(self, txn) -> None:
        self._expire()
        status, _ = self._txn(txn)
        keys = [put["key"] for put in txn["puts"]]
        self._record.add("store-write-late", keys=keys, status=status)

    def _txn(self, txn):
        if len(txn["expected"]) + len(txn["puts"]) + len(txn["drop"]) > 32:
            return 400, {}
        keys = [put["key"] for put in txn["puts"]] + txn["drop"]
        if any(key.startswith(("op/", "servers/")) for key in keys):
            return 403, {}
        for row in txn["expected"]:
            item = self._items.get(row["key"])
            if (item["rev"] if item else 0) != row["rev"]:
                items = [
                    self._items[r["key"]]
                    for r in txn["expected"]
                    if r["key"] in self._items
                ]
                return 412, {"items": items}
        if any(p.get("lease") and p["lease"] not in self._leases for p in txn["puts"]):
            return 404, {}
        self.rev += 1
        for put in txn["puts"]:
            self._put(put["key"], put["value"], put.get("lease", 0))
        for key in txn["drop"]:
            self._drop(key)
        self._notify()
        return 200, {"rev": self.rev}

    def _put(self, key, value, lease=0) -> None:
        created = self._items[key]["created"] if key in self._items else self.rev
        item = {
            "key": key,
            "value": value,
            "rev": self.rev,
            "created": created,
            "lease": lease,
        }
        self._items[key] = item
        self._events.append(item)

    def _drop(self, key) -> None:
        if self._items.pop(key, None) is not None:
            self._events.append({"key": key, "rev": self.rev, "deleted": True})

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _expire(self) -> None:
        now = time.monotonic()
        for lease, (until, _) in list(self._leases.items()):
            if now >= until:
                self._end_lease(lease)

    def _end_lease(self, lease) -> None:
        if self._leases.pop(lease, None) is None:
            return
        keys = [k for k, item in self._items.items() if item["lease"] == lease]
        if keys:
            self.rev += 1
            for key in keys:
                self._drop(key)
            self._notify()

    def item(self, key: str) -> dict | None:
        """Return an item, or None if there is none."""
        self._expire()
        return self._items.get(key)

    def write(self, key: str, document: object) -> None:
        """Write a document as the operator or an executor does."""
        self.rev += 1
        self._put(key, base64.b64encode(json.dumps(document).encode()).decode())
        self._notify()

    def remove(self, key: str) -> None:
        self.rev += 1
        self._drop(key)
        self._notify()


class Executor:
    """An executor with leases, fencing, gangs and numbered ends.

    ``task_spec`` is JSON: ``ms`` is the work of a work unit, ``gang`` the number of
    members of each gang step by its number.
    """

    gangs: dict[tuple[str, int], set[str]] = {}
    """Work units of gangs that are present, by step and run, on all executors."""

    def __init__(
        self,
        lab: Lab,
        executor_id: str,
        machine: str,
        cpu: int,
        labels: list[str],
        service: str = "mill",
    ) -> None:
        self._lab = lab
        self.id = executor_id
        self.machine = machine
        self.cpu = cpu
        self.labels = labels
        self.service = service
        self.server = Server(self._handle)
        self.state = "ready"
        self.up = True
        self.failing = False
        """Whether it fails all that it starts (srv_grey, errors)."""
        self.unhealthy = False
        """Whether it answers each start with 503 and does nothing (srv_grey, busy)."""
        self.lose_order = None
        """Called with path and body of an order; returns for how many seconds it is
        held on its way, so that its sender gets no answer, or None. It is then
        delivered to whichever process listens at this address under the named id."""
        self._boot()

    def _boot(self) -> None:
        self.began = time.monotonic()
        self.born = round(time.time() * 1000)
        self.fence = 0
        self.running: dict[str, dict] = {}
        self.highest: dict[str, int] = {}
        self.ended: list[list] = []
        self.last_end = 0
        self.sequence = 0
        self._ended_event = asyncio.Event()

    def clock_ms(self) -> float:
        return (time.monotonic() - self.began) * 1000

    async def start(self) -> None:
        await self.server.start()
        self.register()
        self._lab.spawn(self._tick())
        self._lab.spawn(self._heartbeat())

    def register(self) -> None:
        self.sequence += 1
        self._lab.store.write(
            f"servers/{self.id}",
            {
                "service": self.service,
                "address": self.server.address,
                "zone": "z1",
                "version": "1",
                "slots": 8,
                "state": self.state,
                "cold_ms": 0,
                "sequence": self.sequence,
                "capacity": {"cpu": self.cpu, "mem_mb": 64_000, "gpu": 0},
                "labels": self.labels,
                "machine": self.machine,
                "born": self.born,
            },
        )

    async def _heartbeat(self) -> None:
        silent_since: float | None = None
        while True:
            await asyncio.sleep(0.25)
            if self.up:
                silent_since = None
                if self._lab.record.now() % 1.5 < 0.25:
                    self.register()
                continue
            silent_since = silent_since or time.monotonic()
            if time.monotonic() - silent_since > 4.5:
                self._lab.store.remove(f"servers/{self.id}")
                silent_since = float("inf")

    async def crash(self, how: str = "crashed") -> None:
        """End the process: all that runs is gone, and its channels are closed."""
        self._lab.record.add(
            "executor-gone", id=self.id, how=how, running=list(self.running)
        )
        self.up = False
        for task, run in list(self.running.items()):
            self._lab.runs.ended(task, run["run"], self.id, how)
            self._leave_gang(task, run["run"])
        self._boot()
        await self.server.close_connections()

    async def restart(self) -> None:
        """Start again; nothing of before is known."""
        self._boot()
        self.up = True
        await self.server.start()
        self.register()
        self._lab.record.add("executor-start", id=self.id, born=self.born)

    async def rejoin(self, executor_id: str) -> None:
        """Start again under a new id and port; the former entry goes after 3 s."""
        asyncio.get_running_loop().call_later(
            3.0, self._lab.store.remove, f"servers/{self.id}"
        )
        self.id = self._lab.unique(executor_id)
        self.server.port = 0
        await self.restart()

    def at_work(self) -> list[tuple[str, int]]:
        """Return the work units that last and are at work, with their runs."""
        now = self.clock_ms()
        return [
            (task, run["run"])
            for task, run in self.running.items()
            if run["lasts"] and run["begun"] is not None
            if now - run["begun"] >= run["ms"]
        ]

    def begin_cut(self) -> None:
        """Cut the executor off from the daemons: its channels fall silent."""
        self._lab.record.add("executor-cut", id=self.id, running=list(self.running))
        self.server.dark = True

    def reboot_behind_cut(self) -> None:
        """End and start again under the same id while it is cut off (reborn)."""
        for task, run in list(self.running.items()):
            self._lab.runs.ended(task, run["run"], self.id, "crashed")
            self._leave_gang(task, run["run"])
        self._boot()
        self.server.forget_connections()
        self.register()
        self._lab.record.add("executor-reborn", id=self.id, born=self.born)

    def end_cut(self) -> None:
        """Heal the cut; a new boot resets channels of the earlier one when used."""
        self._lab.record.add("executor-cut-end", id=self.id)
        self.server.dark = False

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(0.01)
            self._advance()

    def _advance(self) -> None:
        now = self.clock_ms()
        for task, run in list(self.running.items()):
            if now >= run["until"]:
                self._end(task, "lapsed")
                continue
            size = run["gang"]
            if size:
                present = self.gangs.get((task.rpartition(".")[0], run["run"]), set())
                if run["begun"] is None and len(present) >= size:
                    run["begun"] = now
                if run["begun"] is None:
                    if now - run["at"] > BOUNDS["gang_ms"]:
                        self._end(task, "alone")
                    continue
            elif run["begun"] is None:
                run["begun"] = now
            if self.failing and now - run["begun"] >= 50:
                self._end(task, "failed")
            elif not run["lasts"] and now - run["begun"] >= run["ms"]:
                self._end(task, "done")

    def _leave_gang(self, task: str, run: int) -> None:
        name = (task.rpartition(".")[0], run)
        self.gangs.get(name, set()).discard(task)

    def _end(self, task: str, how: str) -> None:
        run = self.running.pop(task)
        self.last_end += 1
        self.highest[task] = max(self.highest.get(task, 0), run["run"])
        self.ended.append([self.last_end, task, run["run"], how, ""])
        self._lab.runs.ended(task, run["run"], self.id, how)
        self._leave_gang(task, run["run"])
        self._ended_event.set()
        self._ended_event = asyncio.Event()

    async def _handle(self, method, target, headers, body):
        if headers.get("x-expect-instance", self.id) != self.id:
            return 421, {"clock_ms": self.clock_ms(), "born": self.born}
        content = json.loads(body) if body else {}
        if target in ("/run-start", "/run-stop"):
            self._lab.orders["all"] += 1
        if target in ("/run-start", "/run-stop") and self.lose_order is not None:
            late = self.lose_order(target, content)
            if late is not None:
                self._lab.orders["held"] += 1
                self._lab.record.add(
                    "order-held",
                    id=self.id,
                    path=target,
                    task=content["task"],
                    run=content["run_id"],
                    late_s=late,
                )
                asyncio.get_running_loop().call_later(
                    late, self._deliver_late, target, content, self.id
                )
                raise SilenceError
        if target == "/run-start" and self.unhealthy:
            self._lab.record.add("start-refused", id=self.id, task=content["task"])
            return 503, {"clock_ms": self.clock_ms(), "born": self.born}
        if target == "/run-start":
            return self._answer(*self._run_start(content))
        if target == "/run-stop":
            return self._answer(*self._run_stop(content))
        if target == "/hold":
            return await self._hold(content)
        if target == "/pace":
            return self._answer(200, "")
        return 404, {}

    def _deliver_late(self, target, content, intended: str) -> None:
        if not self.up or self.id != intended:
            return
        handler = self._run_start if target == "/run-start" else self._run_stop
        status, reason = handler(content)
        self._lab.record.add(
            "order-delivered",
            id=self.id,
            path=target,
            task=content["task"],
            run=content["run_id"],
            status=status,
            reason=reason,
        )

    def _answer(self, status, reason):
        body = {"clock_ms": self.clock_ms(), "born": self.born}
        if reason:
            body["reason"] = reason
        return status, body

    def _check_fence(self, content) -> bool:
        fence = content.get("fencing_token", 0)
        if fence < self.fence:
            return False
        self.fence = fence
        return True

    def _run_start(self, content):
        self._advance()
        if not self._check_fence(content):
            return 409, "fence"
        task, run = content["task"], content["run_id"]
        current = self.running.get(task)
        if current is not None and current["run"] == run:
            return 200, ""
        if run <= self.highest.get(task, 0) or current is not None:
            return 409, "old"
        now = self.clock_ms()
        if content["until_ms"] <= now:
            return 409, "late"
        spec = json.loads(content["task_spec"])
        step = task.rpartition(".")[0]
        size = spec.get("gang", {}).get(step.rpartition(".")[2], 0)
        self.running[task] = {
            "run": run,
            "until": min(content["until_ms"], now + HOLD_MAX_MS),
            "at": now,
            "begun": None,
            "ms": spec.get("ms", 1000),
            "lasts": spec.get("lasts", False),
            "gang": size,
        }
        if size:
            self.gangs.setdefault((step, run), set()).add(task)
        self._lab.runs.started(task, run, self.id)
        return 200, ""

    def _run_stop(self, content):
        self._advance()
        if not self._check_fence(content):
            return 409, "fence"
        task, run = content["task"], content["run_id"]
        current = self.running.get(task)
        self.highest[task] = max(self.highest.get(task, 0), run)
        if current is not None and current["run"] == run:
            self._end(task, "stopped")
        return 200, ""

    async def _hold(self, content):
        if not self._check_fence(content):
            return self._answer(409, "fence")
        seen = content["last_seen"]
        for end in self.ended:
            if end[0] <= seen:
                self._lab.runs.noted(end[1], end[2], end[3])
        self.ended = [end for end in self.ended if end[0] > seen]
        until = time.monotonic() + content.get("wait_ms", 0) / 1000
        while True:
            self._advance()
            if "until_ms" in content:
                lease = min(content["until_ms"], self.clock_ms() + HOLD_MAX_MS)
                for run in self.running.values():
                    run["until"] = max(run["until"], lease)
            left = until - time.monotonic()
            if self.ended or left <= 0:
                break
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._ended_event.wait(), left)
        rows = []
        for task, run in self.running.items():
            percent = 0
            if run["begun"] is not None:
                worked = (self.clock_ms() - run["begun"]) / run["ms"]
                percent = 100 if run["lasts"] else min(99, int(100 * worked))
            rows.append([task, run["run"], "", percent, 0])
        answer = {"clock_ms": self.clock_ms(), "born": self.born}
        return 200, {**answer, "running": rows, "ended": self.ended[:500]}


class Runs:
    """What executors have run, as they saw it."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self.starts: list[tuple[float, str, int, str]] = []
        self.ends: list[tuple[float, str, int, str, str]] = []
        self.noted_done: set[tuple[str, int]] = set()

    def started(self, task, run, executor) -> None:
        at = self._record.add("start", task=task, run=run, executor=executor)
        self.starts.append((at, task, run, executor))

    def ended(self, task, run, executor, how) -> None:
        at = self._record.add("end", task=task, run=run, executor=executor, how=how)
        self.ends.append((at, task, run, executor, how))

    def noted(self, task, run, how) -> None:
        self._record.add("end-noted", task=task, run=run, how=how)
        if how == "done":
            self.noted_done.add((task, run))

    def starts_of(self, job: str) -> list[tuple[float, str, int, str]]:
        return [start for start in self.starts if start[1].startswith(job + ".")]

    def failed_runs_of(self, job: str) -> set[int]:
        """Return the runs of a job's work units in which any of them ended failed."""
        return {
            end[2]
            for end in self.ends
            if end[1].startswith(job + ".") and end[4] == "failed"
        }

    def twice(self) -> str:
        """Return how the rule TWICE is broken, or ""."""
        for at, task, run, executor in self.starts:
            for began, other, number, elsewhere in self.starts:
                if other != task or (number, elsewhere) == (run, executor):
                    continue
                ends = [
                    end[0]
                    for end in self.ends
                    if end[1] == task and end[2] == number and end[3] == elsewhere
                ]
                ended = min(ends, default=float("inf"))
                if began <= at < ended:
                    return (
                        f"TWICE: {task} run {run} starts on {executor} at {at:.3f}"
                        f" while run {number} works on {elsewhere} until {ended:.3f}"
                    )
            for ended, other, number, elsewhere, how in self.ends:
                noted = (other, number) in self.noted_done
                if other == task and how == "done" and noted and ended <= at:
                    return (
                        f"TWICE: {task} run {run} starts on {executor} at {at:.3f},"
                        f" after run {number} ended done on {elsewhere} at {ended:.3f}"
                    )
        return ""

    def count(self, task: str, how: str) -> int:
        return sum(end[1] == task and end[4] == how for end in self.ends)


class Daemon:
    """One daemon process, started with the command of the deploy file."""

    def __init__(self, number: int, ip: str, folder: Path, settings: dict) -> None:
        self.name = f"edge-{number}"
        self.front = f"{ip}:8340"
        self.ready = f"{ip}:8343"
        self._settings = folder / f"boot-{number}.json"
        self._log = folder / f"{self.name}.log"
        document = {
            "node_name": self.name,
            "role": "daemon",
            "node_class": "edge",
            "serves": ["edge"],
            "ip": ip,
            "zone": "z1",
            "region": "r1",
            "zones": {"z1": "r1"},
            "listen_addrs": {"front": self.front, "ready_addr": self.ready},
            "port_range": [7000, 7015],
            "seeds": [],
            "limits": {"cpu_share": 0.537, "cores": 2, "memory_mb": 300},
            "heartbeat_ms": 1500,
            "bounds": BOUNDS,
            "orders": "call",
            **settings,
        }
        self._settings.write_text(json.dumps(document), encoding="utf-8")
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process unless it runs."""
        if self.process is not None and self.process.poll() is None:
            return
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        words = deploy["roles"]["daemon"]["run"].split()
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["POMELOYARD_CONFIG"] = str(self._settings)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with self._log.open("ab") as log:
            self.process = subprocess.Popen(
                words, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def signal(self, number: int) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self) -> None:
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def log_text(self) -> str:
        return self._log.read_text(errors="replace") if self._log.exists() else ""


class Lab:
    """A small deployment on loopback."""

    def __init__(self, folder: Path, disturbed: bool, daemons: int = 3) -> None:
        self.folder = folder
        self.disturbed = disturbed
        self.record = Record(folder)
        self.runs = Runs(self.record)
        self.store = Store(self.record)
        self.executors: dict[str, Executor] = {}
        self.daemons: list[Daemon] = []
        self.orders = {"all": 0, "held": 0}
        """Starts and stops that executors were sent, and those held on their way."""
        self._token = f"{random.randrange(1 << 16):04x}"
        self._daemon_count = daemons
        self._temporary = Path(tempfile.mkdtemp(prefix="review-"))
        self._tasks: set[asyncio.Task] = set()
        self._servers: list[Server] = []
        self.store_servers: list[Server] = []
        self.cloud_handler = None
        """Answers calls to the VM service instead of the plain list of machines."""
        self.cloud_server: Server | None = None
        self.version = 0

    def unique(self, name: str) -> str:
        """Return an id that no executor of another lab on this machine has."""
        return f"{name}-{self._token}"

    def spawn(self, coroutine) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def add_executor(self, name: str, cpu: int, labels: list[str]) -> Executor:
        executor = Executor(self, self.unique(name), f"m-{name}", cpu, labels)
        self.executors[name] = executor
        return executor

    def publish(self, *, max_attempts: int = 4) -> None:
        """Write a configuration as the operator."""
        self.version += 1
        route = {
            "name": "cuts",
            "hostname": HOST,
            "prefix": "/cuts/",
            "service": "mill",
            "priority": 0,
            "max_attempts": max_attempts,
            "stretch": 1.6,
            "slo_ms": 600,
        }
        tenant = {"name": "alpha", "api_keys": [KEY], "weight": 1.0, "maximum": {}}
        self.store.write(
            "op/config",
            {
                "version": self.version,
                "routes": [route],
                "services": [{"name": "mill", "rejects_overload": False}],
                "tenants": [tenant],
                "limits": {"max_body_bytes": 262_144},
            },
        )

    async def _cloud(self, method, target, headers, body):
        if method == "GET":
            machines = [
                {
                    "machine": executor.machine,
                    "pool": executor.service,
                    "state": "up" if executor.up else "down",
                    "zone": "z1",
                    "labels": executor.labels,
                    "capacity": {"cpu": executor.cpu, "mem_mb": 64_000, "gpu": 0},
                    "id": executor.id if executor.up else None,
                }
                for executor in self.executors.values()
            ]
            return 200, {"machines": machines, "next_token": None}
        return 400, {}

    async def start(self) -> None:
        """Start all stand-ins and daemons, and wait until the daemons are ready."""
        if not (ROOT / "target" / "deps").is_dir():
            raise CaseError("target/deps is missing: run the build of the deploy file")
        cloud = Server(self.cloud_handler or self._cloud)
        await cloud.start()
        self.cloud_server = cloud
        self._servers.append(cloud)
        for executor in self.executors.values():
            await executor.start()
        self.publish()
        first = free_network(self._daemon_count)
        for number in range(self._daemon_count):
            store = Server(self.store.handle)
            await store.start()
            self._servers.append(store)
            self.store_servers.append(store)
            platform = {
                "address": store.address,
                "form": "kv",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "history_s": 20,
                "value_bytes": 1_048_576,
                "ttl_min_ms": 1000,
            }
            vms = {"address": cloud.address, "per_s": 64.0, "duty_per_s": 64.0}
            daemon = Daemon(
                number,
                f"127.{first[0]}.{first[1]}.{number + 2}",
                self._temporary,
                {"platform": platform, "cloud_api": vms},
            )
            self.daemons.append(daemon)
            daemon.start()
        until = time.monotonic() + 30
        for daemon in self.daemons:
            while True:
                answer = await call(daemon.ready, "GET", "/ready", timeout=1)
                if answer is not None and answer[0] == 200:
                    break
                if time.monotonic() > until:
                    log = daemon.log_text()[-800:]
                    raise CaseError(f"{daemon.name} is not ready: {log}")
                await asyncio.sleep(0.1)
        # One job shows that a daemon places work.
        await self.post("00000000000000ff", [{"count": 1, "cpu": 100}], ms=50)
        await self.wait_for_state("00000000000000ff", ("completed",), 15)
        self.record.add("ready")

    def role_holder(self) -> Daemon | None:
        """Return the daemon that holds the placing role, as its record shows."""
        item = self.store.item("f/roles/placing")
        if item is None:
            return None
        content = base64.b64decode(item["value"]).decode()
        return next((d for d in self.daemons if f'"{d.name}"' in content), None)

    async def request(self, method, path, document=None, daemon=0, deadline_ms=3000):
        """Send a client's call; return status and body, or None without an answer."""
        target = self.daemons[daemon % len(self.daemons)]
        body = b"" if document is None else json.dumps(document).encode()
        headers = {
            "Host": HOST,
            "X-Credential": KEY,
            "X-Deadline-Ms": str(deadline_ms),
            "Content-Type": "application/json",
        }
        self.record.add("send", method=method, path=path, daemon=target.name)
        answer = await call(
            target.front, method, path, headers, body, deadline_ms / 1000
        )
        status, content = answer if answer is not None else (None, None)
        self.record.add(
            "answer", method=method, path=path, status=status, body=json.dumps(content)
        )
        return answer

    async def post(self, job, steps, ms=1000, daemon=0, **spec):
        document = {"task_spec": json.dumps({"ms": ms, **spec}), "steps": steps}
        for attempt in range(5):
            answer = await self.request(
                "POST", f"/cuts/{job}", document, daemon + attempt
            )
            if answer is not None and answer[0] == 200:
                return
            await asyncio.sleep(0.3)
        raise CaseError(f"job {job} was not accepted")

    async def state(self, job, daemon=0):
        answer = await self.request("GET", f"/cuts/{job}", None, daemon)
        if answer is None or answer[0] != 200:
            return answer[0] if answer else None
        return answer[1]["state"]

    async def wait_for_state(self, job, states, seconds, daemon=0):
        until = time.monotonic() + seconds
        while True:
            state = await self.state(job, daemon)
            if state in states:
                return state
            if time.monotonic() > until:
                return state
            await asyncio.sleep(0.25)

    async def send_short_jobs(self, seconds: float, label: str) -> None:
        """Send jobs of short work units to the executors with a label."""
        step = {"count": 8, "cpu": 100, "mem_mb": 10, "est_ms": 50}
        step["requirements"] = label
        until = self.record.now() + seconds
        number = 0xE000
        while self.record.now() < until:
            number += 1
            await self.post(f"{number:016x}", [step], ms=50, daemon=2)
            await asyncio.sleep(0.3)

    def check_held_share(self, largest: float) -> None:
        """Check that few enough orders were held."""
        self.record.add("orders", **self.orders)
        if self.orders["held"] > largest * self.orders["all"]:
            raise CaseError(f"more orders held than allowed: {self.orders}")

    async def close(self) -> None:
        for daemon in self.daemons:
            daemon.end()
        for task in list(self._tasks):
            task.cancel()
        for server in [*self._servers, *(e.server for e in self.executors.values())]:
            await server.stop()
        keep = os.environ.get("REVIEW_LOGS")
        if keep:
            shutil.copytree(self._temporary, keep, dirs_exist_ok=True)
        shutil.rmtree(self._temporary, ignore_errors=True)


def run_case(folder: Path, build, scenario, seconds: float = 100.0) -> int:
    """Run a case: 1 if the rule was broken, 0 if it held, 2 if it could not run.

    ``build`` adds the executors; ``scenario`` returns why the rule is broken, or "".
    """
    disturbed = os.environ.get("TROUBLE", "1") != "0"

    async def play() -> int:
        lab = Lab(folder, disturbed)
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            # An interrupted case ends what it has started, too.
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            build(lab)
            async with asyncio.timeout(seconds):
                await lab.start()
                broken = await scenario(lab)
            lab.record.add("verdict", broken=broken or "no")
            print(broken or "the rule held")
            return 1 if broken else 0
        except (Exception, asyncio.CancelledError) as error:
            # Whatever goes wrong in the case itself says nothing about the rule.
            lab.record.add("not-run", error=repr(error))
            print(f"could not run: {error!r}", file=sys.stderr)
            return 2
        finally:
            await lab.close()

    return asyncio.run(play())
