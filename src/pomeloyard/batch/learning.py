"""What runs teach about images and executors; pure.

Answers two load patterns: declared run times that are off by a factor of two, and
executors that fail, stall or slow down while their health looks good.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from datetime import timedelta

IMAGE_WEIGHT = 0.2
"""Weight of a new run time; an image's tasks differ by some ten percent."""
SLOWNESS_WEIGHT = 0.5
"""Weight of a new ratio; an executor's slow spell lasts some seconds."""
SLOW_FACTOR = 2.0
"""Above this many times the usual run time an executor is taken for slow."""
SLOW_MEMORY = timedelta(seconds=4)
"""A slow executor is tried again after this time without news."""
FAILURES_TO_SUSPECT = 3
"""Failures in a row, of at least two jobs, that set an executor aside."""
QUARANTINE = timedelta(seconds=5)


@dataclass
class _ExecutorRecord:
    slowness: float = 1.0
    slowness_at: timedelta = timedelta(0)
    failed_jobs: list[str] = field(default_factory=list)
    aside_until: timedelta = timedelta(0)


class Learning:
    """Run times by image, and speed and failures by executor."""

    def __init__(self) -> None:
        self._run_ms_by_image: dict[str, float] = {}
        self._estimate_ratio_by_image: dict[str, float] = {}
        self._by_executor: dict[str, _ExecutorRecord] = defaultdict(_ExecutorRecord)

    def expected_ms(self, image: str, estimate_ms: int) -> float:
        """Return the usual run time of an image, or the submitter's estimate."""
        return self._run_ms_by_image.get(image, float(estimate_ms or 1000))

    def task_done(
        self,
        image: str,
        executor: str,
        run_ms: float,
        now: timedelta,
        *,
        resumed: bool,
        usual_ms: float,
    ) -> None:
        """Learn from a task that was done after ``run_ms``.

        ``usual_ms`` is what was expected of it; a resumed run tells nothing of the
        image, as only a part of the work was left.
        """
        record = self._by_executor[executor]
        record.failed_jobs.clear()
        record.aside_until = timedelta(0)
        if resumed:
            return
        self._note_speed(record, run_ms / max(usual_ms, 1.0), now)
        if record.slowness < SLOW_FACTOR:
            before = self._run_ms_by_image.get(image, run_ms)
            self._run_ms_by_image[image] = before + IMAGE_WEIGHT * (run_ms - before)

    def run_seen(self, executor: str, ratio: float, now: timedelta) -> None:
        """Learn from a running task that projects to ``ratio`` of the usual time."""
        self._note_speed(self._by_executor[executor], ratio, now)

    def _note_speed(
        self, record: _ExecutorRecord, ratio: float, now: timedelta
    ) -> None:
        record.slowness += SLOWNESS_WEIGHT * (ratio - record.slowness)
        record.slowness_at = now

    def task_failed(self, executor: str, job_id: str, now: timedelta) -> bool:
        """Note a failure; return whether the executor is now set aside.

        One job that fails everywhere does not condemn an executor.
        """
        record = self._by_executor[executor]
        record.failed_jobs.append(job_id)
        jobs = record.failed_jobs[-2 * FAILURES_TO_SUSPECT :]
        if len(jobs) >= FAILURES_TO_SUSPECT and len(set(jobs)) >= 2:
            record.aside_until = now + QUARANTINE
            return True
        return False

    def set_aside(self, executor: str, until: timedelta) -> None:
        """Give an executor no new work until a time."""
        self._by_executor[executor].aside_until = until

    def is_aside(self, executor: str, now: timedelta) -> bool:
        """Tell whether an executor gets no new work now."""
        record = self._by_executor.get(executor)
        return record is not None and now < record.aside_until

    def slowness(self, executor: str, now: timedelta) -> float:
        """Return how many times the usual run time tasks take on an executor."""
        record = self._by_executor.get(executor)
        if record is None or now - record.slowness_at > SLOW_MEMORY:
            return 1.0
        return record.slowness
