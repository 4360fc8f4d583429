"""Commands for teams and their shares."""

from __future__ import annotations

import click

from ..operators.client import OperatorClient
from .output import show


@click.group()
def team() -> None:
    """Show teams.

    \b
    Examples:
      pomeloyard team list
    """


@team.command("list")
@click.pass_obj
def list_teams(client: OperatorClient) -> None:
    """List teams with their shares, limits and numbers of valid keys.

    \b
    Examples:
      pomeloyard team list
    """
    show(client.call("GET", "/v1/teams"))


@click.command()
@click.pass_obj
def share(client: OperatorClient) -> None:
    """Show what each team receives and is entitled to at the answering daemon.

    \b
    Examples:
      pomeloyard share
      pomeloyard --daemon 10.0.0.2:8081 share
    """
    show(client.call("GET", "/v1/shares"))
