"""Leader election: each role is held by one daemon at a time, with a fencing token."""

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
from .concurrency import run_both
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
VACANCY_POLL_TIMEOUT = timedelta(seconds=10)
"""Longest poll for a vacancy. If the poll gets no response, the candidate loses no more
time than this."""
FAILURE_PAUSE = timedelta(seconds=0.5)
"""Pause of a candidate after its work has failed."""
YIELD_PAUSE = timedelta(seconds=3)
"""Likewise after it gave the role up for want of progress: long enough for every other
daemon to take it."""
MAX_PAUSE = timedelta(seconds=10)
MAX_DOUBLINGS = 5
STABLE_TIME = timedelta(seconds=20)
"""Work that lasted for this long was sound."""
EPOCHS = "epochs/"

log = logbook.Logger("pomeloyard.roles")


@dataclass(frozen=True, slots=True)
class RoleTimes:
    """How long a role's lease lasts and how often it is renewed.

    ``candidacy_delay`` delays a less suited candidate, so that better suited ones
    acquire the role first.
    """

    ttl: timedelta = ROLE_TTL
    renew_interval: timedelta = RENEW_INTERVAL
    candidacy_delay: timedelta = timedelta(0)
    polls_for_vacancy: bool = False
    """Whether candidates detect a vacancy by polling the store for changes."""
    max_unconfirmed: timedelta | None = None
    """How long a holder may continue after the request of its last renewal that the
    store confirmed; None if only refused renewals end the role. Needed where the next
    holder cannot reach every peer with its higher fencing token."""


@dataclass(frozen=True, slots=True)
class HeldRole:
    """A role that this daemon has acquired."""

    epoch: int
    """Fencing token; higher than that of every earlier holder."""
    epoch_revision: int
    """Store revision of the epoch's record, to guard writes of the holder alone."""
    vacant_at: timedelta
    """Monotonic time at which the role was found vacant; the previous holder had
    stopped by then."""
    still_held: Callable[[], bool] = lambda: True
    """Tells whether the work may continue. Call it right before each side effect, as
    the process may have been paused since the last wait."""
    is_confirmed: Callable[[], bool] = lambda: False
    """Tells whether the store has confirmed the renewals of the last moments; False
    if that is not known."""


class RoleLostError(PomeloyardError):
    """Another daemon may hold the role, so the work under it must stop."""


class RoleYieldedError(PomeloyardError):
    """The work cannot go on here, though the role is still held."""


