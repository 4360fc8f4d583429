"""Advice on which executors may run a step, for queues that require it."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from datetime import timedelta

import anyio
import logbook

from ..clock import Clock
from ..errors import CallNotSentError, CallUnansweredError
from .progress import StepRun

MAX_EXECUTORS_PER_REQUEST = 30
"""Limit on executors in one request; each of them adds to the response time."""
EXPIRY_MARGIN = timedelta(milliseconds=200)
"""Time before its expiry from which a ticket is no longer used."""
RETRY_DELAY = timedelta(milliseconds=250)
RESPONSE_MARGIN = timedelta(seconds=2)
"""Time-out of a request beyond the time that the decision takes."""

log = logbook.Logger("pomeloyard.batch.advice")


@dataclass(frozen=True, slots=True)
class Advice:
    """Tickets of the executors that may run a step, and their validity."""

    ticket_by_executor: dict[str, str]
    valid: timedelta


class AdviceService(ABC):
    """The operators' advice service, which accepts one request at a time.

    Raises CallNotSentError or CallUnansweredError, also if the service is overloaded.
    """

    @abstractmethod
    async def advise(
        self, step: str, executors: Sequence[str], timeout: timedelta
    ) -> Advice:
        """Request tickets for the executors that may run a step."""


@dataclass
class _StepAdvice:
    requested: set[str]
    tickets: dict[str, tuple[str, timedelta]]
    """Ticket and its expiry by executor; the approval of an executor is permanent."""


class Advisor:
    """Requests advice for waiting steps in order and caches the tickets."""

    def __init__(
        self, clock: Clock, service: AdviceService, answered: Callable[[], None]
    ) -> None:
        self._clock = clock
        self._service = service
        self._answered = answered
        self._by_step: dict[str, _StepAdvice] = {}
        self._queue: list[tuple[StepRun, list[str], timedelta]] = []
        self._queue_filled = anyio.Event()

    def valid_tickets(self, step: StepRun, now: timedelta) -> dict[str, str]:
        """Return the valid tickets of a step, by executor."""
        cached = self._by_step.get(step.name)
        if cached is None:
            return {}
        return {
            executor: ticket
            for executor, (ticket, expires_at) in cached.tickets.items()
            if now < expires_at
        }

    def discard_ticket(self, step: StepRun, executor: str) -> None:
        """Discard a ticket that an executor rejected."""
        cached = self._by_step.get(step.name)
        if cached is not None and executor in cached.tickets:
            cached.tickets[executor] = ("", timedelta(0))

    def discard_job(self, job_id: str) -> None:
        """Discard the advice on all steps of a job."""
        prefix = f"{job_id}."
        for name in [n for n in self._by_step if n.startswith(prefix)]:
            del self._by_step[name]

    def clear_queue(self) -> None:
        """Discard the queued requests, to rebuild them in a new order."""
        self._queue = []

    def enqueue(
        self, step: StepRun, executors: Sequence[str], duration: timedelta
    ) -> None:
        """Append a request for a step to the queue, replacing an earlier one.

        ``executors`` are those with free capacity, best first; ``duration`` is the
        maximum response time of the service.
        """
        cached = self._by_step.get(step.name)
        selected = [e for e in executors if cached is None or e in cached.tickets]
        if cached is not None and not selected:
            selected = [e for e in executors if e not in cached.requested]
        self._queue = [request for request in self._queue if request[0] is not step]
        if selected:
            self._queue.append((step, selected[:MAX_EXECUTORS_PER_REQUEST], duration))
            self._queue_filled.set()

    async def run(self) -> None:
        """Send one request at a time until cancelled."""
        while True:
            if not self._queue:
                self._queue_filled = anyio.Event()
                await self._queue_filled.wait()
                continue
            step, executors, duration = self._queue.pop(0)
            timeout = duration + RESPONSE_MARGIN
            try:
                advice = await self._service.advise(step.name, executors, timeout)
            except (CallNotSentError, CallUnansweredError) as error:
                log.info("advice request for step {} failed: {}", step.name, error)
                await self._clock.sleep(RETRY_DELAY)
                self._answered()
                continue
            self._store(step, executors, advice)
            self._answered()

    def _store(self, step: StepRun, executors: Sequence[str], advice: Advice) -> None:
        cached = self._by_step.setdefault(step.name, _StepAdvice(set(), {}))
        cached.requested.update(executors)
        expires_at = self._clock.monotonic() + advice.valid - EXPIRY_MARGIN
        for executor, ticket in advice.ticket_by_executor.items():
            cached.tickets[executor] = (ticket, expires_at)
