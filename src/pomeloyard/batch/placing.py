"""The placing role: the daemon that holds it places jobs for the time of a term."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta

import logbook

from ..keyvalue.store import Compare
from ..roles import EPOCHS, HeldRole, RoleTimes
from .executor_link import MAX_UNCONFIRMED
from .placing_term import PlacingTerm

ROLE = "placing"
ROLE_TIMES = RoleTimes(
    ttl=timedelta(seconds=1.5),
    renew_interval=timedelta(seconds=0.4),
    polls_for_vacancy=True,
    max_unconfirmed=MAX_UNCONFIRMED,
)
"""A failed holder is replaced once its lease expires. The lease leaves time for three
renewals at a slow store; a renewal costs a tenth of a read."""

log = logbook.Logger("pomeloyard.batch.placing")


class PlacingRole:
    """Runs a term each time this daemon acquires the role."""

    def __init__(
        self,
        new_term: Callable[[HeldRole, Compare], PlacingTerm],
    ) -> None:
        self._new_term = new_term
        self.term: PlacingTerm | None = None

    async def run(self, held: HeldRole) -> None:
        """Place jobs until cancelled or the role is lost."""
        log.info("placing begins, epoch {}", held.epoch)
        # With this guard, every write fails once the role is lost.
        guard = Compare(EPOCHS + ROLE, held.epoch_revision)
        term = self._new_term(held, guard)
        self.term = term
        try:
            await term.run()
        finally:
            self.term = None
            log.info("placing ends, epoch {}", held.epoch)
