"""Whether lasting tasks may be ended now; pure.

Answers orders that meet failures: between a decision to maintain or to move a VM and
the order, other tasks of a step may have gone away, and a policy may ask for anything.
So this is asked right before each order that ends a lasting task.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Mapping

from .link import ExecutorLink, Phase, PlacedRun
from .progress import StepRun, Task, TaskState


class Availability:
    """How many tasks of each lasting step are away, by what the links last saw."""

    def __init__(self, links_by_id: Mapping[str, ExecutorLink]) -> None:
        self._links_by_id = links_by_id

    def may_end_all(self, link: ExecutorLink) -> bool:
        """Tell whether everything on an executor may be ended at once."""
        return self.may_end(link.runs_by_name.values())

    def may_end(self, runs: Collection[PlacedRun]) -> bool:
        """Tell whether some runs may be ended together.

        Of each step, those runs and the tasks that are away otherwise must not exceed
        what the step allows.
        """
        ended = {run.task.name for run in runs if _is_protected(run)}
        steps_by_name = {
            run.task.step.name: run.task.step for run in runs if _is_protected(run)
        }
        counts = Counter(run.task.step.name for run in runs if _is_protected(run))
        return all(
            self._away(step, ended) + counts[name] <= max(1, step.spec.may_be_away)
            for name, step in steps_by_name.items()
        )

    def _away(self, step: StepRun, without: Collection[str]) -> int:
        """Return how many tasks of a step are not at work, some left out."""
        return sum(
            task.name not in without and not self._is_at_work(task)
            for task in step.tasks
        )

    def _is_at_work(self, task: Task) -> bool:
        link = self._links_by_id.get(task.executor)
        placed = link.runs_by_name.get(task.name) if link else None
        return (
            task.state is TaskState.PLACED
            and link is not None
            and link.reachable
            and not link.ending
            and placed is not None
            and placed.phase is Phase.RUNNING
            and placed.percent >= 100
        )


def _is_protected(run: PlacedRun) -> bool:
    step = run.task.step
    return step.spec.lasting and not step.job.final
