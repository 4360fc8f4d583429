"""Claims on idempotency keys: which daemon runs a keyed request.

The holder of the key's partition grants each claim once. A claim exists until it
is released, because the request certainly did not run, or until the claim window
has passed. It names the daemon that runs the request; that daemon knows whether
the request is running or done (``results.py``).
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, replace
from datetime import timedelta

from ..outcomes import RefusalReason, Refused

CLAIM_WINDOW = timedelta(minutes=10)
"""Time for which a claim is kept after it was granted."""

MAX_REQUEST_TIME = CLAIM_WINDOW / 2
"""Latest time to send a request; its claim cannot have expired by then."""

MAX_CLAIMS = 50_000
"""Maximum number of claims at one daemon; further keyed requests are refused.

With nine daemons this allows 750 keyed requests per second over the whole window.
"""

CLAIM_BYTES = 512
"""Upper bound on the memory of one claim; see measurements/requests.py."""

UNKNOWN_RUNNER = ""
HASH_BYTES = 16
RETRY_AFTER = timedelta(seconds=1)


@dataclass(frozen=True, slots=True)
class Claim:
    """Permission of daemon ``runner`` to run a key's request once.

    ``attempt`` distinguishes claims of the same runner for the same key.
    ``granted_at`` is in seconds of the local daemon's monotonic clock.
    """

    key_hash: bytes
    fingerprint: bytes
    runner: str
    attempt: int
    granted_at: float


def hash_claim_key(team: str, service: str, key: str) -> bytes:
    """Return the hash that identifies an idempotency key.

    >>> len(hash_claim_key("mill", "orders", "a"))
    16
    """
    return _digest(team.encode(), service.encode(), key.encode())


def fingerprint_request(method: str, target: str, body: bytes) -> bytes:
    """Return the hash that tells a repeated request from a different one."""
    return _digest(method.encode(), target.encode(), body)


def _digest(*parts: bytes) -> bytes:
    digest = hashlib.sha256()
    for part in parts:
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return digest.digest()[:HASH_BYTES]


class ClaimTable:
    """Claims by partition and key, bounded in number and in age."""

    def __init__(self, limit: int = MAX_CLAIMS) -> None:
        self._limit = limit
        self._claims_by_partition: dict[int, dict[bytes, Claim]] = {}
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def try_claim(self, partition: int, claim: Claim) -> Claim | Refused | None:
        """Add a claim; return None, the earlier claim or the refusal."""
        self.expire(claim.granted_at)
        claims = self._claims_by_partition.setdefault(partition, {})
        earlier = claims.get(claim.key_hash)
        if earlier is not None:
            if earlier.fingerprint != claim.fingerprint:
                return Refused(
                    RefusalReason.KEY_REUSED, "the key belongs to another request"
                )
            return earlier
        if self._count >= self._limit:
            return Refused(
                RefusalReason.CLAIM_UNAVAILABLE, "too many claims", RETRY_AFTER
            )
        claims[claim.key_hash] = claim
        self._count += 1
        return None

    def add(self, partition: int, claims: Iterable[Claim]) -> None:
        """Add claims from the store or from other daemons, ordered by age.

        If two claims differ for one key, one was released, but it is not known
        which: the key is then claimed by an unknown runner. The limit does not
        apply, because dropping a claim could let its request run twice.
        """
        known = self._claims_by_partition.get(partition, {})
        merged = dict(known)
        for claim in claims:
            earlier = merged.get(claim.key_hash, claim)
            if (earlier.runner, earlier.attempt) != (claim.runner, claim.attempt):
                latest = max(earlier.granted_at, claim.granted_at)
                claim = replace(
                    claim, runner=UNKNOWN_RUNNER, attempt=0, granted_at=latest
                )
            merged[claim.key_hash] = claim
        ordered = sorted(merged.values(), key=lambda claim: claim.granted_at)
        self._claims_by_partition[partition] = {c.key_hash: c for c in ordered}
        self._count += len(ordered) - len(known)

    def get(self, partition: int, key_hash: bytes) -> Claim | None:
        """Return the claim of a key."""
        return self._claims_by_partition.get(partition, {}).get(key_hash)

    def release(
        self, partition: int, key_hash: bytes, runner: str, attempt: int
    ) -> Claim | None:
        """Remove and return a claim if runner and attempt match."""
        claims = self._claims_by_partition.get(partition, {})
        claim = claims.get(key_hash)
        if claim is None or (claim.runner, claim.attempt) != (runner, attempt):
            return None
        del claims[key_hash]
        self._count -= 1
        return claim

    def drop_partition(self, partition: int) -> None:
        """Drop the claims of a partition that another daemon holds now."""
        self._count -= len(self._claims_by_partition.pop(partition, {}))

    def claims(self, partition: int) -> list[Claim]:
        """Return a partition's claims, oldest first."""
        return list(self._claims_by_partition.get(partition, {}).values())

    def granted_since(self, partition: int, oldest: float) -> Iterator[Claim]:
        """Yield the claims granted at ``oldest`` or later, newest first."""
        claims = self._claims_by_partition.get(partition, {})
        for claim in reversed(claims.values()):
            if claim.granted_at < oldest:
                return
            yield claim

    def expire(self, now: float) -> None:
        """Drop claims older than the claim window."""
        horizon = now - CLAIM_WINDOW.total_seconds()
        for claims in self._claims_by_partition.values():
            while claims:
                first = next(iter(claims))
                if claims[first].granted_at > horizon:
                    break
                del claims[first]
                self._count -= 1
