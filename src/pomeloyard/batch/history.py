"""What the daemons' output says of one job, and why it ended as it did.

The output of all daemons is needed: any of them may have answered a call, and the
placing role changes hands. Lines are the JSON lines of ``decisions`` and of the
daemon's other messages; a source's name may stand before a line.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from datetime import UTC, datetime, timedelta
from typing import Any

import msgspec

AROUND = timedelta(seconds=5)
"""Changes of the role and lost dependencies count from this long before the first line
of the job: a takeover and an outage last some seconds."""
LONG_WAIT_MS = 1000
"""A job that waited longer for its first assignment than this is said to have waited;
usual assignments take some tens of milliseconds."""
ROLE_MESSAGES = ("holds role placing", "placing begins", "placing ends")
FINAL_STATES = ("completed", "failed", "cancelled")
STORE_MESSAGES = ("store lost", "store regained")


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a daemon's output."""

    at: datetime
    daemon: str
    decision: str
    """Kind of the decision; empty for another message."""
    subject: str
    """What was decided on; the message where there is no decision."""
    outcome: str = ""
    inputs: dict[str, Any] = field(default_factory=dict)

    def concerns(self, job_id: str) -> bool:
        """Tell whether this is a decision on a job or on one of its tasks."""
        return bool(self.decision) and self.subject.partition(".")[0] == job_id


def parse_line(text: str, source: str) -> LogLine | None:
    """Return a line of a daemon's output; None for text that is none.

    ``source`` names the daemon where the line does not.
    """
    before, brace, rest = text.partition("{")
    if not brace:
        return None
    try:
        fields = msgspec.json.decode(brace + rest, type=dict[str, Any])
        at = datetime.fromisoformat(str(fields.pop("at")))
    except (msgspec.MsgspecError, KeyError, ValueError):
        return None
    at = at if at.tzinfo else at.replace(tzinfo=UTC)
    words = before.split()
    daemon = str(fields.pop("daemon", words[-1] if words else source))
    if "decision" not in fields:
        return LogLine(at, daemon, "", str(fields.get("message", "")))
    kind, subject = str(fields.pop("decision")), str(fields.pop("subject", ""))
    return LogLine(at, daemon, kind, subject, str(fields.pop("outcome", "")), fields)


def course(lines: Sequence[LogLine], job_id: str) -> list[LogLine]:
    """Return the lines of a job in order, with those of what it depended on.

    These are what became of its executors, changes of the placing role, and lost or
    regained stores of the daemons that answered its calls.
    """
    own = _until_final(sorted(_of_job(lines, job_id), key=lambda line: line.at))
    if not own:
        return []
    executors = _executors(own)
    daemons = {line.daemon for line in own}
    begin, end = own[0].at - AROUND, own[-1].at
    around = [
        line
        for line in lines
        if begin <= line.at <= end
        and not line.concerns(job_id)
        and _matters(line, executors, daemons)
    ]
    return sorted([*own, *around], key=lambda line: line.at)


def _of_job(lines: Iterable[LogLine], job_id: str) -> list[LogLine]:
    return [line for line in lines if line.concerns(job_id)]


def _until_final(lines: Sequence[LogLine]) -> Sequence[LogLine]:
    """Leave out what later terms and callers say of a job that has ended."""
    for index, line in enumerate(lines):
        if line.decision == "job" and line.outcome in FINAL_STATES:
            return lines[: index + 1]
    return lines


def _executors(lines: Iterable[LogLine]) -> set[str]:
    placed = {line.outcome for line in lines if line.decision == "place"}
    named = {line.inputs["executor"] for line in lines if "executor" in line.inputs}
    return placed | {str(executor) for executor in named}


def _matters(line: LogLine, executors: set[str], daemons: set[str]) -> bool:
    if line.decision:
        return line.decision == "role" or bool(
            executors & {line.subject, str(line.inputs.get("executor", ""))}
            and line.decision in ("executor", "upkeep")
        )
    if line.subject.startswith(STORE_MESSAGES):
        return line.daemon in daemons
    if any(message in line.subject for message in ROLE_MESSAGES):
        return True
    words = line.subject.replace(":", " ").split()
    return words[:1] == ["executor"] and words[1:2] != [] and words[1] in executors


