"""Records of decisions, kept to explain what the system did and why."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import datetime
from enum import Enum

MAX_DECISIONS = 2000
"""Decisions kept in a daemon's memory; the oldest are dropped first."""


class DecisionKind(Enum):
    """What was decided."""

    ROUTE = "route"
    CLAIM = "claim"
    LEND = "lend"
    PLACE = "place"
    PREEMPT = "preempt"
    DRAIN = "drain"
    RETURN = "return"
    WAVE = "wave"
    MOVE = "move"
    REPAIR = "repair"
    PUBLISH = "publish"
    KEY = "key"
    MEMBERSHIP = "membership"


@dataclass(frozen=True, slots=True)
class Candidate:
    """An option that was considered, and why it was or was not chosen."""

    name: str
    reason: Enum
    score: float = 0.0


@dataclass(frozen=True, slots=True)
class Decision:
    """One decision about a subject such as "vm/cut-3" or "job/4f2a"."""

    at: datetime
    kind: DecisionKind
    subject: str
    choice: str
    reason: Enum
    candidates: tuple[Candidate, ...] = ()
    inputs: dict[str, str | int | float | bool] = field(default_factory=dict)


class DecisionLog:
    """Keeps the latest decisions and passes each one to its sinks."""

    def __init__(self, limit: int = MAX_DECISIONS) -> None:
        self._decisions: deque[Decision] = deque(maxlen=limit)
        self.sinks: list[Callable[[Decision], None]] = []

    def record(self, decision: Decision) -> None:
        """Keep a decision; sinks must not block."""
        self._decisions.append(decision)
        for sink in self.sinks:
            sink(decision)

    def about(self, subject: str) -> list[Decision]:
        """Return the decisions about a subject, oldest first."""
        return [d for d in self._decisions if d.subject == subject]
