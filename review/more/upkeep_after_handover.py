"""A holder that has just begun an upkeep is stopped, and the next begins one more.

Not a case itself: python3 review/more/upkeep_after_handover.py, same exit codes.

The list of machines lags by ``LAG_S``. The brief calls it a lagging list, without a
figure, and the bench's list did not lag.
"""

import asyncio
import json
import os
import signal
import sys
import tempfile
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lab"))

from cloud import Cloud
from lab import Lab, run_case

LAG_S = float(os.environ.get("LAG_S", "0.5"))
SIGTERM_AFTER_S = 0.02
MACHINES = 4


class LaggingCloud(Cloud):
    """Lists the machines as they were, and checks LIMIT for one at a time."""

    def __init__(self, lab: Lab) -> None:
        super().__init__(lab, {})
        self._past: list[tuple[float, list[dict]]] = []
        self.on_begun = None
        """Called when an upkeep has begun."""

    async def run(self) -> None:
        """Note the state of the machines until cancelled."""
        while True:
            rows = [self._row(name) for name in self._machines]
            self._past = [*self._past[-400:], (time.monotonic(), rows)]
            await asyncio.sleep(0.02)

    async def handle(self, method, target, headers, body):
        """Answer a call."""
        if method == "GET":
            at = time.monotonic() - LAG_S
            old = [rows for noted_at, rows in self._past if noted_at <= at]
            return 200, {
                "machines": (old or [self._past[0][1]])[-1],
                "next_token": None,
            }
        down = len(self._in_upkeep)
        answer = await super().handle(method, target, headers, body)
        if len(self._in_upkeep) > down:
            if down:
                machine = json.loads(body)["machine"]
                self.broken = (
                    f"LIMIT: the upkeep of {machine} begins while {down} machine of the"
                    " wave is down for its own; maximum 1"
                )
                self._lab.record.add("broken", what=self.broken)
            if self.on_begun is not None:
                self.on_begun()
        return answer


def build(lab: Lab) -> None:
    """Add the executors of a service."""
    for number in range(8):
        lab.add_executor(f"x{number:02}", 64_000, ["a", f"r{number // 4}"])
    lab.cloud = LaggingCloud(lab)
    lab.cloud_handler = lab.cloud.handle
    lab.spawn(lab.cloud.run())


async def scenario(lab: Lab) -> str:
    """Stop the holder once, right after an upkeep has begun."""
    stopped = False

    def stop_holder() -> None:
        nonlocal stopped
        holder = lab.role_holder()
        if stopped or holder is None or not lab.disturbed:
            return
        stopped = True
        lab.record.add("sigterm", daemon=holder.name)
        loop = asyncio.get_running_loop()
        loop.call_later(SIGTERM_AFTER_S, holder.signal, signal.SIGTERM)

    lab.cloud.on_begun = stop_holder
    await asyncio.sleep(4)
    machines = [executor.machine for executor in lab.executors.values()][:MACHINES]
    wave = {"wave": 1, "machines": machines, "complete_by_s": 25, "maximum": 1}
    lab.store.write("op/wave/1", wave)
    await asyncio.sleep(14)
    return lab.cloud.broken


if __name__ == "__main__":
    with tempfile.TemporaryDirectory(prefix="review-") as folder:
        sys.exit(run_case(Path(folder), build, scenario))
