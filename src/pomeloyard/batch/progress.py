"""In-memory progress of one job through its steps; does no I/O."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from datetime import timedelta
from enum import Enum
from typing import Any

import msgspec

from .crash_blame import Suspicion
from .model import (
    FINAL_STATES,
    NO_RESOURCES,
    JobRecord,
    JobState,
    Queue,
    Resources,
    StepSpec,
)
from .progress_records import (
    GANG_INDEX,
    CrashRecord,
    CrashRow,
    RunRecord,
    StepRows,
    TaskRow,
)
from .task_table import TaskTable, WaitingTasks

MAX_OPEN_OCCURRENCES = 128
"""Occurrences of a job that are at work at once; further ones that are due begin as
these are completed. Each change of a job costs a pass over them."""
MAX_INDEX_DIGITS = 9
"""Longer indices in names that executors report belong to no task."""
MAX_AVOIDED_EXECUTORS = 4
"""Limit of executors that a task avoids; more could rule out a whole small pool."""
MAX_PRESUMED_CRASHES = 3
"""Crashes that are at most presumed of starts by a build that does not count them; one
less than give a task up without a further one."""
MIN_UNCOUNTED_STARTS = 3
"""Starts without a failure, recorded by such a build, that put a task on trial."""


class TaskState(Enum):
    """State of a task; the values are stored."""

    WAITING = 0
    PLACED = 1
    DONE = 2


class EndKind(Enum):
    """How a run of a task ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lapsed"
    BROKEN = "broken"
    """Another member of its gang ended."""
    GANG_INCOMPLETE = "alone"
    """The other members of its gang did not start."""
    LOST = "lost"
    """The executor no longer lists the run and did not report how it ended."""


class Task:
    """One task; ``run`` is the number of its latest start and never decreases."""

    __slots__ = (
        "executor",
        "failed_on",
        "failures",
        "index",
        "name",
        "not_before",
        "only_on",
        "only_on_until",
        "run",
        "saved",
        "started_at",
        "state",
        "step",
        "suspicion",
    )

    def __init__(self, step: StepRun, index: int) -> None:
        self.step = step
        self.index = index
        job = step.job
        self.name = f"{job.job_id}.{step.occurrence}.{step.number}.{index}"
        self.state = TaskState.WAITING
        self.run = 0
        self.failures = 0
        self.executor = ""
        self.saved = ""
        self.failed_on: tuple[str, ...] = ()
        self.not_before = timedelta(0)
        self.only_on = ""
        """Executor that may still execute an earlier start, until ``only_on_until``."""
        self.only_on_until = timedelta(0)
        self.started_at = timedelta(0)
        self.suspicion: Suspicion | None = None
        """Crashes under it; the tasks of a gang share one."""

    @property
    def serves_on(self) -> bool:
        """Tell whether it goes on although its job has failed."""
        return self.step.spec.lasting and self.step.job.serves_on

    @property
    def crash_unit(self) -> str:
        """Return the name under which its crashes count: the task's or the gang's."""
        return self.step.name if self.step.spec.gang else self.name

    def suspect(self) -> Suspicion:
        """Return the record of the crashes under it, created at the first one."""
        if self.suspicion is None:
            self._set_suspicion(Suspicion())
        assert self.suspicion is not None
        return self.suspicion

    def clear(self) -> None:
        """Forget the crashes under it."""
        self._set_suspicion(None)

    def _set_suspicion(self, suspicion: Suspicion | None) -> None:
        for task in self.step.tasks if self.step.spec.gang else [self]:
            task.suspicion = suspicion
        self.step.job.has_suspicions = True

    def avoid_executor(self, executor: str) -> None:
        """Prefer other executors to one on which a run failed or was lost."""
        self.failed_on = (*self.failed_on, executor)[-MAX_AVOIDED_EXECUTORS:]


