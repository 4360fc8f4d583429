"""Jobs whose starts an unhealthy executor rejects vanish from the count of waiting."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

from yard import run_case

EXECUTORS = 7
UNHEALTHY_S = 6.5
VISIBLE_S = 3
JOBS = 8
STEP = {"count": 2, "cpu": 500, "mem_mb": 256, "est_ms": 300}
SPEC = json.dumps({"ms": 300})


async def play(yard, trouble):
    record = yard.record
    await yard.start(executors=EXECUTORS)
    daemons = [await yard.add_daemon() for _ in range(2)]
    await yard.wait_ready(*daemons)
    while yard.holder() is None:
        await asyncio.sleep(0.1)
    await asyncio.sleep(5)
    # One job shows which executor the next ones go to.
    first, _ = await yard.submit(daemons[0], [STEP], SPEC)
    await asyncio.sleep(2)
    used = [one for one in yard.executors if first in yard.users(one)]
    record.say(f"the first job ran on {[one.executor_id for one in used]}")
    unhealthy = used[0]
    until = record.now() + UNHEALTHY_S
    if trouble:
        record.say(f"{unhealthy.executor_id} rejects starts for {UNHEALTHY_S} s")
        unhealthy.refuses = True
    jobs = []
    for number in range(JOBS):
        job, status = await yard.submit(daemons[number % 2], [STEP], SPEC)
        if status == 200:
            jobs.append(job)
        await asyncio.sleep(0.1)
    broken = False
    while record.now() < until:
        asked_at = record.now()
        old = [
            job
            for job in jobs
            if job not in yard.began_at
            and yard.accepted_at[job] < asked_at - VISIBLE_S - 2
        ]
        answer = await yard.ask(daemons[0], "GET", "")
        if old and answer is not None and answer[0] == 200:
            still = [job for job in old if job not in yard.began_at]
            waiting = answer[1]["waiting"]
            record.say(
                f"{len(still)} jobs accepted over {VISIBLE_S + 2} s before have not"
                f" begun; waiting is {waiting}"
            )
            broken = broken or waiting < len(still) / 2
        await asyncio.sleep(0.1)
    unhealthy.refuses = False
    await asyncio.sleep(2)
    late = [job for job in jobs if job not in yard.began_at]
    record.say(f"2 s after: {len(late)} of {len(jobs)} jobs have not begun")
    return broken


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
