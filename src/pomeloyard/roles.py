"""Roles that one daemon at a time holds, with a fencing token."""

from __future__ import annotations

import random
import types
from collections.abc import Callable, Coroutine, Generator
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

import anyio
import logbook

from .clock import Clock
from .concurrency import both
from .errors import LeaseLostError, PomeloyardError, StoreError
from .fleet_state import RoleRecord
from .keyvalue import layout
from .keyvalue.records import (
    Change,
    ConflictError,
    Versioned,
    commit_changes,
    decode_record,
    read_record,
)
from .keyvalue.store import PollingStore, Store

ROLE_TTL = timedelta(seconds=5)
RENEW_INTERVAL = timedelta(seconds=1.5)
VACANCY_WAIT = timedelta(seconds=10)
"""Longest poll for a vacancy; a silent poll costs the candidate no more."""
EPOCHS = "epochs/"

log = logbook.Logger("pomeloyard.roles")


@dataclass(frozen=True, slots=True)
class RoleTimes:
    """How long a role's lease lasts and how often it is renewed.

    ``head_start`` delays a candidate that is less suited, so that others win.
    """

    ttl: timedelta = ROLE_TTL
    renew_interval: timedelta = RENEW_INTERVAL
    head_start: timedelta = timedelta(0)
    polls: bool = False
    """Whether candidates learn of a vacancy by a poll of the store's changes."""


@dataclass(frozen=True, slots=True)
class HeldRole:
    """A role that was taken."""

    epoch: int
    """Fencing token; higher than that of every earlier holder."""
    epoch_revision: int
    """Store revision of the epoch's record, for writes that only the holder may do."""
    vacant_at: timedelta
    """When the role was seen vacant, by the clock's monotonic time; the holder before
    had stopped by then."""
    still_held: Callable[[], bool] = lambda: True
    """Tells whether no other daemon can have taken the role; asked right before each
    effect, as the process may have been paused since the last wait."""


class RoleLostError(PomeloyardError):
    """The role may be held by another daemon; its work must stop."""


