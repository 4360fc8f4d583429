"""Executors in a separate process, which respond quickly and only simulate run times.

    python -m measurements.support.executor_standin COUNT

listens on COUNT free ports, prints them and serves until end of input.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import sys
import time
from collections.abc import Callable

RUN_SECONDS = 0.64
"""Run time of a task whose payload does not say "lasts"."""


class Executor:
    """One executor, with its runs and the ends not yet acknowledged."""

    def __init__(self) -> None:
        self.started_at = time.monotonic()
        self.running: dict[str, int] = {}
        self.ended: list[list[object]] = []
        self.end_numbers = itertools.count(1)
        self.waiters: list[Callable[[], None]] = []

    def response(self, path: str, body: dict[str, object]) -> dict[str, object] | None:
        """Return the response to a call, or None if it has to wait for an end."""
        loop = asyncio.get_running_loop()
        clock = {"clock_ms": (time.monotonic() - self.started_at) * 1000}
        if path == "/run-start":
            task = str(body["task"])
            self.running[task] = int(str(body["run_id"]))
            if body["task_spec"] != "lasts":
                loop.call_later(RUN_SECONDS, self.end, task)
        elif path == "/hold":
            seen = int(str(body["last_seen"]))
            self.ended = [end for end in self.ended if int(str(end[0])) > seen]
            if not self.ended and body.get("wait_ms"):
                return None
            return {**clock, **self.run_lists()}
        return dict(clock)

    def run_lists(self) -> dict[str, object]:
        """Return the lists of runs and ends that an executor reports."""
        rows = [[task, run, "", 100, 0] for task, run in self.running.items()]
        return {"running": rows, "ended": self.ended, "born": 1}

    def end(self, task: str) -> None:
        """End a run and wake the hold calls that wait for an end."""
        run = self.running.pop(task)
        self.ended.append([next(self.end_numbers), task, run, "done", ""])
        waiters, self.waiters = self.waiters, []
        for wake in waiters:
            wake()


class Connection(asyncio.Protocol):
    """One connection; it has one call in progress at a time."""

    def __init__(self, executor: Executor) -> None:
        self.executor = executor
        self.received = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Respond to a request once it is complete."""
        self.received += data
        head, separator, rest = self.received.partition(b"\r\n\r\n")
        if not separator:
            return
        lines = head.decode().lower().split("\r\n")
        sizes = [line[15:] for line in lines if line.startswith("content-length:")]
        if len(rest) < int(sizes[0]):
            return
        self.received = b""
        path = lines[0].split()[1]
        body = json.loads(rest)
        response = self.executor.response(path, body)
        if response is not None:
            self.send(response)
            return
        loop = asyncio.get_running_loop()
        seconds = int(body["wait_ms"]) / 1000
        timer = loop.call_later(seconds, self.send_lists)

        def wake() -> None:
            timer.cancel()
            self.send_lists()

        self.executor.waiters.append(wake)

    def send_lists(self) -> None:
        """Respond to a hold call that has waited."""
        clock = (time.monotonic() - self.executor.started_at) * 1000
        self.send({"clock_ms": clock, **self.executor.run_lists()})

    def send(self, response: dict[str, object]) -> None:
        """Send one response."""
        body = json.dumps(response).encode()
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
        self.transport.write(head.encode() + body)


async def serve(count: int) -> None:
    """Serve until end of input."""
    loop = asyncio.get_running_loop()
    ports = []
    for _ in range(count):
        executor = Executor()
        server = await loop.create_server(
            lambda e=executor: Connection(e), "127.0.0.1", 0
        )
        ports.append(server.sockets[0].getsockname()[1])
    print(json.dumps(ports), flush=True)
    await loop.run_in_executor(None, sys.stdin.read)


if __name__ == "__main__":
    asyncio.run(serve(int(sys.argv[1])))
