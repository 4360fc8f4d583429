"""HTTP client whose calls have a time-out and one of three outcomes."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from datetime import timedelta

import anyio

from ..errors import (
    CallClosedError,
    CallNotPermittedError,
    CallNotSentError,
    CallQueuedError,
    CallUnansweredError,
)
from .connection import BadAnswerError, Connection, PeerClosedError, request_bytes

CONNECT_TIMEOUT = timedelta(seconds=1)
"""Connecting within a region takes milliseconds; a lost SYN is sent again only after
one second, by which time another peer is the better choice."""
CONNECT_TIMEOUT_RATIO = 0.8
"""Fraction of a short call's time-out that may be spent on connecting."""
KEEPALIVE_EXPIRY_S = 20.0
"""Below the idle limit of 30 s that is usual for peers."""
MAX_CONNECTIONS = 8
"""Concurrent calls to one address, as new connections have a cost; further calls queue.
Overdue calls are not counted."""
OVERDUE_AFTER_S = 0.15
"""A call without a response for this long, several times the usual, is overdue and no
longer blocks the calls queued behind it."""
MAX_OVERDUE_CALLS = 12
"""Calls to one address in flight beyond the limit: at a peak, half of the orders to an
executor may get no response and take a second each to time out."""
MAX_TRANSFER_S = 10.0
"""Longest call whose response goes on arriving. A page of 1 MB takes 7 s if it shares
5 Mbit/s with three others."""
MAX_PORT = 65_535

_TRANSPORT_ERRORS = (
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    BadAnswerError,
    OSError,
    PeerClosedError,
    TimeoutError,
)


@dataclass(frozen=True, slots=True)
class Response:
    """Status and body of a response."""

    status: int
    body: bytes


def always_permitted() -> bool:
    """Permit every call."""
    return True


class _PeerConnections:
    """Connections to one address and the limit on concurrent calls."""

    def __init__(self, address: str, max_recent_calls: int) -> None:
        host, _, port = address.rpartition(":")
        self._host, self._port = host, int(port)
        if not host or not 0 < self._port <= MAX_PORT:
            raise ValueError(f"{address!r} is no address")
        self._max_recent_calls = max_recent_calls
        self._queue_lock = anyio.Lock()
        """Queues waiting calls first in, first out."""
        self._start_times: list[float] = []
        """Start times of the calls in flight, in seconds of the event loop."""
        self._slot_freed = anyio.Event()
        self._has_waiter = False
        """Whether a call waits for ``_slot_freed``."""
        self._idle: list[Connection] = []
        """Least recently used first."""

    async def acquire_connection(self, connect_s: float) -> Connection:
        """Return an idle connection that is still open, or else a new one."""
        min_idle_since = anyio.current_time() - KEEPALIVE_EXPIRY_S
        while self._idle:
            connection = self._idle.pop()
            if connection.idle_since >= min_idle_since and not connection.is_stale():
                return connection
            await connection.close()
        with anyio.fail_after(connect_s):
            return await Connection.open(self._host, self._port)

    async def release_connection(self, connection: Connection) -> None:
        """Return a connection to the idle ones after its response was read."""
        if not connection.reusable or len(self._idle) >= self._max_recent_calls:
            await connection.close()
            return
        connection.idle_since = anyio.current_time()
        self._idle.append(connection)

    async def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            await self._idle.pop().close()

    def _has_free_slot(self) -> bool:
        if len(self._start_times) >= self._max_recent_calls + MAX_OVERDUE_CALLS:
            return False
        recent_after = anyio.current_time() - OVERDUE_AFTER_S
        recent = sum(started_at > recent_after for started_at in self._start_times)
        return recent < self._max_recent_calls

    async def acquire_slot(self) -> float:
        """Wait for a free slot; return the call's start time, which identifies it."""
        if self._queue_lock.locked() or not self._has_free_slot():
            async with self._queue_lock:
                while not self._has_free_slot():
                    self._has_waiter = True
                    with anyio.move_on_after(OVERDUE_AFTER_S):
                        await self._slot_freed.wait()
                self._has_waiter = False
        started_at = anyio.current_time()
        self._start_times.append(started_at)
        return started_at

    def release_slot(self, started_at: float) -> None:
        """Free the slot of a call that started at this time."""
        self._start_times.remove(started_at)
        if self._has_waiter:
            self._slot_freed.set()
            self._slot_freed = anyio.Event()


