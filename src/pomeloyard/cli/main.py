"""Entry point of the operators' command-line tool."""

from __future__ import annotations

import click

from ..errors import PomeloyardError
from ..operators.client import OperatorClient
from .config import config
from .jobs import job
from .keys import key
from .vms import vm


@click.group()
@click.option("--daemon", multiple=True, envvar="POMELOYARD_DAEMONS")
@click.option("--key", envvar="POMELOYARD_KEY", default="")
@click.pass_context
def cli(context: click.Context, daemon: tuple[str, ...], key: str) -> None:
    """Operate a fleet."""
    context.obj = OperatorClient(list(daemon), key)


for group in (config, job, key, vm):
    cli.add_command(group)


def main() -> None:
    """Run the tool; status 1 for a refused or failed command, 2 for usage."""
    try:
        cli()
    except PomeloyardError as error:
        click.echo(f"error: {error}", err=True)
        raise SystemExit(1) from error


if __name__ == "__main__":
    main()