class StepRun:
    """The tasks of one step in one occurrence."""

    __slots__ = (
        "done",
        "gang_failed_run",
        "gang_failures",
        "job",
        "longest_ms",
        "median_known",
        "name",
        "number",
        "occurrence",
        "placed",
        "run_times_ms",
        "spec",
        "tasks",
        "usual_ms",
        "waiting",
    )

    def __init__(self, job: JobRun, occurrence: int, number: int) -> None:
        self.job = job
        self.occurrence = occurrence
        self.number = number
        self.spec: StepSpec = job.record.spec.steps[number]
        self.tasks = TaskTable(self.spec.count, self._new_task, self._done_task)
        self.waiting = WaitingTasks(self.tasks)
        self.placed = 0
        self.done = 0
        self.gang_failures = 0
        """Runs of a gang that failed, whatever number of members failed in each."""
        self.gang_failed_run = 0
        """The latest of these runs."""
        self.longest_ms = 0.0
        """Longest run time of its tasks that are done, as far as this term saw it."""
        self.run_times_ms: list[float] = []
        """Sorted run times of its tasks that are done, until their median is known."""
        self.median_known = False
        self.usual_ms: float | None = None
        """Typical run time of its tasks, None until one is done."""
        self.name = f"{job.job_id}.{occurrence}.{number}"
        """Name of the step within this occurrence, prefix of its tasks' names."""

    def _new_task(self, index: int) -> Task:
        return Task(self, index)

    def _done_task(self, index: int, run: int) -> Task:
        task = Task(self, index)
        task.state, task.run = TaskState.DONE, run
        return task

    @property
    def complete(self) -> bool:
        """Tell whether all tasks are done."""
        return self.done == self.spec.count


