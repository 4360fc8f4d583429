"""Job state transitions after a task has ended, is lost or was not started."""

from __future__ import annotations

from dataclasses import replace
from datetime import datetime, timedelta

from ..workers.tasks import OUT_OF_MEMORY, TaskReport, TaskState
from .estimates import memory_after_kill
from .job import Job, JobReason, JobState

FIRST_RETRY_DELAY = timedelta(seconds=1)
MAX_RETRY_DELAY = timedelta(seconds=60)
MAX_FAILED_WORKERS = 3
"""Failures on this many workers are attributed to the job."""


def after_report(job: Job, report: TaskReport, now: datetime) -> Job:
    """Return the job after the worker reported the end of its task."""
    job = replace(
        job,
        run_seconds=report.run_seconds,
        peak_cores=report.peak_cores,
        peak_memory_bytes=report.peak_memory_bytes,
        checkpoint=report.checkpoint or job.checkpoint,
        detail=report.detail[:500],
    )
    if report.state is TaskState.SUCCEEDED:
        return ended(job, JobState.SUCCEEDED, JobReason.NONE, now)
    if job.cancel_requested:
        return ended(job, JobState.CANCELLED, JobReason.CANCELLED, now)
    if report.state is TaskState.CHECKPOINTED:
        return requeued(job, JobReason.PREEMPTED)
    if report.state is TaskState.STOPPED and job.request.idempotent:
        return requeued(job, JobReason.PREEMPTED)
    if report.state is TaskState.FAILED:
        return _after_failure(job, report, now)
    return after_loss(job, JobReason.WORKER_UNREACHABLE, now)


def after_loss(job: Job, reason: JobReason, now: datetime) -> Job:
    """Return the job after the result of its task was lost.

    The task may have run, so only an idempotent job is retried.
    """
    if job.cancel_requested:
        return ended(job, JobState.CANCELLED, JobReason.CANCELLED, now)
    if not job.request.idempotent:
        return ended(job, JobState.FAILED, JobReason.UNKNOWN, now)
    job = replace(job, failures=job.failures + 1)
    if job.failures > job.request.retry_limit:
        return ended(job, JobState.FAILED, reason, now)
    return requeued(job, reason, now + retry_delay(job.failures))


def not_started(job: Job, now: datetime) -> Job:
    """Return the job after its task was definitely not started."""
    if job.cancel_requested:
        return ended(job, JobState.CANCELLED, JobReason.CANCELLED, now)
    return requeued(job, JobReason.WORKER_UNREACHABLE)


def _after_failure(job: Job, report: TaskReport, now: datetime) -> Job:
    reason = JobReason.TASK_FAILED
    failed_on = tuple(dict.fromkeys((*job.failed_on, job.worker)))
    if report.detail == OUT_OF_MEMORY:
        # Not attributed to the worker; the next attempt gets more memory.
        reason = JobReason.OUT_OF_MEMORY
        failed_on = job.failed_on
        job = replace(job, memory_floor=memory_after_kill(job))
    job = replace(job, failures=job.failures + 1, failed_on=failed_on)
    if len(failed_on) >= MAX_FAILED_WORKERS:
        reason = JobReason.FAILED_ON_SEVERAL_WORKERS
        return ended(job, JobState.FAILED, reason, now)
    if not job.request.idempotent or job.failures > job.request.retry_limit:
        return ended(job, JobState.FAILED, reason, now)
    return requeued(job, reason, now + retry_delay(job.failures))


def ended(job: Job, state: JobState, reason: JobReason, now: datetime) -> Job:
    """Return the job in a final state."""
    return replace(job, state=state, reason=reason, ended_at=now)


def requeued(job: Job, reason: JobReason, not_before: datetime | None = None) -> Job:
    """Return the job queued for another placement."""
    return replace(
        job,
        state=JobState.QUEUED,
        reason=reason,
        worker="",
        worker_boot="",
        task_id="",
        throttled=False,
        not_before=not_before,
    )


def retry_delay(failures: int) -> timedelta:
    """Return the exponential back-off before the next attempt.

    >>> retry_delay(1), retry_delay(3), retry_delay(50)
    (datetime.timedelta(seconds=1), datetime.timedelta(seconds=4), \
datetime.timedelta(seconds=60))
    """
    return min(FIRST_RETRY_DELAY * 2 ** min(failures - 1, 10), MAX_RETRY_DELAY)
