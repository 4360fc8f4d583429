"""Commands for teams and their shares."""

from __future__ import annotations

import click
import msgspec

from ..operators.client import OperatorClient
from ..usage import TeamUsage, combine_usages
from .output import note, show


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
    """Show what each team receives and is entitled to, over all daemons given.

    \b
    Examples:
      pomeloyard share
      pomeloyard --daemon 10.0.0.2:8081 share
    """
    answers, silent = client.call_all("/v1/shares")
    for address in silent:
        note(f"no answer from {address}; its requests are not counted")
    usages = msgspec.convert([row for rows in answers for row in rows], list[TeamUsage])
    show(msgspec.to_builtins(combine_usages(usages)))
