"""Decode the bodies of operators' requests."""

from __future__ import annotations

from typing import TypeVar

import msgspec
from starlette.requests import Request

from ..errors import RefusedError
from ..outcomes import RefusalReason, Refused

T = TypeVar("T")


async def read_body(request: Request, kind: type[T]) -> T:
    """Return the JSON body as ``kind``; raises RefusedError if it is invalid."""
    try:
        return msgspec.json.decode(await request.body() or b"{}", type=kind)
    except (msgspec.MsgspecError, RecursionError) as error:
        reason = RefusalReason.INVALID_INPUT
        raise RefusedError(Refused(reason, str(error))) from error
