"""Encoding of coordinator advice as messages that carry only changes."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta

from ..peers.messages import LendAdvice, LendItem
from .coordination import Advice
from .loans import Resource

TARGET_SCALE = 100
"""Targets are sent as integers, in hundredths of a slot."""

MIN_TARGET_CHANGE = 0.1
"""Smallest change of a target that is sent, in slots."""

RELATIVE_TARGET_CHANGE = 0.05


@dataclass(frozen=True, slots=True)
class AdviceIndex:
    """Maps positions in messages to names, for one configuration and table.

    ``revisions`` are the revisions of the configuration and the partition table.
    """

    revisions: tuple[int, int]
    services: tuple[str, ...]
    teams: tuple[str, ...]
    members: tuple[str, ...]


class SentAdvice:
    """Remembers the advice sent to one daemon, so that only changes are sent."""

    def __init__(self, index: AdviceIndex) -> None:
        self.index = index
        self.sent_at = timedelta(0)
        self._sent_targets: dict[tuple[str, str], float] = {}
        self._sent_lending: dict[Resource, dict[str, int]] = {}

    def next_message(self, advice: Advice, *, full: bool) -> LendAdvice:
        """Return the changes since the last message, and record them as sent."""
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
        """Return rows for targets beyond the minimum change; 0 for dropped ones."""
        rows = []
        for service, team in sorted(self._sent_targets.keys() | targets.keys()):
            if service not in self.index.services or team not in self.index.teams:
                continue
            key = (service, team)
            before, now = self._sent_targets.get(key), targets.get(key)
            if now is None:
                del self._sent_targets[key]
            elif before is None or abs(now - before) > _min_change(now):
                self._sent_targets[key] = now
            else:
                continue
            hundredths = round((now or 0.0) * TARGET_SCALE)
            position = self.index.services.index(service)
            rows.append((position, self.index.teams.index(team), hundredths))
        return tuple(rows)

    def _changed_lending(
        self, lend: Mapping[Resource, Mapping[str, int]]
    ) -> tuple[LendItem, ...]:
        """Return the resources whose lending differs from what was sent."""
        items = []
        resources = self._sent_lending.keys() | lend.keys()
        for resource in sorted(resources, key=lambda r: (r.kind, r.name)):
            amounts = dict(lend.get(resource, {}))
            if amounts == self._sent_lending.get(resource, {}):
                continue
            self._sent_lending[resource] = amounts
            rows = tuple(
                (self.index.members.index(borrower), amount)
                for borrower, amount in sorted(amounts.items())
                if borrower in self.index.members
            )
            items.append(LendItem(resource.kind, resource.name, rows))
        return tuple(items)


def read_advice(message: LendAdvice, index: AdviceIndex) -> Advice | None:
    """Decode a message, or return None if its positions do not fit the index."""
    if (message.config_revision, message.partitions_revision) != index.revisions:
        return None
    try:
        return Advice(
            {
                (index.services[s], index.teams[t]): slots / TARGET_SCALE
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


def _min_change(slots: float) -> float:
    """Return the change above which a target is sent again."""
    return max(MIN_TARGET_CHANGE, RELATIVE_TARGET_CHANGE * slots)
