"""Messages with fields that are missing, of the wrong type or out of range."""

from __future__ import annotations

import copy
import json
import random
from datetime import timedelta

import pytest

from pomeloyard.batch.configuration_follower import DocumentError
from pomeloyard.batch.executors import Executor, StartOrder
from pomeloyard.batch.model import Resources, StepSpec, check_spec
from pomeloyard.errors import CallNotSentError, CallUnansweredError, RefusedError
from pomeloyard.platform.advice import PlatformAdvice
from pomeloyard.platform.caller_app import decode_job
from pomeloyard.platform.documents import PlatformDocuments, RegistrationDocuments
from pomeloyard.platform.executors import PlatformExecutors
from pomeloyard.platform.http import Response
from pomeloyard.platform.vms import PlatformVms
from tests.support.batch_world import World

pytestmark = pytest.mark.anyio
SEEDS = range(400)
SECOND = timedelta(seconds=1)
ODD = [None, "", "x", -1, 0, 1.5, 1e300, -1e300, 10**30, True, [], {}, [[]], "\u2603"]

CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "r",
            "hostname": "h",
            "prefix": "/p/",
            "service": "s",
            "priority": 1,
            "max_attempts": 3,
            "stretch": 1.6,
            "slo_ms": 600,
            "advice": {"decide_ms": 1, "each_ms": 1, "valid_ms": 10},
        }
    ],
    "services": [{"name": "s", "standby": True}],
    "tenants": [{"name": "t", "api_keys": ["k"], "maximum": {"cpu": 1}}],
    "limits": {"max_body_bytes": 1000},
}
WAVE = {"wave": 3, "machines": ["m"], "complete_by_s": 25.0, "maximum": 4}
ENTRY = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "z",
    "state": "ready",
    "capacity": {"cpu": 1, "mem_mb": 1, "gpu": 0},
    "labels": ["a", "r1"],
    "sequence": 1,
    "born": 5,
}
LISTS = {
    "clock_ms": 2000,
    "born": 77,
    "running": [["a", 1, "s", 40, 12]],
    "ended": [[4, "c", 1, "done", ""]],
    "remaining_ms": 100,
}
STARTED = {"clock_ms": 1, "reason": "room"}
MACHINES = {
    "machines": [{"machine": "m", "pool": "p", "state": "up", "id": "i"}],
    "next_token": None,
}
ADVICE = {"good": [["i-1", "t-1"]], "valid_ms": 3000}
JOB = {
    "task_spec": "text",
    "steps": [
        {"count": 4, "cpu": 500, "mem_mb": 256, "est_ms": 900, "affinity": "r1"},
        {"count": 2, "after": [0], "saves_progress": True},
    ],
    "first_ms": 1,
    "interval_ms": 1,
    "repeat_count": 2,
}


def corrupted(message, seed):
    """Return the encoded message with one or two random changes, or truncated."""
    rng = random.Random(seed)
    message = copy.deepcopy(message)
    for _ in range(rng.choice([1, 1, 2])):
        node = message
        while True:
            keys = list(node) if isinstance(node, dict) else list(range(len(node)))
            if not keys:
                break
            key = rng.choice(keys)
            if isinstance(node[key], dict | list) and rng.random() < 0.7:
                node = node[key]
                continue
            if rng.random() < 0.2 and isinstance(node, dict):
                del node[key]
            else:
                node[key] = copy.deepcopy(rng.choice(ODD))
            break
    content = json.dumps(message).encode()
    if rng.random() < 0.1:
        content = content[: rng.randrange(len(content))]
    return content


class Caller:
    """Returns the same response to every call."""

    def __init__(self, content, status=200):
        self.response = Response(status, content)

    async def request(self, *args, **options):
        return self.response


@pytest.fixture
def anyio_backend():
    return "asyncio"


@pytest.mark.parametrize(
    ("message", "decode"),
    [
        (CONFIG, PlatformDocuments().configuration),
        (WAVE, lambda content: PlatformDocuments().wave("op/wave/3", content)),
        (ENTRY, lambda content: RegistrationDocuments().executor("servers/i", content)),
    ],
    ids=["configuration", "wave", "registration"],
)
def test_documents_in_the_store_are_decoded_or_rejected(message, decode):
    decode(json.dumps(message).encode())
    for seed in SEEDS:
        try:
            decode(corrupted(message, seed))
        except DocumentError:
            continue


