"""Control loop that maintains and moves VMs during a term of the placing role."""

from __future__ import annotations

from datetime import timedelta
from typing import Protocol

import anyio
import logbook

from ..clock import Clock
from ..errors import (
    CallNotSentError,
    CallUnansweredError,
    StaleFenceError,
    StoreError,
)
from ..keyvalue.store import Compare, Store
from ..roles import HeldRole
from .configuration_follower import ConfigurationFollower
from .decision_log import JobDecisionLog
from .executor_link import ExecutorLink
from .fenced_records import FencedRecords
from .placed_run import LossCause
from .recent_orders import RecentOrders
from .vm_listing import VmListing
from .vm_mover import PoolTerm, VmMover
from .vm_orders import RETRY_DELAY, VmOrders
from .vms import VmService
from .wave_runner import WaveRunner, WaveStatus, WaveTerm

RECONCILE_INTERVAL = timedelta(milliseconds=250)
"""Interval between reconciliations while no job arrives."""
MIN_RECONCILE_INTERVAL = timedelta(milliseconds=100)
"""Shortest interval during a peak. A VM takes 1.5 s to become available, and callers
wait for it."""
PAUSE_FACTOR = 9
"""Ratio of the pause to the time that planning the moves took before it, so that
planning for a large fleet (9 ms with 400 jobs) takes at most a tenth of a CPU."""
TAKEOVER_SLACK = timedelta(milliseconds=300)
"""Added to the time within which two holders must not request operations on one VM."""

log = logbook.Logger("pomeloyard.batch.vm_keeper")


def min_pause(planning_time: timedelta) -> timedelta:
    """Return the shortest pause after planning; an arriving job ends a longer one.

    >>> min_pause(timedelta(milliseconds=2)) / timedelta(milliseconds=1)
    100.0
    >>> min_pause(timedelta(milliseconds=20)) / timedelta(milliseconds=1)
    180.0
    >>> min_pause(timedelta(seconds=1)) == RECONCILE_INTERVAL
    True
    """
    return min(
        RECONCILE_INTERVAL, max(MIN_RECONCILE_INTERVAL, PAUSE_FACTOR * planning_time)
    )


class VmTerm(WaveTerm, PoolTerm, Protocol):
    """The parts of a placing term that the control loop uses."""


class VmController:
    """Reads the list of VMs, runs maintenance waves and moves VMs between pools."""

    def __init__(
        self,
        clock: Clock,
        store: Store,
        follower: ConfigurationFollower,
        service: VmService,
        status: WaveStatus,
        decision_log: JobDecisionLog,
        term: VmTerm,
        holder: str,
        role: HeldRole,
        guard: Compare,
        *,
        maintenance_time: timedelta,
        move_time: timedelta,
        takeover_pause: timedelta,
    ) -> None:
        self._clock = clock
        self._follower = follower
        self._term = term
        records = FencedRecords(clock, store, guard)
        self._recent_orders = RecentOrders(
            clock, records, takeover_pause + TAKEOVER_SLACK, role.vacant_at
        )
        self._listing = VmListing(
            clock, service, decision_log, term.links_by_id, self._recent_orders
        )
        self._orders = VmOrders(
            clock,
            self._listing,
            self._recent_orders,
            term.disruption_budgets,
            term.end_term,
        )
        self._waves = WaveRunner(
            clock,
            records,
            follower,
            service,
            status,
            decision_log,
            term,
            self._listing,
            self._orders,
            holder,
            role.epoch,
            maintenance_time,
        )
        self._mover = VmMover(
            records,
            service,
            decision_log,
            term,
            self._listing,
            self._orders,
            follower.zone_gate,
            holder,
            role.epoch,
            move_time,
        )
        self._loaded = False
        self._planning_time = timedelta(0)
        """How long it took to plan the last moves."""
        self._job_arrival = anyio.Event()

    def job_arrived(self) -> None:
        """Reconcile soon, as a job may be the start of a peak."""
        self._job_arrival.set()

    def loss_cause(self, link: ExecutorLink) -> LossCause:
        """Return why an executor that is unreachable is gone."""
        return self._listing.loss_cause(link)

    async def run(self) -> None:
        """Run until cancelled."""
        while True:
            now = self._clock.monotonic()
            try:
                if self._listing.is_due(now):
                    self._orders.remove_finished(await self._listing.read())
                await self._reconcile(now)
            except StaleFenceError as error:
                self._term.end_term(str(error))
                return
            except (CallNotSentError, CallUnansweredError, StoreError) as error:
                log.info("VMs cannot be managed for now: {}", error)
                await self._clock.sleep(RETRY_DELAY)
            await self._pause()

    async def _pause(self) -> None:
        """Wait for the next reconciliation; an arriving job shortens the wait."""
        self._job_arrival = anyio.Event()
        shortest = min_pause(self._planning_time)
        await self._clock.sleep(shortest)
        async with anyio.create_task_group() as tasks:
            rest = RECONCILE_INTERVAL - shortest
            tasks.start_soon(self._end_pause_later, rest, tasks.cancel_scope)
            await self._job_arrival.wait()
            tasks.cancel_scope.cancel()

    async def _end_pause_later(
        self, delay: timedelta, scope: anyio.CancelScope
    ) -> None:
        await self._clock.sleep(delay)
        scope.cancel()

    async def _reconcile(self, now: timedelta) -> None:
        configuration = self._follower.current
        if configuration is None:
            return
        if not self._loaded:
            await self._recent_orders.load()
            if not await self._mover.load():
                self._term.end_term("the epoch was replaced")
                return
            self._loaded = True
        waiting = self._term.demand.backlog()
        for wave in list(self._follower.waves_by_id.values()):
            await self._waves.advance(wave, waiting, now)
        began_at = self._clock.monotonic()
        self._mover.move(configuration, waiting, self._waves.cordoned_at, now)
        self._planning_time = self._clock.monotonic() - began_at
