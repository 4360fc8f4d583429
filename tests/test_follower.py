"""Following the store under faulty watches, reads and records."""

from __future__ import annotations

from dataclasses import replace
from datetime import timedelta

import anyio
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pomeloyard.allocation.partitions import new_table
from pomeloyard.clock import ManualClock
from pomeloyard.config.model import FleetConfig
from pomeloyard.fleet.vms import VmRecord
from pomeloyard.fleet_state import FleetState
from pomeloyard.follower import MAX_RETRY_DELAY, FleetFollower
from pomeloyard.keys import KeyRing
from pomeloyard.keyvalue import layout
from pomeloyard.keyvalue.memory import MemoryStore
from pomeloyard.keyvalue.records import Change, commit_changes, read_record
from pomeloyard.keyvalue.store import Put, Transaction, WatchBatch, scan_all
from pomeloyard.standins.platform import MemoryVmDirectory
from pomeloyard.vm_platform.directory import Vm, VmList, VmRole

from .support.faulty_store import FaultyStore

IN_FORCE_EVERYWHERE = timedelta(seconds=15)
WITHDRAWN_EVERYWHERE = timedelta(seconds=5)


async def settle():
    """Run all ready tasks; nothing here waits for real time."""
    for _ in range(30):
        await anyio.sleep(0)


class Bench:
    """A follower of a faulty store, driven by a manual clock."""

    def __init__(self):
        self.clock = ManualClock()
        self.memory = MemoryStore(self.clock)
        self.store = FaultyStore(self.memory)
        self.state = FleetState()
        self.directory = MemoryVmDirectory(self.clock)
        self.follower = FleetFollower(
            self.store, self.directory, self.clock, self.state
        )

    async def publish(self, revision):
        """Publish a configuration directly in the store, without faults."""
        head = await read_record(self.memory, layout.CONFIG_HEAD, int)
        key = layout.config_revision_key(revision)
        config = FleetConfig(name=f"r{revision}", revision=revision)
        head_change = Change(layout.CONFIG_HEAD, revision, head)
        await commit_changes(self.memory, [head_change, Change(key, config, None)])

    async def set_keys(self, version):
        current = await read_record(self.memory, layout.KEYS, KeyRing)
        await commit_changes(
            self.memory, [Change(layout.KEYS, KeyRing(version), current)]
        )

    async def set_vm(self, name, epoch):
        key = layout.VMS + name
        current = await read_record(self.memory, key, VmRecord)
        if epoch is None:
            if current is not None:
                await commit_changes(self.memory, [Change(key, None, current)])
            return
        record = VmRecord(name, VmRole.EXECUTOR, "pool")
        record = replace(record, epoch=epoch)
        await commit_changes(self.memory, [Change(key, record, current)])

    async def pass_time(self, delay=timedelta(0)):
        """Advance the clock in small steps and let all tasks run."""
        step = timedelta(seconds=0.25)
        while delay > timedelta(0):
            await settle()
            self.clock.advance(min(step, delay))
            delay -= step
        await settle()


def follow(test):
    """Run ``test(bench)`` while the bench's follower runs."""

    async def run():
        bench = Bench()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(bench.follower.run)
            await bench.pass_time()
            await test(bench)
            tasks.cancel_scope.cancel()

    anyio.run(run)


def unchanged(batch):
    return [batch]


def no_events(batch):
    return []


def repeated(batch):
    return [batch, batch]


def reversed_events(batch):
    return [WatchBatch(batch.events[::-1], batch.revision)]


class DelayedDelivery:
    """Delivers each batch twice, after the next one."""

    def __init__(self):
        self.late = []

    def __call__(self, batch):
        earlier, self.late = self.late, [batch]
        return [batch, *earlier, *earlier]


WATCH_FAULTS = [
    lambda: unchanged,
    lambda: no_events,
    lambda: repeated,
    lambda: reversed_events,
    DelayedDelivery,
]

