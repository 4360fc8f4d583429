"""Write the page of measured rounds from the journal.

    python -m measurements.rounds

reads all entries below ``journal/`` and writes ``docs/rounds.md``, with one plot per
deployment below ``docs/plots/``: the scores by time and commit, the worth and prices of
each day of the last score, and the hunts. Entries without a result, such as those of
aborted runs, are counted but not shown.
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
"""Prices with their own column; each of the others is below a hundredth."""


@dataclass(frozen=True, slots=True)
class DayResult:
    """Result of one day of a round."""

    name: str
    worth: float
    score: float | None
    broken: tuple[str, ...]
    prices: dict[str, float]
    losses: dict[str, float]
    """Worth missing to 1, by part of the measure."""

    @property
    def other_prices(self) -> float:
        """Return the sum of the prices without their own column."""
        return sum(
            price for name, price in self.prices.items() if name not in PRICE_COLUMNS
        )


@dataclass(frozen=True, slots=True)
class Round:
    """One journal entry with a result."""

    entry: str
    began_at: str
    """UTC, to the second."""
    command: str
    deployment: str
    commit: str
    edited: bool
    """Whether sources were edited during the run, which makes its figures invalid."""
    reason: str
    score: float | None
    gate: bool | None
    days: tuple[DayResult, ...]

    @property
    def worth_under_load(self) -> float | None:
        """Return the mean worth of the standard days with faults or high load."""
        worths = [
            day.worth for day in self.days if re.match(r"(trouble|scale)-\d$", day.name)
        ]
        return sum(worths) / len(worths) if worths else None


def read_rounds(entries: Iterable[Path]) -> tuple[list[Round], int]:
    """Return the rounds ordered by time, and the number of entries without a result."""
    rounds, resultless_count = [], 0
    for path in sorted(entries):
        content = json.loads(path.read_text(encoding="utf-8"))
        if not content.get("days") or content.get("site") is None:
            resultless_count += 1
            continue
        rounds.append(_round(content))
    return rounds, resultless_count


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
    """Return the worth missing to 1 by part of the measure; the values add up to it."""
    rows = list(parts)
    weights = sum(weight for _, weight, _ in rows)
    return {name: weight * (1 - value) / weights for name, weight, value in rows}


def page(rounds: Sequence[Round], resultless_count: int) -> str:
    """Return the page in Markdown."""
    parts = [
        "# Measured rounds",
        "",
        "Written by `make report` from the entries below `journal/`: "
        f"{len(rounds)} with a result, {resultless_count} without one. A `+` marks a "
        "commit with changes on top, a `*` sources that were edited during the run; "
        "its figures count for nothing. Single runs are not shown.",
    ]
    by_deployment: dict[str, list[Round]] = defaultdict(list)
    for round_ in rounds:
        by_deployment[round_.deployment].append(round_)
    for deployment, deployment_rounds in sorted(by_deployment.items()):
        parts += [
            "",
            f"## {deployment}",
            "",
            *_scores(deployment_rounds),
            *_last_score(deployment_rounds),
            *_hunts(deployment_rounds),
        ]
        if any(round_.score is not None for round_ in deployment_rounds):
            parts += ["", f"![worth by score](plots/rounds-{deployment}.svg)"]
    return "\n".join(parts) + "\n"


def _scores(rounds: Sequence[Round]) -> list[str]:
    rows = [
        round_
        for round_ in rounds
        if round_.command == "score" and round_.score is not None
    ]
    if not rows:
        return ["No score was played to its end."]
    lines = [
        "| at (UTC) | entry | commit | score | gate "
        "| mean worth of trouble and scale days |",
        "|---|---|---|---|---|---|",
    ]
    for round_ in rows:
        gate = "-" if round_.gate is None else ("passed" if round_.gate else "failed")
        worth = round_.worth_under_load
        lines.append(
            f"| {round_.began_at} | {round_.entry} | {_commit(round_)} "
            f"| {round_.score:.3f} | {gate} "
            f"| {'-' if worth is None else f'{worth:.3f}'} |"
        )
    return lines


def _commit(round_: Round) -> str:
    return round_.commit + ("*" if round_.edited else "")


def _last_score(rounds: Sequence[Round]) -> list[str]:
    scores = [
        round_
        for round_ in rounds
        if round_.command == "score" and round_.score is not None and not round_.edited
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
    hunts = [round_ for round_ in rounds if round_.command == "hunt"]
    if not hunts:
        return []
    lines = ["", "| hunt | commit | days | with a broken rule |", "|---|---|---|---|"]
    for round_ in hunts:
        broken = [day for day in round_.days if day.broken]
        rules = sorted({rule for day in broken for rule in day.broken})
        broken_cell = f"{len(broken)} ({', '.join(rules)})" if broken else "0"
        lines.append(
            f"| {round_.entry} | {_commit(round_)} | {len(round_.days)} "
            f"| {broken_cell} |"
        )
    return lines


def plot(rounds: Sequence[Round], deployment: str) -> None:
    """Plot the worth of each standard day over the scores of a deployment."""
    scores = [
        round_
        for round_ in rounds
        if round_.deployment == deployment and round_.command == "score" and round_.days
    ]
    points: dict[str, list[tuple[int, float]]] = defaultdict(list)
    for number, round_ in enumerate(scores, 1):
        for day in round_.days:
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
    rounds, resultless_count = read_rounds(JOURNAL.glob("*.json"))
    PAGE.write_text(page(rounds, resultless_count), encoding="utf-8")
    for deployment in sorted({round_.deployment for round_ in rounds}):
        if any(r.score is not None for r in rounds if r.deployment == deployment):
            plot(rounds, deployment)


if __name__ == "__main__":
    main()
