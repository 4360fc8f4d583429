"""Grant and withdraw keys; a withdrawal takes effect before it is stored."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, replace
from datetime import timedelta
from enum import Enum

import logbook

from .clock import Clock
from .decisions import Decision, DecisionKind, DecisionLog
from .errors import RefusedError, StoreError
from .fleet_state import FleetState
from .follower import adopt_keys
from .keys import MAX_KEYS, KeyRecord, KeyRing, Role, new_key
from .keyvalue import layout
from .keyvalue.records import Change, ConflictError, commit_changes, read_record
from .keyvalue.store import Store
from .outcomes import RefusalReason, Refused
from .peers.messages import KeyWithdrawn, Message

CONFLICT_ATTEMPTS = 8
CONFLICT_DELAY = timedelta(seconds=0.05)
RETRY_INTERVAL = timedelta(seconds=1)
MAX_RETRY_INTERVAL = timedelta(seconds=8)

log = logbook.Logger("pomeloyard.keys")


class KeyReason(Enum):
    """Reason of a decision about a key."""

    GRANTED = "granted"
    WITHDRAWN = "withdrawn"
    TOMBSTONE_STORED = "tombstone-stored"


@dataclass(frozen=True, slots=True)
class Withdrawal:
    """Result of a withdrawal, which is already in force at this daemon.

    ``stored`` tells whether it was written to the store, ``known`` whether the key
    was found in the key ring, ``peers`` how many daemons were notified.
    """

    key_id: str
    stored: bool
    known: bool
    peers: int


class KeyService:
    """Updates the key ring in the store by compare-and-swap."""

    def __init__(
        self,
        store: Store,
        clock: Clock,
        state: FleetState,
        broadcast: Callable[[Message], int],
        decisions: DecisionLog,
    ) -> None:
        self._store = store
        self._clock = clock
        self._state = state
        self._broadcast = broadcast
        self._decisions = decisions

    async def grant(
        self, team: str, role: Role | None, by: str
    ) -> tuple[str, KeyRecord]:
        """Return the text of a new key, which is never shown again, and its record."""
        if bool(team) == (role is not None):
            raise _refused(RefusalReason.INVALID_INPUT, "give either a team or a role")
        if team and team not in self._state.config.teams_by_name:
            raise _refused(RefusalReason.NOT_FOUND, f"no team {team[:64]}")
        text, record = new_key(team, role)
        record = replace(
            record, granted_at=self._clock.now().isoformat(), granted_by=by
        )

        def add(ring: KeyRing) -> KeyRing:
            if len(ring.valid_ids()) >= MAX_KEYS:
                raise _refused(RefusalReason.LIMIT_REACHED, f"{MAX_KEYS} keys")
            return ring.with_key(record)

        await self._change(add)
        self._record(record.key_id, KeyReason.GRANTED, by)
        return text, record

    async def withdraw(self, key_id: str, by: KeyRecord) -> Withdrawal:
        """Withdraw a key immediately here and at all peers, then in the store."""
        known = await self._is_known(key_id)
        record = self._state.keys.keys_by_id.get(key_id)
        if (
            record is not None
            and record.role is not None
            and by.role is not Role.PUBLISH
        ):
            detail = "operators' keys need the role publish"
            raise _refused(RefusalReason.ROLE_INSUFFICIENT, detail)
        self._state.withdrawn_key_ids.add(key_id)
        peers = self._broadcast(KeyWithdrawn(key_id))
        self._record(key_id, KeyReason.WITHDRAWN, by.key_id)
        try:
            await self.store_withdrawals()
            stored = known
        except (StoreError, ConflictError) as error:
            log.warning("withdrawal of key {} not stored yet: {}", key_id, error)
            stored = False
        return Withdrawal(key_id, stored, known, peers)

    async def store_withdrawals(self) -> None:
        """Write all withdrawals that are not in the store yet."""
        pending = self.pending()
        if not pending:
            return
        await self._change(lambda ring: ring)
        for key_id in sorted(pending):
            self._record(key_id, KeyReason.TOMBSTONE_STORED, "daemon")

    def pending(self) -> frozenset[str]:
        """Return the ids of withdrawn keys that are still valid in the key ring."""
        return self._state.keys.valid_ids() & self._state.withdrawn_key_ids

    async def run(self) -> None:
        """Retry storing withdrawals made during a store outage, here or at a peer."""
        delay = RETRY_INTERVAL
        while True:
            # With jitter, usually one daemon writes first and the others see its write.
            await self._clock.sleep(delay * random.uniform(0.5, 1.5))
            try:
                await self.store_withdrawals()
                delay = RETRY_INTERVAL
            except (StoreError, ConflictError) as error:
                log.debug("withdrawals of keys not stored: {}", error)
                delay = min(delay * 2, MAX_RETRY_INTERVAL)

    async def _is_known(self, key_id: str) -> bool:
        """Tell whether the key exists; raises RefusedError if it certainly does not.

        If the store cannot be read, the withdrawal is accepted anyway, because a
        peer may hold a newer key ring.
        """
        if key_id in self._state.keys.keys_by_id:
            return True
        try:
            current = await read_record(self._store, layout.KEYS, KeyRing)
        except StoreError:
            return False
        if current is None or key_id not in current.value.keys_by_id:
            raise _refused(RefusalReason.NOT_FOUND, f"no key {key_id[:64]}")
        adopt_keys(self._state, current.value)
        return True

    async def _change(self, change: Callable[[KeyRing], KeyRing]) -> None:
        """Apply a change and all known withdrawals to the key ring in the store."""
        for attempt in range(CONFLICT_ATTEMPTS):
            current = await read_record(self._store, layout.KEYS, KeyRing)
            ring = current.value if current else KeyRing()
            changed = change(ring)
            pending = changed.valid_ids() & self._state.withdrawn_key_ids
            if pending:
                at = self._clock.now().isoformat()
                changed = changed.with_keys_withdrawn(pending, at)
            if changed is not ring:
                changed = KeyRing(ring.version + 1, changed.keys_by_id)
                try:
                    await commit_changes(
                        self._store, [Change(layout.KEYS, changed, current)]
                    )
                except ConflictError:
                    if attempt == CONFLICT_ATTEMPTS - 1:
                        raise
                    await self._clock.sleep(
                        CONFLICT_DELAY * random.uniform(0, attempt + 1)
                    )
                    continue
            adopt_keys(self._state, changed)
            return

    def _record(self, key_id: str, reason: KeyReason, by: str) -> None:
        at = self._clock.now()
        self._decisions.record(
            Decision(
                at,
                DecisionKind.KEY,
                f"key/{key_id}",
                reason.value,
                reason,
                inputs={"by": by},
            )
        )


def _refused(reason: RefusalReason, detail: str) -> RefusedError:
    return RefusedError(Refused(reason, detail))
