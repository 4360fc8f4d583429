"""A late start reaches the next boot of an executor that has kept its id."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "lab"))
from lab import Lab, run_case

EXECUTORS = 12
CUT_S = 4.0
"""Within the 5.5 s of node_cut (servers) in the site file; 1 of 12 executors."""
LATE_S = 5.0
"""applied_late carries orders out 2 to 12 s later."""
HELD_SHARE = 0.061
"""Largest share of orders without an answer in the site file."""
JOB = "00000000000000c1"


def build(lab: Lab) -> None:
    """Add the executors."""
    for number in range(EXECUTORS):
        kind = "a" if number < 8 else "c"
        lab.add_executor(f"i-{number:02}", 16_000, [kind, f"r1-{number // 2}"])


async def scenario(lab: Lab) -> str:
    """Play the case; return why the rule is broken, or ""."""
    await asyncio.sleep(1)
    first = lab.executors["i-00"]
    left = 1

    def lose_order(path, content):
        nonlocal left
        if path == "/run-start" and content["task"].startswith(JOB) and left:
            left -= 1
            return LATE_S
        return None

    if lab.disturbed:
        first.lose_order = lose_order
    step = {"count": 1, "cpu": 4000, "mem_mb": 100, "est_ms": 7000, "requirements": "a"}
    others = asyncio.ensure_future(lab.send_short_jobs(5.5, "c"))
    began = lab.record.now()
    await lab.post(JOB, [step], ms=7000)
    await asyncio.sleep(1.2)
    if lab.disturbed:
        first.begin_cut()
        await asyncio.sleep(0.5)
        first.reboot_behind_cut()
        await asyncio.sleep(CUT_S - 0.5)
        first.end_cut()
    await asyncio.sleep(max(0.0, began + 8 - lab.record.now()))
    await lab.wait_for_state(JOB, ("completed", "failed"), 40)
    await others
    lab.check_held_share(HELD_SHARE)
    return lab.runs.twice()


sys.exit(run_case(Path(__file__).parent, build, scenario))
