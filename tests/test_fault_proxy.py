"""The fault proxy's faults; one without effect would let other tests pass wrongly."""

from __future__ import annotations

from contextlib import asynccontextmanager

import anyio
import pytest
from anyio.streams.buffered import BufferedByteReceiveStream

from pomeloyard.standins.fault_proxy import Faults, proxying

CASES = [
    (Faults(), b"ping", b"ping"),
    (Faults(delay_seconds=0.05), b"ping", b"ping"),
    (Faults(truncate_after=2), b"ping", b"pi"),
    (Faults(drop_answers=1), b"ping", b""),
    (Faults(duplicate_chunks=1), b"ping", b"pingping"),
]


@asynccontextmanager
async def echo_server():
    received = []

    async def echo(stream):
        async with stream:
            async for chunk in stream:
                received.append(chunk)
                await stream.send(chunk)

    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, echo)
        yield (
            "{}:{}".format(
                *listener.listeners[0].extra(anyio.abc.SocketAttribute.local_address)
            ),
            received,
        )
        tasks.cancel_scope.cancel()


async def connect(proxy):
    host, port = proxy.address.rsplit(":", 1)
    return await anyio.connect_tcp(host, int(port))


async def exchange(stream, data):
    """Send data and return everything received within 0.3 s."""
    received = b""
    await stream.send(data)
    await anyio.sleep(0)
    with anyio.move_on_after(0.3):
        try:
            while True:
                received += await stream.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            pass
    return received


@pytest.mark.parametrize(("faults", "sent", "expected"), CASES)
def test_answers_are_changed_as_the_fault_says(faults, sent, expected):
    async def run():
        async with echo_server() as (target, received), proxying(target) as proxy:
            await proxy.set_faults(faults)
            async with await connect(proxy) as stream:
                assert await exchange(stream, sent) == expected
            # Each fault affects the response only; the request reaches the server.
            assert b"".join(received) == sent

    anyio.run(run)


def test_silenced_connection_hangs_while_new_ones_work_and_refusal_ends():
    async def run():
        async with echo_server() as (target, received), proxying(target) as proxy:
            silenced = await connect(proxy)
            await silenced.send(b"a")
            assert await BufferedByteReceiveStream(silenced).receive_exactly(1) == b"a"
            proxy.silence()
            assert await exchange(silenced, b"lost") == b""
            async with await connect(proxy) as second:
                assert await exchange(second, b"b") == b"b"
            assert received == [b"a", b"b"]

            await proxy.set_faults(Faults(refuse=True))
            with pytest.raises(OSError, match="attempts failed"):
                await connect(proxy)
            await proxy.set_faults(Faults())
            async with await connect(proxy) as third:
                assert await exchange(third, b"c") == b"c"
                proxy.cut()
                with pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)):
                    await third.receive()
            await anyio.aclose_forcefully(silenced)

    anyio.run(run)
