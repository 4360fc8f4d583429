"""Request admission: queues, executor slots and units of team limits."""

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
"""Coordinator targets older than this are dropped in favour of local shares."""

LOCAL_SHARE_INTERVAL = timedelta(milliseconds=100)
MAX_DEFICIT_SECONDS = 2.0
"""Largest absolute deficit of a team, in seconds of its target."""

ExecutorPreference = Callable[[str, list[str]], list[str]]
"""Sorts a service's free executors by preference and filters out unusable ones."""


@dataclass(frozen=True, slots=True)
class Permit:
    """Permission to run one request of ``team`` on executor ``vm``."""

    number: int
    service: str
    team: str
    vm: str


@dataclass(frozen=True, slots=True)
class TeamUsage:
    """A team's usage of a service; served time includes requests still running."""

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
    """Queues, usage and deficit of one team for one service."""

    urgent: deque[_Waiter] = field(default_factory=deque)
    normal: deque[_Waiter] = field(default_factory=deque)
    queued: int = 0
    running: int = 0
    served_seconds: float = 0.0
    deficit: float = 0.0
    updated_at: timedelta = timedelta(0)

    def head(self) -> _Waiter | None:
        """Return the next waiting request, skipping abandoned ones."""
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
        """Return a team's target, or its local share if the coordinator sent none."""
        local = self.local_targets_by_team.get(team, 0.0)
        return self.targets_by_team.get(team, local)


