"""Costs of every daemon: followed state, events, reads, heartbeats and claims."""

from __future__ import annotations

import os
from collections.abc import Iterable, Iterator

import anyio
import msgspec

from measurements.figures import Figure
from pomeloyard.claims.table import MAX_CLAIMS, Claim, ClaimTable
from pomeloyard.clock import ManualClock
from pomeloyard.fleet_state import FleetState
from pomeloyard.follower import CHECK_INTERVAL, FleetFollower
from pomeloyard.keyvalue import layout
from pomeloyard.keyvalue.memory import MemoryStore
from pomeloyard.keyvalue.store import WatchEvent
from pomeloyard.peers.codec import encode_frame
from pomeloyard.peers.messages import Heartbeat
from pomeloyard.peers.streams import HEARTBEAT_INTERVAL
from pomeloyard.standins.vm_directory import MemoryVmDirectory
from pomeloyard.vm_platform.directory import VmList

from . import target_fleet as target
from .lines import (
    CONTROL_BYTES_PER_SECOND,
    MEGABYTE,
    MEMORY_MB,
    least_seconds,
    line_figures,
    traced_bytes,
)

VM_SIZES = (70, 740, 2000)
TEAM_SIZES = (6, 28, 84)
DAEMON_SIZES = (3, 6, 9)
CLAIM_SIZES = (1000, 10_000, 50_000)
EVENTS = 200


class FollowedFleet:
    """A store with a fleet's records, for followers of that state."""

    def __init__(self, vms: int, teams: int) -> None:
        self.clock = ManualClock()
        self.store = MemoryStore(self.clock)
        self.listing = msgspec.json.encode(target.vm_list(vms))
        anyio.run(target.fill, self.store, target.vm_list(vms), teams)

    def follow(self) -> FleetFollower:
        """Return a follower that has read all records once."""
        directory = MemoryVmDirectory(self.clock, [])
        state = FleetState(vm_list=msgspec.json.decode(self.listing, type=VmList))
        follower = FleetFollower(self.store, directory, self.clock, state)
        anyio.run(follower._scan)
        return follower

    def event_seconds(self) -> float:
        """Return the time to process one event of a VM record."""
        follower = self.follow()
        key = f"{layout.VMS}vm-0001"
        entry = self.store._entries_by_key[key]
        revisions = iter(range(10**6, 10**9))

        async def apply_events() -> None:
            for _ in range(EVENTS):
                event = WatchEvent(key, entry, next(revisions))
                await follower._apply(event.key, event.entry, event.revision)
                follower.notify_changed()

        return least_seconds(lambda: anyio.run(apply_events)) / EVENTS

    def checked_bytes(self) -> int:
        """Return the size of the two records that are read every few seconds."""
        keys = (layout.CONFIG_HEAD, layout.KEYS)
        return sum(target.value_bytes(self.store, key) for key in keys)


def state_figures() -> Iterable[Figure]:
    """Yield the cost of followed state by VM records and by teams."""
    by_vms = {n: FollowedFleet(n, target.TEAMS) for n in VM_SIZES}
    by_teams = {n: FollowedFleet(target.VMS, n) for n in TEAM_SIZES}
    for per, cases, size in (
        ("VM records", by_vms, target.VMS),
        ("teams", by_teams, target.TEAMS),
    ):
        name = "state.vms" if per == "VM records" else "state.teams"
        traced = {n: traced_bytes(case.follow) for n, case in cases.items()}
        memory = {n: used / MEGABYTE for n, (_, used) in traced.items()}
        yield from line_figures(f"{name}.memory", "MB", per, memory, size, MEMORY_MB)
        scan = {n: least_seconds(c.follow, 5) * 1000 for n, c in cases.items()}
        yield from line_figures(f"{name}.scan", "ms", per, scan, size)
    events = {n: case.event_seconds() * 1e6 for n, case in by_vms.items()}
    yield from line_figures("state.vms.event", "us", "VM records", events, target.VMS)
    store = by_vms[VM_SIZES[0]].store
    event_bytes = target.value_bytes(store, f"{layout.VMS}vm-0001")
    yield Figure("slopes.state.vms.event_value", event_bytes, "B")
    yield from _repeated_reads(by_vms, by_teams)


def _repeated_reads(
    by_vms: dict[int, FollowedFleet], by_teams: dict[int, FollowedFleet]
) -> Iterator[Figure]:
    """Yield the content of periodic reads, without HTTP headers."""
    # The list is sent only if it has changed since the last read.
    seconds = 86_400 / target.VM_LIST_CHANGES_PER_DAY
    lists = {n: len(case.listing) / seconds for n, case in by_vms.items()}
    yield from line_figures(
        "state.vm_list_read", "B/s", "VMs", lists, target.VMS, CONTROL_BYTES_PER_SECOND
    )
    seconds = CHECK_INTERVAL.total_seconds()
    checks = {n: case.checked_bytes() / seconds for n, case in by_teams.items()}
    yield from line_figures(
        "state.watch_check",
        "B/s",
        "teams",
        checks,
        target.TEAMS,
        CONTROL_BYTES_PER_SECOND,
    )
    rate = target.CONFIG_CHANGES_PER_DAY / target.DAY_SECONDS
    key = layout.config_revision_key(1)
    config = {n: rate * target.value_bytes(c.store, key) for n, c in by_teams.items()}
    yield from line_figures(
        "state.config_read",
        "B/s",
        "teams",
        config,
        target.TEAMS,
        CONTROL_BYTES_PER_SECOND,
    )


def heartbeat_figures() -> Iterable[Figure]:
    """Yield the traffic of heartbeats that a daemon sends; it receives as many."""
    frame = len(encode_frame(Heartbeat(1_000_000, 10_000, 1_000_000, True), 1_000_000))
    seconds = HEARTBEAT_INTERVAL.total_seconds()
    sent = {n: frame * (n - 1) / seconds for n in DAEMON_SIZES}
    yield from line_figures(
        "heartbeats.sent",
        "B/s",
        "daemons",
        sent,
        target.DAEMONS,
        CONTROL_BYTES_PER_SECOND,
    )


def claim_figures() -> Iterable[Figure]:
    """Yield the memory of the claim table, up to its limit."""
    used = {n: traced_bytes(lambda n=n: _claims(n))[1] / MEGABYTE for n in CLAIM_SIZES}
    yield from line_figures(
        "claims.memory", "MB", "claims", used, MAX_CLAIMS, MEMORY_MB
    )


def _claims(count: int) -> ClaimTable:
    table = ClaimTable()
    for n in range(count):
        key = n.to_bytes(8) + os.urandom(8)
        claim = Claim(key, os.urandom(16), target.MEMBERS[0], n, float(n) / 99)
        table.try_claim(n % 2, claim)
    return table
