"""Loans of capacity between daemons, and how much each daemon may use.

Each partition carries a part of the capacity. A partition's holder lends units to
other members; a borrower may keep or return them, but not lend them on. For each
partition, resource and borrower the holder records the maximum that the borrower
may keep, and lowers it only when the borrower confirms a lower amount or is no
longer a member. Messages carry absolute amounts and versions, so that lost,
repeated and reordered messages do no harm.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field

from ..peers.messages import (
    KeptAmount,
    LoanGrant,
    LoanKept,
    LoanQuery,
    LoanStatement,
    Message,
)
from .partitions import PartitionTable, base_amount

SLOTS = "slots"
LIMIT = "limit"


@dataclass(frozen=True, slots=True)
class Resource:
    """A countable resource: slots of a VM or units of a team's limit."""

    kind: str
    name: str


OutgoingMessages = list[tuple[str, Message]]
"""Messages, each with the incarnation of its recipient."""


@dataclass(slots=True)
class _Lent:
    granted: int = 0
    max_kept: int = 0
    version: int = 0
    confirmed_version: int = 0


@dataclass(slots=True)
class _Borrowed:
    lender: str
    epoch: int
    allowed: int = 0
    kept: int = 0
    version: int = 0


@dataclass(slots=True)
class _OwnPartition:
    epoch: int
    unanswered_members: set[str] = field(default_factory=set)
    releasing: bool = False
    lent: dict[Resource, dict[str, _Lent]] = field(default_factory=dict)
    """Loans by resource and borrower."""

    @property
    def ready(self) -> bool:
        return not self.unanswered_members and not self.releasing

    def max_kept(self, resource: Resource) -> int:
        return sum(lent.max_kept for lent in self.lent.get(resource, {}).values())


