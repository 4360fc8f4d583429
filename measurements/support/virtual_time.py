"""Run anyio programs in virtual time, so that timers do not wait."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from datetime import UTC, datetime, timedelta
from typing import TypeVar

import anyio

from pomeloyard.clock import Clock

T = TypeVar("T")


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop whose time jumps to the next timer when nothing else is ready.

    It must not be used with sockets or subprocesses, which need real time.
    """

    def __init__(self) -> None:
        super().__init__()
        self._virtual_seconds = 0.0

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual_seconds

    def _run_once(self) -> None:
        if not self._ready and self._scheduled:
            due = self._scheduled[0].when()
            self._virtual_seconds = max(self._virtual_seconds, due)
        super()._run_once()  # type: ignore[misc]


class LoopClock(Clock):
    """Clock that returns the time of the running event loop."""

    def now(self) -> datetime:
        """Return a fixed start plus the loop's time."""
        return datetime(2026, 1, 1, tzinfo=UTC) + self.monotonic()

    def monotonic(self) -> timedelta:
        """Return the loop's time."""
        return timedelta(seconds=anyio.current_time())

    async def sleep(self, delay: timedelta) -> None:
        """Suspend the calling task for ``delay`` of virtual time."""
        await anyio.sleep(max(0.0, delay.total_seconds()))


def run_virtual(program: Callable[..., Awaitable[T]], *arguments: object) -> T:
    """Run an async function in virtual time and return its result."""
    options = {"loop_factory": VirtualTimeLoop}
    return anyio.run(program, *arguments, backend_options=options)
