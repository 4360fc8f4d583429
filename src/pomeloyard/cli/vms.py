"""Commands for VMs."""

from __future__ import annotations

import time
from typing import Any

import click

from ..errors import PomeloyardError
from ..operators.client import OperatorClient
from .explain import show_decisions
from .output import JSON, output_format, show

POLL_SECONDS = 1.0
SETTLED_STATES = frozenset({"drained", "in_service", "set_aside", "failed"})


class VmStateError(PomeloyardError):
    """A VM ended in a state other than the requested one."""


@click.group()
def vm() -> None:
    """Show, drain, return and explain VMs."""


@vm.command("list")
@click.option("--pool", default="", help="Only VMs of this pool.")
@click.option("--state", default="", help="Only VMs in this state.")
@click.pass_obj
def list_vms(client: OperatorClient, pool: str, state: str) -> None:
    """List VMs with their pool and state.

    \b
    Examples:
      pomeloyard vm list
      pomeloyard vm list --pool orders --state draining
    """
    vms = client.call("GET", "/v1/vms")
    show(
        [
            record
            for record in vms
            if pool in ("", record["pool"]) and state in ("", record["state"])
        ]
    )


@vm.command("drain")
@click.argument("name")
@click.option("--wait", is_flag=True, help="Show progress until it is drained.")
@click.pass_obj
def drain(client: OperatorClient, name: str, wait: bool) -> None:
    """Drain a VM within its services' budgets; refused if they do not allow it.

    \b
    Examples:
      pomeloyard vm drain cut-3
      pomeloyard vm drain cut-3 --wait
    """
    record = client.call("POST", f"/v1/vms/{name}/drain")
    if wait:
        record = _wait_until_drained(client, name)
    show(record)


@vm.command("return")
@click.argument("name")
@click.pass_obj
def return_vm(client: OperatorClient, name: str) -> None:
    """Return a drained, failed or set-aside VM to service.

    \b
    Examples:
      pomeloyard vm return cut-3
    """
    show(client.call("POST", f"/v1/vms/{name}/return"))


@vm.command("explain")
@click.argument("name")
@click.pass_obj
def explain(client: OperatorClient, name: str) -> None:
    """Show a VM's history, what its drain waits for, and all daemons' decisions.

    \b
    Examples:
      pomeloyard vm explain cut-3
    """
    answer = client.call("GET", f"/v1/vms/{name}/explain")
    if output_format() == JSON:
        show(answer)
        return
    show(answer, ["vm", "listed", "drain"])
    show_decisions(answer)


def _wait_until_drained(client: OperatorClient, name: str) -> Any:
    """Print each change of the drain's progress; return the last record."""
    shown = ""
    while True:
        record = client.call("GET", f"/v1/vms/{name}")
        line = f"{name}: {record['state']} {record['waiting'] or ''}".rstrip()
        if line != shown:
            click.echo(line, err=True)
            shown = line
        if record["state"] in SETTLED_STATES:
            if record["state"] != "drained":
                raise VmStateError(f"{name} is {record['state']}, not drained")
            return record
        time.sleep(POLL_SECONDS)
