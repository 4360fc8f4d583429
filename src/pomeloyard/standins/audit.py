"""Compares what clients were told with what executors and workers recorded."""

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
    """Return the records of executors or workers."""
    return [
        json.loads(httpcore.request("GET", f"http://{a}/standin/audit").content)
        for a in addresses
    ]


def find_faults(
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
        *lost(sent, executions),
        *over_limit(executions, tasks, limits),
        *over_slots(executors),
        *(f"job {j.key}: {j.attempts[-1].body!r}" for j in jobs if not _sound(j)),
    ]


def _sound(job: Sent) -> bool:
    """Tell whether a submission was accepted or failed with a stated outcome."""
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
    """Return requests that ran although all answers said "not run"."""
    ran = {e["path"].rpartition("/")[2] for e in executions}
    return [
        f"{s.path} was refused as not run, and ran"
        for s in sent
        if s.outcome() == NOT_RUN and _name(s) in ran
    ]


def lost(sent: list[Sent], executions: list[Record]) -> list[str]:
    """Return requests that were answered as done and never ran."""
    ran = {e["path"].rpartition("/")[2] for e in executions}
    return [
        f"{s.path} was answered as done, and did not run"
        for s in sent
        if s.outcome() == DONE and _name(s) not in ran
    ]


def wrong_answers(sent: list[Sent]) -> list[str]:
    """Return answers that are incomplete or belong to another request."""
    faults = []
    for s in sent:
        expected = f"ran {s.method} /{_name(s)} ".encode() + s.body
        for attempt in s.attempts:
            if attempt.status == 200 and not attempt.body.endswith(expected):
                faults.append(f"{s.path} got {attempt.body[:80]!r}")
    return faults


def over_limit(
    executions: list[Record], tasks: list[Record], limits: dict[str, int]
) -> list[str]:
    """Return teams whose work in progress, over all VMs, exceeded their limit."""
    events_by_team: dict[str, list[tuple[float, int]]] = defaultdict(list)
    works = [(e["team"], 1, e["started"], e["ended"]) for e in executions]
    works += [
        (t["team"], max(1, math.ceil(t["cores"])), t["started"], t["ended"])
        for t in tasks
    ]
    for team, units, started, ended in works:
        events_by_team[team].append((started, units))
        events_by_team[team].append((math.inf if ended is None else ended, -units))
    faults = []
    for team, events in events_by_team.items():
        running = most = 0
        for _, units in sorted(events):  # At a tie, ends come first.
            running += units
            most = max(most, running)
        if most > limits[team]:
            faults.append(f"team {team} ran {most} units, its limit is {limits[team]}")
    return faults


def over_slots(executors: list[Record]) -> list[str]:
    """Return executors that had more requests at once than slots."""
    return [
        f"{e['name']} was over its slots {e['over_slots']} times ({e['most_running']})"
        for e in executors
        if e["over_slots"]
    ]


def _name(sent: Sent) -> str:
    return sent.path.rpartition("/")[2].partition("?")[0]
