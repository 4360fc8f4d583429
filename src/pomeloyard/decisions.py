"""Log of decisions in memory, to explain what the system did and why."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import datetime
from enum import Enum

MAX_DECISIONS = 2000
"""Decisions kept in a daemon's memory; the oldest are evicted first. Routes use at
most half, because one is recorded for each request and they would otherwise evict
all others within seconds."""


class DecisionKind(Enum):
    """Kind of a decision."""

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
    ZONE = "zone"


@dataclass(frozen=True, slots=True)
class Candidate:
    """A considered option and the reason why it was chosen or not."""

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
    """Keeps the latest decisions and passes each to the sinks."""

    def __init__(self, limit: int = MAX_DECISIONS) -> None:
        self._routes: deque[Decision] = deque(maxlen=limit // 2)
        self._others: deque[Decision] = deque(maxlen=limit - limit // 2)
        self.sinks: list[Callable[[Decision], None]] = []

    def record(self, decision: Decision) -> None:
        """Add a decision and pass it to the sinks, which must not block."""
        is_route = decision.kind is DecisionKind.ROUTE
        (self._routes if is_route else self._others).append(decision)
        for sink in self.sinks:
            sink(decision)

    def for_subject(self, subject: str) -> list[Decision]:
        """Return the decisions about a subject, oldest first."""
        kept = [*self._routes, *self._others]
        return sorted((d for d in kept if d.subject == subject), key=lambda d: d.at)
