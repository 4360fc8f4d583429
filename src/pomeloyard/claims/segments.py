"""Storage of claims as segments, which are merged in tiers.

A segment is one stored value with the claims of one or more group commits. Once a
tier has ``MERGE_SEGMENTS`` segments, the next commit replaces them by one segment
of the next tier, so that a takeover reads a few dozen values and every claim is
rewritten at most ``MAX_TIER`` times.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

import msgpack

from ..errors import PomeloyardError
from ..keyvalue import layout
from ..keyvalue.store import Entry
from .table import CLAIM_WINDOW, Claim, ClaimTable

MERGE_SEGMENTS = 16
MAX_TIER = 3
MAX_SEGMENT_CLAIMS = 8000
"""At less than 80 bytes per claim, a segment's value stays below 1 MB."""


class SegmentError(PomeloyardError):
    """A claim segment in the store is malformed."""


@dataclass(frozen=True, slots=True)
class Segment:
    """A stored segment; times are in seconds of the local monotonic clock."""

    key: str
    tier: int
    oldest: float
    newest: float


def partition_prefix(partition: int) -> str:
    """Return the key prefix of a partition's segments.

    >>> partition_prefix(3)
    'claims/0003/'
    """
    return f"{layout.CLAIMS}{partition:04d}/"


def segment_key(partition: int, epoch: int, number: int) -> str:
    """Return a segment's key; epochs only increase, so no key is reused."""
    return f"{partition_prefix(partition)}{epoch:010d}-{number:08d}"


def encode_segment(tier: int, claims: Iterable[Claim], clock_offset: float) -> bytes:
    """Encode a segment; times are stored as UTC timestamps in seconds."""
    numbers_by_runner: dict[str, int] = {}
    rows = [
        (
            claim.key_hash,
            claim.fingerprint,
            numbers_by_runner.setdefault(claim.runner, len(numbers_by_runner)),
            claim.attempt,
            round(claim.granted_at + clock_offset, 3),
        )
        for claim in claims
    ]
    value: bytes = msgpack.packb([tier, list(numbers_by_runner), rows])
    return value


def decode_segment(entry: Entry, clock_offset: float) -> tuple[Segment, list[Claim]]:
    """Decode a segment and its claims; raises SegmentError."""
    try:
        tier, runners, rows = msgpack.unpackb(entry.value)
        claims = [
            Claim(key, fingerprint, runners[number], attempt, at - clock_offset)
            for key, fingerprint, number, attempt, at in rows
        ]
    except (ValueError, TypeError, LookupError, msgpack.UnpackException) as error:
        raise SegmentError(f"{entry.key}: {error!r}") from error
    return _segment(entry.key, tier, claims), claims


def _segment(key: str, tier: int, claims: list[Claim]) -> Segment:
    times = [claim.granted_at for claim in claims]
    return Segment(key, tier, min(times, default=0.0), max(times, default=0.0))


@dataclass(frozen=True, slots=True)
class SegmentWrite:
    """Changes that one commit makes to a partition's segments."""

    put: tuple[tuple[Segment, bytes], ...]
    delete: tuple[Segment, ...]
    claims: tuple[Claim, ...]


class SegmentIndex:
    """Segments of one partition under its current holder."""

    def __init__(self, partition: int, epoch: int) -> None:
        self.partition = partition
        self.epoch = epoch
        self.segments: list[Segment] = []
        self._next_number = 1

    def plan_write(
        self, table: ClaimTable, new: list[Claim], now: float, clock_offset: float
    ) -> SegmentWrite:
        """Return the segments to write for ``new`` claims and those to delete."""
        horizon = now - CLAIM_WINDOW.total_seconds()
        delete = [s for s in self.segments if s.newest <= horizon]
        live = [s for s in self.segments if s.newest > horizon]
        tier = 0
        written = tuple(new)
        while new and tier < MAX_TIER:
            merged = [s for s in live if s.tier == tier]
            if len(merged) < MERGE_SEGMENTS:
                break
            delete += merged
            live = [s for s in live if s.tier != tier]
            oldest = min(s.oldest for s in merged)
            # The table is ordered by age, so these include the merged segments' claims.
            new = [*new, *table.granted_since(self.partition, oldest)]
            tier += 1
        rows = list({claim.key_hash: claim for claim in new}.values())
        put = tuple(
            self._encode(tier, rows[i : i + MAX_SEGMENT_CLAIMS], clock_offset)
            for i in range(0, len(rows), MAX_SEGMENT_CLAIMS)
        )
        return SegmentWrite(put, tuple(delete), written)

    def apply_write(self, write: SegmentWrite) -> None:
        """Update the index after a planned write was committed."""
        deleted = set(write.delete)
        self.segments = [s for s in self.segments if s not in deleted]
        self.segments += [segment for segment, _ in write.put]

    def _encode(
        self, tier: int, claims: list[Claim], clock_offset: float
    ) -> tuple[Segment, bytes]:
        key = segment_key(self.partition, self.epoch, self._next_number)
        self._next_number += 1
        return _segment(key, tier, claims), encode_segment(tier, claims, clock_offset)
