"""Which runs stand still or are slow; pure.

Answers executors that go on listing their runs while these do not move, or move at a
fraction of the usual speed, with a good health all the while.
"""

from __future__ import annotations

from datetime import timedelta

STILL_TIME = timedelta(seconds=1.2)
"""A run that has not moved for this long keeps new ones off its executor. Runs are
seen every 1.5 s at least, and a slow one still moves by some percent in that time."""
STALLED_TIME = timedelta(seconds=2.7)
"""A run that has not moved for this long is stopped and placed elsewhere."""
STILL_SHARE = 0.05
"""Share of the usual run time within which a long run may show no progress."""
AVOID_TIME = timedelta(seconds=2)
"""How long an executor with a run that stands still gets no new ones."""
MIN_PERCENT = 10
"""Progress from which the time that a run will take can be told."""


def still_for(
    moved_at: timedelta | None, expected_ms: float, now: timedelta
) -> timedelta:
    """Return for how long a run has stood still, beyond what is usual for it."""
    if moved_at is None:
        return timedelta(0)
    allowed = timedelta(milliseconds=STILL_SHARE * expected_ms)
    return max(timedelta(0), now - moved_at - allowed)


def slowness(percent: int, running_for: timedelta, expected_ms: float) -> float | None:
    """Return how many times the usual time a run will take, once it can be told."""
    if percent < MIN_PERCENT or percent >= 100:
        return None
    projected_ms = running_for / timedelta(milliseconds=1) * 100 / percent
    return projected_ms / max(expected_ms, 1.0)
