"""How much a filling task may disturb the serving tasks beside it; pure.

Answers serving tasks whose tails rise within seconds because of what fills beside
them: the filling task backs off by halves at the first look over the target and
comes back in small steps.
"""

from __future__ import annotations

from collections.abc import Iterable
from datetime import timedelta

from ..clock import Clock
from .link import Phase, PlacedRun

BACK_OFF_RATIO = 0.92
"""Share of the target tail from which filling tasks slow down."""
STOP_RATIO = 1.4
"""Share of the target tail from which filling tasks pause."""
RAISE_RATIO = 0.75
"""Share of the target tail below which filling tasks speed up."""
RAISE_STEP = 20
LOWEST_PACE = 10
"""Below this share, in percent, a task is paused."""
CHANGE_INTERVAL = timedelta(seconds=0.6)
"""A change shows in the tail over the last half second, after the order's delay."""


def next_pace(
    filling: PlacedRun, runs: Iterable[PlacedRun], clock: Clock
) -> int | None:
    """Return the share, in percent, at which a filling run should work.

    None: as it does now.
    """
    worst = 0.0
    for run in runs:
        spec = run.task.step.spec
        if spec.target_tail_ms and not spec.fills and run.phase is Phase.RUNNING:
            worst = max(worst, run.gauge / spec.target_tail_ms)
    now = clock.monotonic()
    if now - filling.pace_sent_at < CHANGE_INTERVAL:
        return None
    pace = 100 if filling.pace < 0 else filling.pace
    if worst >= STOP_RATIO:
        wanted = 0
    elif worst >= BACK_OFF_RATIO:
        wanted = pace // 2 if pace // 2 >= LOWEST_PACE else 0
    elif worst <= RAISE_RATIO:
        wanted = min(100, pace + RAISE_STEP)
    else:
        wanted = pace
    return wanted if wanted != filling.pace else None
