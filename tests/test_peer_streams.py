"""Peer connections with invalid data, silent or slow peers and wrong certificates."""

from __future__ import annotations

import errno
import itertools
import random
import ssl
import threading
import time
from contextlib import AsyncExitStack, asynccontextmanager
from datetime import timedelta

import anyio
import msgpack
import pytest
import trustme
from anyio.streams.buffered import BufferedByteReceiveStream
from hypothesis import example, given, settings
from hypothesis import strategies as st

from pomeloyard.clock import SystemClock
from pomeloyard.errors import FrameError
from pomeloyard.peers.calls import PeerCalls
from pomeloyard.peers.codec import (
    LENGTH_PREFIX,
    MAX_FRAME_BYTES,
    decode_length,
    decode_payload,
    encode_frame,
)
from pomeloyard.peers.dialling import ADDRESS_EXPIRY, MAX_DIAL_INTERVAL, DialSchedule
from pomeloyard.peers.messages import (
    MESSAGE_TYPES,
    ConfigReply,
    Goodbye,
    Heartbeat,
    Hello,
    KeyWithdrawn,
    LoanKept,
    RunningQuery,
    RunningReply,
)
from pomeloyard.peers.streams import SEND_QUEUE_BYTES, PeerNetwork
from pomeloyard.peers.tls import PeerTls
from pomeloyard.standins.fault_proxy import proxying

from .support.processes import free_port

SILENCE_DETECTION_SECONDS = 3.0
"""Time in which a silent peer must be detected, from the design."""

LONG = timedelta(minutes=1)
HEARTBEAT = Heartbeat(1, 1, 1, True)
DEEP_NESTING = b"\x91" * 100_000
HUGE_ARRAY = b"\xdd\xff\xff\xff\xff"

ANY_VALUE = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**63), 2**64 - 1)
    | st.floats()
    | st.text(max_size=5)
    | st.binary(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=5)
        | st.dictionaries(st.text(max_size=3), inner, max_size=3)
    ),
    max_leaves=12,
)
TYPE_NUMBER = st.integers(-1, len(MESSAGE_TYPES) + 1)
FRAMES = st.one_of(
    st.binary(max_size=200),
    st.tuples(st.sampled_from([0, 1, 2, True, None]), TYPE_NUMBER, ANY_VALUE, ANY_VALUE)
    .map(list)
    .map(msgpack.packb),
    st.tuples(st.just(1), TYPE_NUMBER, st.just(0), st.lists(ANY_VALUE, max_size=7))
    .map(list)
    .map(msgpack.packb),
)


@settings(max_examples=500, deadline=None, derandomize=True, database=None)
@given(FRAMES)
@example(DEEP_NESTING)
@example(HUGE_ARRAY)
@example(b"\xc7\x0c\xff" + b"\xff" * 12)
@example(b"\x81\xc0\xc0")
def test_decoder_gives_a_message_or_a_frame_error(payload):
    """Guards against other exceptions, which would end the daemon."""
    try:
        _, message = decode_payload(payload)
    except FrameError:
        return
    assert type(message) in MESSAGE_TYPES
    again = decode_payload(encode_frame(message)[LENGTH_PREFIX.size :])[1]
    assert type(again) is type(message)


@pytest.mark.parametrize("length", [MAX_FRAME_BYTES + 1, 2**32 - 1])
def test_oversized_length_is_refused_before_it_is_read(length):
    """Guards against allocating memory for a false length from a faulty peer."""
    with pytest.raises(FrameError):
        decode_length(LENGTH_PREFIX.pack(length))


class Peer:
    """A PeerNetwork that records its connections and received messages."""

    def __init__(self, name, *, address="", listen="", tls=None):
        self.name = f"{name}.00000000"
        self.listen = listen or f"127.0.0.1:{free_port()}"
        hello = Hello(self.name, name, address or self.listen, "zone")
        self.network = PeerNetwork(
            SystemClock(), hello, listen_address=self.listen, tls=tls
        )
        self.network.heartbeat = lambda: HEARTBEAT
        self.connected = []
        self.received = []
        self.network.on_connect.append(self.connected.append)
        self.network.on(KeyWithdrawn, lambda s, m: self.received.append((s, m.key_id)))

    def is_connected_to(self, other):
        return other.name in self.network.connections_by_incarnation