STEPS = st.lists(
    st.one_of(
        # Mostly changes of a few records, so that faults hit related events.
        *[st.tuples(st.just("vm"), st.sampled_from("ab"), st.booleans())] * 4,
        st.tuples(st.just("fault"), st.integers(0, len(WATCH_FAULTS) - 1)),
        st.tuples(st.just("outage"), st.booleans()),
        st.tuples(st.just("stale"), st.booleans()),
        st.tuples(st.just("break")),
        st.tuples(st.just("compact")),
        st.tuples(st.just("publish")),
        st.tuples(st.just("wait"), st.integers(1, 6)),
    ),
    min_size=12,
    max_size=30,
)


@settings(max_examples=150, deadline=None, derandomize=True, database=None)
@given(STEPS)
def test_no_record_goes_back_and_all_arrive_in_the_end(steps):
    """Guards against late, repeated or stale data that overwrites a newer record."""

    async def test(bench):
        epoch = revision = 0
        epochs, deleted = {}, {}
        failures = []

        def checked():
            try:
                check(bench.state)
            except AssertionError as error:  # The follower catches errors of callbacks.
                failures.append(error)

        bench.follower.on_change.append(checked)

        def check(state):
            assert state.config.revision >= epochs.get("config", 0)
            epochs["config"] = state.config.revision
            for name, record in state.vm_records_by_name.items():
                assert record.epoch >= epochs.get(name, 0), "an older record came back"
                assert record.epoch > deleted.get(name, 0), "a deleted record came back"
                epochs[name] = record.epoch
            for name in epochs.keys() - state.vm_records_by_name.keys() - {"config"}:
                deleted[name] = epochs[name]

        for kind, *arguments in steps:
            if kind == "vm":
                epoch += 1
                await bench.set_vm(arguments[0], epoch if arguments[1] else None)
            elif kind == "fault":
                bench.store.change_batch = WATCH_FAULTS[arguments[0]]()
            elif kind == "outage":
                bench.store.set_available(not arguments[0])
            elif kind == "stale":
                page = await scan_all(bench.memory, layout.WATCHED_PREFIX)
                bench.store.stale_page = page if arguments[0] else None
            elif kind == "break":
                bench.memory.break_watches()
            elif kind == "compact":
                bench.memory.compact()
            elif kind == "publish":
                revision += 1
                await bench.publish(revision)
            wait = arguments[0] if kind == "wait" else 0
            await bench.pass_time(timedelta(seconds=wait))

        bench.store.set_available(True)
        bench.store.stale_page = None
        bench.store.change_batch = unchanged
        bench.memory.break_watches()
        await bench.pass_time(IN_FORCE_EVERYWHERE)
        assert not failures, failures[0]
        page = await scan_all(bench.memory, layout.VMS)
        stored = {entry.key.removeprefix(layout.VMS) for entry in page.entries}
        assert bench.state.vm_records_by_name.keys() == stored
        assert bench.state.config.revision == revision
        assert bench.state.store_reachable

    follow(test)


def test_silent_watch_is_noticed_within_the_time_of_a_withdrawal():
    """Guards against a hanging watch connection that hides withdrawn keys."""

    async def test(bench):
        await bench.set_keys(1)
        await bench.pass_time()
        bench.store.change_batch = no_events
        await bench.set_keys(2)
        await bench.publish(1)
        await bench.pass_time(WITHDRAWN_EVERYWHERE)
        assert bench.state.keys.version == 2
        assert bench.state.config.revision == 1

    follow(test)


def test_outage_of_any_length_ends_within_the_time_of_a_publication():
    """Guards against a back-off beyond the targets, and retries without delay."""

    async def test(bench):
        attempts = []
        bench.store.set_available(False)
        bench.store.before = attempts.append
        await bench.pass_time(timedelta(minutes=2))
        assert not bench.state.store_reachable
        assert len(attempts) < 120 / (MAX_RETRY_DELAY.total_seconds() / 2) + 10
        await bench.publish(1)
        bench.store.set_available(True)
        await bench.pass_time(IN_FORCE_EVERYWHERE)
        assert bench.state.config.revision == 1

    follow(test)


