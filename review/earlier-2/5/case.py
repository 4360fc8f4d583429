"""A repeated order for an upkeep ends what its next executor has begun."""

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "lab"))
from cloud import Cloud
from lab import Lab, run_case

EXECUTORS = 8
OUTAGE_S = 4.5
"""cloud_down lasts 5 s where nothing else is said; shorter, to stay inside it."""
DOWN_S = 1.0
"""Within the 4.5 s of srv_crash in the site file; 1 of 8 executors."""
JOB = "00000000000000c1"
CRASH = os.environ.get("CRASH", "1") != "0"
"""CRASH=0 plays the outage alone."""


def build(lab: Lab) -> None:
    """Add the executors."""
    for number in range(EXECUTORS):
        lab.add_executor(f"i-{number:02}", 64_000, ["a", f"r1-{number // 4 + 1}"])
    lab.cloud = Cloud(lab, {JOB: 1})
    lab.cloud_handler = lab.cloud.handle


async def scenario(lab: Lab) -> str:
    """Play the case; return why the rule is broken, or ""."""
    cloud = lab.cloud
    await asyncio.sleep(1)
    ordered = asyncio.get_running_loop().create_future()

    def on_upkeep(machine):
        if not ordered.done():
            cloud.unavailable = lab.disturbed
            lab.record.add("cloud", unavailable=cloud.unavailable)
            ordered.set_result(machine)

    cloud.on_upkeep = on_upkeep
    machines = [executor.machine for executor in lab.executors.values()]
    wave = {"wave": 1, "machines": machines, "complete_by_s": 60, "maximum": 1}
    lab.store.write("op/wave/1", wave)
    machine = await asyncio.wait_for(ordered, 10)
    began = lab.record.add("first-order", machine=machine)
    if lab.disturbed and CRASH:
        first = next(e for e in lab.executors.values() if e.machine == machine)
        await asyncio.sleep(0.5)
        await first.crash()
        await asyncio.sleep(DOWN_S)
        await first.rejoin(cloud.new_id())
    await asyncio.sleep(max(0.0, began + 2.0 - lab.record.now()))
    step = {"count": 4, "cpu": 5400, "mem_mb": 100, "est_ms": 0}
    step |= {"long_running": True, "may_miss": 1}
    await lab.post(JOB, [step], ms=700, lasts=True)
    await asyncio.sleep(max(0.0, began + OUTAGE_S - lab.record.now()))
    if cloud.unavailable:
        lab.record.add("cloud-up")
        cloud.unavailable = False
    await asyncio.sleep(20)
    return cloud.broken


sys.exit(run_case(Path(__file__).parent, build, scenario))
