"""Roles that one daemon at a time holds, with a fencing token."""

from __future__ import annotations

import random
from collections.abc import Callable, Coroutine
from datetime import timedelta
from typing import Any

import anyio
import logbook

from .clock import Clock
from .errors import LeaseLostError, StoreError
from .fleet_state import RoleRecord
from .platform import layout
from .platform.records import Change, ConflictError, commit_changes, read_record
from .platform.store import Store

ROLE_TTL = timedelta(seconds=5)
RENEW_INTERVAL = timedelta(seconds=1.5)

log = logbook.Logger("pomeloyard.roles")


class RoleCandidate:
    """Tries to hold a role and runs its work while it does."""

    def __init__(
        self,
        store: Store,
        clock: Clock,
        name: str,
        incarnation: str,
        work: Callable[[int], Coroutine[Any, Any, None]],
    ) -> None:
        self._store = store
        self._clock = clock
        self._name = name
        self._incarnation = incarnation
        self._work = work

    async def run(self) -> None:
        """Compete for the role until cancelled."""
        while True:
            try:
                lease = await self._store.grant_lease(ROLE_TTL)
                epoch = await self._take(lease)
                if epoch is not None:
                    log.info(
                        "{} holds role {} epoch {}",
                        self._incarnation,
                        self._name,
                        epoch,
                    )
                    await self._hold(lease, epoch)
                else:
                    await self._store.revoke_lease(lease)
            except (StoreError, ConflictError) as error:
                log.debug("role {}: {}", self._name, error)
            await self._clock.sleep(RENEW_INTERVAL * random.uniform(0.8, 1.2))

    async def _take(self, lease: int) -> int | None:
        """Return the epoch of the role if this daemon now holds it."""
        holder_key = layout.ROLES + self._name
        if await self._store.get(holder_key) is not None:
            return None
        epoch_key = f"epochs/{self._name}"
        earlier = await read_record(self._store, epoch_key, int)
        epoch = (earlier.value if earlier else 0) + 1
        role = RoleRecord(self._incarnation, epoch)
        await commit_changes(
            self._store,
            [
                Change(holder_key, role, None, lease=lease),
                Change(epoch_key, epoch, earlier),
            ],
        )
        return epoch

    async def _hold(self, lease: int, epoch: int) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._work, epoch)
            while True:
                await self._clock.sleep(RENEW_INTERVAL)
                try:
                    await self._store.keep_lease_alive(lease)
                except LeaseLostError:
                    break
                except StoreError:
                    continue  # Nobody can take over while the store is down.
            tasks.cancel_scope.cancel()
