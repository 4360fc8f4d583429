"""Request bodies of callers: short ones are buffered, long ones streamed."""

from __future__ import annotations

from collections.abc import AsyncIterator
from datetime import timedelta

import anyio
from starlette.types import Receive

from ..errors import OutcomeUnknownError, RefusedError
from ..outcomes import RefusalReason, Refused, Unknown, UnknownReason

MAX_BUFFERED_BODY_BYTES = 64 * 1024
"""Bodies up to this length are buffered before admission, so that the request can be
retried on another executor."""

CHUNK_READ_TIMEOUT = timedelta(seconds=10)


class CallerBody:
    """The body of one request, read from uvicorn."""

    def __init__(self, receive: Receive, length: int | None, max_bytes: int) -> None:
        self._receive = receive
        self._max_bytes = max_bytes
        self._received = 0
        self.ended = False
        if length is not None and length > max_bytes:
            raise _too_large(max_bytes)

    async def read(self, *, buffered: bool) -> bytes | AsyncIterator[bytes]:
        """Return the body as bytes, or as an iterator of chunks if it is long.

        Raises RefusedError: no part of the body has been forwarded yet.
        """
        limit = self._max_bytes if buffered else MAX_BUFFERED_BODY_BYTES
        chunks: list[bytes] = []
        try:
            while not self.ended and self._received <= limit:
                chunks.append(await self._receive_chunk())
        except OutcomeUnknownError as error:
            refusal = Refused(RefusalReason.CANCELLED, error.unknown.detail)
            raise RefusedError(refusal) from error
        if self._received > self._max_bytes:
            raise _too_large(self._max_bytes)
        return b"".join(chunks) if self.ended else self._stream(b"".join(chunks))

    async def _stream(self, buffered_part: bytes) -> AsyncIterator[bytes]:
        yield buffered_part
        while not self.ended:
            chunk = await self._receive_chunk()
            if self._received > self._max_bytes:
                # Part of the body has been forwarded, so the outcome is unknown.
                detail = f"the body is over {self._max_bytes} bytes"
                raise OutcomeUnknownError(
                    Unknown(UnknownReason.CONNECTION_LOST, detail)
                )
            yield chunk

    async def _receive_chunk(self) -> bytes:
        message = None
        with anyio.move_on_after(CHUNK_READ_TIMEOUT.total_seconds()):
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
