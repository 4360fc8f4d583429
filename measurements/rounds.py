"""Write the page of measured rounds from the journal.

    python -m measurements.rounds

reads every entry below ``journal/`` and writes ``docs/rounds.md`` with one plot a
deployment below ``docs/plots/``: the scores by time and commit, what the last one's
days were worth and what they paid for, and the hunts. Entries without a result, as of
runs that were ended, are counted and left out.
"""

from __future__ import annotations

import json
import re
from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from .support.plots import plt, save

ROOT = Path(__file__).resolve().parents[1]
JOURNAL = ROOT / "journal"
PAGE = ROOT / "docs" / "rounds.md"
PRICE_COLUMNS = {
    "seconds of machines in pools": "pools",
    "machine-seconds": "daemons' VMs",
    "machines moved": "moves",
    "cloud calls": "store calls",
    "duties missed": "waves late",
}
"""Prices with a column of their own; the others are below a hundredth each."""


@dataclass(frozen=True, slots=True)
class DayResult:
    """A day as it was played."""

    name: str
    worth: float
    score: float | None
    broken: tuple[str, ...]
    prices: dict[str, float]
    losses: dict[str, float]
    """Worth that is not earned, by part of the measure."""

    @property
    def other_prices(self) -> float:
        """Return the prices that have no column of their own."""
        return sum(
            price for name, price in self.prices.items() if name not in PRICE_COLUMNS
        )


@dataclass(frozen=True, slots=True)
class Round:
    """One entry of the journal with a result."""

    entry: str
    began_at: str
    """UTC, to the second."""
    command: str
    deployment: str
    commit: str
    edited: bool
    """Whether its sources were edited during the run; its figures count for nothing."""
    reason: str
    score: float | None
    gate: bool | None
    days: tuple[DayResult, ...]

    @property
    def worth_under_load(self) -> float | None:
        """Return the mean worth of the standard days that have trouble or high load."""
        found = [
            day.worth for day in self.days if re.match(r"(trouble|scale)-\d$", day.name)
        ]
        return sum(found) / len(found) if found else None


def read_rounds(entries: Iterable[Path]) -> tuple[list[Round], int]:
    """Return the rounds in the order of time, and how many entries had no result."""
    rounds, without = [], 0
    for path in sorted(entries):
        content = json.loads(path.read_text(encoding="utf-8"))
        if not content.get("days") or content.get("site") is None:
            without += 1
            continue
        rounds.append(_round(content))
    return rounds, without


def _round(content: dict[str, Any]) -> Round:
    figures = content.get("figures") or {}
    return Round(
        entry=content["id"],
        began_at=content["at"][0],
        command=content["cmd"],
        deployment=content["site"],
        commit=content["head"][:7] + ("+" if content.get("dirty") else ""),
        edited=bool(content.get("edited_meanwhile")),
        reason=content.get("why") or "",
        score=content.get("score"),
        gate=bool(figures["gate"]) if "gate" in figures else None,
        days=tuple(
            DayResult(
                day["name"],
                day["G"],
                day.get("score"),
                tuple(day.get("rules") or ()),
                {name: price for name, _, price in day.get("prices") or ()},
                _losses(day.get("parts") or ()),
            )
            for day in content["days"]
            if day.get("G") is not None
        ),
    )


def _losses(parts: Iterable[tuple[str, float, float]]) -> dict[str, float]:
    """Return the worth that each part of the measure lacks; they add up to it all."""
    kept = list(parts)
    weights = sum(weight for _, weight, _ in kept)
    return {name: weight * (1 - value) / weights for name, weight, value in kept}


def page(rounds: Sequence[Round], without: int) -> str:
    """Return the page in Markdown."""
    parts = [
        "# Measured rounds",
        "",
        "Written by `make report` from the entries below `journal/`: "
        f"{len(rounds)} with a result, {without} without one. A `+` marks a commit "
        "with changes on top, a `*` sources that were edited during the run; its "
        "figures count for nothing. Single runs are not shown.",
    ]
    by_deployment: dict[str, list[Round]] = defaultdict(list)
    for one in rounds:
        by_deployment[one.deployment].append(one)
    for deployment, own in sorted(by_deployment.items()):
        parts += ["", f"## {deployment}", "", *_scores(own), *_last(own), *_hunts(own)]
        if any(one.score is not None for one in own):
            parts += ["", f"![worth by score](plots/rounds-{deployment}.svg)"]
    return "\n".join(parts) + "\n"


