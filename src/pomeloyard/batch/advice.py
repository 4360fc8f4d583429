"""Advice on which executors may run a step, for queues with such a policy."""

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

MAX_ASKED = 30
"""Executors in one question; an answer takes longer for each."""
EXPIRY_MARGIN = timedelta(milliseconds=200)
"""A ticket is not used in the last moments of its validity."""
RETRY_DELAY = timedelta(milliseconds=250)
ANSWER_SLACK = timedelta(seconds=2)
"""Time for an answer beyond what the advice itself takes."""

log = logbook.Logger("pomeloyard.batch.advice")


@dataclass(frozen=True, slots=True)
class Advice:
    """Tickets of the executors that may run a step, and how long they hold."""

    ticket_by_executor: dict[str, str]
    valid: timedelta


class AdviceService(ABC):
    """The operators' service that decides; it takes one question at a time.

    Raises CallNotSentError or CallUnansweredError, also when it has too many calls.
    """

    @abstractmethod
    async def advise(
        self, step: str, executors: Sequence[str], timeout: timedelta
    ) -> Advice:
        """Ask which of some executors may run a step."""


@dataclass
class _StepAdvice:
    asked: set[str]
    good: dict[str, tuple[str, timedelta]]
    """Ticket and its expiry, by executor; whether one is good does not change."""


class Advisor:
    """Asks for advice in the order of the waiting steps and keeps the tickets."""

    def __init__(
        self, clock: Clock, service: AdviceService, answered: Callable[[], None]
    ) -> None:
        self._clock = clock
        self._service = service
        self._answered = answered
        self._by_step: dict[str, _StepAdvice] = {}
        self._wanted: list[tuple[StepRun, list[str], timedelta]] = []
        self._work = anyio.Event()

    def tickets(self, step: StepRun, now: timedelta) -> dict[str, str]:
        """Return the tickets that hold now, by executor."""
        known = self._by_step.get(step.name)
        if known is None:
            return {}
        return {
            executor: ticket
            for executor, (ticket, expires_at) in known.good.items()
            if now < expires_at
        }

    def reject(self, step: StepRun, executor: str) -> None:
        """Forget a ticket that an executor did not take."""
        known = self._by_step.get(step.name)
        if known is not None and executor in known.good:
            known.good[executor] = ("", timedelta(0))

    def forget(self, job_id: str) -> None:
        """Forget all steps of a job."""
        prefix = f"{job_id}."
        for name in [n for n in self._by_step if n.startswith(prefix)]:
            del self._by_step[name]

    def clear_wanted(self) -> None:
        """Begin a new order of questions."""
        self._wanted = []

    def want(
        self, step: StepRun, executors: Sequence[str], duration: timedelta
    ) -> None:
        """Ask about a step after those that were wanted before.

        ``executors`` are those with room, best first; ``duration`` is how long the
        service takes at most.
        """
        known = self._by_step.get(step.name)
        chosen = [e for e in executors if known is None or e in known.good]
        if known is not None and not chosen:
            chosen = [e for e in executors if e not in known.asked]
        self._wanted = [wanted for wanted in self._wanted if wanted[0] is not step]
        if chosen:
            self._wanted.append((step, chosen[:MAX_ASKED], duration))
            self._work.set()

    async def run(self) -> None:
        """Ask one question at a time until cancelled."""
        while True:
            if not self._wanted:
                self._work = anyio.Event()
                await self._work.wait()
                continue
            step, executors, duration = self._wanted.pop(0)
            timeout = duration + ANSWER_SLACK
            try:
                advice = await self._service.advise(step.name, executors, timeout)
            except (CallNotSentError, CallUnansweredError) as error:
                log.info("no advice on {}: {}", step.name, error)
                await self._clock.sleep(RETRY_DELAY)
                self._answered()
                continue
            self._note(step, executors, advice)
            self._answered()

    def _note(self, step: StepRun, executors: Sequence[str], advice: Advice) -> None:
        known = self._by_step.setdefault(step.name, _StepAdvice(set(), {}))
        known.asked.update(executors)
        expires_at = self._clock.monotonic() + advice.valid - EXPIRY_MARGIN
        for executor, ticket in advice.ticket_by_executor.items():
            known.good[executor] = (ticket, expires_at)
