"""Wait until a configuration revision is in force at every daemon."""

from __future__ import annotations

import sys
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from datetime import timedelta
from typing import Any

import click

from ..errors import PomeloyardError
from ..operators.client import OperatorClient

POLL_INTERVAL = timedelta(seconds=0.25)


class NotInForceError(PomeloyardError):
    """A revision was not in force at all daemons before the timeout."""


def wait_in_force(client: OperatorClient, revision: int, timeout: timedelta) -> Any:
    """Return the status once all daemons report ``revision``.

    Raises NotInForceError listing the daemons that still lag at the timeout.
    """
    end = time.monotonic() + timeout.total_seconds()
    with progress() as show_progress:
        while True:
            status = client.call("GET", "/v1/config")
            lagging = _lagging(status, revision)
            if not lagging:
                return status
            count = len(status["daemons"])
            done = count - len(lagging)
            show_progress(f"revision {revision} in force at {done} of {count} daemons")
            if time.monotonic() >= end:
                names = ", ".join(lagging) or "no daemon is registered"
                raise NotInForceError(
                    f"revision {revision} is not in force at: {names}"
                )
            time.sleep(POLL_INTERVAL.total_seconds())


def _lagging(status: dict[str, Any], revision: int) -> list[str]:
    if not status["daemons"]:
        return ["any daemon (none is registered)"]
    return [
        f"{daemon['vm']} ({_shown(daemon['config_revision'])})"
        for daemon in status["daemons"]
        if (daemon["config_revision"] or 0) < revision
    ]


def _shown(revision: int | None) -> str:
    return "not heard from" if revision is None else f"at revision {revision}"


@contextmanager
def progress() -> Iterator[Callable[[str], None]]:
    """Yield a function that shows progress on standard error.

    A terminal shows one line that is updated; a pipe receives a line per change.
    """
    if sys.stderr.isatty():
        from rich.console import Console

        with Console(stderr=True).status("waiting") as status:
            yield status.update
        return
    last = ""

    def print_change(text: str) -> None:
        nonlocal last
        if text != last:
            click.echo(text, err=True)
            last = text

    yield print_change
