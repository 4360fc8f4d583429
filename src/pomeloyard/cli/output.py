"""Output of commands, as a table or as JSON."""

from __future__ import annotations

import json
import sys
from collections.abc import Sequence
from typing import Any

import click

TABLE = "table"
JSON = "json"
PIPE_WIDTH = 160


def output_format() -> str:
    """Return the chosen format; by default a table on a terminal, else JSON."""
    context = click.get_current_context(silent=True)
    chosen = context.find_root().meta.get("output") if context is not None else None
    return chosen or (TABLE if sys.stdout.isatty() else JSON)


def show(value: Any, columns: Sequence[str] | None = None) -> None:
    """Print a command's result.

    ``columns`` selects and orders the columns of a table; JSON always has all fields.
    """
    if output_format() == JSON:
        click.echo(json.dumps(value))
    elif isinstance(value, list) and all(isinstance(row, dict) for row in value):
        _show_table(value, columns or list(value[0] if value else ()))
    elif isinstance(value, dict):
        names = columns or list(value)
        rows = [{"field": name, "value": value.get(name)} for name in names]
        _show_table(rows, ["field", "value"])
    else:
        click.echo(cell_text(value))


def note(text: str) -> None:
    """Print a message that is not part of the result to standard error."""
    click.echo(text, err=True)


def cell_text(value: Any) -> str:
    """Return a value as the text of a table's cell.

    >>> cell_text([{"a": 1}, "b"]), cell_text(None), cell_text(True)
    ('a=1 b', '-', 'yes')
    """
    if value is None or value == "":
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, dict):
        return " ".join(f"{key}={cell_text(part)}" for key, part in value.items())
    if isinstance(value, list):
        return " ".join(cell_text(part) for part in value) or "-"
    return str(value)


def _show_table(rows: list[dict[str, Any]], columns: Sequence[str]) -> None:
    # Imported here, because the import takes longer than most commands.
    from rich.console import Console
    from rich.table import Table

    if not rows:
        click.echo("nothing to show")
        return
    table = Table(box=None, pad_edge=False, header_style="bold")
    for column in columns:
        table.add_column(column.replace("_", " "), overflow="fold")
    for row in rows:
        table.add_row(*(cell_text(row.get(column)) for column in columns))
    width = None if sys.stdout.isatty() else PIPE_WIDTH
    Console(width=width, markup=False, highlight=False).print(table)
