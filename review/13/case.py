"""Wide jobs exhaust the memory of each daemon that takes the placing role."""

from __future__ import annotations

import asyncio
import json
import signal
from pathlib import Path

from yard import run_case

MEMORY_MB = 300
WIDE_JOBS = 40
WIDE_COUNT = 20_000
BEGIN_S = 8
TRAFFIC_S = 45
FINISH_S = 14
IDLE_S = 3
RESTART_S = 1
SMALL = {"count": 2, "cpu": 500, "mem_mb": 256, "est_ms": 300}
WIDE = {"count": WIDE_COUNT, "cpu": 500, "mem_mb": 256, "est_ms": 2000}
SPEC = json.dumps({"ms": 300})
WIDE_SPEC = json.dumps({"ms": 2000})


async def play(yard, trouble):
    record = yard.record
    yard.prefixes = {"mill": "/cuts/", "press": "/prints/"}
    await yard.start()
    daemons = [await yard.add_daemon() for _ in range(3)]
    await yard.wait_ready(*daemons)
    while yard.holder() is None:
        await asyncio.sleep(0.1)
    kills = []

    async def enforce_memory():
        """Kill a process over its memory, and start it again, as the platform does."""
        while True:
            for daemon in daemons:
                used = daemon.memory_mb()
                if used > MEMORY_MB:
                    record.say(
                        f"{daemon.name} uses {used:.0f} MB of {MEMORY_MB} MB and is"
                        " killed"
                    )
                    kills.append(daemon.name)
                    daemon.signal(signal.SIGKILL)
                    daemon.process.wait()
                    asyncio.get_running_loop().call_later(RESTART_S, daemon.start)
            await asyncio.sleep(0.05)

    asyncio.create_task(enforce_memory())
    small = []
    tasks = []

    async def submit(number, steps, spec, service):
        for attempt in range(4):
            daemon = daemons[(number + attempt) % 3]
            job = f"{number:015x}{'a' if service == 'press' else '0'}"
            _, status = await yard.submit(daemon, steps, spec, job, service)
            if status == 200:
                return job
            await asyncio.sleep(0.7)
        return None

    async def submit_small(number):
        job = await submit(number, [SMALL], SPEC, "mill")
        if job is not None:
            small.append(job)

    async def submit_wide():
        await asyncio.sleep(BEGIN_S)
        record.say(f"{WIDE_JOBS} jobs of {WIDE_COUNT} work units come at once")
        for number in range(WIDE_JOBS):
            tasks.append(
                asyncio.create_task(submit(number, [WIDE], WIDE_SPEC, "press"))
            )
            await asyncio.sleep(0.1)

    if trouble:
        wide = asyncio.create_task(submit_wide())
    began = record.now()
    count = 0
    while record.now() - began < TRAFFIC_S:
        tasks.append(asyncio.create_task(submit_small(count)))
        count += 1
        await asyncio.sleep(0.25)
    if trouble:
        await wide
    await asyncio.gather(*tasks)
    record.say(f"traffic ends, {len(small)} of {count} small jobs accepted")
    await asyncio.sleep(FINISH_S)
    before = [job for job in small if job not in yard.began_at]
    await asyncio.sleep(IDLE_S)
    after = [job for job in before if job not in yard.began_at]
    busy = sum(len(one.runs) for one in yard.executors if one.service == "mill")
    record.say(
        f"{FINISH_S + IDLE_S} s later: {len(after)} accepted small jobs have not begun,"
        f" {busy} work units run on their service; {len(kills)} processes were killed"
    )
    return bool(after)


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
