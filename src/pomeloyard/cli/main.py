"""Entry point of the operators' command-line tool."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import click
import msgspec

from ..config.reader import read_directories
from ..errors import PomeloyardError
from ..operators.client import OperatorClient


@click.group()
@click.option("--daemon", multiple=True, envvar="POMELOYARD_DAEMONS", required=True)
@click.option("--key", envvar="POMELOYARD_KEY", required=True)
@click.pass_context
def cli(context: click.Context, daemon: tuple[str, ...], key: str) -> None:
    """Operate a fleet."""
    context.obj = OperatorClient(list(daemon), key)


@cli.group()
def config() -> None:
    """Check, publish and show configurations."""


@config.command("publish")
@click.argument("directories", nargs=-1, type=click.Path(path_type=Path))
@click.pass_obj
def publish(client: OperatorClient, directories: tuple[Path, ...]) -> None:
    """Publish the files below DIRECTORIES as one revision."""
    fleet = read_directories(directories)
    made_from = client.call("GET", "/v1/config")["revision"]
    body = msgspec.to_builtins(fleet)
    _show(client.call("POST", f"/v1/config?made_from={made_from}", body)["revision"])


@cli.group()
def key() -> None:
    """Grant and withdraw keys."""


@key.command("grant")
@click.option("--team", default="")
@click.option("--role", default="")
@click.pass_obj
def grant(client: OperatorClient, team: str, role: str) -> None:
    """Grant a key to a team or an operator."""
    _show(client.call("POST", "/v1/keys", {"team": team, "role": role}))


@key.command("withdraw")
@click.argument("key_id")
@click.pass_obj
def withdraw(client: OperatorClient, key_id: str) -> None:
    """Withdraw a key."""
    _show(client.call("DELETE", f"/v1/keys/{key_id}"))


@cli.group()
def vm() -> None:
    """Show, drain and return VMs."""


@vm.command("list")
@click.pass_obj
def list_vms(client: OperatorClient) -> None:
    """List VMs."""
    _show(client.call("GET", "/v1/vms"))


@vm.command("drain")
@click.argument("name")
@click.pass_obj
def drain(client: OperatorClient, name: str) -> None:
    """Drain a VM within its service's budget."""
    _show(client.call("POST", f"/v1/vms/{name}/drain"))


@vm.command("return")
@click.argument("name")
@click.pass_obj
def return_vm(client: OperatorClient, name: str) -> None:
    """Return a drained VM to service."""
    _show(client.call("POST", f"/v1/vms/{name}/return"))


def _show(value: Any) -> None:
    click.echo(json.dumps(value))


def main() -> None:
    """Run the tool; status 1 for a refused or failed command, 2 for usage."""
    try:
        cli()
    except PomeloyardError as error:
        click.echo(f"error: {error}", err=True)
        raise SystemExit(1) from error


if __name__ == "__main__":
    main()
