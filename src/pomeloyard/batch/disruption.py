"""Disruption limits of long-running tasks (no I/O).

Between the decision to maintain or move a VM and the order, other tasks of a step may
become unavailable, and a policy may choose any VM. The limits are therefore checked
immediately before each order that stops a long-running task.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Mapping

from .executor_link import ExecutorLink
from .placed_run import Phase, PlacedRun
from .progress import StepRun, Task, TaskState


class DisruptionBudgets:
    """Checks the unavailable tasks of long-running steps, as last seen by the links."""

    def __init__(self, links_by_id: Mapping[str, ExecutorLink]) -> None:
        self._links_by_id = links_by_id

    def may_disrupt_all(self, *links: ExecutorLink) -> bool:
        """Tell whether all runs on some executors may be stopped at once."""
        return self.may_disrupt(
            [run for link in links for run in link.runs_by_name.values()]
        )

    def may_disrupt(self, runs: Collection[PlacedRun]) -> bool:
        """Tell whether some runs may be stopped together.

        For each step, these runs and its tasks that are already unavailable must not
        exceed the limit of the step.
        """
        stopped = {run.task.name for run in runs if _is_protected(run)}
        steps_by_name = {
            run.task.step.name: run.task.step for run in runs if _is_protected(run)
        }
        counts = Counter(run.task.step.name for run in runs if _is_protected(run))
        return all(
            self._unavailable(step, stopped) + counts[name]
            <= max(1, step.spec.may_be_away)
            for name, step in steps_by_name.items()
        )

    def _unavailable(self, step: StepRun, excluded: Collection[str]) -> int:
        """Return how many tasks of a step are unavailable, excluding some by name."""
        return step.tasks.unknown_count + sum(
            task.name not in excluded and not self._is_available(task)
            for task in step.tasks.known()
        )

    def _is_available(self, task: Task) -> bool:
        link = self._links_by_id.get(task.executor)
        placed = link.runs_by_name.get(task.name) if link else None
        return (
            task.state is TaskState.PLACED
            and link is not None
            and link.reachable
            and not link.ordered_by_this_term
            and placed is not None
            and placed.phase is Phase.RUNNING
            and not placed.may_be_stopping
            and placed.percent >= 100
        )


def _is_protected(run: PlacedRun) -> bool:
    job = run.task.step.job
    return run.task.step.spec.lasting and (not job.final or job.serves_on)