class RoleCandidate:
    """Competes for a role and runs its work while holding it.

    ``work`` is called with the acquired role. Each time the work resumes after an
    await, the lease is checked first, so that a holder whose process was paused past
    its lease does nothing more. Tasks that the work starts itself are not checked;
    they must call ``still_held``.

    After work that failed or gave the role up, the candidate competes again only after
    a pause, which grows until a work has lasted for ``STABLE_TIME``: other daemons
    come first, and a state in which the work fails everywhere does not make the role
    change hands all the time.
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
        self._confirmed_at = timedelta(0)
        """When the last renewal that the store confirmed was requested."""
        self._failures = 0
        """Recent works that failed or gave the role up."""
        self._pause = timedelta(0)
        """Pause before competing again."""

    def is_confirmed(self) -> bool:
        """Tell whether the store has confirmed the renewals of the last moments."""
        age = self._clock.monotonic() - self._confirmed_at
        return self._held_until is not None and age <= 3 * self._times.renew_interval

    def still_held(self) -> bool:
        """Tell whether the work of the role may continue.

        True until the store lease expires. While the store cannot be reached it stays
        True as long as a renewal was attempted within the last lease time, but no
        longer than ``max_unconfirmed`` after the last confirmed one: in an outage for
        all no other daemon can acquire the role, but this daemon may be the only one
        that is cut off. After a pause of the process it is False.
        """
        until = self._held_until
        return until is not None and self._clock.monotonic() < until

    async def run(self) -> None:
        """Compete for the role until cancelled."""
        await self._revoke_former_lease()
        await self._clock.sleep(self._times.candidacy_delay)
        vacant_at: timedelta | None = None
        while True:
            try:
                await self._acquire_and_hold(vacant_at)
            except (StoreError, ConflictError) as error:
                log.debug("role {} not acquired: {}", self._name, error)
            if self._pause:
                await self._clock.sleep(self._pause)
                self._pause = timedelta(0)
            vacant_at = await self._await_vacancy()

    async def _revoke_former_lease(self) -> None:
        """Revoke the lease that an earlier process with this name still holds.

        That process has ended, as this one replaces it, so the role need not stay
        unheld until the lease expires. Does nothing if there was no such process.
        """
        try:
            entry = await self._store.get(layout.ROLES + self._name)
            if entry is None or not entry.lease:
                return
            if decode_record(entry, RoleRecord).value.holder == self._incarnation:
                log.info("role {} was held by the previous process", self._name)
                await self._store.revoke_lease(entry.lease)
        except StoreError as error:
            # The lease then expires by itself.
            log.info("former lease of role {} not revoked: {}", self._name, error)

    async def _await_vacancy(self) -> timedelta | None:
        """Wait for a change of the role's key, or for about one renewal interval.

        Return the time at which the role was found vacant, or None if it may be held.
        """
        vacant_at: timedelta | None = None
        store = self._store
        if not (self._times.polls_for_vacancy and isinstance(store, PollingStore)):
            pause = self._times.renew_interval * random.uniform(0.8, 1.2)
            await self._clock.sleep(pause)
            return None
        key = layout.ROLES + self._name
        try:
            page = await store.scan(key)
            if not page.entries:
                vacant_at = self._clock.monotonic()
            else:
                batch = await store.poll_changes(
                    key, page.revision, VACANCY_POLL_TIMEOUT
                )
                if batch.events and batch.events[-1].entry is None:
                    vacant_at = self._clock.monotonic()
        except StoreError as error:
            log.debug("vacancy of role {} not polled: {}", self._name, error)
            pause = self._times.renew_interval * random.uniform(0.4, 0.8)
            await self._clock.sleep(pause)
        await self._clock.sleep(self._times.candidacy_delay)
        return vacant_at

    async def _acquire_and_hold(self, vacant_at: timedelta | None) -> None:
        """Acquire the role if it is vacant, and hold it.

        After a detected vacancy, as few store calls as possible are made one after
        the other, as a slow store takes a third of a second for each.
        """
        if vacant_at is None:
            if await self._store.get(layout.ROLES + self._name) is not None:
                return
            vacant_at = self._clock.monotonic()
        asked_at = self._clock.monotonic()
        lease, earlier = await run_both(
            lambda: self._store.grant_lease(self._times.ttl),
            lambda: read_record(self._store, EPOCHS + self._name, int),
        )
        try:
            held = await self._acquire(lease, earlier, vacant_at)
            self._confirmed_at = asked_at
            self._held_until = self._held_from(asked_at, self._times.ttl)
            log.info(
                "{} holds role {} epoch {}", self._incarnation, self._name, held.epoch
            )
            await self._hold(lease, held)
        finally:
            self._held_until = None
            with anyio.CancelScope(shield=True):
                await self._release(lease)

    async def _acquire(
        self, lease: int, earlier: Versioned[int] | None, vacant_at: timedelta
    ) -> HeldRole:
        """Create the holder's record and increment the epoch in one transaction."""
        epoch = (earlier.value if earlier else 0) + 1
        role = RoleRecord(self._incarnation, epoch)
        revision = await commit_changes(
            self._store,
            [
                Change(layout.ROLES + self._name, role, None, lease=lease),
                Change(EPOCHS + self._name, epoch, earlier),
            ],
        )
        return HeldRole(epoch, revision, vacant_at, self.still_held, self.is_confirmed)

    async def _release(self, lease: int) -> None:
        """Revoke the lease, so that others need not wait until it expires."""
        try:
            await self._store.revoke_lease(lease)
        except StoreError as error:
            log.debug("lease of role {} not revoked: {}", self._name, error)

    async def _hold(self, lease: int, held: HeldRole) -> None:
        """Run the work and renew the lease until it is lost."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._run_work, held, tasks.cancel_scope)
            while await self._renew(lease):
                await self._clock.sleep(self._times.renew_interval)
            tasks.cancel_scope.cancel()
        log.info("{} lost role {} epoch {}", self._incarnation, self._name, held.epoch)

    async def _run_work(self, held: HeldRole, scope: anyio.CancelScope) -> None:
        name, epoch = self._name, held.epoch
        began_at = self._clock.monotonic()
        try:
            await _guarded(self._work(held), self.still_held)
        except RoleLostError:
            log.warning("work of role {} epoch {} stopped", name, epoch)
        except RoleYieldedError as error:
            log.warning("work of role {} epoch {} given up: {}", name, epoch, error)
            self._pause_after_failure(began_at, YIELD_PAUSE)
        except Exception as error:
            if _is_only_role_loss(error):
                log.warning("work of role {} epoch {} stopped", name, epoch)
            else:
                # The role is released; the daemon goes on serving requests.
                log.exception("work of role {} epoch {} failed", name, epoch)
                self._pause_after_failure(began_at, FAILURE_PAUSE)
        scope.cancel()

    def _pause_after_failure(self, began_at: timedelta, shortest: timedelta) -> None:
        if self._clock.monotonic() - began_at >= STABLE_TIME:
            self._failures = 0
        self._failures += 1
        pause = shortest * 2 ** min(self._failures - 1, MAX_DOUBLINGS)
        self._pause = min(pause, MAX_PAUSE) * random.uniform(0.8, 1.2)
        log.info("competing for role {} again in {}", self._name, self._pause)

    async def _renew(self, lease: int) -> bool:
        """Renew the lease; return False when the role is or may be lost."""
        if not self.still_held():
            return False
        asked_at = self._clock.monotonic()
        ttl = self._times.ttl
        try:
            ttl = min(ttl, await self._store.keep_lease_alive(lease))
            self._confirmed_at = asked_at
        except LeaseLostError:
            self._held_until = None
            return False
        except StoreError as error:
            # No daemon can acquire the role while the store is down. If only this
            # holder has lost its connection, its stale fencing token stops it where
            # the next holder has been, and ``max_unconfirmed`` elsewhere.
            log.debug("lease of role {} not renewed: {}", self._name, error)
        if self.still_held():
            self._held_until = self._held_from(asked_at, ttl)
        return self.still_held()

    def _held_from(self, asked_at: timedelta, ttl: timedelta) -> timedelta:
        """Return until when the role is held after a renewal requested at a time."""
        until = asked_at + ttl
        if self._times.max_unconfirmed is not None:
            until = min(until, self._confirmed_at + self._times.max_unconfirmed)
        return until


def _is_only_role_loss(error: Exception) -> bool:
    """Tell whether a task group failed only because the role was lost."""
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
            # A cancellation is passed on unchanged, as it ends the work as well.
            if not guard() and (error is None or isinstance(error, Exception)):
                error = RoleLostError("the lease expired while the work was suspended")
            awaited = coroutine.throw(error) if error else coroutine.send(value)
    except StopIteration:
        return
    finally:
        coroutine.close()
