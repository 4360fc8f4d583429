"""Resource usage of executors and teams (no I/O).

Every task that may be running counts: assigned, ordered but not answered, running, or
being stopped.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Mapping

from .model import NO_RESOURCES, Resources, StepSpec
from .progress import StepRun, Task


class Usage:
    """Counts the tasks that may be running, by executor, team and step."""

    def __init__(self) -> None:
        self._by_executor: dict[str, list[int]] = defaultdict(lambda: [0, 0, 0])
        self._by_team: dict[str, list[int]] = defaultdict(lambda: [0, 0, 0])
        self._tasks_by_executor_step: Counter[tuple[str, str]] = Counter()
        self._tasks_by_step_rack: Counter[tuple[str, str]] = Counter()
        self._lasting_by_executor: Counter[str] = Counter()
        self._short_by_queue: dict[str, dict[str, Resources]] = defaultdict(dict)
        """Resources of the short tasks of each queue, by team."""

    def add(self, executor: str, rack: str, task: Task) -> None:
        """Count a task that may run on an executor."""
        self._change(executor, rack, task, 1)

    def remove(self, executor: str, rack: str, task: Task) -> None:
        """Stop counting a task on an executor."""
        self._change(executor, rack, task, -1)

    def _change(self, executor: str, rack: str, task: Task, sign: int) -> None:
        spec = task.step.spec
        used = self._by_executor[executor]
        if not spec.fills:
            used[0] += sign * spec.cpu_millis
        used[1] += sign * spec.memory_mb
        used[2] += sign * spec.accelerators
        team = self._by_team[task.step.job.record.team]
        team[0] += sign * spec.cpu_millis
        team[1] += sign * spec.memory_mb
        team[2] += sign * spec.accelerators
        self._tasks_by_executor_step[executor, task.step.name] += sign
        self._tasks_by_step_rack[task.step.name, rack] += sign
        if spec.lasting:
            self._lasting_by_executor[executor] += sign
        else:
            self._change_short(task, sign)

    def _change_short(self, task: Task, sign: int) -> None:
        record = task.step.job.record
        by_team = self._short_by_queue[record.queue]
        before = by_team.get(record.team, NO_RESOURCES)
        usage = task.step.spec.executor_usage
        after = before + usage if sign > 0 else before - usage
        if after == NO_RESOURCES:
            by_team.pop(record.team, None)
        else:
            by_team[record.team] = after

    def free(self, executor: str, capacity: Resources) -> Resources:
        """Return the free resources of an executor."""
        cpu, memory, accelerators = self._by_executor[executor]
        return Resources(
            capacity.cpu_millis - cpu,
            capacity.memory_mb - memory,
            capacity.accelerators - accelerators,
        )

    def free_cpu(self, executor: str, capacity: Resources) -> int:
        """Return the free cpu of an executor, in thousandths of a core."""
        return capacity.cpu_millis - self._by_executor[executor][0]

    def fits(self, executor: str, capacity: Resources, spec: StepSpec) -> bool:
        """Tell whether a task of a step fits on an executor."""
        cpu, memory, accelerators = self._by_executor[executor]
        return (
            (spec.fills or cpu + spec.cpu_millis <= capacity.cpu_millis)
            and memory + spec.memory_mb <= capacity.memory_mb
            and accelerators + spec.accelerators <= capacity.accelerators
        )

    def within(self, executor: str, capacity: Resources, spec: StepSpec) -> bool:
        """Tell whether an executor is within its capacity, a task of a step included.

        The task is counted already; its capacity may have shrunk since.
        """
        free = self.free(executor, capacity)
        return (
            (spec.fills or free.cpu_millis >= 0)
            and free.memory_mb >= 0
            and free.accelerators >= 0
        )

    def team_fits(self, team: str, maximum: Resources, spec: StepSpec) -> bool:
        """Tell whether a task keeps a team within its limits; 0 means unlimited."""
        used = self._by_team[team]
        return not (
            (maximum.cpu_millis and used[0] + spec.cpu_millis > maximum.cpu_millis)
            or (maximum.memory_mb and used[1] + spec.memory_mb > maximum.memory_mb)
            or (
                maximum.accelerators
                and used[2] + spec.accelerators > maximum.accelerators
            )
        )

    def team_cpu(self, team: str) -> int:
        """Return the cpu in use by a team, in thousandths of a core."""
        return self._by_team[team][0]

    def short_tasks(self, queue: str) -> Mapping[str, Resources]:
        """Return the resources of the short tasks of a queue, by team."""
        return self._short_by_queue.get(queue, {})

    def tasks_of_step(self, executor: str, step: StepRun) -> int:
        """Return how many tasks of a step may be running on an executor."""
        return self._tasks_by_executor_step[executor, step.name]

    def lasting_tasks(self, executor: str) -> int:
        """Return how many long-running tasks may be running on an executor."""
        return self._lasting_by_executor[executor]

    def tasks_in_rack(self, step: StepRun, rack: str) -> int:
        """Return how many tasks of a step may be running in a rack."""
        return self._tasks_by_step_rack[step.name, rack]
