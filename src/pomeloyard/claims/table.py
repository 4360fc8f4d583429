"""Claims of idempotency keys: who runs a keyed request, for one window.

A claim is made once at the holder of the key's partition. It exists from the
grant until it is released (the request certainly did not run) or until the
window has passed. Whether the request is running or done is known by the daemon
that runs it (``results.py``), which the claim names.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, replace
from datetime import timedelta

from ..outcomes import RefusalReason, Refused

CLAIM_WINDOW = timedelta(minutes=10)
"""Time for which a key is remembered after its claim was granted."""

MAX_CLAIMS = 50_000
"""Claims held by one daemon; further keyed requests are refused.

With nine daemons this is 750 keyed requests per second over the whole window.
"""

CLAIM_BYTES = 512
"""Memory of one held claim in bytes, at most; see measurements/requests.py."""

UNKNOWN_RUNNER = ""
HASH_BYTES = 16
RETRY_AFTER = timedelta(seconds=1)


@dataclass(frozen=True, slots=True)
class Claim:
    """Right of daemon ``runner`` to run the request of a key once.

    ``attempt`` distinguishes claims of the same runner for the same key, and
    ``granted_at`` is in seconds of the keeping daemon's monotonic clock.
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
    """Return the hash by which a repeated request is recognized."""
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

    def request(self, partition: int, claim: Claim) -> Claim | Refused | None:
        """Enter a claim; return None, the earlier claim, or why it is refused."""
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
        """Enter claims known from the store or from other daemons, by age.

        Of two claims of one key, one has been released, but it is not known
        which: the key then counts as run by an unknown daemon. The limit does not
        apply, because forgetting a claim could let its request run twice.
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
        """Remove a claim if it is the stated attempt's, and return it."""
        claims = self._claims_by_partition.get(partition, {})
        claim = claims.get(key_hash)
        if claim is None or (claim.runner, claim.attempt) != (runner, attempt):
            return None
        del claims[key_hash]
        self._count -= 1
        return claim

    def drop_partition(self, partition: int) -> None:
        """Forget a partition that another daemon now holds."""
        self._count -= len(self._claims_by_partition.pop(partition, {}))

    def claims(self, partition: int) -> list[Claim]:
        """Return a partition's claims, oldest first."""
        return list(self._claims_by_partition.get(partition, {}).values())

    def since(self, partition: int, oldest: float) -> Iterator[Claim]:
        """Yield the claims granted at ``oldest`` or later, newest first."""
        claims = self._claims_by_partition.get(partition, {})
        for claim in reversed(claims.values()):
            if claim.granted_at < oldest:
                return
            yield claim

    def expire(self, now: float) -> None:
        """Drop the claims whose window has passed."""
        horizon = now - CLAIM_WINDOW.total_seconds()
        for claims in self._claims_by_partition.values():
            while claims:
                first = next(iter(claims))
                if claims[first].granted_at > horizon:
                    break
                del claims[first]
                self._count -= 1
