"""When each pool's next peak comes; pure.

Answers demand whose peaks come by turns and again. In the first cycle the rate of the
last arrivals is all that tells of a peak; from the second on a pool gets its VMs before
its peak.
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
RATE_WINDOWS = (timedelta(seconds=0.5), timedelta(seconds=1))
"""Shorter than a move of a VM; the shorter one shows the start of a peak sooner, the
longer one tells the rate of queues with few jobs."""
CHAIN_WEIGHT = 0.1
"""Weight of a new job in its pool's mean chain; jobs of a queue differ by half."""
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


@dataclass(frozen=True, slots=True)
class ArrivalRate:
    """Jobs that come for a pool, by the last second."""

    cores: float = 0.0
    """Work that arrives, in core-seconds a second."""
    chain: timedelta = timedelta(0)
    """Mean of the longest chains of its jobs."""

    def cores_after(self, lead: timedelta, busy_cores: float) -> float:
        """Return the cores that the jobs need after a time, if they keep coming.

        They need as many cores as they have core-seconds a second once they have come
        for as long as they take; until then, only a part beside what is busy now.
        """
        part = min(1.0, lead / self.chain) if self.chain else 1.0
        return min(self.cores, busy_cores + self.cores * part)


NO_ARRIVALS = ArrivalRate()


class _PoolArrivals:
    def __init__(self) -> None:
        self.arrivals: list[tuple[timedelta, float]] = []
        self.onsets: list[timedelta] = []
        self.in_peak = False
        self.chain = timedelta(0)
        """Mean of the longest chains of the jobs."""

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

    def arrived(
        self,
        pool: str,
        now: timedelta,
        core_seconds: float,
        chain: timedelta = timedelta(0),
    ) -> None:
        """Note a job for a pool, with its work and its longest chain."""
        if self._began_at is None:
            self._began_at = now
        state = self._pools[pool]
        state.arrivals.append((now, core_seconds))
        first = len(state.arrivals) == 1
        state.chain += (1.0 if first else CHAIN_WEIGHT) * (chain - state.chain)
        while state.arrivals[0][0] < now - MEMORY:
            state.arrivals.pop(0)
        self._note_onset(state, now)

    def _note_onset(self, state: _PoolArrivals, now: timedelta) -> None:
        assert self._began_at is not None
        recent = len(state.since(now - ONSET_WINDOW))
        passed = now - self._began_at
        passed = max(passed, 3 * ONSET_WINDOW)
        mean = len(state.arrivals) * (ONSET_WINDOW / passed)
        if recent >= ONSET_ARRIVALS and recent >= ONSET_FACTOR * mean:
            if not state.in_peak:
                state.in_peak = True
                state.onsets.append(now - ONSET_WINDOW / 2)
        elif recent < QUIET_FACTOR * mean:
            state.in_peak = False

    def rate(self, pool: str, now: timedelta) -> ArrivalRate | None:
        """Return the rate of a pool's jobs; None if none has ever come."""
        state = self._pools.get(pool)
        if state is None:
            return None
        cores = max(_rate(state.since(now - window), window) for window in RATE_WINDOWS)
        return ArrivalRate(cores, state.chain)

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


def _rate(works: list[float], window: timedelta) -> float:
    """Return the rate of work that arrived in a window.

    One job is left out: a window that is looked at because a job came shows one more
    than is usual, and a single job tells no rate.
    """
    if not works:
        return 0.0
    return (1 - 1 / len(works)) * sum(works) / window.total_seconds()


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
