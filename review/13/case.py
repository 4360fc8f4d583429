"""A late start, carried out by a restarted executor, runs beside its successor."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

from yard import run_case

LATE_S = 10
DOWN_S = 5
WORK_MS = 14_000
STEP = {"count": 1, "cpu": 2000, "mem_mb": 1024, "est_ms": WORK_MS}
SPEC = json.dumps({"ms": WORK_MS})


async def play(yard, trouble):
    record = yard.record
    await yard.start()
    daemons = [await yard.add_daemon() for _ in range(2)]
    await yard.wait_ready(*daemons)
    while yard.holder() is None:
        await asyncio.sleep(0.1)
    await asyncio.sleep(5)
    first, _ = await yard.submit(daemons[0], [STEP], SPEC)
    await asyncio.sleep(0.5)
    busy = next(one for one in yard.executors if first in yard.users(one))
    record.say(f"job {first} runs on {busy.executor_id}")
    if trouble:
        # The next task is placed beside it, on the fullest executor with room.
        busy.carries_out_late_s = LATE_S
    second, _ = await yard.submit(daemons[1], [STEP], SPEC)
    await asyncio.sleep(1.5)
    if trouble:
        record.say(f"{busy.executor_id} crashes and is back {DOWN_S} s later")
        busy.crash()
        await asyncio.sleep(DOWN_S)
        await busy.come_back()
    broken = False
    task = f"{second}.0.0.0"
    until = record.now() + 20
    while record.now() < until:
        runs = [
            f"run {one.runs[task]['run']} on {one.executor_id}"
            for one in yard.executors
            if one.up and task in one.runs
        ]
        if len(runs) > 1 and not broken:
            broken = True
            record.say(f"{task} runs twice at the same time: {', '.join(runs)}")
        await asyncio.sleep(0.02)
    for job in (first, second):
        await yard.ask(daemons[0], "GET", job)
    if not broken:
        record.say("no work unit ran twice at the same time")
    return broken


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
