"""The two deployments in the requirements, at their current sizes."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

from pomeloyard.config.model import (
    BudgetConfig,
    FleetConfig,
    PoolConfig,
    ServiceConfig,
    TeamConfig,
)
from pomeloyard.vm_platform.directory import Vm, VmRole


@dataclass(frozen=True, slots=True)
class Deployment:
    """Sizes of one deployment; ``latency`` is the one-way latency between zones."""

    name: str
    zones: tuple[str, ...]
    services: tuple[str, ...]
    executors: int
    workers: int
    cores: int
    memory_bytes: int
    latency: timedelta


LILIM = Deployment(
    name="lilim",
    zones=("bulacan", "pampanga", "laguna"),
    services=("orders-a", "orders-b", "orders-c", "mill", "catalog"),
    executors=6,
    workers=6,
    cores=16,
    memory_bytes=32 * 1024**3,
    latency=timedelta(milliseconds=1),
)
HSINCHU = Deployment(
    name="hsinchu",
    zones=("north-1", "north-2", "north-3", "north-4"),
    services=("pricing", "stock", "cutting", "orders", "support"),
    executors=8,
    workers=8,
    cores=64,
    memory_bytes=128 * 1024**3,
    latency=timedelta(milliseconds=1.5),
)
DEPLOYMENTS = (LILIM, HSINCHU)

SHARES_BY_TEAM = {"t1": 3.0, "t2": 3.0, "t3": 2.0, "t4": 1.0, "t5": 1.0, "t6": 1.0}
"""Six client accounts, a few of them large."""


def fleet_config(deployment: Deployment, limit: int = 400) -> FleetConfig:
    """Return a configuration of the deployment's size."""
    services = {
        name: ServiceConfig(
            name, name, BudgetConfig(1), queue_timeout=timedelta(seconds=60)
        )
        for name in deployment.services
    }
    teams = {n: TeamConfig(n, share, limit) for n, share in SHARES_BY_TEAM.items()}
    return FleetConfig(
        name=deployment.name,
        revision=1,
        pools_by_name={name: PoolConfig(name) for name in deployment.services},
        services_by_name=services,
        teams_by_name=teams,
    )


def executors_of(deployment: Deployment) -> dict[str, Vm]:
    """Return the executors of all pools, spread over the availability zones."""
    vms = {}
    for service in deployment.services:
        for number in range(deployment.executors):
            zone = deployment.zones[number % len(deployment.zones)]
            name = f"{service}-e{number + 1}"
            rack = f"{zone}-{number // 4 + 1}"
            vms[name] = Vm(
                name, VmRole.EXECUTOR, service, "main", zone, rack, "127.0.0.1:1"
            )
    return vms
