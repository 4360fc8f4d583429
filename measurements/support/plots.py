"""Plot the series behind the figures as reproducible SVG files.

Usage: python -m measurements.support.plots [shares] [rollout] [buffers]
"""

from __future__ import annotations

import sys
from collections import defaultdict
from collections.abc import Callable
from pathlib import Path

import matplotlib as mpl

mpl.use("svg")

from matplotlib import pyplot as plt
from matplotlib.axes import Axes
from matplotlib.figure import Figure as Canvas

from measurements import buffers, fleet, shares

from .deployments import DEPLOYMENTS, SHARES_BY_TEAM

DIRECTORY = Path("docs/plots")
SITES = (fleet.LILIM, fleet.HSINCHU)
BUFFER_PLOT_CYCLES = 2
"""Peaks of each pool in the plot; more would be indistinguishable at its width."""

# Without a fixed salt, IDs in the file differ between runs.
mpl.rcParams["svg.hashsalt"] = "pomeloyard"
mpl.rcParams["svg.fonttype"] = "none"
mpl.rcParams["figure.constrained_layout.use"] = True


def save(canvas: Canvas, name: str) -> None:
    """Write a plot without a date, so that equal data produce an identical file."""
    DIRECTORY.mkdir(parents=True, exist_ok=True)
    path = DIRECTORY / f"{name}.svg"
    canvas.savefig(path, metadata={"Date": None})
    plt.close(canvas)
    # Remove trailing blanks, which patch checks report.
    lines = path.read_text(encoding="utf-8").splitlines()
    path.write_text("\n".join(x.rstrip() for x in lines) + "\n", encoding="utf-8")
    print(path)


def _legend_below(canvas: Canvas, axes: Axes) -> None:
    # Inside the axes it would cover lines.
    handles, labels = axes.get_legend_handles_labels()
    canvas.legend(handles, labels, loc="outside lower center", ncols=len(labels))


def plot_shares() -> None:
    """Plot received over entitled work, for daemons and first-come service."""
    for deployment in DEPLOYMENTS:
        run = shares.shares_run(deployment)
        canvas, rows = plt.subplots(2, sharex=True, figsize=(10, 7), squeeze=True)
        _windows(rows[0], run.daemons, "Daemons")
        _windows(rows[1], run.first_come, "First come, first served")
        _legend_below(canvas, rows[0])
        rows[1].set_xlabel("end of the 10 s window (s)")
        canvas.suptitle(
            f"{deployment.name}: work received over entitled, windows of full service"
        )
        save(canvas, f"{deployment.name}-shares")


def _windows(axes: Axes, windows: list[shares.Window], title: str) -> None:
    bound = shares.SHARE_ERROR_BOUND
    axes.axhspan(1 - bound, 1 + bound, color="0.85", label=f"±{bound:.0%}")
    points = defaultdict(list)
    for window in windows:
        points[window.team, window.service].append((window.end, 1 + window.error))
    labelled = set()
    for (team, _), values in points.items():
        colour = f"C{list(SHARES_BY_TEAM).index(team)}"
        label = None if team in labelled else team
        labelled.add(team)
        axes.plot(*zip(*values, strict=True), ".-", color=colour, label=label)
    # In a range narrower than twice the bound, the distance to it would not show.
    largest = max(2 * bound, 1.1 * shares.largest_error(windows))
    axes.set_ylim(1 - largest, 1 + largest)
    axes.set_title(title, fontsize="medium")
    axes.set_ylabel("received / entitled")


def plot_rollout() -> None:
    """Plot the VMs maintained over time against the most that budgets allow."""
    for site in SITES:
        run = fleet.rollout_run(site)
        canvas, axes = plt.subplots(figsize=(10, 5))
        axes.step(*zip(*run.maintained, strict=True), where="post", label="wave")
        axes.step(
            *zip(*run.most_maintained, strict=True),
            where="post",
            linestyle="--",
            color="0.4",
            label="most that the budgets allow",
        )
        bound = run.least_seconds * fleet.ROLLOUT_BOUND
        label = f"bound: {fleet.ROLLOUT_BOUND} times the least time"
        axes.axvline(bound, color="C3", linestyle=":", label=label)
        axes.set_xlim(0, None)
        axes.set_ylim(0, None)
        axes.set_xlabel("time since the start of the wave (s)")
        axes.set_ylabel("VMs maintained")
        axes.set_title(f"{site.name}: a wave over all VMs")
        axes.legend(loc="lower right")
        save(canvas, f"{site.name}-rollout")


def plot_buffers() -> None:
    """Plot executors held against demand, fixed buffer against lending."""
    for site in SITES:
        series = buffers.buffers_run(site).series
        end = BUFFER_PLOT_CYCLES * len(site.pools) * buffers.PEAK_SECONDS
        count = sum(second < end for second in series.seconds)
        times = series.seconds[:count]
        canvas, rows = plt.subplots(
            len(site.pools) + 1, sharex=True, figsize=(10, 10), squeeze=True
        )
        for axes, pool in zip(rows, site.pools, strict=False):
            axes.step(times, series.demanded[pool][:count], "0.4", label="demand")
            axes.step(times, series.in_service[pool][:count], "C0", label="lending")
            axes.axhline(series.fixed_vms, color="C3", ls="--", label="fixed buffer")
            spare = " (spare)" if pool == series.spare_pool else ""
            axes.set_title(pool + spare, fontsize="small")
            axes.set_ylim(0, None)
        _totals(rows[-1], site, series, count)
        _legend_below(canvas, rows[0])
        rows[-1].set_xlabel("time after the learning cycles (s)")
        canvas.supylabel("executors")
        canvas.suptitle(f"{site.name}: executors in service against demand")
        save(canvas, f"{site.name}-buffers")


def _totals(axes: Axes, site: fleet.Site, series: buffers.Series, count: int) -> None:
    times = series.seconds[:count]
    columns = zip(*series.demanded.values(), strict=True)
    demanded = [sum(column) for column in columns][:count]
    axes.step(times, demanded, "0.4")
    axes.axhline(series.lending_vms, color="C0")
    axes.axhline(series.fixed_vms * len(site.pools), color="C3", ls="--")
    axes.set_title("all pools, moving VMs included", fontsize="small")
    axes.set_ylim(0, None)


PLOTS: dict[str, Callable[[], None]] = {
    "shares": plot_shares,
    "rollout": plot_rollout,
    "buffers": plot_buffers,
}


def main(wanted: list[str]) -> int:
    """Write the wanted plots, or all of them."""
    unknown = sorted(set(wanted) - set(PLOTS))
    if unknown:
        print(f"unknown: {', '.join(unknown)}; known: {', '.join(PLOTS)}")
        return 2
    for name in wanted or PLOTS:
        PLOTS[name]()
    return 0


if __name__ == "__main__":
    raise SystemExit(main(sys.argv[1:]))
