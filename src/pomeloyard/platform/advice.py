"""Client for the operators' placement advice service."""

from __future__ import annotations

from collections.abc import Sequence
from datetime import timedelta

import msgspec

from ..batch.advice import Advice, AdviceService
from ..errors import CallUnansweredError
from .codec import decode_json
from .executors import to_duration
from .http import HttpClient


class _AdviceResponse(msgspec.Struct):
    good: list[tuple[str, str]]
    """Executor id and ticket."""
    valid_ms: float = 0


class PlatformAdvice(AdviceService):
    """Client for the advice service at one address."""

    def __init__(self, client: HttpClient, address: str) -> None:
        self._client = client
        self._address = address

    async def advise(
        self, step: str, executors: Sequence[str], timeout: timedelta
    ) -> Advice:
        """Ask which of the given executors may run a step."""
        body = msgspec.json.encode({"step": step, "workers": list(executors)})
        response = await self._client.request(
            "POST", self._address, "/advise", timeout, body
        )
        if response.status != 200:
            raise CallUnansweredError(f"/advise: status {response.status}")
        try:
            decoded = decode_json(response.body, _AdviceResponse)
        except msgspec.MsgspecError as error:
            raise CallUnansweredError(f"/advise: {error}") from error
        return Advice(dict(decoded.good), to_duration(decoded.valid_ms))