@asynccontextmanager
async def running(*peers):
    async with anyio.create_task_group() as tasks:
        for peer in peers:
            await peer.network.start(tasks)
        yield
        for peer in peers:
            await peer.network.close()
        tasks.cancel_scope.cancel()


async def until(condition, seconds=5.0):
    with anyio.fail_after(seconds):
        while not condition():
            await anyio.sleep(0.01)


async def dial(address):
    host, port = address.rsplit(":", 1)
    return await anyio.connect_tcp(host, int(port))


def framed(payload):
    return LENGTH_PREFIX.pack(len(payload)) + payload


HELLO = encode_frame(Hello("raw.11111111", "raw", "127.0.0.1:1", "zone"))
INVALID_STREAMS = [
    b"GET / HTTP/1.1\r\n\r\n",
    b"\xff" * 100,
    LENGTH_PREFIX.pack(MAX_FRAME_BYTES + 1),
    framed(b""),
    framed(DEEP_NESTING),
    framed(HUGE_ARRAY),
    framed(msgpack.packb([2, 1, 0, [1, 1, 1, True]])),
    framed(msgpack.packb([1, 999, 0, []])),
    framed(msgpack.packb([1, 1, 0, ["x", None, [], {}]])),
    encode_frame(HEARTBEAT),
    encode_frame(Hello("a.00000000", "a", "not an address", "zone")),
    HELLO + framed(DEEP_NESTING),
    HELLO + framed(msgpack.packb([1, 1, 0, []])),
    HELLO + LENGTH_PREFIX.pack(50) + b"too short",
    HELLO + encode_frame(LoanKept(-1, -1, "?", "?", -(2**62), -1)),
    HELLO + encode_frame(RunningQuery(-(2**62), "?")),
    HELLO + encode_frame(Goodbye("b.00000000")),
    encode_frame(Hello("raw.2", "raw", "nonsense", "zone")) + encode_frame(HEARTBEAT),
]


def test_nothing_received_ends_a_daemon_or_its_other_connections():
    """Guards against invalid data and failing handlers that end the task group."""

    async def run():
        a, b = Peer("a"), Peer("b")
        goodbyes = []
        a.network.on_goodbye.append(goodbyes.append)
        a.network.on(RunningQuery, lambda sender, message: {}[sender])
        async with running(a, b):
            b.network.seeds.add(a.listen)
            await until(lambda: a.is_connected_to(b) and b.is_connected_to(a))
            for content in INVALID_STREAMS:
                async with await dial(a.listen) as stream:
                    await stream.send(content)
            generator = random.Random(7)
            for _ in range(30):
                async with await dial(a.listen) as stream:
                    await stream.send(HELLO * generator.randrange(2))
                    await stream.send(generator.randbytes(generator.randrange(300)))
            await until(lambda: a.network.traffic.rejected_frames >= 10)
            await until(lambda: a.network.traffic.failed_handlers == 1)
            assert b.network.send(a.name, KeyWithdrawn("k"))
            await until(lambda: (b.name, "k") in a.received)
            # Another daemon must not be able to send Goodbye for b.
            assert goodbyes == []
            assert a.connected.count(b.name) == 1

    anyio.run(run)


async def silent_connection_is_replaced_in_both_directions():
    """Guards against a dead connection that is never replaced by a new one."""

    listen = f"127.0.0.1:{free_port()}"
    async with proxying(listen) as proxy:
        a, b = Peer("a"), Peer("b", address=proxy.address, listen=listen)
        async with running(a, b):
            a.network.seeds.add(proxy.address)
            await until(lambda: a.is_connected_to(b) and b.is_connected_to(a))
            await anyio.sleep(1.1)  # Heartbeats are exchanged before the fault.
            proxy.silence()
            start = time.monotonic()
            await until(lambda: len(a.connected) == 2 and len(b.connected) == 2)
            # Detected in time, then dialled again after at most one back-off.
            limit = SILENCE_DETECTION_SECONDS + MAX_DIAL_INTERVAL.total_seconds()
            assert time.monotonic() - start < limit
            assert a.network.send(b.name, KeyWithdrawn("new"))
            assert b.network.send(a.name, KeyWithdrawn("new"))
            await until(lambda: a.received and b.received)


