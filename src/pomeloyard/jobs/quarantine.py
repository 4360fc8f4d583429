"""Workers whose tasks fail out of line with the same jobs elsewhere."""

from __future__ import annotations

import math
from collections import Counter, deque
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum

RECENT_TASKS = 20
"""Ended tasks of a worker that are judged."""
MIN_BLAME = 2.0
MIN_BLAME_SHARE = 0.5
"""Part of the successes expected of a worker, as the same kinds of jobs have
elsewhere, that must have failed."""
MIN_DISTINCT_JOBS = 2
FIRST_REST = timedelta(seconds=60)
MAX_REST = timedelta(hours=1)
MAX_SET_ASIDE_SHARE = 0.1
FORGET_KINDS = 5_000

Kind = tuple[str, str]


class WorkerHealth(Enum):
    """Whether a worker may be given tasks."""

    GOOD = "good"
    SET_ASIDE = "set-aside"
    ON_TRIAL = "on-trial"


class QuarantineReason(Enum):
    """Why a worker's health changed."""

    TASKS_FAIL_HERE_ONLY = "tasks-fail-here-only"
    TRIAL_FAILED = "trial-failed"
    TRIAL_SUCCEEDED = "trial-succeeded"
    REST_ENDED = "rest-ended"
    FAILURES_TAKEN_BACK = "failures-taken-back"


@dataclass(frozen=True, slots=True)
class HealthChange:
    """A change of a worker's health, with its reason."""

    worker: str
    health: WorkerHealth
    reason: QuarantineReason


@dataclass
class _Record:
    """What is remembered of one worker; a task is (job id, kind, failed)."""

    tasks: deque[tuple[str, Kind, bool]] = field(
        default_factory=lambda: deque(maxlen=RECENT_TASKS)
    )
    health: WorkerHealth = WorkerHealth.GOOD
    times: int = 0
    until: timedelta = timedelta(0)


class Quarantine:
    """Judges workers by their tasks' results; time is passed in."""

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}
        self._succeeded: dict[Kind, Counter[str]] = {}
        self._failed: dict[Kind, Counter[str]] = {}

    def health(self, worker: str) -> WorkerHealth:
        """Return whether a worker may be given tasks."""
        record = self._records.get(worker)
        return WorkerHealth.GOOD if record is None else record.health

    def task_ended(
        self,
        now: timedelta,
        worker: str,
        job_id: str,
        kind: Kind,
        *,
        failed: bool,
        fleet_size: int,
    ) -> HealthChange | None:
        """Take over the result of a task."""
        record = self._records.setdefault(worker, _Record())
        record.tasks.append((job_id, kind, failed))
        table = self._failed if failed else self._succeeded
        if kind not in table and len(table) >= FORGET_KINDS:
            table.pop(next(iter(table)))
        table.setdefault(kind, Counter())[worker] += 1
        if record.health is WorkerHealth.ON_TRIAL:
            if failed and self._success_elsewhere(kind, worker) < 0.5:
                return None  # This kind of job fails everywhere; no verdict.
            return self._end_trial(now, worker, record, failed, fleet_size)
        if record.health is WorkerHealth.GOOD and failed and self._to_blame(worker):
            reason = QuarantineReason.TASKS_FAIL_HERE_ONLY
            return self._set_aside(now, worker, record, reason, fleet_size)
        return None

    def blame_job(self, job_id: str, kind: Kind) -> list[HealthChange]:
        """Take back the failures of a job that failed on several workers."""
        changes: list[HealthChange] = []
        for worker, record in self._records.items():
            mine = [task for task in record.tasks if task[0] == job_id and task[2]]
            if not mine:
                continue
            for task in mine:
                record.tasks.remove(task)
            if record.health is WorkerHealth.SET_ASIDE and not self._to_blame(worker):
                record.health = WorkerHealth.GOOD
                record.times = max(0, record.times - 1)
                reason = QuarantineReason.FAILURES_TAKEN_BACK
                changes.append(HealthChange(worker, record.health, reason))
        return changes

    def due_trials(self, now: timedelta) -> list[HealthChange]:
        """Put workers on trial whose rest has ended."""
        changes: list[HealthChange] = []
        for worker, record in self._records.items():
            if record.health is WorkerHealth.SET_ASIDE and now >= record.until:
                record.health = WorkerHealth.ON_TRIAL
                reason = QuarantineReason.REST_ENDED
                changes.append(HealthChange(worker, record.health, reason))
        return changes

    def forget(self, worker: str) -> None:
        """Forget a worker that is gone or was replaced."""
        self._records.pop(worker, None)

    def _to_blame(self, worker: str) -> bool:
        tasks = self._records[worker].tasks
        failures = [(job_id, kind) for job_id, kind, failed in tasks if failed]
        if len({job_id for job_id, _ in failures}) < MIN_DISTINCT_JOBS:
            return False
        blame = sum(self._success_elsewhere(kind, worker) for _, kind in failures)
        expected = sum(self._success_elsewhere(kind, worker) for _, kind, _ in tasks)
        return blame >= MIN_BLAME and blame >= MIN_BLAME_SHARE * expected

    def _success_elsewhere(self, kind: Kind, worker: str) -> float:
        """Return the rate at which the same kind of job succeeds elsewhere.

        Without experience elsewhere it is 0.5: neither is to blame yet.
        """
        succeeded = self._succeeded.get(kind, Counter())
        failed = self._failed.get(kind, Counter())
        good = succeeded.total() - succeeded[worker]
        bad = failed.total() - failed[worker]
        return (good + 0.5) / (good + bad + 1.0)

    def _end_trial(
        self,
        now: timedelta,
        worker: str,
        record: _Record,
        failed: bool,
        fleet_size: int,
    ) -> HealthChange | None:
        if failed:
            reason = QuarantineReason.TRIAL_FAILED
            return self._set_aside(now, worker, record, reason, fleet_size)
        record.health = WorkerHealth.GOOD
        record.tasks.clear()
        reason = QuarantineReason.TRIAL_SUCCEEDED
        return HealthChange(worker, record.health, reason)

    def _set_aside(
        self,
        now: timedelta,
        worker: str,
        record: _Record,
        reason: QuarantineReason,
        fleet_size: int,
    ) -> HealthChange | None:
        resting = sum(
            r.health is not WorkerHealth.GOOD
            for name, r in self._records.items()
            if name != worker
        )
        # When much of the fleet seems bad, the cause is rather something else.
        if resting >= max(1, math.floor(fleet_size * MAX_SET_ASIDE_SHARE)):
            return None
        record.until = now + min(FIRST_REST * 2 ** min(record.times, 10), MAX_REST)
        record.times += 1
        record.health = WorkerHealth.SET_ASIDE
        return HealthChange(worker, record.health, reason)
