"""Metrics for the slots and limit units that a daemon may use."""

from __future__ import annotations

from collections.abc import Iterator

from prometheus_client.core import GaugeMetricFamily, Metric

from .loans import Resource
from .service import CapacityService

_NAMES_BY_KIND = {
    "slots": ("pomeloyard_executor_usable_slots", "vm"),
    "limit": ("pomeloyard_team_usable_units", "team"),
}


def capacity_metrics(capacity: CapacityService) -> Iterator[Metric]:
    """Yield gauges of the usable amounts, and of the amounts before loans.

    The difference is the amount borrowed or, if negative, lent.
    """
    for kind, (name, label) in _NAMES_BY_KIND.items():
        usable = GaugeMetricFamily(name, "Usable with loans", labels=[label])
        base = GaugeMetricFamily(
            name.replace("usable", "base"), "Carried by partitions", labels=[label]
        )
        for resource in capacity.resources():
            if resource.kind == kind:
                usable.add_metric([resource.name], capacity.ledger.usable(resource))
                base.add_metric([resource.name], _base(capacity, resource))
        yield usable
        yield base


def _base(capacity: CapacityService, resource: Resource) -> int:
    return capacity.ledger.base(resource.name, capacity.total_of(resource))
