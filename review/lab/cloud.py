"""A stand-in of the VM service that carries out upkeeps."""

from __future__ import annotations

import asyncio
import json

from lab import BOUNDS, Executor, Lab, SilenceError


class Cloud:
    """Lists the machines and takes them down for upkeeps; ``lab.executors`` run there.

    Each upkeep ends all that runs on the machine, and a new executor joins after
    ``upkeep_s``.
    """

    def __init__(self, lab: Lab, may_miss: dict[str, int]) -> None:
        self._lab = lab
        self._may_miss = may_miss
        """The ``may_miss`` of jobs that last."""
        self._machines = {e.machine: e for e in lab.executors.values()}
        self._in_upkeep: set[str] = set()
        self._done: set[tuple[str, int]] = set()
        self._fences: dict[str, int] = {}
        self._next_id = 100
        self.unavailable = False
        """Whether calls are neither carried out nor answered."""
        self.on_upkeep = None
        """Called with the machine when an order for it arrives."""
        self.broken = ""

    def new_id(self) -> str:
        """Return an id for the next executor of a machine."""
        self._next_id += 1
        return f"i-{self._next_id}"

    def is_in_upkeep(self, machine: str) -> bool:
        """Tell whether a machine is down for an upkeep."""
        return machine in self._in_upkeep

    async def handle(self, method, target, headers, body):
        """Answer a call."""
        if method == "GET":
            if self.unavailable:
                raise SilenceError
            rows = [self._row(name) for name in self._machines]
            return 200, {"machines": rows, "next_token": None}
        order = json.loads(body)
        machine = order["machine"]
        self._lab.record.add("order", path=target, **order)
        if self.on_upkeep is not None:
            self.on_upkeep(machine)
        if self.unavailable:
            raise SilenceError
        status, reason = await self._upkeep(target, headers, order)
        self._lab.record.add("order-answer", machine=machine, status=status)
        return status, {"reason": reason} if reason else {}

    def _row(self, name: str) -> dict:
        executor = self._machines[name]
        state = "up" if executor.up else "down"
        return {
            "machine": name,
            "pool": executor.service,
            "state": "upkeep" if name in self._in_upkeep else state,
            "zone": "z1",
            "labels": executor.labels,
            "capacity": {"cpu": executor.cpu, "mem_mb": 64_000, "gpu": 0},
            "id": executor.id if executor.up else None,
        }

    async def _upkeep(self, target, headers, order) -> tuple[int, str]:
        name = order["machine"]
        if target != "/machine-upkeep" or name not in self._machines:
            return 400, ""
        fence = int(headers["x-fencing-token"])
        if fence < self._fences.get(name, 0):
            return 409, "fence"
        self._fences[name] = fence
        if (name, order["wave"]) in self._done:
            return 200, ""
        executor = self._machines[name]
        if not executor.up or name in self._in_upkeep:
            return 409, "busy"
        self._done.add((name, order["wave"]))
        self._in_upkeep.add(name)
        self._check(executor)
        await executor.crash("upkeep")
        self._lab.spawn(self._return(executor, name))
        return 200, ""

    async def _return(self, executor: Executor, name: str) -> None:
        await asyncio.sleep(BOUNDS["upkeep_s"])
        await executor.rejoin(self.new_id())
        self._in_upkeep.discard(name)

    def _check(self, executor: Executor) -> None:
        """Check what the work units that last lose with an executor (AVAIL)."""
        lost = [task for task, _ in executor.at_work()]
        for step in {task.rpartition(".")[0] for task in lost}:
            mine = [task for task in lost if task.rpartition(".")[0] == step]
            away = self._ended_by_upkeeps(step)
            limit = self._may_miss.get(step.partition(".")[0])
            if limit is not None and len(mine) - 1 + len(away - set(mine)) >= limit:
                self.broken = (
                    f"AVAIL: an upkeep ends {mine} on {executor.id}, which are at work;"
                    f" away already: {sorted(away)}; may_miss {limit}"
                )
                self._lab.record.add("broken", what=self.broken)

    def _ended_by_upkeeps(self, step: str) -> set[str]:
        """Return the work units that upkeeps have ended and that aren't back."""
        working = {
            task for e in self._lab.executors.values() for task, _ in e.at_work()
        }
        return {
            task
            for _, task, _, _, how in self._lab.runs.ends
            if how == "upkeep" and task.startswith(step + ".") and task not in working
        }
