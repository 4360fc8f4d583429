"""A job whose cancelling was answered runs, as its creation takes effect late."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "lab"))
from lab import BOUNDS, CaseError, Lab, run_case

EXECUTORS = 8
LATE_S = 5.9
"""platform_lost (late): writes are done 1 to 6 s later, without an answer."""
LOST_S = 2.0
"""How long answers are lost; the site file has 4.5 s."""
SHARE = 0.35
"""Largest share of writes without an answer in the site file."""
JOB = "00000000000000d1"
CANCEL_S = BOUNDS["cancel_ms"] / 1000


def build(lab: Lab) -> None:
    """Add the executors."""
    for number in range(EXECUTORS):
        lab.add_executor(f"i-{number:02}", 16_000, ["a", f"r1-{number // 4}"])


async def scenario(lab: Lab) -> str:
    """Play the case; return why the rule is broken, or ""."""
    await asyncio.sleep(1)
    lost_until = lab.record.now() + LOST_S
    writes = {"all": 0, "lost": 0}

    def on_txn(txn):
        if lab.record.now() > lost_until:
            return None
        writes["all"] += 1
        if any(put["key"].endswith(f"job/{JOB}") for put in txn["puts"]):
            writes["lost"] += 1
            return LATE_S
        return None

    if lab.disturbed:
        lab.store.on_txn = on_txn
    others = asyncio.ensure_future(send_other_jobs(lab, lost_until))
    step = {"count": 1, "cpu": 1000, "mem_mb": 100, "est_ms": 6000}
    document = {"task_spec": '{"ms": 6000}', "steps": [step]}
    await lab.request("POST", f"/cuts/{JOB}", document, 0, deadline_ms=2000)
    answer = await lab.request("DELETE", f"/cuts/{JOB}", None, 1)
    acknowledged = lab.record.now()
    await others
    lab.record.add("store-writes", **writes)
    if lab.disturbed and writes["lost"] > SHARE * writes["all"]:
        raise CaseError(f"more writes lost than allowed: {writes}")
    if answer is None or answer[0] not in (200, 410):
        return ""
    await asyncio.sleep(14)
    for at, task, run, executor in lab.runs.starts_of(JOB):
        if at > acknowledged + CANCEL_S:
            return (
                f"UNASKED: {task} run {run} starts on {executor}"
                f" {at - acknowledged:.1f} s after its job's cancelling was"
                f" acknowledged with {answer[0]}"
            )
    return ""


async def send_other_jobs(lab: Lab, until: float) -> None:
    """Send other jobs, so that the lost answers stay a share of all."""
    number = 0
    step = {"count": 1, "cpu": 200, "mem_mb": 10, "est_ms": 100}
    while lab.record.now() < until:
        number += 1
        await lab.post(f"{0xE000 + number:016x}", [step], ms=100, daemon=2)
        await asyncio.sleep(0.1)


sys.exit(run_case(Path(__file__).parent, build, scenario))
