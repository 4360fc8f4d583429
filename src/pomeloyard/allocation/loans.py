"""Loans of capacity between daemons, and how much each daemon may use.

Capacity belongs to partitions. A partition's holder lends units to other
members; a borrower may only keep or return them. For each partition, resource
and borrower the holder counts the most that the borrower may keep, and lowers
that count only when the borrower says so or is no longer a member. Amounts are
absolute and versioned, so that lost, repeated and reordered messages are safe.
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


Outgoing = list[tuple[str, Message]]
"""Messages with the incarnation that each is for."""


@dataclass(slots=True)
class _Lent:
    granted: int = 0
    counted: int = 0
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
    waiting_for: set[str] = field(default_factory=set)
    releasing: bool = False
    lent: dict[Resource, dict[str, _Lent]] = field(default_factory=dict)
    """Loans by resource and borrower."""

    @property
    def ready(self) -> bool:
        return not self.waiting_for and not self.releasing

    def counted(self, resource: Resource) -> int:
        return sum(lent.counted for lent in self.lent.get(resource, {}).values())


class LoanBook:
    """One daemon's partitions, loans given and loans taken."""

    def __init__(
        self,
        incarnation: str,
        total_of: Callable[[Resource], int],
        in_use: Callable[[Resource], int],
    ) -> None:
        self._me = incarnation
        self._total_of = total_of
        self._in_use = in_use
        self._count = 1
        self._own: dict[int, _OwnPartition] = {}
        self._borrowed: dict[Resource, dict[int, _Borrowed]] = {}
        """Loans taken, by resource and partition."""
        self._desired: dict[Resource, dict[str, int]] = {}
        self._epochs: dict[int, int] = defaultdict(int)
        self._members: frozenset[str] = frozenset()
        self._usable: dict[Resource, int] = {}

    # Capacity

    def usable(self, resource: Resource) -> int:
        """Return how many units this daemon may have in use.

        Units that other daemons should get are left out as soon as they are
        asked for, so that they come free as requests end.
        """
        cached = self._usable.get(resource)
        if cached is None:
            reserved = self._reserved(resource)
            cached = max(0, self._base(resource) - reserved + self._allowed(resource))
            self._usable[resource] = cached
        return cached

    def base(self, name: str, total: int) -> int:
        """Return the part of a total that is never lent, such as connections."""
        return sum(
            base_amount(name, total, number, self._count)
            for number, own in self._own.items()
            if own.ready
        )

    def ready_partitions(self) -> tuple[int, ...]:
        """Return the partitions whose units can be used or lent."""
        return tuple(sorted(n for n, own in self._own.items() if own.ready))

    def forget_totals(self) -> None:
        """Recompute amounts after a change of configuration or VMs."""
        self._usable.clear()

    # Partition table

    def follow_table(self, table: PartitionTable) -> Outgoing:
        """Adopt the holders and members of a newer table."""
        self._count = len(table.partitions)
        self._members = frozenset(table.members)
        self._usable.clear()
        for partition in table.partitions:
            number = partition.number
            self._epochs[number] = max(self._epochs[number], partition.epoch)
            own = self._own.get(number)
            if partition.holder != self._me:
                self._own.pop(number, None)
            elif own is None or own.epoch != partition.epoch:
                others = set(table.members) - {self._me}
                self._own[number] = _OwnPartition(partition.epoch, others)
                self._borrowed_become_own(number)
        self._forget_former_members()
        return self.questions()

    def questions(self) -> Outgoing:
        """Return the questions to members that have not answered yet."""
        return [
            (member, LoanQuery(number, own.epoch))
            for number, own in sorted(self._own.items())
            for member in sorted(own.waiting_for)
        ]

    def start_release(self, number: int) -> None:
        """Stop using a partition's units, in order to release it."""
        if number in self._own:
            self._own[number].releasing = True
            self._usable.clear()

    def cancel_release(self, number: int) -> None:
        """Use a partition's units again."""
        if number in self._own:
            self._own[number].releasing = False
            self._usable.clear()

    def releasable(self, resources: Iterable[Resource]) -> list[int]:
        """Return the releasing partitions without which all use is covered."""
        releasing = [n for n, own in sorted(self._own.items()) if own.releasing]
        if not releasing:
            return []
        covered = all(self._in_use(r) <= self._available(r) for r in resources)
        return releasing if covered else []

    def nothing_borrowed(self) -> bool:
        """Tell whether this daemon keeps no unit of another's partition."""
        return not any(b.kept for _, b in self._all_borrowed())

    # Advice

    def want_lent(
        self, resource: Resource, amounts_by_borrower: dict[str, int]
    ) -> None:
        """Set how much of a resource other daemons should have in total."""
        wanted = {b: n for b, n in amounts_by_borrower.items() if n > 0}
        if wanted:
            self._desired[resource] = wanted
        else:
            self._desired.pop(resource, None)
        self._usable.pop(resource, None)

    def return_all(self) -> None:
        """Keep nothing of other daemons' partitions once it is not in use."""
        for _, borrowed in self._all_borrowed():
            borrowed.allowed = 0
        self._usable.clear()

    def reconcile(self) -> Outgoing:
        """Return the grants, recalls and returns that are due."""
        resources = {r for own in self._own.values() for r in own.lent}
        resources.update(self._desired)
        resources.update(self._borrowed)
        messages: Outgoing = []
        for resource in sorted(resources, key=lambda r: (r.kind, r.name)):
            messages += self.settle(resource)
        return messages

    def settle(self, resource: Resource) -> Outgoing:
        """Return what is due for one resource, for example when a request ends.

        Without this, a unit that another daemon should get would stay idle until
        the next round.
        """
        messages: Outgoing = []
        for number, borrowed in self._borrowed.get(resource, {}).items():
            if borrowed.kept > borrowed.allowed:
                messages += self._give_back(number, resource, borrowed)
        if resource in self._desired or self._borrowers(resource):
            messages += self._recall(resource)
            messages += self._lend(resource)
        return messages

    def unconfirmed(self) -> Outgoing:
        """Return grants again whose answer is missing or still above the grant."""
        return [
            (borrower, self._grant_message(number, own, resource, lent))
            for number, own in sorted(self._own.items())
            for resource, lent_by_borrower in own.lent.items()
            for borrower, lent in lent_by_borrower.items()
            if lent.confirmed_version < lent.version or lent.counted > lent.granted
        ]

    # Messages

    def on_grant(self, sender: str, grant: LoanGrant) -> Outgoing:
        """Take or lower a loan, and answer what is kept."""
        if grant.epoch < self._epochs[grant.partition]:
            return []
        self._epochs[grant.partition] = grant.epoch
        resource = Resource(grant.kind, grant.name)
        by_partition = self._borrowed.setdefault(resource, {})
        borrowed = by_partition.get(grant.partition)
        if borrowed is None or borrowed.epoch < grant.epoch:
            kept = borrowed.kept if borrowed is not None else 0
            borrowed = _Borrowed(sender, grant.epoch, kept=kept)
            by_partition[grant.partition] = borrowed
        if grant.version > borrowed.version:
            borrowed.version = grant.version
            borrowed.allowed = grant.amount
            borrowed.kept = max(borrowed.kept, grant.amount)
        self._usable.pop(resource, None)
        self._reduce(resource, borrowed)
        return [(sender, self._kept_message(grant.partition, resource, borrowed))]

    def on_kept(self, sender: str, kept: LoanKept) -> None:
        """Lower the count of what a borrower may have."""
        own = self._own.get(kept.partition)
        if own is None or own.epoch != kept.epoch:
            return
        resource = Resource(kept.kind, kept.name)
        lent = own.lent.get(resource, {}).get(sender)
        if lent is None or kept.version != lent.version:
            return
        lent.confirmed_version = kept.version
        # The borrower cannot keep more again without a higher version.
        lent.counted = min(lent.counted, kept.amount)
        lent.granted = min(lent.granted, kept.amount)
        self._usable.pop(resource, None)

    def on_query(self, sender: str, query: LoanQuery) -> Outgoing:
        """State what is kept of a partition, and accept its new holder."""
        if query.epoch < self._epochs[query.partition]:
            return []
        self._epochs[query.partition] = query.epoch
        kept = []
        for resource, by_partition in self._borrowed.items():
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
        """Count what a member keeps of a partition that was taken over."""
        own = self._own.get(statement.partition)
        if own is None or own.epoch != statement.epoch:
            return
        if sender not in own.waiting_for:
            return
        for item in statement.kept:
            if item.amount > 0:
                resource = Resource(item.kind, item.name)
                lent = _Lent(granted=item.amount, counted=item.amount)
                own.lent.setdefault(resource, {})[sender] = lent
        own.waiting_for.discard(sender)
        self._usable.clear()

    # Internals

    def _base(self, resource: Resource) -> int:
        return self.base(resource.name, self._total_of(resource))

    def _kept(self, resource: Resource) -> int:
        return sum(b.kept for b in self._borrowed.get(resource, {}).values())

    def _allowed(self, resource: Resource) -> int:
        """Return the borrowed units that are not being recalled."""
        borrowed = self._borrowed.get(resource, {}).values()
        return sum(min(b.kept, b.allowed) for b in borrowed)

    def _counted(self, resource: Resource) -> int:
        return sum(own.counted(resource) for own in self._own.values() if own.ready)

    def _available(self, resource: Resource) -> int:
        """Return the units that nobody else may be using; never below zero use."""
        base, counted = self._base(resource), self._counted(resource)
        return base - counted + self._kept(resource)

    def _reserved(self, resource: Resource) -> int:
        """Return the units that others have or should get."""
        counted: dict[str, int] = defaultdict(int)
        for own in self._own.values():
            if own.ready:
                for borrower, lent in own.lent.get(resource, {}).items():
                    counted[borrower] += lent.counted
        desired = self._desired.get(resource, {})
        members = counted.keys() | (desired.keys() & self._members)
        return sum(max(counted.get(b, 0), desired.get(b, 0)) for b in members)

    def _recall(self, resource: Resource) -> Outgoing:
        """Lower grants to what the borrowers should have."""
        messages: Outgoing = []
        desired = self._desired.get(resource, {})
        for borrower in self._borrowers(resource):
            surplus = self._granted(resource, borrower) - desired.get(borrower, 0)
            for number, own in sorted(self._own.items()):
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

    def _lend(self, resource: Resource) -> Outgoing:
        """Raise grants from units that are free."""
        messages: Outgoing = []
        free = self._available(resource) - self._in_use(resource)
        for borrower, wanted in sorted(self._desired.get(resource, {}).items()):
            missing = wanted - self._granted(resource, borrower)
            if borrower == self._me or borrower not in self._members:
                continue
            for number, own in sorted(self._own.items()):
                amount = min(missing, free, self._free_in(number, own, resource))
                if amount <= 0:
                    continue
                lent_by_borrower = own.lent.setdefault(resource, {})
                lent = lent_by_borrower.setdefault(borrower, _Lent())
                before = lent.counted
                lent.granted += amount
                lent.counted = max(lent.counted, lent.granted)
                lent.version += 1
                free -= lent.counted - before
                missing -= amount
                message = self._grant_message(number, own, resource, lent)
                messages.append((borrower, message))
                self._usable.pop(resource, None)
        return messages

    def _free_in(self, number: int, own: _OwnPartition, resource: Resource) -> int:
        if not own.ready:
            return 0
        total = self._total_of(resource)
        base = base_amount(resource.name, total, number, self._count)
        return base - own.counted(resource)

    def _give_back(
        self, number: int, resource: Resource, borrowed: _Borrowed
    ) -> Outgoing:
        before = borrowed.kept
        self._reduce(resource, borrowed)
        if borrowed.kept == before:
            return []
        return [(borrowed.lender, self._kept_message(number, resource, borrowed))]

    def _reduce(self, resource: Resource, borrowed: _Borrowed) -> None:
        """Lower what is kept towards what is allowed, as far as it is not in use."""
        if borrowed.kept <= borrowed.allowed:
            return
        unused = max(0, self._available(resource) - self._in_use(resource))
        borrowed.kept -= min(unused, borrowed.kept - borrowed.allowed)
        self._usable.pop(resource, None)

    def _borrowers(self, resource: Resource) -> list[str]:
        lent = (own.lent.get(resource, {}) for own in self._own.values())
        return sorted({borrower for by_borrower in lent for borrower in by_borrower})

    def _granted(self, resource: Resource, borrower: str) -> int:
        lent = (own.lent.get(resource, {}).get(borrower) for own in self._own.values())
        return sum(x.granted for x in lent if x is not None)

    def _borrowed_become_own(self, number: int) -> None:
        """Merge loans of a partition that this daemon now holds itself."""
        for by_partition in self._borrowed.values():
            by_partition.pop(number, None)

    def _forget_former_members(self) -> None:
        """Take back what former members had; nothing of theirs runs any more."""
        for own in self._own.values():
            own.waiting_for &= self._members
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
        for resource, by_partition in self._borrowed.items():
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
