"""Commands for pools."""

from __future__ import annotations

import click

from ..operators.client import OperatorClient
from .output import show


@click.group()
def pool() -> None:
    """Show pools and move VMs between them."""


@pool.command("list")
@click.pass_obj
def list_pools(client: OperatorClient) -> None:
    """List pools with their VMs by state, borrowed VMs and repair alarms.

    \b
    Examples:
      pomeloyard pool list
    """
    show(client.call("GET", "/v1/pools"))


@pool.command("move")
@click.argument("vm")
@click.argument("target")
@click.pass_obj
def move(client: OperatorClient, vm: str, target: str) -> None:
    """Move VM to the pool TARGET: drain, assign, return to service.

    \b
    Examples:
      pomeloyard pool move spare-2 orders
    """
    show(client.call("POST", f"/v1/pools/{target}/moves", {"vm": vm}))
