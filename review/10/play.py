"""An unusable entry of another writer sends work to an executor of another service."""

import asyncio
import sys
from pathlib import Path

from standins import World, config, main, route

ENTRY_S = 1.4
"""Until the executor's own next heartbeat, at most."""


async def play(world: World) -> list[str]:
    """Write an entry of wrong types for an executor, then hand in jobs."""
    cut = route("r-cut", "/cut/", "mill")
    quote = route("r-quote", "/quote/", "desk")
    await world.open(config([cut, quote], ["mill", "desk"]))
    for number in range(2):
        await world.add_executor(f"m-{number}", "mill", rack=f"r1-{number}")
    other = await world.add_executor("m-2", "desk", rack="r1-2")
    await world.start_daemons(["z1", "z1"])
    await asyncio.sleep(2)
    sequence = other.sequence
    while other.sequence == sequence:
        await asyncio.sleep(0.02)
    if world.trouble:
        entry = {**other.entry(), "service": "mill", "slots": "eight", "version": 1}
        world.store.write(f"servers/{other.name}", entry)
        world.record(f"another writer writes servers/{other.name}: {entry}")
        await asyncio.sleep(0.1)
    step = {"count": 12, "cpu": 4000, "mem_mb": 512, "est_ms": 800}
    await world.submit(world.daemons[0], "/cut/", {"ms": 800}, [step])
    await asyncio.sleep(ENTRY_S + 1)
    wrong = [run for run in world.runs if run["executor"] == other.name]
    return [
        f"{run['task']} of r-cut was started on {other.name} of the service desk"
        for run in wrong
    ]


sys.exit(main(Path(__file__).resolve().parent, play))
