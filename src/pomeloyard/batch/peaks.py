"""Forecasts of each pool's next demand peak (no I/O).

Demand peaks periodically, in one pool after another. In the first cycle only the rate
of recent arrivals shows a peak; from the second cycle on its start is predicted, so
that a pool gets its VMs beforehand.
"""

from __future__ import annotations

import math
from collections import defaultdict
from dataclasses import dataclass
from datetime import timedelta

ONSET_WINDOW = timedelta(seconds=2)
"""Long enough to detect peaks of queues with one or two jobs a second."""
ONSET_ARRIVALS = 4
"""Minimum number of jobs within the window, for pools with a very low mean rate."""
ONSET_FACTOR = 2.2
"""Ratio of the rate within the window to the mean rate at which a peak starts."""
PEAK_END_FACTOR = 0.8
"""Ratio of the rate within the window to the mean rate below which a peak ends."""
SHORTEST_PERIOD = timedelta(seconds=6)
LONGEST_PERIOD = timedelta(seconds=90)
RATE_WINDOWS = (timedelta(seconds=0.5), timedelta(seconds=1))
"""Shorter than a move of a VM; the shorter window detects the start of a peak sooner,
the longer one estimates the rate of queues with few jobs."""
CRITICAL_PATH_WEIGHT = 0.1
"""Weight of a new job in the mean critical path; jobs of a queue vary by half."""
ARRIVAL_RETENTION = timedelta(seconds=240)
MIN_ARRIVALS = 5
PEAK_SHARE = 0.8
"""Share of the arrivals that the peak must contain."""


@dataclass(frozen=True, slots=True)
class Peak:
    """A current or predicted peak."""

    starts_in: timedelta
    """Negative once the peak has started."""
    ends_in: timedelta
    core_rate: float
    """Work that arrives during the peak, in core-seconds a second."""


@dataclass(frozen=True, slots=True)
class ArrivalRate:
    """Rate at which work arrived for a pool within the last second."""

    cores: float = 0.0
    """Arriving work, in core-seconds a second."""
    critical_path: timedelta = timedelta(0)
    """Mean critical path of the jobs."""

    def cores_after(self, lead: timedelta, busy_cores: float) -> float:
        """Return the cores needed after ``lead`` if jobs keep arriving at this rate.

        In the steady state the jobs need as many cores as core-seconds arrive each
        second. It is reached after the duration of one job; until then only a
        proportional part is needed in addition to the busy cores.
        """
        share = min(1.0, lead / self.critical_path) if self.critical_path else 1.0
        return min(self.cores, busy_cores + self.cores * share)


NO_ARRIVALS = ArrivalRate()


class _PoolArrivals:
    def __init__(self) -> None:
        self.arrivals: list[tuple[timedelta, float]] = []
        self.onsets: list[timedelta] = []
        self.in_peak = False
        self.critical_path = timedelta(0)
        """Mean critical path of the jobs."""

    def since(self, earliest: timedelta) -> list[float]:
        """Return the work of each job after a time; jobs are nearly sorted by time."""
        works: list[float] = []
        for at, work in reversed(self.arrivals):
            if at <= earliest:
                break
            works.append(work)
        return works


class PeakForecaster:
    """Estimates the period of the peaks and the phase of each pool's peak."""

    def __init__(self) -> None:
        self._pools: dict[str, _PoolArrivals] = defaultdict(_PoolArrivals)
        self._first_arrival_at: timedelta | None = None

    def record_arrival(
        self,
        pool: str,
        now: timedelta,
        core_seconds: float,
        critical_path: timedelta = timedelta(0),
    ) -> None:
        """Record the arrival of a job with its work and its critical path."""
        if self._first_arrival_at is None:
            self._first_arrival_at = now
        state = self._pools[pool]
        state.arrivals.append((now, core_seconds))
        first = len(state.arrivals) == 1
        state.critical_path += (1.0 if first else CRITICAL_PATH_WEIGHT) * (
            critical_path - state.critical_path
        )
        while state.arrivals[0][0] < now - ARRIVAL_RETENTION:
            state.arrivals.pop(0)
        self._note_onset(state, now)

    def _note_onset(self, state: _PoolArrivals, now: timedelta) -> None:
        assert self._first_arrival_at is not None
        recent = len(state.since(now - ONSET_WINDOW))
        elapsed = now - self._first_arrival_at
        elapsed = max(elapsed, 3 * ONSET_WINDOW)
        mean = len(state.arrivals) * (ONSET_WINDOW / elapsed)
        if recent >= ONSET_ARRIVALS and recent >= ONSET_FACTOR * mean:
            if not state.in_peak:
                state.in_peak = True
                state.onsets.append(now - ONSET_WINDOW / 2)
        elif recent < PEAK_END_FACTOR * mean:
            state.in_peak = False

    def arrival_rate(self, pool: str, now: timedelta) -> ArrivalRate | None:
        """Return the arrival rate of a pool; None if no job has arrived yet."""
        state = self._pools.get(pool)
        if state is None:
            return None
        cores = max(_rate(state.since(now - window), window) for window in RATE_WINDOWS)
        return ArrivalRate(cores, state.critical_path)

    def period(self) -> timedelta | None:
        """Return the shortest time between two peaks of a pool, or None if unknown."""
        intervals = [
            later - earlier
            for state in self._pools.values()
            for earlier, later in zip(state.onsets, state.onsets[1:], strict=False)
            if SHORTEST_PERIOD <= later - earlier <= LONGEST_PERIOD
        ]
        return min(intervals) if intervals else None

    def next_peak(self, pool: str, now: timedelta) -> Peak | None:
        """Return the current or next peak of a pool; None if not predictable."""
        period = self.period()
        state = self._pools.get(pool)
        if period is None or state is None or len(state.arrivals) < MIN_ARRIVALS:
            return None
        period_s = period / timedelta(seconds=1)
        phases = sorted(
            ((at / timedelta(seconds=1)) % period_s, work)
            for at, work in state.arrivals
        )
        start, length = _shortest_dense_interval(phases, period_s)
        if length > 0.6 * period_s:
            return None
        inside = sum(w for p, w in phases if (p - start) % period_s <= length)
        first = state.arrivals[0][0]
        cycles = max(1.0, (now - first) / period)
        rate = inside / (cycles * max(length, 0.5))
        position = ((now / timedelta(seconds=1)) - start) % period_s
        starts_in = -position if position <= length else period_s - position
        return Peak(
            timedelta(seconds=starts_in),
            timedelta(seconds=starts_in + length),
            rate,
        )


def _rate(works: list[float], window: timedelta) -> float:
    """Return the rate of the work that arrived in a window.

    One job is subtracted: a window evaluated on an arrival contains one job more than
    an average window, and a single job is not enough to estimate a rate.
    """
    if not works:
        return 0.0
    return (1 - 1 / len(works)) * sum(works) / window.total_seconds()


def _shortest_dense_interval(
    phases: list[tuple[float, float]], period_s: float
) -> tuple[float, float]:
    """Return start and length of the shortest interval with PEAK_SHARE of arrivals."""
    count = len(phases)
    inside = math.ceil(count * PEAK_SHARE)
    best = (0.0, period_s)
    for index in range(count):
        start = phases[index][0]
        end = phases[(index + inside - 1) % count][0]
        length = (end - start) % period_s
        if length < best[1]:
            best = (start, length)
    return best
