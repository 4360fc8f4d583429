"""Reconstruction of the history of jobs and pools from the daemons' logs."""

from __future__ import annotations

import json

import pytest
from click.testing import CliRunner

from pomeloyard.batch.job_history import findings, parse_line, timeline
from pomeloyard.cli.main import cli

JOB = "5b3041f9338636bd"


def decision(second, daemon, kind, subject, outcome, **inputs):
    at = f"2026-12-04T06:00:{second:09.6f}Z"
    head = {"at": at, "daemon": daemon, "decision": kind, "subject": subject}
    return json.dumps({**head, "outcome": outcome, **inputs})


def message(second, text):
    return json.dumps({"at": f"2026-12-04T06:00:{second:09.6f}", "message": text})


def parse(*texts, source="d-1"):
    return [parse_line(text, source) for text in texts]


def causes_of(lines):
    return findings(timeline(lines, JOB), JOB)


def test_an_unknown_outcome_is_explained_by_a_store_outage():
    lines = parse(
        message(18.0, "store lost GET /x: TimeoutError()"),
        decision(
            18.6, "d-1", "call", JOB, "504", method="POST", detail="may be stored"
        ),
    )
    (text, state) = causes_of(lines)
    assert "504 by d-1" in text
    assert "may have taken effect" in text
    assert "store was lost 0.6 s before" in text
    assert state == "no placing daemon logged its state"


def test_a_job_that_waited_for_an_evacuated_zone_says_so():
    lines = parse(
        decision(1.0, "d-1", "zone", "bulacan", "evacuated"),
        decision(2.0, "d-1", "zone", "laguna", "evacuated"),
        decision(3.0, "d-1", "zone", "laguna", "readmitted"),
        decision(20.0, "d-1", "call", JOB, "200", method="POST"),
        decision(24.0, "d-1", "place", f"{JOB}.0.0.1", "i-1", run=1, age_ms=3900),
    )
    (text, _) = causes_of(lines)
    assert "it waited 3.9 s" in text
    assert "zone evacuated: bulacan;" in text


def test_a_refused_call_is_reported_as_without_effect():
    lines = parse(decision(1, "d-1", "call", JOB, "503", method="POST", detail="down"))
    assert "did not take effect" in causes_of(lines)[0]


def test_a_delayed_job_is_explained_by_a_takeover_of_placing():
    lines = parse(
        decision(9.0, "d-2", "call", JOB, "200", method="POST"),
        message(11.8, "placing begins, epoch 2"),
        decision(11.9, "d-1", "job", JOB, "found", state="pending"),
        decision(11.9, "d-1", "place", f"{JOB}.0.0.0", "i-1", run=1, age_ms=2900),
        decision(13.0, "d-1", "job", JOB, "completed", age_ms=4000),
        decision(40.0, "d-3", "job", JOB, "found", state="completed"),
    )
    assert causes_of(lines) == [
        "it waited 2.9 s for its first assignment; d-1 took over placing after 2.8 s",
        "it ended as completed after 4.0 s",
    ]


def test_a_delayed_job_without_a_takeover_waited_for_capacity():
    lines = parse(
        decision(11.9, "d-1", "place", f"{JOB}.0.0.0", "i-1", run=1, age_ms=2900)
    )
    assert "its pool had no free capacity" in causes_of(lines)[0]


def test_a_lost_run_is_explained_by_an_event_of_its_executor():
    task = f"{JOB}.0.0.4"
    lines = parse(
        decision(5.0, "d-1", "place", task, "i-9", run=1, age_ms=10),
        decision(6.0, "d-1", "upkeep", "m-1", "ordered", executor="i-9"),
        decision(6.1, "d-1", "end", task, "lost", executor="i-9", run=1),
        decision(6.2, "d-1", "upkeep", "m-2", "ordered", executor="i-8"),
    )
    assert f"{task} was lost on i-9 (upkeep ordered)" in causes_of(lines)


@pytest.mark.parametrize(
    ("executors", "expected"),
    [
        (("i-1", "i-2", "i-1"), "failed 3 times, on 2 executors"),
        (("i-1", "i-1", "i-1"), "failed 3 times, on i-1 only"),
    ],
)
def test_a_failed_job_is_explained_by_its_executors(executors, expected):
    task = f"{JOB}.0.0.0"
    lines = parse(
        *(
            decision(n, "d-1", "end", task, "failed", executor=executor, run=n)
            for n, executor in enumerate(executors, 1)
        ),
        decision(9, "d-1", "job", JOB, "failed", age_ms=1000),
    )
    assert causes_of(lines) == [f"{task} {expected}", "it ended as failed after 1.0 s"]


