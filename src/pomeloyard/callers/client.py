"""HTTP client for the job API, usable without the command line."""

from __future__ import annotations

import json
import secrets
import time
from collections.abc import Callable, Sequence
from typing import Any
from urllib.parse import quote

import httpcore

from ..call_error import CallError

FINAL_STATES = frozenset({"succeeded", "failed", "cancelled", "impossible"})
FIRST_POLL_SECONDS = 0.2
MAX_POLL_SECONDS = 10.0
MIN_ATTEMPTS = 4
TIMEOUTS_S = {"connect": 2.0, "read": 30.0, "write": 10.0, "pool": 2.0}


class JobCallError(CallError):
    """A call to the job API failed."""


class JobClient:
    """Submits and monitors a team's jobs through the first daemon that responds."""

    def __init__(self, addresses: Sequence[str], key: str) -> None:
        self._addresses = list(addresses)
        self._key = key
        self._pool = httpcore.ConnectionPool()

    def submit(self, request: dict[str, Any], idempotency_key: str = "") -> Any:
        """Submit a job; retries after a lost response use the same key."""
        headers = {"Idempotency-Key": idempotency_key or secrets.token_hex(16)}
        return self._call("POST", "/v1/jobs", request, headers)

    def status(self, job_id: str) -> Any:
        """Return a job's record."""
        return self._call("GET", f"/v1/jobs/{quote(job_id, safe='')}")

    def explain(self, job_id: str) -> Any:
        """Explain why a job waits, or where it was placed and why."""
        return self._call("GET", f"/v1/jobs/{quote(job_id, safe='')}/explain")

    def list_jobs(self, after: str = "", limit: int = 100) -> Any:
        """Return a page of the team's jobs and ``after`` for the next page."""
        query = f"?limit={limit}&after={quote(after, safe='')}"
        return self._call("GET", f"/v1/jobs{query}")

    def cancel(self, job_ids: Sequence[str] = (), label: str = "") -> Any:
        """Cancel jobs by id or by label; return their states by id."""
        body = {"job_ids": list(job_ids), "label": label}
        return self._call("POST", "/v1/jobs/cancel", body)["states_by_id"]

    def wait(
        self,
        job_id: str,
        on_change: Callable[[dict[str, Any]], None],
        sleep: Callable[[float], None] = time.sleep,
    ) -> Any:
        """Poll with exponential back-off until the job has ended; return its record."""
        delay, last_state = FIRST_POLL_SECONDS, None
        while True:
            job = self.status(job_id)
            state = (job["state"], job["reason"])
            if state != last_state:
                on_change(job)
                last_state, delay = state, FIRST_POLL_SECONDS
            if job["state"] in FINAL_STATES:
                return job
            sleep(delay)
            delay = min(delay * 1.5, MAX_POLL_SECONDS)

    def close(self) -> None:
        """Close the connections."""
        self._pool.close()

    def _call(
        self,
        method: str,
        path: str,
        body: object = None,
        headers: dict[str, str] | None = None,
    ) -> Any:
        """Return the decoded response; all calls are safe to retry."""
        all_headers = [("Authorization", f"Bearer {self._key}")]
        all_headers += list((headers or {}).items())
        last_error: Exception | None = None
        for attempt in range(max(MIN_ATTEMPTS, len(self._addresses))):
            if not self._addresses:
                break
            address = self._addresses[attempt % len(self._addresses)]
            try:
                response = self._pool.request(
                    method,
                    f"http://{address}{path}",
                    headers=all_headers,
                    content=json.dumps(body).encode() if body is not None else None,
                    extensions={"timeout": TIMEOUTS_S},
                )
            except (
                httpcore.NetworkError,
                httpcore.TimeoutException,
                httpcore.ProtocolError,
            ) as error:
                last_error = error
                continue
            decoded = json.loads(response.content)
            if response.status >= 400:
                raise JobCallError(response.status, decoded)
            return decoded
        raise JobCallError(0, {"type": "unreachable", "detail": repr(last_error)})
