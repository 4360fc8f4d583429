"""Evacuated availability zones of the fleet, in one record that daemons follow."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

from ..clock import Clock
from ..decisions import Decision, DecisionKind, DecisionLog
from ..errors import RefusedError
from ..fleet_state import EvacuatedZones, Evacuation, FleetState
from ..follower import adopt_evacuations
from ..keyvalue import layout
from ..keyvalue.records import Change, ConflictError, commit_changes, read_record
from ..keyvalue.store import Store
from ..outcomes import RefusalReason, Refused

CONFLICT_ATTEMPTS = 8
CONFLICT_DELAY = timedelta(seconds=0.05)


class ZoneReason(Enum):
    """Reason of a decision about an availability zone."""

    EVACUATED = "zone-evacuated"
    READMITTED = "zone-readmitted"


@dataclass(frozen=True, slots=True)
class ZoneStatus:
    """An availability zone as operators see it."""

    name: str
    evacuated: bool
    vms: int
    requested_at: str = ""
    requested_by: str = ""


@dataclass(frozen=True, slots=True)
class ZoneService:
    """Lists, evacuates and readmits availability zones."""

    clock: Clock
    store: Store
    state: FleetState
    decisions: DecisionLog

    def known_zones(self) -> frozenset[str]:
        """Return the zones of the configuration and of the listed VMs."""
        regions = self.state.config.regions_by_name.values()
        configured = {zone for one in regions for zone in one.availability_zones}
        listed = {
            vm.availability_zone for vm in self.state.vm_list.vms_by_name.values()
        }
        return frozenset((configured | listed) - {""})

    def list(self) -> list[ZoneStatus]:
        """Return all known and all evacuated zones, in name order."""
        by_zone = self.state.evacuated_zones.by_zone
        vms = self.state.vm_list.vms_by_name.values()
        return [
            ZoneStatus(
                name=zone,
                evacuated=zone in by_zone,
                vms=sum(vm.availability_zone == zone for vm in vms),
                requested_at=by_zone[zone].requested_at if zone in by_zone else "",
                requested_by=by_zone[zone].requested_by if zone in by_zone else "",
            )
            for zone in sorted(self.known_zones() | set(by_zone))
        ]

    async def evacuate(self, zone: str, by: str) -> ZoneStatus:
        """Evacuate a zone; raises RefusedError if it is unknown.

        An evacuation that is in force already keeps its time and requester.
        """
        known = self.known_zones()
        if zone not in known:
            detail = f"no zone {zone[:64]!r}; known are {', '.join(sorted(known))}"
            raise RefusedError(Refused(RefusalReason.NOT_FOUND, detail))
        evacuation = Evacuation(self.clock.now().isoformat(), by)
        await self._change(lambda by_zone: {zone: evacuation, **by_zone})
        self._record(zone, ZoneReason.EVACUATED, by)
        return self._status(zone)

    async def readmit(self, zone: str, by: str) -> ZoneStatus:
        """End the evacuation of a zone; raises RefusedError if it is unknown."""
        by_zone = self.state.evacuated_zones.by_zone
        if zone not in self.known_zones() and zone not in by_zone:
            detail = f"no zone {zone[:64]!r}"
            raise RefusedError(Refused(RefusalReason.NOT_FOUND, detail))
        await self._change(
            lambda by_zone: {name: one for name, one in by_zone.items() if name != zone}
        )
        self._record(zone, ZoneReason.READMITTED, by)
        return self._status(zone)

    def _status(self, zone: str) -> ZoneStatus:
        return next(status for status in self.list() if status.name == zone)

    async def _change(
        self, change: Callable[[dict[str, Evacuation]], dict[str, Evacuation]]
    ) -> None:
        """Apply a change to the stored record by compare-and-swap."""
        for attempt in range(CONFLICT_ATTEMPTS):
            current = await read_record(self.store, layout.EVACUATIONS, EvacuatedZones)
            zones = current.value if current else EvacuatedZones()
            by_zone = change(zones.by_zone)
            changed = zones
            if by_zone != zones.by_zone:
                changed = EvacuatedZones(zones.version + 1, by_zone)
                try:
                    await commit_changes(
                        self.store, [Change(layout.EVACUATIONS, changed, current)]
                    )
                except ConflictError:
                    if attempt == CONFLICT_ATTEMPTS - 1:
                        raise
                    await self.clock.sleep(
                        CONFLICT_DELAY * random.uniform(0, attempt + 1)
                    )
                    continue
            adopt_evacuations(self.state, changed)
            return

    def _record(self, zone: str, reason: ZoneReason, by: str) -> None:
        self.decisions.record(
            Decision(
                self.clock.now(),
                DecisionKind.ZONE,
                f"zone/{zone}",
                reason.value,
                reason,
                inputs={"by": by},
            )
        )
