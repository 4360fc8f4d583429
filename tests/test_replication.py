"""Replication of configuration, keys and partition table without the store."""

from __future__ import annotations

from dataclasses import replace
from datetime import timedelta

import anyio
import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pomeloyard.allocation.partitions import new_table
from pomeloyard.clock import ManualClock
from pomeloyard.config.model import FleetConfig
from pomeloyard.decisions import DecisionLog
from pomeloyard.fleet_state import FleetState
from pomeloyard.follower import adopt_config
from pomeloyard.key_service import KeyService
from pomeloyard.keys import KeyRecord, KeyRing, find_key, new_key
from pomeloyard.keyvalue import layout
from pomeloyard.keyvalue.memory import MemoryStore
from pomeloyard.keyvalue.records import Change, commit_changes, read_record
from pomeloyard.peers.messages import (
    ConfigReply,
    Heartbeat,
    KeysReply,
    KeyWithdrawn,
    PartitionsReply,
)
from pomeloyard.peers.replication import Replication

from .support.faulty_store import FaultyStore

WITHDRAWAL_PROPAGATION_TIME = timedelta(seconds=5)
CONFIG_PROPAGATION_TIME = timedelta(seconds=15)


class Network:
    """In-memory network that holds messages until the test delivers them."""

    def __init__(self, links):
        self.links = links
        self.peer_networks = {}
        self.queued = []

    def deliver(self, position=0):
        sender, receiver, message = self.queued.pop(position)
        for handler in self.peer_networks[receiver].handlers.get(type(message), ()):
            handler(sender, message)

    def deliver_all(self):
        while self.queued:
            self.deliver()


class FakePeerNetwork:
    """Fake of a daemon's PeerNetwork, with the methods that Replication uses."""

    def __init__(self, network, name):
        self.network, self.name = network, name
        self.handlers, self.on_connect = {}, []
        network.peer_networks[name] = self

    def on(self, kind, handler):
        self.handlers.setdefault(kind, []).append(handler)

    def send(self, receiver, message):
        if {self.name, receiver} not in self.network.links:
            return False
        self.network.queued.append((self.name, receiver, message))
        return True

    def broadcast(self, message):
        return sum(
            self.send(name, message) for name in list(self.network.peer_networks)
        )


class Cluster:
    """Three daemons connected in a line: a - b - c."""

    def __init__(self):
        self.clock = ManualClock()
        self.memory = MemoryStore(self.clock)
        self.store = FaultyStore(self.memory)
        self.network = Network([{"a", "b"}, {"b", "c"}])
        self.states, self.daemons, self.changes = {}, {}, []
        for name in "abc":
            self.states[name] = FleetState()
            self.daemons[name] = Replication(
                self.clock,
                self.states[name],
                FakePeerNetwork(self.network, name),
                lambda name=name: self.changes.append(name),
            )

    def key_service(self, name):
        state, peer_network = self.states[name], self.network.peer_networks[name]
        return KeyService(
            self.store, self.clock, state, peer_network.broadcast, DecisionLog()
        )

    def exchange_heartbeats(self):
        for name, state in self.states.items():
            self.network.peer_networks[name].broadcast(
                Heartbeat(
                    state.config.revision,
                    state.keys.version,
                    state.partitions_revision,
                    state.store_reachable,
                )
            )
        self.network.deliver_all()

    def run_for(self, duration):
        while duration > timedelta(0):
            self.exchange_heartbeats()
            self.clock.advance(timedelta(seconds=1))
            duration -= timedelta(seconds=1)


def config(revision):
    return FleetConfig(name=f"r{revision}", revision=revision)


def ring_with(*key_ids, version=1):
    return KeyRing(version, {i: KeyRecord(i, "0" * 64, "mill") for i in key_ids})


def test_records_reach_daemons_without_the_store_over_other_daemons():
    """Guards against a daemon that starts in an outage and gets no records."""
    cluster = Cluster()
    adopt_config(cluster.states["a"], config(7))
    cluster.states["a"].keys = ring_with("k", version=3)
    cluster.states["a"].partitions = new_table()
    cluster.states["a"].partitions_revision = 42
    cluster.run_for(CONFIG_PROPAGATION_TIME)
    last = cluster.states["c"]
    assert (last.config, last.keys) == (config(7), ring_with("k", version=3))
    assert (last.partitions, last.partitions_revision) == (new_table(), 42)
    assert "c" in cluster.changes
    settled = len(cluster.changes)
    cluster.run_for(timedelta(seconds=20))
    assert len(cluster.changes) == settled


def test_peers_are_not_asked_while_the_watch_may_still_bring_the_record():
    """Guards against sending up to 1 MB to every daemon with each publication."""
    cluster = Cluster()
    for state in cluster.states.values():
        state.store_reachable = True
    adopt_config(cluster.states["a"], config(1))
    cluster.exchange_heartbeats()
    assert cluster.states["b"].config.revision == 0
    cluster.run_for(CONFIG_PROPAGATION_TIME)
    assert cluster.states["c"].config.revision == 1


REPLIES = [
    ConfigReply(9, b"{"),
    ConfigReply(9, msgspec.json.encode(config(1))),
    ConfigReply(1, msgspec.json.encode(config(1))),
    KeysReply(9, b"[" * 90_000),
    KeysReply(9, msgspec.json.encode(ring_with("x", version=1))),
    KeysReply(1, msgspec.json.encode(ring_with("x", version=1))),
    PartitionsReply(9, b"7"),
    PartitionsReply(1, msgspec.json.encode(new_table(3))),
]