class JobRun:
    """A job, its tasks and the state of its stored records."""

    def __init__(
        self, job_id: str, record: JobRecord, queue: Queue | None, now: timedelta
    ) -> None:
        self.job_id = job_id
        self.record = record
        self.max_attempts = queue.max_attempts if queue else 1
        self.state = JobState.PENDING
        self.has_started = False
        """Whether a task was assigned, which does not show that it began."""
        self.begin_confirmed = False
        """Whether an executor has shown that a task began there."""
        self.cancel_requested = False
        self.has_suspicions = False
        """Whether executors have crashed under its tasks, so that this is stored."""
        self.accepted_at = now
        self.expected_path_ms = 0.0
        """Its critical path as expected when a term found it."""
        self.ended_at: timedelta | None = None
        self.revision = 0
        """Store revision of the run record, 0 if there is none."""
        self.record_bytes = 0
        """Size of the run record when it was last encoded or loaded."""
        self.waiting_marker_stored = True
        """Whether the marker of a job that has not begun may still be in the store."""
        self.occurrences: dict[int, list[StepRun]] = {}
        """Steps of the occurrences that are due, by number. Of those that are complete
        only the latest are kept."""
        self._closed_rows: list[msgspec.Raw] = []
        """Stored rows of the steps of the other complete ones."""
        self.next_occurrence = 0
        if record.spec.occurrences == 0:
            self._open_occurrence(0)
        self.lasting = any(step.lasting for step in record.spec.steps)

    @property
    def final(self) -> bool:
        """Tell whether the job has ended."""
        return self.state in FINAL_STATES

    @property
    def serves_on(self) -> bool:
        """Tell whether its lasting tasks go on although it has failed.

        They serve users of their own, and stopping them would exceed what may be
        unavailable, as the task that was given up is unavailable already.
        """
        failed = self.state is JobState.FAILED
        return failed and self.lasting and not self.cancel_requested

    def has_begun(self, occurrence: int) -> bool:
        """Tell whether a task of an open occurrence is placed or done."""
        return any(step.placed or step.done for step in self.occurrences[occurrence])

    @property
    def occurrence_count(self) -> int:
        """Return how many times the job's steps run."""
        return max(1, self.record.spec.occurrences)

    def open_due_occurrences(self, unix_ms: float) -> bool:
        """Create the steps of due occurrences; return whether any was due."""
        spec = self.record.spec
        opened = False
        self._close_occurrences()
        while not self.final and self.next_occurrence < spec.occurrences:
            if len(self._incomplete_occurrences()) >= MAX_OPEN_OCCURRENCES:
                break
            if unix_ms < spec.first_due_ms + self.next_occurrence * spec.interval_ms:
                break
            self._open_occurrence(self.next_occurrence)
            opened = True
        return opened

    def _incomplete_occurrences(self) -> list[int]:
        return [
            number
            for number, steps in self.occurrences.items()
            if not all(step.complete for step in steps)
        ]

    def _close_occurrences(self) -> None:
        """Keep only the stored rows of the earliest complete occurrences."""
        if len(self.occurrences) <= MAX_OPEN_OCCURRENCES:
            return
        incomplete = set(self._incomplete_occurrences())
        complete = [number for number in self.occurrences if number not in incomplete]
        for number in complete[: len(self.occurrences) - MAX_OPEN_OCCURRENCES]:
            for step in self.occurrences.pop(number):
                rows = msgspec.msgpack.encode(_encode_step(step))
                self._closed_rows.append(msgspec.Raw(rows))

    def next_due_ms(self) -> int | None:
        """Return when the next occurrence is due, in ms since 1970 (Unix time)."""
        spec = self.record.spec
        if self.final or self.next_occurrence >= spec.occurrences:
            return None
        return spec.first_due_ms + self.next_occurrence * spec.interval_ms

    def _open_occurrence(self, number: int) -> None:
        steps = [StepRun(self, number, i) for i in range(len(self.record.spec.steps))]
        self.occurrences[number] = steps
        self.next_occurrence = number + 1

    def ready_steps(self) -> Iterator[StepRun]:
        """Yield the steps with waiting tasks whose dependencies are complete."""
        if self.final:
            return
        for steps in self.occurrences.values():
            for step in steps:
                if step.waiting and all(steps[i].complete for i in step.spec.after):
                    yield step

    def smallest_ready_cpu(self) -> int | None:
        """Return the smallest CPU request of a ready task, None if no task is ready."""
        return min(
            (0 if s.spec.fills else s.spec.cpu_millis for s in self.ready_steps()),
            default=None,
        )

    def ready_short_tasks(self) -> Resources:
        """Return the resources that its ready short tasks need together."""
        total = NO_RESOURCES
        for step in self.ready_steps():
            if not step.spec.lasting:
                total += step.spec.executor_usage.times(len(step.waiting))
        return total

    def steps(self) -> Iterator[StepRun]:
        """Yield all steps of the open occurrences."""
        for steps in self.occurrences.values():
            yield from steps

    def placed_tasks(self) -> list[Task]:
        """Return the tasks that may be running."""
        return [
            task
            for step in self.steps()
            if step.placed
            for task in step.tasks.known()
            if task.state is TaskState.PLACED
        ]

    def place(self, task: Task, executor: str, run: int, now: timedelta) -> None:
        """Assign a waiting task to an executor under a run number."""
        task.state = TaskState.PLACED
        task.executor = executor
        task.run = run
        task.started_at = now
        task.step.waiting.remove(task.index)
        task.step.placed += 1
        self.has_started = True
        if self.state is JobState.PENDING:
            self.state = JobState.RUNNING

    def end(self, task: Task, run: int, kind: EndKind, saved: str) -> None:
        """Record the end of a task's current run; ends of earlier runs are ignored."""
        if task.state is TaskState.DONE or run != task.run:
            return
        step = task.step
        if task.state is TaskState.PLACED:
            step.placed -= 1
        if saved:
            task.saved = saved
        if kind is EndKind.DONE and not step.spec.lasting:
            self._finish(step, task)
            return
        if kind is EndKind.FAILED:
            self._count_failure(step, task)
        task.state = TaskState.WAITING
        task.executor = ""
        if not self.final:
            step.waiting.add(task)

    def complete_superseded_run(self, task: Task, run: int) -> bool:
        """Mark a task done by a run that was assumed lost; return whether it changed.

        A later run of the task may be active; the caller must stop it.
        """
        if task.state is TaskState.DONE or run > task.run or task.step.spec.lasting:
            return False
        if task.state is TaskState.PLACED:
            task.step.placed -= 1
        self._finish(task.step, task)
        return True

    def find_task(self, name: str) -> Task | None:
        """Return a task of this job by name, None if there is none."""
        step_name, _, index = name.rpartition(".")
        if not (index.isdecimal() and len(index) <= MAX_INDEX_DIGITS):
            return None
        for step in self.steps():
            if step_name == step.name and int(index) < len(step.tasks):
                task = step.tasks[int(index)]
                return task if task.name == name else None
        return None

    def _finish(self, step: StepRun, task: Task) -> None:
        """Mark a task done; the tasks of a gang are done together."""
        finished: Iterable[Task] = step.tasks if step.spec.gang else [task]
        for member in finished:
            if member.state is TaskState.DONE:
                continue
            if member is not task and member.state is TaskState.PLACED:
                step.placed -= 1
            member.state = TaskState.DONE
            member.saved = ""
            step.waiting.remove(member.index)
            step.done += 1
            step.tasks.mark_done(member.index, member.run)
        if not self.final and self._all_steps_complete():
            self.state = JobState.COMPLETED

    def _count_failure(self, step: StepRun, task: Task) -> None:
        task.avoid_executor(task.executor)
        if step.spec.lasting:
            return
        if step.spec.gang:
            if task.run > step.gang_failed_run:
                step.gang_failed_run = task.run
                step.gang_failures += 1
            failures = step.gang_failures
        else:
            task.failures += 1
            failures = task.failures
        if failures >= self.max_attempts and not self.final:
            self.state = JobState.FAILED
            self._discard_waiting_tasks()

    def give_up(self, task: Task) -> bool:
        """End the job as failed, as a task crashes executors; False if it has ended."""
        task.suspect().convicted = True
        if self.final:
            return False
        self.state = JobState.FAILED
        self._discard_waiting_tasks()
        return True

    def cancel(self) -> bool:
        """Cancel the job unless it has ended; return whether it changed."""
        self.cancel_requested = True
        if self.final:
            return False
        self.state = JobState.CANCELLED
        self._discard_waiting_tasks()
        return True

    def _discard_waiting_tasks(self) -> None:
        for step in self.steps():
            step.waiting.clear()
            step.tasks.forget(_is_unneeded_after_end)

    def _all_steps_complete(self) -> bool:
        return self.next_occurrence >= self.occurrence_count and all(
            step.complete for step in self.steps()
        )

    def encode(self) -> bytes:
        """Encode the run record; an ended job keeps only tasks that may still run."""
        # The rows of closed occurrences are encoded already.
        packed: list[Any] = [] if self.final else list(self._closed_rows)
        for step in self.steps():
            rows = _encode_step(step, only_placed=self.final)
            if rows.rows:
                packed.append(rows)
        return msgspec.msgpack.encode(
            RunRecord(self.state.value, packed, counts_crashes=True)
        )

    def encode_crashes(self) -> bytes:
        """Encode the crashes of executors under the job's tasks."""
        rows = []
        for step in self.steps():
            gang = step.spec.gang
            for task in step.tasks[:1] if gang else step.tasks.known():
                suspicion = task.suspicion
                if suspicion is None or task.state is TaskState.DONE:
                    continue
                rows.append(
                    CrashRow(
                        step.occurrence,
                        step.number,
                        GANG_INDEX if gang else task.index,
                        suspicion.crashes,
                        suspicion.on_trial,
                        task.run,
                        suspicion.convicted,
                        suspicion.passed_run,
                        suspicion.counted_run,
                    )
                )
        return msgspec.msgpack.encode(CrashRecord(rows))

    def restore_crashes(self, content: bytes) -> None:
        """Restore the crashes under the job's tasks, after its progress."""
        record = msgspec.msgpack.decode(content, type=CrashRecord)
        self.has_suspicions = True
        for row in record.rows:
            while self.next_occurrence <= row.occurrence:
                self._open_occurrence(self.next_occurrence)
            steps = self.occurrences.get(row.occurrence)
            if steps is None:
                # Complete and closed.
                continue
            tasks = steps[row.step].tasks
            task = tasks[max(0, row.index)]
            suspicion = task.suspect()
            suspicion.convicted = row.convicted
            suspicion.passed_run = row.passed_run
            suspicion.counted_run = row.counted_run
            # A build that does not count crashes has started it since.
            uncounted = task.run - row.run - (task.state is TaskState.PLACED)
            presumed = max(row.crashes, MAX_PRESUMED_CRASHES)
            suspicion.crashes = min(row.crashes + max(0, uncounted), presumed)
            suspicion.on_trial = row.on_trial or uncounted > 0

    def _presume_crashes(self) -> None:
        """Put tasks on trial that a build without crash counts started repeatedly."""
        for step in self.steps():
            for task in step.tasks.known():
                starts = task.run - task.failures - step.gang_failures
                lasting_or_done = step.spec.lasting or task.state is TaskState.DONE
                if starts >= MIN_UNCOUNTED_STARTS and not lasting_or_done:
                    suspicion = task.suspect()
                    suspicion.crashes, suspicion.on_trial = 1, True

    def restore_progress(self, content: bytes, revision: int) -> None:
        """Restore the progress from a stored run record."""
        record = msgspec.msgpack.decode(content, type=RunRecord)
        self.revision = revision
        self.record_bytes = len(content)
        for rows in record.steps:
            while self.next_occurrence <= rows.occurrence:
                self._open_occurrence(self.next_occurrence)
            step = self.occurrences[rows.occurrence][rows.step]
            step.gang_failures = rows.gang_failures
            step.gang_failed_run = rows.gang_failed_run
            for row in rows.rows:
                _restore_row(step, row)
        self.state = JobState(record.state)
        self.has_started = self.state is not JobState.PENDING
        self.begin_confirmed = any(_shows_begin(step) for step in self.steps())
        # The writer before may have ended between the assignment and the begin.
        self.waiting_marker_stored = not self.final
        if self.final:
            self._discard_waiting_tasks()
        elif not record.counts_crashes:
            self._presume_crashes()
        self._close_occurrences()


