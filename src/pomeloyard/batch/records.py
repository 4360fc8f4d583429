"""The durable record of a job's progress."""

from __future__ import annotations

import msgspec


class RunHeader(msgspec.Struct, array_like=True):
    """The part of a run record that callers' daemons need."""

    state: str


class TaskRow(msgspec.Struct, array_like=True):
    """A task that is no longer as it was submitted; all others have no row."""

    index: int
    code: int
    """0 waits, 1 may run on ``executor``, 2 is done."""
    run: int
    """Number of its last start."""
    failures: int = 0
    executor: str = ""
    saved: str = ""
    """Checkpoint to resume from, or ""."""


class StepRows(msgspec.Struct, array_like=True):
    """Rows of one step in one occurrence."""

    occurrence: int
    step: int
    rows: list[TaskRow]
    gang_failures: int = 0


class RunRecord(msgspec.Struct, array_like=True):
    """A job's state and its tasks; the first field is that of RunHeader."""

    state: str
    steps: list[StepRows] = []
