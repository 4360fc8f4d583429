"""Stored form of a job's progress."""

from __future__ import annotations

import msgspec


class RunHeader(msgspec.Struct, array_like=True):
    """The part of a run record that daemons decode to answer callers."""

    state: str


class TaskRow(msgspec.Struct, array_like=True):
    """A task that has been started at least once; all others have no row."""

    index: int
    code: int
    """0: waiting, 1: may run on ``executor``, 2: done."""
    run: int
    """Number of its latest start."""
    failures: int = 0
    executor: str = ""
    saved: str = ""
    """Checkpoint to resume from, "" if there is none."""


class StepRows(msgspec.Struct, array_like=True):
    """Task rows of one step in one occurrence."""

    occurrence: int
    step: int
    rows: list[TaskRow]
    gang_failures: int = 0
    """Runs of a gang that failed."""
    gang_failed_run: int = 0
    """The latest of these runs; an earlier build drops it."""


class RunRecord(msgspec.Struct, array_like=True):
    """A job's state and its tasks; starts with the field of RunHeader."""

    state: str
    steps: list[StepRows] = []
    counts_crashes: bool = False
    """Whether its writer counts crashes; an earlier build drops the field."""


GANG_INDEX = -1
"""Index of the row that all tasks of a gang share."""


class CrashRow(msgspec.Struct, array_like=True):
    """Crashes of executors under a task or a gang."""

    occurrence: int
    step: int
    index: int
    """The task, or ``GANG_INDEX``."""
    crashes: int
    on_trial: bool
    run: int
    """Its latest start that a build has recorded which counts crashes."""
    convicted: bool = False
    passed_run: int = 0
    counted_run: int = 0
    """Its latest run that ended with a counted crash; an earlier build drops it."""


class CrashRecord(msgspec.Struct, array_like=True):
    """The tasks of a job under which executors have crashed."""

    rows: list[CrashRow] = []
