"""A rack that crashes once under a gang makes its job fail."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "lab"))
from lab import Lab, run_case

RACK = 4
"""Executors of a rack, as in SYSTEM.md."""
DOWN_S = 6.0
"""Within the 8 s of srv_crash (rack) in the site file."""
JOB = "00000000000000c1"


def build(lab: Lab) -> None:
    """Add the executors: two racks of four."""
    for number in range(2 * RACK):
        lab.add_executor(f"i-{number:02}", 64_000, ["a", f"r1-{number // RACK + 1}"])


async def scenario(lab: Lab) -> str:
    """Play the case; return why the rule is broken, or ""."""
    await asyncio.sleep(1)
    gang = {"count": RACK, "cpu": 9900, "mem_mb": 1000, "est_ms": 2500}
    gang |= {"gang": True, "same_rack": True, "affinity": "r1-1"}
    gang["max_per_server"] = 1
    await lab.post(JOB, [gang], ms=2500, gang={"0": RACK})
    while len(lab.runs.starts_of(JOB)) < RACK:
        await asyncio.sleep(0.02)
    await asyncio.sleep(1.0)
    if lab.disturbed:
        rack = [e for e in lab.executors.values() if e.labels[-1] == "r1-1"]
        for executor in rack:
            await executor.crash()
        await asyncio.sleep(DOWN_S)
        for number, executor in enumerate(rack):
            await executor.rejoin(f"i-{100 + number}")
    state = await lab.wait_for_state(JOB, ("completed", "failed"), 40)
    failed = lab.runs.failed_runs_of(JOB)
    if state == "failed" and not failed:
        return "LOST: the job is shown as failed; no run of it has ended failed"
    if state != "completed":
        return f"LOST: the job is shown as {state}"
    return ""


sys.exit(run_case(Path(__file__).parent, build, scenario))