class RoleCandidate:
    """Tries to hold a role and runs its work while it does.

    ``work`` is called with the role that was taken. Each time the work continues
    after waiting, the lease is checked first, so that a holder that was paused does
    nothing more. Tasks that the work starts itself are not covered; they call
    ``still_held``.
    """

    def __init__(
        self,
        store: Store,
        clock: Clock,
        name: str,
        incarnation: str,
        work: Callable[[HeldRole], Coroutine[Any, Any, None]],
        times: RoleTimes | None = None,
    ) -> None:
        self._times = times or RoleTimes()
        self._store = store
        self._clock = clock
        self._name = name
        self._incarnation = incarnation
        self._work = work
        self._held_until: timedelta | None = None

    def still_held(self) -> bool:
        """Tell whether no other daemon can have taken the role.

        True until the store lease ends, and during an outage for as long as the
        store was found unreachable within the last lease time: nobody else can
        take the role then. After a pause it is False until the lease is renewed.
        """
        until = self._held_until
        return until is not None and self._clock.monotonic() < until

    async def run(self) -> None:
        """Compete for the role until cancelled."""
        await self._end_former_lease()
        await self._clock.sleep(self._times.head_start)
        vacant_at: timedelta | None = None
        while True:
            try:
                await self._compete(vacant_at)
            except (StoreError, ConflictError) as error:
                log.debug("role {}: {}", self._name, error)
            vacant_at = await self._await_vacancy()

    async def _end_former_lease(self) -> None:
        """End the lease that an earlier process of this name holds.

        That process is gone, as this one runs in its place; others need not wait for
        the lease. A name that no earlier process had ends nothing.
        """
        try:
            entry = await self._store.get(layout.ROLES + self._name)
            if entry is None or not entry.lease:
                return
            if decode_record(entry, RoleRecord).value.holder == self._incarnation:
                log.info("role {} was held by the process before", self._name)
                await self._store.revoke_lease(entry.lease)
        except StoreError as error:
            # Then the lease ends by itself.
            log.info("role {}: {}", self._name, error)

    async def _await_vacancy(self) -> timedelta | None:
        """Wait for a change of the role's key, or for a renewal interval.

        Return when the role was seen vacant, or None if it may be held.
        """
        vacant_at: timedelta | None = None
        store = self._store
        if not (self._times.polls and isinstance(store, PollingStore)):
            pause = self._times.renew_interval * random.uniform(0.8, 1.2)
            await self._clock.sleep(pause)
            return None
        key = layout.ROLES + self._name
        try:
            page = await store.scan(key)
            if not page.entries:
                vacant_at = self._clock.monotonic()
            else:
                batch = await store.poll_changes(key, page.revision, VACANCY_WAIT)
                if batch.events and batch.events[-1].entry is None:
                    vacant_at = self._clock.monotonic()
        except StoreError as error:
            log.debug("role {}: {}", self._name, error)
            pause = self._times.renew_interval * random.uniform(0.4, 0.8)
            await self._clock.sleep(pause)
        await self._clock.sleep(self._times.head_start)
        return vacant_at

    async def _compete(self, vacant_at: timedelta | None) -> None:
        """Take the role if it is vacant and hold it.

        With a vacancy that was seen, the store is asked for as little as possible in
        turn, as a slow one takes a third of a second for each answer.
        """
        if vacant_at is None:
            if await self._store.get(layout.ROLES + self._name) is not None:
                return
            vacant_at = self._clock.monotonic()
        asked_at = self._clock.monotonic()
        lease, earlier = await both(
            lambda: self._store.grant_lease(self._times.ttl),
            lambda: read_record(self._store, EPOCHS + self._name, int),
        )
        try:
            held = await self._take(lease, earlier, vacant_at)
            self._held_until = asked_at + self._times.ttl
            log.info(
                "{} holds role {} epoch {}", self._incarnation, self._name, held.epoch
            )
            await self._hold(lease, held)
        finally:
            self._held_until = None
            with anyio.CancelScope(shield=True):
                await self._give_up(lease)

    async def _take(
        self, lease: int, earlier: Versioned[int] | None, vacant_at: timedelta
    ) -> HeldRole:
        """Create the holder's record and raise the epoch in one transaction."""
        epoch = (earlier.value if earlier else 0) + 1
        role = RoleRecord(self._incarnation, epoch)
        revision = await commit_changes(
            self._store,
            [
                Change(layout.ROLES + self._name, role, None, lease=lease),
                Change(EPOCHS + self._name, epoch, earlier),
            ],
        )
        return HeldRole(epoch, revision, vacant_at, self.still_held)

    async def _give_up(self, lease: int) -> None:
        """Let others take the role at once; otherwise the lease expires."""
        try:
            await self._store.revoke_lease(lease)
        except StoreError as error:
            log.debug("role {}: {}", self._name, error)

    async def _hold(self, lease: int, held: HeldRole) -> None:
        """Run the work until the lease is lost."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._run_work, held, tasks.cancel_scope)
            while await self._renew(lease):
                await self._clock.sleep(self._times.renew_interval)
            tasks.cancel_scope.cancel()
        log.info("{} lost role {} epoch {}", self._incarnation, self._name, held.epoch)

    async def _run_work(self, held: HeldRole, scope: anyio.CancelScope) -> None:
        name, epoch = self._name, held.epoch
        try:
            await _guarded(self._work(held), self.still_held)
        except RoleLostError:
            log.warning("work of role {} epoch {} stopped", name, epoch)
        except Exception as error:
            if _only_lost(error):
                log.warning("work of role {} epoch {} stopped", name, epoch)
            else:
                # The role is given up, and the daemon's requests are not affected.
                log.exception("work of role {} epoch {} failed", name, epoch)
        scope.cancel()

    async def _renew(self, lease: int) -> bool:
        """Renew the lease; return False when the role is or may be lost."""
        if not self.still_held():
            return False
        asked_at = self._clock.monotonic()
        ttl = self._times.ttl
        try:
            ttl = min(ttl, await self._store.keep_lease_alive(lease))
        except LeaseLostError:
            self._held_until = None
            return False
        except StoreError as error:
            # Nobody can take the role while the store is down. A holder that
            # is cut off alone is stopped by its outdated fencing token.
            log.debug("role {}: {}", self._name, error)
        if self.still_held():
            self._held_until = asked_at + ttl
        return self.still_held()


def _only_lost(error: Exception) -> bool:
    """Tell whether a task group failed for nothing but the loss of the role."""
    return isinstance(error, ExceptionGroup) and error.split(RoleLostError)[1] is None


@types.coroutine
def _guarded(
    coroutine: Coroutine[Any, Any, None], guard: Callable[[], bool]
) -> Generator[Any, Any, None]:
    """Run a coroutine; raise RoleLostError in it if ``guard`` fails on resumption."""
    try:
        awaited = coroutine.send(None)
        while True:
            error: BaseException | None = None
            value = None
            try:
                value = yield awaited
            except BaseException as caught:
                error = caught
            # A cancellation is passed on, as the work then ends anyway.
            if not guard() and (error is None or isinstance(error, Exception)):
                error = RoleLostError("the lease ended while the work waited")
            awaited = coroutine.throw(error) if error else coroutine.send(value)
    except StopIteration:
        return
    finally:
        coroutine.close()
