"""An executor refuses starts, and a job waits for it while the others are idle."""

import asyncio
import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "lab"))

from lab import BOUNDS, CaseError, Lab, run_case

JOB = "0000000000000c01"
WORK_MS = 1000
UNHEALTHY_FROM_S = 13.3
DUE_S = 13.5
"""The job's only occurrence is due this long after the end of the traffic."""
UNHEALTHY_S = 5.0
"""The default of the kinds; the site file has 5.5 and 6.5 s (srv_grey)."""
WAIT_S = 3.0
"""A job may have nothing running for this long."""


def build(lab: Lab) -> None:
    """Add the executors; one of twelve is below the site file's least share, 0.085."""
    for number in range(12):
        lab.add_executor(f"x{number:02}", 64_000, ["a", f"r{number // 4}"])


async def submit(lab: Lab) -> None:
    """Hand in a job with one occurrence."""
    step = {"count": 1, "cpu": 4600, "mem_mb": 8000, "est_ms": WORK_MS}
    document = {
        "task_spec": json.dumps({"ms": WORK_MS}),
        "steps": [step],
        "first_ms": round(time.time() * 1000 + DUE_S * 1000),
        "interval_ms": 4500,
        "repeat_count": 1,
    }
    answer = await lab.request("POST", f"/cuts/{JOB}", document)
    if answer is None or answer[0] != 200:
        raise CaseError(f"the job got {answer}")


async def sleep_until(lab: Lab, at: float) -> None:
    """Sleep until a time of the record."""
    await asyncio.sleep(max(0.0, at - lab.record.now()))


async def scenario(lab: Lab) -> str:
    """Let one idle executor refuse starts, and check LOST."""
    await submit(lab)
    traffic_end = lab.record.now()
    await sleep_until(lab, traffic_end + UNHEALTHY_FROM_S)
    # All executors are idle, and the planner takes the lowest id among equals.
    executor = min(lab.executors.values(), key=lambda e: e.id)
    if lab.disturbed:
        executor.unhealthy = True
        lab.record.add("unhealthy", id=executor.id)
    asked_at = traffic_end + BOUNDS["finish_s"]
    await sleep_until(lab, asked_at)
    await lab.state(JOB)
    await sleep_until(lab, traffic_end + UNHEALTHY_FROM_S + UNHEALTHY_S)
    executor.unhealthy = False
    lab.record.add("healthy", id=executor.id)
    state = await lab.wait_for_state(JOB, ("completed", "failed"), 25)
    if state != "completed":
        raise CaseError(f"the job is {state}")
    began = lab.runs.starts_of(JOB)[0][0]
    if began - asked_at > WAIT_S:
        return (
            f"LOST: from {asked_at:.1f} s on, finish_s after the traffic, the job had"
            f" nothing running for {began - asked_at:.1f} s, though it was due and"
            " eleven of twelve executors were idle"
        )
    return ""


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, build, scenario))
