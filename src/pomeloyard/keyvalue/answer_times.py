"""How long the store is waited for; pure.

Answers two patterns: answers that are lost while others come in milliseconds, where
each second of waiting is one without starts, and a store that takes 0.4 s for each.
"""

from __future__ import annotations

from datetime import timedelta

RECENT = timedelta(seconds=5)
"""Answers of this time say how long the store takes; slow spells last about as long."""
TIMES_USUAL = 3
"""An answer that takes this many times the longest recent one counts as lost."""


class AnswerTimes:
    """The times that recent answers took.

    >>> times = AnswerTimes(timedelta(seconds=0.35), timedelta(seconds=1.2))
    >>> times.limit(timedelta(0)).total_seconds()
    0.35
    >>> times.lost()
    >>> times.limit(timedelta(0)).total_seconds()
    0.7
    """

    def __init__(self, shortest: timedelta, longest: timedelta) -> None:
        self._shortest = shortest
        self._longest = longest
        self._answers: list[tuple[timedelta, timedelta]] = []
        """When answers came and how long they took, the longest of them first; a
        shorter one is kept only if it is newer."""
        self._lost_in_row = 0

    def answered(self, now: timedelta, took: timedelta) -> None:
        """Note an answer."""
        self._lost_in_row = 0
        self._answers = [
            (at, other)
            for at, other in self._answers
            if other > took and now < at + RECENT
        ]
        self._answers.append((now, took))

    def lost(self) -> None:
        """Note a call without an answer; the next ones are waited for longer."""
        self._lost_in_row += 1

    def limit(self, now: timedelta) -> timedelta:
        """Return how long the next call should be waited for."""
        usual = next(
            (took for at, took in self._answers if now < at + RECENT), timedelta(0)
        )
        limit = max(self._shortest, TIMES_USUAL * usual)
        for _ in range(self._lost_in_row):
            if limit >= self._longest:
                break
            limit *= 2
        return min(limit, self._longest)
