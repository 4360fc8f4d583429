"""Decisions about a subject, collected from all daemons."""

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

ANSWER_TIMEOUT = timedelta(seconds=1)
MAX_RECORDS = 50
"""Decisions in one daemon's answer; the newest are kept."""
MAX_RECORDS_BYTES = 256 * 1024
"""Encoded decisions in one daemon's answer, a quarter of the longest frame, so that
an answer holds up heartbeats on the same connection only briefly."""

log = logbook.Logger("pomeloyard.explanations")


@dataclass(frozen=True, slots=True)
class CandidateView:
    """An option as another daemon states it; see decisions.Candidate."""

    name: str
    reason: str
    score: float = 0.0


@dataclass(frozen=True, slots=True)
class DecisionView:
    """A decision as another daemon states it; see decisions.Decision.

    Kinds and reasons are texts, because a daemon of another release may know
    others than this one.
    """

    at: Annotated[datetime, msgspec.Meta(tz=True)]
    kind: str
    subject: str
    choice: str
    reason: str
    candidates: tuple[CandidateView, ...] = ()
    inputs: dict[str, str | int | float | bool] = field(default_factory=dict)
    daemon: str = ""
    """Incarnation of the daemon that answered with the decision."""


@dataclass(frozen=True, slots=True)
class Explanation:
    """What the daemons know about a subject; decisions are ordered by time.

    ``silent`` are daemons that did not answer, ``damaged`` those with records that
    could not be read, ``omitted`` counts by daemon the older decisions left out.
    """

    subject: str
    decisions: tuple[DecisionView, ...] = ()
    silent: tuple[str, ...] = ()
    damaged: tuple[str, ...] = ()
    omitted: dict[str, int] = field(default_factory=dict)


class Explanations:
    """Answers other daemons' questions about decisions, and asks them."""

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
        """Answer other daemons from now on."""
        self._calls.register_reply_type(ExplainReply)
        self._network.on(ExplainRequest, self._on_request)

    async def explain(self, subject: str) -> Explanation:
        """Return the decisions of all daemons about a subject."""
        me = self._network.hello.incarnation
        # A registered daemon without a connection is named as silent, because
        # it may know decisions that the answer lacks.
        others = {*self._network.connected(), *self._state.daemons_by_incarnation}
        replies: dict[str, ExplainReply | None] = {me: self._reply(0, subject)}

        async def ask(incarnation: str) -> None:
            replies[incarnation] = await self._calls.call(
                incarnation,
                lambda request_id: ExplainRequest(request_id, subject),
                ExplainReply,
                ANSWER_TIMEOUT,
            )

        async with anyio.create_task_group() as tasks:
            for incarnation in others - {me}:
                tasks.start_soon(ask, incarnation)
        return merge_replies(subject, replies)

    def _reply(self, request_id: int, subject: str) -> ExplainReply:
        known = self._decisions.about(subject)
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
    """Return the decisions of all replies by incarnation; None is a silent daemon."""
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
            log.warning("{} sent damaged records about {}", daemon, subject)
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
