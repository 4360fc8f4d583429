"""Jobs that no executor has begun are missing from the number of waiting jobs.

Not the case itself: python3 review/more/waiting.py, with the same exit codes.
"""

import asyncio
import sys
import tempfile
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lab"))

from lab import BOUNDS, CaseError, Lab, run_case

JOBS = [f"{0xE00 + number:016x}" for number in range(4)]
UNHEALTHY_S = 6.5
"""Length of the disturbance in the site file (srv_grey, errors)."""
AGE_S = BOUNDS["visible_ms"] / 1000 + 2
"""Jobs that were accepted this long ago have to be counted."""


def build(lab: Lab) -> None:
    """Add the executors; one of twelve is below the share in the site file, 0.085."""
    for number in range(12):
        lab.add_executor(f"x{number:02}", 64_000, ["a", f"r{number // 4}"])


async def scenario(lab: Lab) -> str:
    """Let one executor refuse starts, and check MIXED."""
    # All executors are idle, so the planner's first choice is the lowest id.
    executor = min(lab.executors.values(), key=lambda e: e.id)
    began = lab.record.now()
    if lab.disturbed:
        executor.unhealthy = True
        lab.record.add("unhealthy", id=executor.id)
    step = {"count": 1, "cpu": 4600, "mem_mb": 8000, "est_ms": 1000}
    for job in JOBS:
        await lab.post(job, [step], ms=1000)
    accepted_at = lab.record.now()
    broken = ""
    while lab.record.now() < began + UNHEALTHY_S - 0.2:
        await asyncio.sleep(0.25)
        due = lab.record.now() - accepted_at > AGE_S
        answer = await lab.request("GET", "/cuts/", None, 1)
        if not due or answer is None or answer[0] != 200:
            continue
        idle = sum(not lab.runs.starts_of(job) for job in JOBS)
        if 2 * answer[1]["waiting"] < idle:
            broken = (
                f"MIXED: waiting is {answer[1]['waiting']}, but {idle} jobs that were"
                f" accepted over {AGE_S:.0f} s before have not begun"
            )
    executor.unhealthy = False
    for job in JOBS:
        state = await lab.wait_for_state(job, ("completed",), 10)
        if state != "completed":
            raise CaseError(f"job {job} is {state}")
    return broken


if __name__ == "__main__":
    with tempfile.TemporaryDirectory(prefix="review-") as folder:
        sys.exit(run_case(Path(folder), build, scenario))
