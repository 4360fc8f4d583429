"""Jobs whose starts an unhealthy executor refuses are no longer counted as waiting."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "lab"))
from lab import BOUNDS, Lab, run_case

EXECUTORS = 12
UNHEALTHY_S = 6.4
"""Within the 6.5 s of srv_grey in the site file; 1 of 12 is a share of 0.083."""
JOBS = 4
VISIBLE_S = BOUNDS["visible_ms"] / 1000 + 2


def build(lab: Lab) -> None:
    """Add the executors."""
    for number in range(EXECUTORS):
        kind = "b" if number == 0 else "a"
        lab.add_executor(f"i-{number:02}", 16_000, [kind, f"r1-{number // 4}"])


async def scenario(lab: Lab) -> str:
    """Play the case; return why the rule is broken, or ""."""
    executor = lab.executors["i-00"]
    await asyncio.sleep(1)
    if lab.disturbed:
        executor.unhealthy = True
        began = lab.record.add("srv_grey", id=executor.id)
    else:
        began = lab.record.now()
    step = {"count": 1, "cpu": 500, "mem_mb": 50, "est_ms": 300, "requirements": "b"}
    accepted = {}
    for number in range(1, JOBS + 1):
        job = f"{number:016x}"
        await lab.post(job, [step], ms=300, daemon=number)
        accepted[job] = lab.record.now()
    broken = []
    while lab.record.now() < began + UNHEALTHY_S:
        await asyncio.sleep(0.1)
        for daemon in range(len(lab.daemons)):
            asked = lab.record.now()
            answer = await lab.request("GET", "/cuts/", None, daemon)
            waiting_jobs = [
                job
                for job, at in accepted.items()
                if at < asked - VISIBLE_S and not lab.runs.starts_of(job)
            ]
            if answer is None or answer[0] != 200 or not waiting_jobs:
                continue
            waiting = answer[1]["waiting"]
            if waiting < len(waiting_jobs) / 2:
                broken.append(
                    f"MIXED: {lab.daemons[daemon].name} gives waiting {waiting}, while"
                    f" {len(waiting_jobs)} jobs accepted over {VISIBLE_S} s before"
                    " haven't begun"
                )
    executor.unhealthy = False
    lab.record.add("srv_grey-end", id=executor.id)
    for job in accepted:
        await lab.wait_for_state(job, ("completed", "failed"), 20)
    return f"{broken[0]} ({len(broken)} such answers)" if broken else ""


sys.exit(run_case(Path(__file__).parent, build, scenario))
