"""One failure of a gang counts once for each member that reports it.

Not the case itself: python3 review/more/gang_failures.py, with the same exit codes. One
executor fails all that it starts (srv_grey, errors); the members of a gang on it begin
to work, and fail, together. ``max_attempts`` is 4.
"""

import asyncio
import sys
import tempfile
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lab"))

from lab import CaseError, Lab, run_case

JOB = "0000000000000b05"
MEMBERS = 4
MAX_ATTEMPTS = 4
UNHEALTHY_S = 6.5
"""Length of the disturbance in the site file (srv_grey, errors)."""


def build(lab: Lab) -> None:
    """Add the executors; one of twelve is below the share in the site file, 0.085."""
    for number in range(12):
        lab.add_executor(f"x{number:02}", 64_000, ["a", f"r{number // 4}"])


async def scenario(lab: Lab) -> str:
    """Let one executor fail its work, and check LOST."""
    executor = min(lab.executors.values(), key=lambda e: e.id)
    executor.failing = lab.disturbed
    step = {"count": MEMBERS, "cpu": 4600, "mem_mb": 8000, "est_ms": 1000, "gang": True}
    await lab.post(JOB, [step], ms=1000, gang={"0": MEMBERS})
    await asyncio.sleep(UNHEALTHY_S)
    executor.failing = False
    state = await lab.wait_for_state(JOB, ("completed", "failed"), 25)
    failed = lab.runs.failed_runs_of(JOB)
    if state == "completed":
        return ""
    if state == "failed" and len(failed) < MAX_ATTEMPTS:
        return (
            f"LOST: the job is shown as failed after {len(failed)} failed run of its"
            f" gang, max_attempts is {MAX_ATTEMPTS}"
        )
    raise CaseError(f"the job is {state}")


if __name__ == "__main__":
    with tempfile.TemporaryDirectory(prefix="review-") as folder:
        sys.exit(run_case(Path(folder), build, scenario))
