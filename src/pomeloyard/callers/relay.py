"""Pass an executor's answer on to the caller while it is being received."""

from __future__ import annotations

from datetime import timedelta

import anyio
import logbook
from starlette.responses import Response
from starlette.types import Receive, Scope, Send

from ..errors import OutcomeUnknownError
from ..outcomes import Unknown, UnknownReason
from ..requests.exchanges import ServiceRequest
from ..requests.service import RequestService
from .bodies import CallerBody
from .headers import response_headers

SEND_TIMEOUT = timedelta(seconds=10)
"""Longest time for which a caller that does not read may hold a slot."""

log = logbook.Logger("pomeloyard.callers")


class RelayedResponse(Response):
    """Runs a request and relays its answer chunk by chunk.

    At most one chunk (64 KiB) is held: uvicorn's ``send`` waits while its write
    buffer is full, and the executor's connection is not read meanwhile. An error
    after the start makes uvicorn close the connection, so that the caller never
    takes a truncated body as complete.
    """

    def __init__(
        self, requests: RequestService, request: ServiceRequest, body: CallerBody
    ) -> None:
        super().__init__()
        self._requests = requests
        self._request = request
        self._caller_body = body
        self._started = False

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Run the request; typed errors before the start pass to the handlers."""
        try:
            await self._run(receive, send)
        except OutcomeUnknownError as error:
            if not self._started:
                raise
            # Returning without the end of the body makes uvicorn close the
            # connection.
            service = self._request.service
            log.warning("response of {} cut short: {}", service, error)

    async def _run(self, receive: Receive, send: Send) -> None:
        if not (self._request.idempotent and self._caller_body.ended):
            # Such a request runs to its end, and its result is kept for a retry.
            await self._relay(send)
            return
        failure: Exception | None = None
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_cancel_on_disconnect, receive, tasks.cancel_scope)
            try:
                await self._relay(send)
            except Exception as error:
                failure = error
            tasks.cancel_scope.cancel()
        if failure is not None:
            raise failure

    async def _relay(self, send: Send) -> None:
        async with self._requests.run(self._request) as answer:
            headers = response_headers(answer.headers)
            self._started = True
            await _send_within(
                send,
                {
                    "type": "http.response.start",
                    "status": answer.status,
                    "headers": headers,
                },
            )
            async for chunk in answer.chunks:
                await _send_within(
                    send,
                    {"type": "http.response.body", "body": chunk, "more_body": True},
                )
        await _send_within(send, {"type": "http.response.body", "body": b""})


async def _send_within(send: Send, message: dict[str, object]) -> None:
    with anyio.move_on_after(SEND_TIMEOUT.total_seconds()):
        await send(message)
        return
    detail = "the caller does not read the response"
    raise OutcomeUnknownError(Unknown(UnknownReason.CONNECTION_LOST, detail))


async def _cancel_on_disconnect(receive: Receive, scope: anyio.CancelScope) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass
    scope.cancel()
