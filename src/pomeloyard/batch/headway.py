"""Detects a term that holds its role while its work does not advance; no I/O."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta

from ..clock import Clock

STALL_TIME = timedelta(seconds=5)
"""An activity without progress for this long has stalled. Usual ones take well under a
second, and a page of the store at most 4 s."""


class Headway:
    """Tracks when each activity of a term last made progress.

    Time in which the store does not confirm the role's renewals does not count: then
    nothing can advance, and no other daemon would do better.
    """

    def __init__(self, clock: Clock, is_confirmed: Callable[[], bool]) -> None:
        self._clock = clock
        self._is_confirmed = is_confirmed
        self._waiting_since: dict[str, timedelta] = {}

    def record(self, activity: str) -> None:
        """Record that an activity has begun or made progress."""
        self._waiting_since[activity] = self._clock.monotonic()

    def begin(self, activity: str) -> None:
        """Record that an activity waits for something, unless it did already."""
        self._waiting_since.setdefault(activity, self._clock.monotonic())

    def finish(self, activity: str) -> None:
        """Record that an activity waits for nothing any more."""
        self._waiting_since.pop(activity, None)

    def find_stalled(self) -> str | None:
        """Return an activity that has stalled, None if there is none."""
        now = self._clock.monotonic()
        if not self._is_confirmed():
            self._waiting_since = dict.fromkeys(self._waiting_since, now)
            return None
        for activity, since in self._waiting_since.items():
            if now - since >= STALL_TIME:
                return activity
        return None
