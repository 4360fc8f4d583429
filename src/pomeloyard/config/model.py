"""Dataclasses of the fleet's configuration, published as one revision."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class RegionConfig:
    """A region and its availability zones."""

    name: str
    availability_zones: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class PoolConfig:
    """A pool of VMs; ``executors`` and ``workers`` are its target sizes by role."""

    name: str
    executors: int = 0
    workers: int = 0
    spare: bool = False
    idle_cost_per_hour: float = 0.0


@dataclass(frozen=True, slots=True)
class BudgetConfig:
    """How many VMs of a service must stay available.

    ``min_available`` is a count (int) or a fraction of all VMs (float, 0 to 1).
    """

    min_available: int | float
    min_available_per_zone: int | float = 0


@dataclass(frozen=True, slots=True)
class ServiceConfig:
    """A service: its pool, its availability budget and its limits for requests."""

    name: str
    pool: str
    budget: BudgetConfig
    slots_per_executor: int = 8
    connections_per_executor: int = 64
    request_timeout: timedelta = timedelta(seconds=10)
    queue_timeout: timedelta = timedelta(seconds=5)
    queue_length: int = 1000
    drain_timeout: timedelta = timedelta(seconds=60)
    hedge_after: timedelta | None = None
    max_body_bytes: int = 16 * 1024 * 1024
    team: str | None = None
    """Owner of the service, or None for a shared service."""


@dataclass(frozen=True, slots=True)
class TeamConfig:
    """A team's weight when the fleet is full, and its upper limit in units.

    A running request is one unit, a running job ``max(1, ceil(cores))`` units.
    ``job_limit`` is the part of ``limit`` reserved for jobs.
    """

    name: str
    share: float
    limit: int
    job_limit: int = 0
    client_account: str = ""


@dataclass(frozen=True, slots=True)
class QueueConfig:
    """A job queue, open to all teams or to the listed ones."""

    name: str
    pools: tuple[str, ...]
    open: bool = False
    teams: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class MaintenanceConfig:
    """Maintenance and repair of VMs."""

    interval: timedelta = timedelta(days=28)
    max_repairs: float = 0.05
    trial: timedelta = timedelta(minutes=2)
    reboot_timeout: timedelta = timedelta(minutes=10)


@dataclass(frozen=True, slots=True)
class FleetConfig:
    """The complete configuration of one revision."""

    name: str
    revision: int = 0
    regions_by_name: dict[str, RegionConfig] = field(default_factory=dict)
    pools_by_name: dict[str, PoolConfig] = field(default_factory=dict)
    services_by_name: dict[str, ServiceConfig] = field(default_factory=dict)
    teams_by_name: dict[str, TeamConfig] = field(default_factory=dict)
    queues_by_name: dict[str, QueueConfig] = field(default_factory=dict)
    maintenance: MaintenanceConfig = MaintenanceConfig()

    def longest_request_timeout(self) -> timedelta:
        """Return the longest request timeout of all services."""
        timeouts = [s.request_timeout for s in self.services_by_name.values()]
        return max(timeouts, default=timedelta(0))
