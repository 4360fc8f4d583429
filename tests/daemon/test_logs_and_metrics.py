"""Slow and failing log destinations, metrics and readiness."""

from __future__ import annotations

import json
import os
import re
import time
from datetime import timedelta
from pathlib import Path

import anyio
import logbook
import pytest
from prometheus_client.parser import text_string_to_metric_families

from pomeloyard.clock import ManualClock
from pomeloyard.decisions import Candidate, Decision, DecisionKind
from pomeloyard.keys import KeyRing, new_key
from pomeloyard.logs import DecisionSink, JsonLogHandler, LogWriter
from pomeloyard.metrics import RequestMetrics, problem_outcome
from pomeloyard.monitoring import monitoring_app
from pomeloyard.outcomes import RefusalReason
from tests.operators.test_operator_app import Operator, fleet_config
from tests.support.asgi import call_app


def decision():
    candidate = Candidate("orders-e1", RefusalReason.LIMIT_REACHED, 0.5)
    at = ManualClock().now()
    reason = RefusalReason.NO_EXECUTOR
    return Decision(
        at, DecisionKind.ROUTE, "service/orders", "", reason, (candidate,), {"n": 1}
    )


def test_decision_line_has_candidates_choice_and_typed_reason(tmp_path):
    writer = LogWriter(ManualClock(), str(tmp_path / "log"))
    DecisionSink(writer)(decision())
    with JsonLogHandler(writer):
        logbook.Logger("pomeloyard.test").info("started {}", 3)
        logbook.Logger("pomeloyard.test").info("bad {} {}", 1)
    writer.close()
    lines = [json.loads(line) for line in (tmp_path / "log").read_text().splitlines()]
    assert lines[0]["reason"] == "no-executor"
    assert lines[0]["candidates"][0]["reason"] == "limit-reached"
    assert lines[1]["message"] == "started 3"
    assert len(lines) == 2
    assert writer.dropped_lines == 1


@pytest.fixture
def pipe_writer():
    """Yield a writer to a pipe, and the pipe's read end."""
    reader, end = os.pipe()
    writer = LogWriter(ManualClock(), max_lines=1000)
    writer._descriptor = end
    yield writer, reader
    os.close(end)


def test_reader_that_never_reads_does_not_block_and_lines_are_counted(pipe_writer):
    writer, reader = pipe_writer
    started = time.monotonic()
    for number in range(3000):
        writer.put(b"%d " % number + b"x" * 400)
        if number % 10 == 0:
            writer.flush()
    assert time.monotonic() - started < 5.0  # a blocking write would never return
    assert writer.dropped_lines > 1000
    content = b""
    while writer.queued_lines or writer._unwritten:
        content += os.read(reader, 1 << 20)
        writer.flush()
    content += os.read(reader, 1 << 20)
    numbers = [int(line.split()[0]) for line in content.splitlines()]
    assert numbers == sorted(numbers)
    assert len(numbers) + writer.dropped_lines == 3000
    os.close(reader)


def test_closed_reader_is_counted_and_does_not_raise(pipe_writer):
    writer, reader = pipe_writer
    os.close(reader)
    writer.put(b"lost")
    writer.flush()
    assert writer.written_bytes == 0


def test_absent_directory_is_tried_again_later(tmp_path):
    clock = ManualClock()
    writer = LogWriter(clock, str(tmp_path / "later" / "log"))
    writer.put(b"kept")
    writer.flush()
    writer.flush()
    assert writer.failed_writes == 1
    (tmp_path / "later").mkdir()
    clock.advance(timedelta(seconds=2))
    writer.close()
    assert (tmp_path / "later" / "log").read_bytes() == b"kept\n"


def test_requests_are_counted_by_service_team_and_outcome():
    operator = Operator()
    operator.publish(fleet_config(), 0)
    metrics = operator.daemon.metrics
    key, record = new_key(team="mill")
    operator.state.keys = KeyRing().with_key(record)

    async def app(scope, receive, send):
        if scope["path"].endswith("cut"):
            raise ConnectionResetError
        body = b'{"type": "urn:pomeloyard:not-found", "outcome": "not-run"}'
        headers = [(b"content-type", b"application/problem+json")]
        await send({"type": "http.response.start", "status": 404, "headers": headers})
        await send({"type": "http.response.body", "body": body})

    counted = RequestMetrics(app, metrics, operator.clock, operator.state)
    anyio.run(call_app, counted, "GET", "/v1/services/x/quote", key)
    with pytest.raises(ConnectionResetError):
        anyio.run(call_app, counted, "GET", "/v1/services/x/cut", "py1.guess.x")
    operator.daemon.decisions.record(decision())
    monitoring = monitoring_app(metrics, list)
    text = anyio.run(call_app, monitoring, "GET", "/metrics").body.decode()
    families = {f.name: f for f in text_string_to_metric_families(text)}
    requests = [s.labels for s in families["pomeloyard_requests"].samples]
    assert [(r["service"], r["team"], r["outcome"]) for r in requests] == [
        ("", "mill", "not-run:not-found"),
        ("", "", "aborted"),
    ]
    assert families["pomeloyard_config_revision"].samples[0].value == 1
    decided = [
        s
        for s in families["pomeloyard_decisions"].samples
        if s.labels["kind"] == "route"
    ]
    assert decided[0].labels["reason"] == "no-executor"


@pytest.mark.parametrize(
    "body",
    [
        b"not json",
        b"[]",
        b'{"type": 3, "outcome": "not-run"}',
        b'{"type": "urn:own:error", "outcome": "not-run"}',
        b'{"type": "urn:pomeloyard:not-found", "outcome": "label"}',
        b'{"type": ["not-found"], "outcome": ["x"]}',
    ],
)
def test_problems_of_executors_make_no_labels(body):
    assert problem_outcome(body) == "done"


def test_readiness_states_typed_reasons():
    daemon = Operator().daemon
    app = monitoring_app(daemon.metrics, daemon._not_ready_reasons)
    answer = anyio.run(call_app, app, "GET", "/readyz")
    assert answer.status == 503
    assert answer.json["reasons"] == ["no-configuration", "no-vm-list"]


def test_alarms_page_names_only_metrics_that_exist():
    page = (Path(__file__).parents[2] / "docs/operators/alarms.md").read_text()
    operator = Operator()
    operator.daemon.metrics.count_request("orders", "mill", "done", timedelta(0))
    operator.state.failed_authentications["key-invalid"] += 1
    text = operator.daemon.metrics.text().decode()
    named = set(re.findall(r"pomeloyard_\w+", page))
    assert len(named) > 8
    missing = [n for n in named if f"{n}{{" not in text and f"{n} " not in text]
    assert [
        n for n in missing if f"# TYPE {n.removesuffix('_total')}" not in text
    ] == []
