"""Commands for the fleet as a whole."""

from __future__ import annotations

import click

from ..operators.client import OperatorClient
from .output import JSON, output_format, show

DAEMON_COLUMNS = (
    "vm",
    "availability_zone",
    "partitions",
    "config_revision",
    "store_reachable",
    "heard_seconds_ago",
)


@click.group()
def fleet() -> None:
    """Show the fleet.

    \b
    Examples:
      pomeloyard fleet status
    """


@fleet.command("status")
@click.pass_obj
def status(client: OperatorClient) -> None:
    """Show the daemons, the roles and the states of VMs.

    \b
    Examples:
      pomeloyard fleet status
      pomeloyard --output json fleet status
    """
    answer = client.call("GET", "/v1/fleet")
    if output_format() == JSON:
        show(answer)
        return
    daemons = answer.pop("daemons")
    show(answer)
    rows = [{**row["daemon"], "partitions": row["partitions"]} for row in daemons]
    show(rows, columns=DAEMON_COLUMNS)
