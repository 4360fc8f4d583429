"""Send observations of VMs from every daemon to the controller."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from datetime import timedelta

from ..clock import Clock
from ..fleet_state import FleetState
from ..peers.messages import HealthReport, VmOutcomes
from ..peers.streams import PeerNetwork
from .repair_planning import Observation, ObservationKind

REPORT_INTERVAL = timedelta(seconds=5)
MAX_REPORTED_OUTCOMES = 50
"""Maximum outcomes of one kind at one VM in a report; more add no evidence."""


class HealthReports:
    """Counts this daemon's observations and reports them to the controller."""

    def __init__(
        self,
        clock: Clock,
        network: PeerNetwork,
        state: FleetState,
        observe: Callable[[Observation], None],
    ) -> None:
        self._clock = clock
        self._network = network
        self._state = state
        self._observe = observe
        self._counts: Counter[tuple[str, ObservationKind]] = Counter()

    def start(self) -> None:
        """Register the handler for other daemons' reports."""
        self._network.on(HealthReport, self._on_report)

    def record(self, vm: str, kind: ObservationKind) -> None:
        """Count one outcome of a request or task, or one health check."""
        self._counts[vm, kind] += 1

    async def run(self) -> None:
        """Report regularly until cancelled."""
        while True:
            await self._clock.sleep(REPORT_INTERVAL)
            self.report()

    def report(self) -> None:
        """Send the counts; a report that cannot be sent is dropped."""
        counts, self._counts = self._counts, Counter()
        holder = self._state.roles_by_name.get("controller")
        if holder is None or not counts:
            return
        outcomes = tuple(
            VmOutcomes(vm, kind.value, min(count, MAX_REPORTED_OUTCOMES))
            for (vm, kind), count in sorted(
                counts.items(), key=lambda item: (item[0][0], item[0][1].value)
            )
        )
        report = HealthReport(outcomes)
        if holder.holder == self._network.hello.incarnation:
            self._on_report(holder.holder, report)
        else:
            self._network.send(holder.holder, report)

    def _on_report(self, sender: str, report: HealthReport) -> None:
        now = self._clock.now()
        kinds = {kind.value: kind for kind in ObservationKind}
        for outcome in report.outcomes:
            kind = kinds.get(outcome.kind)
            if kind is None:
                continue  # Kind unknown to this version, sent by a newer daemon.
            for _ in range(min(outcome.count, MAX_REPORTED_OUTCOMES)):
                self._observe(Observation(outcome.vm, kind, now))