def _scores(rounds: Sequence[Round]) -> list[str]:
    rows = [one for one in rounds if one.command == "score" and one.score is not None]
    if not rows:
        return ["No score was played to its end."]
    lines = [
        "| at (UTC) | entry | commit | score | gate "
        "| mean worth of trouble and scale days |",
        "|---|---|---|---|---|---|",
    ]
    for one in rows:
        gate = "-" if one.gate is None else ("passed" if one.gate else "failed")
        worth = one.worth_under_load
        lines.append(
            f"| {one.began_at} | {one.entry} | {_commit(one)} | {one.score:.3f} "
            f"| {gate} | {'-' if worth is None else f'{worth:.3f}'} |"
        )
    return lines


def _commit(one: Round) -> str:
    return one.commit + ("*" if one.edited else "")


def _last(rounds: Sequence[Round]) -> list[str]:
    scores = [
        one
        for one in rounds
        if one.command == "score" and one.score is not None and not one.edited
    ]
    if not scores:
        return []
    lines = [
        "",
        f"Days of the last score ({scores[-1].entry}): worth, and what it lacks to 1, "
        "by part of the measure and by price:",
        "",
    ]
    parts = list(dict.fromkeys(name for day in scores[-1].days for name in day.losses))
    columns = ["day", "worth", *parts, *PRICE_COLUMNS.values(), "other prices"]
    lines += ["| " + " | ".join(columns) + " |", "|---" * len(columns) + "|"]
    for day in scores[-1].days:
        cells = [day.worth, *(day.losses.get(part, 0.0) for part in parts)]
        cells += [day.prices.get(name, 0.0) for name in PRICE_COLUMNS]
        cells.append(day.other_prices)
        shown = " | ".join(f"{cell:.3f}" for cell in cells)
        lines.append(f"| {day.name} | {shown} |")
    return lines


def _hunts(rounds: Sequence[Round]) -> list[str]:
    hunts = [one for one in rounds if one.command == "hunt"]
    if not hunts:
        return []
    lines = ["", "| hunt | commit | days | with a broken rule |", "|---|---|---|---|"]
    for one in hunts:
        broken = [day for day in one.days if day.broken]
        rules = sorted({rule for day in broken for rule in day.broken})
        told = f"{len(broken)} ({', '.join(rules)})" if broken else "0"
        lines.append(f"| {one.entry} | {_commit(one)} | {len(one.days)} | {told} |")
    return lines


def plot(rounds: Sequence[Round], deployment: str) -> None:
    """Draw the worth of each standard day over the scores of a deployment."""
    scores = [
        one
        for one in rounds
        if one.deployment == deployment and one.command == "score" and one.days
    ]
    points: dict[str, list[tuple[int, float]]] = defaultdict(list)
    for number, one in enumerate(scores, 1):
        for day in one.days:
            if not day.name.startswith("fresh"):
                points[day.name].append((number, day.worth))
    canvas, axes = plt.subplots(figsize=(10, 4))
    for name, values in sorted(points.items()):
        axes.plot(*zip(*values, strict=True), ".-", label=name)
    axes.set_xlabel("score played")
    axes.set_ylabel("worth")
    canvas.legend(loc="outside lower center", ncols=len(points))
    canvas.suptitle(f"{deployment}: worth of the standard days")
    save(canvas, f"rounds-{deployment}")


def main() -> None:
    """Write the page and its plots."""
    rounds, without = read_rounds(JOURNAL.glob("*.json"))
    PAGE.write_text(page(rounds, without), encoding="utf-8")
    for deployment in sorted({one.deployment for one in rounds}):
        if any(r.score is not None for r in rounds if r.deployment == deployment):
            plot(rounds, deployment)


if __name__ == "__main__":
    main()
