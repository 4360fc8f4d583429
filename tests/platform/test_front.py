"""Requests of callers, documents of operators and the settings file."""

from __future__ import annotations

import json
from datetime import timedelta

import anyio
import pytest

from pomeloyard.batch.configuration_follower import ConfigurationFollower, DocumentError
from pomeloyard.batch.decision_log import MAX_LINES_PER_SECOND, JobDecisionLog
from pomeloyard.batch.job_service import JobService
from pomeloyard.batch.metrics import BatchMetrics
from pomeloyard.batch.placing import PlacingRole
from pomeloyard.errors import RefusedError, SettingsError
from pomeloyard.logs import LogWriter
from pomeloyard.platform.caller_app import (
    CallerApp,
    MetricsApp,
    ReadinessApp,
    decode_job,
)
from pomeloyard.platform.documents import PlatformDocuments, RegistrationDocuments
from pomeloyard.platform.settings import read_settings
from tests.support.asgi import Response
from tests.support.batch_world import World

pytestmark = pytest.mark.anyio
CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "hostname": "a.example",
            "prefix": "/q/",
            "service": "s",
            "max_attempts": 3,
            "stretch": 1.6,
            "slo_ms": 600,
        },
        {
            "name": "r-2",
            "hostname": "a.example",
            "prefix": "/q/open/",
            "service": "s",
            "public": True,
        },
    ],
    "services": [{"name": "s"}, {"name": "off", "standby": True}],
    "tenants": [
        {
            "name": "t",
            "api_keys": ["k"],
            "weight": 3,
            "maximum": {"cpu": 5, "mem_mb": 6, "gpu": 0},
        }
    ],
}
JOB = {"task_spec": "text", "steps": [{"count": 2, "cpu": 500, "mem_mb": 10}]}


@pytest.fixture
def anyio_backend():
    return "asyncio"


class Caller:
    def __init__(self):
        self.world = World()
        clock = self.world.clock
        self.follower = ConfigurationFollower(
            clock, self.world.store, PlatformDocuments()
        )
        decision_log = JobDecisionLog(clock, LogWriter(clock), "d")
        self.caller_app = CallerApp(
            clock,
            self.follower,
            JobService(clock, self.world.store, self.follower),
            decision_log,
            timedelta(seconds=2),
            timedelta(seconds=5),
        )

    async def publish(self, config):
        await self.world.put("op/config", json.dumps(config).encode())
        await self.follower._load_all()
        self.follower._confirmed_at = self.world.clock.monotonic()

    async def call(
        self,
        method,
        path,
        body=b"",
        key="k",
        app=None,
        host="a.example",
        timeout_ms=3000,
    ):
        scope = {
            "type": "http",
            "method": method,
            "path": path,
            "headers": [
                (b"host", host.encode()),
                (b"x-credential", key.encode()),
                (b"x-deadline-ms", str(timeout_ms).encode()),
            ],
        }
        response = Response()
        content = body if isinstance(body, bytes) else json.dumps(body).encode()

        async def receive():
            return {"type": "http.request", "body": content, "more_body": False}

        async def send(message):
            if message["type"] == "http.response.start":
                response.status = message["status"]
                response.headers = dict(message["headers"])
            else:
                response.body += message["body"]

        await (app or self.caller_app)(scope, receive, send)
        return response


async def test_a_job_is_submitted_queried_and_cancelled():
    caller = Caller()
    await caller.publish(CONFIG)
    assert (await caller.call("GET", "/q/00ab")).status == 410
    assert (await caller.call("POST", "/q/00ab", JOB)).status == 200
    assert (await caller.call("GET", "/q/00ab")).json == {"state": "pending"}
    assert (await caller.call("GET", "/q/")).json == {"waiting": 1}
    assert (await caller.call("DELETE", "/q/00ab")).status == 200
    assert (await caller.call("DELETE", "/q/00ac")).status == 410


async def test_keys_routes_and_bad_bodies():
    caller = Caller()
    await caller.publish(CONFIG)
    assert (await caller.call("POST", "/q/1", JOB, key="x")).status == 401
    assert (await caller.call("POST", "/nowhere/1", JOB)).status == 404
    assert (await caller.call("POST", "/q/1", JOB, host="b.example")).status == 404
    assert (await caller.call("POST", "/q/open/1", JOB, key="")).status == 200
    for body in (b"{", {"steps": []}, {"steps": [{"count": "x"}]}, {}):
        assert (await caller.call("POST", "/q/2", body)).status == 400
    assert (await caller.call("GET", "/q/2")).status == 410


async def test_a_daemon_with_unverified_configuration_refuses_and_is_not_ready():
    caller = Caller()
    ready = ReadinessApp(caller.caller_app)
    assert (await caller.call("POST", "/q/1", JOB)).status == 503
    assert (await caller.call("GET", "/ready", app=ready)).status == 503
    await caller.publish(CONFIG)
    assert (await caller.call("GET", "/ready", app=ready)).status == 200
    caller.world.clock.advance(timedelta(seconds=2))
    response = await caller.call("POST", "/q/1", JOB)
    assert response.status == 503
    assert response.headers[b"retry-after"] == b"1"
    assert response.headers[b"connection"] == b"close"
    assert (await caller.call("GET", "/ready", app=ready)).status == 503


