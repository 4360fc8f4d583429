"""Crashes of executors on which a work unit never began give its job up."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "lab"))
from lab import Executor, Lab, run_case

EXECUTORS = 16
LATE_S = 4.0
"""applied_late carries orders out 2 to 12 s later."""
HELD_SHARE = 0.061
"""Largest share of orders without an answer in the site file."""
DOWN_S = 4.0
"""Within the 4.5 s of srv_crash in the site file; 2 of 16 executors are down."""
CRASH_AFTER_S = 0.3
CRASHES = 2
JOB = "00000000000000a1"
MAX_ATTEMPTS = 4
CRASHES_TO_GIVE_UP = 2
"""Issue 31: executors that have crashed under a work unit which may be given up."""


def build(lab: Lab) -> None:
    """Add the executors."""
    for number in range(EXECUTORS):
        kind = "a" if number < 8 else "c"
        lab.add_executor(f"i-{number:02}", 64_000, [kind, f"r1-{number // 4}"])


async def scenario(lab: Lab) -> str:
    """Play the case; return why the rule is broken, or ""."""
    await asyncio.sleep(1)
    crashed = []

    async def crash(executor: Executor) -> None:
        await asyncio.sleep(CRASH_AFTER_S)
        await executor.crash()
        await asyncio.sleep(DOWN_S)
        await executor.rejoin(f"{executor.machine}-next")

    def hold_start(executor: Executor):
        def decide(path, content):
            mine = path == "/run-start" and content["task"].startswith(JOB)
            if not mine or len(crashed) == CRASHES:
                return None
            crashed.append(executor.id)
            lab.spawn(crash(executor))
            return LATE_S

        return decide

    if lab.disturbed:
        for executor in lab.executors.values():
            executor.lose_order = hold_start(executor)
    others = asyncio.ensure_future(lab.send_short_jobs(5.5, "c"))
    step = {"count": 1, "cpu": 4000, "mem_mb": 100, "est_ms": 1500, "requirements": "a"}
    await lab.post(JOB, [step], ms=1500)
    state = await lab.wait_for_state(JOB, ("completed", "failed"), 40)
    await others
    lab.check_held_share(HELD_SHARE)
    task = f"{JOB}.0.0.0"
    failed, under = lab.runs.count(task, "failed"), lab.runs.count(task, "crashed")
    if state == "failed" and failed < MAX_ATTEMPTS and under < CRASHES_TO_GIVE_UP:
        begun = len(lab.runs.starts_of(JOB))
        return (
            f"LOST: {JOB} is shown as failed; its work unit has begun {begun} times,"
            f" ended failed {failed} times, and {under} executors crashed under it"
        )
    return ""


sys.exit(run_case(Path(__file__).parent, build, scenario))
