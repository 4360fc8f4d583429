"""Candidates that wait on silent channels leave the placing role vacant."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "lab"))
from lab import BOUNDS, CaseError, Lab, run_case

JOB = "00000000000000e1"
LIMIT_S = (BOUNDS["cancel_ms"] + BOUNDS["stop_ms"]) / 1000
CONTACT_S = BOUNDS["contact_ms"] / 1000


def build(lab: Lab) -> None:
    """Add the executors."""
    for number in range(8):
        lab.add_executor(f"i-{number:02}", 16_000, ["a", f"r1-{number // 4}"])


async def scenario(lab: Lab) -> str:
    """Play the case; return why the rule is broken, or ""."""
    step = {"count": 2, "cpu": 1000, "mem_mb": 100, "est_ms": 500, "long_running": True}
    await lab.post(JOB, [step], ms=500, lasts=True)
    await asyncio.sleep(0.5)
    holder = lab.role_holder()
    if holder is None:
        raise CaseError("nobody holds the role")
    other = next(n for n, d in enumerate(lab.daemons) if d is not holder)
    if lab.disturbed:
        for server in lab.store_servers:
            server.silence_connections()
        lab.record.add("store-channels-silent")
    await asyncio.sleep(CONTACT_S + 0.3)
    holder.signal(signal.SIGTERM)
    terminated = lab.record.add("SIGTERM", daemon=holder.name)
    await asyncio.sleep(0.3)
    answer = await lab.request("DELETE", f"/cuts/{JOB}", None, other)
    acknowledged = lab.record.now()
    if answer is None or answer[0] not in (200, 410):
        raise CaseError("the cancelling was not acknowledged")
    await asyncio.sleep(14)
    latest = 0.0
    for _, task, run, _ in lab.runs.starts_of(JOB):
        ends = [e[0] for e in lab.runs.ends if e[1] == task and e[2] == run]
        ended = min(ends, default=lab.record.now())
        if ended > acknowledged:
            latest = max(latest, ended - acknowledged)
    lab.record.add("ran-on", seconds=f"{latest:.2f}", limit=LIMIT_S)
    # The channels fell silent and the SIGTERM came more than contact_ms before.
    if latest > LIMIT_S and acknowledged + latest > terminated + CONTACT_S:
        return (
            f"UNASKED: {JOB} ran on for {latest:.1f} s after its cancelling was"
            f" acknowledged; the bound is {LIMIT_S} s"
        )
    return ""


sys.exit(run_case(Path(__file__).parent, build, scenario))
