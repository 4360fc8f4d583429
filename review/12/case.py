"""A lasting work unit of a queue with advice ends each placing term with an error."""

from __future__ import annotations

import asyncio
import json
import time
from pathlib import Path

from yard import run_case

ADVICE = {"decide_ms": 40, "each_ms": 5, "valid_ms": 3000}
EXECUTORS = 7
DOWN_S = 1
"""How long an executor is down."""
LATE_S = 8
"""How much later orders are carried out that get no answer."""
LATE_FOR_S = 4.5
MAX_LATE_SHARE = 0.5
TRAFFIC_S = 45
FINISH_S = 14
IDLE_S = 3
LASTING = {"count": 4, "cpu": 1500, "mem_mb": 2400, "long_running": True, "may_miss": 1}
SMALL = {"count": 2, "cpu": 500, "mem_mb": 256, "est_ms": 300}
LASTING_SPEC = json.dumps({"ms": 10**9, "lasts": True})
SPEC = json.dumps({"ms": 300})


async def play(yard, trouble):
    record = yard.record
    yard.advised = ADVICE
    await yard.start(executors=EXECUTORS)
    daemons = [await yard.add_daemon() for _ in range(3)]
    await yard.wait_ready(*daemons)
    while yard.holder() is None:
        await asyncio.sleep(0.1)
    began = record.now()
    small = []
    tasks = []

    async def submit_small(number):
        for attempt in range(4):
            daemon = daemons[(number + attempt) % 3]
            job, status = await yard.submit(daemon, [SMALL], SPEC, f"{number:016x}")
            if status == 200:
                small.append(job)
                return
            await asyncio.sleep(0.7)

    async def restart_and_submit():
        await asyncio.sleep(8)
        # From now on the deployment knows that ids are kept over a restart.
        idle = next(one for one in reversed(yard.executors) if not one.runs)
        record.say(f"{idle.executor_id} is restarted under its id")
        idle.crash()
        await asyncio.sleep(DOWN_S)
        await idle.come_back()
        await asyncio.sleep(7)
        if trouble:
            # The executor on which the next lasting work unit is placed.
            first = yard.executors[0]
            first.late_s, first.late_until = LATE_S, time.monotonic() + LATE_FOR_S
            before = yard.orders()
            record.say(
                f"{first.executor_id} leaves one start and its stops"
                f" unanswered for {LATE_FOR_S} s, carried out {LATE_S} s late"
            )
        job, status = await yard.submit(daemons[0], [LASTING], LASTING_SPEC)
        record.say(f"job {job} with work units that last: {status}")
        if trouble:
            await asyncio.sleep(LATE_FOR_S)
            late, answered = (now - old for now, old in zip(yard.orders(), before))
            record.say(f"{late} of {late + answered} orders got no answer")
            if late > MAX_LATE_SHARE * (late + answered):
                raise AssertionError("more orders than the pages allow")

    tasks.append(asyncio.create_task(restart_and_submit()))
    count = 0
    while record.now() - began < TRAFFIC_S:
        tasks.append(asyncio.create_task(submit_small(count)))
        count += 1
        await asyncio.sleep(0.5)
    await asyncio.gather(*tasks)
    record.say(f"traffic ends, {len(small)} of {count} jobs accepted")
    await asyncio.sleep(FINISH_S)
    before = [job for job in small if job not in yard.began_at]
    await asyncio.sleep(IDLE_S)
    after = [job for job in before if job not in yard.began_at]
    busy = sum(len(one.runs) for one in yard.executors)
    record.say(
        f"{FINISH_S + IDLE_S} s later: {len(after)} accepted jobs have not begun,"
        f" {busy} work units run"
    )
    return bool(after)


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
