"""Interchangeable decisions on VMs and on the executors of tasks.

No safety rule depends on a policy. Availability of long-running tasks, limits and
fencing are enforced where orders are given (``DisruptionBudgets``, ``Planner``,
``VmOrders``), so any policy is safe, even one that decides at random.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Collection, Mapping, Sequence
from datetime import timedelta

from . import maintenance, pool_scaling
from .executor_choice import FreeCapacityIndex
from .executor_link import ExecutorLink
from .maintenance import MaintenanceCandidate, MaintenanceChoice
from .pool_scaling import DrainableVm, IdleVm, Move, PoolLoad
from .progress import Task


class Policy(ABC):
    """Chooses VMs to move, drain and maintain, and executors for tasks."""

    @abstractmethod
    def choose_moves(
        self, loads: Sequence[PoolLoad], spares: Sequence[IdleVm], standby_pool: str
    ) -> list[Move]:
        """Return the VMs to move to another pool now."""

    @abstractmethod
    def choose_to_drain(
        self,
        loads: Sequence[PoolLoad],
        busy: Sequence[DrainableVm],
        incoming: Mapping[str, int],
        outgoing: Mapping[str, int],
    ) -> list[Move]:
        """Return the busy VMs to drain for another pool."""

    @abstractmethod
    def choose_maintenance(
        self,
        candidates: Sequence[MaintenanceCandidate],
        free_slots: int,
        time_left: timedelta,
        needed: timedelta,
    ) -> MaintenanceChoice:
        """Return the VMs to maintain now, to drain and to spread tasks from."""

    @abstractmethod
    def choose_executor(
        self,
        index: FreeCapacityIndex,
        task: Task,
        rack: str,
        allowed: Collection[str] | None,
    ) -> ExecutorLink | None:
        """Return the executor for a task, or None to keep it waiting."""


class DefaultPolicy(Policy):
    """The policy used in production."""

    def choose_moves(
        self, loads: Sequence[PoolLoad], spares: Sequence[IdleVm], standby_pool: str
    ) -> list[Move]:
        """Return the VMs to move to another pool now."""
        return pool_scaling.choose_moves(loads, spares, standby_pool)

    def choose_to_drain(
        self,
        loads: Sequence[PoolLoad],
        busy: Sequence[DrainableVm],
        incoming: Mapping[str, int],
        outgoing: Mapping[str, int],
    ) -> list[Move]:
        """Return the busy VMs to drain for another pool."""
        return pool_scaling.choose_to_drain(loads, busy, incoming, outgoing)

    def choose_maintenance(
        self,
        candidates: Sequence[MaintenanceCandidate],
        free_slots: int,
        time_left: timedelta,
        needed: timedelta,
    ) -> MaintenanceChoice:
        """Return the VMs to maintain now, to drain and to spread tasks from."""
        return maintenance.choose_maintenance(candidates, free_slots, time_left, needed)

    def choose_executor(
        self,
        index: FreeCapacityIndex,
        task: Task,
        rack: str,
        allowed: Collection[str] | None,
    ) -> ExecutorLink | None:
        """Return the executor for a task, or None to keep it waiting."""
        return index.choose(task, rack, allowed)
