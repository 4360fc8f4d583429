"""Commands for maintenance waves."""

from __future__ import annotations

import time
from typing import Any

import click

from ..operators.client import OperatorClient
from .output import show

POLL_SECONDS = 1.0
ENDED_STATES = frozenset({"done", "cancelled", "stopped", "paused"})


@click.group()
def wave() -> None:
    """Start, watch and control maintenance waves."""


@wave.command("start")
@click.argument("scope")
@click.option(
    "--kind",
    type=click.Choice(["reboot", "replace"]),
    default="reboot",
    show_default=True,
)
@click.option("--follow", is_flag=True, help="Show progress until the wave ends.")
@click.pass_obj
def start(client: OperatorClient, scope: str, kind: str, follow: bool) -> None:
    """Start a wave over SCOPE: pool/NAME, service/NAME or all.

    \b
    Examples:
      pomeloyard wave start pool/orders
      pomeloyard wave start all --kind replace --follow
    """
    status = client.call("POST", "/v1/waves", {"scope": scope, "kind": kind})
    if follow:
        status = _follow(client, status["wave"]["wave_id"])
    show(status)


@wave.command("status")
@click.argument("wave_id", default="")
@click.pass_obj
def status(client: OperatorClient, wave_id: str) -> None:
    """Show one wave, or all.

    \b
    Examples:
      pomeloyard wave status
      pomeloyard wave status pool-orders-1
    """
    show(client.call("GET", f"/v1/waves/{wave_id}" if wave_id else "/v1/waves"))


@wave.command("pause")
@click.argument("wave_id")
@click.pass_obj
def pause(client: OperatorClient, wave_id: str) -> None:
    """Start no further drains; VMs that are being maintained are finished.

    \b
    Examples:
      pomeloyard wave pause pool-orders-1
    """
    show(client.call("POST", f"/v1/waves/{wave_id}/pause"))


@wave.command("resume")
@click.argument("wave_id")
@click.pass_obj
def resume(client: OperatorClient, wave_id: str) -> None:
    """Continue a paused wave, or one that correlated failures stopped.

    \b
    Examples:
      pomeloyard wave resume pool-orders-1
    """
    show(client.call("POST", f"/v1/waves/{wave_id}/resume"))


@wave.command("cancel")
@click.argument("wave_id")
@click.pass_obj
def cancel(client: OperatorClient, wave_id: str) -> None:
    """End a wave; drained VMs that were not rebooted return to service.

    \b
    Examples:
      pomeloyard wave cancel pool-orders-1
    """
    show(client.call("POST", f"/v1/waves/{wave_id}/cancel"))


def _follow(client: OperatorClient, wave_id: str) -> Any:
    """Print each change of a wave's progress; return its last status."""
    shown = ""
    while True:
        answer = client.call("GET", f"/v1/waves/{wave_id}")
        counts = sorted(answer["vms_by_progress"].items())
        progress = ", ".join(f"{n} {name}" for name, n in counts if n)
        line = f"{wave_id}: {answer['wave']['state']}: {progress}"
        if line != shown:
            click.echo(line, err=True)
            shown = line
        if answer["wave"]["state"] in ENDED_STATES:
            return answer
        time.sleep(POLL_SECONDS)
