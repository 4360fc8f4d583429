"""Keys of teams and operators, kept only as hashes."""

from __future__ import annotations

import hashlib
import hmac
import secrets
from dataclasses import dataclass, field, replace
from enum import Enum

KEY_PREFIX = "py1"


class Role(Enum):
    """What an operator's key allows; each role includes those before it."""

    READ = "read"
    OPERATE = "operate"
    PUBLISH = "publish"


ROLE_RANK = {Role.READ: 1, Role.OPERATE: 2, Role.PUBLISH: 3}


@dataclass(frozen=True, slots=True)
class KeyRecord:
    """A granted key of a team, or of an operator when ``role`` is set."""

    key_id: str
    sha256: str
    team: str = ""
    role: Role | None = None
    withdrawn: bool = False


@dataclass(frozen=True, slots=True)
class KeyRing:
    """All keys; ``version`` grows with every change."""

    version: int = 0
    keys_by_id: dict[str, KeyRecord] = field(default_factory=dict)

    def with_key(self, record: KeyRecord) -> KeyRing:
        """Return a ring that also has ``record``."""
        return KeyRing(self.version + 1, {**self.keys_by_id, record.key_id: record})

    def without_key(self, key_id: str) -> KeyRing:
        """Return a ring in which the key is marked as withdrawn."""
        record = replace(self.keys_by_id[key_id], withdrawn=True)
        return KeyRing(self.version + 1, {**self.keys_by_id, key_id: record})


def new_key(team: str = "", role: Role | None = None) -> tuple[str, KeyRecord]:
    """Return the text of a new key, shown once, and its record."""
    key_id = secrets.token_hex(6)
    text = f"{KEY_PREFIX}.{key_id}.{secrets.token_urlsafe(24)}"
    return text, KeyRecord(key_id, hash_key(text), team, role)


def hash_key(text: str) -> str:
    """Return the SHA-256 of a key's text, as hex."""
    return hashlib.sha256(text.encode()).hexdigest()


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
    parts = text.split(".")
    if len(parts) != 3 or parts[0] != KEY_PREFIX:
        return None
    record = ring.keys_by_id.get(parts[1])
    expected = record.sha256 if record is not None else "0" * 64
    matches = hmac.compare_digest(expected, hash_key(text))
    if record is None or not matches:
        return None
    if record.withdrawn or record.key_id in withdrawn_ids:
        return None
    return record