@pytest.mark.parametrize(
    "damaged", [b"", b"{}", b"[]", b'{"writes":[],"data":{"name":7}}', b"\xff" * 40]
)
def test_damaged_records_are_ignored_and_the_others_followed(damaged):
    """Guards against one malformed record that stops a daemon from following."""

    async def test(bench):
        bench.follower.on_change.append(lambda: {}["a failing part"])
        await bench.publish(1)
        await bench.set_keys(1)
        await bench.set_vm("a", 1)
        await bench.pass_time()
        keys = (layout.CONFIG_HEAD, layout.KEYS, layout.PARTITIONS, layout.VMS + "a")
        puts = tuple(Put(key, damaged) for key in keys)
        await bench.memory.commit(Transaction((), puts))
        await bench.set_vm("b", 2)
        await bench.pass_time()
        assert bench.state.config.revision == bench.state.keys.version == 1
        assert set(bench.state.vm_records_by_name) == {"a", "b"}

    follow(test)


def test_lower_versions_in_the_store_are_not_adopted():
    """Guards against keys or configurations replaced by lower revisions."""

    async def test(bench):
        await bench.set_keys(5)
        await bench.publish(4)
        await bench.pass_time()
        await bench.set_keys(3)
        await bench.publish(2)
        table = Change(layout.PARTITIONS, new_table(), None)
        revision = await commit_changes(bench.memory, [table])
        await bench.pass_time(timedelta(seconds=10))
        assert (bench.state.keys.version, bench.state.config.revision) == (5, 4)
        assert bench.state.partitions_revision == revision

    follow(test)


def test_vm_list_never_goes_back_to_an_older_version():
    """Guards against an outdated list that shows a leaving VM again."""

    async def run():
        bench = Bench()
        vm = Vm("a", VmRole.EXECUTOR, "pool", "r", "z", "z-1", "127.0.0.1:1")
        lists = [VmList({"a": vm}, 2), VmList({}, 1), VmList({"a": vm, "b": vm}, 3)]
        seen = []

        async def list_vms():
            return lists[min(len(seen), 2)]

        bench.directory.list_vms = list_vms
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(bench.follower.run_vm_list)
            for _ in lists:
                await bench.pass_time(timedelta(0))
                seen.append(bench.state.vm_list.version)
                bench.clock.advance(timedelta(seconds=2))
                await bench.pass_time()
            tasks.cancel_scope.cancel()
        assert seen == [2, 2, 3]

    anyio.run(run)


@pytest.mark.parametrize("source", ["late event", "stale read"])
def test_deleted_record_stays_deleted_after_the_watch_starts_again(source):
    """Guards against revisions of deleted records that are dropped too early."""

    async def test(bench):
        batches = []
        bench.store.change_batch = lambda batch: batches.append(batch) or [batch]
        await bench.set_vm("a", 1)
        stale = await scan_all(bench.memory, layout.WATCHED_PREFIX)
        await bench.pass_time()
        await bench.set_vm("a", None)
        await bench.pass_time()
        # The first scan replaces the record's revision by the floor revision.
        for _ in range(2):
            bench.memory.break_watches()
            await bench.pass_time(timedelta(seconds=1))
        seen = []
        records = bench.state.vm_records_by_name
        bench.follower.on_change.append(lambda: seen.append(set(records)))
        if source == "late event":
            bench.store.change_batch = lambda batch: [*batches, batch]
        else:
            bench.store.stale_page = stale
            bench.memory.break_watches()
        await bench.set_vm("b", 2)
        await bench.pass_time(timedelta(seconds=1))
        assert set(records) == {"b"}
        assert not any("a" in names for names in seen)

    follow(test)