class AdmissionController:
    """Grants permits within the slots and units that this daemon may use.

    ``slots`` returns how many slots of a VM may be in use, ``units`` how many
    units of a team's limit, ``executors`` the VMs of a service that accept work,
    and ``weight`` a team's share.
    """

    def __init__(
        self,
        clock: Clock,
        slots: Callable[[str], int],
        units: Callable[[str], int],
        executors: Callable[[str], list[str]],
        weight: Callable[[str], float],
        prefer: ExecutorPreference | None = None,
    ) -> None:
        self._clock = clock
        self._slots = slots
        self._units = units
        self._executors = executors
        self._weight = weight
        self._prefer = prefer or (lambda service, names: names)
        self._permit_numbers = itertools.count(1)
        self._services_by_name: dict[str, _Service] = {}
        self._held_permits: list[tuple[timedelta, int, Permit]] = []
        self.running_by_vm: dict[str, int] = {}
        self.running_by_team: dict[str, int] = {}
        self._closing = False
        self.on_request_queued: Callable[[], None] = lambda: None
        """Called when a request has to wait, to trigger an early demand report."""
        self.on_release: Callable[[Permit], None] = lambda permit: None
        """Called when a slot and a unit are freed, before they are reused."""

    def queued_count(self, service: str) -> int:
        """Return the number of requests queued for a service."""
        state = self._services_by_name.get(service)
        return state.queued if state is not None else 0

    def queued_by_team(self) -> dict[str, int]:
        """Return the number of queued requests per team, over all services."""
        counts: dict[str, int] = {}
        for state in self._services_by_name.values():
            for name, team in state.teams_by_name.items():
                counts[name] = counts.get(name, 0) + team.queued
        return counts

    def usage_by_service_team(self) -> dict[tuple[str, str], TeamUsage]:
        """Return queued and running requests and served time by (service, team)."""
        now = self._clock.monotonic()
        result = {}
        for service, state in self._services_by_name.items():
            for name, team in state.teams_by_name.items():
                self._update_deficit(state, name, team, now)
                usage = TeamUsage(team.queued, team.running, team.served_seconds)
                result[service, name] = usage
        return result

    def set_targets(
        self, targets: Mapping[tuple[str, str], float], *, replace_all: bool = True
    ) -> None:
        """Apply the coordinator's targets in slots, by (service, team)."""
        now = self._clock.monotonic()
        self._update_all_deficits(now)
        for state in self._services_by_name.values():
            if replace_all:
                state.targets_by_team = {}
            state.targets_at = now
        for (service, team), slots in targets.items():
            state = self._service_state(service)
            state.targets_at = now
            if slots > 0:
                state.targets_by_team[team] = slots
            else:
                state.targets_by_team.pop(team, None)
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
        """Wait for a permit until ``deadline``, in monotonic time."""
        state = self._service_state(service)
        if self._closing:
            return Refused(RefusalReason.SHUTTING_DOWN, service, MIN_RETRY_AFTER)
        if state.queued >= queue_length:
            return Refused(RefusalReason.QUEUE_FULL, service, self._retry_after(state))
        waiter = self._enqueue(state, _Waiter(service, team, exclude), urgent)
        self.dispatch(service)
        if waiter.permit is not None:
            return Done(waiter.permit)
        self.on_request_queued()
        try:
            remaining = deadline - self._clock.monotonic()
            with anyio.move_on_after(max(0.0, remaining.total_seconds())):
                await waiter.granted.wait()
        except BaseException:
            self._withdraw(state, waiter)
            raise
        if waiter.permit is not None:
            return Done(waiter.permit)
        self._withdraw(state, waiter)
        return self._refusal(state, team)

    def close(self) -> None:
        """Refuse queued and new requests, so that callers retry at another daemon."""
        self._closing = True
        for state in self._services_by_name.values():
            for team in state.teams_by_name.values():
                for waiter in (*team.urgent, *team.normal):
                    waiter.granted.set()

    def running_count(self) -> int:
        """Return the number of requests that run or may still be running."""
        return sum(self.running_by_vm.values())

    def release(self, permit: Permit) -> None:
        """Free a permit's slot and unit and admit waiting requests."""
        state = self._service_state(permit.service)
        team = state.teams_by_name[permit.team]
        self._update_deficit(state, permit.team, team, self._clock.monotonic())
        team.running -= 1
        self.running_by_vm[permit.vm] -= 1
        self.running_by_team[permit.team] -= 1
        self.on_release(permit)
        self.dispatch_all()

    def hold_permit_until(self, permit: Permit, deadline: timedelta) -> None:
        """Keep a permit's slot and unit reserved until ``deadline`` (monotonic).

        Used when the outcome is unknown and the request may still be running.
        """
        heapq.heappush(self._held_permits, (deadline, permit.number, permit))

    def release_expired_holds(self) -> None:
        """Release the held permits whose deadline has passed."""
        now = self._clock.monotonic()
        while self._held_permits and self._held_permits[0][0] <= now:
            self.release(heapq.heappop(self._held_permits)[2])

    def held_count(self) -> int:
        """Return the number of permits held after unknown outcomes."""
        return len(self._held_permits)

    def dispatch_all(self) -> None:
        """Admit queued requests of all services."""
        for service, state in self._services_by_name.items():
            if state.queued:
                self.dispatch(service)

    def dispatch(self, service: str) -> None:
        """Admit a service's queued requests while slots and units are free."""
        state = self._service_state(service)
        if not state.queued or self._closing:
            return
        free = self._free_executors(service)
        if not free:
            return
        now = self._clock.monotonic()
        self._refresh_targets(service, state, now)
        for name, team in state.teams_by_name.items():
            self._update_deficit(state, name, team, now)
        skipped_teams: set[str] = set()
        while free:
            chosen = self._next_team(state, skipped_teams)
            if chosen is None:
                return
            if not self._grant(state, chosen, free):
                skipped_teams.add(chosen)

    def _grant(self, state: _Service, name: str, free: dict[str, int]) -> bool:
        """Grant the team's next request a slot; return False if none is usable."""
        team = state.teams_by_name[name]
        waiter = team.head()
        if waiter is None:
            return False
        usable = [vm for vm in free if vm not in waiter.exclude]
        preferred = self._prefer(waiter.service, usable) if usable else []
        if not preferred:
            return False
        vm = preferred[0]
        team.pop()
        state.queued -= 1
        team.running += 1
        self.running_by_vm[vm] = self.running_by_vm.get(vm, 0) + 1
        self.running_by_team[name] = self.running_by_team.get(name, 0) + 1
        free[vm] -= 1
        if not free[vm]:
            del free[vm]
        waiter.permit = Permit(next(self._permit_numbers), waiter.service, name, vm)
        waiter.granted.set()
        return True

    def _next_team(self, state: _Service, skipped_teams: set[str]) -> str | None:
        """Return the team with the largest deficit among those below their limit."""
        best: tuple[float, float, str] | None = None
        for name, team in state.teams_by_name.items():
            if not team.queued or name in skipped_teams or team.head() is None:
                continue
            if self.running_by_team.get(name, 0) >= self._units(name):
                continue
            target = state.target(name)
            # Deficits change only with time; the running count lets requests granted
            # in the same dispatch lower the team's rank at once.
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

    def _refresh_targets(self, service: str, state: _Service, now: timedelta) -> None:
        """Recompute local shares, and drop coordinator targets that have expired."""
        if state.targets_at is not None and now - state.targets_at > TARGET_LIFETIME:
            state.targets_by_team = {}
            state.targets_at = None
        if state.local_at is not None and now - state.local_at < LOCAL_SHARE_INTERVAL:
            return
        state.local_at = now
        capacity = sum(self._slots(vm) for vm in self._executors(service))
        demands = {
            name: float(team.queued + team.running)
            for name, team in state.teams_by_name.items()
        }
        weights = {name: self._weight(name) for name in demands}
        state.local_targets_by_team = weighted_max_min(capacity, demands, weights)

    def _update_all_deficits(self, now: timedelta) -> None:
        for state in self._services_by_name.values():
            for name, team in state.teams_by_name.items():
                self._update_deficit(state, name, team, now)

    def _update_deficit(
        self, state: _Service, name: str, team: _Team, now: timedelta
    ) -> None:
        """Add the time since the last update to served time and deficit."""
        elapsed = (now - team.updated_at).total_seconds()
        if elapsed <= 0:
            return
        team.updated_at = now
        team.served_seconds += team.running * elapsed
        target = state.target(name)
        max_deficit = MAX_DEFICIT_SECONDS * (1.0 + target)
        # A team without queued requests accrues no deficit, but keeps a negative
        # one: its queue may be empty only because it received more than its share.
        upper_bound = max_deficit if team.queued else 0.0
        deficit = team.deficit + (target - team.running) * elapsed
        team.deficit = max(-max_deficit, min(upper_bound, deficit))

    def _service_state(self, name: str) -> _Service:
        return self._services_by_name.setdefault(name, _Service())

    def _enqueue(self, state: _Service, waiter: _Waiter, urgent: bool) -> _Waiter:
        team = state.teams_by_name.get(waiter.team)
        if team is None:
            team = _Team(updated_at=self._clock.monotonic())
            state.teams_by_name[waiter.team] = team
        (team.urgent if urgent else team.normal).append(waiter)
        team.queued += 1
        state.queued += 1
        return waiter

    def _withdraw(self, state: _Service, waiter: _Waiter) -> None:
        if waiter.permit is not None:
            self.release(waiter.permit)
        elif not waiter.abandoned:
            waiter.abandoned = True
            state.teams_by_name[waiter.team].queued -= 1
            state.queued -= 1

    def _refusal(self, state: _Service, team: str) -> Refused:
        if self._closing:
            return Refused(RefusalReason.SHUTTING_DOWN, team, MIN_RETRY_AFTER)
        reason = RefusalReason.DEADLINE_PASSED
        if self.running_by_team.get(team, 0) >= self._units(team):
            reason = RefusalReason.LIMIT_REACHED
        return Refused(reason, team, self._retry_after(state))

    def _retry_after(self, state: _Service) -> timedelta:
        """Estimate how long the current queue takes to drain."""
        running = sum(team.running for team in state.teams_by_name.values())
        seconds = state.queued / max(1, running)
        return min(max(MIN_RETRY_AFTER, timedelta(seconds=seconds)), MAX_RETRY_AFTER)
