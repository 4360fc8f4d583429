"""One rack crashes once, and a gang that has just begun there is failed for good."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lab"))

from lab import CaseError, Executor, Lab, run_case

JOB = "0000000000000b01"
MEMBERS = 4
WORK_MS = 5000
"""Work units of cut-school take 5.2 s at most."""
UPTIME_S = 1.5
"""How long the gang works before the rack crashes."""
DOWN_S = 5.0
"""Racks of the sites' days are down for 5.0 to 8.0 s."""


def build(lab: Lab) -> None:
    """Add the executors, four in a rack."""
    for number in range(12):
        lab.add_executor(f"x{number:02}", 64_000, ["a", f"r{number // 4}"])


async def scenario(lab: Lab) -> str:
    """Crash the rack of a gang once, and check LOST."""

    async def crash_and_return(executor: Executor) -> None:
        await executor.crash()
        await asyncio.sleep(DOWN_S)
        await executor.rejoin(f"{executor.id}-again")

    step = {"count": MEMBERS, "cpu": 36_000, "mem_mb": 10_000, "est_ms": WORK_MS}
    step |= {"gang": True, "same_rack": True}
    await lab.post(JOB, [step], ms=WORK_MS, gang={"0": MEMBERS})
    until = lab.record.now() + 10
    while len(lab.runs.starts_of(JOB)) < MEMBERS and lab.record.now() < until:
        await asyncio.sleep(0.01)
    starts = lab.runs.starts_of(JOB)
    if len(starts) != MEMBERS:
        raise CaseError(f"expected {MEMBERS} starts, not {starts}")
    hosts = {start[3] for start in starts}
    racks = {e.labels[1] for e in lab.executors.values() if e.id in hosts}
    if len(racks) != 1:
        raise CaseError(f"the gang is on the racks {racks}")
    await asyncio.sleep(UPTIME_S)
    if lab.disturbed:
        for executor in lab.executors.values():
            if executor.labels[1] in racks:
                lab.spawn(crash_and_return(executor))
    state = await lab.wait_for_state(JOB, ("completed", "failed"), 25)
    if state == "completed":
        return ""
    if state == "failed" and not lab.runs.failed_runs_of(JOB):
        return "LOST: the job is shown as failed, but none of its runs ended failed"
    raise CaseError(f"the job is {state}")


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, build, scenario))
