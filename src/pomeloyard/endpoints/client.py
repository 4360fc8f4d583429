"""HTTP client of executors."""

from __future__ import annotations

from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass
from datetime import timedelta

import httpcore

from ..errors import OutcomeUnknownError, RefusedError
from ..outcomes import RefusalReason, Refused, Unknown, UnknownReason

CONNECT_TIMEOUT = timedelta(seconds=1)
KEEPALIVE = timedelta(seconds=10)

Headers = Sequence[tuple[bytes, bytes]]


@dataclass(frozen=True, slots=True)
class EndpointResponse:
    """Status, headers and body chunks of an executor's response."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    chunks: AsyncIterator[bytes]


class EndpointClient:
    """Sends requests to executors; never retries by itself."""

    def __init__(self) -> None:
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=1000, keepalive_expiry=KEEPALIVE.total_seconds()
        )

    async def close(self) -> None:
        """Close all connections."""
        await self._pool.aclose()

    @asynccontextmanager
    async def send(
        self,
        address: str,
        method: str,
        target: str,
        headers: Headers,
        body: bytes | AsyncIterator[bytes],
        timeout: timedelta,
    ) -> AsyncIterator[EndpointResponse]:
        """Send a request and yield the response while it is being received.

        Raises RefusedError if nothing was sent and OutcomeUnknownError if the
        request may have run.
        """
        seconds = timeout.total_seconds()
        connect = min(seconds, CONNECT_TIMEOUT.total_seconds())
        limits = {"connect": connect, "read": seconds, "write": seconds, "pool": 0.5}
        try:
            async with self._pool.stream(
                method,
                f"http://{address}{target}",
                headers=list(headers),
                content=body,
                extensions={"timeout": limits},
            ) as response:
                yield EndpointResponse(
                    response.status,
                    tuple(response.headers),
                    response.aiter_stream(),
                )
        except (
            httpcore.ConnectError,
            httpcore.ConnectTimeout,
            httpcore.PoolTimeout,
        ) as error:
            refusal = Refused(RefusalReason.ENDPOINT_UNREACHABLE, repr(error))
            raise RefusedError(refusal) from error
        except httpcore.TimeoutException as error:
            unknown = Unknown(UnknownReason.TIMEOUT, repr(error))
            raise OutcomeUnknownError(unknown) from error
        except (httpcore.NetworkError, httpcore.ProtocolError) as error:
            unknown = Unknown(UnknownReason.CONNECTION_LOST, repr(error))
            raise OutcomeUnknownError(unknown) from error
