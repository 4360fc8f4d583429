"""Collect the decisions about a subject from all daemons."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field, replace
from datetime import datetime, timedelta
from typing import Annotated

import anyio
import logbook
import msgspec

from .decisions import DecisionLog
from .fleet_state import FleetState
from .peers.calls import PeerCalls
from .peers.messages import ExplainReply, ExplainRequest
from .peers.streams import PeerNetwork

REPLY_TIMEOUT = timedelta(seconds=1)
MAX_RECORDS = 50
"""Decisions in one daemon's reply; the newest are kept."""
MAX_RECORDS_BYTES = 256 * 1024
"""Encoded decisions in one daemon's reply, a quarter of the largest frame, so that a
reply delays heartbeats on the same connection only briefly."""

log = logbook.Logger("pomeloyard.explanations")


@dataclass(frozen=True, slots=True)
class CandidateView:
    """A considered option in a daemon's reply; see decisions.Candidate."""

    name: str
    reason: str
    score: float = 0.0


@dataclass(frozen=True, slots=True)
class DecisionView:
    """A decision in a daemon's reply; see decisions.Decision.

    Kinds and reasons are strings, because a daemon of another release may use
    values that this one does not know.
    """

    at: Annotated[datetime, msgspec.Meta(tz=True)]
    kind: str
    subject: str
    choice: str
    reason: str
    candidates: tuple[CandidateView, ...] = ()
    inputs: dict[str, str | int | float | bool] = field(default_factory=dict)
    daemon: str = ""
    """Incarnation of the daemon that sent the decision."""


@dataclass(frozen=True, slots=True)
class Explanation:
    """The daemons' decisions about a subject, ordered by time.

    ``silent`` lists daemons that did not reply, ``damaged`` those that sent records
    that cannot be decoded, and ``omitted`` counts by daemon the older decisions that
    were left out.
    """

    subject: str
    decisions: tuple[DecisionView, ...] = ()
    silent: tuple[str, ...] = ()
    damaged: tuple[str, ...] = ()
    omitted: dict[str, int] = field(default_factory=dict)


class Explanations:
    """Requests decisions from other daemons and replies to their requests."""

    def __init__(
        self,
        network: PeerNetwork,
        calls: PeerCalls,
        state: FleetState,
        decisions: DecisionLog,
    ) -> None:
        self._network = network
        self._calls = calls
        self._state = state
        self._decisions = decisions

    def start(self) -> None:
        """Start replying to other daemons."""
        self._calls.register_reply_type(ExplainReply)
        self._network.on(ExplainRequest, self._on_request)

    async def explain(self, subject: str) -> Explanation:
        """Return the decisions of all daemons about a subject."""
        own_incarnation = self._network.hello.incarnation
        # A registered daemon without a connection is reported as silent, because
        # it may have decisions that the result lacks.
        others = {*self._network.connected(), *self._state.daemons_by_incarnation}
        replies: dict[str, ExplainReply | None] = {
            own_incarnation: self._reply(0, subject)
        }

        async def ask(incarnation: str) -> None:
            replies[incarnation] = await self._calls.call(
                incarnation,
                lambda request_id: ExplainRequest(request_id, subject),
                ExplainReply,
                REPLY_TIMEOUT,
            )

        async with anyio.create_task_group() as tasks:
            for incarnation in others - {own_incarnation}:
                tasks.start_soon(ask, incarnation)
        return merge_replies(subject, replies)

    def _reply(self, request_id: int, subject: str) -> ExplainReply:
        known = self._decisions.for_subject(subject)
        records: list[bytes] = []
        size = 0
        for decision in reversed(known[-MAX_RECORDS:]):
            record = msgspec.json.encode(decision)
            size += len(record)
            if size > MAX_RECORDS_BYTES:
                break
            records.append(record)
        records.reverse()
        return ExplainReply(request_id, tuple(records), len(known) - len(records))

    def _on_request(self, sender: str, request: ExplainRequest) -> None:
        self._network.send(sender, self._reply(request.request_id, request.subject))


def merge_replies(subject: str, replies: dict[str, ExplainReply | None]) -> Explanation:
    """Merge the replies by incarnation; None stands for a daemon that did not reply."""
    decisions: list[DecisionView] = []
    damaged: list[str] = []
    omitted: dict[str, int] = {}
    for daemon, reply in sorted(replies.items()):
        if reply is None:
            continue
        views = _decode_records(subject, reply.records[-MAX_RECORDS:])
        decisions += [replace(v, daemon=daemon) for v in views if v is not None]
        if None in views:
            damaged.append(daemon)
            log.warning("{} sent undecodable records about {}", daemon, subject)
        if reply.omitted > 0:
            omitted[daemon] = reply.omitted
    decisions.sort(key=lambda decision: decision.at)
    silent = tuple(sorted(name for name, reply in replies.items() if reply is None))
    return Explanation(subject, tuple(decisions), silent, tuple(damaged), omitted)


def _decode_records(
    subject: str, records: Sequence[bytes]
) -> list[DecisionView | None]:
    """Return the decisions; None stands for a record that cannot be used."""
    views: list[DecisionView | None] = []
    for record in records:
        try:
            view = msgspec.json.decode(record, type=DecisionView)
        except (msgspec.MsgspecError, ValueError, RecursionError):
            views.append(None)
        else:
            views.append(view if view.subject == subject else None)
    return views
