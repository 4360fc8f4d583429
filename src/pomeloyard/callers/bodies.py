"""Bodies of callers' requests, read whole if short and passed on if long."""

from __future__ import annotations

from collections.abc import AsyncIterator
from datetime import timedelta

import anyio
from starlette.types import Receive

from ..errors import OutcomeUnknownError, RefusedError
from ..outcomes import RefusalReason, Refused, Unknown, UnknownReason

WHOLE_BODY_BYTES = 64 * 1024
"""Bodies up to this length are read before the request is admitted, so that the
request can be sent again to another executor."""

SILENCE_TIMEOUT = timedelta(seconds=10)


class CallerBody:
    """The body of one request as uvicorn receives it."""

    def __init__(self, receive: Receive, length: int | None, max_bytes: int) -> None:
        self._receive = receive
        self._max_bytes = max_bytes
        self._received = 0
        self.ended = False
        if length is not None and length > max_bytes:
            raise _too_large(max_bytes)

    async def read(self, *, whole: bool) -> bytes | AsyncIterator[bytes]:
        """Return the body as bytes, or as an iterator if it is long.

        Raises RefusedError as nothing of the body has been passed on yet.
        """
        limit = self._max_bytes if whole else WHOLE_BODY_BYTES
        parts: list[bytes] = []
        try:
            while not self.ended and self._received <= limit:
                parts.append(await self._next())
        except OutcomeUnknownError as error:
            refusal = Refused(RefusalReason.CANCELLED, error.unknown.detail)
            raise RefusedError(refusal) from error
        if self._received > self._max_bytes:
            raise _too_large(self._max_bytes)
        return b"".join(parts) if self.ended else self._rest(b"".join(parts))

    async def _rest(self, start: bytes) -> AsyncIterator[bytes]:
        yield start
        while not self.ended:
            chunk = await self._next()
            if self._received > self._max_bytes:
                # A part has been passed on, so this is no refusal any more.
                detail = f"the body is over {self._max_bytes} bytes"
                raise OutcomeUnknownError(
                    Unknown(UnknownReason.CONNECTION_LOST, detail)
                )
            yield chunk

    async def _next(self) -> bytes:
        message = None
        with anyio.move_on_after(SILENCE_TIMEOUT.total_seconds()):
            message = await self._receive()
        if message is None or message["type"] == "http.disconnect":
            detail = "the caller did not send the whole body"
            raise OutcomeUnknownError(Unknown(UnknownReason.CONNECTION_LOST, detail))
        self.ended = not message.get("more_body", False)
        chunk: bytes = message.get("body", b"")
        self._received += len(chunk)
        return chunk


def _too_large(max_bytes: int) -> RefusedError:
    detail = f"the body is over {max_bytes} bytes"
    return RefusedError(Refused(RefusalReason.TOO_LARGE, detail))
