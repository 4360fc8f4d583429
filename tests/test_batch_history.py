"""Reconstruction of the history of jobs and pools from the daemons' logs."""

from __future__ import annotations

import json

import pytest
from click.testing import CliRunner

from pomeloyard.batch.job_history import findings, parse_line, timeline
from pomeloyard.batch.wait_history import Ages, Group, wait_history
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


def found(second, job, team="nets", queue="q", daemon="d-1"):
    return decision(second, daemon, "job", job, "found", queue=queue, team=team)


def completed(second, job, age_ms, team="nets", queue="q"):
    inputs = {"queue": queue, "team": team, "age_ms": age_ms}
    return decision(second, "d-1", "job", job, "completed", **inputs)


def placed(second, job, age_ms, task=0):
    task_name = f"{job}.0.0.{task}"
    return decision(second, "d-1", "place", task_name, "i-1", run=1, age_ms=age_ms)


def test_waits_are_counted_by_queue_and_team():
    history = wait_history(
        parse(
            *(found(1, f"a{n}") for n in range(20)),
            *(placed(2, f"a{n}", 100 * n) for n in range(20)),
            *(completed(3, f"a{n}", 1000 + 100 * n) for n in range(10)),
            found(1, "b1", team="rails"),
            found(1, "c1", queue="p"),
        )
    )
    first, nets, rails = history.groups
    assert (first.group, nets.group) == (Group("p", "nets"), Group("q", "nets"))
    assert nets.found == 20
    assert nets.at_first_task == Ages(20, 900, 1800)
    assert nets.at_completion == Ages(10, 1400, 1900)
    # Jobs that still wait must not look like jobs that did not wait.
    assert (rails.found, rails.at_first_task) == (1, Ages(0, None, None))
    assert history.unattributed_jobs == 0


def test_a_job_counts_once_whatever_terms_found_it_and_tasks_it_has():
    """Guards against a takeover or a retried task that looks like a further wait."""
    (row,) = wait_history(
        parse(
            placed(9, JOB, 4000, task=1),
            found(1, JOB),
            placed(2, JOB, 700),
            found(8, JOB, daemon="d-2"),
            completed(10, JOB, 5000),
        )
    ).groups
    assert (row.found, row.at_first_task) == (1, Ages(1, 700, 700))
    assert row.at_completion == Ages(1, 5000, 5000)


def test_only_completed_jobs_count_as_completed():
    inputs = {"queue": "q", "team": "nets", "age_ms": 10}
    lines = [decision(1, "d-1", "job", JOB, "cancelled", **inputs)]
    lines.append(decision(1, "d-1", "job", "ffff", "failed", **inputs))
    (row,) = wait_history(parse(*lines)).groups
    assert row.at_completion.jobs == 0


def test_jobs_without_a_line_that_names_their_queue_are_told_apart():
    """The line of a job that was found is missing if the log is cut or was full."""
    history = wait_history(parse(placed(1, JOB, 10), placed(1, JOB, 10, task=1)))
    assert (history.groups, history.unattributed_jobs) == ([], 1)
    lines = parse(placed(1, JOB, 10), completed(2, JOB, 900))
    (row,) = wait_history(lines).groups
    assert (row.found, row.at_first_task.jobs, row.at_completion.jobs) == (0, 1, 1)


def test_lines_without_a_valid_age_are_ignored():
    lines = parse(found(1, JOB), placed(1, JOB, None), placed(1, JOB, "soon"))
    assert wait_history(lines).groups[0].at_first_task.jobs == 0


def test_the_waits_command_prints_who_waits(tmp_path):
    first, second = tmp_path / "d-1.log", tmp_path / "d-2.log"
    lines = [found(1, JOB), placed(2, JOB, 700), placed(2, "ffff", 5)]
    first.write_text("\n".join([*lines, "noise"]))
    second.write_text(completed(3, JOB, 1500) + "\n")
    arguments = ["--output", "json", "log", "waits", str(first), str(second)]
    result = CliRunner().invoke(cli, arguments)
    assert result.exit_code == 0
    assert json.loads(result.stdout) == [
        {
            "queue": "q",
            "team": "nets",
            "found": 1,
            "begun": 1,
            "wait_median_ms": 700,
            "wait_p95_ms": 700,
            "completed": 1,
            "age_median_ms": 1500,
            "age_p95_ms": 1500,
        }
    ]
    assert "1 jobs: no line names their queue and team" in result.stderr


def test_the_waits_command_fails_without_lines_about_jobs(tmp_path):
    output = tmp_path / "d-1.log"
    output.write_text(message(1, "daemon starts"))
    result = CliRunner().invoke(cli, ["log", "waits", str(output)])
    assert result.exit_code == 1
