"""Entry point of the operators' command-line tool."""

from __future__ import annotations

from datetime import timedelta
from pathlib import Path
from typing import Any

import click

from ..errors import PomeloyardError
from .budgets import budget
from .config import config
from .explain import explain
from .failures import show_failure
from .fleet import fleet
from .jobs import job
from .keys import key as key_group
from .logs import log
from .output import JSON, TABLE
from .pools import pool
from .session import Session, load_options, read_key
from .teams import share, team
from .vms import vm
from .waves import wave
from .zones import zone


class ToolGroup(click.Group):
    """Command group that exits with status 1 on a PomeloyardError."""

    def invoke(self, ctx: click.Context) -> Any:
        """Run the command and print its error, if any."""
        try:
            return super().invoke(ctx)
        except PomeloyardError as error:
            show_failure(error)
            ctx.exit(1)


@click.group(cls=ToolGroup, context_settings={"help_option_names": ["-h", "--help"]})
@click.option(
    "--options-file",
    type=click.Path(path_type=Path),
    envvar="POMELOYARD_OPTIONS",
    is_eager=True,
    expose_value=False,
    callback=load_options,
    help="TOML file with defaults of these options (~/.config/pomeloyard.toml).",
)
@click.option(
    "--daemon",
    multiple=True,
    envvar="POMELOYARD_DAEMONS",
    metavar="HOST:PORT",
    help="Operator address of a daemon; repeat to name others to try.",
)
@click.option("--key", default="", envvar="POMELOYARD_KEY", help="Operator's key.")
@click.option(
    "--key-file",
    default="",
    envvar="POMELOYARD_KEY_FILE",
    help="File with the key, which other users cannot see in a list of processes.",
)
@click.option(
    "--ca-file",
    default="",
    envvar="POMELOYARD_CA_FILE",
    help="CA certificates of the daemons; turns on TLS.",
)
@click.option(
    "--output",
    type=click.Choice([TABLE, JSON]),
    envvar="POMELOYARD_OUTPUT",
    help="Format of results; a table on a terminal, JSON in a pipe.",
)
@click.option(
    "--timeout",
    type=click.FloatRange(0.1, 3600),
    default=30.0,
    show_default=True,
    envvar="POMELOYARD_TIMEOUT",
    help="Longest time of a call in seconds.",
)
@click.pass_context
def cli(
    context: click.Context,
    daemon: tuple[str, ...],
    key: str,
    key_file: str,
    ca_file: str,
    output: str | None,
    timeout: float,
) -> None:
    """Operate a fleet.

    The exit status is 0 when the command did what was asked, 1 when it was
    refused or failed, and 2 when it was not understood.

    \b
    Examples:
      pomeloyard --daemon 10.0.0.1:8081 --key-file ~/.pomeloyard-key fleet status
      pomeloyard config publish --wait services/
      pomeloyard --output json key list
    """
    context.meta["output"] = output
    call_timeout = timedelta(seconds=timeout)
    session = Session(list(daemon), read_key(key, key_file), call_timeout, ca_file)
    context.obj = session
    context.call_on_close(session.close)


GROUPS = (
    budget,
    config,
    fleet,
    job,
    key_group,
    log,
    pool,
    share,
    team,
    vm,
    wave,
    zone,
)
for group in GROUPS:
    cli.add_command(group)
cli.add_command(explain)


def main() -> None:
    """Run the tool; exit status 1 for a refused or failed command, 2 for usage."""
    cli(prog_name="pomeloyard")


if __name__ == "__main__":
    main()
