"""Command that shows the decisions about a subject."""

from __future__ import annotations

from typing import Any
from urllib.parse import quote

import click

from ..operators.client import OperatorClient
from .output import JSON, note, output_format, show

KINDS = ["vm", "wave", "service", "key", "membership", "job", "zone"]
COLUMNS = ("at", "kind", "choice", "reason", "daemon", "inputs", "candidates")


@click.command()
@click.argument("kind", type=click.Choice(KINDS))
@click.argument("name")
@click.pass_obj
def explain(client: OperatorClient, kind: str, name: str) -> None:
    """Show the decisions of all daemons about a subject, oldest first.

    NAME is the VM, service, key id, wave id, job id or availability zone; for
    membership it is the VM of the daemon that gained or lost partitions.

    \b
    Examples:
      pomeloyard explain vm cut-3
      pomeloyard explain membership entry-1
      pomeloyard --output json explain job 0f3c
    """
    path = f"/v1/explain/{kind}/{quote(name, safe='')}"
    answer = client.call("GET", path)
    if output_format() == JSON:
        show(answer)
        return
    if answer["record"]:
        show(answer["record"])
    show_decisions(answer["explanation"])


def show_decisions(explanation: dict[str, Any]) -> None:
    """Print decisions as a table, then what may be missing on standard error."""
    show(explanation["decisions"], COLUMNS)
    if explanation["silent"]:
        note(f"no answer from: {', '.join(explanation['silent'])}")
    if explanation["damaged"]:
        note(f"unreadable decisions from: {', '.join(explanation['damaged'])}")
    for daemon, count in explanation["omitted"].items():
        note(f"{count} older decisions of {daemon} are not shown")
