"""Model test: the units in use never exceed the total, in any order of events.

Several daemons exchange messages that are lost, repeated and reordered, follow the
partition table with delay, are killed and replaced, and release and take partitions.
"""

from __future__ import annotations

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from pomeloyard.allocation.loans import SLOTS, LoanLedger, Resource
from pomeloyard.allocation.partitions import new_table
from pomeloyard.peers.messages import (
    LoanGrant,
    LoanKept,
    LoanQuery,
    LoanStatement,
)

PARTITIONS = 4
RESOURCE = Resource(SLOTS, "cut-1")
TOTAL = 8
INDEX = st.integers(0, 1000)


class Node:
    def __init__(self, name: str, total: int = TOTAL) -> None:
        self.name = name
        self.in_use = 0
        self.alive = True
        self.ledger = LoanLedger(
            name, lambda resource: total, lambda resource: self.in_use
        )

    def receive(self, sender, message):
        if isinstance(message, LoanGrant):
            return self.ledger.on_grant(sender, message)
        if isinstance(message, LoanQuery):
            return self.ledger.on_query(sender, message)
        if isinstance(message, LoanKept):
            self.ledger.on_kept(sender, message)
        elif isinstance(message, LoanStatement):
            self.ledger.on_statement(sender, message)
        return []


class LoanModel(RuleBasedStateMachine):
    @initialize()
    def start(self):
        self.table = new_table(PARTITIONS)
        self.nodes: dict[str, Node] = {}
        self.network: list[tuple[str, str, object]] = []
        self.started = 0
        for _ in range(3):
            self.join()
        for number in range(PARTITIONS):
            name = self.pick(number).name
            self.table = self.table.with_holder(number, name, clean=True)
        for node in self.alive():
            self.send(node, node.ledger.apply_table(self.table))
        self.deliver_all()
        self.deliver_all()

    def alive(self):
        return [node for node in self.nodes.values() if node.alive]

    def pick(self, index):
        alive = self.alive()
        return alive[index % len(alive)]

    def send(self, node, messages):
        self.network += [(node.name, to, message) for to, message in messages]

    @precondition(lambda self: len(self.alive()) < 4)
    @rule()
    def join(self):
        node = Node(f"entry-{self.started}.0")
        self.started += 1
        self.nodes[node.name] = node
        self.table = self.table.with_member(node.name)

    @rule(index=INDEX)
    def follow(self, index):
        node = self.pick(index)
        self.send(node, node.ledger.apply_table(self.table))

    @rule(index=INDEX, number=st.integers(0, PARTITIONS - 1))
    def take(self, index, number):
        holder = self.table.partitions[number].holder
        gone = holder in self.nodes and not self.nodes[holder].alive
        if not holder or gone:
            name = self.pick(index).name
            self.table = self.table.with_holder(number, name, clean=not gone)

    @precondition(lambda self: len(self.alive()) > 1)
    @rule(index=INDEX)
    def kill(self, index):
        self.pick(index).alive = False

    @rule()
    def remove_gone_members(self):
        """Remove killed members; their requests have ended by the request timeout."""
        for node in list(self.nodes.values()):
            if not node.alive:
                for number in self.table.partitions_held_by(node.name):
                    self.table = self.table.with_holder(number, "", clean=False)
                self.table = self.table.without_member(node.name)
                del self.nodes[node.name]

    @rule(index=INDEX, number=st.integers(0, PARTITIONS - 1))
    def release_partition(self, index, number):
        node = self.pick(index)
        node.ledger.start_release(number)
        for ready in node.ledger.releasable([RESOURCE]):
            if self.table.partitions[ready].holder == node.name:
                self.table = self.table.with_holder(ready, "", clean=True)

    @rule(index=INDEX, number=st.integers(0, PARTITIONS - 1))
    def hand_over(self, index, number):
        """Release a partition with possible loans; its next holder sees it first."""
        former = self.nodes.get(self.table.partitions[number].holder)
        node = self.pick(index)
        if former is None or not former.alive or former is node:
            return
        former.ledger.start_release(number)
        if number in former.ledger.releasable([RESOURCE]):
            table = self.table.with_holder(number, "", clean=True)
            self.table = table.with_holder(number, node.name, clean=True)
            self.send(node, node.ledger.apply_table(self.table))

    @rule(index=INDEX)
    def start_requests(self, index):
        node = self.pick(index)
        node.in_use += max(0, node.ledger.usable(RESOURCE) - node.in_use)

    @rule()
    def start_requests_everywhere(self):
        for index in range(len(self.alive())):
            self.start_requests(index)

    @rule(index=INDEX, amount=st.integers(1, 8))
    def end_requests(self, index, amount):
        node = self.pick(index)
        node.in_use = max(0, node.in_use - amount)

    @rule(index=INDEX, borrower=INDEX, amount=st.integers(0, 4), at_once=st.booleans())
    def advise(self, index, borrower, amount, at_once):
        node, other = self.pick(index), self.pick(borrower)
        if node is other:
            return
        node.ledger.set_lending_targets(RESOURCE, {other.name: amount})
        self.send(node, node.ledger.reconcile())
        if at_once:
            self.deliver_all()
            self.deliver_all()

    @rule(borrower=INDEX, amount=st.integers(0, 8))
    def advise_everywhere(self, borrower, amount):
        """Advise all daemons to lend to one, as during a local load peak."""
        for index, node in enumerate(self.alive()):
            if node is not self.pick(borrower):
                self.advise(index, borrower, amount, at_once=False)
        self.deliver_all()

    @rule(index=INDEX)
    def reconcile(self, index):
        node = self.pick(index)
        self.send(node, node.ledger.reconcile())

    @rule(index=INDEX)
    def repeat(self, index):
        node = self.pick(index)
        self.send(node, node.ledger.pending_queries())
        self.send(node, node.ledger.unconfirmed_grants())

    @rule(index=INDEX)
    def return_all_borrowed(self, index):
        node = self.pick(index)
        node.ledger.return_all_borrowed()
        self.send(node, node.ledger.reconcile())

    @precondition(lambda self: self.network)
    @rule(index=INDEX, repeated=st.booleans(), lost=st.booleans())
    def deliver(self, index, repeated, lost):
        position = index % len(self.network)
        sender, to, message = self.network[position]
        if not repeated:
            del self.network[position]
        receiver = self.nodes.get(to)
        if not lost and receiver is not None and receiver.alive:
            self.send(receiver, receiver.receive(sender, message))

    @precondition(lambda self: self.network)
    @rule()
    def deliver_all(self):
        pending, self.network = self.network, []
        for sender, to, message in pending:
            receiver = self.nodes.get(to)
            if receiver is not None and receiver.alive:
                self.send(receiver, receiver.receive(sender, message))

    @invariant()
    def never_over_total(self):
        used = sum(node.in_use for node in self.nodes.values())
        assert used <= TOTAL, f"{used} of {TOTAL} in use"

    def teardown(self):
        """Check that the whole capacity is usable after all messages are delivered."""
        if not hasattr(self, "table"):
            return
        self.remove_gone_members()
        holder = self.alive()[0]
        for node in self.alive():
            node.in_use = 0
        for number in range(PARTITIONS):
            if not self.table.partitions[number].holder:
                self.table = self.table.with_holder(number, holder.name, clean=True)
        for _ in range(8):
            for node in self.alive():
                for number in range(PARTITIONS):
                    node.ledger.cancel_release(number)
                node.ledger.set_lending_targets(RESOURCE, {})
                self.send(node, node.ledger.apply_table(self.table))
                self.send(node, node.ledger.reconcile())
                self.send(node, node.ledger.unconfirmed_grants())
            self.deliver_all()
        usable = sum(node.ledger.usable(RESOURCE) for node in self.alive())
        assert usable == TOTAL, f"{usable} of {TOTAL} usable"


