"""HTTP client of the operators' API, usable without the command-line tool."""

from __future__ import annotations

import json
import ssl
from collections.abc import Sequence
from datetime import timedelta
from typing import Any

import httpcore

from ..call_error import PROBLEM_PREFIX, CallError

CONNECT_TIMEOUT = timedelta(seconds=2)
CALL_TIMEOUT = timedelta(seconds=30)

_NOT_CONNECTED = (httpcore.ConnectError, httpcore.ConnectTimeout)
_NO_RESPONSE = (
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
)


class OperatorCallError(CallError):
    """A call of the operators' API failed."""


class OperatorClient:
    """Calls the first reachable daemon of a list of "host:port" addresses."""

    def __init__(
        self,
        addresses: Sequence[str],
        key: str,
        *,
        timeout: timedelta = CALL_TIMEOUT,
        ca_file: str = "",
    ) -> None:
        self._addresses = list(addresses)
        self._key = key
        self._timeout = timeout
        self._scheme = "https" if ca_file else "http"
        context = ssl.create_default_context(cafile=ca_file) if ca_file else None
        self._pool = httpcore.ConnectionPool(ssl_context=context)

    def call(
        self,
        method: str,
        path: str,
        body: object = None,
        *,
        repeatable: bool | None = None,
    ) -> Any:
        """Return the decoded response body; raises OperatorCallError.

        The next daemon is tried if a connection cannot be opened. A call that was
        sent without getting a response is retried only if it is repeatable; GET
        requests are by default.
        """
        if repeatable is None:
            repeatable = method == "GET"
        failure: Exception | None = None
        sent = False
        for address in list(self._addresses):
            try:
                response = self._send(address, method, path, body)
            except _NOT_CONNECTED as error:
                failure = error
            except _NO_RESPONSE as error:
                failure, sent = error, True
                if not repeatable:
                    break
            else:
                self._move_to_front(address)
                return _decode(response)
        raise _no_response(failure, sent=sent)

    def call_all(self, path: str) -> tuple[list[Any], list[str]]:
        """Read from every daemon; return the bodies and the unreachable addresses."""
        bodies: list[Any] = []
        unreachable: list[str] = []
        for address in list(self._addresses):
            try:
                bodies.append(_decode(self._send(address, "GET", path, None)))
            except (*_NOT_CONNECTED, *_NO_RESPONSE):
                unreachable.append(address)
        if not bodies:
            raise _no_response(None, sent=False)
        return bodies, unreachable

    def close(self) -> None:
        """Close the connections."""
        self._pool.close()

    def _send(
        self, address: str, method: str, path: str, body: object
    ) -> httpcore.Response:
        seconds = self._timeout.total_seconds()
        connect = min(seconds, CONNECT_TIMEOUT.total_seconds())
        return self._pool.request(
            method,
            f"{self._scheme}://{address}{path}",
            headers={"Authorization": f"Bearer {self._key}"},
            content=json.dumps(body).encode() if body is not None else None,
            extensions={
                "timeout": {"connect": connect, "read": seconds, "write": seconds}
            },
        )

    def _move_to_front(self, address: str) -> None:
        """Move the daemon that responded to the front of the list."""
        self._addresses.remove(address)
        self._addresses.insert(0, address)


def _decode(response: httpcore.Response) -> Any:
    try:
        answer = json.loads(response.content)
    except ValueError:
        answer = None
    if response.status < 400 and answer is not None:
        return answer
    headers = {k.lower(): v.decode("latin-1") for k, v in response.headers}
    retry_after = headers.get(b"retry-after", "")
    if not isinstance(answer, dict):
        detail = f"status {response.status} without problem details"
        answer = _problem("invalid-answer", detail, "unknown")
    raise OperatorCallError(response.status, answer, retry_after)


def _no_response(failure: Exception | None, *, sent: bool) -> OperatorCallError:
    detail = repr(failure) if failure is not None else "no daemon answers"
    if sent:
        return OperatorCallError(0, _problem("no-answer", detail, "unknown"))
    return OperatorCallError(0, _problem("unreachable", detail, "not-run"))


def _problem(reason: str, detail: str, outcome: str) -> dict[str, Any]:
    return {"type": PROBLEM_PREFIX + reason, "detail": detail, "outcome": outcome}
