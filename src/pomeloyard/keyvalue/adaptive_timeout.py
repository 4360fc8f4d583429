"""Adaptive timeout of calls to the store; no I/O.

Two cases need different timeouts. When single responses are lost while others arrive
within milliseconds, every second of waiting is a second in which no job starts. When
the store is slow, each response takes 0.4 s.
"""

from __future__ import annotations

from datetime import timedelta

RECENT_WINDOW = timedelta(seconds=5)
"""Window of the responses that set the timeout; slow periods last about as long."""
TIMEOUT_FACTOR = 3
"""A response is taken for lost after this multiple of the longest recent time."""


class AdaptiveTimeout:
    """Timeout derived from the times of recent responses.

    >>> timeouts = AdaptiveTimeout(timedelta(seconds=0.35), timedelta(seconds=1.2))
    >>> timeouts.timeout(timedelta(0)).total_seconds()
    0.35
    >>> timeouts.record_loss()
    >>> timeouts.timeout(timedelta(0)).total_seconds()
    0.7
    """

    def __init__(self, shortest: timedelta, longest: timedelta) -> None:
        self._shortest = shortest
        self._longest = longest
        self._recent: list[tuple[timedelta, timedelta]] = []
        """Arrival and duration of recent responses, longest duration first; a shorter
        one is kept only if it is newer (a monotonic queue for the maximum)."""
        self._consecutive_losses = 0

    def record_response(self, now: timedelta, took: timedelta) -> None:
        """Record a response that took ``took``."""
        self._consecutive_losses = 0
        self._recent = [
            (at, other)
            for at, other in self._recent
            if other > took and now < at + RECENT_WINDOW
        ]
        self._recent.append((now, took))

    def record_loss(self) -> None:
        """Record a call without a response; the timeout of the next ones is longer."""
        self._consecutive_losses += 1

    def timeout(self, now: timedelta) -> timedelta:
        """Return the timeout of the next call."""
        longest_recent = next(
            (took for at, took in self._recent if now < at + RECENT_WINDOW),
            timedelta(0),
        )
        timeout = max(self._shortest, TIMEOUT_FACTOR * longest_recent)
        for _ in range(self._consecutive_losses):
            if timeout >= self._longest:
                break
            timeout *= 2
        return min(timeout, self._longest)
