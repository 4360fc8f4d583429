"""Tests for admission by deficits, limits and queues."""

from __future__ import annotations

from collections import Counter
from datetime import timedelta

import anyio
import pytest

from measurements.support.virtual_time import LoopClock, run_virtual
from pomeloyard.allocation.admission import AdmissionController
from pomeloyard.outcomes import Done, RefusalReason, Refused

SLOTS = 4
FAR_DEADLINE = timedelta(seconds=1000)


def controller(units=100, slots=SLOTS):
    return AdmissionController(
        LoopClock(),
        lambda vm: slots,
        lambda team: units,
        lambda service: ["e1"],
        {"large": 3.0, "small": 1.0}.__getitem__,
    )


async def acquire(admission, team, deadline=FAR_DEADLINE, **more):
    return await admission.acquire(
        "cut", team, deadline=deadline, queue_length=10_000, **more
    )


def test_teams_receive_slots_by_their_shares_when_full():
    """Guards against a team that gets a larger share by sending more requests."""

    async def check():
        admission = controller()
        served = Counter()

        async def request(team):
            outcome = await acquire(admission, team)
            assert isinstance(outcome, Done)
            await anyio.sleep(0.1)
            served[team] += 1
            admission.release(outcome.value)

        async with anyio.create_task_group() as tasks:
            for _ in range(900):
                tasks.start_soon(request, "small")
            for _ in range(300):
                tasks.start_soon(request, "large")
            await anyio.sleep(10.01)
            tasks.cancel_scope.cancel()
        assert served["large"] == pytest.approx(300, abs=6)
        assert served["small"] == pytest.approx(100, abs=6)

    run_virtual(check)


@pytest.mark.parametrize(
    ("case", "reason", "seconds"),
    [
        ("limit", RefusalReason.LIMIT_REACHED, 2),
        ("slots", RefusalReason.DEADLINE_PASSED, 2),
        ("closing", RefusalReason.SHUTTING_DOWN, 1),
    ],
)
def test_waiting_request_is_refused_with_its_reason(case, reason, seconds):
    """Guards against refusals that come late or give the wrong reason."""

    async def check():
        admission = controller(units=1 if case == "limit" else 100, slots=1)
        first = await acquire(admission, "large")
        assert isinstance(first, Done)
        async with anyio.create_task_group() as tasks:
            if case == "closing":

                async def close():
                    await anyio.sleep(1)
                    admission.close()

                tasks.start_soon(close)
            refused = await acquire(admission, "large", timedelta(seconds=2))
        assert isinstance(refused, Refused)
        assert refused.reason is reason
        assert refused.retry_after >= timedelta(seconds=1)
        assert anyio.current_time() == seconds
        admission.release(first.value)
        assert admission.running_count() == 0

    run_virtual(check)


def test_held_permit_occupies_slot_and_unit_until_its_time():
    """Guards against reusing a slot on which a request may still be running."""

    async def check():
        admission = controller(slots=1)
        first = await acquire(admission, "large")
        admission.hold_permit_until(first.value, timedelta(seconds=5))
        refused = await acquire(admission, "small", timedelta(seconds=4))
        assert isinstance(refused, Refused)
        await anyio.sleep_until(5)
        admission.release_expired_holds()
        assert isinstance(await acquire(admission, "small"), Done)

    run_virtual(check)


def test_cancelled_request_leaves_nothing_behind():
    """Guards against leaking a permit or a queue entry when a caller disconnects."""

    async def check():
        admission = controller(slots=1)
        first = await acquire(admission, "large")
        with anyio.move_on_after(1):
            await acquire(admission, "small")
        assert admission.queued_count("cut") == 0
        admission.release(first.value)
        assert admission.running_count() == 0
        again = await acquire(admission, "large", exclude=frozenset({"e2"}))
        assert isinstance(again, Done)
        excluded = await acquire(
            admission, "large", timedelta(seconds=3), exclude=frozenset({"e1"})
        )
        assert isinstance(excluded, Refused)

    run_virtual(check)


def test_urgent_requests_go_before_others_of_their_team():
    """Guards against urgent requests queued behind normal ones of their team."""

    async def check():
        admission = controller(slots=1)
        first = await acquire(admission, "large")
        order = []

        async def request(name, urgent):
            outcome = await acquire(admission, "large", urgent=urgent)
            order.append(name)
            admission.release(outcome.value)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(request, "normal", False)
            await anyio.sleep(0.1)
            tasks.start_soon(request, "urgent", True)
            await anyio.sleep(0.1)
            admission.release(first.value)
        assert order == ["urgent", "normal"]

    run_virtual(check)
