"""Health observations of executors and workers."""

from __future__ import annotations

from collections import Counter
from types import SimpleNamespace

import pytest

from pomeloyard.clock import ManualClock
from pomeloyard.fleet.health_sources import WorkerObserver, record_executor_outcome
from pomeloyard.fleet.repair_planning import ObservationKind
from pomeloyard.jobs.quarantine import WorkerHealth


@pytest.mark.parametrize(
    ("failed", "unresponsive", "kind"),
    [
        (False, False, ObservationKind.REQUEST_DONE),
        (True, False, ObservationKind.REQUEST_FAILED),
        (True, True, ObservationKind.UNRESPONSIVE),
    ],
)
def test_request_outcome_is_recorded(failed, unresponsive, kind):
    """Guards against counting an unresponsive executor as merely failing."""
    recorded = Counter()
    record_executor_outcome(
        lambda vm, k: recorded.update([(vm, k)]),
        "e1",
        failed=failed,
        unresponsive=unresponsive,
    )
    assert recorded == {("e1", kind): 1}


@pytest.mark.parametrize(
    ("reachable", "failures", "health", "kinds"),
    [
        (True, 0, None, [ObservationKind.RESPONSIVE]),
        (False, 0, None, []),
        (False, 4, None, [ObservationKind.UNRESPONSIVE]),
        (
            True,
            0,
            WorkerHealth.QUARANTINED,
            [ObservationKind.RESPONSIVE, ObservationKind.TASK_FAILED],
        ),
    ],
)
def test_worker_state_is_recorded(reachable, failures, health, kinds):
    """Guards against repairing a worker for a faulty job, or never repairing it."""
    worker_state = SimpleNamespace(reachable=reachable, failures=failures)
    quarantine = SimpleNamespace(health=lambda name: health)
    term = SimpleNamespace(
        links=SimpleNamespace(by_name={"w1": worker_state}),
        follower=SimpleNamespace(quarantine=quarantine),
    )
    scheduler = SimpleNamespace(term=term)
    recorded = []
    observer = WorkerObserver(
        ManualClock(), scheduler, lambda vm, kind: recorded.append((vm, kind))
    )
    observer.observe()
    assert recorded == [("w1", kind) for kind in kinds]
    scheduler.term = None
    observer.observe()
    assert len(recorded) == len(kinds)
