"""Observations that daemons make of executors and workers."""

from __future__ import annotations

from collections import Counter
from types import SimpleNamespace

import pytest

from pomeloyard.clock import ManualClock
from pomeloyard.fleet.health_sources import WorkerObserver, note_executor
from pomeloyard.fleet.repair import ObservationKind
from pomeloyard.jobs.quarantine import WorkerHealth


@pytest.mark.parametrize(
    ("failed", "silent", "kind"),
    [
        (False, False, ObservationKind.REQUEST_DONE),
        (True, False, ObservationKind.REQUEST_FAILED),
        (True, True, ObservationKind.UNRESPONSIVE),
    ],
)
def test_outcome_of_a_request_is_noted(failed, silent, kind):
    """Guards against a silent executor that counts as merely failing."""
    noted = Counter()
    note_executor(
        lambda vm, k: noted.update([(vm, k)]), "e1", failed=failed, silent=silent
    )
    assert noted == {("e1", kind): 1}


@pytest.mark.parametrize(
    ("reachable", "failures", "health", "kinds"),
    [
        (True, 0, None, [ObservationKind.RESPONSIVE]),
        (False, 0, None, []),
        (False, 4, None, [ObservationKind.UNRESPONSIVE]),
        (
            True,
            0,
            WorkerHealth.SET_ASIDE,
            [ObservationKind.RESPONSIVE, ObservationKind.TASK_FAILED],
        ),
    ],
)
def test_state_of_a_worker_is_noted(reachable, failures, health, kinds):
    """Guards against a worker that is repaired for a bad job or never repaired."""
    link = SimpleNamespace(reachable=reachable, failures=failures)
    quarantine = SimpleNamespace(health=lambda name: health)
    term = SimpleNamespace(
        links=SimpleNamespace(by_name={"w1": link}),
        follower=SimpleNamespace(quarantine=quarantine),
    )
    scheduler = SimpleNamespace(term=term)
    noted = []
    observer = WorkerObserver(
        ManualClock(), scheduler, lambda vm, kind: noted.append((vm, kind))
    )
    observer.observe()
    assert noted == [("w1", kind) for kind in kinds]
    scheduler.term = None
    observer.observe()
    assert len(noted) == len(kinds)
