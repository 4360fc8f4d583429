"""Evacuated availability zones, and whether tasks may be started in a zone (no I/O).

Operators evacuate a zone before work on its power or network. From then until they
readmit it, no task is started there; running tasks continue. Most evacuations last
seconds to minutes and are deleted afterwards, so a deletion matters as much as a
request, and neither may be hidden or repeated by an older read of the store.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from datetime import timedelta
from enum import Enum

MAX_DELIVERY_TIME = timedelta(seconds=1)
"""Time from the check of a start to its arrival; a start times out after half of it."""
DEFAULT_EVACUATION_BOUND = timedelta(seconds=5)
"""Time limit for an evacuation to take effect, if the deployment states none."""


class ZoneState(Enum):
    """Whether tasks may be started in an availability zone."""

    OPEN = "open"
    EVACUATED = "evacuated"
    UNKNOWN = "unknown"
    """The copy of the evacuations is too old to exclude a new one."""


class ZoneEvacuations:
    """The evacuated zones at a position in the store's history.

    Changes are applied in any order. For each zone the one with the highest revision
    decides.
    """

    def __init__(self) -> None:
        self._revision_by_zone: dict[str, int] = {}
        """Revision of the last change of each zone, evacuated or readmitted."""
        self._reload_revision = 0
        """Revision of the last complete read; older changes are superseded by it."""
        self.zones: frozenset[str] = frozenset()

    def apply(self, zone: str, revision: int, evacuated: bool) -> bool:
        """Apply a change of one zone; return whether the evacuated zones changed."""
        known = self._revision_by_zone.get(zone, self._reload_revision)
        if revision <= known:
            return False
        self._revision_by_zone[zone] = revision
        if evacuated == (zone in self.zones):
            return False
        self.zones = self.zones | {zone} if evacuated else self.zones - {zone}
        return True

    def replace_all(self, revisions_by_zone: Mapping[str, int], revision: int) -> bool:
        """Apply a complete read; return whether the evacuated zones changed.

        ``revisions_by_zone`` holds the last change of each zone that was listed as
        evacuated, ``revision`` the store's revision when the read began.
        """
        before = self.zones
        for zone, listed_at in revisions_by_zone.items():
            self.apply(zone, listed_at, evacuated=True)
        for zone in before - set(revisions_by_zone):
            self.apply(zone, revision, evacuated=False)
        self._reload_revision = max(self._reload_revision, revision)
        return self.zones != before


class ZoneGate:
    """Decides whether tasks may be started in a zone now.

    A start is permitted if the copy of the evacuations is confirmed to be newer than
    the bound on evacuations, less the time that the start may take on its way.
    """

    def __init__(
        self,
        evacuations: ZoneEvacuations,
        proof_age: Callable[[], timedelta],
        bound: timedelta = DEFAULT_EVACUATION_BOUND,
    ) -> None:
        self._evacuations = evacuations
        self._proof_age = proof_age
        self._max_age = bound - MAX_DELIVERY_TIME

    @property
    def is_current(self) -> bool:
        """Tell whether the copy of the evacuations is new enough for a start."""
        return self._proof_age() <= self._max_age

    def is_evacuated(self, zone: str) -> bool:
        """Tell whether a zone is evacuated, as far as known."""
        return zone in self._evacuations.zones

    def state(self, zone: str) -> ZoneState:
        """Return whether tasks may be started in a zone."""
        if zone in self._evacuations.zones:
            return ZoneState.EVACUATED
        return ZoneState.OPEN if self.is_current else ZoneState.UNKNOWN

    def may_start_in(self, zone: str) -> bool:
        """Tell whether tasks may be started in a zone. Call it right before sending."""
        return self.state(zone) is ZoneState.OPEN
