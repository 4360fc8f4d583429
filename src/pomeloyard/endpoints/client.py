"""HTTP client of executors."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable, Sequence
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

import anyio
import httpcore

from ..errors import OutcomeUnknownError, RefusedError
from ..outcomes import RefusalReason, Refused, Unknown, UnknownReason

CONNECT_TIMEOUT = timedelta(seconds=1)
POOL_TIMEOUT = timedelta(seconds=0.5)
KEEPALIVE = timedelta(seconds=10)
IDLE_CHECK_INTERVAL = timedelta(seconds=2)
DEFAULT_CONNECTIONS = 64

NO_BODY_STATUSES = frozenset({204, 304})

Headers = Sequence[tuple[bytes, bytes]]


@dataclass(slots=True)
class Progress:
    """Progress of a request; ``sent`` is set before its first byte is written."""

    sent: bool = False
    headers_written: bool = False

    async def trace(self, event: str, info: dict[str, Any]) -> None:
        """Record httpcore's trace events."""
        if event == "http11.send_request_headers.started":
            self.sent = True
        elif event == "http11.send_request_headers.complete":
            self.headers_written = True


class EndpointResponse:
    """An executor's response, whose body may still be being received."""

    def __init__(
        self, response: httpcore.Response, on_close: Callable[[], None]
    ) -> None:
        self.status = response.status
        self.headers: tuple[tuple[bytes, bytes], ...] = tuple(response.headers)
        self.complete = False
        self._response = response
        self._on_close: Callable[[], None] | None = on_close

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body; raises OutcomeUnknownError if it ends early."""
        try:
            async for chunk in self._response.aiter_stream():
                yield chunk
        except httpcore.TimeoutException as error:
            unknown = Unknown(UnknownReason.TIMEOUT, repr(error))
            raise OutcomeUnknownError(unknown) from error
        except (httpcore.NetworkError, httpcore.ProtocolError) as error:
            unknown = Unknown(UnknownReason.ANSWER_TRUNCATED, repr(error))
            raise OutcomeUnknownError(unknown) from error
        self.complete = True

    async def aclose(self) -> None:
        """Release the connection, or close it if the response is incomplete."""
        on_close, self._on_close = self._on_close, None
        if on_close is None:
            return
        with anyio.CancelScope(shield=True):
            await self._response.aclose()
        on_close()


@dataclass(eq=False)
class _ExecutorPool:
    """Connection pool of one executor, replaced when its limit changes."""

    pool: httpcore.AsyncConnectionPool
    limit: int
    open_requests: int = 0
    replaced: bool = False


class EndpointClient:
    """Sends requests to executors, each at most once.

    httpcore reuses an idle connection only if its socket is not readable (it is
    readable once the executor has closed it), and opens a new one otherwise. It
    never sends a request again after a byte of it was written.
    """

    def __init__(
        self,
        connections: Callable[[str], int] = lambda vm: DEFAULT_CONNECTIONS,
        keepalive: timedelta = KEEPALIVE,
    ) -> None:
        self._connections = connections
        self._keepalive = keepalive
        self._pools_by_address: dict[str, _ExecutorPool] = {}
        self._pools_to_close: list[httpcore.AsyncConnectionPool] = []

    async def run(self) -> None:
        """Close expired idle connections periodically until cancelled."""
        while True:
            await anyio.sleep(IDLE_CHECK_INTERVAL.total_seconds())
            await self.close_idle()

    async def close_idle(self) -> None:
        """Close expired connections and drop pools that have none left.

        httpcore closes them only when the next request to the executor is sent.
        """
        for address, entry in list(self._pools_by_address.items()):
            for connection in entry.pool.connections:
                if connection.is_idle() and connection.has_expired():
                    await connection.aclose()
            unused = all(c.is_closed() for c in entry.pool.connections)
            if unused and entry.open_requests == 0:
                del self._pools_by_address[address]
        await self._close_replaced_pools()

    async def close(self) -> None:
        """Close all connections."""
        for entry in self._pools_by_address.values():
            await entry.pool.aclose()
        self._pools_by_address.clear()
        await self._close_replaced_pools()

    async def open(
        self,
        vm: str,
        address: str,
        method: str,
        target: bytes,
        headers: Headers,
        body: bytes | AsyncIterator[bytes],
        timeout: timedelta,
        progress: Progress,
    ) -> EndpointResponse:
        """Send a request and return its response once the headers have arrived.

        ``timeout`` bounds the wait for the headers and then each wait for data.
        Raises RefusedError if nothing was sent and OutcomeUnknownError if the
        request may have run. The caller must close the response.
        """
        await self._close_replaced_pools()
        entry = self._pool(vm, address)
        host, port = address.rsplit(":", 1)
        request = httpcore.Request(
            method,
            httpcore.URL(scheme=b"http", host=host, port=int(port), target=target),
            headers=list(headers),
            content=body,
            extensions={"timeout": _timeouts(timeout), "trace": progress.trace},
        )
        entry.open_requests += 1
        response: EndpointResponse | None = None
        try:
            with anyio.fail_after(timeout.total_seconds()):
                raw = await entry.pool.handle_async_request(request)
            response = EndpointResponse(raw, lambda: self._release(entry))
            _check_framing(method, response)
            return response
        except BaseException as error:
            if response is not None:
                await response.aclose()
            else:
                self._release(entry)
            raise _typed_error(error, progress) from error

    def _pool(self, vm: str, address: str) -> _ExecutorPool:
        limit = max(1, self._connections(vm))
        entry = self._pools_by_address.get(address)
        if entry is None or entry.limit != limit:
            if entry is not None:
                entry.replaced = True
                self._close_later_if_unused(entry)
            pool = httpcore.AsyncConnectionPool(
                max_connections=limit, keepalive_expiry=self._keepalive.total_seconds()
            )
            entry = self._pools_by_address[address] = _ExecutorPool(pool, limit)
        return entry

    def _release(self, entry: _ExecutorPool) -> None:
        entry.open_requests -= 1
        self._close_later_if_unused(entry)

    def _close_later_if_unused(self, entry: _ExecutorPool) -> None:
        if entry.replaced and entry.open_requests == 0:
            self._pools_to_close.append(entry.pool)

    async def _close_replaced_pools(self) -> None:
        while self._pools_to_close:
            await self._pools_to_close.pop().aclose()


def _timeouts(timeout: timedelta) -> dict[str, float]:
    seconds = timeout.total_seconds()
    return {
        "connect": min(seconds, CONNECT_TIMEOUT.total_seconds()),
        "read": seconds,
        "write": seconds,
        "pool": min(seconds, POOL_TIMEOUT.total_seconds()),
    }


def _check_framing(method: str, response: EndpointResponse) -> None:
    """Raise OutcomeUnknownError for a body of which truncation cannot be detected."""
    if method == "HEAD" or response.status in NO_BODY_STATUSES:
        return
    names = {name.lower() for name, _ in response.headers}
    if b"content-length" not in names and b"transfer-encoding" not in names:
        detail = "the body has neither a length nor a terminating chunk"
        raise OutcomeUnknownError(Unknown(UnknownReason.ANSWER_TRUNCATED, detail))


def _typed_error(error: BaseException, progress: Progress) -> BaseException:
    """Return the typed error of a failed request, depending on what was sent."""
    if isinstance(error, httpcore.LocalProtocolError) and not progress.headers_written:
        # h11 rejects an invalid request before it writes a byte.
        progress.sent = False
        return RefusedError(Refused(RefusalReason.INVALID_INPUT, str(error)))
    transport_errors = (
        TimeoutError,
        httpcore.TimeoutException,
        httpcore.NetworkError,
        httpcore.ProtocolError,
    )
    if not isinstance(error, transport_errors):
        return error
    if not progress.sent:
        return RefusedError(Refused(RefusalReason.ENDPOINT_UNREACHABLE, repr(error)))
    if isinstance(error, (TimeoutError, httpcore.TimeoutException)):
        return OutcomeUnknownError(Unknown(UnknownReason.TIMEOUT, repr(error)))
    return OutcomeUnknownError(Unknown(UnknownReason.CONNECTION_LOST, repr(error)))
