"""A late start reaches the next boot of an executor that kept its id."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "lab"))

from lab import CaseError, Executor, Lab, run_case

JOB = "0000000000000a01"
LATE_S = 9.5
"""An order without an answer is carried out 2 to 12 s later (applied_late)."""
DOWN_S = 7.0
"""The longest crash of the site's days lasts 8.0 s (srv_crash)."""
LARGEST_HELD_SHARE = 0.055
"""Share x of the orders that are held (applied_late, troubles of the site)."""
WORK_MS = 15_000


def build(lab: Lab) -> None:
    """Add the executors; one of ten is below the share of srv_crash, 0.14."""
    for number in range(10):
        lab.add_executor(f"x{number}", 64_000, ["a", f"r{number // 4}"])


async def scenario(lab: Lab) -> str:
    """Hold one start, restart its executor meanwhile, and check TWICE."""
    held: list[Executor] = []

    async def crash_and_restart(executor: Executor) -> None:
        await asyncio.sleep(0.1)
        await executor.crash()
        await asyncio.sleep(DOWN_S)
        await executor.restart()

    def holder_for(executor: Executor):
        def hold(path, content):
            is_first = path == "/run-start" and not held
            if not is_first or not content["task"].startswith(JOB):
                return None
            held.append(executor)
            lab.spawn(crash_and_restart(executor))
            return LATE_S

        return hold

    await lab.send_short_jobs(3.0, "a")
    if lab.disturbed:
        for executor in lab.executors.values():
            executor.lose_order = holder_for(executor)
    step = {"count": 1, "cpu": 4600, "mem_mb": 8000, "est_ms": WORK_MS}
    await lab.post(JOB, [step], ms=WORK_MS)
    await asyncio.sleep(LATE_S + 2)
    if lab.disturbed and not held:
        raise CaseError("no start was held")
    state = await lab.wait_for_state(JOB, ("completed", "failed"), 25)
    if state != "completed":
        raise CaseError(f"the job is {state}")
    lab.check_held_share(LARGEST_HELD_SHARE)
    return lab.runs.twice()


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, build, scenario))
