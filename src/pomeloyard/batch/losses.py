"""Whether calls to executors get lost at present; pure.

Answers spells of some seconds in which executors leave a share of all calls without an
answer. A look that waits long for an end is blind for all that time if it was lost, so
looks are short during such a spell; each look has a price, so they are long otherwise.
"""

from __future__ import annotations

from datetime import timedelta

SPELL = timedelta(seconds=4)
"""Calls count as getting lost for this long after the last two that were; a spell in
which one call in twenty is lost shows one about every second."""
LOSSES = 2
"""A single executor that fails loses one call and is found out by the next."""


class CallLosses:
    """The last calls without an answer, of all executors."""

    def __init__(self) -> None:
        self._last: list[tuple[timedelta, str]] = []

    def note(self, executor: str, now: timedelta) -> None:
        """Note a call to an executor that got no answer."""
        self._last = [(at, e) for at, e in self._last if e != executor]
        self._last = [*self._last, (now, executor)][-LOSSES:]

    def recent(self, now: timedelta) -> bool:
        """Tell whether calls to several executors were lost just now."""
        return len(self._last) == LOSSES and now < self._last[0][0] + SPELL
