"""Entry point of the operators' command-line tool."""

from __future__ import annotations

import click

from ..errors import PomeloyardError
from ..operators.client import OperatorClient
from .budgets import budget
from .config import config
from .keys import key
from .pools import pool
from .vms import vm
from .waves import wave


@click.group()
@click.option("--daemon", multiple=True, envvar="POMELOYARD_DAEMONS", required=True)
@click.option("--key", envvar="POMELOYARD_KEY", required=True)
@click.pass_context
def cli(context: click.Context, daemon: tuple[str, ...], key: str) -> None:
    """Operate a fleet."""
    context.obj = OperatorClient(list(daemon), key)


for group in (budget, config, key, pool, vm, wave):
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
