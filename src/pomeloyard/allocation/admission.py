"""Admission of requests: queues, executor slots and units of team limits."""

from __future__ import annotations

import heapq
import itertools
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from datetime import timedelta

import anyio

from ..clock import Clock
from ..outcomes import Done, Outcome, RefusalReason, Refused
from ..shares import weighted_max_min

MIN_RETRY_AFTER = timedelta(seconds=1)
MAX_RETRY_AFTER = timedelta(seconds=30)
TARGET_LIFETIME = timedelta(seconds=3)
"""Targets of the coordinator older than this are replaced by local shares."""

LOCAL_SHARE_INTERVAL = timedelta(milliseconds=100)
MAX_DEFICIT_SECONDS = 2.0
"""Bound of a team's deficit, in seconds of its target."""

Prefer = Callable[[str, list[str]], list[str]]
"""Orders the free executors of a service by preference, without unusable ones."""


@dataclass(frozen=True, slots=True)
class Permit:
    """Right to run one request of ``team`` on executor ``vm``."""

    number: int
    service: str
    team: str
    vm: str


@dataclass(frozen=True, slots=True)
class TeamUse:
    """A team's requests for a service; served time counts running ones too."""

    queued: int
    running: int
    served_seconds: float


@dataclass(eq=False, slots=True)
class _Waiter:
    service: str
    team: str
    exclude: frozenset[str]
    granted: anyio.Event = field(default_factory=anyio.Event)
    permit: Permit | None = None
    abandoned: bool = False


@dataclass(slots=True)
class _Team:
    """Queue, use and deficit of one team for one service."""

    urgent: deque[_Waiter] = field(default_factory=deque)
    normal: deque[_Waiter] = field(default_factory=deque)
    queued: int = 0
    running: int = 0
    served_seconds: float = 0.0
    deficit: float = 0.0
    updated: timedelta = timedelta(0)

    def head(self) -> _Waiter | None:
        """Return the next request that still waits."""
        for queue in (self.urgent, self.normal):
            while queue and queue[0].abandoned:
                queue.popleft()
            if queue:
                return queue[0]
        return None

    def pop(self) -> None:
        """Remove the request that ``head`` returned."""
        (self.urgent or self.normal).popleft()
        self.queued -= 1


@dataclass(slots=True)
class _Service:
    teams_by_name: dict[str, _Team] = field(default_factory=dict)
    targets_by_team: dict[str, float] = field(default_factory=dict)
    local_targets_by_team: dict[str, float] = field(default_factory=dict)
    targets_at: timedelta | None = None
    local_at: timedelta | None = None
    queued: int = 0

    def target(self, team: str) -> float:
        """Return a team's target; local shares serve teams new to the coordinator."""
        local = self.local_targets_by_team.get(team, 0.0)
        return self.targets_by_team.get(team, local)


