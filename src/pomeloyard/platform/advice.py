"""Calls to the operators' advice service."""

from __future__ import annotations

from collections.abc import Sequence
from datetime import timedelta

import msgspec

from ..batch.advice import Advice, AdviceService
from ..errors import CallUnansweredError
from .executors import time_of
from .http import HttpCaller


class _Answer(msgspec.Struct):
    good: list[tuple[str, str]]
    """Executor's id and ticket."""
    valid_ms: float = 0


class PlatformAdvice(AdviceService):
    """Client of the service at one address."""

    def __init__(self, caller: HttpCaller, address: str) -> None:
        self._caller = caller
        self._address = address

    async def advise(
        self, step: str, executors: Sequence[str], timeout: timedelta
    ) -> Advice:
        """Ask which of some executors may run a step."""
        body = msgspec.json.encode({"step": step, "workers": list(executors)})
        answer = await self._caller.call(
            "POST", self._address, "/advise", timeout, body
        )
        if answer.status != 200:
            raise CallUnansweredError(f"/advise: status {answer.status}")
        try:
            told = msgspec.json.decode(answer.body, type=_Answer)
        except msgspec.MsgspecError as error:
            raise CallUnansweredError(f"/advise: {error}") from error
        return Advice(dict(told.good), time_of(told.valid_ms))
