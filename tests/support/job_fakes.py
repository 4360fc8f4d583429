"""Store with injected faults and helpers that drive a manual clock."""

from __future__ import annotations

from collections.abc import Coroutine
from datetime import timedelta
from typing import Any

import anyio
from anyio.lowlevel import checkpoint

from pomeloyard.clock import ManualClock
from pomeloyard.errors import StoreOutcomeUnknownError, StoreUnavailableError
from pomeloyard.keyvalue.memory import MemoryStore

STEP = timedelta(milliseconds=50)
SILENT_POLL_EXTRA_WAIT = timedelta(seconds=0.6)


class FaultyStore(MemoryStore):
    """In-memory store with injected faults, which also counts calls."""

    def __init__(self, clock: ManualClock) -> None:
        super().__init__(clock)
        self.down = False
        self.answers_to_lose = 0
        self.calls_by_method: dict[str, int] = {}
        self.delay = timedelta(0)
        self.silent_prefix = ""
        """Prefix whose next ``silent_polls`` polls get no events and then fail."""
        self.silent_polls = 1

    async def poll_changes(self, prefix, after_revision, wait):
        if self.silent_prefix == prefix:
            self.silent_polls -= 1
            if self.silent_polls == 0:
                self.silent_prefix, self.silent_polls = "", 1
            await self._clock.sleep(wait + SILENT_POLL_EXTRA_WAIT)
            raise StoreUnavailableError("silent")
        self._check_up()
        batch = await super().poll_changes(prefix, after_revision, wait)
        self._check_up()
        return batch

    def _check_up(self):
        if self.down:
            raise StoreUnavailableError("down")

    def _record_call(self, method: str) -> None:
        self._check_up()
        self.calls_by_method[method] = self.calls_by_method.get(method, 0) + 1

    async def get(self, key):
        self._record_call("get")
        return await super().get(key)

    async def scan(self, prefix, *, start="", limit=1000):
        self._record_call("scan")
        return await super().scan(prefix, start=start, limit=limit)

    async def commit(self, transaction):
        self._record_call("commit")
        if self.delay:
            await self._clock.sleep(self.delay)
        result = await super().commit(transaction)
        if self.calls_by_method["commit"] % 2:
            # Every second answer arrives after watchers have seen the change.
            await settle(10)
        if self.answers_to_lose:
            self.answers_to_lose -= 1
            raise StoreOutcomeUnknownError("answer lost")
        return result


async def settle(rounds: int = 30) -> None:
    """Yield to the event loop until all runnable tasks have run."""
    for _ in range(rounds):
        await checkpoint()


async def advance(clock: ManualClock, seconds: float) -> None:
    """Advance the clock in small steps, so that sleeping tasks wake in order."""
    steps = round(seconds / STEP.total_seconds())
    for _ in range(max(1, steps)):
        clock.advance(STEP)
        await settle()


async def with_clock(clock: ManualClock, call: Coroutine[Any, Any, Any]) -> Any:
    """Await a call while advancing the clock; errors are returned, not raised."""
    results: list[Any] = []

    async def run() -> None:
        try:
            results.append(await call)
        except Exception as error:
            results.append(error)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(run)
        while not results:
            await advance(clock, STEP.total_seconds())
    return results[0]