def _encode_step(step: StepRun, *, only_placed: bool = False) -> StepRows:
    """Return the rows of the tasks that were started, or only of those that may run."""
    rows = [
        _encode_row(task)
        for task in step.tasks.known()
        if task.run and not (only_placed and task.state is not TaskState.PLACED)
    ]
    if not only_placed:
        rows += [
            TaskRow(index, TaskState.DONE.value, run)
            for index, run in step.tasks.done_runs()
        ]
    rows.sort(key=lambda row: row.index)
    return StepRows(
        step.occurrence, step.number, rows, step.gang_failures, step.gang_failed_run
    )


def _encode_row(task: Task) -> TaskRow:
    return TaskRow(
        task.index,
        task.state.value,
        task.run,
        task.failures,
        task.executor,
        task.saved,
    )


def _restore_row(step: StepRun, row: TaskRow) -> None:
    state = TaskState(row.code)
    if not 0 <= row.index < step.spec.count:
        raise ValueError(f"step {step.name} has no task {row.index}")
    step.waiting.remove(row.index)
    if state is TaskState.DONE:
        step.done += 1
        step.tasks.mark_done(row.index, row.run)
        return
    task = step.tasks[row.index]
    task.run = row.run
    task.failures = row.failures
    task.saved = row.saved
    task.state = state
    if state is TaskState.WAITING:
        step.waiting.add(task)
    else:
        task.executor = row.executor
        step.placed += 1


def _shows_begin(step: StepRun) -> bool:
    """Tell whether the stored progress of a step shows that a task began."""
    return step.done > 0 or any(
        task.failures or task.saved for task in step.tasks.known()
    )


def _is_unneeded_after_end(task: Task) -> bool:
    """Tell whether a task of an ended job neither runs nor has crashes to store."""
    return task.state is TaskState.WAITING and task.suspicion is None
