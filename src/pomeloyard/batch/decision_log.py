"""Rate-limited JSON log of decisions on jobs, and counters by kind."""

from __future__ import annotations

from collections import Counter
from datetime import timedelta

import msgspec

from ..clock import Clock
from ..logs import LogWriter

MAX_LINES_PER_SECOND = 600
"""Limits the log volume of one daemon to about 150 KB/s; excess lines are counted but
not written."""


class JobDecisionLog:
    """Writes decision lines at a limited rate without blocking."""

    def __init__(self, clock: Clock, writer: LogWriter, daemon: str) -> None:
        self._clock = clock
        self._writer = writer
        self._daemon = daemon
        self.counts: Counter[tuple[str, str]] = Counter()
        self.dropped_lines = 0
        self._tokens = float(MAX_LINES_PER_SECOND)
        self._refilled_at = clock.monotonic()

    def record(
        self, kind: str, subject: str, outcome: str, **inputs: str | int | float | bool
    ) -> None:
        """Log a decision about a subject with its inputs."""
        omit_outcome = kind in ("place", "executor", "upkeep", "move", "pool", "share")
        self.counts[kind, "" if omit_outcome else outcome] += 1
        now = self._clock.monotonic()
        elapsed = (now - self._refilled_at) / timedelta(seconds=1)
        self._refilled_at = now
        refilled = self._tokens + elapsed * MAX_LINES_PER_SECOND
        self._tokens = min(float(MAX_LINES_PER_SECOND), refilled)
        if self._tokens < 1:
            self.dropped_lines += 1
            return
        self._tokens -= 1
        line = {
            "at": self._clock.now(),
            "daemon": self._daemon,
            "decision": kind,
            "subject": subject,
            "outcome": outcome,
            **inputs,
        }
        self._writer.put(msgspec.json.encode(line))
