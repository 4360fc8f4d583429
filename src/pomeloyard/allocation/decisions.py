"""Decision records for partitions that this daemon gains or loses."""

from __future__ import annotations

from enum import Enum

from ..clock import Clock
from ..decisions import Decision, DecisionKind, DecisionLog
from ..fleet_state import FleetState
from .partitions import Partition, vm_name_of


class MembershipReason(Enum):
    """Reasons for a change of a partition's holder."""

    FIRST_HOLDER = "first-holder"
    RELEASED_BY_FORMER_HOLDER = "released-by-former-holder"
    FORMER_HOLDER_GONE = "former-holder-gone"
    RELEASED = "released"
    CONFIRMED_GONE = "confirmed-gone"
    """Other daemons considered this one gone and took the partition."""
    CHANGED_UNSEEN = "changed-unseen"
    """The partition changed hands again before this daemon saw the change."""


class MembershipDecisions:
    """Records each partition that a daemon gains or loses.

    The subject is "membership/<VM of the daemon>", so that it does not change when
    the daemon restarts.
    """

    def __init__(
        self, clock: Clock, state: FleetState, incarnation: str, decisions: DecisionLog
    ) -> None:
        self._clock = clock
        self._state = state
        self._incarnation = incarnation
        self._decisions = decisions

    def record_gained(self, number: int, clean: bool) -> None:
        """Record that this daemon has gained a partition."""
        partition = self._partition(number)
        if partition is None:
            return
        if not clean:
            reason = MembershipReason.FORMER_HOLDER_GONE
        elif not partition.former:
            reason = MembershipReason.FIRST_HOLDER
        else:
            reason = MembershipReason.RELEASED_BY_FORMER_HOLDER
        self._record("gain", partition, reason)

    def record_lost(self, number: int) -> None:
        """Record that this daemon has lost a partition."""
        partition = self._partition(number)
        if partition is None:
            return
        if partition.former != self._incarnation:
            reason = MembershipReason.CHANGED_UNSEEN
        elif partition.clean:
            reason = MembershipReason.RELEASED
        else:
            reason = MembershipReason.CONFIRMED_GONE
        self._record("lose", partition, reason)

    def _partition(self, number: int) -> Partition | None:
        table = self._state.partitions
        return table.partitions[number] if table is not None else None

    def _record(
        self, action: str, partition: Partition, reason: MembershipReason
    ) -> None:
        self._decisions.record(
            Decision(
                self._clock.now(),
                DecisionKind.MEMBERSHIP,
                f"membership/{vm_name_of(self._incarnation)}",
                f"{action} partition {partition.number}",
                reason,
                inputs={
                    "partition": partition.number,
                    "epoch": partition.epoch,
                    "holder": partition.holder,
                    "former": partition.former,
                },
            )
        )
