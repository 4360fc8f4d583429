"""Which VMs were ordered lately, kept for the next holder of the placing role.

Two holders must not order the same VM within some seconds. The next holder leaves only
these VMs alone for that time; a peak or a wave gets all others at once.
"""

from __future__ import annotations

from collections.abc import Collection
from datetime import timedelta

import msgspec

from ..clock import Clock
from .guarded_records import GuardedRecords

RECENT_ORDERS = "b/vm-orders"
"""Names of the VMs, written before the first order for each."""


class RecentOrders:
    """VMs that this holder has ordered, and those that the one before had."""

    def __init__(
        self,
        clock: Clock,
        records: GuardedRecords,
        pause: timedelta,
        predecessor_ended_at: timedelta,
    ) -> None:
        self._clock = clock
        self._records = records
        self._pause = pause
        self._free_at = predecessor_ended_at + pause
        self._held_back: frozenset[str] = frozenset()
        self._ordered_at: dict[str, timedelta] = {}

    async def load(self) -> None:
        """Read what the holder before has ordered."""
        entry = await self._records.read(RECENT_ORDERS)
        if entry is not None:
            names = msgspec.msgpack.decode(entry.value, type=list[str])
            self._held_back = frozenset(names)
            self._ordered_at = dict.fromkeys(names, self._clock.monotonic())

    def is_held_back(self, vm: str) -> bool:
        """Tell whether the holder before may have ordered a VM too recently."""
        return vm in self._held_back and self._clock.monotonic() < self._free_at

    def touch(self, vm: str) -> None:
        """Note that an order for a VM is sent now."""
        self._ordered_at[vm] = self._clock.monotonic()

    async def announce(self, vm: str, at_work: Collection[str]) -> bool:
        """Store that a VM is about to be ordered; False: the epoch was replaced.

        ``at_work`` names the VMs whose operations have not ended; they and those of
        the last seconds stay in the record. Announcements of one moment share a write.
        """
        self.touch(vm)

        def pack() -> bytes:
            since = self._clock.monotonic() - self._pause
            self._ordered_at = {
                name: at
                for name, at in self._ordered_at.items()
                if at >= since or name in at_work
            }
            return msgspec.msgpack.encode(sorted({*self._ordered_at, *at_work}))

        return await self._records.write_latest(RECENT_ORDERS, pack)
