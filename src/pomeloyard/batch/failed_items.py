"""Sets aside single jobs and executors whose handling fails with an unexpected error.

The others go on: a round or a load that ended with the first error would meet the same
item again in each round of each term, and nothing would be started for anybody.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from datetime import timedelta

import logbook

from ..clock import Clock
from ..roles import RoleLostError
from .decision_log import JobDecisionLog

FIRST_PAUSE = timedelta(seconds=1)
MAX_PAUSE = timedelta(seconds=30)
"""Longest pause before an item that keeps failing is handled again."""

log = logbook.Logger("pomeloyard.batch.failed_items")


@dataclass(frozen=True, slots=True)
class _Failure:
    pause: timedelta
    until: timedelta


class FailedItems:
    """Contains errors of single items, and pauses the items for growing times."""

    def __init__(self, clock: Clock, decision_log: JobDecisionLog) -> None:
        self._clock = clock
        self._decision_log = decision_log
        self._failure_by_item: dict[tuple[str, str], _Failure] = {}
        self.counts: Counter[str] = Counter()
        """Contained errors by kind of item."""

    @contextmanager
    def contain(self, kind: str, name: str) -> Iterator[None]:
        """Contain an error in the handling of one item, for example a job.

        Passes on RoleLostError, which concerns all items.
        """
        try:
            yield
        except RoleLostError:
            raise
        except Exception as error:
            # Whatever is wrong with one item, the others must go on.
            self._record(kind, name, error)

    def handle(
        self, kind: str, name: str, function: Callable[..., None], *args: object
    ) -> None:
        """Call a function on one item unless it is paused, and contain its errors."""
        if not self.is_paused(kind, name):
            with self.contain(kind, name):
                function(*args)

    def _record(self, kind: str, name: str, error: Exception) -> None:
        earlier = self._failure_by_item.get((kind, name))
        pause = min(2 * earlier.pause, MAX_PAUSE) if earlier else FIRST_PAUSE
        until = self._clock.monotonic() + pause
        self._failure_by_item[kind, name] = _Failure(pause, until)
        self.counts[kind] += 1
        log.exception("{} {} failed and is set aside for {}", kind, name, pause)
        self._decision_log.record(
            "failed-item",
            name,
            kind,
            error=type(error).__name__,
            pause_ms=round(pause / timedelta(milliseconds=1)),
        )

    def is_paused(self, kind: str, name: str) -> bool:
        """Tell whether an item failed a short time ago and is not handled now."""
        failure = self._failure_by_item.get((kind, name))
        return failure is not None and self._clock.monotonic() < failure.until

    def forget(self, kind: str, name: str) -> None:
        """Forget the failures of an item that has ended."""
        self._failure_by_item.pop((kind, name), None)
