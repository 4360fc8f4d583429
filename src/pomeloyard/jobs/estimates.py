"""Sizes and run times learned from what earlier tasks used."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from .capacity import Demand
from .job import Job, JobRequest

MIN_SAMPLES = 3
"""Tasks of one kind that must have ended before a smaller size is believed."""
MARGIN = 1.15
"""Room above the greatest use seen, since usage reports lag behind."""
MAX_FACTOR = 4.0
"""A learned size is at most this multiple of the declared size."""
MEMORY_GROWTH = 1.5
"""Growth of the memory of a job that was killed for memory."""
MAX_KINDS = 5_000
RECENT_WEIGHT = 0.2
"""Weight of the latest run time in the moving average."""


@dataclass(slots=True)
class Usage:
    """What tasks of one kind used; the peaks are the greatest seen."""

    samples: int = 0
    peak_cores: float = 0.0
    peak_memory_bytes: int = 0
    run_seconds: float = 0.0


def kind_of(team: str, request: JobRequest) -> tuple[str, str]:
    """Return what jobs of one kind have in common: team, and label or command."""
    return team, request.label or request.command


class Estimates:
    """Learned usage of each kind of job; the least recently used are dropped."""

    def __init__(self) -> None:
        self._usage_by_kind: OrderedDict[tuple[str, str], Usage] = OrderedDict()

    def learn(self, job: Job, *, completed: bool) -> None:
        """Take over what a job's last task used.

        A task that did not complete shows a lower bound of its peaks and says
        nothing about the run time.
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
        """Return the size to reserve for a job.

        Never below what was seen (up to the bound) and never more than
        MAX_FACTOR times what was declared.
        """
        request = job.request
        usage = self._usage_by_kind.get(kind_of(job.team, request), Usage())
        cores = _size(request.cores, usage.peak_cores, usage.samples)
        memory = _size(
            float(request.memory_bytes), float(usage.peak_memory_bytes), usage.samples
        )
        # Whole steps of 1/4 core and 16 MiB keep the number of distinct sizes low.
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
    """Return the memory that a job needs after it was killed for memory."""
    used = max(job.request.memory_bytes, job.memory_floor, job.peak_memory_bytes)
    return int(min(used * MEMORY_GROWTH, job.request.memory_bytes * MAX_FACTOR))


def _size(declared: float, seen: float, samples: int) -> float:
    wanted = min(seen * MARGIN, max(declared, seen))
    if samples < MIN_SAMPLES:
        wanted = max(declared, wanted)
    return min(wanted, declared * MAX_FACTOR) if wanted > 0 else declared