class LoanLedger:
    """Tracks one daemon's partitions and what it has lent and borrowed."""

    def __init__(
        self,
        incarnation: str,
        total_of: Callable[[Resource], int],
        in_use: Callable[[Resource], int],
    ) -> None:
        self._incarnation = incarnation
        self._total_of = total_of
        self._in_use = in_use
        self._partition_count = 1
        self._own_partitions: dict[int, _OwnPartition] = {}
        self._borrowed_by_resource: dict[Resource, dict[int, _Borrowed]] = {}
        """Borrowed units by resource and partition."""
        self._lending_targets: dict[Resource, dict[str, int]] = {}
        self._epochs_by_partition: dict[int, int] = defaultdict(int)
        self._members: frozenset[str] = frozenset()
        self._usable_by_resource: dict[Resource, int] = {}

    # Capacity

    def usable(self, resource: Resource) -> int:
        """Return how many units this daemon may have in use.

        Units to be lent are excluded as soon as the advice asks for them, so that
        they become free as requests end.
        """
        cached = self._usable_by_resource.get(resource)
        if cached is None:
            reserved = self._reserved(resource)
            cached = max(0, self._base(resource) - reserved + self._allowed(resource))
            self._usable_by_resource[resource] = cached
        return cached

    def base(self, name: str, total: int) -> int:
        """Return the share of ``total`` that this daemon's ready partitions carry.

        Loans are not included; connections, for example, are never lent.
        """
        return sum(
            base_amount(name, total, number, self._partition_count)
            for number, own in self._own_partitions.items()
            if own.ready
        )

    def ready_partitions(self) -> tuple[int, ...]:
        """Return the numbers of the partitions whose units can be used or lent."""
        return tuple(sorted(n for n, own in self._own_partitions.items() if own.ready))

    def invalidate_usable(self) -> None:
        """Discard cached amounts after a change of the configuration or VM list."""
        self._usable_by_resource.clear()

    # Partition table

    def apply_table(self, table: PartitionTable) -> OutgoingMessages:
        """Apply a newer table's holders and members; return the queries to send."""
        self._partition_count = len(table.partitions)
        self._members = frozenset(table.members)
        self._usable_by_resource.clear()
        for partition in table.partitions:
            number = partition.number
            self._epochs_by_partition[number] = max(
                self._epochs_by_partition[number], partition.epoch
            )
            own = self._own_partitions.get(number)
            if partition.holder != self._incarnation:
                self._own_partitions.pop(number, None)
            elif own is None or own.epoch != partition.epoch:
                others = set(table.members) - {self._incarnation}
                self._own_partitions[number] = _OwnPartition(partition.epoch, others)
                self._drop_borrowed(number)
        self._reclaim_from_former_members()
        return self.pending_queries()

    def pending_queries(self) -> OutgoingMessages:
        """Return the loan queries to members that have not answered yet."""
        return [
            (member, LoanQuery(number, own.epoch))
            for number, own in sorted(self._own_partitions.items())
            for member in sorted(own.unanswered_members)
        ]

    def start_release(self, number: int) -> None:
        """Stop using a partition's units, in preparation for releasing it."""
        if number in self._own_partitions:
            self._own_partitions[number].releasing = True
            self._usable_by_resource.clear()

    def cancel_release(self, number: int) -> None:
        """Resume using a partition's units."""
        if number in self._own_partitions:
            self._own_partitions[number].releasing = False
            self._usable_by_resource.clear()

    def releasable(self, resources: Iterable[Resource]) -> list[int]:
        """Return the releasing partitions if the rest covers all units in use."""
        releasing = [
            n for n, own in sorted(self._own_partitions.items()) if own.releasing
        ]
        if not releasing:
            return []
        covered = all(self._in_use(r) <= self._available(r) for r in resources)
        return releasing if covered else []

    def has_returned_all(self) -> bool:
        """Return whether this daemon keeps no unit of another daemon's partition."""
        return not any(b.kept for _, b in self._all_borrowed())

    # Advice

    def set_lending_targets(
        self, resource: Resource, amounts_by_borrower: dict[str, int]
    ) -> None:
        """Set how many units of a resource each borrower should have in total."""
        wanted = {b: n for b, n in amounts_by_borrower.items() if n > 0}
        if wanted:
            self._lending_targets[resource] = wanted
        else:
            self._lending_targets.pop(resource, None)
        self._usable_by_resource.pop(resource, None)

    def return_all_borrowed(self) -> None:
        """Mark all borrowed units to be returned as soon as they are unused."""
        for _, borrowed in self._all_borrowed():
            borrowed.allowed = 0
        self._usable_by_resource.clear()

    def reconcile(self) -> OutgoingMessages:
        """Return the grants, recalls and returns that are due."""
        resources = {r for own in self._own_partitions.values() for r in own.lent}
        resources.update(self._lending_targets)
        resources.update(self._borrowed_by_resource)
        messages: OutgoingMessages = []
        for resource in sorted(resources, key=lambda r: (r.kind, r.name)):
            messages += self.reconcile_resource(resource)
        return messages

    def reconcile_resource(self, resource: Resource) -> OutgoingMessages:
        """Return the messages due for one resource.

        Called when a request ends, since the freed unit would otherwise stay idle
        until the next round if another daemon is to get it.
        """
        messages: OutgoingMessages = []
        for number, borrowed in self._borrowed_by_resource.get(resource, {}).items():
            if borrowed.kept > borrowed.allowed:
                messages += self._return_unused(number, resource, borrowed)
        if resource in self._lending_targets or self._borrowers(resource):
            messages += self._recall(resource)
            messages += self._lend(resource)
        return messages

    def unconfirmed_grants(self) -> OutgoingMessages:
        """Return the grants to resend: unanswered, or with more kept than granted."""
        return [
            (borrower, self._grant_message(number, own, resource, lent))
            for number, own in sorted(self._own_partitions.items())
            for resource, lent_by_borrower in own.lent.items()
            for borrower, lent in lent_by_borrower.items()
            if lent.confirmed_version < lent.version or lent.max_kept > lent.granted
        ]

    # Messages

    def on_grant(self, sender: str, grant: LoanGrant) -> OutgoingMessages:
        """Raise or lower a borrowed amount, and answer with the amount kept."""
        if grant.epoch < self._epochs_by_partition[grant.partition]:
            return []
        self._epochs_by_partition[grant.partition] = grant.epoch
        resource = Resource(grant.kind, grant.name)
        by_partition = self._borrowed_by_resource.setdefault(resource, {})
        borrowed = by_partition.get(grant.partition)
        if borrowed is None or borrowed.epoch < grant.epoch:
            kept = borrowed.kept if borrowed is not None else 0
            borrowed = _Borrowed(sender, grant.epoch, kept=kept)
            by_partition[grant.partition] = borrowed
        if grant.version > borrowed.version:
            borrowed.version = grant.version
            borrowed.allowed = grant.amount
            borrowed.kept = max(borrowed.kept, grant.amount)
        self._usable_by_resource.pop(resource, None)
        self._reduce_kept(resource, borrowed)
        return [(sender, self._kept_message(grant.partition, resource, borrowed))]

    def on_kept(self, sender: str, kept: LoanKept) -> None:
        """Lower the maximum that a borrower may keep."""
        own = self._own_partitions.get(kept.partition)
        if own is None or own.epoch != kept.epoch:
            return
        resource = Resource(kept.kind, kept.name)
        lent = own.lent.get(resource, {}).get(sender)
        if lent is None or kept.version != lent.version:
            return
        lent.confirmed_version = kept.version
        # The borrower can only keep more after a grant with a higher version.
        lent.max_kept = min(lent.max_kept, kept.amount)
        lent.granted = min(lent.granted, kept.amount)
        self._usable_by_resource.pop(resource, None)

    def on_query(self, sender: str, query: LoanQuery) -> OutgoingMessages:
        """Accept a partition's new holder, and answer with the units kept of it."""
        if query.epoch < self._epochs_by_partition[query.partition]:
            return []
        self._epochs_by_partition[query.partition] = query.epoch
        kept = []
        for resource, by_partition in self._borrowed_by_resource.items():
            borrowed = by_partition.get(query.partition)
            if borrowed is None:
                continue
            if borrowed.epoch < query.epoch:
                borrowed.lender = sender
                borrowed.epoch = query.epoch
                borrowed.version = 0
                borrowed.allowed = borrowed.kept
            kept.append(KeptAmount(resource.kind, resource.name, borrowed.kept))
        statement = LoanStatement(query.partition, query.epoch, tuple(kept))
        return [(sender, statement)]

    def on_statement(self, sender: str, statement: LoanStatement) -> None:
        """Record what a member keeps of a partition that was taken over."""
        own = self._own_partitions.get(statement.partition)
        if own is None or own.epoch != statement.epoch:
            return
        if sender not in own.unanswered_members:
            return
        for item in statement.kept:
            if item.amount > 0:
                resource = Resource(item.kind, item.name)
                lent = _Lent(granted=item.amount, max_kept=item.amount)
                own.lent.setdefault(resource, {})[sender] = lent
        own.unanswered_members.discard(sender)
        self._usable_by_resource.clear()

    # Internals

    def _base(self, resource: Resource) -> int:
        return self.base(resource.name, self._total_of(resource))

    def _kept(self, resource: Resource) -> int:
        return sum(
            b.kept for b in self._borrowed_by_resource.get(resource, {}).values()
        )

    def _allowed(self, resource: Resource) -> int:
        """Return the borrowed units that are not being recalled."""
        borrowed = self._borrowed_by_resource.get(resource, {}).values()
        return sum(min(b.kept, b.allowed) for b in borrowed)

    def _max_kept(self, resource: Resource) -> int:
        return sum(
            own.max_kept(resource) for own in self._own_partitions.values() if own.ready
        )

    def _available(self, resource: Resource) -> int:
        """Return the units that no other daemon may be using."""
        base, max_kept = self._base(resource), self._max_kept(resource)
        return base - max_kept + self._kept(resource)

    def _reserved(self, resource: Resource) -> int:
        """Return the units that other daemons may keep or should get."""
        max_kept: dict[str, int] = defaultdict(int)
        for own in self._own_partitions.values():
            if own.ready:
                for borrower, lent in own.lent.get(resource, {}).items():
                    max_kept[borrower] += lent.max_kept
        desired = self._lending_targets.get(resource, {})
        members = max_kept.keys() | (desired.keys() & self._members)
        return sum(max(max_kept.get(b, 0), desired.get(b, 0)) for b in members)

    def _recall(self, resource: Resource) -> OutgoingMessages:
        """Lower grants that exceed what the borrowers should have."""
        messages: OutgoingMessages = []
        desired = self._lending_targets.get(resource, {})
        for borrower in self._borrowers(resource):
            surplus = self._granted(resource, borrower) - desired.get(borrower, 0)
            for number, own in sorted(self._own_partitions.items()):
                lent = own.lent.get(resource, {}).get(borrower)
                if surplus <= 0 or lent is None or not own.ready:
                    continue
                lowered = min(surplus, lent.granted)
                if lowered:
                    lent.granted -= lowered
                    lent.version += 1
                    surplus -= lowered
                    message = self._grant_message(number, own, resource, lent)
                    messages.append((borrower, message))
        return messages

    def _lend(self, resource: Resource) -> OutgoingMessages:
        """Raise grants up to the advice, as far as units are free."""
        messages: OutgoingMessages = []
        free = self._available(resource) - self._in_use(resource)
        for borrower, wanted in sorted(self._lending_targets.get(resource, {}).items()):
            missing = wanted - self._granted(resource, borrower)
            if borrower == self._incarnation or borrower not in self._members:
                continue
            for number, own in sorted(self._own_partitions.items()):
                amount = min(missing, free, self._free_units_in(number, own, resource))
                if amount <= 0:
                    continue
                lent_by_borrower = own.lent.setdefault(resource, {})
                lent = lent_by_borrower.setdefault(borrower, _Lent())
                before = lent.max_kept
                lent.granted += amount
                lent.max_kept = max(lent.max_kept, lent.granted)
                lent.version += 1
                free -= lent.max_kept - before
                missing -= amount
                message = self._grant_message(number, own, resource, lent)
                messages.append((borrower, message))
                self._usable_by_resource.pop(resource, None)
        return messages

    def _free_units_in(
        self, number: int, own: _OwnPartition, resource: Resource
    ) -> int:
        if not own.ready:
            return 0
        total = self._total_of(resource)
        base = base_amount(resource.name, total, number, self._partition_count)
        return base - own.max_kept(resource)

    def _return_unused(
        self, number: int, resource: Resource, borrowed: _Borrowed
    ) -> OutgoingMessages:
        before = borrowed.kept
        self._reduce_kept(resource, borrowed)
        if borrowed.kept == before:
            return []
        return [(borrowed.lender, self._kept_message(number, resource, borrowed))]

    def _reduce_kept(self, resource: Resource, borrowed: _Borrowed) -> None:
        """Lower the kept amount towards the allowed one by the units not in use."""
        if borrowed.kept <= borrowed.allowed:
            return
        unused = max(0, self._available(resource) - self._in_use(resource))
        borrowed.kept -= min(unused, borrowed.kept - borrowed.allowed)
        self._usable_by_resource.pop(resource, None)

    def _borrowers(self, resource: Resource) -> list[str]:
        lent = (own.lent.get(resource, {}) for own in self._own_partitions.values())
        return sorted({borrower for by_borrower in lent for borrower in by_borrower})

    def _granted(self, resource: Resource, borrower: str) -> int:
        lent = (
            own.lent.get(resource, {}).get(borrower)
            for own in self._own_partitions.values()
        )
        return sum(x.granted for x in lent if x is not None)

    def _drop_borrowed(self, number: int) -> None:
        """Drop loans of a partition that this daemon now holds itself."""
        for by_partition in self._borrowed_by_resource.values():
            by_partition.pop(number, None)

    def _reclaim_from_former_members(self) -> None:
        """Take back units lent to former members, whose requests have all ended."""
        for own in self._own_partitions.values():
            own.unanswered_members &= self._members
            for by_borrower in own.lent.values():
                for borrower in by_borrower.keys() - self._members:
                    del by_borrower[borrower]

    def _grant_message(
        self, number: int, own: _OwnPartition, resource: Resource, lent: _Lent
    ) -> LoanGrant:
        return LoanGrant(
            number, own.epoch, resource.kind, resource.name, lent.granted, lent.version
        )

    def _all_borrowed(self) -> Iterator[tuple[Resource, _Borrowed]]:
        for resource, by_partition in self._borrowed_by_resource.items():
            for borrowed in by_partition.values():
                yield resource, borrowed

    def _kept_message(
        self, number: int, resource: Resource, borrowed: _Borrowed
    ) -> LoanKept:
        return LoanKept(
            number,
            borrowed.epoch,
            resource.kind,
            resource.name,
            borrowed.kept,
            borrowed.version,
        )
