"""Tasks without objects: the table and the waiting tasks against plain collections."""

from __future__ import annotations

import random
from datetime import UTC, datetime, timedelta

import pytest

from pomeloyard.batch.model import JobRecord, JobSpec, StepSpec
from pomeloyard.batch.progress import EndKind, JobRun, TaskState

NOW = timedelta(0)
MIB = 1 << 20


def job_of(*steps, job_id="a1"):
    spec = JobSpec("payload", tuple(steps))
    record = JobRecord("cuts", "team", spec, datetime(2026, 1, 1, tzinfo=UTC), "w")
    return JobRun(job_id, record, None, NOW)


def states(step):
    return [(task.state, task.run) for task in step.tasks]


@pytest.mark.parametrize("seed", range(40))
def test_a_step_behaves_as_with_an_object_for_each_task(seed):
    """Guards against tasks that are lost, started twice or done twice."""
    draw = random.Random(seed)
    count = draw.randint(1, 12)
    job = job_of(StepSpec(count, 1000, 100))
    (step,) = job.steps()
    expected = [[TaskState.WAITING, 0] for _ in range(count)]
    for _ in range(60):
        index = draw.randrange(count)
        state, run = expected[index]
        if state is TaskState.WAITING:
            job.place(step.tasks[index], "e-1", run + 1, NOW)
            expected[index] = [TaskState.PLACED, run + 1]
        elif state is TaskState.PLACED:
            done = draw.random() < 0.3
            kind = EndKind.DONE if done else EndKind.LOST
            job.end(step.tasks[index], run, kind, "")
            expected[index][0] = TaskState.DONE if done else TaskState.WAITING
        else:
            job.end(step.tasks[index], run, EndKind.LOST, "")
            assert not job.complete_superseded_run(step.tasks[index], run)
        if draw.random() < 0.1 and not job.final:
            restored = job_of(StepSpec(count, 1000, 100))
            restored.restore_progress(job.encode(), 1)
            job, (step,) = restored, restored.steps()
        assert states(step) == [tuple(row) for row in expected]
        waiting = [i for i, (state, _) in enumerate(expected) if state.value == 0]
        assert sorted(task.index for task in step.waiting.values()) == waiting
        assert len(step.waiting) == len(waiting)
        placed = [i for i, (state, _) in enumerate(expected) if state.value == 1]
        assert sorted(task.index for task in job.placed_tasks()) == placed
        assert step.done == sum(state.value == 2 for state, _ in expected)
        if step.complete:
            break


def test_waiting_tasks_may_be_removed_while_they_are_read():
    """Guards against tasks that are skipped or returned twice in a planning round."""
    job = job_of(StepSpec(6, 1000, 100))
    (step,) = job.steps()
    seen = []
    for task in step.waiting.values():
        seen.append(task.index)
        job.place(task, "e-1", 1, NOW)
        if task.index == 1:
            job.place(step.tasks[3], "e-1", 1, NOW)
    assert seen == [0, 1, 2, 4, 5]
    assert not step.waiting
    job.end(step.tasks[4], 1, EndKind.LOST, "")
    assert [task.index for task in step.waiting.values()] == [4]


def test_a_task_that_is_done_has_no_object():
    job = job_of(StepSpec(500, 1000, 100))
    (step,) = job.steps()
    for task in step.waiting.values():
        job.place(task, "e-1", 1, NOW)
        job.end(task, 1, EndKind.DONE, "")
    assert step.tasks.known() == []
    assert step.tasks.unknown_count == 0
    assert job.final


def test_the_tasks_of_an_ended_job_are_forgotten_but_for_suspects():
    job = job_of(StepSpec(500, 1000, 100))
    (step,) = job.steps()
    for task in list(step.waiting.values()):
        job.place(task, "e-1", 1, NOW)
        if task.index != 7:
            job.end(task, 1, EndKind.LOST, "")
    step.tasks[9].suspect().convicted = True
    assert job.cancel()
    assert [task.index for task in step.tasks.known()] == [7, 9]
    assert [task.index for task in job.placed_tasks()] == [7]


@pytest.mark.parametrize("row", [500, -1])
def test_a_record_with_a_task_that_the_step_has_not_is_rejected(row):
    job = job_of(StepSpec(500, 1000, 100))
    (step,) = job.steps()
    job.place(step.tasks[0], "e-1", 1, NOW)
    content = job.encode()
    damaged = content.replace(
        b"\x96\x00\x01\x01",
        b"\x96\xd1" + row.to_bytes(2, "big", signed=True) + b"\x01\x01",
    )
    assert damaged != content
    with pytest.raises(ValueError, match="has no task"):
        job_of(StepSpec(500, 1000, 100)).restore_progress(damaged, 1)
