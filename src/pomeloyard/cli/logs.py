"""Commands that read the daemons' log output without calling a daemon."""

from __future__ import annotations

from pathlib import Path

import click

from ..batch.job_history import LogLine, findings, parse_line, timeline
from ..batch.pool_history import PoolSecond, pool_seconds, vm_seconds_by_pool
from ..batch.wait_history import Waits, wait_history
from ..errors import PomeloyardError
from .output import note, show


class UnknownJobError(PomeloyardError):
    """No line of the given output names the job."""


class NoPoolLinesError(PomeloyardError):
    """The given output has no lines about pools."""


class NoShareLinesError(PomeloyardError):
    """The given output has no lines about shares."""


class NoJobLinesError(PomeloyardError):
    """The given output has no lines about jobs."""


@click.group(epilog="Example: pomeloyard log job 5b3041f9338636bd daemon-*.log")
def log() -> None:
    """Explain decisions from the daemons' output."""


@log.command("job", epilog="Example: log job 5b3041f9338636bd daemon-*.log")
@click.argument("job_id")
@click.argument(
    "files",
    nargs=-1,
    required=True,
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
)
def job(job_id: str, files: tuple[Path, ...]) -> None:
    """Print the course of JOB_ID from the output of all daemons in FILES.

    Its causes go to standard error.
    """
    lines = [line for path in files for line in _read(path)]
    found = timeline(lines, job_id)
    if not found:
        raise UnknownJobError(f"no line of {len(files)} files names job {job_id}")
    show([_row(line) for line in found])
    for text in findings(found, job_id):
        note(text)


@log.command("pools", epilog="Example: log pools daemon-*.log")
@click.argument(
    "files",
    nargs=-1,
    required=True,
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
)
def pools(files: tuple[Path, ...]) -> None:
    """Print by second the VMs that each pool held and those that its work needed.

    The sums go to standard error.
    """
    rows = pool_seconds(line for path in files for line in _read(path))
    if not rows:
        raise NoPoolLinesError(f"no line of {len(files)} files tells of pools")
    show([_pool_row(row) for row in rows])
    for pool, (held, needed) in vm_seconds_by_pool(rows).items():
        note(f"{pool}: {held} VM-seconds held, {needed} needed")


@log.command("shares", epilog="Example: log shares daemon-*.log")
@click.argument(
    "files",
    nargs=-1,
    required=True,
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
)
def shares(files: tuple[Path, ...]) -> None:
    """Print by second how full pools were divided among teams.

    Teams are shown with the cores that they held and their share, those furthest above
    or below it first.
    """
    lines = [line for path in files for line in _read(path)]
    found = [line for line in lines if line.decision == "share"]
    if not found:
        raise NoShareLinesError(f"no line of {len(files)} files tells of shares")
    show([_row(line) for line in sorted(found, key=lambda line: line.at)])


@log.command("waits", epilog="Example: log waits daemon-*.log")
@click.argument(
    "files",
    nargs=-1,
    required=True,
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
)
def waits(files: tuple[Path, ...]) -> None:
    """Print by queue and team how long jobs waited for their first task.

    Also their age at completion; times are in ms, with the median and the 95th
    percentile.
    """
    history = wait_history(line for path in files for line in _read(path))
    if not history.groups:
        raise NoJobLinesError(f"no line of {len(files)} files tells of jobs")
    show([_wait_row(row) for row in history.groups])
    if history.unattributed_jobs:
        note(f"{history.unattributed_jobs} jobs: no line names their queue and team")


def _wait_row(row: Waits) -> dict[str, str | int | None]:
    return {
        "queue": row.group.queue,
        "team": row.group.team,
        "found": row.found,
        "begun": row.at_first_task.jobs,
        "wait_median_ms": row.at_first_task.median_ms,
        "wait_p95_ms": row.at_first_task.tail_ms,
        "completed": row.at_completion.jobs,
        "age_median_ms": row.at_completion.median_ms,
        "age_p95_ms": row.at_completion.tail_ms,
    }


def _pool_row(row: PoolSecond) -> dict[str, str | int | float]:
    return {
        "at": row.at.isoformat(timespec="milliseconds"),
        "pool": row.pool,
        "vms": row.vms,
        "needed": row.needed,
        "idle": row.vms - row.needed,
        "waiting": row.waiting_core_seconds,
    }


def _read(path: Path) -> list[LogLine]:
    with path.open(encoding="utf-8", errors="replace") as stream:
        parsed = (parse_line(text, path.stem) for text in stream)
        return [line for line in parsed if line is not None]


def _row(line: LogLine) -> dict[str, str]:
    inputs = " ".join(f"{name}={value}" for name, value in line.inputs.items())
    return {
        "at": line.at.isoformat(timespec="milliseconds"),
        "daemon": line.daemon,
        "decision": line.decision or "message",
        "subject": line.subject,
        "outcome": line.outcome,
        "inputs": inputs,
    }
