"""Commands for configurations."""

from __future__ import annotations

from pathlib import Path

import click
import msgspec

from ..config.reader import read_directories
from ..operators.client import OperatorClient
from .output import show


@click.group()
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
    show(client.call("POST", f"/v1/config?made_from={made_from}", body)["revision"])