async def paused_daemon_reconnects_when_resumed():
    """Guards against a paused daemon that stays disconnected, and calls that hang."""
    a, b = Peer("a"), Peer("b")
    pause, stop = threading.Event(), threading.Event()

    async def run_b():
        async with running(b):
            while not stop.is_set():
                if pause.is_set():
                    time.sleep(SILENCE_DETECTION_SECONDS + 1)
                    pause.clear()
                await anyio.sleep(0.02)

    async def run():
        calls = PeerCalls(a.network)
        calls.register_reply_type(RunningReply)
        async with running(a):
            a.network.seeds.add(b.listen)
            await until(lambda: a.is_connected_to(b) and b.is_connected_to(a))
            pause.set()
            start = time.monotonic()
            answer = await calls.call(
                b.name, lambda i: RunningQuery(i, "vm"), RunningReply, LONG
            )
            assert answer is None
            assert not a.is_connected_to(b)
            # One heartbeat may still have been in flight.
            assert time.monotonic() - start < SILENCE_DETECTION_SECONDS + 1
            await until(
                lambda: (
                    a.is_connected_to(b) and b.is_connected_to(a) and not pause.is_set()
                )
            )
            assert a.network.send(b.name, KeyWithdrawn("k"))
            await until(lambda: (a.name, "k") in b.received)

    thread = threading.Thread(target=lambda: anyio.run(run_b))
    thread.start()
    try:
        await run()
    finally:
        stop.set()
        await anyio.to_thread.run_sync(thread.join)


async def duplicate_connections_are_closed_without_a_gap():
    """Guards against two daemons that dial each other and reconnect endlessly."""

    a, b = Peer("a"), Peer("b")
    async with running(a, b), anyio.create_task_group() as tasks:
        tasks.start_soon(a.network._dial, b.listen)
        tasks.start_soon(b.network._dial, a.listen)
        tasks.start_soon(a.network._dial, b.listen)
        await until(lambda: len(a.network._connections) == 3)
        end = time.monotonic() + 4.5
        while time.monotonic() < end:
            assert a.is_connected_to(b)
            assert b.is_connected_to(a)
            await anyio.sleep(0.02)
        assert len(a.connected) == len(b.connected) == 3
        tasks.cancel_scope.cancel()


async def slow_reader_neither_blocks_the_loop_nor_takes_memory():
    """Guards against one blocked daemon that stalls others or exhausts memory."""

    a = Peer("a")
    async with running(a):
        stream = await dial(a.listen)
        await stream.send(HELLO)
        await until(lambda: "raw.11111111" in a.network.connections_by_incarnation)
        large = ConfigReply(1, b"c" * 500_000)
        slowest = 0.0
        for _ in range(60):
            start = time.monotonic()
            a.network.send("raw.11111111", large)
            await anyio.sleep(0)
            slowest = max(slowest, time.monotonic() - start)
        assert slowest < 0.1
        assert a.network.traffic.dropped_messages > 0
        connection = a.network.connections_by_incarnation["raw.11111111"]
        assert connection.queued_bytes <= SEND_QUEUE_BYTES
        await until(lambda: not a.network.connections_by_incarnation)
        await anyio.aclose_forcefully(stream)


CONNECTION_FAULTS = [
    silent_connection_is_replaced_in_both_directions,
    paused_daemon_reconnects_when_resumed,
    duplicate_connections_are_closed_without_a_gap,
    slow_reader_neither_blocks_the_loop_nor_takes_memory,
]


def test_link_faults_that_take_real_time():
    """Run the cases concurrently, as each waits for 3 s of silence or longer."""

    async def run():
        async with anyio.create_task_group() as tasks:
            for case in CONNECTION_FAULTS:
                tasks.start_soon(case, name=case.__name__)

    anyio.run(run)


