"""Decoders for documents that operators and executors write to the store."""

from __future__ import annotations

from datetime import timedelta
from ipaddress import IPv4Address
from types import MappingProxyType
from typing import TypeVar

import msgspec

from ..batch.configuration_follower import DocumentError
from ..batch.executors import Executor
from ..batch.model import (
    Configuration,
    PlacementAdvice,
    Pool,
    Queue,
    Resources,
    TeamLimits,
    Wave,
)
from .codec import decode_json
from .http import MAX_PORT

MAX_PORT_DIGITS = 5
MAX_AMOUNT = 10**9
"""Largest plausible amount of a resource: a million cores, or a petabyte."""

T = TypeVar("T")


class _Advice(msgspec.Struct):
    decide_ms: float = 0
    each_ms: float = 0
    valid_ms: float = 0


class _Route(msgspec.Struct):
    """A queue."""

    name: str
    hostname: str
    prefix: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    slo_ms: float = 0
    """Added to the stretched critical path of a job; not an objective by itself."""
    public: bool = False
    advice: _Advice | None = None


class _Service(msgspec.Struct):
    name: str
    rejects_overload: bool = False
    standby: bool = False


class _Resources(msgspec.Struct):
    cpu: int = 0
    """Thousandths of a core."""
    mem_mb: int = 0
    gpu: int = 0


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    weight: float = 1.0
    maximum: _Resources = msgspec.field(default_factory=_Resources)
    """Limit on the resources in use at once; a field of 0 is unlimited."""


class _Limits(msgspec.Struct):
    max_body_bytes: int = 262_144


class _Configuration(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]
    tenants: list[_Tenant] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)


class _Wave(msgspec.Struct):
    wave: int
    machines: list[str]
    complete_by_s: float
    """Seconds from when the order appeared in the store."""
    maximum: int
    """Limit on the machines that are down for maintenance at once."""


class _Registration(msgspec.Struct):
    service: str
    address: str
    zone: str
    state: str
    capacity: _Resources
    labels: list[str]
    """The kind of VM first, the rack last."""
    sequence: int
    machine: str = ""
    born: int = 0
    """Start time in Unix milliseconds, which identifies the incarnation."""


def decode(content: bytes, kind: type[T]) -> T:
    """Decode a JSON document; raises DocumentError."""
    try:
        return decode_json(content, kind)
    except msgspec.MsgspecError as error:
        raise DocumentError(str(error)) from error


class PlatformDocuments:
    """Documents that operators write under ``op/``."""

    prefix = "op/"
    configuration_key = "op/config"
    wave_prefix = "op/wave/"
    evacuation_prefix = "op/evacuate/"

    def configuration(self, content: bytes) -> Configuration:
        """Decode the configuration; raises DocumentError."""
        document = decode(content, _Configuration)
        team_by_key = {
            key: tenant.name for tenant in document.tenants for key in tenant.api_keys
        }
        return Configuration(
            version=document.version,
            queues_by_name=MappingProxyType(
                {route.name: _queue(route) for route in document.routes}
            ),
            pools_by_name=MappingProxyType(
                {
                    service.name: Pool(
                        service.name, service.rejects_overload, service.standby
                    )
                    for service in document.services
                }
            ),
            teams_by_name=MappingProxyType(
                {
                    tenant.name: TeamLimits(
                        tenant.name,
                        tuple(tenant.api_keys),
                        tenant.weight,
                        to_resources(tenant.maximum),
                    )
                    for tenant in document.tenants
                }
            ),
            team_by_key=MappingProxyType(team_by_key),
            max_body_bytes=document.limits.max_body_bytes,
        )

    def wave_status(self, wave_id: int, completed: bool) -> tuple[str, bytes]:
        """Return the key and the value of a wave's status entry for operators."""
        state = "completed" if completed else "running"
        content = msgspec.json.encode({"wave": wave_id, "state": state})
        return f"status/wave/{wave_id}", content

    def wave(self, key: str, content: bytes) -> Wave | None:
        """Decode a wave, or return None for other keys; raises DocumentError."""
        if not key.startswith(self.wave_prefix):
            return None
        wave = decode(content, _Wave)
        return Wave(
            wave.wave,
            tuple(wave.machines),
            _ms(wave.complete_by_s * 1000),
            wave.maximum,
        )

    def evacuated_zone(self, key: str) -> str | None:
        """Return the zone that a key evacuates, or None for other keys.

        The key alone counts, so that no unreadable value hides an evacuation.
        """
        if not key.startswith(self.evacuation_prefix):
            return None
        return key.removeprefix(self.evacuation_prefix)


class RegistrationDocuments:
    """Registrations that executors write under ``servers/``."""

    prefix = "servers/"

    def executor(self, key: str, content: bytes) -> Executor:
        """Decode an executor's registration; raises DocumentError."""
        entry = decode(content, _Registration)
        if entry.state not in ("ready", "draining"):
            raise DocumentError(f"unknown state {entry.state!r}")
        _check_address(entry.address)
        _check_capacity(entry.capacity)
        return Executor(
            executor_id=key.removeprefix(self.prefix),
            address=entry.address,
            service=entry.service,
            availability_zone=entry.zone,
            capacity=to_resources(entry.capacity),
            labels=tuple(entry.labels),
            draining=entry.state == "draining",
            incarnation=entry.born,
            rack=entry.labels[-1] if entry.labels else "",
            vm=entry.machine,
        )


def _check_address(address: str) -> None:
    """Raise DocumentError unless an address is an IPv4 address and a port."""
    host, _, port = address.rpartition(":")
    digits = port.isascii() and port.isdecimal() and len(port) <= MAX_PORT_DIGITS
    try:
        IPv4Address(host)
    except ValueError as error:
        raise DocumentError(f"not an IPv4 address: {address[:100]!r}") from error
    if not digits or not 0 < int(port) <= MAX_PORT:
        raise DocumentError(f"not a port: {address[:100]!r}")


def _check_capacity(capacity: _Resources) -> None:
    for amount in (capacity.cpu, capacity.mem_mb, capacity.gpu):
        if not 0 <= amount <= MAX_AMOUNT:
            raise DocumentError("a capacity out of range")


def to_resources(amount: _Resources) -> Resources:
    """Convert platform resources to the product's type."""
    return Resources(amount.cpu, amount.mem_mb, amount.gpu)


def _queue(route: _Route) -> Queue:
    advice = None
    if route.advice is not None:
        advice = PlacementAdvice(
            _ms(route.advice.decide_ms),
            _ms(route.advice.each_ms),
            _ms(route.advice.valid_ms),
        )
    return Queue(
        name=route.name,
        host=route.hostname,
        path_prefix=route.prefix,
        service=route.service,
        priority=route.priority,
        max_attempts=route.max_attempts,
        stretch=route.stretch,
        objective=_ms(route.slo_ms),
        public=route.public,
        advice=advice,
    )


def _ms(milliseconds: float) -> timedelta:
    try:
        return timedelta(milliseconds=milliseconds)
    except OverflowError as error:
        raise DocumentError(f"duration out of range: {milliseconds} ms") from error
