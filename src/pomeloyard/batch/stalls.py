"""Detection of stalled and slow runs, as pure functions.

An executor may report itself healthy and list its runs although they make no progress,
or progress at a fraction of the usual speed.
"""

from __future__ import annotations

from datetime import timedelta

STALL_SUSPECT_TIME = timedelta(seconds=1.2)
"""Time without progress after which the executor of a run gets no new tasks. Runs are
polled at least every 1.5 s, and even a slow one advances by some percent in that time.
"""
STALL_TIMEOUT = timedelta(seconds=2.7)
"""Time without progress after which a run is stopped and placed elsewhere."""
STALL_GRACE_SHARE = 0.05
"""Share of the usual run time for which a run may make no progress."""
STALL_AVOID_TIME = timedelta(seconds=2)
"""How long an executor with a stalled run gets no new tasks."""
MIN_PERCENT = 10
"""Minimum progress for estimating the total time of a run."""


def stalled_for(
    moved_at: timedelta | None, expected_ms: float, now: timedelta
) -> timedelta:
    """Return how long a run has made no progress, beyond what is usual for it."""
    if moved_at is None:
        return timedelta(0)
    grace = timedelta(milliseconds=STALL_GRACE_SHARE * expected_ms)
    return max(timedelta(0), now - moved_at - grace)


def slowness(percent: int, running_for: timedelta, expected_ms: float) -> float | None:
    """Return the ratio of projected to usual run time, or None if it is too early."""
    if percent < MIN_PERCENT or percent >= 100:
        return None
    projected_ms = running_for / timedelta(milliseconds=1) * 100 / percent
    return projected_ms / max(expected_ms, 1.0)
