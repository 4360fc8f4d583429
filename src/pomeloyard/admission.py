"""Admission of requests: queues, executor slots and units of team limits."""

from __future__ import annotations

import itertools
from collections import defaultdict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

import anyio

from .clock import Clock
from .outcomes import Done, Outcome, RefusalReason, Refused

RETRY_AFTER = timedelta(seconds=1)


@dataclass(frozen=True, slots=True)
class Permit:
    """Right to run one request of ``team`` on executor ``vm``."""

    number: int
    service: str
    team: str
    vm: str


@dataclass(eq=False)
class _Waiter:
    team: str
    urgent: bool
    deadline: timedelta
    granted: anyio.Event = field(default_factory=anyio.Event)
    permit: Permit | None = None


class AdmissionController:
    """Grants permits within the slots and units that this daemon may use."""

    def __init__(
        self,
        clock: Clock,
        slots: Callable[[str], int],
        units: Callable[[str], int],
        executors: Callable[[str], list[str]],
        weight: Callable[[str], float],
    ) -> None:
        self._clock = clock
        self._slots = slots
        self._units = units
        self._executors = executors
        self._weight = weight
        self._numbers = itertools.count(1)
        self.running_by_vm: dict[str, int] = defaultdict(int)
        self.running_by_team: dict[str, int] = defaultdict(int)
        self.running_by_service_team: dict[tuple[str, str], int] = defaultdict(int)
        self._queues_by_service: dict[str, dict[str, deque[_Waiter]]] = defaultdict(
            dict
        )

    def queued(self, service: str) -> int:
        """Return how many requests wait for a service."""
        return sum(len(q) for q in self._queues_by_service[service].values())

    def queued_by_team(self) -> dict[str, int]:
        """Return how many requests of each team wait, over all services."""
        counts: dict[str, int] = defaultdict(int)
        for queues in self._queues_by_service.values():
            for team, queue in queues.items():
                counts[team] += len(queue)
        return counts

    async def acquire(
        self,
        service: str,
        team: str,
        *,
        deadline: timedelta,
        queue_length: int,
        urgent: bool = False,
    ) -> Outcome[Permit]:
        """Wait for a permit until ``deadline`` (monotonic)."""
        if self.queued(service) >= queue_length:
            return Refused(RefusalReason.QUEUE_FULL, service, RETRY_AFTER)
        waiter = _Waiter(team, urgent, deadline)
        queue = self._queues_by_service[service].setdefault(team, deque())
        if urgent:
            queue.appendleft(waiter)
        else:
            queue.append(waiter)
        self.dispatch(service)
        remaining = deadline - self._clock.monotonic()
        try:
            with anyio.move_on_after(max(0.0, remaining.total_seconds())):
                await waiter.granted.wait()
        except BaseException:
            self._withdraw(queue, waiter)
            raise
        if waiter.permit is not None:
            return Done(waiter.permit)
        self._withdraw(queue, waiter)
        return Refused(RefusalReason.DEADLINE_PASSED, service, RETRY_AFTER)

    def release(self, permit: Permit) -> None:
        """Return a permit's slot and unit and serve the next request."""
        self.running_by_vm[permit.vm] -= 1
        self.running_by_team[permit.team] -= 1
        self.running_by_service_team[permit.service, permit.team] -= 1
        self.dispatch_all()

    def dispatch_all(self) -> None:
        """Serve waiting requests of all services."""
        for service in list(self._queues_by_service):
            self.dispatch(service)

    def dispatch(self, service: str) -> None:
        """Serve waiting requests while slots and units are free."""
        while True:
            waiter = self._next_waiter(service)
            vm = self._free_executor(service) if waiter is not None else None
            if waiter is None or vm is None:
                return
            self._queues_by_service[service][waiter.team].remove(waiter)
            self._grant(service, waiter, vm)

    def _grant(self, service: str, waiter: _Waiter, vm: str) -> None:
        self.running_by_vm[vm] += 1
        self.running_by_team[waiter.team] += 1
        self.running_by_service_team[service, waiter.team] += 1
        waiter.permit = Permit(next(self._numbers), service, waiter.team, vm)
        waiter.granted.set()

    def _next_waiter(self, service: str) -> _Waiter | None:
        """Return the first request of the team that is furthest below its share."""
        candidates = [
            (self.running_by_service_team[service, team] / self._weight(team), team)
            for team, queue in self._queues_by_service[service].items()
            if queue and self.running_by_team[team] < self._units(team)
        ]
        if not candidates:
            return None
        return self._queues_by_service[service][min(candidates)[1]][0]

    def _free_executor(self, service: str) -> str | None:
        free = [
            (self.running_by_vm[vm] - self._slots(vm), vm)
            for vm in self._executors(service)
            if self.running_by_vm[vm] < self._slots(vm)
        ]
        return min(free)[1] if free else None

    def _withdraw(self, queue: deque[_Waiter], waiter: _Waiter) -> None:
        if waiter.permit is not None:
            self.release(waiter.permit)
        elif waiter in queue:
            queue.remove(waiter)
