"""One JSON line for each decision on a job, and counters of them."""

from __future__ import annotations

from collections import Counter
from datetime import timedelta

import msgspec

from ..clock import Clock
from ..logs import LogWriter

MAX_LINES_PER_SECOND = 600
"""Bound on the volume of one daemon, about 150 KB/s; more are counted only."""


class DecisionLines:
    """Writes decision lines at a bounded rate and never waits."""

    def __init__(self, clock: Clock, writer: LogWriter, daemon: str) -> None:
        self._clock = clock
        self._writer = writer
        self._daemon = daemon
        self.counts: Counter[tuple[str, str]] = Counter()
        self.suppressed = 0
        self._budget = float(MAX_LINES_PER_SECOND)
        self._filled_at = clock.monotonic()

    def decided(
        self, kind: str, subject: str, outcome: str, **inputs: str | int | float | bool
    ) -> None:
        """Write what was decided about a subject, from which inputs."""
        known = kind in ("place", "executor", "upkeep", "move", "pool")
        self.counts[kind, "" if known else outcome] += 1
        now = self._clock.monotonic()
        passed = (now - self._filled_at) / timedelta(seconds=1)
        self._filled_at = now
        refilled = self._budget + passed * MAX_LINES_PER_SECOND
        self._budget = min(float(MAX_LINES_PER_SECOND), refilled)
        if self._budget < 1:
            self.suppressed += 1
            return
        self._budget -= 1
        line = {
            "at": self._clock.now(),
            "daemon": self._daemon,
            "decision": kind,
            "subject": subject,
            "outcome": outcome,
            **inputs,
        }
        self._writer.put(msgspec.json.encode(line))
