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
TRANSFER_FACTOR = 2
"""Likewise for responses that grow with what is stored, whose times vary less."""


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


class TransferTimeouts:
    """Timeouts of responses that grow with what is stored, by what is read.

    On a slow link a page takes longer than the timeout of small calls, and each
    repetition with the same timeout would fail as well. The responses to small calls
    say nothing about that, so these timeouts are learned apart.

    >>> second = timedelta(seconds=1)
    >>> timeouts = TransferTimeouts(4 * second)
    >>> timeouts.timeout("jobs", second).total_seconds()
    1.0
    >>> timeouts.record_loss("jobs", second)
    >>> timeouts.timeout("jobs", second).total_seconds()
    2.0
    >>> timeouts.timeout("runs", second).total_seconds()
    1.0
    """

    def __init__(self, longest: timedelta) -> None:
        self._longest = longest
        self._by_name: dict[str, timedelta] = {}
        """Only those that exceed the timeout of a small call."""

    def timeout(self, name: str, usual: timedelta) -> timedelta:
        """Return the timeout; ``usual`` is that of a response of a few bytes."""
        return max(usual, self._by_name.get(name, usual))

    def record_loss(self, name: str, limit: timedelta) -> None:
        """Record that a response did not arrive within ``limit``."""
        self._by_name[name] = min(TRANSFER_FACTOR * limit, max(self._longest, limit))

    def record_response(self, name: str, took: timedelta, usual: timedelta) -> None:
        """Record a response that took ``took``."""
        needed = min(TRANSFER_FACTOR * took, self._longest)
        if needed > usual:
            self._by_name[name] = needed
        else:
            self._by_name.pop(name, None)
