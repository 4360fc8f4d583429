"""Clock interface, which lets tests control time."""

from __future__ import annotations

import heapq
import itertools
import time
from abc import ABC, abstractmethod
from datetime import UTC, datetime, timedelta

import anyio


class Clock(ABC):
    """Source of wall-clock time, monotonic time and delays."""

    @abstractmethod
    def now(self) -> datetime:
        """Return the current UTC time."""

    @abstractmethod
    def monotonic(self) -> timedelta:
        """Return the time since an arbitrary start; it never decreases."""

    @abstractmethod
    async def sleep(self, delay: timedelta) -> None:
        """Suspend the calling task for ``delay``."""


class SystemClock(Clock):
    """Clock of the operating system."""

    def now(self) -> datetime:
        """Return the current UTC time."""
        return datetime.now(UTC)

    def monotonic(self) -> timedelta:
        """Return the time since boot, including time while the VM is suspended."""
        return timedelta(seconds=time.clock_gettime(time.CLOCK_BOOTTIME))

    async def sleep(self, delay: timedelta) -> None:
        """Suspend the calling task for ``delay``."""
        await anyio.sleep(max(0.0, delay.total_seconds()))


class ManualClock(Clock):
    """Clock that advances only on request, for tests.

    >>> clock = ManualClock()
    >>> clock.advance(timedelta(seconds=5))
    >>> clock.monotonic()
    datetime.timedelta(seconds=5)
    """

    def __init__(self, start: datetime | None = None) -> None:
        self._start = start or datetime(2026, 1, 1, tzinfo=UTC)
        self._elapsed = timedelta(0)
        self._sleepers: list[tuple[timedelta, int, anyio.Event]] = []
        self._sequence = itertools.count()

    def now(self) -> datetime:
        """Return the start time plus all advances."""
        return self._start + self._elapsed

    def monotonic(self) -> timedelta:
        """Return the sum of all advances."""
        return self._elapsed

    async def sleep(self, delay: timedelta) -> None:
        """Suspend the calling task until the clock has been advanced by ``delay``."""
        if delay <= timedelta(0):
            await anyio.lowlevel.checkpoint()
            return
        woken = anyio.Event()
        wake_at = self._elapsed + delay
        heapq.heappush(self._sleepers, (wake_at, next(self._sequence), woken))
        await woken.wait()

    def advance(self, delay: timedelta) -> None:
        """Advance the clock and wake the tasks whose delay has passed."""
        self._elapsed += delay
        while self._sleepers and self._sleepers[0][0] <= self._elapsed:
            heapq.heappop(self._sleepers)[2].set()
