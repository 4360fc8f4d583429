"""Write JSON lines of measurements as a page with one table.

Usage: python -m measurements.support.report FILE --date DATE --load LOAD
"""

from __future__ import annotations

import subprocess
from collections.abc import Iterable, Sequence
from pathlib import Path

import click
import msgspec

from measurements.figures import Figure

PAGE = Path("docs/measurements.md")
HEADER = (
    "| Name | Deployment | Value | Bound | In bounds |\n"
    "| --- | --- | ---: | ---: | --- |\n"
)
WORD_BY_OK = {True: "yes", False: "no", None: "no bound"}


def read_figures(path: Path) -> list[Figure]:
    """Return the figures of a file with one JSON object on each line."""
    lines = path.read_text(encoding="utf-8").splitlines()
    return [msgspec.json.decode(line, type=Figure) for line in lines if line.strip()]


def page(figures: Sequence[Figure], commit: str, date: str, load: str) -> str:
    """Return the page; figures out of bounds come first."""
    outside = [figure for figure in figures if figure.ok is False]
    others = [figure for figure in figures if figure.ok is not False]
    return (
        f"# Measurements at {commit}, {date}, load {load}\n\n"
        "Written by `python -m measurements.support.report`; do not edit.\n"
        "[How to measure](measurements-how.md) says what stands behind the bounds.\n\n"
        f"## Out of bounds\n\n{_table(outside)}\n"
        f"## In bounds, or without a bound\n\n{_table(others)}"
    )


def _table(figures: Iterable[Figure]) -> str:
    rows = "".join(_row(figure) for figure in figures)
    return HEADER + rows if rows else "None.\n"


def _row(figure: Figure) -> str:
    bound = "" if figure.bound is None else _quantity(figure.bound, figure.unit)
    cells = (
        f"`{figure.name}`",
        figure.deployment,
        _quantity(figure.value, figure.unit),
        bound,
        WORD_BY_OK[figure.ok],
    )
    return f"| {' | '.join(cells)} |\n"


def _quantity(value: float, unit: str) -> str:
    # Large values are shown as integers, small ones with four significant digits.
    whole = float(value).is_integer() or abs(value) >= 1000
    number = f"{value:.0f}" if whole else f"{value:.4g}"
    # A unit such as "1 = yes" explains the number, so it is put in parentheses.
    return f"{number} ({unit})" if "=" in unit else f"{number} {unit}".strip()


def current_commit() -> str:
    """Return the short name of the commit that is checked out."""
    command = ["git", "rev-parse", "--short", "HEAD"]
    return subprocess.check_output(command, text=True).strip()


@click.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option("--date", required=True, help="Day of the run, such as 2026-01-31.")
@click.option("--load", required=True, help="Load averages at the start of the run.")
@click.option("--commit", default=None, help="Measured commit, if not the current one.")
@click.option("--output", default=PAGE, type=click.Path(path_type=Path))
def main(file: Path, date: str, load: str, commit: str | None, output: Path) -> None:
    """Write the figures in FILE as a page."""
    text = page(read_figures(file), commit or current_commit(), date, load)
    output.write_text(text, encoding="utf-8")


if __name__ == "__main__":
    main()
