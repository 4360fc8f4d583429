"""Executor selection: ordering by cost, ejection and the retry budget."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

from ..clock import Clock
from ..decisions import Candidate, Decision, DecisionKind

CONSECUTIVE_FAILURES_TO_EJECT = 3
"""Consecutive failures after which an executor is ejected."""

FIRST_EJECTION_TIME = timedelta(seconds=2)
MAX_EJECTION_TIME = timedelta(seconds=60)
MAX_EJECTED_SHARE = 0.5
LATENCY_WEIGHT = 0.2
"""Weight of the newest latency in the moving average."""

RETRY_RATIO = 0.1
"""Tokens that each request adds; a retry or a hedged attempt costs one token."""

MAX_RETRY_TOKENS = 10.0
FAILURE_COST = 1.0
ZONE_COST = 0.25
LOAD_COST = 1.0


class RouteReason(Enum):
    """Reason why an executor was or was not chosen."""

    CHOSEN = "chosen"
    TRIAL = "trial-after-ejection"
    LESS_PREFERRED = "less-preferred"
    EJECTED = "ejected"
    TRIAL_RUNNING = "trial-running"
    BUSY = "no-free-slot"


@dataclass(slots=True)
class ExecutorHealth:
    """Health of an executor as observed by this daemon."""

    consecutive_failures: int = 0
    ejections: int = 0
    ejected_until: timedelta | None = None
    trial_until: timedelta | None = None
    latency: float = 0.0
    """Moving average in seconds; 0 before the first response."""


class RetryBudget:
    """Token bucket that limits retries and hedges to a share of the requests."""

    def __init__(
        self, share: float = RETRY_RATIO, limit: float = MAX_RETRY_TOKENS
    ) -> None:
        self._share = share
        self._limit = limit
        self._tokens = limit

    def record_request(self) -> None:
        """Add the tokens of a new request."""
        self._tokens = min(self._limit, self._tokens + self._share)

    def try_take(self) -> bool:
        """Take the token of one retry; return False if there is none."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class ExecutorRouter:
    """Orders a service's executors by load, zone, latency and failures."""

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
        """Called with an executor, whether it failed and whether it did not respond."""

    def rank(self, service: str, names: list[str]) -> list[str]:
        """Return names in order of preference, without the ejected ones."""
        health_by_vm = self._health_by_vm
        if not self._is_any_ejected(names):
            return sorted(names, key=self._cost)
        now = self._clock.monotonic()
        usable = [n for n in names if n not in health_by_vm or self._is_usable(n, now)]
        # Trials come first, otherwise a recovered executor might get no request.
        return sorted(usable, key=lambda n: (not self._is_ejected(n), self._cost(n)))

    def started(self, vm: str) -> None:
        """Record that a request is about to be sent, which may be a trial."""
        health = self._health_by_vm.get(vm)
        if health is not None and health.ejected_until is not None:
            health.trial_until = self._clock.monotonic() + FIRST_EJECTION_TIME

    def succeeded(self, vm: str, latency: timedelta) -> None:
        """Record a response and the time until its headers arrived."""
        health = self._health_by_vm.setdefault(vm, ExecutorHealth())
        seconds = latency.total_seconds()
        if health.latency:
            seconds = health.latency + LATENCY_WEIGHT * (seconds - health.latency)
        health.latency = seconds
        health.consecutive_failures = 0
        health.ejections = 0
        health.ejected_until = health.trial_until = None
        self.on_outcome(vm, False, False)

    def failed(self, service: str, vm: str, *, no_response: bool = False) -> None:
        """Record a refused connection, a failed exchange or a time-out."""
        self.on_outcome(vm, True, no_response)
        health = self._health_by_vm.setdefault(vm, ExecutorHealth())
        health.consecutive_failures += 1
        trial_failed = health.ejected_until is not None
        if trial_failed or health.consecutive_failures >= CONSECUTIVE_FAILURES_TO_EJECT:
            self._eject(service, vm, health)

    def retain_only(self, names: Iterable[str]) -> None:
        """Drop the health records of executors that no longer exist."""
        kept = set(names)
        for name in [n for n in self._health_by_vm if n not in kept]:
            del self._health_by_vm[name]

    def decision(self, service: str, chosen: str) -> Decision:
        """Return the decision record of a routed request."""
        candidates = tuple(
            Candidate(name, self._reason(name, chosen), round(self._cost(name), 4))
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
        backoff = min(
            MAX_EJECTION_TIME, FIRST_EJECTION_TIME * 2 ** min(health.ejections, 10)
        )
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

    def _is_usable(self, name: str, now: timedelta) -> bool:
        health = self._health_by_vm[name]
        if health.ejected_until is None:
            return True
        trial_open = health.trial_until is None or health.trial_until <= now
        return health.ejected_until <= now and trial_open

    def _cost(self, name: str) -> float:
        """Return the cost of an executor; lower is better."""
        health = self._health_by_vm.get(name)
        cost = LOAD_COST * self._load_of(name)
        if self._zone and self._zone_of(name) != self._zone:
            cost += ZONE_COST
        if health is not None:
            cost += FAILURE_COST * health.consecutive_failures + health.latency
        return cost
