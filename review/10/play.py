"""A stop that was meant for a start without an answer ends a task at work."""

import asyncio
import sys
from pathlib import Path

from standins import BOUNDS, World, config, main, route

EXECUTORS = 2
COUNT = 4
"""Two more than there is room for, so that one is always away."""
MAY_MISS = 1
START_LATE_S = 2.0
STOP_LATE_S = 10.0
LATE_STOPS = 4
STARTUP_S = 0.9
NOTICE_S = BOUNDS["notice_ms"] / 1000
WINDOW_S = 5.5
MAX_SHARE = 0.5


async def play(world: World) -> list[str]:
    """Leave some orders for a task that starts again without an answer."""
    watch = route("r-watch", "/watch/", "desk", slo_ms=2500, stretch=2.2)
    quote = route("r-quote", "/quote/", "desk")
    await world.open(config([watch, quote], ["desk"]))
    for number in range(EXECUTORS):
        await world.add_executor(f"m-{number}", "desk", rack=f"r1-{number}")
    await world.start_daemons(["z1", "z1"])
    step = {"count": COUNT, "cpu": 1500, "mem_mb": 512, "long_running": True}
    step |= {"may_miss": MAY_MISS, "max_per_server": 1}
    client = world.daemons[0]
    job = await world.submit(client, "/watch/", {"lasts": True}, [step])
    await asyncio.sleep(NOTICE_S + STARTUP_S + 1)
    run = next(run for run in world.runs if run["task"].startswith(job))
    executor = next(
        one for one in world.executors.values() if one.name == run["executor"]
    )
    if world.trouble:
        stops = [("/run-stop", STOP_LATE_S)] * LATE_STOPS
        executor.late_orders = [("/run-start", START_LATE_S), *stops]
    orders = world.orders
    began = world.record.now()
    # A task that lasts may fail at any time; this is no disturbance.
    executor.end(run["task"], "failed")
    small = {"count": 2, "cpu": 500, "mem_mb": 64, "est_ms": 300}
    while world.record.now() < began + WINDOW_S:
        await world.submit(client, "/quote/", {"ms": 300}, [small])
        await asyncio.sleep(0.4)
    share = len(world.late_orders) / max(1, world.orders - orders)
    world.record(f"share of orders without an answer in {WINDOW_S} s: {share:.2f}")
    if share > MAX_SHARE:
        raise RuntimeError("too many orders got no answer")
    await asyncio.sleep(3)
    return check(world, job)


def check(world: World, job: str) -> list[str]:
    """Return the tasks at work that a stop has ended beyond what may be away."""
    broken = []
    tasks = {f"{job}.0.0.{index}" for index in range(COUNT)}
    for run in world.runs:
        if run["task"] not in tasks or run["how"] != "stopped":
            continue
        at = run["ended"]
        if at - run["began"] < STARTUP_S:
            continue
        away = [t for t in sorted(tasks - {run["task"]}) if was_away(world, t, at)]
        if len(away) >= MAY_MISS:
            broken.append(
                f"a stop ends {run['task']} run {run['run']} at {at:.1f} s, at work for"
                f" {at - run['began'] - STARTUP_S:.1f} s, while {away} were away"
            )
    return broken


def was_away(world: World, task: str, at: float) -> bool:
    """Tell whether a task was not at work for the time of notice before ``at``."""
    return not any(
        run["began"] + STARTUP_S < at and (run["ended"] or at) > at - NOTICE_S
        for run in world.runs
        if run["task"] == task
    )


sys.exit(main(Path(__file__).resolve().parent, play))
