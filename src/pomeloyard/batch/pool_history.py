"""What the daemons' output says of the VMs that each pool held and needed."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from datetime import datetime

from .history import LogLine


@dataclass(frozen=True, slots=True)
class PoolSecond:
    """A pool at one moment; the placing daemon writes one line a second."""

    at: datetime
    pool: str
    vms: int
    """With those on their way to it."""
    needed: int
    """VMs that its running work would fill."""
    waiting_core_seconds: float


def pool_seconds(lines: Iterable[LogLine]) -> list[PoolSecond]:
    """Return what the lines say of pools, in the order of time."""
    found = [
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
    return sorted(found, key=lambda row: (row.at, row.pool))


def totals(rows: Sequence[PoolSecond]) -> Mapping[str, tuple[int, int]]:
    """Return the VM-seconds that each pool held and needed, by pool."""
    sums: dict[str, tuple[int, int]] = defaultdict(lambda: (0, 0))
    for row in rows:
        held, needed = sums[row.pool]
        sums[row.pool] = held + row.vms, needed + row.needed
    return dict(sums)
