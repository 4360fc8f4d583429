"""An entry of another writer makes a short cut end the runs of an executor."""

import asyncio
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "lab"))
from lab import Lab, Server, run_case

EXECUTORS = 8
CUT_S = 4.0
"""Within the 5.5 s of node_cut (servers) in the site file; 1 of 8 executors."""
JOB = "00000000000000c1"
ENTRIES = os.environ.get("ENTRIES", "1") != "0"
"""ENTRIES=0 plays the cut alone."""


def build(lab: Lab) -> None:
    """Add the executors."""
    for number in range(EXECUTORS):
        lab.add_executor(f"i-{number:02}", 64_000, ["a", f"r1-{number // 4 + 1}"])


async def agent(method, target, headers, body):
    """Answer as a program that is no executor."""
    return 404, {}


async def scenario(lab: Lab) -> str:
    """Play the case; return why the rule is broken, or ""."""
    server = Server(agent)
    await server.start()
    if lab.disturbed and ENTRIES:
        for executor in lab.executors.values():
            entry = {
                "service": "node-agent",
                "address": server.address,
                "zone": "z1",
                "version": "1",
                "slots": 0,
                "state": "ready",
                "cold_ms": 0,
                "sequence": 1,
                "capacity": {"cpu": 0, "mem_mb": 0, "gpu": 0},
                "labels": executor.labels,
                "machine": executor.machine,
                "born": round(time.time() * 1000),
            }
            lab.store.write(f"servers/agent-{executor.machine}", entry)
            lab.record.add("foreign-entry", key=f"servers/agent-{executor.machine}")
    await asyncio.sleep(1)
    step = {"count": 1, "cpu": 4000, "mem_mb": 100, "est_ms": 8000}
    await lab.post(JOB, [step], ms=8000)
    while not lab.runs.starts_of(JOB):
        await asyncio.sleep(0.02)
    await asyncio.sleep(1.0)
    if lab.disturbed:
        executor_id = lab.runs.starts_of(JOB)[0][3]
        first = next(e for e in lab.executors.values() if e.id == executor_id)
        first.begin_cut()
        await asyncio.sleep(CUT_S)
        first.end_cut()
    await lab.wait_for_state(JOB, ("completed", "failed"), 30)
    await server.stop()
    return lab.runs.twice()


sys.exit(run_case(Path(__file__).parent, build, scenario))
