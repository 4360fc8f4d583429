"""Advice of the coordinator as messages that carry only what has changed."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta

from ..peers.messages import LendAdvice, LendItem
from .coordination import Advice
from .loans import Resource

HUNDREDTHS = 100
MIN_TARGET_CHANGE = 0.1
"""Slots by which a target must differ from the one sent, at least."""

RELATIVE_TARGET_CHANGE = 0.05


@dataclass(frozen=True, slots=True)
class AdviceIndex:
    """What positions in messages mean, for one configuration and one table.

    ``revisions`` are those of the configuration and of the partition table.
    """

    revisions: tuple[int, int]
    services: tuple[str, ...]
    teams: tuple[str, ...]
    members: tuple[str, ...]


class SentAdvice:
    """What one daemon was last told, so that only changes are sent."""

    def __init__(self, index: AdviceIndex) -> None:
        self.index = index
        self.at = timedelta(0)
        self._targets: dict[tuple[str, str], float] = {}
        self._lend: dict[Resource, dict[str, int]] = {}

    def next_message(self, advice: Advice, *, full: bool) -> LendAdvice:
        """Return and remember what differs from what was sent before."""
        config_revision, partitions_revision = self.index.revisions
        return LendAdvice(
            full,
            config_revision,
            partitions_revision,
            self._changed_targets(advice.targets),
            self._changed_lending(advice.lend),
        )

    def _changed_targets(
        self, targets: Mapping[tuple[str, str], float]
    ) -> tuple[tuple[int, int, int], ...]:
        """Return rows of targets that differ noticeably; 0 when dropped."""
        rows = []
        for service, team in sorted(self._targets.keys() | targets.keys()):
            if service not in self.index.services or team not in self.index.teams:
                continue
            key = (service, team)
            before, now = self._targets.get(key), targets.get(key)
            if now is None:
                del self._targets[key]
            elif before is None or abs(now - before) > _tolerance(now):
                self._targets[key] = now
            else:
                continue
            hundredths = round((now or 0.0) * HUNDREDTHS)
            position = self.index.services.index(service)
            rows.append((position, self.index.teams.index(team), hundredths))
        return tuple(rows)

    def _changed_lending(
        self, lend: Mapping[Resource, Mapping[str, int]]
    ) -> tuple[LendItem, ...]:
        """Return the resources that should be lent differently than before."""
        items = []
        resources = self._lend.keys() | lend.keys()
        for resource in sorted(resources, key=lambda r: (r.kind, r.name)):
            amounts = dict(lend.get(resource, {}))
            if amounts == self._lend.get(resource, {}):
                continue
            self._lend[resource] = amounts
            rows = tuple(
                (self.index.members.index(borrower), amount)
                for borrower, amount in sorted(amounts.items())
                if borrower in self.index.members
            )
            items.append(LendItem(resource.kind, resource.name, rows))
        return tuple(items)


def read_advice(message: LendAdvice, index: AdviceIndex) -> Advice | None:
    """Return the advice of a message, or None if its positions cannot be read."""
    if (message.config_revision, message.partitions_revision) != index.revisions:
        return None
    try:
        return Advice(
            {
                (index.services[s], index.teams[t]): slots / HUNDREDTHS
                for s, t, slots in message.targets
            },
            {
                Resource(item.kind, item.name): {
                    index.members[position]: amount for position, amount in item.amounts
                }
                for item in message.lend
            },
        )
    except IndexError:
        return None


def _tolerance(slots: float) -> float:
    """Return the change of a target that is too small to be sent."""
    return max(MIN_TARGET_CHANGE, RELATIVE_TARGET_CHANGE * slots)
