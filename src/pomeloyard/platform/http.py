"""HTTP calls with a bound on each, and with three outcomes."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from datetime import timedelta

import anyio

from ..errors import CallNotSentError, CallUnansweredError
from .connection import BadAnswerError, Connection, PeerClosedError, request_bytes

CONNECT_TIMEOUT = timedelta(seconds=1)
"""A connection within a region takes milliseconds; a dropped SYN is sent again
after one second, by which time another peer is the better choice."""
CONNECT_SHARE = 0.8
"""Share of a short call's time after which a connection is given up."""
KEEPALIVE_EXPIRY_S = 20.0
"""Idle connections are closed before the peers' usual limit of 30 s."""
MAX_CONNECTIONS = 8
"""To one address: more prompt calls at once wait for each other, as new connections
have a price."""
PROMPT_S = 0.15
"""A call without an answer for this long, several times what peers usually take, no
longer holds up the calls that wait behind it."""
MAX_OVERDUE = 12
"""Calls to one address beyond the limit that may wait for an answer; half of a peak's
orders to one executor may stay unanswered, each for a second."""
MAX_PORT = 65_535

_UNANSWERED = (
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    BadAnswerError,
    OSError,
    PeerClosedError,
    TimeoutError,
)


@dataclass(frozen=True, slots=True)
class Answer:
    """Status and body of an answer."""

    status: int
    body: bytes


def always() -> bool:
    """Permit every call."""
    return True


class _Peer:
    """Connections to one address, and the calls on them."""

    def __init__(self, address: str, prompt_calls: int) -> None:
        host, _, port = address.rpartition(":")
        self._host, self._port = host, int(port)
        if not host or not 0 < self._port <= MAX_PORT:
            raise ValueError(f"{address!r} is no address")
        self._prompt_calls = prompt_calls
        self._line = anyio.Lock()
        """Keeps the calls that wait for room in order."""
        self._began_at: list[float] = []
        """Times at which the calls in flight began, in seconds."""
        self._freed = anyio.Event()
        self._waits = False
        """Whether a call waits for ``_freed``."""
        self._idle: list[Connection] = []
        """The one that was used last comes last."""

    async def connection(self, connect_s: float) -> Connection:
        """Return a kept connection that is still open, or a new one in time."""
        too_old = anyio.current_time() - KEEPALIVE_EXPIRY_S
        while self._idle:
            kept = self._idle.pop()
            if kept.idle_since >= too_old and not kept.is_stale():
                return kept
            await kept.close()
        with anyio.fail_after(connect_s):
            return await Connection.open(self._host, self._port)

    async def keep(self, connection: Connection) -> None:
        """Keep a connection whose call was answered for the next one."""
        if not connection.reusable or len(self._idle) >= self._prompt_calls:
            await connection.close()
            return
        connection.idle_since = anyio.current_time()
        self._idle.append(connection)

    async def close(self) -> None:
        """Close the connections that no call uses."""
        while self._idle:
            await self._idle.pop().close()

    def _has_room(self) -> bool:
        if len(self._began_at) >= self._prompt_calls + MAX_OVERDUE:
            return False
        since = anyio.current_time() - PROMPT_S
        prompt = sum(began_at > since for began_at in self._began_at)
        return prompt < self._prompt_calls

    async def enter(self) -> float:
        """Wait until there is room for one more call; return when it began."""
        if self._line.locked() or not self._has_room():
            async with self._line:
                while not self._has_room():
                    self._waits = True
                    with anyio.move_on_after(PROMPT_S):
                        await self._freed.wait()
                self._waits = False
        began_at = anyio.current_time()
        self._began_at.append(began_at)
        return began_at

    def leave(self, began_at: float) -> None:
        """Give the room of a call to the next."""
        self._began_at.remove(began_at)
        if self._waits:
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
            await peer.close()
        self._peers_by_address.clear()

    async def forget(self, address: str) -> None:
        """Close the connections to an address that is no longer in use."""
        peer = self._peers_by_address.pop(address, None)
        if peer is not None:
            await peer.close()

    def _peer(self, address: str) -> _Peer:
        peer = self._peers_by_address.get(address)
        if peer is None:
            peer = self._peers_by_address[address] = _Peer(
                address, self._max_connections
            )
        return peer

    async def call(
        self,
        method: str,
        address: str,
        target: str,
        timeout: timedelta,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
        permitted: Callable[[], bool] = always,
    ) -> Answer:
        """Send one call to ``host:port`` and return its answer.

        ``permitted`` is asked right before the call is sent, after all waiting.

        Raises CallNotSentError or CallUnansweredError within ``timeout``.
        """
        lines = {"Host": address, **(headers or {})}
        if body:
            lines["Content-Type"] = "application/json"
        limit = timeout.total_seconds()
        # Ends before the whole call does: a call without a connection was not sent.
        connect = min(CONNECT_SHARE * limit, CONNECT_TIMEOUT.total_seconds())
        try:
            peer = self._peer(address)
            request = request_bytes(method, target, lines, body)
        except ValueError as error:
            # Addresses and ids come from what others have written.
            raise CallNotSentError(f"{method} {target}: {error}") from error
        connection: Connection | None = None
        began_at: float | None = None
        try:
            with anyio.fail_after(limit):
                began_at = await peer.enter()
                connection = await peer.connection(connect)
                if not permitted():
                    raise CallNotSentError(f"{method} {target}: no longer permitted")
                status, content = await connection.call(request)
                await peer.keep(connection)
                connection = None
        except _UNANSWERED as error:
            if connection is None:
                detail = f"no connection: {error!r}"
                raise CallNotSentError(f"{method} {target}: {detail}") from error
            raise CallUnansweredError(f"{method} {target}: {error!r}") from error
        finally:
            if connection is not None:
                # Also after a cancellation: its answer would be taken for the next.
                with anyio.CancelScope(shield=True):
                    await connection.close()
            if began_at is not None:
                peer.leave(began_at)
        return Answer(status, content)
