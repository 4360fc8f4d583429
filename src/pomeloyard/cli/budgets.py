"""Commands for availability budgets."""

from __future__ import annotations

import click

from ..operators.client import OperatorClient
from .output import show


@click.command()
@click.argument("service", default="")
@click.pass_obj
def budget(client: OperatorClient, service: str) -> None:
    """Show what budgets need, what is available and which VMs spend them.

    \b
    Examples:
      pomeloyard budget
      pomeloyard budget orders
    """
    budgets = client.call("GET", "/v1/budgets")
    show([b for b in budgets if service in ("", b["service"])])
