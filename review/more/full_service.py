"""A work unit that lasts fails once, and waits while smaller ones take its room.

Not a case itself: python3 review/more/full_service.py, same exit codes. The rule asks
for "capacity for it twice over"; if that is free capacity, it is not broken here.
"""

import asyncio
import json
import random
import sys
import tempfile
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lab"))

from lab import CaseError, Executor, Lab, run_case

LASTING_JOB = "0000000000000f01"
LASTING = {"count": 5, "cpu": 5400, "mem_mb": 26_000, "est_ms": 700}
LASTING |= {"long_running": True, "may_miss": 1}
QUOTE = {"count": 6, "cpu": 4600, "mem_mb": 4200, "est_ms": 1000}
QUOTES = 550
"""Fewer than 7.5 times the five times 2.26 a second that the site's peak has."""
TRAFFIC_S = 6.5
"""Length of the time in which a tenant sends many times its usual (hot_tenant)."""
CALM_S = 4.0
FAILED_AT_S = TRAFFIC_S + CALM_S
RESTART_S = 6.0 + 3.0
"""A work unit that lasts runs again this long after its last run."""


def build(lab: Lab) -> None:
    """Add the executors of a service."""
    for number in range(8):
        lab.add_executor(f"x{number:02}", 64_000, ["a", f"r{number // 4}"])


async def send_quotes(lab: Lab) -> int:
    """Hand in the jobs of the tenant within its time; return how many were accepted."""
    accepted = 0

    async def one(number: int) -> None:
        nonlocal accepted
        await asyncio.sleep(TRAFFIC_S * number / QUOTES)
        spec = {"ms": random.randrange(700, 2500)}
        document = {"task_spec": json.dumps(spec), "steps": [QUOTE]}
        answer = await lab.request(
            "POST", f"/cuts/{0xF100 + number:016x}", document, number
        )
        accepted += answer is not None and answer[0] == 200

    await asyncio.gather(*(one(number) for number in range(QUOTES)))
    return accepted


def runs_of_lasting(lab: Lab) -> dict[str, Executor]:
    """Return the executors of the work units that last and run, by work unit."""
    return {
        task: executor
        for executor in lab.executors.values()
        for task in executor.running
        if task.startswith(LASTING_JOB)
    }


async def scenario(lab: Lab) -> str:
    """Let one work unit fail while the service is full, and check LOST."""
    await lab.post(LASTING_JOB, [LASTING], ms=700, lasts=True)
    await asyncio.sleep(3)
    running = runs_of_lasting(lab)
    if len(running) != LASTING["count"]:
        raise CaseError(f"only {len(running)} work units run")
    began_at = lab.record.now()
    if lab.disturbed:
        accepted = await send_quotes(lab)
        lab.record.add("traffic-end", accepted=accepted)
    await asyncio.sleep(max(0.0, began_at + FAILED_AT_S - lab.record.now()))
    task, executor = sorted(runs_of_lasting(lab).items())[0]
    lab.record.add("fails-by-itself", task=task, executor=executor.id)
    executor._end(task, "failed")
    failed_at = lab.record.now()
    while lab.record.now() < failed_at + 25:
        if task in runs_of_lasting(lab):
            break
        await asyncio.sleep(0.1)
    again = [s for s in lab.runs.starts if s[1] == task and s[0] > failed_at]
    waited = (again[0][0] if again else lab.record.now()) - failed_at
    lab.record.add("waited", seconds=round(waited, 2))
    if waited > RESTART_S:
        return f"LOST: {task} lasts, failed, and did not run again for {waited:.1f} s"
    return ""


if __name__ == "__main__":
    with tempfile.TemporaryDirectory(prefix="review-") as folder:
        sys.exit(run_case(Path(folder), build, scenario))