class AdmissionController:
    """Grants permits within the slots and units that this daemon may use.

    ``slots`` and ``units`` return what may be in use of a VM and of a team's
    limit, ``executors`` the VMs of a service that accept work, ``weight`` a
    team's share.
    """

    def __init__(
        self,
        clock: Clock,
        slots: Callable[[str], int],
        units: Callable[[str], int],
        executors: Callable[[str], list[str]],
        weight: Callable[[str], float],
        prefer: Prefer | None = None,
    ) -> None:
        self._clock = clock
        self._slots = slots
        self._units = units
        self._executors = executors
        self._weight = weight
        self._prefer = prefer or (lambda service, names: names)
        self._numbers = itertools.count(1)
        self._services_by_name: dict[str, _Service] = {}
        self._held: list[tuple[timedelta, int, Permit]] = []
        self.running_by_vm: dict[str, int] = {}
        self.running_by_team: dict[str, int] = {}
        self._closing = False
        self.on_shortage: Callable[[], None] = lambda: None
        """Called when a request has to wait, so that demand is reported early."""
        self.on_release: Callable[[Permit], None] = lambda permit: None
        """Called when a slot and a unit came free, before they are used again."""

    def queued(self, service: str) -> int:
        """Return how many requests wait for a service."""
        record = self._services_by_name.get(service)
        return record.queued if record is not None else 0

    def queued_by_team(self) -> dict[str, int]:
        """Return how many requests of each team wait, over all services."""
        counts: dict[str, int] = {}
        for record in self._services_by_name.values():
            for name, team in record.teams_by_name.items():
                counts[name] = counts.get(name, 0) + team.queued
        return counts

    def use_by_service_team(self) -> dict[tuple[str, str], TeamUse]:
        """Return queue, running requests and served time of all teams."""
        now = self._clock.monotonic()
        result = {}
        for service, record in self._services_by_name.items():
            for name, team in record.teams_by_name.items():
                self._advance(record, name, team, now)
                use = TeamUse(team.queued, team.running, team.served_seconds)
                result[service, name] = use
        return result

    def set_targets(
        self, targets: Mapping[tuple[str, str], float], *, replace_all: bool = True
    ) -> None:
        """Adopt the coordinator's targets in slots, by (service, team)."""
        now = self._clock.monotonic()
        self._advance_all(now)
        for record in self._services_by_name.values():
            if replace_all:
                record.targets_by_team = {}
            record.targets_at = now
        for (service, team), slots in targets.items():
            record = self._service(service)
            record.targets_at = now
            if slots > 0:
                record.targets_by_team[team] = slots
            else:
                record.targets_by_team.pop(team, None)
        self.dispatch_all()

    async def acquire(
        self,
        service: str,
        team: str,
        *,
        deadline: timedelta,
        queue_length: int,
        urgent: bool = False,
        exclude: frozenset[str] = frozenset(),
    ) -> Outcome[Permit]:
        """Wait for a permit until ``deadline`` (monotonic)."""
        record = self._service(service)
        if self._closing:
            return Refused(RefusalReason.SHUTTING_DOWN, service, MIN_RETRY_AFTER)
        if record.queued >= queue_length:
            return Refused(RefusalReason.QUEUE_FULL, service, self._retry_after(record))
        waiter = self._enqueue(record, _Waiter(service, team, exclude), urgent)
        self.dispatch(service)
        if waiter.permit is not None:
            return Done(waiter.permit)
        self.on_shortage()
        try:
            remaining = deadline - self._clock.monotonic()
            with anyio.move_on_after(max(0.0, remaining.total_seconds())):
                await waiter.granted.wait()
        except BaseException:
            self._withdraw(record, waiter)
            raise
        if waiter.permit is not None:
            return Done(waiter.permit)
        self._withdraw(record, waiter)
        return self._refusal(record, team)

    def close(self) -> None:
        """Refuse waiting and new requests; another daemon can take them at once."""
        self._closing = True
        for record in self._services_by_name.values():
            for team in record.teams_by_name.values():
                for waiter in (*team.urgent, *team.normal):
                    waiter.granted.set()

    def running(self) -> int:
        """Return how many requests run or may still run."""
        return sum(self.running_by_vm.values())

    def release(self, permit: Permit) -> None:
        """Return a permit's slot and unit and serve the next request."""
        record = self._service(permit.service)
        team = record.teams_by_name[permit.team]
        self._advance(record, permit.team, team, self._clock.monotonic())
        team.running -= 1
        self.running_by_vm[permit.vm] -= 1
        self.running_by_team[permit.team] -= 1
        self.on_release(permit)
        self.dispatch_all()

    def hold_until(self, permit: Permit, deadline: timedelta) -> None:
        """Keep a permit's slot and unit in use until ``deadline`` (monotonic).

        Used after an unknown outcome, since the request may still be running.
        """
        heapq.heappush(self._held, (deadline, permit.number, permit))

    def release_due(self) -> None:
        """Return the held permits whose deadline has passed."""
        now = self._clock.monotonic()
        while self._held and self._held[0][0] <= now:
            self.release(heapq.heappop(self._held)[2])

    def held(self) -> int:
        """Return how many permits are held after unknown outcomes."""
        return len(self._held)

    def dispatch_all(self) -> None:
        """Serve waiting requests of all services."""
        for service, record in self._services_by_name.items():
            if record.queued:
                self.dispatch(service)

    def dispatch(self, service: str) -> None:
        """Serve waiting requests while slots and units are free."""
        record = self._service(service)
        if not record.queued or self._closing:
            return
        free = self._free_executors(service)
        if not free:
            return
        now = self._clock.monotonic()
        self._refresh_targets(service, record, now)
        for name, team in record.teams_by_name.items():
            self._advance(record, name, team, now)
        blocked: set[str] = set()
        while free:
            chosen = self._next_team(record, blocked)
            if chosen is None:
                return
            if not self._grant(record, chosen, free):
                blocked.add(chosen)

    def _grant(self, record: _Service, name: str, free: dict[str, int]) -> bool:
        """Give the team's next request a slot; return False if none suits it."""
        team = record.teams_by_name[name]
        waiter = team.head()
        if waiter is None:
            return False
        usable = [vm for vm in free if vm not in waiter.exclude]
        preferred = self._prefer(waiter.service, usable) if usable else []
        if not preferred:
            return False
        vm = preferred[0]
        team.pop()
        record.queued -= 1
        team.running += 1
        self.running_by_vm[vm] = self.running_by_vm.get(vm, 0) + 1
        self.running_by_team[name] = self.running_by_team.get(name, 0) + 1
        free[vm] -= 1
        if not free[vm]:
            del free[vm]
        waiter.permit = Permit(next(self._numbers), waiter.service, name, vm)
        waiter.granted.set()
        return True

    def _next_team(self, record: _Service, blocked: set[str]) -> str | None:
        """Return the team with the largest deficit that may start a request."""
        best: tuple[float, float, str] | None = None
        for name, team in record.teams_by_name.items():
            if not team.queued or name in blocked or team.head() is None:
                continue
            if self.running_by_team.get(name, 0) >= self._units(name):
                continue
            target = record.target(name)
            # Requests granted now weigh against the next choice at this moment.
            rank = (team.deficit + target - team.running, -team.running, name)
            if best is None or rank > best:
                best = rank
        return best[2] if best is not None else None

    def _free_executors(self, service: str) -> dict[str, int]:
        free = {}
        for vm in self._executors(service):
            slots = self._slots(vm) - self.running_by_vm.get(vm, 0)
            if slots > 0:
                free[vm] = slots
        return free

    def _refresh_targets(self, service: str, record: _Service, now: timedelta) -> None:
        """Compute local shares, and drop targets of a coordinator not heard from."""
        if record.targets_at is not None and now - record.targets_at > TARGET_LIFETIME:
            record.targets_by_team = {}
            record.targets_at = None
        if record.local_at is not None and now - record.local_at < LOCAL_SHARE_INTERVAL:
            return
        record.local_at = now
        capacity = sum(self._slots(vm) for vm in self._executors(service))
        demands = {
            name: float(team.queued + team.running)
            for name, team in record.teams_by_name.items()
        }
        weights = {name: self._weight(name) for name in demands}
        record.local_targets_by_team = weighted_max_min(capacity, demands, weights)

    def _advance_all(self, now: timedelta) -> None:
        for record in self._services_by_name.values():
            for name, team in record.teams_by_name.items():
                self._advance(record, name, team, now)

    def _advance(
        self, record: _Service, name: str, team: _Team, now: timedelta
    ) -> None:
        """Account for the time since the last change of the team's use."""
        elapsed = (now - team.updated).total_seconds()
        if elapsed <= 0:
            return
        team.updated = now
        team.served_seconds += team.running * elapsed
        target = record.target(name)
        bound = MAX_DEFICIT_SECONDS * (1.0 + target)
        # A team without a queue earns nothing, but what it received in excess still
        # counts: its queue may be empty just because it was served too early.
        most = bound if team.queued else 0.0
        deficit = team.deficit + (target - team.running) * elapsed
        team.deficit = max(-bound, min(most, deficit))

    def _service(self, name: str) -> _Service:
        return self._services_by_name.setdefault(name, _Service())

    def _enqueue(self, record: _Service, waiter: _Waiter, urgent: bool) -> _Waiter:
        team = record.teams_by_name.get(waiter.team)
        if team is None:
            team = _Team(updated=self._clock.monotonic())
            record.teams_by_name[waiter.team] = team
        (team.urgent if urgent else team.normal).append(waiter)
        team.queued += 1
        record.queued += 1
        return waiter

    def _withdraw(self, record: _Service, waiter: _Waiter) -> None:
        if waiter.permit is not None:
            self.release(waiter.permit)
        elif not waiter.abandoned:
            waiter.abandoned = True
            record.teams_by_name[waiter.team].queued -= 1
            record.queued -= 1

    def _refusal(self, record: _Service, team: str) -> Refused:
        if self._closing:
            return Refused(RefusalReason.SHUTTING_DOWN, team, MIN_RETRY_AFTER)
        reason = RefusalReason.DEADLINE_PASSED
        if self.running_by_team.get(team, 0) >= self._units(team):
            reason = RefusalReason.LIMIT_REACHED
        return Refused(reason, team, self._retry_after(record))

    def _retry_after(self, record: _Service) -> timedelta:
        """Return about how long the present queue takes to drain."""
        running = sum(team.running for team in record.teams_by_name.values())
        seconds = record.queued / max(1, running)
        return min(max(MIN_RETRY_AFTER, timedelta(seconds=seconds)), MAX_RETRY_AFTER)
