"""HTTP calls with a bound on each, and with three outcomes."""

from __future__ import annotations

import socket
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from dataclasses import dataclass
from datetime import timedelta

import anyio
import httpcore
import logbook

from ..errors import CallNotSentError, CallUnansweredError

CONNECT_TIMEOUT = timedelta(seconds=1)
"""A connection within a region takes milliseconds; a dropped SYN is sent again
after one second, by which time another peer is the better choice."""
CONNECT_SHARE = 0.8
"""Share of a short call's time after which a connection is given up."""
USER_TIMEOUT_MS = 3000
"""Unacknowledged bytes end a connection after this long (TCP_USER_TIMEOUT)."""
KEEPALIVE_EXPIRY_S = 20.0
"""Idle connections are closed before the peers' usual limit of 30 s."""
MAX_CONNECTIONS = 8
"""To one address: more prompt calls at once wait for each other. New connections have
a price, and the pool's work grows with their square."""
PROMPT_S = 0.15
"""A call without an answer for this long, several times what peers usually take, no
longer holds up the calls that wait behind it."""
MAX_OVERDUE = 12
"""Calls to one address beyond the limit that may wait for an answer; half of a peak's
orders to one executor may stay unanswered, each for a second."""

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

log = logbook.Logger("pomeloyard.platform.http")


@dataclass(frozen=True, slots=True)
class Answer:
    """Status and body of an answer."""

    status: int
    body: bytes


class _Peer:
    """Connections to one address, and the calls on them.

    Calls wait here and never in httpcore's pool: a call that is cancelled there just
    as it was given a connection leaves that connection unusable but counted.
    """

    def __init__(self, prompt_calls: int) -> None:
        self._prompt_calls = prompt_calls
        self._line = anyio.Lock()
        """Keeps the calls that wait for room in order."""
        self._began_at: list[float] = []
        """Times at which the calls in flight began, in seconds."""
        self._freed = anyio.Event()
        self.pool = self._new_pool()

    def _new_pool(self) -> httpcore.AsyncConnectionPool:
        return httpcore.AsyncConnectionPool(
            max_connections=self._prompt_calls + MAX_OVERDUE,
            max_keepalive_connections=self._prompt_calls,
            keepalive_expiry=KEEPALIVE_EXPIRY_S,
            socket_options=_SOCKET_OPTIONS,
        )

    async def replace_pool(self) -> None:
        """Start with new connections, as the old pool gives none."""
        old, self.pool = self.pool, self._new_pool()
        await old.aclose()

    def _has_room(self) -> bool:
        if len(self._began_at) >= self._prompt_calls + MAX_OVERDUE:
            return False
        since = anyio.current_time() - PROMPT_S
        prompt = sum(began_at > since for began_at in self._began_at)
        return prompt < self._prompt_calls

    @asynccontextmanager
    async def room(self) -> AsyncIterator[None]:
        """Wait until there is room for one more call, and hold it."""
        if self._line.locked() or not self._has_room():
            async with self._line:
                while not self._has_room():
                    with anyio.move_on_after(PROMPT_S):
                        await self._freed.wait()
        began_at = anyio.current_time()
        self._began_at.append(began_at)
        try:
            yield
        finally:
            self._began_at.remove(began_at)
            self._freed.set()
            self._freed = anyio.Event()


class HttpCaller:
    """Client for many peers on kept connections."""

    def __init__(self, max_connections: int = MAX_CONNECTIONS) -> None:
        self._max_connections = max_connections
        self._peers_by_address: dict[str, _Peer] = {}

    async def close(self) -> None:
        """Close all connections."""
        for peer in self._peers_by_address.values():
            await peer.pool.aclose()
        self._peers_by_address.clear()

    async def forget(self, address: str) -> None:
        """Close the connections to an address that is no longer in use."""
        peer = self._peers_by_address.pop(address, None)
        if peer is not None:
            await peer.pool.aclose()

    def _peer(self, address: str) -> _Peer:
        peer = self._peers_by_address.get(address)
        if peer is None:
            peer = self._peers_by_address[address] = _Peer(self._max_connections)
        return peer

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
        # Ends before the whole call does: a call without a connection was not sent.
        connect = min(CONNECT_SHARE * limit, CONNECT_TIMEOUT.total_seconds())
        peer = self._peer(address)
        sent = False
        try:
            with anyio.fail_after(limit):
                async with peer.room():
                    sent = True
                    response = await peer.pool.request(
                        method,
                        f"http://{address}{target}",
                        headers=lines,
                        content=body,
                        extensions={"timeout": {"connect": connect, "pool": connect}},
                    )
        except _NOT_SENT as error:
            if isinstance(error, httpcore.PoolTimeout):
                log.warning("no connection to {} became free; all are new", address)
                await peer.replace_pool()
            raise CallNotSentError(f"{method} {target}: {error!r}") from error
        except (*_UNANSWERED, TimeoutError) as error:
            if not sent:
                detail = "no room among the calls in flight"
                raise CallNotSentError(f"{method} {target}: {detail}") from error
            raise CallUnansweredError(f"{method} {target}: {error!r}") from error
        return Answer(response.status, response.content)
