"""Control traffic and store calls of an idle fleet of nine daemons."""

from __future__ import annotations

from collections.abc import Iterable
from contextlib import AsyncExitStack

import anyio

from pomeloyard.clock import SystemClock
from pomeloyard.daemon import Daemon
from pomeloyard.keyvalue.etcd import EtcdStore
from pomeloyard.keyvalue.memory import MemoryStore
from pomeloyard.serving import serving
from pomeloyard.settings import DaemonSettings
from pomeloyard.standins.platform import PlatformState, platform_app
from pomeloyard.standins.vm_directory import MemoryVmDirectory
from pomeloyard.vm_platform.vm_service import HttpVmDirectory
from tests.support.processes import free_port

from .figures import Figure, at_most

DAEMONS = 9
SETTLING_SECONDS = 10.0
MEASURED_SECONDS = 15.0

CONTROL_BYTES_PER_SECOND = 2048
READS_PER_SECOND = 2000
WRITES_PER_SECOND = 300
"""Lower end of the several hundred writes that the store sustains."""

DEPLOYMENT = f"{DAEMONS} daemons in one process, loopback, idle"


def measure() -> Iterable[Figure]:
    """Return rates for one daemon (bytes) and for the fleet (calls)."""
    return anyio.run(_measure)


async def _measure() -> list[Figure]:
    clock = SystemClock()
    platform = PlatformState(MemoryStore(clock), MemoryVmDirectory(clock))
    async with AsyncExitStack() as stack:
        address = await stack.enter_async_context(serving(platform_app(platform)))
        tasks = await stack.enter_async_context(anyio.create_task_group())
        daemons = [_daemon(f"entry-{n}", address) for n in range(DAEMONS)]
        for daemon in daemons:
            await daemon.start(tasks)
        await anyio.sleep(SETTLING_SECONDS)
        before = [_counts(daemon) for daemon in daemons]
        await anyio.sleep(MEASURED_SECONDS)
        after = [_counts(daemon) for daemon in daemons]
        watches = sum(daemon.store.calls.open_watches for daemon in daemons)
        tasks.cancel_scope.cancel()
    rates = [
        [(late - early) / MEASURED_SECONDS for early, late in zip(b, a, strict=True)]
        for b, a in zip(before, after, strict=True)
    ]
    sent, received, reads, writes = zip(*rates, strict=True)
    return [
        at_most(
            "control_links.sent",
            max(sent),
            "bytes/s per daemon",
            CONTROL_BYTES_PER_SECOND,
            DEPLOYMENT,
        ),
        at_most(
            "control_links.received",
            max(received),
            "bytes/s per daemon",
            CONTROL_BYTES_PER_SECOND,
            DEPLOYMENT,
        ),
        at_most(
            "control_links.store_reads",
            sum(reads) + watches / MEASURED_SECONDS,
            "calls/s of the fleet",
            READS_PER_SECOND,
            DEPLOYMENT,
        ),
        at_most(
            "control_links.store_writes",
            sum(writes),
            "calls/s of the fleet",
            WRITES_PER_SECOND,
            DEPLOYMENT,
        ),
    ]


def _counts(daemon: Daemon) -> tuple[int, int, int, int]:
    traffic, calls = daemon.peers.traffic, daemon.store.calls
    return traffic.sent_bytes, traffic.received_bytes, calls.reads, calls.writes


def _daemon(name: str, platform: str) -> Daemon:
    addresses = {
        f"{kind}_address": f"127.0.0.1:{free_port()}"
        for kind in ("caller", "operator", "peer", "metrics")
    }
    url = f"http://{platform}"
    settings = DaemonSettings(
        vm=name,
        availability_zone="bulacan",
        store_url=url,
        directory_url=url,
        **addresses,
    )
    return Daemon(settings, EtcdStore(url), HttpVmDirectory(url), SystemClock())