def causes(lines: Sequence[LogLine], job_id: str) -> list[str]:
    """Return what a job's course shows, one sentence each, the earliest first."""
    own = _of_job(lines, job_id)
    if not own:
        return ["no daemon's output names this job"]
    return [
        *_call_causes(own, lines),
        *_wait_causes(own, lines),
        *_lost_causes(own, lines),
        *_failure_causes(own),
        _state(own),
    ]


def _call_causes(own: Sequence[LogLine], lines: Sequence[LogLine]) -> list[str]:
    found = []
    for line in own:
        if line.decision != "call" or line.outcome.startswith("2"):
            continue
        method, detail = line.inputs.get("method", ""), line.inputs.get("detail", "")
        text = f"{method} was answered {line.outcome} by {line.daemon}: {detail}"
        if line.outcome == "504":
            text += "; it may have taken effect"
        elif line.outcome in ("429", "503"):
            text += "; it did not take effect"
        lost = [
            other
            for other in lines
            if not other.decision
            and other.daemon == line.daemon
            and other.subject.startswith(STORE_MESSAGES)
            and other.at <= line.at
        ]
        if lost and lost[-1].subject.startswith("store lost"):
            since = (line.at - lost[-1].at).total_seconds()
            text += f"; its store was lost {since:.1f} s before"
        found.append(text)
    return found


def _wait_causes(own: Sequence[LogLine], lines: Sequence[LogLine]) -> list[str]:
    first = next((line for line in own if line.decision == "place"), None)
    if first is None:
        return []
    waited_ms = int(first.inputs.get("age_ms", 0))
    if waited_ms < LONG_WAIT_MS:
        return []
    accepted_at = first.at - timedelta(milliseconds=waited_ms)
    text = f"it waited {waited_ms / 1000:.1f} s for its first assignment"
    begins = [
        line
        for line in lines
        if "placing begins" in line.subject and accepted_at <= line.at <= first.at
    ]
    if begins:
        after = (begins[-1].at - accepted_at).total_seconds()
        text += f"; a new placing daemon, {begins[-1].daemon}, began {after:.1f} s in"
    else:
        text += "; one placing daemon all the while: its pool had no room"
    return [text]


def _lost_causes(own: Sequence[LogLine], lines: Sequence[LogLine]) -> list[str]:
    found = []
    for line in own:
        if line.decision != "end" or line.outcome not in ("lost", "lapsed", "stalled"):
            continue
        executor = str(line.inputs.get("executor", ""))
        text = f"{line.subject} was {line.outcome} on {executor}"
        # Lines of one look are written within it, the reason first or just after.
        near = [
            other
            for other in lines
            if executor in (other.subject, other.inputs.get("executor"))
            or other.subject.startswith(f"executor {executor} ")
            or other.subject.startswith(f"executor {executor}:")
        ]
        reasons = [
            other
            for other in near
            if not other.concerns(line.subject.partition(".")[0])
            and abs(other.at - line.at) <= AROUND
        ]
        if reasons:
            reason = reasons[-1]
            said = f"{reason.decision} {reason.outcome}".strip() or reason.subject
            text += f" ({said})"
        found.append(text)
    return found


def _failure_causes(own: Sequence[LogLine]) -> list[str]:
    executors_by_task: dict[str, list[str]] = defaultdict(list)
    for line in own:
        if line.decision == "end" and line.outcome == "failed":
            executor = str(line.inputs.get("executor", ""))
            executors_by_task[line.subject].append(executor)
    found = []
    for task, executors in executors_by_task.items():
        text = f"{task} failed {len(executors)} times"
        if len(set(executors)) > 1:
            text += f", on {len(set(executors))} executors"
        else:
            text += f", on {executors[0]} only"
        found.append(text)
    return found


def _state(own: Sequence[LogLine]) -> str:
    states = [line for line in own if line.decision == "job"]
    if not states:
        return "no placing daemon's output names it"
    last = states[-1]
    if last.outcome == "found":
        return f"it was {last.inputs.get('state', 'pending')} when last found"
    age = last.inputs.get("age_ms")
    return f"it is {last.outcome}" + (f" after {age / 1000:.1f} s" if age else "")