def test_lines_of_other_jobs_and_text_that_is_not_a_log_line_are_ignored():
    lines = parse(decision(1, "d-1", "job", "ffff", "found"))
    assert parse_line("Traceback (most recent call last):", "d-1") is None
    assert parse_line('{"at": "never"}', "d-1") is None
    assert timeline(lines, JOB) == []
    assert findings([], JOB) == ["no daemon logged anything about this job"]
    assert parse_line("  3.2 d-7 " + message(1, "x"), "file").daemon == "d-7"


def test_the_job_command_prints_the_lines_and_the_causes(tmp_path):
    first, second = tmp_path / "d-1.log", tmp_path / "d-2.log"
    first.write_text(
        decision(2, "d-1", "job", JOB, "cancelled", age_ms=900) + "\nnoise\n"
    )
    second.write_text(decision(1, "d-2", "call", JOB, "200", method="POST") + "\n")
    arguments = ["--output", "json", "log", "job", JOB, str(first), str(second)]
    result = CliRunner().invoke(cli, arguments)
    assert result.exit_code == 0
    rows = json.loads(result.stdout)
    assert [row["daemon"] for row in rows] == ["d-2", "d-1"]
    assert "it ended as cancelled after 0.9 s" in result.stderr
    unknown = CliRunner().invoke(cli, ["log", "job", "ffff", str(first)])
    assert unknown.exit_code == 1


def test_the_pools_command_prints_held_and_needed_vms_by_second(tmp_path):
    load = {"vm_cores": 64.0, "arriving": 0}
    output = tmp_path / "d-1.log"
    output.write_text(
        "\n".join(
            [
                decision(
                    1,
                    "d-1",
                    "pool",
                    "mill",
                    "load",
                    vms=6,
                    busy_cores=70.0,
                    waiting=0.0,
                    **load,
                ),
                decision(
                    2,
                    "d-1",
                    "pool",
                    "mill",
                    "load",
                    vms=4,
                    busy_cores=0.0,
                    waiting=9.5,
                    **load,
                ),
            ]
        )
    )
    result = CliRunner().invoke(cli, ["log", "pools", str(output)])
    assert result.exit_code == 0
    assert "9.5" in result.output
    assert "mill: 10 VM-seconds held, 2 needed" in result.output


def test_the_pools_command_fails_without_pool_lines(tmp_path):
    output = tmp_path / "d-1.log"
    output.write_text(message(1, "daemon starts"))
    result = CliRunner().invoke(cli, ["log", "pools", str(output)])
    assert result.exit_code == 1


def test_the_shares_command_prints_how_full_pools_were_divided(tmp_path):
    output = tmp_path / "d-1.log"
    held = "nets:90.0/40.0"
    output.write_text(decision(2, "d-1", "share", "mill", "divided", above=held))
    result = CliRunner().invoke(cli, ["log", "shares", str(output)])
    assert result.exit_code == 0
    assert held in result.output


def test_the_shares_command_fails_without_a_full_pool(tmp_path):
    output = tmp_path / "d-1.log"
    output.write_text(message(1, "daemon starts"))
    result = CliRunner().invoke(cli, ["log", "shares", str(output)])
    assert result.exit_code == 1


def test_a_job_says_how_long_it_was_expected_to_run_and_how_long_it_ran():
    times = {"age_ms": 4000, "expected_ms": 800, "run_ms": 3400}
    lines = parse(decision(4.0, "d-1", "job", JOB, "completed", **times))
    expected = "its critical path was expected to take 800 ms and took 3400"
    assert causes_of(lines) == [f"it ended as completed after 4.0 s; {expected}"]


def test_a_job_whose_task_crashed_executors_says_so():
    task = f"{JOB}.0.1.0"
    lines = parse(
        decision(1.0, "d-1", "place", task, "i-1", run=1, age_ms=10),
        decision(2.0, "d-1", "crash", "i-1", "gone", runs=3),
        decision(2.0, "d-1", "crash", task, "suspected", executor="i-1", crashes=1),
        decision(4.0, "d-1", "crash", task, "given-up", executor="i-2", crashes=2),
        decision(4.0, "d-1", "job", JOB, "failed", age_ms=4000),
    )
    expected = f"{task} was given up: 2 executors crashed under it, at last i-2"
    assert causes_of(lines) == [expected, "it ended as failed after 4.0 s"]
    assert any(line.subject == "i-1" for line in timeline(lines, JOB))
