"""VMs that each pool held and needed, from the daemons' logs."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from datetime import datetime

from .job_history import LogLine


@dataclass(frozen=True, slots=True)
class PoolSecond:
    """State of a pool at one time; the placing daemon logs one line a second."""

    at: datetime
    pool: str
    vms: int
    """VMs of the pool, including those being moved to it."""
    needed: int
    """VMs that its running tasks would fill completely."""
    waiting_core_seconds: float


def pool_seconds(lines: Iterable[LogLine]) -> list[PoolSecond]:
    """Return the states of pools from log lines, sorted by time and pool."""
    rows = [
        PoolSecond(
            line.at,
            line.subject,
            int(line.inputs["vms"]),
            math.ceil(line.inputs["busy_cores"] / max(line.inputs["vm_cores"], 0.001)),
            float(line.inputs["waiting"]),
        )
        for line in lines
        if line.decision == "pool"
    ]
    return sorted(rows, key=lambda row: (row.at, row.pool))


def vm_seconds_by_pool(rows: Sequence[PoolSecond]) -> Mapping[str, tuple[int, int]]:
    """Return the VM-seconds held and needed, by pool."""
    totals_by_pool: dict[str, tuple[int, int]] = defaultdict(lambda: (0, 0))
    for row in rows:
        held, needed = totals_by_pool[row.pool]
        totals_by_pool[row.pool] = held + row.vms, needed + row.needed
    return dict(totals_by_pool)
