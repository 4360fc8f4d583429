"""Registrations of another writer among those of the executors."""

from __future__ import annotations

import json
from datetime import timedelta

import anyio
import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pomeloyard.batch import layout
from pomeloyard.batch.configuration_follower import DocumentError
from pomeloyard.batch.executors import Executor
from pomeloyard.batch.model import JobRecord, JobSpec, JobState, StepSpec
from pomeloyard.errors import CallNotSentError
from pomeloyard.keyvalue.store import Put, Transaction
from pomeloyard.platform.documents import RegistrationDocuments
from pomeloyard.platform.http import HttpClient
from tests.support.batch_world import World
from tests.test_batch_decisions import NOW

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


ENTRY = {
    "service": "mill",
    "address": "127.0.0.1:1",
    "zone": "zone-1",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_ms": 0,
    "capacity": {"cpu": 4000, "mem_mb": 64_000, "gpu": 0},
    "labels": ["plain", "r1"],
    "sequence": 1,
    "machine": "m-other",
    "born": 5,
}
EDGES = [0, -1, 1.5, 2**31, 2**53, 2**63, 2**64, 10**30, 10**400, -(10**400), 1e308]
ADDRESSES = [
    "",
    ":",
    "127.0.0.1",
    "127.0.0.1:0",
    "127.0.0.1:65536",
    "127.0.0.1:\u00b2",
    "127.0.0.1:" + "9" * 5000,
    "[::1]:80",
    "a b:80",
    "a\r\nb:80",
    "e-0:1",
]
TEXTS = ["", "\u0000", "\u2603" * 300, "a/b", "e-0", "x" * 10_000, "up", "draining"]
SCALARS = st.one_of(
    st.none(),
    st.booleans(),
    st.sampled_from(EDGES),
    st.sampled_from(TEXTS),
    st.sampled_from(ADDRESSES),
    st.text(max_size=20),
)
VALUES = st.recursive(
    SCALARS,
    lambda inner: st.one_of(
        st.lists(inner, max_size=3), st.dictionaries(st.text(max_size=5), inner)
    ),
    max_leaves=5,
)


def nested(depth, open_with="[", close_with="]"):
    return open_with * depth + close_with * depth


@st.composite
def entries(draw):
    """Return the bytes of an entry with some fields changed, removed or nested."""
    kind = draw(st.sampled_from(["fields", "fields", "fields", "bytes", "nested"]))
    if kind == "bytes":
        return draw(st.binary(max_size=60))
    entry = json.loads(json.dumps(ENTRY))
    if kind == "nested":
        field = draw(st.sampled_from([*entry, "more"]))
        depth = draw(st.sampled_from([10, 600, 5000, 100_000]))
        entry[field] = "HERE"
        return json.dumps(entry).replace('"HERE"', nested(depth)).encode()
    for _ in range(draw(st.integers(1, 3))):
        field = draw(st.sampled_from([*ENTRY, "capacity.cpu", "capacity.mem_mb"]))
        target, _, inner = field.partition(".")
        if inner and isinstance(entry.get(target), dict):
            entry[target][inner] = draw(SCALARS)
        elif target == "address":
            entry[target] = draw(st.sampled_from(ADDRESSES))
        elif draw(st.booleans()):
            entry.pop(target, None)
        else:
            entry[target] = draw(VALUES)
    return json.dumps(entry).encode()


class AnyWriter:
    """Decodes the registrations of the fakes, and all others as the platform's."""

    prefix = "executors/"

    def executor(self, key, content):
        try:
            return msgspec.msgpack.decode(content, type=Executor)
        except (msgspec.MsgspecError, RecursionError):
            executor_id = key.removeprefix(self.prefix)
            platform = RegistrationDocuments()
            return platform.executor(platform.prefix + executor_id, content)


async def check_that_jobs_complete(contents):
    """Run jobs beside the given entries, before and after a change of the holder."""
    world = World(executors=2)
    world.manage_vms()
    world.registrations = AnyWriter()
    async with world.running() as term:
        await world.submit("a1", StepSpec(2, 500, 100))
        for number, content in enumerate(contents):
            put = Put(f"executors/odd-{number}", content)
            await world.store.commit(Transaction((), (put,)))
        await world.submit("b1", StepSpec(2, 500, 100))
        assert await world.run_for(4, lambda: world.state("b1") is JobState.COMPLETED)
        assert world.state("a1") is JobState.COMPLETED
        assert not term._ended.is_set()
        async with world.term() as successor:
            await world.submit("c1", StepSpec(2, 500, 100))
            assert await world.run_for(
                6, lambda: world.state("c1") is JobState.COMPLETED
            )
            assert not successor._ended.is_set()


@settings(max_examples=60, derandomize=True, deadline=None)
@given(st.lists(entries(), min_size=3, max_size=8))
def test_odd_registrations_keep_no_job_from_running(contents):
    # On another system one such entry ended every process that read the list, or kept
    # it from following the list.
    anyio.run(check_that_jobs_complete, contents)


@pytest.mark.parametrize("address", ADDRESSES)
def test_a_registration_names_an_ipv4_address_and_a_port(address):
    # A name would be looked up, and some addresses raise no OSError.
    documents = RegistrationDocuments()
    content = json.dumps({**ENTRY, "address": address}).encode()
    with pytest.raises(DocumentError):
        documents.executor("servers/i", content)
    assert documents.executor("servers/i", json.dumps(ENTRY).encode()).incarnation == 5


@pytest.mark.parametrize("host", ["\u0000", "x" * 300, "\ud800", "a..b"])
async def test_a_call_to_an_impossible_host_is_not_sent(host):
    client = HttpClient()
    with pytest.raises(CallNotSentError):
        await client.request("GET", f"{host}:80", "/a", timedelta(seconds=1))
    await client.close()


def nested_record():
    return b"\x91" * 100_000


def record_without_steps():
    spec = JobSpec("p", ())
    return msgspec.msgpack.encode(JobRecord("cuts", "nets", spec, NOW, "w"))


def record_without_time_zone():
    spec = JobSpec("p", (StepSpec(1, 1000, 100),))
    record = JobRecord("cuts", "nets", spec, NOW.replace(tzinfo=None), "w")
    return msgspec.msgpack.encode(record)


@pytest.mark.parametrize(
    "record", [nested_record, record_without_steps, record_without_time_zone]
)
async def test_a_job_record_that_cannot_be_used_costs_only_that_job(record):
    # Each holder ended its term when it met one of these, and so did the next.
    world = World(executors=2)
    async with world.running() as term:
        put = Put(layout.JOBS + "odd", record())
        await world.store.commit(Transaction((), (put,)))
        await world.submit("b1", StepSpec(2, 500, 100))
        assert await world.run_for(4, lambda: world.state("b1") is JobState.COMPLETED)
        assert not term._ended.is_set()
        async with world.term() as successor:
            await world.submit("c1", StepSpec(2, 500, 100))
            assert await world.run_for(
                6, lambda: world.state("c1") is JobState.COMPLETED
            )
            assert not successor._ended.is_set()


@pytest.mark.parametrize("cpu", [10**30, 10**400, -(10**400)])
async def test_a_registration_with_a_number_out_of_range_is_ignored(cpu):
    content = json.dumps({**ENTRY, "capacity": {"cpu": cpu}}).encode()
    await check_that_jobs_complete([content])