class HttpClient:
    """HTTP client with persistent connections to many peers."""

    def __init__(self, max_connections: int = MAX_CONNECTIONS) -> None:
        self._max_connections = max_connections
        self._peers_by_address: dict[str, _PeerConnections] = {}

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

    def _peer(self, address: str) -> _PeerConnections:
        peer = self._peers_by_address.get(address)
        if peer is None:
            peer = self._peers_by_address[address] = _PeerConnections(
                address, self._max_connections
            )
        return peer

    async def request(
        self,
        method: str,
        address: str,
        target: str,
        timeout: timedelta,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
        permitted: Callable[[], bool] = always_permitted,
        queue_timeout: timedelta | None = None,
        max_pause: timedelta | None = None,
    ) -> Response:
        """Send one request to ``host:port`` and return the response.

        ``permitted`` is checked after all waiting, immediately before sending.
        ``timeout`` includes the time in which the call waits for other calls to the
        same address, unless ``queue_timeout`` limits that separately. With
        ``max_pause`` a response that has begun may go on after ``timeout``, up to
        ``MAX_TRANSFER_S`` in all, as long as no pause in it is longer.

        Raises CallNotSentError, CallUnansweredError or, after ``queue_timeout``,
        CallQueuedError.
        """
        all_headers = {"Host": address, **(headers or {})}
        if body:
            all_headers["Content-Type"] = "application/json"
        limit = timeout.total_seconds()
        # Below the call's time-out, so that a failed connect counts as not sent.
        connect_s = min(CONNECT_TIMEOUT_RATIO * limit, CONNECT_TIMEOUT.total_seconds())
        try:
            peer = self._peer(address)
            request = request_bytes(method, target, all_headers, body)
        except ValueError as error:
            # Addresses and ids come from registrations that other programs write.
            raise CallNotSentError(f"{method} {target}: {error}") from error
        connection: Connection | None = None
        started_at: float | None = None
        try:
            if queue_timeout is not None:
                with anyio.move_on_after(queue_timeout.total_seconds()):
                    started_at = await peer.acquire_slot()
                if started_at is None:
                    raise CallQueuedError(
                        f"{method} {target}: too many calls to {address} under way"
                    )
            with anyio.fail_after(limit) as scope:

                def extend() -> None:
                    if max_pause is not None:
                        until = anyio.current_time() + max_pause.total_seconds()
                        scope.deadline = max(scope.deadline, min(until, last))

                last = scope.deadline - limit + MAX_TRANSFER_S
                if started_at is None:
                    started_at = await peer.acquire_slot()
                connection = await peer.acquire_connection(connect_s)
                if not permitted():
                    raise CallNotPermittedError(
                        f"{method} {target}: no longer permitted"
                    )
                status, content = await connection.call(request, extend)
                await peer.release_connection(connection)
                connection = None
        except _TRANSPORT_ERRORS as error:
            if connection is None:
                detail = f"no connection: {error!r}"
                raise CallNotSentError(f"{method} {target}: {detail}") from error
            closed = isinstance(error, PeerClosedError)
            kind = CallClosedError if closed else CallUnansweredError
            raise kind(f"{method} {target}: {error!r}") from error
        finally:
            if connection is not None:
                # Also on cancellation: the next call would read this call's response.
                with anyio.CancelScope(shield=True):
                    await connection.close()
            if started_at is not None:
                peer.release_slot(started_at)
        return Response(status, content)
