"""Commands for keys."""

from __future__ import annotations

import click

from ..keys import Role
from ..operators.client import OperatorClient
from .output import note, show

KEY_COLUMNS = ("key_id", "team", "role", "withdrawn", "granted_at", "granted_by")


@click.group()
def key() -> None:
    """Grant, withdraw and list keys.

    \b
    Examples:
      pomeloyard key grant --team mill
      pomeloyard key withdraw 0a1b2c3d4e5f
    """


@key.command("grant")
@click.option("--team", default="", help="Team that receives the key.")
@click.option(
    "--role",
    type=click.Choice([role.value for role in Role]),
    help="Role of the operator who receives the key.",
)
@click.pass_obj
def grant(client: OperatorClient, team: str, role: str | None) -> None:
    """Grant a key to a team or an operator; its text is shown only once.

    \b
    Examples:
      pomeloyard key grant --team mill
      pomeloyard key grant --role operate
    """
    if bool(team) == bool(role):
        raise click.UsageError("give either --team or --role")
    show(client.call("POST", "/v1/keys", {"team": team, "role": role}))


@key.command("withdraw")
@click.argument("key_id")
@click.pass_obj
def withdraw(client: OperatorClient, key_id: str) -> None:
    """Withdraw a key; it stops working within seconds, also in a store outage.

    \b
    Examples:
      pomeloyard key withdraw 0a1b2c3d4e5f
    """
    # Withdrawing a key is idempotent, as withdrawals are only ever added.
    answer = client.call("DELETE", f"/v1/keys/{key_id}", repeatable=True)
    if not answer["known"]:
        note("this daemon does not know the key; the withdrawal is kept for its peers")
    elif not answer["stored"]:
        note("withdrawn; the daemons keep it until the store is back")
    show(answer)


@key.command("list")
@click.option("--team", default="", help="Only keys of this team.")
@click.pass_obj
def list_keys(client: OperatorClient, team: str) -> None:
    """List keys, without their text.

    \b
    Examples:
      pomeloyard key list --team mill
    """
    rows = client.call("GET", "/v1/keys")
    show([row for row in rows if not team or row["team"] == team], columns=KEY_COLUMNS)
