"""Guards against caller input that causes an untyped error or reads foreign data."""

from __future__ import annotations

import json
from datetime import timedelta

import anyio
from hypothesis import given, settings
from hypothesis import strategies as st

from pomeloyard.callers.app import caller_app
from pomeloyard.clock import SystemClock
from pomeloyard.jobs.store import JobStore
from pomeloyard.keyvalue.memory import MemoryStore
from pomeloyard.outcomes import RefusalReason, UnknownReason

from .support.request_path import RequestPath

REASONS = {f"urn:pomeloyard:{r.value}" for r in (*RefusalReason, *UnknownReason)}
METHODS = st.sampled_from(["GET", "POST", "PUT", "PATCH", "DELETE", "HEAD", "TRACE"])
PATHS = st.one_of(
    st.sampled_from(
        [
            "/v1/services/orders/cut",
            "/v1/services/nowhere/x",
            "/v1/services/orders/../../jobs",
            "/v1/jobs",
            "/v1/jobs/cancel",
            "/v1/jobs/" + "0" * 24,
            "/v1/jobs/" + "0" * 24 + "/explain",
        ]
    ),
    st.text(max_size=40).map(lambda text: "/v1/" + text),
)
NAMES = st.sampled_from(
    [
        b"idempotency-key",
        b"request-timeout",
        b"priority",
        b"x-team",
        b"x-request-id",
        b"connection",
        b"content-length",
        b"content-type",
        b"transfer-encoding",
        b"authorization",
    ]
)
VALUES = st.one_of(
    st.binary(max_size=40),
    st.sampled_from([b"urgent", b"-1", b"nan", b"1e400", b"desk", b"Bearer py1.a.b"]),
)
HEADERS = st.lists(st.tuples(NAMES, VALUES), max_size=4)
BODIES = st.one_of(
    st.binary(max_size=200),
    st.sampled_from(
        [b"{}", b"[]", b'{"command": 7}', b'{"command": "x", "cores": NaN}']
    ),
    st.just(b'{"job_ids": ["' + b"a" * 24 + b'"]}'),
)


async def call(app, method, path, headers, body):
    raw = path.encode("utf-8", "surrogatepass")
    scope = {
        "type": "http",
        "http_version": "1.1",
        "method": method,
        "path": path,
        "raw_path": raw,
        "query_string": b"",
        "headers": headers,
    }
    messages_sent = []
    unread = [{"type": "http.request", "body": body, "more_body": False}]

    async def receive():
        if not unread:
            await anyio.sleep_forever()  # The caller stays connected.
        return unread.pop()

    async def send(message):
        messages_sent.append(message)

    with anyio.fail_after(5):
        await app(scope, receive, send)
    content = b"".join(message.get("body", b"") for message in messages_sent[1:])
    return messages_sent[0]["status"], dict(messages_sent[0]["headers"]), content


@settings(max_examples=200, deadline=None, derandomize=True)
@given(
    METHODS,
    PATHS,
    st.lists(st.tuples(NAMES, VALUES), max_size=4),
    BODIES,
    st.booleans(),
)
def test_any_input_gets_a_typed_answer(method, path, headers, body, with_key):
    async def check():
        clock = SystemClock()
        store = MemoryStore(clock)
        wait = timedelta(seconds=0.01)
        setup = RequestPath("a.1", {}, store, "127.0.0.1:1", queue_timeout=wait)
        jobs = JobStore(store, clock, lambda: setup.state.config)
        app = caller_app(setup.state, setup.requests, jobs)
        key = [(b"authorization", b"Bearer " + setup.key.encode())] if with_key else []
        status, answer_headers, content = await call(
            app, method, path, [*key, *headers], body
        )
        assert setup.running() == 0
        if status < 400:
            assert with_key
            return
        media_type = answer_headers.get(b"content-type", b"")
        assert media_type == b"application/problem+json", (status, content)
        if method == "HEAD":
            return
        problem = json.loads(content)
        assert problem["type"] in REASONS
        assert problem["outcome"] in ("not-run", "unknown")
        assert problem["status"] == status

    anyio.run(check)
