"""Interface through which executor links report to the placing term."""

from __future__ import annotations

from collections.abc import Callable, Collection, Coroutine
from datetime import timedelta
from typing import TYPE_CHECKING, Any, Protocol

import anyio

from .executors import EndedTask, RunningTask, StartAnswer
from .placed_run import PlacedRun
from .progress import EndKind, Task

if TYPE_CHECKING:
    from .executor_link import ExecutorLink


class LinkHandler(Protocol):
    """Callbacks of the placing term for the events of a link."""

    first_polls: anyio.Semaphore
    """Limits how many links make their first poll at once."""

    def handle_run_begun(self, placed: PlacedRun) -> None:
        """Record that an executor has started a run, or lists it."""

    def handle_run_end(
        self, link: ExecutorLink, placed: PlacedRun, kind: EndKind, saved: str
    ) -> None:
        """Record that a run has ended."""

    def handle_crash(
        self, link: ExecutorLink, runs: Collection[PlacedRun], evidence: str
    ) -> None:
        """Record that an executor has crashed under some runs, before these end."""

    def handle_trial_passed(self, link: ExecutorLink, placed: PlacedRun) -> None:
        """Record that a run on trial has not crashed its executor."""

    def handle_unassigned_end(self, link: ExecutorLink, end: EndedTask) -> str:
        """Record the end of a run that is not assigned; return the job it changed."""
        ...

    def handle_run_status(
        self, link: ExecutorLink, placed: PlacedRun, row: RunningTask
    ) -> None:
        """Process the state that an executor reports for a running task."""

    def handle_refused_start(
        self, link: ExecutorLink, placed: PlacedRun, answer: StartAnswer
    ) -> None:
        """Record that a start was certainly not carried out."""

    def handle_link_change(self, link: ExecutorLink) -> None:
        """React to an executor that became usable or unusable."""

    async def wait_until_durable(self, job_ids: Collection[str]) -> None:
        """Wait until all recorded changes of some jobs are durable."""

    def spawn(
        self,
        link: ExecutorLink | None,
        work: Callable[..., Coroutine[Any, Any, None]],
        *args: object,
    ) -> None:
        """Run a coroutine function in the background of the term."""

    def may_disrupt(self, placed: PlacedRun) -> bool:
        """Tell whether a stop stays within the disruption budget of the run's step."""
        ...

    def may_start_on(self, link: ExecutorLink, task: Task) -> bool:
        """Tell whether the start of an assigned task may be sent to an executor now."""
        ...

    async def wait_until_current(self) -> None:
        """Wait until evacuations and capacities are known well enough for starts."""

    def handle_stale_fence(self, link: ExecutorLink) -> None:
        """End the term, as an executor has seen a higher fencing token."""

    def handle_reused_id(self, link: ExecutorLink) -> None:
        """Record that an executor has restarted under its previous id."""

    def awake_until(self) -> timedelta:
        """Return a time until which this process was certainly not paused."""
        ...

    def handle_lost_call(self, link: ExecutorLink) -> None:
        """Record that a call to an executor got no answer."""

    def calls_are_lost(self) -> bool:
        """Tell whether calls to several executors were lost recently."""
        ...
