"""What to ask of VMs and where tasks run: the decisions that may differ.

No rule rests on them. What protects lasting tasks, limits and fences is checked where
orders are given (``Availability``, ``Planner``, ``VmOrders``), so any policy may take
their place, also one that decides at random.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Collection, Mapping, Sequence
from datetime import timedelta

from . import pools, upkeep
from .link import ExecutorLink
from .pools import BusyVm, Move, PoolLoad, SpareVm
from .progress import Task
from .spread import Rooms
from .upkeep import UpkeepCandidate, UpkeepChoice


class Policy(ABC):
    """Chooses VMs to move and to maintain, and executors for tasks."""

    @abstractmethod
    def choose_moves(
        self, loads: Sequence[PoolLoad], spares: Sequence[SpareVm], standby_pool: str
    ) -> list[Move]:
        """Return the VMs that change their pool now."""

    @abstractmethod
    def choose_to_empty(
        self,
        loads: Sequence[PoolLoad],
        busy: Sequence[BusyVm],
        promised: Mapping[str, int],
        leaving: Mapping[str, int],
    ) -> list[Move]:
        """Return the busy VMs that are emptied for another pool."""

    @abstractmethod
    def choose_upkeeps(
        self,
        candidates: Sequence[UpkeepCandidate],
        free_slots: int,
        time_left: timedelta,
        needed: timedelta,
    ) -> UpkeepChoice:
        """Return the VMs whose upkeep begins now, and those to be emptied."""

    @abstractmethod
    def choose_executor(
        self, rooms: Rooms, task: Task, rack: str, among: Collection[str] | None
    ) -> ExecutorLink | None:
        """Return the executor for a task, or None to let it wait."""


class UsualPolicy(Policy):
    """The policy of the product."""

    def choose_moves(
        self, loads: Sequence[PoolLoad], spares: Sequence[SpareVm], standby_pool: str
    ) -> list[Move]:
        """Return the VMs that change their pool now."""
        return pools.choose_moves(loads, spares, standby_pool)

    def choose_to_empty(
        self,
        loads: Sequence[PoolLoad],
        busy: Sequence[BusyVm],
        promised: Mapping[str, int],
        leaving: Mapping[str, int],
    ) -> list[Move]:
        """Return the busy VMs that are emptied for another pool."""
        return pools.choose_to_empty(loads, busy, promised, leaving)

    def choose_upkeeps(
        self,
        candidates: Sequence[UpkeepCandidate],
        free_slots: int,
        time_left: timedelta,
        needed: timedelta,
    ) -> UpkeepChoice:
        """Return the VMs whose upkeep begins now, and those to be emptied."""
        return upkeep.choose(candidates, free_slots, time_left, needed)

    def choose_executor(
        self, rooms: Rooms, task: Task, rack: str, among: Collection[str] | None
    ) -> ExecutorLink | None:
        """Return the executor for a task, or None to let it wait."""
        return rooms.choose(task, rack, among)
