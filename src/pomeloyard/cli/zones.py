"""Commands for availability zones."""

from __future__ import annotations

from urllib.parse import quote

import click

from ..operators.client import OperatorClient
from .output import show


@click.group()
def zone() -> None:
    """List, evacuate and readmit availability zones."""


@zone.command("list")
@click.pass_obj
def list_zones(client: OperatorClient) -> None:
    """List availability zones, with who evacuated them and when.

    \b
    Examples:
      pomeloyard zone list
      pomeloyard --output json zone list
    """
    show(client.call("GET", "/v1/zones"))


@zone.command("evacuate")
@click.argument("zone")
@click.pass_obj
def evacuate(client: OperatorClient, zone: str) -> None:
    """Send nothing new to ZONE until it is readmitted; running work continues.

    \b
    Examples:
      pomeloyard zone evacuate bulacan
    """
    # Not repeated after a lost answer: another operator may have readmitted the zone.
    show(client.call("POST", f"/v1/zones/{quote(zone, safe='')}/evacuate"))


@zone.command("readmit")
@click.argument("zone")
@click.pass_obj
def readmit(client: OperatorClient, zone: str) -> None:
    """End the evacuation of ZONE.

    \b
    Examples:
      pomeloyard zone readmit bulacan
    """
    show(client.call("POST", f"/v1/zones/{quote(zone, safe='')}/readmit"))
