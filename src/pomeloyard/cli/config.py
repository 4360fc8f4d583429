"""Commands for configurations."""

from __future__ import annotations

from datetime import timedelta
from pathlib import Path

import click
import msgspec

from ..config.diff import ItemChange, diff_configs
from ..config.model import FleetConfig
from ..config.reader import read_directories, read_source
from ..config.warnings import config_warnings
from ..errors import ConfigurationError
from ..operators.client import OperatorClient
from .output import note, show
from .waiting import wait_in_force

DAEMON_COLUMNS = ("vm", "availability_zone", "config_revision", "in_force")

directories_argument = click.argument(
    "directories", nargs=-1, required=True, type=click.Path(exists=True, path_type=Path)
)
wait_timeout_option = click.option(
    "--wait-timeout",
    type=click.FloatRange(0.1, 3600),
    default=30.0,
    show_default=True,
    help="Longest wait in seconds.",
)


@click.group()
def config() -> None:
    """Check, publish and show configurations.

    \b
    Examples:
      pomeloyard config check services/
      pomeloyard config publish --wait services/
    """


@config.command("check")
@directories_argument
@click.option("--diff", is_flag=True, help="Compare with the revision in force.")
@click.option("--strict", is_flag=True, help="Fail if there are warnings.")
@click.pass_obj
def check(
    client: OperatorClient, directories: tuple[Path, ...], diff: bool, strict: bool
) -> None:
    """Check the files below DIRECTORIES and report every error and warning.

    A warning is an entry that has no effect, or a limit that contradicts another.
    Warnings are printed to standard error; the exit status is 1 if there are
    errors or, with --strict, warnings. Publishing does not look at warnings.

    No daemon is called unless --diff is given.

    \b
    Examples:
      pomeloyard config check services/ teams/
      pomeloyard config check --diff services/
      pomeloyard config check --strict --diff services/
    """
    source = read_source(directories)
    warnings = config_warnings(source.config, source.file_of)
    for warning in warnings:
        note(f"warning: {warning}")
    if diff:
        in_force = client.call("GET", "/v1/config")["revision"]
        show_changes(_changes(client, in_force, source.config))
    found = f"{len(warnings)} warning{'s' if len(warnings) != 1 else ''}"
    if warnings and strict:
        raise ConfigurationError(f"{found}, which --strict does not allow")
    note(f"no errors, {found}" if warnings else "no errors")


@config.command("publish")
@directories_argument
@click.option("--made-from", type=int, help="Revision that the files were made from.")
@click.option("--wait", is_flag=True, help="Wait until it is in force everywhere.")
@wait_timeout_option
@click.pass_obj
def publish(
    client: OperatorClient,
    directories: tuple[Path, ...],
    made_from: int | None,
    wait: bool,
    wait_timeout: float,
) -> None:
    """Publish the files below DIRECTORIES as one revision and print its number.

    Nothing is published if any file has an error, or if another operator
    published since --made-from (by default the revision now in force).

    \b
    Examples:
      pomeloyard config publish --wait services/ teams/
      pomeloyard config publish --made-from 41 services/
    """
    fleet = read_directories(directories)
    if made_from is None:
        made_from = client.call("GET", "/v1/config")["revision"]
    if made_from and not _changes(client, made_from, fleet):
        note("nothing to publish: the files do not differ from the revision")
        show(made_from)
        return
    path = f"/v1/config?made_from={made_from}"
    answer = client.call("POST", path, msgspec.to_builtins(fleet))
    show_changes(msgspec.convert(answer["changes"], tuple[ItemChange, ...]))
    _finish(client, answer["revision"], wait, wait_timeout)


@config.command("rollback")
@click.argument("revision", type=click.IntRange(min=1))
@click.option("--wait", is_flag=True, help="Wait until it is in force everywhere.")
@wait_timeout_option
@click.pass_obj
def rollback(
    client: OperatorClient, revision: int, wait: bool, wait_timeout: float
) -> None:
    """Publish the content of REVISION again, as a new revision.

    \b
    Examples:
      pomeloyard config rollback --wait 41
    """
    made_from = client.call("GET", "/v1/config")["revision"]
    path = f"/v1/config/rollback?revision={revision}&made_from={made_from}"
    answer = client.call("POST", path)
    show_changes(msgspec.convert(answer["changes"], tuple[ItemChange, ...]))
    _finish(client, answer["revision"], wait, wait_timeout)


@config.command("status")
@click.option("--wait", is_flag=True, help="Wait until it is in force everywhere.")
@click.option("--revision", type=int, help="Revision to wait for.")
@wait_timeout_option
@click.pass_obj
def status(
    client: OperatorClient, wait: bool, revision: int | None, wait_timeout: float
) -> None:
    """Show the revision in force at every registered daemon.

    \b
    Examples:
      pomeloyard config status
      pomeloyard config status --wait --revision 42
    """
    answer = client.call("GET", "/v1/config")
    if wait:
        wanted = revision or answer["revision"]
        answer = wait_in_force(client, wanted, timedelta(seconds=wait_timeout))
    show(answer["daemons"], columns=DAEMON_COLUMNS)


@config.command("history")
@click.pass_obj
def history(client: OperatorClient) -> None:
    """Show the kept revisions, newest first.

    \b
    Examples:
      pomeloyard config history
    """
    show(client.call("GET", "/v1/config/history"))


def show_changes(changes: tuple[ItemChange, ...]) -> None:
    """Print changes, one a line."""
    for change in changes:
        note(str(change))


def _changes(
    client: OperatorClient, revision: int, fleet: FleetConfig
) -> tuple[ItemChange, ...]:
    """Return what publishing ``fleet`` would change of a revision."""
    earlier = FleetConfig(name="")
    if revision:
        content = client.call("GET", f"/v1/config/revisions/{revision}")
        earlier = msgspec.convert(content, FleetConfig)
    return diff_configs(earlier, fleet)


def _finish(
    client: OperatorClient, revision: int, wait: bool, wait_timeout: float
) -> None:
    if wait:
        wait_in_force(client, revision, timedelta(seconds=wait_timeout))
    show(revision)
