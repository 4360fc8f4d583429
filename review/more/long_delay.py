"""One start without an answer keeps a job from starting for 12 s.

Not a case: python3 review/more/long_delay.py, with the same exit codes. An executor has
restarted under its id before, so the daemons know that ids are kept. A job is due 8 s
after the end of the traffic; its start gets no answer and is stopped. Rule LOST:
``finish_s`` (14 s) after the traffic it may have nothing running for 3 s.
"""

import asyncio
import json
import sys
import tempfile
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lab"))

from lab import BOUNDS, CaseError, Lab, run_case

JOB = "0000000000000c02"
WORK_MS = 1000
DUE_S = 8.0
LATE_S = 5.0
"""An order without an answer is carried out 2 to 12 s later (applied_late)."""
WAIT_S = 3.0
"""A job may have nothing running for this long."""


def build(lab: Lab) -> None:
    """Add the executors."""
    for number in range(10):
        lab.add_executor(f"x{number}", 64_000, ["a", f"r{number // 4}"])


async def scenario(lab: Lab) -> str:
    """Lose the answer of one start, and check LOST."""
    first = lab.executors["x9"]
    await first.crash()
    await asyncio.sleep(2)
    await first.restart()
    await asyncio.sleep(1.5)
    held = []

    def hold(path, content):
        if held or path != "/run-start" or not content["task"].startswith(JOB):
            return None
        held.append(content)
        return LATE_S

    step = {"count": 1, "cpu": 4600, "mem_mb": 8000, "est_ms": WORK_MS}
    document = {
        "task_spec": json.dumps({"ms": WORK_MS}),
        "steps": [step],
        "first_ms": round(time.time() * 1000 + DUE_S * 1000),
        "interval_ms": 4500,
        "repeat_count": 1,
    }
    if lab.disturbed:
        for executor in lab.executors.values():
            executor.lose_order = hold
    answer = await lab.request("POST", f"/cuts/{JOB}", document)
    if answer is None or answer[0] != 200:
        raise CaseError(f"the job got {answer}")
    asked_at = lab.record.now() + BOUNDS["finish_s"]
    await asyncio.sleep(BOUNDS["finish_s"])
    state = await lab.wait_for_state(JOB, ("completed", "failed"), 25)
    if state != "completed":
        raise CaseError(f"the job is {state}")
    waited = lab.runs.starts_of(JOB)[0][0] - asked_at
    return f"LOST: nothing running for {waited:.1f} s" if waited > WAIT_S else ""


if __name__ == "__main__":
    with tempfile.TemporaryDirectory(prefix="review-") as folder:
        sys.exit(run_case(Path(folder), build, scenario))
