"""Commands for VMs."""

from __future__ import annotations

import click

from ..operators.client import OperatorClient
from .output import show


@click.group()
def vm() -> None:
    """Show, drain and return VMs."""


@vm.command("list")
@click.pass_obj
def list_vms(client: OperatorClient) -> None:
    """List VMs."""
    show(client.call("GET", "/v1/vms"))


@vm.command("drain")
@click.argument("name")
@click.pass_obj
def drain(client: OperatorClient, name: str) -> None:
    """Drain a VM within its service's budget."""
    show(client.call("POST", f"/v1/vms/{name}/drain"))


@vm.command("return")
@click.argument("name")
@click.pass_obj
def return_vm(client: OperatorClient, name: str) -> None:
    """Return a drained VM to service."""
    show(client.call("POST", f"/v1/vms/{name}/return"))
