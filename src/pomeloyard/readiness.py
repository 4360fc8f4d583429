"""Readiness of a daemon and the reasons against it; pure functions."""

from __future__ import annotations

from enum import Enum

from .fleet_state import FleetState


class NotReadyReason(Enum):
    """Why a daemon should receive no requests from callers."""

    NO_CONFIGURATION = "no-configuration"
    NO_VM_LIST = "no-vm-list"
    NO_PARTITIONS = "no-partitions"
    SHUTTING_DOWN = "shutting-down"


def not_ready_reasons(
    state: FleetState, *, closing: bool = False
) -> list[NotReadyReason]:
    """Return all reasons against readiness; empty when the daemon can serve.

    A daemon that started during a store outage holds no partition and serves from
    loans, so a missing partition table counts only while the store is reachable.

    >>> [reason.value for reason in not_ready_reasons(FleetState())][:2]
    ['no-configuration', 'no-vm-list']
    """
    reasons = []
    if state.config.revision == 0:
        reasons.append(NotReadyReason.NO_CONFIGURATION)
    if state.vm_list.version == 0:
        reasons.append(NotReadyReason.NO_VM_LIST)
    if state.partitions is None and state.store_reachable:
        reasons.append(NotReadyReason.NO_PARTITIONS)
    if closing:
        reasons.append(NotReadyReason.SHUTTING_DOWN)
    return reasons
