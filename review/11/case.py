"""A daemon with a slow link takes over the placing role and never loads the jobs."""

from __future__ import annotations

import asyncio
import json
import signal
from pathlib import Path

from yard import run_case

SMALL_MBPS = 5
TRAFFIC_S = 52
KILL_AT_S = 44
DOWN_S = 3.5
JOBS_A_SECOND = 15
SPEC_BYTES = 500
FINISH_S = 14
IDLE_S = 3
STEP = {"count": 2, "cpu": 500, "mem_mb": 256, "est_ms": 300}
SPEC = json.dumps({"ms": 300, "order": "x" * (SPEC_BYTES - 30)})


async def play(yard, trouble):
    record = yard.record
    await yard.start()
    large = await yard.add_daemon(link_mbps=100, core_share=0.717, cores=3)
    small = [
        await yard.add_daemon(SMALL_MBPS, core_share=0.516, cores=1, limited=True)
        for _ in range(2)
    ]
    await yard.wait_ready(large, *small)
    while yard.holder() is None:
        await asyncio.sleep(0.1)
    record.say(f"the placing role is held by {yard.holder().name}")
    began = record.now()
    tasks = []
    count = 0

    async def submit(number):
        for attempt in range(4):
            daemon = small[(number + attempt) % 2]
            job, status = await yard.submit(daemon, [STEP], SPEC, f"{number:016x}")
            if status == 200:
                return
            await asyncio.sleep(0.5)

    async def disturb():
        await asyncio.sleep(KILL_AT_S)
        holder = yard.holder()
        record.say(f"SIGKILL to {holder.name}, which is started again {DOWN_S} s later")
        holder.signal(signal.SIGKILL)
        await asyncio.sleep(DOWN_S)
        holder.process.wait()
        holder.start()

    if trouble:
        tasks.append(asyncio.create_task(disturb()))
    while record.now() - began < TRAFFIC_S:
        tasks.append(asyncio.create_task(submit(count)))
        count += 1
        await asyncio.sleep(1 / JOBS_A_SECOND)
    await asyncio.gather(*tasks)
    record.say(f"traffic ends, {len(yard.accepted_at)} of {count} jobs accepted")
    await asyncio.sleep(FINISH_S)

    def waiting():
        return [job for job in yard.accepted_at if job not in yard.began_at]

    before = waiting()
    await asyncio.sleep(IDLE_S)
    after = [job for job in before if job in waiting()]
    running = sum(len(one.runs) for one in yard.executors)
    holder = yard.holder()
    record.say(
        f"{FINISH_S + IDLE_S} s later: {len(after)} accepted jobs have not begun,"
        f" {running} work units run on {len(yard.executors)} executors;"
        f" holder of the role: {holder.name if holder else 'none'}"
    )
    for job in after[:3]:
        await yard.ask(small[0], "GET", job)
    return bool(after)


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
