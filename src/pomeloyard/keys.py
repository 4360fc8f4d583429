"""Keys of teams and operators, stored only as hashes."""

from __future__ import annotations

import hashlib
import hmac
import secrets
from collections.abc import Collection
from dataclasses import dataclass, field, replace
from enum import Enum

KEY_PREFIX = "py1"
NO_KEY_SHA256 = "0" * 64
"""Compared for an unknown key, so that its refusal takes as long."""
MAX_KEYS = 4000
"""Keys in the ring; at about 200 bytes each, it stays under the store's 1 MB."""
MAX_WITHDRAWN = 1000
"""Withdrawn keys kept for listing; keys without a record are refused as well."""


class Role(Enum):
    """Role of an operator's key; each includes the permissions of those before it."""

    READ = "read"
    OPERATE = "operate"
    PUBLISH = "publish"


ROLE_RANK = {Role.READ: 1, Role.OPERATE: 2, Role.PUBLISH: 3}


@dataclass(frozen=True, slots=True)
class KeyRecord:
    """A granted key, of an operator when ``role`` is set, else of a team."""

    key_id: str
    sha256: str
    team: str = ""
    role: Role | None = None
    withdrawn: bool = False
    granted_at: str = ""
    granted_by: str = ""
    withdrawn_at: str = ""


@dataclass(frozen=True, slots=True)
class KeyRing:
    """All keys; ``version`` increases with every change."""

    version: int = 0
    keys_by_id: dict[str, KeyRecord] = field(default_factory=dict)

    def with_key(self, record: KeyRecord) -> KeyRing:
        """Return a ring with ``record`` added."""
        return KeyRing(self.version + 1, {**self.keys_by_id, record.key_id: record})

    def with_key_withdrawn(self, key_id: str) -> KeyRing:
        """Return a ring in which the key is marked as withdrawn."""
        return self.with_keys_withdrawn((key_id,))

    def with_keys_withdrawn(self, key_ids: Collection[str], at: str = "") -> KeyRing:
        """Return a ring in which the keys are marked as withdrawn at ``at``.

        Only the most recently withdrawn keys are kept.
        """
        keys = dict(self.keys_by_id)
        for key_id in key_ids:
            keys[key_id] = replace(keys[key_id], withdrawn=True, withdrawn_at=at)
        withdrawn = sorted((k.withdrawn_at, i) for i, k in keys.items() if k.withdrawn)
        for _, key_id in withdrawn[:-MAX_WITHDRAWN]:
            del keys[key_id]
        return KeyRing(self.version + 1, keys)

    def valid_ids(self) -> frozenset[str]:
        """Return the ids of the keys that are not withdrawn."""
        return frozenset(i for i, k in self.keys_by_id.items() if not k.withdrawn)


def new_key(team: str = "", role: Role | None = None) -> tuple[str, KeyRecord]:
    """Return the text of a new key, which is shown once, and its record."""
    key_id = secrets.token_hex(6)
    text = f"{KEY_PREFIX}.{key_id}.{secrets.token_urlsafe(24)}"
    return text, KeyRecord(key_id, hash_key(text), team, role)


def hash_key(text: str) -> str:
    """Return the SHA-256 of a key's text, as hex."""
    return hashlib.sha256(text.encode()).hexdigest()


def key_id_of(text: str) -> str:
    """Return the public id within a key's text, or an empty string."""
    parts = text.split(".")
    return parts[1] if len(parts) == 3 and parts[0] == KEY_PREFIX else ""


def find_key(
    ring: KeyRing, text: str, withdrawn_ids: frozenset[str] | set[str] = frozenset()
) -> KeyRecord | None:
    """Return the record of a valid key, comparing hashes in constant time.

    >>> text, record = new_key(team="mill")
    >>> find_key(KeyRing().with_key(record), text).team
    'mill'
    >>> find_key(KeyRing().with_key(record), text + "x") is None
    True
    """
    return find_key_by_hash(ring, key_id_of(text), hash_key(text), withdrawn_ids)


def find_key_by_hash(
    ring: KeyRing,
    key_id: str,
    sha256: str,
    withdrawn_ids: frozenset[str] | set[str] = frozenset(),
) -> KeyRecord | None:
    """Return the record of a valid key from its id and the hash of its text."""
    record = ring.keys_by_id.get(key_id)
    expected = record.sha256 if record is not None else NO_KEY_SHA256
    matches = hmac.compare_digest(expected, sha256)
    if record is None or not matches:
        return None
    if record.withdrawn or record.key_id in withdrawn_ids:
        return None
    return record
