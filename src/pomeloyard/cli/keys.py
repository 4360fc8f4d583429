"""Commands for keys."""

from __future__ import annotations

import click

from ..operators.client import OperatorClient
from .output import show


@click.group()
def key() -> None:
    """Grant and withdraw keys."""


@key.command("grant")
@click.option("--team", default="")
@click.option("--role", default="")
@click.pass_obj
def grant(client: OperatorClient, team: str, role: str) -> None:
    """Grant a key to a team or an operator."""
    show(client.call("POST", "/v1/keys", {"team": team, "role": role or None}))


@key.command("withdraw")
@click.argument("key_id")
@click.pass_obj
def withdraw(client: OperatorClient, key_id: str) -> None:
    """Withdraw a key."""
    show(client.call("DELETE", f"/v1/keys/{key_id}"))
