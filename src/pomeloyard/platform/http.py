"""HTTP calls with a bound on each, and with three outcomes."""

from __future__ import annotations

import socket
from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta

import anyio
import httpcore

from ..errors import CallNotSentError, CallUnansweredError

CONNECT_TIMEOUT = timedelta(seconds=1)
"""A connection within a region takes milliseconds; a dropped SYN is sent again
after one second, by which time another peer is the better choice."""
USER_TIMEOUT_MS = 3000
"""Unacknowledged bytes end a connection after this long (TCP_USER_TIMEOUT)."""
KEEPALIVE_EXPIRY_S = 20.0
"""Idle connections are closed before the peers' usual limit of 30 s."""
MAX_CONNECTIONS = 8
"""To one address: more calls at once wait for each other. New connections have a
price, and the pool's work grows with their square."""

_SOCKET_OPTIONS = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
]
_NOT_SENT = (httpcore.ConnectError, httpcore.ConnectTimeout, httpcore.PoolTimeout)
_UNANSWERED = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    OSError,
)


@dataclass(frozen=True, slots=True)
class Answer:
    """Status and body of an answer."""

    status: int
    body: bytes


class HttpCaller:
    """Client for many peers on kept connections."""

    def __init__(self, max_connections: int = MAX_CONNECTIONS) -> None:
        self._max_connections = max_connections
        self._pools_by_address: dict[str, httpcore.AsyncConnectionPool] = {}

    async def close(self) -> None:
        """Close all connections."""
        for pool in self._pools_by_address.values():
            await pool.aclose()
        self._pools_by_address.clear()

    async def forget(self, address: str) -> None:
        """Close the connections to an address that is no longer in use."""
        pool = self._pools_by_address.pop(address, None)
        if pool is not None:
            await pool.aclose()

    def _pool(self, address: str) -> httpcore.AsyncConnectionPool:
        pool = self._pools_by_address.get(address)
        if pool is None:
            pool = httpcore.AsyncConnectionPool(
                max_connections=self._max_connections,
                max_keepalive_connections=self._max_connections,
                keepalive_expiry=KEEPALIVE_EXPIRY_S,
                socket_options=_SOCKET_OPTIONS,
            )
            self._pools_by_address[address] = pool
        return pool

    async def call(
        self,
        method: str,
        address: str,
        target: str,
        timeout: timedelta,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
    ) -> Answer:
        """Send one call to ``host:port`` and return its answer.

        Raises CallNotSentError or CallUnansweredError within ``timeout``.
        """
        lines = list({"Host": address, **(headers or {})}.items())
        if body:
            lines.append(("Content-Type", "application/json"))
        limit = timeout.total_seconds()
        connect = min(limit, CONNECT_TIMEOUT.total_seconds())
        try:
            with anyio.fail_after(limit):
                response = await self._pool(address).request(
                    method,
                    f"http://{address}{target}",
                    headers=lines,
                    content=body,
                    extensions={"timeout": {"connect": connect, "pool": connect}},
                )
        except _NOT_SENT as error:
            raise CallNotSentError(f"{method} {target}: {error!r}") from error
        except (*_UNANSWERED, TimeoutError) as error:
            raise CallUnansweredError(f"{method} {target}: {error!r}") from error
        return Answer(response.status, response.content)
