"""Read request bodies and build refusals."""

from __future__ import annotations

from datetime import timedelta

from starlette.types import Receive

from ..errors import RefusedError
from ..outcomes import RefusalReason, Refused


async def read_body(receive: Receive, limit: int) -> bytes:
    """Read a body of at most ``limit`` bytes; raises RefusedError."""
    parts = []
    size = 0
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise refused(RefusalReason.CANCELLED, "the caller left")
        parts.append(message.get("body", b""))
        size += len(parts[-1])
        if size > limit:
            raise refused(RefusalReason.TOO_LARGE, f"at most {limit} bytes")
        if not message.get("more_body"):
            return b"".join(parts)


def refused(reason: RefusalReason, detail: str, seconds: int = 0) -> RefusedError:
    """Return the error for a refusal; 0 seconds means no retry delay."""
    retry_after = timedelta(seconds=seconds) if seconds else None
    return RefusedError(Refused(reason, detail, retry_after))
