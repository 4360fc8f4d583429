"""One accepted job of many small work units keeps all jobs of others from starting."""

import asyncio
import json
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lab"))

from lab import BOUNDS, HOST, CaseError, Lab, call, run_case

WIDE_JOB = "0000000000000a01"
WIDTH = int(os.environ.get("WIDTH", "20000"))
"""Work units of the wide job; the program accepts up to 20,000 of them in a job."""
USUAL_WIDTH = 24
"""The largest width of a quote in the site file, for TROUBLE=0."""
UNIT_CPU = 10
UNIT_MS = 1000
USUAL_CPU = 4600
KEYS = {"alpha": "key-a", "beta": "key-b"}
LASTING_JOB = "0000000000000a02"
LASTING_UNITS = 5
"""Work units of a job that lasts, with may_miss 1, as the site has them."""
TRAFFIC_S = 6.0
"""The other tenant hands in one job a second for this long."""
WAIT_S = 3.0
"""A job may have nothing running for this long."""
MAX_LAG_S = 0.25
"""The stand-ins must not be slower than this themselves."""


def build(lab: Lab) -> None:
    """Add the executors of a service of the site: 8 of 64 cores, 4 a rack."""
    for number in range(8):
        lab.add_executor(f"x{number:02}", 64_000, ["a", f"r{number // 4}"])


def publish(lab: Lab) -> None:
    """Write a configuration with two tenants."""
    lab.version += 1
    route = {
        "name": "cuts",
        "hostname": HOST,
        "prefix": "/cuts/",
        "service": "mill",
        "priority": 0,
        "max_attempts": 4,
        "stretch": 1.6,
        "slo_ms": 600,
    }
    tenants = [
        {"name": name, "api_keys": [key], "weight": 1.0, "maximum": {}}
        for name, key in KEYS.items()
    ]
    document = {
        "version": lab.version,
        "routes": [route],
        "services": [{"name": "mill", "rejects_overload": False}],
        "tenants": tenants,
        "limits": {"max_body_bytes": 262_144},
    }
    lab.store.write("op/config", document)


async def send(lab: Lab, tenant: str, method: str, job: str, document=None, daemon=0):
    """Send a tenant's call; return the status and the body, None without an answer."""
    target = lab.daemons[daemon % len(lab.daemons)]
    headers = {
        "Host": HOST,
        "X-Credential": KEYS[tenant],
        "X-Deadline-Ms": "3000",
        "Content-Type": "application/json",
    }
    body = b"" if document is None else json.dumps(document).encode()
    lab.record.add("send", tenant=tenant, method=method, job=job, daemon=target.name)
    answer = await call(target.front, method, f"/cuts/{job}", headers, body, 3.0)
    status, content = answer if answer is not None else (None, None)
    lab.record.add(
        "answer", tenant=tenant, method=method, job=job, status=status, body=content
    )
    return answer


async def submit(lab, tenant: str, job: str, step: dict, spec: dict, daemon=0) -> int:
    """Hand in a job, with four retries at other daemons; return the last status."""
    document = {"task_spec": json.dumps(spec), "steps": [step]}
    status = 0
    for attempt in range(5):
        answer = await send(lab, tenant, "POST", job, document, daemon + attempt)
        status = answer[0] if answer is not None else 0
        if status in (200, 400, 413):
            break
        await asyncio.sleep(0.3)
    return status


class Watch:
    """Watches how late the stand-ins' own loop is, and the cpu that is in use."""

    def __init__(self, lab: Lab) -> None:
        self._lab = lab
        self.lags: list[float] = []
        self.shares: list[tuple[float, float]] = []

    async def run(self) -> None:
        """Sample until cancelled."""
        loop = asyncio.get_running_loop()
        executors = self._lab.executors.values()
        capacity = sum(e.cpu for e in executors)
        while True:
            due = loop.time() + 0.05
            await asyncio.sleep(0.05)
            self.lags.append(loop.time() - due)
            used = sum(
                UNIT_CPU if task.startswith(WIDE_JOB) else USUAL_CPU
                for e in executors
                for task in e.running
            )
            self.shares.append((self._lab.record.now(), used / capacity))


async def scenario(lab: Lab) -> str:
    """Hand in the wide job and jobs of another tenant, and check LOST."""
    publish(lab)
    await asyncio.sleep(BOUNDS["config_ms"] / 1000)
    lasting = {"count": LASTING_UNITS, "cpu": USUAL_CPU, "mem_mb": 8400}
    lasting |= {"est_ms": 700, "long_running": True, "may_miss": 1}
    spec = {"ms": 700, "lasts": True}
    if await submit(lab, "beta", LASTING_JOB, lasting, spec) != 200:
        raise CaseError("the job that lasts was not accepted")
    await asyncio.sleep(BOUNDS["notice_ms"] / 1000)
    watch = Watch(lab)
    lab.spawn(watch.run())
    step = {"count": WIDTH if lab.disturbed else USUAL_WIDTH, "cpu": UNIT_CPU}
    step["est_ms"] = UNIT_MS
    status = await submit(lab, "alpha", WIDE_JOB, step, {"ms": UNIT_MS})
    lab.record.add("wide-job", status=status, **step)
    accepted = []
    began_at = lab.record.now()
    for number in range(int(TRAFFIC_S)):
        job = f"{0xB00 + number:016x}"
        usual = {"count": 1, "cpu": USUAL_CPU, "mem_mb": 8400, "est_ms": 1000}
        if await submit(lab, "beta", job, usual, {"ms": 1000}, number) == 200:
            accepted.append(job)
        await asyncio.sleep(max(0.0, began_at + number + 1 - lab.record.now()))
    traffic_end = lab.record.now()
    lab.record.add("traffic-end", accepted=accepted)
    if not accepted:
        raise CaseError("no job of the other tenant was accepted")
    asked_at = traffic_end + BOUNDS["finish_s"]
    await asyncio.sleep(max(0.0, asked_at - lab.record.now()))
    lab.record.add("asked-from-here")
    for number, job in enumerate(accepted):
        await send(lab, "beta", "GET", job, daemon=number)
    await asyncio.sleep(max(0.0, asked_at + 2 * WAIT_S - lab.record.now()))
    until = lab.record.now()
    largest = max(share for at, share in watch.shares if at >= asked_at)
    lag = max(watch.lags)
    answers = [daemon.process.poll() for daemon in lab.daemons]
    lab.record.add("measured", cpu_share=round(largest, 4), lag_s=round(lag, 3))
    lapsed = [end for end in lab.runs.ends if end[4] == "lapsed"]
    lab.record.add("lapsed", ends=len(lapsed), of=LASTING_JOB)
    lab.record.add("daemons", exit_codes=answers)
    if lag > MAX_LAG_S:
        raise CaseError(f"the stand-ins were late themselves, by {lag:.2f} s")
    lost = [
        job
        for job in accepted
        if not any(start[0] < asked_at + WAIT_S for start in lab.runs.starts_of(job))
    ]
    if lost and largest < 0.5:
        began = [job for job in lost if lab.runs.starts_of(job)]
        return (
            f"LOST: {len(lost)} of {len(accepted)} accepted jobs of another tenant had"
            f" nothing running from {asked_at:.1f} s on, finish_s after the traffic,"
            f" to {asked_at + WAIT_S:.1f} s ({len(lost) - len(began)} of them not until"
            f" {until:.1f} s either); {largest:.1%} of the cpu was in use at most"
        )
    return ""


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, build, scenario))
