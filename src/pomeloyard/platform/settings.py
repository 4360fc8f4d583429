"""The settings file that the platform writes for each process."""

from __future__ import annotations

import os
from dataclasses import dataclass
from datetime import timedelta
from pathlib import Path

import msgspec

from ..errors import SettingsError

PATH_VARIABLE = "POMELOYARD_CONFIG"
IDS_VARIABLE = "POMELOYARD_EXECUTOR_IDS"
"""Set at deployment: "kept" if executors keep their ids on restart, else "new"."""
METRICS_PORT = 9464
"""The port registered for OpenMetrics exporters; deploy/system.toml names it."""


class _ListenAddresses(msgspec.Struct):
    front: str
    ready_addr: str


class _Limits(msgspec.Struct):
    cpu_share: float = 1.0
    """Fraction of a core; times ``cores``, the speed of one core."""
    cores: float = 1.0
    memory_mb: int = 0
    link_mbps: float = 0


class _Bounds(msgspec.Struct):
    # The platform writes each value either as an integer or as a fraction.
    config_ms: float = 2000
    revoke_ms: float = 5000
    grace_s: float = 6
    hold_max_ms: float = 10_000
    stop_ms: float = 900
    lease_ms: float = 3000
    contact_ms: float = 3000
    gang_ms: float = 3000
    notice_ms: float = 4500
    save_s: float = 1
    restore_ms: float = 600
    remote_factor: float = 1.5
    move_s: float = 1.5
    upkeep_s: float = 2
    status_s: float = 120
    pace_ms: float = 100
    harm_ms: float = 4000
    evac_ms: float = 5000
    """Only where zones can be evacuated."""


class _StoreSection(msgspec.Struct):
    address: str
    writes_per_s: float = 400
    reads_per_s: float = 2000


class _CloudApiSection(msgspec.Struct):
    address: str = ""
    per_s: float = 16
    duty_per_s: float = 16


class _SettingsFile(msgspec.Struct):
    node_name: str
    ip: str
    zone: str
    listen_addrs: _ListenAddresses
    platform: _StoreSection
    limits: _Limits = msgspec.field(default_factory=_Limits)
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    cloud_api: _CloudApiSection | None = None
    advice: str | None = None
    zones: dict[str, str] = {}
    """Regions by the names of the availability zones."""
    port_range: tuple[int, int] = (7600, 7615)
    """First and last port for connections between daemons."""


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Settings that the platform gives a daemon at its start."""

    vm: str
    availability_zone: str
    zones: frozenset[str]
    """All availability zones of the deployment."""
    caller_address: str
    readiness_address: str
    metrics_address: str
    relay_address: str
    """Listens for store calls to relay for other daemons."""
    store_address: str
    vm_service_address: str
    advice_address: str
    core_speed: float
    """Speed of this VM's core; 1.0 is one whole core."""
    memory_mb: int
    """Memory limit of the daemon, 0 if it is not stated."""
    link_mbps: float
    """Bandwidth of this VM's link in Mbit/s, 0 if it is not stated."""
    config_bound: timedelta
    """Time limit for a new configuration to take effect."""
    capacity_bound: timedelta
    """Time limit for starts to keep to a capacity that has shrunk."""
    evacuation_bound: timedelta
    """Time limit for the evacuation of an availability zone to take effect."""
    withdrawal_bound: timedelta
    """Time limit for a withdrawn key to be rejected."""
    stop_grace: timedelta
    """Time between SIGTERM and SIGKILL."""
    max_lease: timedelta
    """Executors cap leases at this."""
    takeover_pause: timedelta
    """Two holders of the role must not operate on one VM within this time."""
    absence_notice: timedelta
    """A long-running task that is not at work for this long is unavailable."""
    save_interval: timedelta
    move_time: timedelta
    upkeep_time: timedelta
    job_retention: timedelta
    executor_ids_kept: bool = False
    """Whether a restarted executor keeps its id. If this is not set, it is learned from
    the first such restart."""


def read_settings(path: Path | None = None) -> PlatformSettings:
    """Read the settings file.

    Raises SettingsError if it is missing, invalid or incomplete.
    """
    source = path or Path(os.environ.get(PATH_VARIABLE, ""))
    try:
        content = source.read_bytes()
    except OSError as error:
        raise SettingsError(f"settings file {source}: {error}") from error
    try:
        file = msgspec.json.decode(content, type=_SettingsFile)
    except msgspec.MsgspecError as error:
        raise SettingsError(f"settings file {source}: {error}") from error
    ids = os.environ.get(IDS_VARIABLE, "new")
    if ids not in ("kept", "new"):
        raise SettingsError(f'{IDS_VARIABLE} is "{ids}", not "kept" or "new"')
    bounds = file.bounds
    return PlatformSettings(
        vm=file.node_name,
        availability_zone=file.zone,
        zones=frozenset(file.zones),
        caller_address=file.listen_addrs.front,
        readiness_address=file.listen_addrs.ready_addr,
        metrics_address=f"{file.ip}:{METRICS_PORT}",
        relay_address=f"{file.ip}:{file.port_range[0]}",
        store_address=file.platform.address,
        vm_service_address=file.cloud_api.address if file.cloud_api else "",
        advice_address=file.advice or "",
        core_speed=file.limits.cpu_share * file.limits.cores,
        memory_mb=file.limits.memory_mb,
        link_mbps=file.limits.link_mbps,
        config_bound=timedelta(milliseconds=bounds.config_ms),
        capacity_bound=timedelta(milliseconds=bounds.contact_ms),
        evacuation_bound=timedelta(milliseconds=bounds.evac_ms),
        withdrawal_bound=timedelta(milliseconds=bounds.revoke_ms),
        stop_grace=timedelta(seconds=bounds.grace_s),
        max_lease=timedelta(milliseconds=bounds.hold_max_ms),
        takeover_pause=timedelta(milliseconds=bounds.lease_ms),
        absence_notice=timedelta(milliseconds=bounds.notice_ms),
        save_interval=timedelta(seconds=bounds.save_s),
        move_time=timedelta(seconds=bounds.move_s),
        upkeep_time=timedelta(seconds=bounds.upkeep_s),
        job_retention=timedelta(seconds=bounds.status_s),
        executor_ids_kept=ids == "kept",
    )
