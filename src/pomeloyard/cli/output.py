"""Output of commands, as a table or as JSON."""

from __future__ import annotations

import json
from typing import Any

import click


def show(value: Any) -> None:
    """Print a command's result."""
    click.echo(json.dumps(value))
