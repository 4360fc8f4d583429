"""Stream an executor's response to the caller."""

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
"""Limit on how long a caller that does not read may occupy a slot."""

log = logbook.Logger("pomeloyard.callers")


class RelayedResponse(Response):
    """Runs a request and relays its response chunk by chunk.

    At most one chunk (64 KiB) is buffered: uvicorn's ``send`` waits while its write
    buffer is full, and the executor's connection is not read meanwhile. On an error
    after the response has started, uvicorn closes the connection, so that the caller
    never takes a truncated body for a complete one.
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
        """Run the request; errors before the response starts reach the handlers."""
        try:
            await self._run(receive, send)
        except OutcomeUnknownError as error:
            if not self._started:
                raise
            # uvicorn closes the connection if the app returns before the body ends.
            service = self._request.service
            log.warning("response from service {} truncated: {}", service, error)

    async def _run(self, receive: Receive, send: Send) -> None:
        if not (self._request.idempotent and self._caller_body.ended):
            # Runs to its end without its caller: its result is kept for a retry.
            await self._stream_response(send)
            return
        run_error: Exception | None = None
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_cancel_on_disconnect, receive, tasks.cancel_scope)
            try:
                await self._stream_response(send)
            except Exception as error:
                run_error = error
            tasks.cancel_scope.cancel()
        if run_error is not None:
            raise run_error

    async def _stream_response(self, send: Send) -> None:
        async with self._requests.run(self._request) as response:
            headers = response_headers(response.headers)
            self._started = True
            await _send_with_timeout(
                send,
                {
                    "type": "http.response.start",
                    "status": response.status,
                    "headers": headers,
                },
            )
            async for chunk in response.chunks:
                await _send_with_timeout(
                    send,
                    {"type": "http.response.body", "body": chunk, "more_body": True},
                )
        await _send_with_timeout(send, {"type": "http.response.body", "body": b""})


async def _send_with_timeout(send: Send, message: dict[str, object]) -> None:
    with anyio.move_on_after(SEND_TIMEOUT.total_seconds()):
        await send(message)
        return
    detail = "the caller does not read the response"
    raise OutcomeUnknownError(Unknown(UnknownReason.CONNECTION_LOST, detail))


async def _cancel_on_disconnect(receive: Receive, scope: anyio.CancelScope) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass
    scope.cancel()
