"""When each pool's next peak comes; pure.

Answers demand whose peaks come by turns and again. In the first cycle a pool rests
after its own peak; from the second on it gets its VMs before its peak.
"""

from __future__ import annotations

import math
from collections import defaultdict
from dataclasses import dataclass
from datetime import timedelta

ONSET_WINDOW = timedelta(seconds=2)
"""Long enough for queues of a job or two a second at their peak."""
ONSET_ARRIVALS = 4
"""Fewer jobs within the window are no peak, however quiet it was before."""
ONSET_FACTOR = 2.2
"""How many times the mean rate a window must have to be the start of a peak."""
QUIET_FACTOR = 0.8
"""Below this share of the mean rate a peak is over."""
SHORTEST_PERIOD = timedelta(seconds=6)
LONGEST_PERIOD = timedelta(seconds=90)
REST_FACTOR = 2.5
"""A pool rests for this many times the length of its peak; with three pools or more
that take turns, its next one comes later."""
SHORTEST_REST = timedelta(seconds=6)
PEAK_OVER = timedelta(seconds=2)
"""Without dense arrivals for this long a peak is over."""
RATE_WINDOW = timedelta(seconds=1)
"""Shorter than a VM's move, long enough for the dozens of jobs of a large peak."""
MEMORY = timedelta(seconds=240)
MIN_ARRIVALS = 5
PEAK_SHARE = 0.8
"""Share of the arrivals that lies within the peak."""


@dataclass(frozen=True, slots=True)
class Peak:
    """A peak that is expected or at work."""

    starts_in: timedelta
    """Negative while it is at work."""
    ends_in: timedelta
    core_rate: float
    """Work that arrives during it, in core-seconds a second."""


class _PoolArrivals:
    def __init__(self) -> None:
        self.arrivals: list[tuple[timedelta, float]] = []
        self.onsets: list[timedelta] = []
        self.in_peak = False
        self.dense_at: timedelta | None = None
        """Last arrival within a peak."""

    def since(self, earliest: timedelta) -> list[float]:
        """Return the work of each job after a time; jobs come nearly in order."""
        works: list[float] = []
        for at, work in reversed(self.arrivals):
            if at <= earliest:
                break
            works.append(work)
        return works


class Turns:
    """Learns the period of the peaks and where in it each pool's peak lies."""

    def __init__(self) -> None:
        self._pools: dict[str, _PoolArrivals] = defaultdict(_PoolArrivals)
        self._began_at: timedelta | None = None

    def arrived(self, pool: str, now: timedelta, core_seconds: float) -> None:
        """Note a job for a pool."""
        if self._began_at is None:
            self._began_at = now
        state = self._pools[pool]
        state.arrivals.append((now, core_seconds))
        while state.arrivals[0][0] < now - MEMORY:
            state.arrivals.pop(0)
        self._note_onset(state, now)

    def _note_onset(self, state: _PoolArrivals, now: timedelta) -> None:
        assert self._began_at is not None
        recent = len(state.since(now - ONSET_WINDOW))
        passed = now - self._began_at
        passed = max(passed, 3 * ONSET_WINDOW)
        mean = len(state.arrivals) * (ONSET_WINDOW / passed)
        if state.in_peak and recent >= ONSET_ARRIVALS:
            state.dense_at = now
        if recent >= ONSET_ARRIVALS and recent >= ONSET_FACTOR * mean:
            state.dense_at = now
            if not state.in_peak:
                state.in_peak = True
                state.onsets.append(now - ONSET_WINDOW / 2)
        elif recent < QUIET_FACTOR * mean:
            state.in_peak = False

    def core_rate(self, pool: str, now: timedelta) -> float:
        """Return the rate at which work surely arrives, in core-seconds a second.

        One standard deviation below what the window shows, so that few jobs tell
        little.
        """
        state = self._pools.get(pool)
        if state is None:
            return 0.0
        works = state.since(now - RATE_WINDOW)
        if not works:
            return 0.0
        certain = 1 - 1 / math.sqrt(len(works))
        return certain * sum(works) / RATE_WINDOW.total_seconds()

    def rests(self, pool: str, now: timedelta) -> bool:
        """Tell whether a pool's peak is over and its next one cannot come yet."""
        state = self._pools.get(pool)
        if state is None or state.dense_at is None or not state.onsets:
            return False
        quiet = now - state.dense_at
        length = state.dense_at - state.onsets[-1]
        return PEAK_OVER <= quiet <= max(REST_FACTOR * length, SHORTEST_REST)

    def period(self) -> timedelta | None:
        """Return the time from a peak to the next of the same pool, if known."""
        found = [
            later - earlier
            for state in self._pools.values()
            for earlier, later in zip(state.onsets, state.onsets[1:], strict=False)
            if SHORTEST_PERIOD <= later - earlier <= LONGEST_PERIOD
        ]
        return min(found) if found else None

    def peak(self, pool: str, now: timedelta) -> Peak | None:
        """Return a pool's present or next peak; None while none can be told."""
        period = self.period()
        state = self._pools.get(pool)
        if period is None or state is None or len(state.arrivals) < MIN_ARRIVALS:
            return None
        span = period / timedelta(seconds=1)
        phases = sorted(
            ((at / timedelta(seconds=1)) % span, work) for at, work in state.arrivals
        )
        start, length = _densest(phases, span)
        if length > 0.6 * span:
            return None
        inside = sum(w for p, w in phases if (p - start) % span <= length)
        first = state.arrivals[0][0]
        cycles = max(1.0, (now - first) / period)
        rate = inside / (cycles * max(length, 0.5))
        position = ((now / timedelta(seconds=1)) - start) % span
        starts_in = -position if position <= length else span - position
        return Peak(
            timedelta(seconds=starts_in),
            timedelta(seconds=starts_in + length),
            rate,
        )


def _densest(phases: list[tuple[float, float]], span: float) -> tuple[float, float]:
    """Return start and length of the shortest arc with most of the arrivals."""
    count = len(phases)
    inside = math.ceil(count * PEAK_SHARE)
    best = (0.0, span)
    for index in range(count):
        start = phases[index][0]
        end = phases[(index + inside - 1) % count][0]
        length = (end - start) % span
        if length < best[1]:
            best = (start, length)
    return best
