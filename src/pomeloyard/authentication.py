"""Authentication of callers and operators by bearer keys."""

from __future__ import annotations

import hmac

import logbook

from .errors import RefusedError
from .fleet_state import FleetState
from .keys import (
    ROLE_RANK,
    KeyRecord,
    Role,
    find_key_by_hash,
    hash_key,
    key_id_of,
)
from .outcomes import RefusalReason, Refused

MAX_KEY_LENGTH = 200

log = logbook.Logger("pomeloyard.authentication")


def authenticate_team(state: FleetState, header: str | None) -> KeyRecord:
    """Return the key record of a caller's team; raises RefusedError."""
    record = _authenticate(state, header)
    if not record.team:
        raise _failure(
            state, RefusalReason.KEY_INVALID, record.key_id, "not a team's key"
        )
    return record


def authenticate_operator(
    state: FleetState, header: str | None, role: Role
) -> KeyRecord:
    """Return the key record of an operator with at least ``role``."""
    record = _authenticate(state, header)
    if record.role is None or ROLE_RANK[record.role] < ROLE_RANK[role]:
        detail = f"this needs the role {role.value}"
        raise _failure(state, RefusalReason.ROLE_INSUFFICIENT, record.key_id, detail)
    return record


def _authenticate(state: FleetState, header: str | None) -> KeyRecord:
    scheme, _, text = (header or "").partition(" ")
    text = text.strip()
    if scheme.lower() != "bearer" or not text:
        raise _failure(state, RefusalReason.KEY_MISSING)
    if len(text) > MAX_KEY_LENGTH:
        raise _failure(state, RefusalReason.KEY_INVALID)
    key_id, sha256 = key_id_of(text), hash_key(text)
    record = find_key_by_hash(state.keys, key_id, sha256, state.withdrawn_key_ids)
    if record is None:
        record = _bootstrap_record(state, sha256)
    if record is None:
        # Don't log an unknown id: it is the caller's input and may be a secret.
        known = key_id if key_id in state.keys.keys_by_id else ""
        raise _failure(state, RefusalReason.KEY_INVALID, known)
    return record


def _failure(
    state: FleetState, reason: RefusalReason, key_id: str = "", detail: str = ""
) -> RefusedError:
    state.failed_authentications[reason.value] += 1
    log.info("authentication failed: {} key_id={}", reason.value, key_id or "unknown")
    return RefusedError(Refused(reason, detail))


def _bootstrap_record(state: FleetState, sha256: str) -> KeyRecord | None:
    """Return the bootstrap key's record, valid until a publisher's key is granted."""
    if any(
        record.role is Role.PUBLISH and not record.withdrawn
        for record in state.keys.keys_by_id.values()
    ):
        return None
    if not hmac.compare_digest(state.bootstrap_sha256, sha256):
        return None
    return KeyRecord("bootstrap", state.bootstrap_sha256, role=Role.PUBLISH)
