"""Connection options of the command-line tool."""

from __future__ import annotations

import os
import tomllib
from datetime import timedelta
from pathlib import Path
from typing import Any

import click

from ..operators.client import OperatorClient

OPTIONS_FILE = Path("~/.config/pomeloyard.toml")
OPTION_NAMES = frozenset({"daemon", "key", "key_file", "ca_file", "output", "timeout"})


class Session(OperatorClient):
    """Client that reports missing connection options on its first call only."""

    def __init__(
        self, addresses: list[str], key: str, timeout: timedelta, ca_file: str
    ) -> None:
        super().__init__(addresses, key, timeout=timeout, ca_file=ca_file)
        self._complete = bool(addresses and key)

    def call(
        self,
        method: str,
        path: str,
        body: object = None,
        *,
        repeatable: bool | None = None,
    ) -> Any:
        """Return the decoded response body; a missing option is a usage error."""
        self._check_complete()
        return super().call(method, path, body, repeatable=repeatable)

    def call_all(self, path: str) -> tuple[list[Any], list[str]]:
        """Read from every daemon; a missing option is a usage error."""
        self._check_complete()
        return super().call_all(path)

    def _check_complete(self) -> None:
        if not self._complete:
            raise click.UsageError(
                "give --daemon and --key, or POMELOYARD_DAEMONS and POMELOYARD_KEY, "
                f"or daemon and key in {OPTIONS_FILE}"
            )


def load_options(
    context: click.Context, parameter: click.Parameter, value: Path | None
) -> Path | None:
    """Load defaults of the options from a TOML file; a click callback."""
    path = (value or OPTIONS_FILE).expanduser()
    if value is None and not path.exists():
        return None
    try:
        options = tomllib.loads(path.read_bytes().decode())
    except (OSError, ValueError) as error:
        raise click.BadParameter(f"{path}: {error}") from error
    unknown = sorted(set(options) - OPTION_NAMES)
    if unknown:
        known = ", ".join(sorted(OPTION_NAMES))
        raise click.BadParameter(
            f"{path}: unknown {', '.join(unknown)}; known: {known}"
        )
    context.default_map = {**(context.default_map or {}), **options}
    return value


def read_key(key: str, key_file: str) -> str:
    """Return the key, from its file if one is given."""
    if key or not key_file:
        return key
    try:
        return Path(os.path.expanduser(key_file)).read_text().strip()
    except (OSError, UnicodeDecodeError) as error:
        raise click.BadParameter(f"{key_file}: {error}") from error
