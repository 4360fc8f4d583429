"""Propagation time of configurations and withdrawals, and cost of idle daemons."""

from __future__ import annotations

import os
import tempfile
import time
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from functools import partial
from pathlib import Path

import httpcore
import msgspec

from pomeloyard.config.model import FleetConfig, PoolConfig, TeamConfig
from pomeloyard.operators.client import OperatorCallError, OperatorClient
from pomeloyard.standins.launcher import LocalFleet, wait_until

from .figures import Figure, at_most

IN_FORCE_BOUND_SECONDS = 15.0
WITHDRAWN_BOUND_SECONDS = 5.0
CPU_BOUND_PERCENT = 4.0
MEMORY_BOUND_MB = 32.0
PUBLICATIONS = 20
WITHDRAWALS = 3
LINK_DELAY_MS = 150
"""Delay of each chunk on the link to the slow store. A call's round trip, which is
measured, takes at least twice as long."""
SLOW_CALL_SECONDS = 0.3
IDLE_SECONDS = 4.0
ZONES = ("bulacan", "pampanga", "laguna")
HTTP_UNAUTHORIZED = 401


def measure() -> Iterable[Figure]:
    """Measure three and nine real daemons, then three with a slow store."""
    for daemons, delay_ms in ((3, 0), (9, 0), (3, LINK_DELAY_MS)):
        deployment = f"{daemons} daemons" + (", slow store" if delay_ms else "")
        with running_fleet(daemons, delay_ms) as fleet:
            if delay_ms:
                seconds = _store_call_seconds(fleet)
                if seconds < SLOW_CALL_SECONDS:
                    raise AssertionError(f"the store answers within {seconds} s")
                yield Figure("store call", seconds, "s", deployment=deployment)
            yield from _propagation(fleet, deployment)
            if not delay_ms:
                yield from _idle_costs(fleet, deployment)
                yield from _outage(fleet, deployment)


@contextmanager
def running_fleet(daemons: int, delay_ms: int) -> Iterator[LocalFleet]:
    """Yield a fleet of daemons that have connected to each other."""
    with tempfile.TemporaryDirectory() as directory:
        fleet = LocalFleet(Path(directory))
        try:
            fleet.start_platform()
            store_url = fleet.start_slow_store(delay_ms) if delay_ms else ""
            for number in range(daemons):
                zone = ZONES[number % len(ZONES)]
                fleet.start_daemon(f"entry-{number + 1}", zone, store_url)
            fleet.wait_for_daemons("healthz")
            client = OperatorClient(fleet.addresses("operator"), fleet.operator_key)
            wait_until(partial(_all_registered, client, daemons), "all registered")
            client.close()
            yield fleet
        finally:
            fleet.close()


def _all_registered(client: OperatorClient, count: int) -> bool:
    daemons = client.call("GET", "/v1/config")["daemons"]
    heard = [daemon for daemon in daemons if daemon["heard_seconds_ago"] is not None]
    return len(heard) == count


def _store_call_seconds(fleet: LocalFleet) -> float:
    started = time.monotonic()
    httpcore.request(
        "POST", f"{fleet.slow_store_url}/v3/kv/range", content=b'{"key": ""}'
    )
    return round(time.monotonic() - started, 3)


def _propagation(fleet: LocalFleet, deployment: str) -> Iterable[Figure]:
    clients = [
        OperatorClient([address], fleet.operator_key)
        for address in fleet.addresses("operator")
    ]
    times = [_publish(clients, number) for number in range(PUBLICATIONS)]
    name = "configuration in force everywhere, greatest"
    yield at_most(name, round(max(times), 3), "s", IN_FORCE_BOUND_SECONDS, deployment)
    times = [_grant_and_withdraw(fleet, clients) for _ in range(WITHDRAWALS)]
    name = "withdrawn key refused everywhere, greatest"
    yield at_most(name, round(max(times), 3), "s", WITHDRAWN_BOUND_SECONDS, deployment)
    for client in clients:
        client.close()


def _outage(fleet: LocalFleet, deployment: str) -> Iterable[Figure]:
    """Withdraw a key while the store is down."""
    clients = [
        OperatorClient([address], fleet.operator_key)
        for address in fleet.addresses("operator")
    ]
    granted = clients[0].call("POST", "/v1/keys", {"team": "mill"})
    _wait_accepted(fleet, granted["key"])
    fleet.kill("platform")
    seconds = _withdraw(fleet, clients[-1], granted)
    name = "withdrawn key refused everywhere, store down"
    yield at_most(name, round(seconds, 3), "s", WITHDRAWN_BOUND_SECONDS, deployment)
    for client in clients:
        client.close()


