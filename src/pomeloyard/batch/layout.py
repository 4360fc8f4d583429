"""Store keys of job records.

| key | written by | write condition |
|---|---|---|
| ``b/in/job/ID`` | the accepting daemon | absent, not cancelled; same configuration |
| ``b/in/cancel/ID`` | any daemon | the job's key unchanged, or absent |
| ``b/waiting/QUEUE/ID`` | with the job, deleted once a task began | as those |
| ``b/runs/ID`` | the placing daemon | its epoch, the record's last revision |
| ``b/crashes/ID`` | the placing daemon, with ``b/runs/ID`` | as that |
| ``b/run-times/QUEUE`` | the placing daemon | its epoch, the record's last revision |
| ``b/full/TEAM`` | the placing daemon, under a lease | its epoch |
| ``b/ids-kept`` | the placing daemon, once | its epoch |
"""

from __future__ import annotations

from urllib.parse import quote

INCOMING = "b/in/"
JOBS = "b/in/job/"
CANCELS = "b/in/cancel/"
WAITING = "b/waiting/"
RUNS = "b/runs/"
CRASHES = "b/crashes/"
"""Separate from ``RUNS``, as earlier builds rewrite a run record without the fields
that they do not know."""
RUN_TIMES = "b/run-times/"
"""What finished runs have shown about each queue. Earlier builds ignore it."""
FULL = "b/full/"
"""Teams whose further jobs are rejected. Earlier builds ignore it."""
EXECUTOR_IDS_REUSED = "b/ids-kept"
"""Present once an executor has restarted under the same id."""


def full_key(team: str) -> str:
    """Return the key that exists while a team's further jobs are rejected.

    >>> full_key("a/b")
    'b/full/a%2Fb'
    """
    return f"{FULL}{quote(team, safe='')}"


def waiting_prefix(queue: str) -> str:
    """Return the prefix of the markers of a queue's jobs that have not begun.

    >>> waiting_prefix("a/b")
    'b/waiting/a%2Fb/'
    """
    return f"{WAITING}{quote(queue, safe='')}/"
