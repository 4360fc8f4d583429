"""Choice of executor: order of preference, ejection and the retry budget."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

from ..clock import Clock
from ..decisions import Candidate, Decision, DecisionKind

FAILURES_TO_EJECT = 3
"""Failures in a row after which an executor is ejected."""

FIRST_EJECTION = timedelta(seconds=2)
MAX_EJECTION = timedelta(seconds=60)
MAX_EJECTED_SHARE = 0.5
LATENCY_WEIGHT = 0.2
"""Weight of the newest latency in the moving average."""

RETRY_SHARE = 0.1
"""Retries and hedges per request."""

MAX_RETRY_TOKENS = 10.0
FAILURE_COST = 1.0
ZONE_COST = 0.25
LOAD_COST = 1.0


class RouteReason(Enum):
    """Why an executor was or was not chosen."""

    CHOSEN = "chosen"
    TRIAL = "trial-after-ejection"
    LESS_PREFERRED = "less-preferred"
    EJECTED = "ejected"
    TRIAL_RUNNING = "trial-running"
    BUSY = "no-free-slot"


@dataclass(slots=True)
class ExecutorHealth:
    """What one daemon has observed of an executor."""

    failures_in_row: int = 0
    ejections: int = 0
    ejected_until: timedelta | None = None
    trial_until: timedelta | None = None
    latency: float = 0.0
    """Moving average in seconds; 0 before the first response."""


class RetryBudget:
    """Token bucket that bounds retries and hedges to a share of the requests."""

    def __init__(
        self, share: float = RETRY_SHARE, limit: float = MAX_RETRY_TOKENS
    ) -> None:
        self._share = share
        self._limit = limit
        self._tokens = limit

    def note_request(self) -> None:
        """Add the share that a new request earns."""
        self._tokens = min(self._limit, self._tokens + self._share)

    def take(self) -> bool:
        """Take the right to one retry, if there is any."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class ExecutorRouter:
    """Orders a service's executors from what was observed of them."""

    def __init__(
        self,
        clock: Clock,
        zone: str,
        zone_of: Callable[[str], str],
        load_of: Callable[[str], float],
        executors: Callable[[str], list[str]],
    ) -> None:
        self._clock = clock
        self._zone = zone
        self._zone_of = zone_of
        self._load_of = load_of
        self._executors = executors
        self._health_by_vm: dict[str, ExecutorHealth] = {}
        self.on_outcome: Callable[[str, bool, bool], None] = lambda *_: None
        """Called with an executor and whether it failed and was silent."""

    def prefer(self, service: str, names: list[str]) -> list[str]:
        """Return names in order of preference, without the ejected ones."""
        health = self._health_by_vm
        if not self._is_any_ejected(names):
            return sorted(names, key=self._score)
        now = self._clock.monotonic()
        usable = [n for n in names if n not in health or self._usable(n, now)]
        # A trial comes first, otherwise a recovered executor would never be tried.
        return sorted(usable, key=lambda n: (not self._is_ejected(n), self._score(n)))

    def started(self, vm: str) -> None:
        """Note that a request is about to be sent; it may be a trial."""
        health = self._health_by_vm.get(vm)
        if health is not None and health.ejected_until is not None:
            health.trial_until = self._clock.monotonic() + FIRST_EJECTION

    def succeeded(self, vm: str, latency: timedelta) -> None:
        """Note a response and the time until its headers."""
        health = self._health_by_vm.setdefault(vm, ExecutorHealth())
        seconds = latency.total_seconds()
        if health.latency:
            seconds = health.latency + LATENCY_WEIGHT * (seconds - health.latency)
        health.latency = seconds
        health.failures_in_row = 0
        health.ejections = 0
        health.ejected_until = health.trial_until = None
        self.on_outcome(vm, False, False)

    def failed(self, service: str, vm: str, *, silent: bool = False) -> None:
        """Note a refused connection, a broken exchange or silence."""
        self.on_outcome(vm, True, silent)
        health = self._health_by_vm.setdefault(vm, ExecutorHealth())
        health.failures_in_row += 1
        again = health.ejected_until is not None
        if again or health.failures_in_row >= FAILURES_TO_EJECT:
            self._eject(service, vm, health)

    def forget_except(self, names: Iterable[str]) -> None:
        """Drop what is known of executors that no longer exist."""
        kept = set(names)
        for name in [n for n in self._health_by_vm if n not in kept]:
            del self._health_by_vm[name]

    def decision(self, service: str, chosen: str) -> Decision:
        """Return the record of a routed request."""
        candidates = tuple(
            Candidate(name, self._reason(name, chosen), round(self._score(name), 4))
            for name in self._executors(service)
        )
        trial = self._is_ejected(chosen)
        return Decision(
            self._clock.now(),
            DecisionKind.ROUTE,
            f"service/{service}",
            chosen,
            RouteReason.TRIAL if trial else RouteReason.CHOSEN,
            candidates,
        )

    def _eject(self, service: str, vm: str, health: ExecutorHealth) -> None:
        if health.ejected_until is None:
            names = self._executors(service)
            ejected = sum(self._is_ejected(name) for name in names if name != vm)
            if ejected + 1 > len(names) * MAX_EJECTED_SHARE:
                return
        backoff = min(MAX_EJECTION, FIRST_EJECTION * 2 ** min(health.ejections, 10))
        health.ejections += 1
        health.ejected_until = self._clock.monotonic() + backoff
        health.trial_until = None

    def _reason(self, name: str, chosen: str) -> RouteReason:
        health = self._health_by_vm.get(name)
        if name == chosen:
            return RouteReason.TRIAL if self._is_ejected(name) else RouteReason.CHOSEN
        if health is not None and health.trial_until is not None:
            return RouteReason.TRIAL_RUNNING
        if self._is_ejected(name):
            return RouteReason.EJECTED
        if self._load_of(name) >= 1.0:
            return RouteReason.BUSY
        return RouteReason.LESS_PREFERRED

    def _is_any_ejected(self, names: list[str]) -> bool:
        return any(self._is_ejected(name) for name in names)

    def _is_ejected(self, name: str) -> bool:
        health = self._health_by_vm.get(name)
        return health is not None and health.ejected_until is not None

    def _usable(self, name: str, now: timedelta) -> bool:
        health = self._health_by_vm[name]
        if health.ejected_until is None:
            return True
        trial_open = health.trial_until is None or health.trial_until <= now
        return health.ejected_until <= now and trial_open

    def _score(self, name: str) -> float:
        """Return the cost of an executor; lower is better."""
        health = self._health_by_vm.get(name)
        cost = LOAD_COST * self._load_of(name)
        if self._zone and self._zone_of(name) != self._zone:
            cost += ZONE_COST
        if health is not None:
            cost += FAILURE_COST * health.failures_in_row + health.latency
        return cost
