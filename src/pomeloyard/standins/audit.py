"""Compare the clients' outcomes with the records of executors and workers."""

from __future__ import annotations

import json
import math
from collections import Counter, defaultdict
from collections.abc import Iterable
from typing import Any

import httpcore

from .clients import DONE, NOT_RUN, Sent

Record = dict[str, Any]


def read_audits(addresses: Iterable[str]) -> list[Record]:
    """Fetch the audit records of executors or workers."""
    return [
        json.loads(httpcore.request("GET", f"http://{address}/standin/audit").content)
        for address in addresses
    ]


def find_violations(
    sent: list[Sent],
    jobs: list[Sent],
    executors: list[Record],
    workers: list[Record],
    limits: dict[str, int],
) -> list[str]:
    """Return one line for each broken invariant."""
    executions = [e for executor in executors for e in executor["executions"]]
    tasks = [t for worker in workers for t in worker["history"]]
    return [
        *duplicates(executions, tasks),
        *false_refusals(sent, executions),
        *wrong_answers(sent),
        *lost_requests(sent, executions),
        *over_limit(executions, tasks, limits),
        *over_slots(executors),
        *(
            f"job {j.key}: {j.attempts[-1].body!r}"
            for j in jobs
            if not _has_valid_outcomes(j)
        ),
    ]


def _has_valid_outcomes(job: Sent) -> bool:
    """Tell whether every attempt was accepted, failed or got no response."""
    return all(a.status in (0, 202) or a.status >= 400 for a in job.attempts)


def duplicates(executions: list[Record], tasks: list[Record]) -> list[str]:
    """Return keys that ran, and jobs that were started, more than once."""
    keys = Counter(e["idempotency_key"] for e in executions if e["idempotency_key"])
    starts = Counter(task["job"] for task in tasks)
    return [
        *(f"key {key} ran {n} times" for key, n in keys.items() if n > 1),
        *(f"job {job} was started {n} times" for job, n in starts.items() if n > 1),
    ]


def false_refusals(sent: list[Sent], executions: list[Record]) -> list[str]:
    """Return requests that ran although every response said "not run"."""
    ran = {e["path"].rpartition("/")[2] for e in executions}
    return [
        f"{s.path} was refused as not run, and ran"
        for s in sent
        if s.outcome() == NOT_RUN and _request_name(s) in ran
    ]


def lost_requests(sent: list[Sent], executions: list[Record]) -> list[str]:
    """Return requests that were reported as done and never ran."""
    ran = {e["path"].rpartition("/")[2] for e in executions}
    return [
        f"{s.path} was answered as done, and did not run"
        for s in sent
        if s.outcome() == DONE and _request_name(s) not in ran
    ]


def wrong_answers(sent: list[Sent]) -> list[str]:
    """Return responses that are incomplete or belong to another request."""
    violations = []
    for s in sent:
        expected = f"ran {s.method} /{_request_name(s)} ".encode() + s.body
        for attempt in s.attempts:
            if attempt.status == 200 and not attempt.body.endswith(expected):
                violations.append(f"{s.path} got {attempt.body[:80]!r}")
    return violations


def over_limit(
    executions: list[Record], tasks: list[Record], limits: dict[str, int]
) -> list[str]:
    """Return teams whose work in progress exceeded their limit across all VMs."""
    events_by_team: dict[str, list[tuple[float, int]]] = defaultdict(list)
    intervals = [(e["team"], 1, e["started"], e["ended"]) for e in executions]
    intervals += [
        (t["team"], max(1, math.ceil(t["cores"])), t["started"], t["ended"])
        for t in tasks
    ]
    for team, units, started, ended in intervals:
        events_by_team[team].append((started, units))
        events_by_team[team].append((math.inf if ended is None else ended, -units))
    violations = []
    for team, events in events_by_team.items():
        running = peak = 0
        for _, units in sorted(events):  # Ends sort before starts at the same time.
            running += units
            peak = max(peak, running)
        if peak > limits[team]:
            violations.append(
                f"team {team} ran {peak} units, its limit is {limits[team]}"
            )
    return violations


def over_slots(executors: list[Record]) -> list[str]:
    """Return executors that ran more requests at once than they have slots."""
    return [
        f"{e['name']} was over its slots {e['over_slots']} times ({e['most_running']})"
        for e in executors
        if e["over_slots"]
    ]


def _request_name(sent: Sent) -> str:
    return sent.path.rpartition("/")[2].partition("?")[0]