NESTED = b'{"x":' + b"[" * 100_000 + b"]" * 100_000 + b"}"


@pytest.mark.parametrize(
    ("decode", "error"),
    [
        (PlatformDocuments().configuration, DocumentError),
        (lambda body: PlatformDocuments().wave("op/wave/3", body), DocumentError),
        (
            lambda body: RegistrationDocuments().executor("servers/i", body),
            DocumentError,
        ),
        (decode_job, RefusedError),
    ],
    ids=["configuration", "wave", "registration", "job"],
)
def test_deep_nesting_is_rejected_like_any_other_malformed_message(decode, error):
    # The decoder's RecursionError ended the placing term of every daemon in turn after
    # one such registration.
    with pytest.raises(error):
        decode(NESTED)


async def test_a_job_with_a_negative_estimate_is_refused():
    job = {**JOB, "steps": [{"count": 2, "cpu": 500, "est_ms": -1}]}
    with pytest.raises(RefusedError, match="estimate"):
        check_spec(decode_job(json.dumps(job).encode()))


@pytest.mark.parametrize("estimate_ms", [-1, 2**62])
@pytest.mark.parametrize("known_queue", [False, True])
async def test_an_absurd_estimate_of_a_stored_job_ends_no_term(
    monkeypatch, estimate_ms, known_queue
):
    # A negative estimate, or one beyond what a duration holds, ended the placing term
    # of each daemon in turn. An older build has stored such jobs.
    monkeypatch.setattr("pomeloyard.batch.job_service.check_spec", lambda spec: None)
    world = World(executors=2)
    async with world.running() as term:
        if known_queue:
            await world.submit("w1", StepSpec(2, 500, 100, estimate_ms=1000))
            await world.run_for(3)
        await world.submit("a1", StepSpec(2, 500, 100, estimate_ms=estimate_ms))
        await world.run_for(1)
        await world.submit("b1", StepSpec(2, 500, 100, estimate_ms=1000))
        assert await world.run_for(4, lambda: world.state("b1").value == "completed")
        assert not term._ended.is_set()


async def test_responses_that_are_nested_deeply_count_as_unanswered():
    caller = Caller(NESTED)
    executor = Executor("e", "e:1", "s", "z", Resources(1), (), False, 1)
    calls = [
        lambda: PlatformExecutors(caller).poll(
            executor,
            fence=1,
            acknowledged=0,
            lease_until=None,
            wait=SECOND,
            timeout=SECOND,
        ),
        lambda: PlatformVms(caller, "a:1").list(),
        lambda: PlatformAdvice(caller, "a:1").advise("s", ("e",), SECOND),
    ]
    for call in calls:
        with pytest.raises(CallUnansweredError):
            await call()


def test_a_job_is_accepted_or_refused():
    check_spec(decode_job(json.dumps(JOB).encode()))
    for seed in SEEDS:
        try:
            check_spec(decode_job(corrupted(JOB, seed)))
        except RefusedError:
            continue


async def test_responses_of_peers_are_decoded_or_count_as_unanswered():
    executor = Executor("i", "a:1", "s", "z", Resources(1), (), False, 5)
    order = StartOrder("a1.0.0.0", 2, "text", "cp", 9 * SECOND, 7)
    for seed in SEEDS:
        random.seed(seed)
        calls = (
            lambda content: PlatformExecutors(Caller(content)).poll(
                executor,
                fence=1,
                acknowledged=0,
                lease_until=None,
                wait=SECOND,
                timeout=SECOND,
            ),
            lambda content: PlatformVms(Caller(content), "a:1").list(),
            lambda content: PlatformAdvice(Caller(content), "a:1").advise(
                "a1.0.0", ["i"], SECOND
            ),
            lambda content: PlatformExecutors(
                Caller(content, random.choice([200, 409]))
            ).start(executor, order, SECOND),
        )
        messages = (LISTS, MACHINES, ADVICE, STARTED)
        for message, call in zip(messages, calls, strict=True):
            try:
                await call(corrupted(message, seed))
            except (CallUnansweredError, CallNotSentError):
                continue
