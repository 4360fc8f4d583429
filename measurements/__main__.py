"""Run all measurements, or those named on the command line."""

from __future__ import annotations

import importlib
import pkgutil
import sys
from pathlib import Path

import msgspec

NOT_MEASUREMENTS = frozenset({"__main__", "figures", "support"})


def measurement_names() -> list[str]:
    """Return the names of all measurement modules."""
    modules = pkgutil.iter_modules([str(Path(__file__).parent)])
    return sorted(m.name for m in modules if m.name not in NOT_MEASUREMENTS)


def main(wanted: list[str]) -> int:
    """Print one JSON line for each figure; return 1 if one is out of bounds."""
    names = measurement_names()
    unknown = sorted(set(wanted) - set(names))
    if unknown:
        print(f"unknown: {', '.join(unknown)}; known: {', '.join(names)}")
        return 2
    failed = False
    for name in wanted or names:
        module = importlib.import_module(f"measurements.{name}")
        for figure in module.measure():
            print(msgspec.json.encode(figure).decode(), flush=True)
            failed = failed or figure.ok is False
    return int(failed)


if __name__ == "__main__":
    raise SystemExit(main(sys.argv[1:]))