@pytest.mark.parametrize("reply", REPLIES, ids=lambda r: type(r).__name__)
def test_damaged_and_older_replies_are_ignored(reply):
    """Guards against a peer that reverts a daemon to an older state."""
    cluster = Cluster()
    state = cluster.states["b"]
    adopt_config(state, config(2))
    state.keys, state.partitions = ring_with("k", version=2), new_table()
    state.partitions_revision = 2
    cluster.network.peer_networks["a"].send("b", reply)
    cluster.network.deliver_all()
    assert state.config == config(2)
    assert state.keys == ring_with("k", version=2)
    assert (state.partitions, state.partitions_revision) == (new_table(), 2)


def test_withdrawal_reaches_all_daemons_and_is_stored_when_the_store_recovers():
    """Guards against a withdrawn key that is valid again after an outage."""

    async def run():
        cluster = Cluster()
        text, record = new_key(team="mill")
        stored = KeyRing().with_key(record)
        await commit_changes(cluster.memory, [Change(layout.KEYS, stored, None)])
        for state in cluster.states.values():
            state.keys = stored
        cluster.store.set_available(False)
        # No daemon is connected to c at first; b notifies it on connecting.
        cluster.network.links.remove({"b", "c"})
        cluster.daemons["a"].withdraw_key(record.key_id)
        cluster.network.deliver_all()
        assert find_key(stored, text, cluster.states["b"].withdrawn_key_ids) is None
        cluster.network.links.append({"b", "c"})
        cluster.network.peer_networks["b"].on_connect[0]("c")
        cluster.run_for(WITHDRAWAL_PROPAGATION_TIME)
        assert find_key(stored, text, cluster.states["c"].withdrawn_key_ids) is None

        async with anyio.create_task_group() as tasks:
            for name in "bc":
                tasks.start_soon(cluster.key_service(name).run)
                cluster.states[name].store_reachable = True
            for available in (False, True):
                cluster.store.set_available(available)
                cluster.store.lose_answers = 1
                for _ in range(12):
                    for _ in range(20):
                        await anyio.sleep(0)
                    cluster.clock.advance(timedelta(seconds=1))
            tasks.cancel_scope.cancel()
        current = await read_record(cluster.memory, layout.KEYS, KeyRing)
        assert current.value.keys_by_id[record.key_id].withdrawn
        # Only one new version, although two daemons wrote and one answer was lost.
        assert current.value.version == stored.version + 1
        cluster.states["a"].keys = current.value
        assert cluster.daemons["a"].unstored_withdrawals() == ()

    anyio.run(run)


ACTIONS = st.lists(
    st.one_of(
        st.tuples(st.just("publish"), st.sampled_from("abc")),
        st.tuples(st.just("grant"), st.sampled_from("abc")),
        st.tuples(st.just("withdraw"), st.sampled_from("abc")),
        st.tuples(st.just("beat")),
        st.tuples(st.just("deliver"), st.integers(0, 30)),
        st.tuples(st.just("repeat"), st.integers(0, 30)),
        st.tuples(st.just("lose"), st.integers(0, 30)),
    ),
    min_size=10,
    max_size=60,
)


@settings(max_examples=100, deadline=None, derandomize=True, database=None)
@given(ACTIONS)
def test_versions_only_grow_and_withdrawals_accumulate(actions):
    """Guards against late, lost and repeated messages that restore old state."""
    cluster = Cluster()
    network, version = cluster.network, 0
    highest = dict.fromkeys("abc", (0, 0, 0))
    for kind, *arguments in actions:
        position = (
            arguments[0] % len(network.queued)
            if (network.queued and arguments and isinstance(arguments[0], int))
            else None
        )
        if kind == "publish":
            version += 1
            adopt_config(cluster.states[arguments[0]], config(version))
        elif kind == "grant":
            version += 1
            ring = replace(cluster.states[arguments[0]].keys, version=version)
            cluster.states[arguments[0]].keys = ring
        elif kind == "withdraw":
            cluster.daemons[arguments[0]].withdraw_key(f"k{version}")
        elif kind == "beat":
            cluster.clock.advance(timedelta(seconds=1))
            cluster.exchange_heartbeats()
        elif position is not None and kind == "deliver":
            network.deliver(position)
        elif position is not None and kind == "repeat":
            network.queued.append(network.queued[position])
        elif position is not None and not isinstance(
            network.queued[position][2], KeyWithdrawn
        ):
            # Withdrawals are never lost here: they are sent again on reconnection.
            network.queued.pop(position)
        for name, state in cluster.states.items():
            current = (
                state.config.revision,
                state.keys.version,
                len(state.withdrawn_key_ids),
            )
            assert all(n >= h for n, h in zip(current, highest[name], strict=True))
            highest[name] = current
    cluster.run_for(CONFIG_PROPAGATION_TIME)
    assert len({s.config.revision for s in cluster.states.values()}) == 1
    assert len({s.keys.version for s in cluster.states.values()}) == 1
    assert len({frozenset(s.withdrawn_key_ids) for s in cluster.states.values()}) == 1
