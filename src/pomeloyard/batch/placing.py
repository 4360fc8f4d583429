"""The placing role: one daemon at a time places jobs, term by term."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta

import logbook

from ..clock import Clock
from ..errors import StoreError
from ..keyvalue.records import read_record
from ..keyvalue.store import Compare, Store
from ..roles import EPOCHS, RoleTimes
from .term import PlacingTerm

ROLE = "placing"
TIMES = RoleTimes(
    ttl=timedelta(seconds=1.5), renew_interval=timedelta(seconds=0.4), polls=True
)
"""A killed holder is replaced after the lease, in which a slow store still answers
three renewals; a renewal costs a tenth of a read."""
RETRY_DELAY = timedelta(seconds=0.1)
"""Pause after a store error; the role ends with its lease meanwhile."""

log = logbook.Logger("pomeloyard.batch.placing")


class PlacingRole:
    """Runs one term each time this daemon takes the role."""

    def __init__(
        self,
        clock: Clock,
        store: Store,
        new_term: Callable[[int, Compare], PlacingTerm],
    ) -> None:
        self._clock = clock
        self._store = store
        self._new_term = new_term
        self.term: PlacingTerm | None = None

    async def run(self, epoch: int) -> None:
        """Place jobs until cancelled or the role is lost."""
        guard = await self._guard(epoch)
        if guard is None:
            log.warning("epoch {} was replaced before it began", epoch)
            return
        log.info("placing begins, epoch {}", epoch)
        term = self._new_term(epoch, guard)
        self.term = term
        try:
            await term.run()
        finally:
            self.term = None
            log.info("placing ends, epoch {}", epoch)

    async def _guard(self, epoch: int) -> Compare | None:
        """Return the comparison that fails every write once the role is lost."""
        key = EPOCHS + ROLE
        while True:
            try:
                record = await read_record(self._store, key, int)
            except StoreError as error:
                log.info("placing waits for the store: {}", error)
                await self._clock.sleep(RETRY_DELAY)
                continue
            if record is None or record.value != epoch:
                return None
            return Compare(key, record.mod_revision)
