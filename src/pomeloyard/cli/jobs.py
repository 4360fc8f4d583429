"""Commands for jobs; they call the callers' API with a team's key."""

from __future__ import annotations

import sys
from typing import Any

import click
from rich.console import Console

from ..callers.client import JobClient
from .output import show


@click.group(
    epilog="Example: pomeloyard job submit --cores 2 --label nightly 'cut net 7'"
)
@click.option(
    "--caller",
    "callers",
    multiple=True,
    envvar="POMELOYARD_CALLERS",
    required=True,
    help='"host:port" of a daemon\'s caller interface; may be repeated.',
)
@click.option(
    "--team-key",
    envvar="POMELOYARD_TEAM_KEY",
    required=True,
    help="Key of the team that owns the jobs.",
)
@click.pass_context
def job(context: click.Context, callers: tuple[str, ...], team_key: str) -> None:
    """Submit, follow and cancel a team's jobs."""
    context.obj = JobClient(callers, team_key)
    context.call_on_close(context.obj.close)


@job.command("submit", epilog="Example: job submit --idempotent --wait 'sleep 5'")
@click.argument("command")
@click.option("--cores", type=float, default=1.0, show_default=True)
@click.option("--memory-mib", type=int, default=1024, show_default=True)
@click.option("--accelerators", type=int, default=0, show_default=True)
@click.option("--queue", default="", help="An open queue, or the team's queue.")
@click.option("--urgent", is_flag=True)
@click.option("--idempotent", is_flag=True, help="The job may run more than once.")
@click.option("--checkpointable", is_flag=True)
@click.option("--retries", type=int, default=2, show_default=True)
@click.option("--expected-seconds", type=float, default=60.0, show_default=True)
@click.option("--label", default="")
@click.option("--idempotency-key", default="", help="Repeat safely with this key.")
@click.option("--wait", "wait_for_end", is_flag=True, help="Wait until it ended.")
@click.pass_obj
def submit(
    client: JobClient,
    command: str,
    memory_mib: int,
    retries: int,
    idempotency_key: str,
    wait_for_end: bool,
    **fields: Any,
) -> None:
    """Submit COMMAND as a job and print its record."""
    request = {
        "command": command,
        "memory_bytes": memory_mib * 1024**2,
        "retry_limit": retries,
        **fields,
    }
    record = client.submit(request, idempotency_key)
    if not wait_for_end:
        show(record)
        return
    _wait(client, record["job_id"])


@job.command("status", epilog="Example: job status 0f3c...")
@click.argument("job_id")
@click.pass_obj
def status(client: JobClient, job_id: str) -> None:
    """Print a job's record."""
    show(client.status(job_id))


@job.command("list", epilog="Example: job list --limit 20")
@click.option("--limit", type=click.IntRange(1, 500), default=100, show_default=True)
@click.option("--after", default="", help="Continue after this job id.")
@click.pass_obj
def list_jobs(client: JobClient, limit: int, after: str) -> None:
    """Print a page of the team's jobs."""
    show(client.list_jobs(after, limit))


@job.command("cancel", epilog="Example: job cancel --label nightly")
@click.argument("job_ids", nargs=-1)
@click.option("--label", default="")
@click.pass_obj
def cancel(client: JobClient, job_ids: tuple[str, ...], label: str) -> None:
    """Cancel jobs by JOB_IDS or by label and print their states."""
    if bool(job_ids) == bool(label):
        raise click.UsageError("give either job ids or --label")
    show(client.cancel(job_ids, label))


@job.command("explain", epilog="Example: job explain 0f3c...")
@click.argument("job_id")
@click.pass_obj
def explain(client: JobClient, job_id: str) -> None:
    """Print why a job waits, where it was placed and why."""
    show(client.explain(job_id))


@job.command("wait", epilog="Example: job wait 0f3c...")
@click.argument("job_id")
@click.pass_obj
def wait(client: JobClient, job_id: str) -> None:
    """Wait until a job has ended; exit status 1 unless it succeeded."""
    _wait(client, job_id)


def _wait(client: JobClient, job_id: str) -> None:
    console = Console(stderr=True)
    if console.is_terminal:
        with console.status(job_id) as spinner:
            record = client.wait(job_id, lambda job: spinner.update(_line(job)))
    else:
        record = client.wait(job_id, lambda job: click.echo(_line(job), err=True))
    show(record)
    if record["state"] != "succeeded":
        sys.exit(1)


def _line(job: dict[str, Any]) -> str:
    reason = f" ({job['reason']})" if job["reason"] else ""
    place = f" on {job['worker']}" if job["worker"] else ""
    return f"{job['job_id']}: {job['state']}{reason}{place}"
