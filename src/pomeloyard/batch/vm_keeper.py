"""Maintains and moves VMs during a term of the placing role."""

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
from .decisions import DecisionLines
from .follow import OperatorFollower
from .guarded_records import GuardedRecords
from .recent_orders import RecentOrders
from .vm_listing import VmListing
from .vm_mover import PoolYard, VmMover
from .vm_orders import RETRY_DELAY, VmOrders
from .vms import VmService
from .wave_runner import WaveRunner, WaveStatus, WaveYard

STEP_INTERVAL = timedelta(milliseconds=250)
"""Between steps while no job comes."""
MIN_STEP_INTERVAL = timedelta(milliseconds=100)
"""Between steps in a peak; a VM takes 1.5 s to come, and callers wait for it."""
PAUSE_FACTOR = 9
"""The pause is this many times as long as the look before it, so that looks at the
pools of a large fleet (9 ms with 400 jobs) take a tenth of the processor at most."""
TAKEOVER_SLACK = timedelta(milliseconds=300)
"""Beyond the time within which two holders must not order one VM."""

log = logbook.Logger("pomeloyard.batch.vm_keeper")


def shortest_pause(look_time: timedelta) -> timedelta:
    """Return the pause after a look at the pools that no job makes shorter.

    >>> shortest_pause(timedelta(milliseconds=2)) / timedelta(milliseconds=1)
    100.0
    >>> shortest_pause(timedelta(milliseconds=20)) / timedelta(milliseconds=1)
    180.0
    >>> shortest_pause(timedelta(seconds=1)) == STEP_INTERVAL
    True
    """
    return min(STEP_INTERVAL, max(MIN_STEP_INTERVAL, PAUSE_FACTOR * look_time))


class Yard(WaveYard, PoolYard, Protocol):
    """What the keeper needs of the placing term."""


class VmKeeper:
    """Reads the list of VMs, carries out waves and lends VMs between pools."""

    def __init__(
        self,
        clock: Clock,
        store: Store,
        follower: OperatorFollower,
        service: VmService,
        status: WaveStatus,
        lines: DecisionLines,
        yard: Yard,
        holder: str,
        role: HeldRole,
        guard: Compare,
        *,
        upkeep_time: timedelta,
        move_time: timedelta,
        takeover_pause: timedelta,
    ) -> None:
        self._clock = clock
        self._follower = follower
        self._yard = yard
        records = GuardedRecords(clock, store, guard)
        self._listing = VmListing(clock, service, lines, yard.links_by_id)
        self._recent = RecentOrders(
            clock, records, takeover_pause + TAKEOVER_SLACK, role.vacant_at
        )
        self._orders = VmOrders(
            clock, self._listing, self._recent, yard.availability, yard.end_term
        )
        self._waves = WaveRunner(
            clock,
            records,
            follower,
            service,
            status,
            lines,
            yard,
            self._listing,
            self._orders,
            holder,
            role.epoch,
            upkeep_time,
        )
        self._mover = VmMover(
            records,
            service,
            lines,
            yard,
            self._listing,
            self._orders,
            holder,
            role.epoch,
            move_time,
        )
        self._loaded = False
        self._look_time = timedelta(0)
        """How long the last look at the pools took."""
        self._arrival = anyio.Event()

    def job_arrived(self) -> None:
        """Look at the pools soon, as a job may be the start of a peak."""
        self._arrival.set()

    async def run(self) -> None:
        """Work until cancelled."""
        while True:
            now = self._clock.monotonic()
            try:
                if self._listing.is_due(now):
                    self._orders.finish(await self._listing.read())
                await self._step(now)
            except StaleFenceError as error:
                self._yard.end_term(str(error))
                return
            except (CallNotSentError, CallUnansweredError, StoreError) as error:
                log.info("VMs are not kept for now: {}", error)
                await self._clock.sleep(RETRY_DELAY)
            await self._pause()

    async def _pause(self) -> None:
        """Wait for the next step, which a job that comes makes earlier."""
        self._arrival = anyio.Event()
        shortest = shortest_pause(self._look_time)
        await self._clock.sleep(shortest)
        async with anyio.create_task_group() as tasks:
            rest = STEP_INTERVAL - shortest
            tasks.start_soon(self._end_pause_later, rest, tasks.cancel_scope)
            await self._arrival.wait()
            tasks.cancel_scope.cancel()

    async def _end_pause_later(
        self, delay: timedelta, scope: anyio.CancelScope
    ) -> None:
        await self._clock.sleep(delay)
        scope.cancel()

    async def _step(self, now: timedelta) -> None:
        configuration = self._follower.current
        if configuration is None:
            return
        if not self._loaded:
            await self._recent.load()
            if not await self._mover.load():
                self._yard.end_term("the epoch was replaced")
                return
            self._loaded = True
        waiting = self._yard.demand.waiting()
        for wave in list(self._follower.waves_by_id.values()):
            await self._waves.advance(wave, waiting, now)
        began_at = self._clock.monotonic()
        self._mover.move(configuration, waiting, self._waves.reserved_at, now)
        self._look_time = self._clock.monotonic() - began_at