def _publish(clients: list[OperatorClient], number: int) -> float:
    """Return the seconds from publishing until every daemon itself reports it."""
    team = TeamConfig("mill", 1.0, 10 + number)
    pool = PoolConfig("orders", executors=2)
    config = FleetConfig(
        name="measured", pools_by_name={"orders": pool}, teams_by_name={"mill": team}
    )
    publisher = clients[number % len(clients)]
    body = msgspec.to_builtins(config)
    started = time.monotonic()
    path = f"/v1/config?made_from={number}"
    revision = 0
    while not revision:
        try:
            revision = publisher.call("POST", path, body)["revision"]
        except OperatorCallError as error:
            # Retry after a refusal; the time of the refused call counts.
            if error.outcome != "not-run":
                raise
    for client in clients:
        wait_until(partial(_in_force, client, revision), f"revision {revision}")
    return time.monotonic() - started


def _in_force(client: OperatorClient, revision: int) -> bool:
    return bool(client.call("GET", "/v1/config")["revision"] >= revision)


def _grant_and_withdraw(fleet: LocalFleet, clients: list[OperatorClient]) -> float:
    granted = clients[0].call("POST", "/v1/keys", {"team": "mill"})
    _wait_accepted(fleet, granted["key"])
    return _withdraw(fleet, clients[-1], granted)


def _wait_accepted(fleet: LocalFleet, key: str) -> None:
    for daemon in fleet.daemons:
        wait_until(partial(_is_accepted, fleet, daemon, key), f"{daemon} accepts it")


def _withdraw(
    fleet: LocalFleet, client: OperatorClient, granted: dict[str, str]
) -> float:
    """Return the seconds from a withdrawal until every daemon refuses the key."""
    started = time.monotonic()
    client.call("DELETE", f"/v1/keys/{granted['key_id']}")
    for daemon in fleet.daemons:
        refused = partial(_is_refused, fleet, daemon, granted["key"])
        wait_until(refused, f"{daemon} refuses it")
    return time.monotonic() - started


def _is_accepted(fleet: LocalFleet, daemon: str, key: str) -> bool:
    """Tell whether a key is valid; no service exists, so that nothing runs."""
    response = httpcore.request(
        "GET",
        f"http://{fleet.address(daemon, 'caller')}/v1/services/none/x",
        headers={"Authorization": f"Bearer {key}"},
    )
    return response.status != HTTP_UNAUTHORIZED


def _is_refused(fleet: LocalFleet, daemon: str, key: str) -> bool:
    return not _is_accepted(fleet, daemon, key)


def _idle_costs(fleet: LocalFleet, deployment: str) -> Iterable[Figure]:
    pids = [fleet.pid(name) for name in fleet.daemons]
    before = [_cpu_seconds(pid) for pid in pids]
    started = time.monotonic()
    time.sleep(IDLE_SECONDS)
    elapsed = time.monotonic() - started
    used = [_cpu_seconds(p) - b for p, b in zip(pids, before, strict=True)]
    percent = round(max(used) / elapsed * 100, 2)
    name = "CPU of an idle daemon, greatest"
    yield at_most(name, percent, "% of a core", CPU_BOUND_PERCENT, deployment)
    memory = [_memory_mb(pid) for pid in pids]
    resident = max(total for total, _ in memory)
    name = "resident memory of an idle daemon, greatest"
    yield at_most(name, resident, "MB", MEMORY_BOUND_MB, deployment)
    private = max(part for _, part in memory)
    yield Figure("of which private", private, "MB", deployment=deployment)


def _cpu_seconds(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _memory_mb(pid: int) -> tuple[float, float]:
    """Return resident and private memory in MB (2**20 bytes)."""
    resident = private = 0
    for line in Path(f"/proc/{pid}/smaps_rollup").read_text().splitlines():
        name, _, rest = line.partition(":")
        if name == "Rss":
            resident = int(rest.split()[0])
        elif name in ("Private_Clean", "Private_Dirty"):
            private += int(rest.split()[0])
    return round(resident / 1024, 1), round(private / 1024, 1)
