"""Two waves under random faults, checked on the way: random_waves.py SEED [FAULTS].

Beside the faults of random_jobs.py: silent, refuse, slow, lost and held (calls to the VM
service). Checks ONE, LIMIT, MIXED and AVAIL. Prints what looks broken.
"""

from __future__ import annotations

import asyncio
import base64
import json
import random
import sys
import tempfile
from pathlib import Path

from cloud import Cloud
from lab import BOUNDS, CaseError, Lab, SilenceError, run_case
from random_jobs import Faults, build

TROUBLE_S = 55.0
CLOUD_FAULT_S = 4.5
LEASE_S = BOUNDS["lease_ms"] / 1000


class StrictCloud(Cloud):
    """A VM service that can be disturbed and that checks the orders it gets."""

    def __init__(self, lab: Lab, may_miss: dict[str, int], source) -> None:
        super().__init__(lab, may_miss)
        self._random = source
        self.mode = ""
        self.maximum_by_wave: dict[int, int] = {}
        self.begun: set[tuple[str, int]] = set()
        self.found: list[str] = []
        self._orders_by_machine: dict[str, list[tuple[float, int, str]]] = {}

    async def handle(self, method, target, headers, body):
        """Answer a call, as the present disturbance has it."""
        if self.mode == "silent":
            raise SilenceError
        if self.mode == "refuse":
            return 503, {}
        if self.mode == "slow":
            await asyncio.sleep(0.25)
        if method == "GET":
            return await super().handle(method, target, headers, body)
        order = json.loads(body)
        disturbed = self._random.random() < 0.5
        if self.mode == "lost" and disturbed:
            await self._carry_out(target, headers, order)
            raise SilenceError
        if self.mode == "held" and disturbed:
            self._lab.spawn(self._carry_out_late(target, headers, order))
            raise SilenceError
        return await self._carry_out(target, headers, order)

    async def _carry_out_late(self, target, headers, order) -> None:
        self._lab.record.add("order-held", **order)
        await asyncio.sleep(self._random.uniform(2, 12))
        broken = self.broken
        await self._carry_out(target, headers, order, late=True)
        # AVAIL does not hold for orders that were held up.
        self.broken = broken

    async def _carry_out(self, target, headers, order, late=False):
        name, wave = order["machine"], order["wave"]
        fence, holder = int(headers["x-fencing-token"]), headers["x-duty-holder"]
        now = self._lab.record.now()
        before = set(self._in_upkeep)
        status, reason = await self._upkeep(target, headers, order)
        self._lab.record.add(
            "order", machine=name, fence=fence, holder=holder, status=status, late=late
        )
        if reason != "fence" and not late:
            orders = self._orders_by_machine.setdefault(name, [])
            for at, other_fence, other in orders:
                if other != holder and (now - at < LEASE_S or fence == other_fence):
                    self.found.append(
                        f"ONE: {name}: {other} at {at:.3f}, {holder} at {now:.3f}"
                    )
            orders.append((now, fence, holder))
        if status == 200 and name in self._in_upkeep - before:
            self.begun.add((name, wave))
            if len(self._in_upkeep) > self.maximum_by_wave[wave]:
                self.found.append(f"LIMIT: {sorted(self._in_upkeep)} at {now:.3f}")
        return status, {"reason": reason} if reason else {}


class WaveFaults(Faults):
    """Disturbances of the daemons, the executors and the VM service."""

    def __init__(self, lab: Lab, source, cloud: StrictCloud) -> None:
        super().__init__(lab, source)
        self._cloud = cloud

    async def play(self, name: str) -> None:
        """Play one disturbance."""
        if name not in ("silent", "refuse", "slow", "lost", "held"):
            await super().play(name)
            return
        self._lab.record.add("fault", name=name)
        self._cloud.mode = name
        await asyncio.sleep(CLOUD_FAULT_S)
        self._cloud.mode = ""
        self._lab.record.add("fault-end", name=name)

    async def crash(self) -> None:
        """Crash an executor that is up; its machine may go down meanwhile."""
        executor = self._executor()
        if executor.up:
            await executor.crash()
            await asyncio.sleep(self._random.choice([1, 2]))
            if not executor.up and not self._cloud.is_in_upkeep(executor.machine):
                await executor.rejoin(self._cloud.new_id())


FAULTS = (
    "kill,term,freeze,crash,silent,refuse,slow,lost,held,store_late,holder_dark,"
    "store_dark,cut"
)


def add_machines(lab: Lab) -> None:
    """Add the executors and the VM service."""
    build(lab)
    lab.may_miss = {}
    lab.cloud = StrictCloud(lab, lab.may_miss, random.Random(int(sys.argv[1])))
    lab.cloud_handler = lab.cloud.handle


def _document(lab: Lab, key: str):
    item = lab.store.item(key)
    return json.loads(base64.b64decode(item["value"])) if item else None


async def scenario(lab: Lab) -> str:
    """Play random faults; return the first thing that looks broken, or ""."""
    source = random.Random(int(sys.argv[1]))
    names = (sys.argv[2] if len(sys.argv) > 2 else FAULTS).split(",")
    cloud = lab.cloud
    faults = WaveFaults(lab, source, cloud)
    until = lab.record.now() + TROUBLE_S

    async def hand_in() -> None:
        number = 0
        while lab.record.now() < until:
            number += 1
            job = f"{0xB000000 + number:016x}"
            step = {"count": source.randint(1, 4), "cpu": 1000, "mem_mb": 10}
            try:
                if number < 4 or number % 8 == 0:
                    lab.may_miss[job] = 1
                    lasting = {"long_running": True, "may_miss": 1}
                    await lab.post(job, [step | lasting], ms=700, lasts=True)
                else:
                    ms = source.choice([200, 600, 1500])
                    await lab.post(job, [step | {"est_ms": ms}], ms=ms, daemon=number)
            except CaseError as error:
                lab.record.add("not-accepted", job=job, error=error)
            await asyncio.sleep(source.random())

    async def order_waves() -> None:
        machines = [executor.machine for executor in lab.executors.values()]
        for wave in (1, 2):
            cloud.maximum_by_wave[wave] = source.choice([1, 2, 3])
            order = {
                "wave": wave,
                "machines": source.sample(machines, source.randint(4, 8)),
                "complete_by_s": 26,
                "maximum": cloud.maximum_by_wave[wave],
            }
            lab.store.write(f"op/wave/{wave}", order)
            await asyncio.sleep(30)

    lab.spawn(order_waves())
    jobs = asyncio.ensure_future(hand_in())
    broken: list[str] = []
    while lab.record.now() < until:
        chosen = [source.choice(names) for _ in range(source.choice([1, 1, 2]))]
        await asyncio.gather(*(faults.play(name) for name in set(chosen)))
        await asyncio.sleep(source.uniform(0.2, 2.5))
        for wave in cloud.maximum_by_wave:
            status = _document(lab, f"status/wave/{wave}")
            if status is not None and status["state"] == "completed":
                ordered = _document(lab, f"op/wave/{wave}")["machines"]
                left = [name for name in ordered if (name, wave) not in cloud.begun]
                broken += [f"MIXED: wave {wave} without {left}"] if left else []
    await jobs
    await asyncio.sleep(8)
    broken += [*cloud.found, *filter(None, [cloud.broken, lab.runs.twice()])]
    for what in dict.fromkeys(broken):
        lab.record.add("broken", what=what)
        print(what)
    return broken[0] if broken else ""


if __name__ == "__main__":
    with tempfile.TemporaryDirectory(prefix="review-") as folder:
        sys.exit(run_case(Path(folder), add_machines, scenario, 118))
