"""Request execution: claim, attempts within the retry budget, result."""

from __future__ import annotations

import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from datetime import timedelta
from functools import partial

import anyio

from ..claims.table import MAX_REQUEST_TIME
from ..clock import Clock
from ..config.model import ServiceConfig
from ..endpoints.client import Progress
from ..errors import OutcomeUnknownError, RefusedError
from ..fleet_state import FleetState
from ..outcomes import RefusalReason, Refused
from ..vm_platform.directory import VmRole
from .exchanges import Exchange, ExchangeSender, ServiceRequest
from .keyed import Answer, KeyedRequests
from .routing import RetryBudget

__all__ = ["Answer", "RequestService", "ServiceRequest"]

FIRST_BACKOFF = timedelta(milliseconds=20)
MAX_BACKOFF = timedelta(seconds=1)
MAX_ATTEMPTS = 4
RETRIABLE_REFUSALS = frozenset(
    {RefusalReason.ENDPOINT_UNREACHABLE, RefusalReason.NO_EXECUTOR}
)
"""Refusals after which another executor may accept the request."""


@dataclass(eq=False)
class _HedgedAttempts:
    """Hedged attempts of one request; the first response is used."""

    settled: anyio.Event = field(default_factory=anyio.Event)
    chosen: Exchange | None = None
    failures: list[RefusedError | OutcomeUnknownError] = field(default_factory=list)
    running: int = 0


class RequestService:
    """Runs requests on executors."""

    def __init__(
        self,
        clock: Clock,
        state: FleetState,
        sender: ExchangeSender,
        keyed: KeyedRequests,
    ) -> None:
        self._clock = clock
        self._state = state
        self._sender = sender
        self._keyed = keyed
        self._budget = RetryBudget()

    def service(self, name: str) -> ServiceConfig:
        """Return a service's configuration; raises RefusedError."""
        service = self._state.config.services_by_name.get(name)
        if service is None:
            raise RefusedError(Refused(RefusalReason.NOT_FOUND, f"no service {name}"))
        return service

    @asynccontextmanager
    async def run(self, request: ServiceRequest) -> AsyncIterator[Answer]:
        """Run a request and yield its answer while the body is being received.

        Raises RefusedError if it certainly did not run, and OutcomeUnknownError
        if it may have run; the latter also while the chunks are read.
        """
        deadline = self._deadline(request)
        run_once = partial(self._run_once, deadline)
        if request.idempotency_key and not request.idempotent:
            async with self._keyed.run(request, deadline, run_once) as answer:
                yield answer
        else:
            async with run_once(request, Progress()) as answer:
                yield answer

    def _deadline(self, request: ServiceRequest) -> timedelta:
        """Return the monotonic time after which the request must not be sent."""
        service = self.service(request.service)
        limit = request.timeout or service.queue_timeout + service.request_timeout
        return self._clock.monotonic() + min(limit, MAX_REQUEST_TIME)

    @asynccontextmanager
    async def _run_once(
        self, deadline: timedelta, request: ServiceRequest, progress: Progress
    ) -> AsyncIterator[Answer]:
        service = self.service(request.service)
        exchange = await self._open(request, service, deadline, progress)
        try:
            response = exchange.response
            yield Answer(response.status, response.headers, response.chunks())
        finally:
            with anyio.CancelScope(shield=True):
                await exchange.aclose()

    async def _open(
        self,
        request: ServiceRequest,
        service: ServiceConfig,
        deadline: timedelta,
        progress: Progress,
    ) -> Exchange:
        """Return the first exchange; retry and hedge where that is safe."""
        tried: set[str] = set()
        unknown: OutcomeUnknownError | None = None
        self._budget.record_request()
        for attempt in range(MAX_ATTEMPTS):
            try:
                return await self._attempt(request, service, deadline, tried, progress)
            except OutcomeUnknownError as error:
                unknown = error
                if not request.idempotent:
                    raise
            except RefusedError as error:
                # Not reported as refused if an earlier attempt may have run.
                if error.refusal.reason not in RETRIABLE_REFUSALS:
                    raise unknown or error from error
                if attempt + 1 == MAX_ATTEMPTS or not self._take_retry(request, tried):
                    raise unknown or error from error
            else:
                raise AssertionError("an attempt returns or raises")
            if unknown is not None and not self._take_retry(request, tried):
                raise unknown
            if not await self._back_off(attempt, deadline):
                break
        raise unknown or RefusedError(
            Refused(RefusalReason.DEADLINE_PASSED, service.name)
        )

    def _take_retry(self, request: ServiceRequest, tried: set[str]) -> bool:
        service = self.service(request.service)
        names = {
            vm.name for vm in self._state.available_vms(service.pool, VmRole.EXECUTOR)
        }
        return request.replayable and bool(names - tried) and self._budget.try_take()

    async def _back_off(self, attempt: int, deadline: timedelta) -> bool:
        """Wait before the next attempt; return False if the deadline would pass."""
        max_delay = min(MAX_BACKOFF, FIRST_BACKOFF * 2**attempt)
        delay = max_delay * random.uniform(0.5, 1.0)
        if self._clock.monotonic() + delay >= deadline:
            return False
        await self._clock.sleep(delay)
        return True

    async def _attempt(
        self,
        request: ServiceRequest,
        service: ServiceConfig,
        deadline: timedelta,
        tried: set[str],
        progress: Progress,
    ) -> Exchange:
        hedge_after = service.hedge_after
        if hedge_after is None or not (request.idempotent and request.replayable):
            return await self._sender.open(request, service, deadline, tried, progress)
        hedge = _HedgedAttempts()

        async def run_attempt() -> None:
            hedge.running += 1
            try:
                exchange = await self._sender.open(
                    request, service, deadline, tried, progress
                )
            except (RefusedError, OutcomeUnknownError) as error:
                hedge.failures.append(error)
            else:
                if hedge.chosen is None:
                    hedge.chosen = exchange
                else:
                    await exchange.aclose()
            finally:
                hedge.running -= 1
                if hedge.chosen is not None or hedge.running == 0:
                    hedge.settled.set()

        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(run_attempt)
                with anyio.move_on_after(hedge_after.total_seconds()):
                    await hedge.settled.wait()
                if not hedge.settled.is_set() and tried:
                    if self._take_retry(request, tried):
                        tasks.start_soon(run_attempt)
                    await hedge.settled.wait()
                elif not hedge.settled.is_set():
                    await hedge.settled.wait()
                tasks.cancel_scope.cancel()
        except BaseException:
            if hedge.chosen is not None:
                await hedge.chosen.aclose()
            raise
        return _chosen_exchange(hedge)


def _chosen_exchange(hedge: _HedgedAttempts) -> Exchange:
    if hedge.chosen is not None:
        return hedge.chosen
    for failure in hedge.failures:
        if isinstance(failure, OutcomeUnknownError):
            raise failure
    raise hedge.failures[0]
