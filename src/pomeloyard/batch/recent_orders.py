"""VMs with recently requested operations, stored for the next holder of the role.

Two holders of the placing role must not request operations on the same VM within a few
seconds. The next holder therefore leaves these VMs alone for that time; all others are
available to a peak or a wave at once.
"""

from __future__ import annotations

from collections.abc import Collection
from datetime import timedelta

import msgspec

from ..clock import Clock
from .fenced_records import FencedRecords

RECENT_ORDERS = "b/vm-orders"
"""Key of the record with the VM names, written before the first request for each."""


class RecentOrders:
    """VMs on which this holder or its predecessor requested operations recently."""

    def __init__(
        self,
        clock: Clock,
        records: FencedRecords,
        pause: timedelta,
        predecessor_ended_at: timedelta,
    ) -> None:
        self._clock = clock
        self._records = records
        self._hold_back_time = pause
        self._held_back_until = predecessor_ended_at + pause
        self._predecessor_vms: frozenset[str] = frozenset()
        self._ordered_at: dict[str, timedelta] = {}
        self._loaded = False

    async def load(self) -> None:
        """Load the VMs that the predecessor has recorded."""
        entry = await self._records.read(RECENT_ORDERS)
        if entry is not None:
            names = msgspec.msgpack.decode(entry.value, type=list[str])
            self._predecessor_vms = frozenset(names)
            self._ordered_at = dict.fromkeys(names, self._clock.monotonic())
        self._loaded = True

    def may_be_ordered_earlier(self, vm: str) -> bool:
        """Tell whether the predecessor may have requested an operation on a VM."""
        return not self._loaded or vm in self._predecessor_vms

    def is_held_back(self, vm: str) -> bool:
        """Tell whether a VM must wait after a possible request of the predecessor."""
        return (
            vm in self._predecessor_vms
            and self._clock.monotonic() < self._held_back_until
        )

    def note_order(self, vm: str) -> None:
        """Note that a request for a VM is sent now."""
        self._ordered_at[vm] = self._clock.monotonic()

    async def record(self, vm: str, in_progress: Collection[str]) -> bool:
        """Store that an operation on a VM is about to be requested.

        ``in_progress`` names the VMs whose operations have not ended; they and those of
        the last seconds stay in the record. Concurrent calls share a write. Returns
        False if the epoch was replaced.
        """
        self.note_order(vm)

        def pack() -> bytes:
            since = self._clock.monotonic() - self._hold_back_time
            self._ordered_at = {
                name: at
                for name, at in self._ordered_at.items()
                if at >= since or name in in_progress
            }
            return msgspec.msgpack.encode(sorted({*self._ordered_at, *in_progress}))

        return await self._records.write_coalesced(RECENT_ORDERS, pack)