TestLoanModel = LoanModel.TestCase
TestLoanModel.settings = settings(
    max_examples=300,
    stateful_step_count=50,
    derandomize=True,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)


def test_repeated_older_grant_does_not_raise_what_is_kept():
    """Guards against a late duplicate of a grant that undoes a newer recall."""
    borrower = Node("entry-1.0")
    older = LoanGrant(0, 1, SLOTS, "cut-1", amount=3, version=1)
    recall = LoanGrant(0, 1, SLOTS, "cut-1", amount=0, version=2)
    borrower.receive("entry-0.0", older)
    assert borrower.ledger.usable(RESOURCE) == 3
    borrower.receive("entry-0.0", recall)
    [(_, answer)] = borrower.receive("entry-0.0", older)
    assert borrower.ledger.usable(RESOURCE) == 0
    assert (answer.amount, answer.version) == (0, 2)


def lender_of_all(total=TOTAL):
    """Return a lender that holds all partitions, and a borrower."""
    lender, borrower = Node("entry-0.0", total), Node("entry-1.0", total)
    table = new_table(PARTITIONS)
    for number in range(PARTITIONS):
        table = table.with_holder(number, lender.name, clean=True)
    lender.ledger.apply_table(table.with_member(lender.name))
    lender.ledger.apply_table(table.with_member(lender.name).with_member(borrower.name))
    return lender, borrower


def advise(lender, borrower, amount):
    lender.ledger.set_lending_targets(RESOURCE, {borrower.name: amount})
    return [message for _, message in lender.ledger.reconcile()]


def test_answer_to_an_earlier_grant_does_not_free_a_later_one():
    """Guards against units used twice when a return crosses a new grant."""
    lender, borrower = lender_of_all()
    for grant in advise(lender, borrower, 1):
        borrower.receive(lender.name, grant)
    recalls = advise(lender, borrower, 0)
    returned = [borrower.receive(lender.name, r)[0][1] for r in recalls]
    for grant in advise(lender, borrower, 1):
        borrower.receive(lender.name, grant)
    for answer in returned:
        lender.receive(borrower.name, answer)
    lender.ledger.set_lending_targets(RESOURCE, {})
    assert borrower.ledger.usable(RESOURCE) == 1
    assert lender.ledger.usable(RESOURCE) == TOTAL - 1


def test_smaller_grant_after_a_recall_still_counts_what_is_in_use():
    """Guards against reusing units that the borrower has not returned yet."""
    lender, borrower = lender_of_all(total=2 * TOTAL)
    for grant in advise(lender, borrower, 2):
        borrower.receive(lender.name, grant)
    borrower.in_use = 2
    advise(lender, borrower, 0)
    assert len(advise(lender, borrower, 1)) == 1
    lender.ledger.set_lending_targets(RESOURCE, {})
    assert lender.ledger.usable(RESOURCE) == 2 * TOTAL - 2


def test_query_and_grant_of_a_former_holder_are_ignored():
    """Guards against accepting loans from a daemon that lost the partition."""
    borrower = Node("entry-1.0")
    assert borrower.receive("entry-2.0", LoanQuery(0, epoch=5))
    assert borrower.receive("entry-0.0", LoanQuery(0, epoch=4)) == []
    old = LoanGrant(0, 4, SLOTS, "cut-1", amount=3, version=9)
    assert borrower.receive("entry-0.0", old) == []
    assert borrower.ledger.usable(RESOURCE) == 0
