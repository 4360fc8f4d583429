"""Detection of periods in which calls to executors are lost (no I/O).

For some seconds, executors may leave a share of all calls unanswered. A lost long poll
hides changes until it times out, so polls are short during such a period; as each
poll has a cost, they are long otherwise.
"""

from __future__ import annotations

from datetime import timedelta

LOSS_PERIOD = timedelta(seconds=4)
"""How long after the earlier of the last two losses calls count as being lost. If one
call in twenty is lost, a loss occurs about every second."""
MIN_EXECUTORS = 2
"""Number of executors that must lose a call: a single failing executor loses one call
and is detected by the next."""


class CallLosses:
    """The last unanswered calls to different executors."""

    def __init__(self) -> None:
        self._losses: list[tuple[timedelta, str]] = []

    def record(self, executor: str, now: timedelta) -> None:
        """Record an unanswered call to an executor."""
        self._losses = [(at, e) for at, e in self._losses if e != executor]
        self._losses = [*self._losses, (now, executor)][-MIN_EXECUTORS:]

    def calls_are_lost(self, now: timedelta) -> bool:
        """Tell whether calls to several executors were lost recently."""
        return (
            len(self._losses) == MIN_EXECUTORS
            and now < self._losses[0][0] + LOSS_PERIOD
        )
