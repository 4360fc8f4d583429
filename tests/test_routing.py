"""Executor selection, ejection, retry budget and bounds of stored records."""

import itertools
from datetime import timedelta

import pytest

from pomeloyard.claims.segments import SegmentIndex, decode_segment
from pomeloyard.claims.table import CLAIM_WINDOW, Claim, ClaimTable
from pomeloyard.clock import ManualClock
from pomeloyard.keyvalue.store import Entry
from pomeloyard.requests.results import ResultState, ResultTable, StoredResponse
from pomeloyard.requests.routing import (
    CONSECUTIVE_FAILURES_TO_EJECT,
    FIRST_EJECTION_TIME,
    ExecutorRouter,
    RetryBudget,
    RouteReason,
)

NAMES = ["e1", "e2", "e3", "e4"]
ZONES = {"e1": "east", "e2": "west", "e3": "east", "e4": "west"}


def make_router(loads=None):
    clock = ManualClock()
    loads = loads or {}
    router = ExecutorRouter(
        clock, "east", ZONES.__getitem__, lambda n: loads.get(n, 0.0), lambda s: NAMES
    )
    return router, clock


def fail(router, *names):
    for name in names:
        for _ in range(CONSECUTIVE_FAILURES_TO_EJECT):
            router.failed("s", name)


@pytest.mark.parametrize(
    ("loads", "latencies", "failed", "first"),
    [
        ({}, {}, [], "e1"),
        ({"e1": 0.1}, {}, [], "e3"),
        ({"e1": 0.5, "e3": 0.5}, {}, [], "e2"),
        ({}, {"e1": 2.0, "e3": 0.1}, [], "e3"),
        ({}, {}, ["e1", "e3"], "e2"),
    ],
)
def test_preferred_executor(loads, latencies, failed, first):
    """Guards against a selection that ignores zone, load, latency or failures."""
    router, _ = make_router(loads)
    for name, seconds in latencies.items():
        router.succeeded(name, timedelta(seconds=seconds))
    for name in failed:
        router.failed("s", name)
    assert router.rank("s", NAMES)[0] == first


def test_ejection_backs_off_and_lets_one_trial_through():
    """Guards against a failing executor that is retried too often or never again."""
    router, clock = make_router()
    fail(router, "e1")
    for doublings in range(3):
        assert "e1" not in router.rank("s", NAMES)
        clock.advance(FIRST_EJECTION_TIME * 2**doublings)
        assert router.rank("s", NAMES)[0] == "e1"
        router.started("e1")
        assert router.decision("s", "e1").reason is RouteReason.TRIAL
        assert "e1" not in router.rank("s", NAMES), "a second trial at once"
        router.failed("s", "e1")
    clock.advance(timedelta(minutes=1))
    router.started("e1")
    router.succeeded("e1", timedelta(0))
    assert router.rank("s", NAMES)[0] == "e1"
    reasons = {c.name: c.reason for c in router.decision("s", "e3").candidates}
    assert reasons["e3"] is RouteReason.CHOSEN
    assert reasons["e1"] is RouteReason.LESS_PREFERRED


def test_at_most_half_of_the_executors_are_ejected():
    """Guards against a fault of all executors that ejects every one of them."""
    for order in itertools.permutations(NAMES):
        router, _ = make_router()
        fail(router, *order)
        assert len(router.rank("s", NAMES)) == 2


def test_retry_budget_is_a_tenth_of_the_requests():
    """Guards against more retries than the budget allows."""
    budget = RetryBudget(limit=1.0)
    assert [budget.try_take(), budget.try_take()] == [True, False]
    for _ in range(9):
        budget.record_request()
    assert not budget.try_take()
    for _ in range(2):
        budget.record_request()
    assert budget.try_take()


def test_results_are_bounded_and_outlive_their_claims():
    """Guards against unbounded memory, and a result dropped before its claim."""
    clock = ManualClock()
    results = ResultTable(clock, max_results=3, max_stored_bytes=2000)
    for key in (b"1", b"2", b"3"):
        assert results.begin(key, b"f")
        response = StoredResponse(200, (), b"x" * 400)
        results.finish(key, ResultState.DONE, response)
    assert not results.begin(b"4", b"f")
    assert results.stored_bytes <= 2000
    assert results.get(b"1").response is None
    assert results.get(b"3").response.body == b"x" * 400
    clock.advance(CLAIM_WINDOW)
    assert results.get(b"1").state is ResultState.DONE
    clock.advance(timedelta(minutes=3))
    assert results.get(b"1") is None
    assert results.stored_bytes == 0


def test_claims_are_bounded_and_end_after_the_window():
    """Guards against unbounded claims and keys that are never released."""
    table = ClaimTable(limit=2)
    claims = [Claim(bytes([n]), b"f", "d", n, float(n)) for n in range(3)]
    assert table.try_claim(0, claims[0]) is None
    assert table.try_claim(1, claims[1]) is None
    assert table.try_claim(0, claims[2]).retry_after is not None
    assert table.try_claim(0, claims[0]) == claims[0]
    assert table.release(0, claims[0].key_hash, "d", 99) is None
    table.expire(CLAIM_WINDOW.total_seconds() + 0.5)
    assert len(table) == 1


def test_merged_segments_hold_every_claim_of_the_window():
    """Guards against claims lost in a merge, and takeovers that read many keys."""
    table, index, stored = ClaimTable(), SegmentIndex(0, 1), {}
    max_stored, window = 0, CLAIM_WINDOW.total_seconds()
    for number in range(3000):
        now = number * 0.5
        claim = Claim(number.to_bytes(16), b"f" * 16, "d", number, now)
        assert table.try_claim(0, claim) is None
        write = index.plan_write(table, [claim], now, 0.0)
        for segment, value in write.put:
            assert segment.key not in stored
            stored[segment.key] = value
        for segment in write.delete:
            del stored[segment.key]
        index.apply_write(write)
        max_stored = max(max_stored, len(stored))
    found = set()
    for key, value in stored.items():
        _, claims = decode_segment(Entry(key, value, 1, 1), 0.0)
        found |= {c.attempt for c in claims}
    assert {c.attempt for c in table.claims(0) if c.granted_at > now - window} <= found
    assert max_stored <= 60
