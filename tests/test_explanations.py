"""Collecting decisions from several daemons, without sockets, in virtual time."""

from __future__ import annotations

from datetime import UTC, datetime, timedelta

import anyio
import msgspec
import pytest

from measurements.support.virtual_time import run_virtual
from pomeloyard.allocation.decisions import MembershipDecisions, MembershipReason
from pomeloyard.allocation.partitions import new_table
from pomeloyard.clock import ManualClock
from pomeloyard.decisions import Decision, DecisionKind, DecisionLog
from pomeloyard.explanations import MAX_RECORDS, REPLY_TIMEOUT, Explanations
from pomeloyard.fleet_state import FleetState
from pomeloyard.peers.calls import PeerCalls
from pomeloyard.peers.codec import MAX_FRAME_BYTES, encode_frame
from pomeloyard.peers.messages import ExplainReply, ExplainRequest
from pomeloyard.requests.routing import RouteReason

from .support.network import Network

SUBJECT = "vm/cut-3"
START = datetime(2026, 1, 1, tzinfo=UTC)


def decision(second, subject=SUBJECT, kind=DecisionKind.DRAIN, text=""):
    at, inputs = START + timedelta(seconds=second), {"detail": text, "epoch": 1}
    return Decision(at, kind, subject, "drain", RouteReason.CHOSEN, inputs=inputs)


def daemon(name, networks, decisions):
    log = DecisionLog()
    for made in decisions:
        log.record(made)
    network = Network(name, networks)
    explanations = Explanations(network, PeerCalls(network), FleetState(), log)
    explanations.start()
    return explanations


def replying(name, networks, records):
    """Add a daemon that replies with ``records``, or never if None."""
    network = Network(name, networks)

    def reply(sender, request):
        if records is not None:
            network.send(sender, ExplainReply(request.request_id, records))

    network.on(ExplainRequest, reply)


def explain(records=None, names=(), registered=(), others=()):
    """Return the explanation by daemon "a" and the seconds it took."""

    async def body():
        networks = {}
        asking = daemon("a", networks, [decision(1), decision(3)])
        daemon("b", networks, others)
        for name in names:
            replying(name, networks, records)
        asking._state.daemons_by_incarnation.update(dict.fromkeys(registered))
        began = anyio.current_time()
        return await asking.explain(SUBJECT), anyio.current_time() - began

    return run_virtual(body)


def text_of(**changes):
    """Return a record of a later release, with an unknown kind and field."""
    fields = {"at": "2026-01-01T00:00:02Z", "kind": "later", "subject": SUBJECT}
    more = {"choice": "c", "reason": "later", "more": 1}
    return msgspec.json.encode({**fields, **more, **changes})


# Each row: records of other daemons, their names, daemons of the expected decisions
# in order, expected silent and damaged daemons. "x" is registered, not connected.
FAULTS = {
    "all answer": ([text_of()], "c", "abca", "", ""),
    "three silent": (None, "cde", "aba", "cde", ""),
    "not connected": ([], "", "aba", "x", ""),
    "not JSON": ([b"\xff", text_of()], "c", "abca", "", "c"),
    "nested too deep": ([b"[" * 100_000], "c", "aba", "", "c"),
    "no time zone": ([text_of(at="2026-01-01T00:00:02")], "c", "aba", "", "c"),
    "other subject": ([text_of(subject="vm/x")], "c", "aba", "", "c"),
    "wrong type": ([text_of(inputs=[1])], "c", "aba", "", "c"),
    "other's name": ([text_of(daemon="a")], "c", "abca", "", ""),
    "too many": ([text_of()] * 999, "c", "ab" + "c" * MAX_RECORDS + "a", "", ""),
}


@pytest.mark.parametrize("fault", FAULTS)
def test_answers_are_merged_and_missing_ones_are_named(fault):
    """Guards against a faulty daemon that hides or falsifies others' decisions."""
    records, names, order, silent, damaged = FAULTS[fault]
    registered = ("a", "b", *silent)
    answer, seconds = explain(records, names, registered, [decision(2)])
    assert "".join(d.daemon for d in answer.decisions) == order
    assert [d.at for d in answer.decisions] == sorted(d.at for d in answer.decisions)
    assert "".join(answer.silent) == silent
    assert "".join(answer.damaged) == damaged
    # Silent daemons are waited for concurrently.
    assert seconds <= REPLY_TIMEOUT.total_seconds() + 0.001


@pytest.mark.parametrize(("count", "size"), [(400, 10), (60, 60_000), (1, 2_000_000)])
def test_oversized_history_is_cut_to_the_newest(count, size):
    """Guards against a reply over the frame limit, which closes the connection."""
    history = [decision(n, text="x" * size) for n in range(count)]
    reply = daemon("b", {}, history)._reply(1, SUBJECT)
    assert len(encode_frame(reply)) < MAX_FRAME_BYTES / 2
    answer, _ = explain(others=history)
    shown = [d.at for d in answer.decisions if d.daemon == "b"]
    assert len(shown) <= MAX_RECORDS
    assert shown == [d.at for d in history[count - len(shown) :]]
    assert answer.omitted == {"b": count - len(shown)}


def test_routes_do_not_drop_other_decisions():
    """Guards against requests that evict the decision to drain a VM."""
    log = DecisionLog(limit=10)
    for second in range(100):
        kind = DecisionKind.ROUTE if second else DecisionKind.DRAIN
        log.record(decision(second, kind=kind))
    seconds = [(d.at - START).seconds for d in log.for_subject(SUBJECT)]
    assert seconds == [0, 95, 96, 97, 98, 99]


ME, OTHER = "entry-1.1", "entry-2.1"
# Each row: holders in order, each with whether its change was clean; last reason.
CHANGES = [
    ([(ME, True)], "first-holder"),
    ([(OTHER, True), ("", True), (ME, True)], "released-by-former-holder"),
    ([(OTHER, True), (ME, False)], "former-holder-gone"),
    ([(OTHER, True), ("", False), (ME, False)], "former-holder-gone"),
    ([(ME, True), ("", True)], "released"),
    ([(ME, True), ("", True), (OTHER, True)], "released"),
    ([(ME, True), (OTHER, False)], "confirmed-gone"),
    ([(ME, True), (OTHER, False), ("", True)], "changed-unseen"),
]


@pytest.mark.parametrize(("holders", "reason"), CHANGES)
def test_reason_of_a_change_of_partitions(holders, reason):
    """Guards against a takeover reported as a release."""
    table = new_table(4)
    for holder, clean in holders:
        table = table.with_holder(2, holder, clean=clean)
    log = DecisionLog()
    changes = MembershipDecisions(ManualClock(), FleetState(partitions=table), ME, log)
    if table.partitions[2].holder == ME:
        changes.record_gained(2, table.partitions[2].clean)
    else:
        changes.record_lost(2)
    (made,) = log.for_subject("membership/entry-1")
    assert (made.reason, made.inputs["partition"]) == (MembershipReason(reason), 2)
