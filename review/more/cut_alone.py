"""Control of case 1: the cut alone, without the entry of another writer.

Not a case: python3 review/more/cut_alone.py. The rule has to hold.
"""

import asyncio
import sys
import tempfile
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lab"))

from lab import Lab, run_case

JOB = "0000000000000a01"
WORK_MS = 8000


def build(lab: Lab) -> None:
    """Add the executors."""
    for number in range(10):
        lab.add_executor(f"x{number}", 64_000, ["a", f"r{number // 4}"])


async def scenario(lab: Lab) -> str:
    """Cut the executor of a work unit, and check TWICE."""
    step = {"count": 1, "cpu": 4600, "mem_mb": 8000, "est_ms": WORK_MS}
    await lab.post(JOB, [step], ms=WORK_MS)
    await asyncio.sleep(1)
    executor_id = lab.runs.starts_of(JOB)[0][3]
    executor = next(e for e in lab.executors.values() if e.id == executor_id)
    executor.begin_cut()
    await asyncio.sleep(4)
    executor.end_cut()
    await lab.wait_for_state(JOB, ("completed", "failed"), 30)
    return lab.runs.twice()


if __name__ == "__main__":
    with tempfile.TemporaryDirectory(prefix="review-") as folder:
        sys.exit(run_case(Path(folder), build, scenario))
