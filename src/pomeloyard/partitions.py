"""Partitions of countable capacity and of the idempotency key space."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, replace

DEFAULT_PARTITIONS = 18


@dataclass(frozen=True, slots=True)
class Partition:
    """Holder of one partition; ``holder`` is an incarnation or empty.

    ``clean`` tells whether the former holder released it with nothing running.
    """

    number: int
    holder: str = ""
    epoch: int = 0
    clean: bool = True
    former: str = ""


@dataclass(frozen=True, slots=True)
class PartitionTable:
    """All partitions, by number."""

    partitions: tuple[Partition, ...]

    def held_by(self, incarnation: str) -> tuple[int, ...]:
        """Return the numbers of the partitions of a holder."""
        return tuple(p.number for p in self.partitions if p.holder == incarnation)

    def holders(self) -> frozenset[str]:
        """Return all incarnations that hold a partition."""
        return frozenset(p.holder for p in self.partitions if p.holder)

    def with_holder(self, number: int, holder: str, *, clean: bool) -> PartitionTable:
        """Return the table after a change of holder."""
        old = self.partitions[number]
        new = replace(
            old,
            holder=holder,
            epoch=old.epoch + 1,
            clean=clean,
            former=old.holder or old.former,
        )
        changed = (*self.partitions[:number], new, *self.partitions[number + 1 :])
        return PartitionTable(changed)


def new_table(count: int = DEFAULT_PARTITIONS) -> PartitionTable:
    """Return a table of partitions without holders."""
    return PartitionTable(tuple(Partition(number) for number in range(count)))


def base_amount(name: str, total: int, partition: int, count: int) -> int:
    """Return how many of ``total`` units of a resource a partition carries.

    The amounts of all partitions sum to ``total``. The remainder starts at a
    partition that depends on the name, so that small totals spread evenly.

    >>> sum(base_amount("cut-1", 8, p, 18) for p in range(18))
    8
    """
    offset = int.from_bytes(hashlib.sha256(name.encode()).digest()[:4]) % count
    position = (partition + offset) % count
    return total * (position + 1) // count - total * position // count


def partition_of(key_hash: bytes, count: int) -> int:
    """Return the partition that owns an idempotency key."""
    return int.from_bytes(key_hash[:8]) % count
