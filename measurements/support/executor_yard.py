"""Executors as processes of their own: they answer fast and only keep time.

    python -m measurements.support.executor_yard COUNT

listens on COUNT free ports, prints them and serves until its input ends.
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


class Yard:
    """One executor: its runs and the ends that were not acknowledged."""

    def __init__(self) -> None:
        self.born = time.monotonic()
        self.running: dict[str, int] = {}
        self.ended: list[list[object]] = []
        self.numbers = itertools.count(1)
        self.waiting: list[Callable[[], None]] = []

    def answer(self, path: str, body: dict[str, object]) -> dict[str, object] | None:
        """Answer a call; None: it waits for an end."""
        loop = asyncio.get_running_loop()
        clock = {"clock_ms": (time.monotonic() - self.born) * 1000}
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
            return {**clock, **self.lists()}
        return dict(clock)

    def lists(self) -> dict[str, object]:
        """Return what an executor says of its runs."""
        rows = [[task, run, "", 100, 0] for task, run in self.running.items()]
        return {"running": rows, "ended": self.ended, "born": 1}

    def end(self, task: str) -> None:
        """End a run and wake the look that waits for it."""
        run = self.running.pop(task)
        self.ended.append([next(self.numbers), task, run, "done", ""])
        waiting, self.waiting = self.waiting, []
        for wake in waiting:
            wake()


class Channel(asyncio.Protocol):
    """One connection; calls come one at a time."""

    def __init__(self, yard: Yard) -> None:
        self.yard = yard
        self.received = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Answer a request once it is whole."""
        self.received += data
        head, found, rest = self.received.partition(b"\r\n\r\n")
        if not found:
            return
        lines = head.decode().lower().split("\r\n")
        sizes = [line[15:] for line in lines if line.startswith("content-length:")]
        if len(rest) < int(sizes[0]):
            return
        self.received = b""
        path = lines[0].split()[1]
        body = json.loads(rest)
        answer = self.yard.answer(path, body)
        if answer is not None:
            self.send(answer)
            return
        loop = asyncio.get_running_loop()
        seconds = int(body["wait_ms"]) / 1000
        timer = loop.call_later(seconds, self.send_lists)

        def wake() -> None:
            timer.cancel()
            self.send_lists()

        self.yard.waiting.append(wake)

    def send_lists(self) -> None:
        """Answer a look that has waited."""
        clock = (time.monotonic() - self.yard.born) * 1000
        self.send({"clock_ms": clock, **self.yard.lists()})

    def send(self, answer: dict[str, object]) -> None:
        """Send one answer."""
        body = json.dumps(answer).encode()
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
        self.transport.write(head.encode() + body)


async def serve(count: int) -> None:
    """Serve until the input ends."""
    loop = asyncio.get_running_loop()
    ports = []
    for _ in range(count):
        yard = Yard()
        server = await loop.create_server(lambda y=yard: Channel(y), "127.0.0.1", 0)
        ports.append(server.sockets[0].getsockname()[1])
    print(json.dumps(ports), flush=True)
    await loop.run_in_executor(None, sys.stdin.read)


if __name__ == "__main__":
    asyncio.run(serve(int(sys.argv[1])))