async def test_metrics_count_calls_and_decisions():
    caller = Caller()
    role = PlacingRole(None)
    decision_log = caller.caller_app._decision_log
    metrics = BatchMetrics(
        decision_log,
        LogWriter(caller.world.clock),
        caller.world.store.calls,
        caller.follower,
        role,
    )
    caller.caller_app._metrics = metrics
    await caller.publish(CONFIG)
    await caller.call("POST", "/q/1", JOB)
    text = (await caller.call("GET", "/", app=MetricsApp(metrics))).body.decode()
    assert 'pomeloyard_call_seconds_count{method="POST",status="200"} 1.0' in text
    assert 'pomeloyard_decisions_total{kind="call",outcome="200"} 1.0' in text
    assert "pomeloyard_placing_epoch 0.0" in text


async def test_the_log_rate_is_limited_and_suppressed_lines_are_counted():
    world = World()
    for number in range(MAX_LINES_PER_SECOND + 50):
        world.decision_log.record("call", str(number), "200")
    assert world.decision_log.dropped_lines == 50
    world.clock.advance(timedelta(seconds=1))
    world.decision_log.record("call", "x", "200")
    assert world.decision_log.dropped_lines == 50


async def test_a_withdrawn_key_stops_working():
    caller = Caller()
    await caller.publish(CONFIG)
    await caller.call("POST", "/q/1", JOB)
    await caller.publish({**CONFIG, "version": 9, "tenants": []})
    for method in ("GET", "POST", "DELETE"):
        assert (await caller.call(method, "/q/1", JOB)).status == 401


def test_all_fields_of_a_step_are_decoded():
    step = {
        "count": 2,
        "cpu": 1,
        "mem_mb": 2,
        "gpu": 3,
        "est_ms": 4,
        "saves_progress": True,
        "gang": True,
        "same_rack": True,
        "requirements": "ssd",
        "affinity": "r1-3",
        "max_per_server": 5,
        "speculative": True,
        "long_running": True,
        "image": "im",
        "target_ms": 6,
        "fills": True,
        "may_miss": 7,
    }
    spec = decode_job(json.dumps({"task_spec": "p", "steps": [step]}).encode())
    (decoded,) = spec.steps
    assert (decoded.label, decoded.data_rack, decoded.may_be_away) == ("ssd", "r1-3", 7)
    assert decoded.executor_usage.cpu_millis == 0
    assert decoded.team_usage.cpu_millis == 1


@pytest.mark.parametrize("body", [b"", b"[]", b'{"steps":[{"count":1,"cpu":"x"}]}'])
def test_an_invalid_job_is_refused(body):
    with pytest.raises(RefusedError):
        decode_job(body)


@pytest.mark.parametrize(
    "change",
    [
        {"state": "asleep"},
        {"address": "nowhere"},
        {"capacity": None},
        {"labels": "r1"},
        {"service": 4},
    ],
)
def test_an_invalid_registration_is_refused(change):
    entry = {
        "service": "s",
        "address": "10.0.0.1:80",
        "zone": "z",
        "state": "ready",
        "capacity": {"cpu": 1, "mem_mb": 2, "gpu": 0},
        "labels": ["a", "r1-2"],
        "sequence": 3,
        "born": 99,
    }
    documents = RegistrationDocuments()
    good = documents.executor("servers/i-1", json.dumps(entry).encode())
    assert (good.executor_id, good.rack, good.incarnation) == ("i-1", "r1-2", 99)
    with pytest.raises(DocumentError):
        documents.executor("servers/i-1", json.dumps({**entry, **change}).encode())


def test_documents_of_operators():
    documents = PlatformDocuments()
    config = documents.configuration(json.dumps(CONFIG).encode())
    assert config.queue_at("a.example", "/q/open/1").name == "r-2"
    assert config.queue_at("a.example", "/q/1").objective == timedelta(seconds=0.6)
    assert config.team_by_key == {"k": "t"}
    assert config.pools_by_name["off"].standby
    wave = {"wave": 2, "machines": ["m"], "complete_by_s": 20, "maximum": 1}
    decoded = documents.wave("op/wave/2", json.dumps(wave).encode())
    assert decoded.complete_by == timedelta(seconds=20)
    assert documents.wave("op/other", b"") is None
    with pytest.raises(DocumentError):
        documents.configuration(b"{}")


def test_settings_are_read_or_refused_with_a_reason(tmp_path):
    file = tmp_path / "boot.json"
    with pytest.raises(SettingsError):
        read_settings(file)
    file.write_text("{}")
    with pytest.raises(SettingsError, match="node_name"):
        read_settings(file)
    content = {
        "node_name": "edge-1",
        "ip": "10.0.0.1",
        "zone": "z",
        "listen_addrs": {"front": "10.0.0.1:1", "ready_addr": "10.0.0.1:2"},
        "platform": {"address": "10.0.0.9:3"},
        "bounds": {"config_ms": 3000, "unknown": True},
        "later": "ignored",
    }
    file.write_text(json.dumps(content))
    settings = read_settings(file)
    assert settings.config_bound == timedelta(seconds=3)
    assert settings.vm_service_address == ""


@pytest.mark.parametrize(
    ("method", "path", "status"),
    [
        ("POST", "/q/00ab", 504),
        ("DELETE", "/q/00ab", 504),
        ("GET", "/q/00ab", 503),
        ("GET", "/q/", 503),
    ],
)
async def test_a_call_is_answered_before_its_caller_times_out(method, path, status):
    # Soak seeds 70 and 78: a call hung for over 3 s while the store was unreachable.
    caller = Caller()
    await caller.publish(CONFIG)

    async def hang(*args, **kwargs):
        await anyio.sleep(60)

    for name in ("get", "commit", "scan"):
        setattr(caller.world.store, name, hang)
    with anyio.fail_after(5):
        response = await caller.call(method, path, JOB, timeout_ms=250)
    assert response.status == status
