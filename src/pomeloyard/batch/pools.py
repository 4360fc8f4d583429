"""How many VMs each pool borrows from the standby pool; pure.

Answers demand that peaks by turns at four to five times its mean for some seconds:
a VM off standby costs nothing, one in a pool costs each second, and a move costs
about what a VM costs in a second. So VMs are borrowed when the work that waits would
keep the pool busy beyond the time that its jobs have, and given back when empty.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from datetime import timedelta

BORROW_BACKLOG = timedelta(seconds=0.8)
"""Work waiting, in seconds of the whole pool, from which a VM is borrowed."""
VM_WORK_SECONDS = 2.0
"""Work, in seconds of one VM, that justifies each borrowed VM."""
GIVE_BACK_IDLE = timedelta(seconds=2)
"""A borrowed VM that was idle this long goes back; a peak has pauses of a second."""


@dataclass(frozen=True, slots=True)
class PoolLoad:
    """Demand and room of a pool."""

    name: str
    waiting_core_seconds: float
    """Work of the tasks that could run now if there were room."""
    cores: float
    vm_cores: float
    arriving_vms: int
    """VMs on their way to the pool."""
    extra_vms: int
    """VMs beyond the pool's own number."""


@dataclass(frozen=True, slots=True)
class SpareVm:
    """A VM that may be moved now without ending any task."""

    vm: str
    pool: str
    on_standby: bool
    idle_for: timedelta


@dataclass(frozen=True, slots=True)
class Move:
    """A VM and the pool that it should join."""

    vm: str
    pool: str


def choose_moves(
    loads: Sequence[PoolLoad], spares: Sequence[SpareVm], standby_pool: str
) -> list[Move]:
    """Return the moves that the present loads justify."""
    moves: list[Move] = []
    free = sorted(spares, key=lambda s: (not s.on_standby, s.vm))
    waits: Mapping[str, bool] = {
        load.name: load.waiting_core_seconds > 0 for load in loads
    }
    extra = {load.name: load.extra_vms for load in loads}
    for load in sorted(loads, key=lambda d: -d.waiting_core_seconds):
        arriving = load.arriving_vms * load.vm_cores * VM_WORK_SECONDS
        backlog = load.waiting_core_seconds - arriving
        if backlog <= load.cores * BORROW_BACKLOG.total_seconds():
            continue
        wanted = int(backlog / (load.vm_cores * VM_WORK_SECONDS))
        for spare in list(free):
            if wanted <= 0:
                break
            if spare.pool == load.name or waits.get(spare.pool):
                continue
            if not spare.on_standby and extra.get(spare.pool, 0) <= 0:
                continue
            if not spare.on_standby:
                extra[spare.pool] -= 1
            free.remove(spare)
            moves.append(Move(spare.vm, load.name))
            wanted -= 1
    for spare in free:
        if spare.on_standby or spare.idle_for < GIVE_BACK_IDLE:
            continue
        if extra.get(spare.pool, 0) > 0 and not waits.get(spare.pool):
            extra[spare.pool] -= 1
            moves.append(Move(spare.vm, standby_pool))
    return moves
