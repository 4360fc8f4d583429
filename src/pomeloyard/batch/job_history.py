"""Reconstruction of a job's history and its causes from the daemons' logs.

The logs of all daemons are needed: any of them may have answered a call, and the
placing role moves between daemons. Lines are JSON: those of ``decision_log`` and the
daemon's other messages. A line may be prefixed with the name of its source.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from datetime import UTC, datetime, timedelta
from typing import Any

import msgspec

CONTEXT_TIME = timedelta(seconds=5)
"""Role changes and store outages are included from this long before the first line of
the job, as they last some seconds."""
LONG_WAIT_MS = 1000
"""Wait for the first assignment from which it is reported; assignments usually take
some tens of milliseconds."""
ROLE_MESSAGES = ("holds role placing", "placing begins", "placing ends")
FINAL_STATES = ("completed", "failed", "cancelled")
STORE_MESSAGES = ("store lost", "store regained")


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a daemon's log."""

    at: datetime
    daemon: str
    decision: str
    """Kind of the decision; empty for other messages."""
    subject: str
    """Subject of the decision, or the text of another message."""
    outcome: str = ""
    inputs: dict[str, Any] = field(default_factory=dict)

    def is_about(self, job_id: str) -> bool:
        """Tell whether this is a decision on a job or on one of its tasks."""
        return bool(self.decision) and self.subject.partition(".")[0] == job_id


def parse_line(text: str, source: str) -> LogLine | None:
    """Parse a line of a daemon's log; return None if it is not a log line.

    ``source`` is the name of the daemon for lines that don't contain it.
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


def timeline(lines: Sequence[LogLine], job_id: str) -> list[LogLine]:
    """Return the lines on a job and on its dependencies, sorted by time.

    Lines on dependencies report events of its executors, changes of the placing role,
    and store outages of the daemons that answered its calls.
    """
    job_lines = _until_final(
        sorted(_lines_of_job(lines, job_id), key=lambda line: line.at)
    )
    if not job_lines:
        return []
    executors = _executors(job_lines)
    daemons = {line.daemon for line in job_lines}
    begin, end = job_lines[0].at - CONTEXT_TIME, job_lines[-1].at
    context = [
        line
        for line in lines
        if line.at <= end
        # An evacuation may have begun long before.
        and (line.at >= begin or line.decision == "zone")
        and not line.is_about(job_id)
        and _is_relevant(line, executors, daemons)
    ]
    return sorted([*job_lines, *context], key=lambda line: line.at)


def _lines_of_job(lines: Iterable[LogLine], job_id: str) -> list[LogLine]:
    return [line for line in lines if line.is_about(job_id)]


def _until_final(lines: Sequence[LogLine]) -> Sequence[LogLine]:
    """Drop the lines that later terms and calls wrote after the job ended."""
    for index, line in enumerate(lines):
        if line.decision == "job" and line.outcome in FINAL_STATES:
            return lines[: index + 1]
    return lines


def _executors(lines: Iterable[LogLine]) -> set[str]:
    placed = {line.outcome for line in lines if line.decision == "place"}
    named = {line.inputs["executor"] for line in lines if "executor" in line.inputs}
    return placed | {str(executor) for executor in named}


def _is_relevant(line: LogLine, executors: set[str], daemons: set[str]) -> bool:
    if line.decision:
        return line.decision in ("role", "zone") or bool(
            executors & {line.subject, str(line.inputs.get("executor", ""))}
            and line.decision in ("crash", "executor", "upkeep")
        )
    if line.subject.startswith(STORE_MESSAGES):
        return line.daemon in daemons
    if any(message in line.subject for message in ROLE_MESSAGES):
        return True
    words = line.subject.replace(":", " ").split()
    return words[:1] == ["executor"] and words[1:2] != [] and words[1] in executors


def findings(lines: Sequence[LogLine], job_id: str) -> list[str]:
    """Return the findings on a job's lines, one sentence each."""
    job_lines = _lines_of_job(lines, job_id)
    if not job_lines:
        return ["no daemon logged anything about this job"]
    return [
        *_call_causes(job_lines, lines),
        *_wait_causes(job_lines, lines),
        *_lost_run_causes(job_lines, lines),
        *_failure_causes(job_lines),
        _final_state(job_lines),
    ]


