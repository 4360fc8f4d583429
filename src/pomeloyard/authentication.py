"""Authentication of callers and operators by bearer key."""

from __future__ import annotations

import hmac

from .errors import RefusedError
from .fleet_state import FleetState
from .keys import ROLE_RANK, KeyRecord, Role, find_key, hash_key
from .outcomes import RefusalReason, Refused


def authenticate_team(state: FleetState, header: str | None) -> KeyRecord:
    """Return the key record of a caller; raises RefusedError."""
    record = _authenticate(state, header)
    if not record.team:
        raise RefusedError(Refused(RefusalReason.KEY_INVALID, "not a team's key"))
    return record


def authenticate_operator(
    state: FleetState, header: str | None, role: Role
) -> KeyRecord:
    """Return the key record of an operator who has at least ``role``."""
    record = _authenticate(state, header)
    if record.role is None or ROLE_RANK[record.role] < ROLE_RANK[role]:
        raise RefusedError(Refused(RefusalReason.ROLE_INSUFFICIENT, role.value))
    return record


def _authenticate(state: FleetState, header: str | None) -> KeyRecord:
    scheme, _, text = (header or "").partition(" ")
    if scheme.lower() != "bearer" or not text:
        raise RefusedError(Refused(RefusalReason.KEY_MISSING))
    text = text.strip()
    record = find_key(state.keys, text, state.withdrawn_key_ids)
    if record is None:
        record = _bootstrap_record(state, text)
    if record is None:
        raise RefusedError(Refused(RefusalReason.KEY_INVALID))
    return record


def _bootstrap_record(state: FleetState, text: str) -> KeyRecord | None:
    """Return the first operator's record, valid until a publisher's key exists."""
    if any(
        record.role is Role.PUBLISH and not record.withdrawn
        for record in state.keys.keys_by_id.values()
    ):
        return None
    if not hmac.compare_digest(state.bootstrap_sha256, hash_key(text)):
        return None
    return KeyRecord("bootstrap", state.bootstrap_sha256, role=Role.PUBLISH)
