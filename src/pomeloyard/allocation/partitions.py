"""Partitioning of countable capacity and of the idempotency key space."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, replace
from functools import lru_cache

DEFAULT_PARTITIONS = 18


@dataclass(frozen=True, slots=True)
class Partition:
    """One partition; ``holder`` is an incarnation, or empty without a holder.

    ``clean`` is true if the former holder released the partition itself.
    """

    number: int
    holder: str = ""
    epoch: int = 0
    clean: bool = True
    former: str = ""


@dataclass(frozen=True, slots=True)
class PartitionTable:
    """All partitions by number, and the members in the order they joined.

    A member is an incarnation that may hold partitions or loans. It removes
    itself once all its requests have ended; others remove it once it is confirmed
    gone and none of its requests can still be running.
    """

    partitions: tuple[Partition, ...]
    members: tuple[str, ...] = ()

    def partitions_held_by(self, incarnation: str) -> tuple[int, ...]:
        """Return the numbers of the partitions that an incarnation holds."""
        return tuple(p.number for p in self.partitions if p.holder == incarnation)

    def with_holder(self, number: int, holder: str, *, clean: bool) -> PartitionTable:
        """Return the table with a new holder and the next epoch for a partition."""
        old = self.partitions[number]
        new = replace(
            old,
            holder=holder,
            epoch=old.epoch + 1,
            clean=clean,
            former=old.holder or old.former,
        )
        changed = (*self.partitions[:number], new, *self.partitions[number + 1 :])
        return replace(self, partitions=changed)

    def with_member(self, incarnation: str) -> PartitionTable:
        """Return the table with a member added."""
        if incarnation in self.members:
            return self
        return replace(self, members=(*self.members, incarnation))

    def without_member(self, incarnation: str) -> PartitionTable:
        """Return the table without a member; it must not hold any partition."""
        members = tuple(m for m in self.members if m != incarnation)
        return replace(self, members=members)

    def is_superseded(self, incarnation: str) -> bool:
        """Return whether a newer incarnation of the same VM has joined."""
        if incarnation not in self.members:
            return False
        later = self.members[self.members.index(incarnation) + 1 :]
        return any(vm_name_of(member) == vm_name_of(incarnation) for member in later)


def new_table(count: int = DEFAULT_PARTITIONS) -> PartitionTable:
    """Return a table whose partitions have no holders."""
    return PartitionTable(tuple(Partition(number) for number in range(count)))


def vm_name_of(incarnation: str) -> str:
    """Return the VM name of an incarnation.

    >>> vm_name_of("entry-3.9f2c01ab")
    'entry-3'
    """
    return incarnation.rpartition(".")[0]


@lru_cache(maxsize=65_536)
def _offset(name: str, count: int) -> int:
    digest = hashlib.sha256(name.encode()).digest()
    return int.from_bytes(digest[:4]) % count


def base_amount(name: str, total: int, partition: int, count: int) -> int:
    """Return how many of ``total`` units of a resource a partition carries.

    The amounts of all partitions add up to ``total``. The resource's name decides
    which partitions get the remainder, so that small totals spread evenly.

    >>> sum(base_amount("cut-1", 8, p, 18) for p in range(18))
    8
    """
    position = (partition + _offset(name, count)) % count
    return total * (position + 1) // count - total * position // count


def partition_of(key_hash: bytes, count: int) -> int:
    """Return the partition to which an idempotency key belongs."""
    return int.from_bytes(key_hash[:8]) % count