def _call_causes(job_lines: Sequence[LogLine], lines: Sequence[LogLine]) -> list[str]:
    found = []
    for line in job_lines:
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
            outage_s = (line.at - lost[-1].at).total_seconds()
            text += f"; its store was lost {outage_s:.1f} s before"
        found.append(text)
    return found


def _wait_causes(job_lines: Sequence[LogLine], lines: Sequence[LogLine]) -> list[str]:
    first = next((line for line in job_lines if line.decision == "place"), None)
    if first is None:
        return []
    waited_ms = int(first.inputs.get("age_ms", 0))
    if waited_ms < LONG_WAIT_MS:
        return []
    accepted_at = first.at - timedelta(milliseconds=waited_ms)
    text = f"it waited {waited_ms / 1000:.1f} s for its first assignment"
    evacuated = sorted(
        {
            line.subject
            for line in lines
            if line.decision == "zone"
            and line.outcome == "evacuated"
            and line.at <= first.at
            and not _readmitted(line, lines, accepted_at)
        }
    )
    if evacuated:
        text += f"; zone evacuated: {', '.join(evacuated)}"
    takeovers = [
        line
        for line in lines
        if "placing begins" in line.subject and accepted_at <= line.at <= first.at
    ]
    if takeovers:
        takeover_s = (takeovers[-1].at - accepted_at).total_seconds()
        text += f"; {takeovers[-1].daemon} took over placing after {takeover_s:.1f} s"
    else:
        text += "; the placing daemon did not change: its pool had no free capacity"
    return [text]


def _readmitted(
    evacuation: LogLine, lines: Sequence[LogLine], before: datetime
) -> bool:
    """Tell whether an evacuated zone was readmitted before a time."""
    return any(
        line.decision == "zone"
        and line.subject == evacuation.subject
        and line.outcome == "readmitted"
        and evacuation.at <= line.at <= before
        for line in lines
    )


def _lost_run_causes(
    job_lines: Sequence[LogLine], lines: Sequence[LogLine]
) -> list[str]:
    found = []
    for line in job_lines:
        if line.decision != "end" or line.outcome not in ("lost", "lapsed", "stalled"):
            continue
        executor = str(line.inputs.get("executor", ""))
        text = f"{line.subject} was {line.outcome} on {executor}"
        # A poll logs the reason shortly before or after the end of the run.
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
            if not other.is_about(line.subject.partition(".")[0])
            and abs(other.at - line.at) <= CONTEXT_TIME
        ]
        if reasons:
            reason = reasons[-1]
            cause = f"{reason.decision} {reason.outcome}".strip() or reason.subject
            text += f" ({cause})"
        found.append(text)
    return found


def _failure_causes(job_lines: Sequence[LogLine]) -> list[str]:
    executors_by_task: dict[str, list[str]] = defaultdict(list)
    for line in job_lines:
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
    for line in job_lines:
        if line.decision == "crash" and line.outcome == "given-up":
            crashes, last = line.inputs.get("crashes"), line.inputs.get("executor")
            found.append(
                f"{line.subject} was given up: {crashes} executors crashed under it,"
                f" at last {last}"
            )
    return found


def _final_state(job_lines: Sequence[LogLine]) -> str:
    states = [line for line in job_lines if line.decision == "job"]
    if not states:
        return "no placing daemon logged its state"
    last = states[-1]
    if last.outcome == "found":
        return f"it was {last.inputs.get('state', 'pending')} when last loaded"
    age = last.inputs.get("age_ms")
    text = f"it ended as {last.outcome}" + (f" after {age / 1000:.1f} s" if age else "")
    expected, ran = last.inputs.get("expected_ms"), last.inputs.get("run_ms")
    if expected and ran:
        text += f"; its critical path was expected to take {expected} ms and took {ran}"
    return text
