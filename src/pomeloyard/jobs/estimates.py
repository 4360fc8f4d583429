"""Resource demands and run times learned from the usage of earlier tasks."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from .capacity import Demand
from .job import Job, JobRequest

MIN_SAMPLES = 3
"""Completed tasks of a kind before less than the declared size is reserved."""
MARGIN = 1.15
"""Headroom factor above the peak usage, since usage reports lag."""
MAX_FACTOR = 4.0
"""Largest ratio of the learned to the declared size."""
MEMORY_GROWTH = 1.5
"""Factor by which a job's memory grows after it ran out of memory."""
MAX_KINDS = 5_000
RECENT_WEIGHT = 0.2
"""Weight of the latest run time in the exponential moving average."""


@dataclass(slots=True)
class Usage:
    """Resource usage of the tasks of one kind."""

    samples: int = 0
    peak_cores: float = 0.0
    peak_memory_bytes: int = 0
    run_seconds: float = 0.0


def kind_of(team: str, request: JobRequest) -> tuple[str, str]:
    """Return the kind of a job: its team, and its label or command."""
    return team, request.label or request.command


class Estimates:
    """Usage by kind of job; the least recently updated kinds are evicted."""

    def __init__(self) -> None:
        self._usage_by_kind: OrderedDict[tuple[str, str], Usage] = OrderedDict()

    def learn(self, job: Job, *, completed: bool) -> None:
        """Update the usage of a job's kind from its last task.

        A task that did not complete gives lower bounds of the peaks, and no run
        time.
        """
        if not job.run_seconds and not job.peak_memory_bytes:
            return
        kind = kind_of(job.team, job.request)
        usage = self._usage_by_kind.setdefault(kind, Usage())
        self._usage_by_kind.move_to_end(kind)
        usage.peak_cores = max(usage.peak_cores, job.peak_cores)
        usage.peak_memory_bytes = max(usage.peak_memory_bytes, job.peak_memory_bytes)
        if completed:
            usage.samples += 1
            weight = 1.0 if usage.samples == 1 else RECENT_WEIGHT
            usage.run_seconds += weight * (job.run_seconds - usage.run_seconds)
        if len(self._usage_by_kind) > MAX_KINDS:
            self._usage_by_kind.popitem(last=False)

    def demand(self, job: Job) -> Demand:
        """Return the resources to reserve for a job.

        They are not below the observed peaks and not above MAX_FACTOR times the
        declared size; the upper bound takes precedence.
        """
        request = job.request
        usage = self._usage_by_kind.get(kind_of(job.team, request), Usage())
        cores = _size(request.cores, usage.peak_cores, usage.samples)
        memory = _size(
            float(request.memory_bytes), float(usage.peak_memory_bytes), usage.samples
        )
        # Steps of 1/4 core and 16 MiB limit the number of distinct demands.
        cores = max(0.25, -(-cores // 0.25) * 0.25)
        step = 16 * 1024**2
        memory = max(memory, float(job.memory_floor))
        memory = min(memory, request.memory_bytes * MAX_FACTOR)
        return Demand(cores, int(-(-memory // step) * step), request.accelerators)

    def run_seconds(self, job: Job) -> float:
        """Return the expected run time of a job."""
        usage = self._usage_by_kind.get(kind_of(job.team, job.request))
        if usage is None or not usage.samples:
            return job.request.expected_seconds
        return usage.run_seconds


def memory_after_kill(job: Job) -> int:
    """Return the memory to reserve for a job that ran out of memory."""
    used = max(job.request.memory_bytes, job.memory_floor, job.peak_memory_bytes)
    return int(min(used * MEMORY_GROWTH, job.request.memory_bytes * MAX_FACTOR))


def _size(declared: float, peak: float, samples: int) -> float:
    size = min(peak * MARGIN, max(declared, peak))
    if samples < MIN_SAMPLES:
        size = max(declared, size)
    return min(size, declared * MAX_FACTOR) if size > 0 else declared
