"""Print the errors of failed commands."""

from __future__ import annotations

import json

import click

from ..call_error import CallError
from ..config.problems import ConfigProblemsError
from ..errors import PomeloyardError
from .output import JSON, cell_text, output_format


def show_failure(error: PomeloyardError) -> None:
    """Print an error to standard error, in the chosen output format."""
    if isinstance(error, ConfigProblemsError):
        for problem in error.problems:
            click.echo(f"error: {problem}", err=True)
    elif not isinstance(error, CallError):
        click.echo(f"error: {error}", err=True)
    elif output_format() == JSON:
        members = {"status": error.status, "retry_after": error.retry_after}
        click.echo(json.dumps({**error.problem, **members}), err=True)
    else:
        _show_problem(error)


def _show_problem(error: CallError) -> None:
    detail = error.problem.get("detail") or ""
    click.echo(f"error: {error.reason}: {detail}", err=True)
    for member in ("problems", "changes"):
        for item in error.problem.get(member, ()):
            click.echo(f"  {cell_text(item)}", err=True)
    if error.outcome == "not-run":
        click.echo("nothing was changed", err=True)
    else:
        click.echo("it is unknown whether this took effect", err=True)
    if error.retry_after:
        click.echo(f"try again after {error.retry_after} s", err=True)
