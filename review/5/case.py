"""A job whose cancelling was answered is created and run afterwards."""

import asyncio
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lab"))

from lab import BOUNDS, HOST, KEY, CaseError, Lab, call, run_case

JOB = "0000000000000d01"
LEAVE_S = 0.3
"""Clients leave within half of the objective of 0.6 s (give_up)."""
CLIENTS = 4
"""One of four clients leaves; the share of give_up in the site file is 0.25."""
LATE_S = 5.0
"""A write without an answer is carried out 1 to 6 s later (platform_lost, late)."""
LARGEST_LOST_SHARE = 0.35
"""Share x of the writes that get no answer (platform_lost)."""
LOSS_S = 4.5
"""How long writes may be lost."""
WORK_MS = 2000


def build(lab: Lab) -> None:
    """Add the executors."""
    for number in range(10):
        lab.add_executor(f"x{number}", 64_000, ["a", f"r{number // 4}"])


async def scenario(lab: Lab) -> str:
    """Lose one write of a submission, cancel the job, and check UNASKED."""
    lost_at: list[float] = []
    written_at: list[float] = []

    def lose(txn) -> float | None:
        written_at.append(lab.record.now())
        keys = [put["key"] for put in txn["puts"]]
        if lost_at or not any(key.endswith(JOB) for key in keys):
            return None
        lost_at.append(written_at[-1])
        return LATE_S

    if lab.disturbed:
        lab.store.on_txn = lose
    step = {"count": 1, "cpu": 4600, "mem_mb": 8000, "est_ms": WORK_MS}
    steps = [step, *({**step, "after": [number]} for number in range(3))]
    document = {"task_spec": json.dumps({"ms": WORK_MS}), "steps": steps}
    headers = {"Host": HOST, "X-Credential": KEY, "X-Deadline-Ms": "3000"}
    front = lab.daemons[0].front
    for number in range(1, CLIENTS):
        await lab.post(f"{0xD10 + number:016x}", steps, ms=WORK_MS, daemon=number)
    path = f"/cuts/{JOB}"
    lab.record.add("send", method="POST", path=path, daemon=lab.daemons[0].name)
    body = json.dumps(document).encode()
    answer = await call(front, "POST", path, headers, body, LEAVE_S)
    lab.record.add("answered-or-left", answer=answer)
    cancelled = await lab.request("DELETE", path, None, 1)
    cancelled_at = lab.record.now()
    if cancelled is None or cancelled[0] not in (200, 410):
        raise CaseError(f"the cancelling got {cancelled}")
    await asyncio.sleep(14)
    if lab.disturbed:
        near = [at for at in written_at if lost_at[0] <= at <= lost_at[0] + LOSS_S]
        lab.record.add("writes", lost=len(lost_at), of=len(near), within_s=LOSS_S)
        if len(lost_at) > LARGEST_LOST_SHARE * len(near):
            raise CaseError(f"one of {len(near)} writes is more than the share")
    await lab.state(JOB)
    bound = BOUNDS["cancel_ms"] / 1000
    late = [s for s in lab.runs.starts_of(JOB) if s[0] > cancelled_at + bound]
    if not late:
        return ""
    return (
        f"UNASKED: {len(late)} work units start later than {bound} s after the"
        f" cancelling was answered {cancelled[0]}, {late[-1][1]} after"
        f" {late[-1][0] - cancelled_at:.1f} s"
    )


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, build, scenario))