def test_exhausted_descriptors_do_not_end_a_daemon():
    """Guards against an error from accept() that ends the task group."""

    class Listener:
        served = 0

        async def serve(self, handler):
            self.served += 1
            if self.served == 1:
                raise OSError(errno.EMFILE, "too many open files")
            raise anyio.ClosedResourceError

    async def run():
        listener = Listener()
        await Peer("a").network._listen(listener)
        assert listener.served == 2

    anyio.run(run)


def test_dialling_is_jittered_backs_off_and_forgets():
    """Guards against dial storms, and against dialling replaced VMs forever."""
    random.seed(3)
    schedule, other = DialSchedule("a:1"), DialSchedule("c:1")
    now, dialled = timedelta(0), []
    step = timedelta(milliseconds=50)
    while now < ADDRESS_EXPIRY - step:
        for address in schedule.due({"b:1"}, set(), now):
            dialled.append(now)
            schedule.ended(address)
        now += step
    gaps = [later - earlier for earlier, later in itertools.pairwise(dialled)]
    assert max(gaps) <= 1.5 * MAX_DIAL_INTERVAL + step
    assert len({round(gap.total_seconds(), 1) for gap in gaps[5:]}) > 5
    assert schedule.expired(now) == set()
    assert schedule.expired(now + timedelta(minutes=1)) == {"b:1"}
    # The daemon with the smaller address dials first.
    assert other.due({"b:1"}, set(), timedelta(0)) == []
    assert other.due({"b:1"}, set(), timedelta(seconds=2)) == ["b:1"]
    # An address is not due while it is being dialled or is connected.
    assert other.due({"b:1"}, set(), timedelta(seconds=60)) == []
    other.ended("b:1")
    assert other.due({"b:1"}, {"b:1"}, timedelta(seconds=60)) == []


def issue_certificate(directory, authority):
    certificate = authority.issue_cert("127.0.0.1")
    certificate.cert_chain_pems[0].write_to_path(directory / "cert.pem")
    certificate.private_key_pem.write_to_path(directory / "key.pem")
    authority.cert_pem.write_to_path(directory / "ca.pem")
    return directory / "cert.pem", directory / "key.pem", directory / "ca.pem"


def test_links_need_a_certificate_of_the_fleet_and_take_renewed_ones(tmp_path):
    """Guards against a peer with a foreign certificate, and expired certificates."""

    async def run():
        fleet, foreign_ca = trustme.CA(), trustme.CA()
        (tmp_path / "other").mkdir()
        files = issue_certificate(tmp_path, fleet)
        tls = PeerTls(*files)
        a, b = Peer("a", tls=tls), Peer("b", tls=tls)
        foreign_peer = Peer(
            "s", tls=PeerTls(*issue_certificate(tmp_path / "other", foreign_ca))
        )
        plaintext_peer = Peer("p")
        async with AsyncExitStack() as stack:
            await stack.enter_async_context(running(a, b, foreign_peer, plaintext_peer))
            for peer in (b, foreign_peer, plaintext_peer):
                peer.network.seeds.add(a.listen)
            a.network.seeds.update({foreign_peer.listen, plaintext_peer.listen})
            await until(lambda: a.is_connected_to(b) and b.is_connected_to(a))
            assert b.network.send(a.name, KeyWithdrawn("secret"))
            await until(lambda: a.received)
            files[0].write_text("half written")
            await anyio.sleep(1.5)  # The rejected peers dial several times in between.
            assert set(a.connected) == {b.name}
            assert set(foreign_peer.connected) == set(plaintext_peer.connected) == set()

            issue_certificate(tmp_path, foreign_ca)
            await until(lambda: foreign_peer.is_connected_to(a))

    anyio.run(run)


def test_plain_text_reveals_nothing_of_a_tls_daemon(tmp_path):
    """Guards against a daemon that sends data before the TLS handshake."""

    async def run():
        a = Peer("a", tls=PeerTls(*issue_certificate(tmp_path, trustme.CA())))
        async with running(a), await dial(a.listen) as stream:
            await stream.send(HELLO)
            received = b""
            try:
                while True:
                    received += await BufferedByteReceiveStream(stream).receive(100)
            except (anyio.EndOfStream, anyio.BrokenResourceError, ssl.SSLError):
                pass
            assert b"127.0.0.1" not in received
            assert a.connected == []

    anyio.run(run)
