"""Quarantine of workers on which jobs fail that succeed on other workers."""

from __future__ import annotations

import math
from collections import Counter, deque
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum

MAX_RECENT_TASKS = 20
"""Latest ended tasks of a worker that are evaluated."""
MIN_EXCESS_FAILURES = 2.0
"""Minimum sum, over a worker's failed tasks, of the success rates elsewhere."""
MIN_EXCESS_FRACTION = 0.5
"""Fraction that must have failed of the successes expected from the rates of the
same kinds of jobs on other workers."""
MIN_DISTINCT_JOBS = 2
FIRST_QUARANTINE = timedelta(seconds=60)
MAX_QUARANTINE = timedelta(hours=1)
MAX_QUARANTINED_FRACTION = 0.1
MAX_KINDS = 5_000

Kind = tuple[str, str]


class WorkerHealth(Enum):
    """Whether a worker may be given tasks."""

    GOOD = "good"
    QUARANTINED = "set-aside"
    ON_TRIAL = "on-trial"


class QuarantineReason(Enum):
    """Why a worker's health changed."""

    TASKS_FAIL_HERE_ONLY = "tasks-fail-here-only"
    TRIAL_FAILED = "trial-failed"
    TRIAL_SUCCEEDED = "trial-succeeded"
    QUARANTINE_ENDED = "rest-ended"
    FAILURES_RETRACTED = "failures-taken-back"


@dataclass(frozen=True, slots=True)
class HealthChange:
    """A change of a worker's health, with its reason."""

    worker: str
    health: WorkerHealth
    reason: QuarantineReason


@dataclass
class _WorkerRecord:
    """Health and recent tasks of one worker; a task is (job id, kind, failed)."""

    tasks: deque[tuple[str, Kind, bool]] = field(
        default_factory=lambda: deque(maxlen=MAX_RECENT_TASKS)
    )
    health: WorkerHealth = WorkerHealth.GOOD
    quarantine_count: int = 0
    trial_at: timedelta = timedelta(0)


class Quarantine:
    """Derives worker health from task results; callers pass in the time."""

    def __init__(self) -> None:
        self._records: dict[str, _WorkerRecord] = {}
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
        """Record the result of a task; return the health change, if any."""
        record = self._records.setdefault(worker, _WorkerRecord())
        record.tasks.append((job_id, kind, failed))
        table = self._failed if failed else self._succeeded
        if kind not in table and len(table) >= MAX_KINDS:
            table.pop(next(iter(table)))
        table.setdefault(kind, Counter())[worker] += 1
        if record.health is WorkerHealth.ON_TRIAL:
            if failed and self._success_elsewhere(kind, worker) < 0.5:
                return None  # This kind of job fails on other workers too.
            return self._end_trial(now, worker, record, failed, fleet_size)
        if record.health is WorkerHealth.GOOD and failed and self._is_suspect(worker):
            reason = QuarantineReason.TASKS_FAIL_HERE_ONLY
            return self._quarantine(now, worker, record, reason, fleet_size)
        return None

    def retract_failures(self, job_id: str, kind: Kind) -> list[HealthChange]:
        """Discard the recorded failures of a job that failed on several workers."""
        changes: list[HealthChange] = []
        for worker, record in self._records.items():
            failures_of_job = [
                task for task in record.tasks if task[0] == job_id and task[2]
            ]
            if not failures_of_job:
                continue
            for task in failures_of_job:
                record.tasks.remove(task)
            if record.health is WorkerHealth.QUARANTINED and not self._is_suspect(
                worker
            ):
                record.health = WorkerHealth.GOOD
                record.quarantine_count = max(0, record.quarantine_count - 1)
                reason = QuarantineReason.FAILURES_RETRACTED
                changes.append(HealthChange(worker, record.health, reason))
        return changes

    def start_due_trials(self, now: timedelta) -> list[HealthChange]:
        """Start the trials of workers whose quarantine time has passed."""
        changes: list[HealthChange] = []
        for worker, record in self._records.items():
            if record.health is WorkerHealth.QUARANTINED and now >= record.trial_at:
                record.health = WorkerHealth.ON_TRIAL
                reason = QuarantineReason.QUARANTINE_ENDED
                changes.append(HealthChange(worker, record.health, reason))
        return changes

    def forget(self, worker: str) -> None:
        """Drop the record of a worker that was removed or replaced."""
        self._records.pop(worker, None)

    def _is_suspect(self, worker: str) -> bool:
        tasks = self._records[worker].tasks
        failures = [(job_id, kind) for job_id, kind, failed in tasks if failed]
        if len({job_id for job_id, _ in failures}) < MIN_DISTINCT_JOBS:
            return False
        excess = sum(self._success_elsewhere(kind, worker) for _, kind in failures)
        expected = sum(self._success_elsewhere(kind, worker) for _, kind, _ in tasks)
        return (
            excess >= MIN_EXCESS_FAILURES and excess >= MIN_EXCESS_FRACTION * expected
        )

    def _success_elsewhere(self, kind: Kind, worker: str) -> float:
        """Return the success rate of the same kind of job on other workers.

        Without results from other workers it is 0.5, since the cause is unknown.
        """
        succeeded = self._succeeded.get(kind, Counter())
        failed = self._failed.get(kind, Counter())
        success_count = succeeded.total() - succeeded[worker]
        failure_count = failed.total() - failed[worker]
        return (success_count + 0.5) / (success_count + failure_count + 1.0)

    def _end_trial(
        self,
        now: timedelta,
        worker: str,
        record: _WorkerRecord,
        failed: bool,
        fleet_size: int,
    ) -> HealthChange | None:
        if failed:
            reason = QuarantineReason.TRIAL_FAILED
            return self._quarantine(now, worker, record, reason, fleet_size)
        record.health = WorkerHealth.GOOD
        record.tasks.clear()
        reason = QuarantineReason.TRIAL_SUCCEEDED
        return HealthChange(worker, record.health, reason)

    def _quarantine(
        self,
        now: timedelta,
        worker: str,
        record: _WorkerRecord,
        reason: QuarantineReason,
        fleet_size: int,
    ) -> HealthChange | None:
        quarantined = sum(
            r.health is not WorkerHealth.GOOD
            for name, r in self._records.items()
            if name != worker
        )
        # Failures on many workers at once point to a cause outside the workers.
        if quarantined >= max(1, math.floor(fleet_size * MAX_QUARANTINED_FRACTION)):
            return None
        record.trial_at = now + min(
            FIRST_QUARANTINE * 2 ** min(record.quarantine_count, 10), MAX_QUARANTINE
        )
        record.quarantine_count += 1
        record.health = WorkerHealth.QUARANTINED
        return HealthChange(worker, record.health, reason)
