"""Stand-in for client accounts that sends a steady load and records each request."""

from __future__ import annotations

import json
import random
import threading
import time
from dataclasses import dataclass, field

import anyio
import httpcore
from anyio.abc import TaskGroup

NOT_RUN, UNKNOWN, DONE = "not-run", "unknown", "done"
CLIENT_TIMEOUT_SECONDS = 10.0
MAX_ATTEMPTS = 3
DUPLICATE_SHARE = 0.1


@dataclass
class Attempt:
    """One attempt at a request, with its outcome as the client knows it."""

    daemon: str
    outcome: str
    status: int
    body: bytes
    at: float


@dataclass
class Sent:
    """One logical request; every attempt has the same method, path, body and key."""

    account: str
    method: str
    path: str
    body: bytes
    key: str
    attempts: list[Attempt] = field(default_factory=list)

    def outcome(self) -> str:
        """Return the outcome that follows from all attempts together."""
        outcomes = [attempt.outcome for attempt in self.attempts]
        if DONE in outcomes:
            return DONE
        return NOT_RUN if set(outcomes) == {NOT_RUN} else UNKNOWN


@dataclass(frozen=True)
class Account:
    """A client account with its key, request rate per second and work per request."""

    name: str
    key: str
    rate: float
    work_ms: int


class Load(threading.Thread):
    """Sends requests of all accounts to all daemons from one thread."""

    def __init__(self, addresses: list[str], accounts: list[Account]) -> None:
        super().__init__(daemon=True)
        self.addresses = addresses
        self.accounts = accounts
        self.sent: list[Sent] = []
        self.jobs: list[Sent] = []
        self.failure: BaseException | None = None
        self._stopping = threading.Event()
        self._rng = random.Random(11)

    def finish(self) -> None:
        """Stop sending and wait for outstanding responses."""
        self._stopping.set()
        self.join(MAX_ATTEMPTS * CLIENT_TIMEOUT_SECONDS)
        if self.is_alive():
            raise TimeoutError(
                "requests are still outstanding after all their timeouts"
            )
        if self.failure is not None:
            raise self.failure

    def run(self) -> None:
        """Send until ``finish`` is called."""
        try:
            anyio.run(self._run)
        except BaseException as error:
            self.failure = error

    async def _run(self) -> None:
        async with (
            httpcore.AsyncConnectionPool(max_connections=300) as pool,
            anyio.create_task_group() as tasks,
        ):
            for account in self.accounts:
                tasks.start_soon(self._send_at_rate, pool, account, tasks)

    async def _send_at_rate(
        self, pool: httpcore.AsyncConnectionPool, account: Account, tasks: TaskGroup
    ) -> None:
        number = 0
        start = time.monotonic()
        while not self._stopping.is_set():
            number += 1
            tasks.start_soon(
                self._send, pool, account, self._new_request(account, number)
            )
            if number % round(2 * account.rate) == 0:
                tasks.start_soon(
                    self._send, pool, account, self._new_job(account, number)
                )
            await anyio.sleep(
                max(0.0, start + number / account.rate - time.monotonic())
            )

    def _new_request(self, account: Account, number: int) -> Sent:
        name = f"{account.name}-{number}"
        service = "orders" if number % 3 else "cutting"
        path = f"/v1/services/{service}/{name}?work_ms={account.work_ms}"
        if number % 2:
            sent = Sent(account.name, "POST", path, name.encode(), name)
        else:
            sent = Sent(account.name, "GET", path, b"", "")
        self.sent.append(sent)
        return sent

    def _new_job(self, account: Account, number: int) -> Sent:
        body = json.dumps({"command": "sleep 1", "cores": 1}).encode()
        key = f"job-{account.name}-{number}"
        sent = Sent(account.name, "POST", "/v1/jobs", body, key)
        self.jobs.append(sent)
        return sent

    async def _send(
        self, pool: httpcore.AsyncConnectionPool, account: Account, sent: Sent
    ) -> None:
        if sent.key and self._rng.random() < DUPLICATE_SHARE:
            await self._send_concurrently(pool, account, sent)
            return
        # Half of the requests are not retried after a refusal, so that the audit
        # can check whether "not run" was true.
        attempts = MAX_ATTEMPTS if self._rng.random() < 0.5 else 1
        for _ in range(attempts):
            address = self._rng.choice(self.addresses)
            attempt = await self._attempt(pool, account, sent, address)
            sent.attempts.append(attempt)
            if attempt.outcome == DONE:
                return
            await anyio.sleep(0.2)

    async def _send_concurrently(
        self, pool: httpcore.AsyncConnectionPool, account: Account, sent: Sent
    ) -> None:
        """Send one key to two daemons at once, as a client that hedges does."""

        async def send(address: str) -> None:
            sent.attempts.append(await self._attempt(pool, account, sent, address))

        async with anyio.create_task_group() as tasks:
            for address in self._rng.sample(self.addresses, 2):
                tasks.start_soon(send, address)

    async def _attempt(
        self,
        pool: httpcore.AsyncConnectionPool,
        account: Account,
        sent: Sent,
        address: str,
    ) -> Attempt:
        headers = [
            ("Host", address),
            ("Authorization", f"Bearer {account.key}"),
            ("Request-Timeout", "3"),
        ]
        if sent.key:
            headers.append(("Idempotency-Key", sent.key))
        outcome, status, body = UNKNOWN, 0, b""
        try:
            with anyio.fail_after(CLIENT_TIMEOUT_SECONDS):
                response = await pool.request(
                    sent.method,
                    f"http://{address}{sent.path}",
                    headers=headers,
                    content=sent.body or None,
                )
        except httpcore.ConnectError:
            outcome = NOT_RUN
        except (
            TimeoutError,
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ):
            pass
        else:
            status, body = response.status, response.content
            outcome = DONE if status < 300 else _stated_outcome(body)
        return Attempt(address, outcome, status, body, time.monotonic())


def _stated_outcome(body: bytes) -> str:
    """Return the outcome stated in a problem body, or "unknown" without one."""
    try:
        stated = json.loads(body).get("outcome")
    except (ValueError, AttributeError):
        return UNKNOWN
    return NOT_RUN if stated == NOT_RUN else UNKNOWN
