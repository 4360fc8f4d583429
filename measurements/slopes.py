"""Cost of each role by size, a linear fit of it and the value at the target size.

Processor times are those of the measuring machine. A memory figure counts only what
the component retains, without the interpreter and the libraries.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import replace

from .control_links import READS_PER_SECOND, WRITES_PER_SECOND
from .figures import Figure, at_most
from .support import slopes_capacity, slopes_fleet, slopes_jobs, slopes_state
from .support.lines import MEMORY_MB
from .support.target_fleet import CONFIG_CHANGES_PER_DAY, DAEMONS, DAY_SECONDS

PARTS = (
    slopes_state.state_figures,
    slopes_state.heartbeat_figures,
    slopes_state.claim_figures,
    slopes_capacity.coordinator_figures,
    slopes_capacity.loan_figures,
    slopes_jobs.memory_figures,
    slopes_jobs.step_figures,
    slopes_jobs.renewal_figures,
    slopes_fleet.controller_figures,
    slopes_fleet.idle_figures,
    slopes_fleet.event_figures,
)


MEMORY_PARTS = (
    "state.vms.memory.at_target",
    "loans.memory.at_target",
    "claims.memory.at_target",
    "scheduler.queued.memory.at_target",
    "scheduler.running.memory.at_target",
)
WRITE_PARTS = (
    "store.idle_writes.at_target",
    "store.writes_by_controller",
    "store.writes_by_publications",
)
READ_PARTS = ("store.idle_reads.at_target", "controller.idle_reads.at_target")


def measure() -> Iterable[Figure]:
    """Yield the figures of all roles."""
    value_by_name: dict[str, float] = {}
    for part in PARTS:
        for figure in part():
            value_by_name[figure.name] = figure.value
            yield _rounded(figure)
    yield from map(_rounded, _sums(value_by_name))


def _rounded(figure: Figure) -> Figure:
    """Return a figure with four digits; its bound is checked on the exact value."""
    return replace(figure, value=float(f"{figure.value:.4g}"))


def _sums(value_by_name: dict[str, float]) -> Iterator[Figure]:
    """Yield sums at the target size over the parts of one daemon or of the store."""

    def total(names: tuple[str, ...]) -> float:
        return sum(value_by_name[f"slopes.{name}"] for name in names)

    yield at_most(
        "slopes.sum.memory",
        total(MEMORY_PARTS),
        "MB",
        MEMORY_MB,
        "a daemon with all roles and full tables",
    )
    yield at_most(
        "slopes.sum.store_writes",
        total(WRITE_PARTS),
        "writes/s",
        WRITES_PER_SECOND,
        "target, without jobs and claims",
    )
    followed = DAEMONS * CONFIG_CHANGES_PER_DAY / DAY_SECONDS
    yield at_most(
        "slopes.sum.store_reads",
        total(READ_PARTS) + followed,
        "reads/s",
        READS_PER_SECOND,
        "target, without waves, jobs and claims",
    )
