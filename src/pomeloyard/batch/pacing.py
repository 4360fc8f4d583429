"""Throttling of best-effort tasks (no I/O).

The tail latency of serving tasks can rise within seconds because of a best-effort task
on the same executor. Its pace is halved on the first measurement that exceeds the
threshold and raised again in small steps.
"""

from __future__ import annotations

from collections.abc import Iterable
from datetime import timedelta

from ..clock import Clock
from .placed_run import Phase, PlacedRun

BACK_OFF_RATIO = 0.92
"""Ratio of tail latency to its target from which best-effort tasks slow down."""
STOP_RATIO = 1.4
"""Ratio of tail latency to its target from which best-effort tasks pause."""
RAISE_RATIO = 0.75
"""Ratio of tail latency to its target up to which best-effort tasks speed up."""
RAISE_STEP_PERCENT = 20
MIN_PACE_PERCENT = 10
"""Pace in percent below which a task is paused instead."""
CHANGE_INTERVAL = timedelta(seconds=0.6)
"""The tail is measured over half a second, and the order takes some time to arrive."""


def next_pace(
    best_effort: PlacedRun, runs: Iterable[PlacedRun], clock: Clock
) -> int | None:
    """Return the new pace of a best-effort run in percent, or None to keep it."""
    worst_ratio = 0.0
    for run in runs:
        spec = run.task.step.spec
        if spec.target_tail_ms and not spec.fills and run.phase is Phase.RUNNING:
            worst_ratio = max(worst_ratio, run.gauge / spec.target_tail_ms)
    now = clock.monotonic()
    if now - best_effort.pace_sent_at < CHANGE_INTERVAL:
        return None
    pace = 100 if best_effort.pace < 0 else best_effort.pace
    if worst_ratio >= STOP_RATIO:
        new_pace = 0
    elif worst_ratio >= BACK_OFF_RATIO:
        new_pace = pace // 2 if pace // 2 >= MIN_PACE_PERCENT else 0
    elif worst_ratio <= RAISE_RATIO:
        new_pace = min(100, pace + RAISE_STEP_PERCENT)
    else:
        new_pace = pace
    return new_pace if new_pace != best_effort.pace else None
