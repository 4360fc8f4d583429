"""Requests with an idempotency key: claimed before they run, then replayed."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from dataclasses import dataclass
from datetime import timedelta

import anyio

from ..claims.service import ClaimService, ClaimTicket, ExistingClaim
from ..claims.table import (
    CLAIM_WINDOW,
    RETRY_AFTER,
    fingerprint_request,
    hash_claim_key,
)
from ..clock import Clock
from ..endpoints.client import Progress
from ..errors import OutcomeUnknownError, RefusedError
from ..outcomes import RefusalReason, Refused, Unknown, UnknownReason
from ..peers.calls import PeerCalls
from ..peers.messages import ResultReply, ResultRequest
from ..peers.streams import PeerNetwork
from .exchanges import ServiceRequest
from .results import MAX_RESPONSE_BYTES, ResultState, ResultTable, StoredResponse

RESULT_TIMEOUT = timedelta(seconds=1)
MAX_CLAIM_AGE = CLAIM_WINDOW / 4
"""Age at which a granted claim is no longer used.

Otherwise a daemon that was paused between the grant and the sending could run a
request whose claim has expired in the meantime.
"""

REPLAYED = (b"idempotency-replayed", b"true")


@dataclass(frozen=True, slots=True)
class Answer:
    """Status, headers and body chunks for the caller."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    chunks: AsyncIterator[bytes]


RequestRunner = Callable[
    [ServiceRequest, Progress], AbstractAsyncContextManager[Answer]
]


class KeyedRequests:
    """Runs each keyed request at most once within the window."""

    def __init__(
        self,
        clock: Clock,
        claims: ClaimService,
        results: ResultTable,
        network: PeerNetwork,
        calls: PeerCalls,
        incarnation: str,
    ) -> None:
        self._clock = clock
        self._claims = claims
        self._results = results
        self._network = network
        self._calls = calls
        self._incarnation = incarnation
        network.on(ResultRequest, self._on_result_request)
        calls.register_reply_type(ResultReply)

    @asynccontextmanager
    async def run(
        self, request: ServiceRequest, deadline: timedelta, run: RequestRunner
    ) -> AsyncIterator[Answer]:
        """Claim the key, run the request and store its result.

        Raises RefusedError or OutcomeUnknownError as ``run`` does, and for a
        repeated key if the first attempt's response cannot be replayed.
        """
        assert isinstance(request.body, bytes), (
            "the body of a keyed request must be buffered"
        )
        key = hash_claim_key(request.team, request.service, request.idempotency_key)
        fingerprint = fingerprint_request(
            request.method, request.target.decode("latin-1"), request.body
        )
        remaining = deadline - self._clock.monotonic()
        ticket: ClaimTicket | StoredResponse | None = None
        with anyio.move_on_after(remaining.total_seconds()):
            ticket = await self._claim(key, fingerprint)
        if ticket is None:
            detail = "the key could not be claimed in time"
            raise RefusedError(Refused(RefusalReason.DEADLINE_PASSED, detail))
        if isinstance(ticket, StoredResponse):
            yield _replay(ticket)
            return
        progress = Progress()
        recorder = _BodyRecorder()
        try:
            self._check_age(ticket)
            async with run(request, progress) as answer:
                chunks = recorder.record(answer.chunks)
                yield Answer(answer.status, answer.headers, chunks)
        except BaseException as error:
            if isinstance(error, RefusedError) or not progress.sent:
                self._claims.release(ticket)
                self._results.forget(key)
            elif not recorder.complete:
                self._results.finish(key, ResultState.UNKNOWN, None)
            raise
        finally:
            if recorder.complete:
                # Stored even if the response could not be passed to the caller.
                self._results.finish(key, ResultState.DONE, recorder.response(answer))
        if not recorder.complete:
            self._results.finish(key, ResultState.UNKNOWN, None)

    async def _claim(
        self, key: bytes, fingerprint: bytes
    ) -> ClaimTicket | StoredResponse:
        """Return the claim, or the stored response of an earlier attempt."""
        local = self._results.get(key)
        if local is not None:
            if local.fingerprint != fingerprint:
                raise RefusedError(Refused(RefusalReason.KEY_REUSED))
            return _completed_response(local.state, local.response)
        if not self._results.begin(key, fingerprint):
            detail = "too many keyed requests"
            raise RefusedError(
                Refused(RefusalReason.CLAIM_UNAVAILABLE, detail, RETRY_AFTER)
            )
        try:
            ticket = await self._claims.claim(key, fingerprint)
        except BaseException:
            self._results.forget(key)
            raise
        if isinstance(ticket, ClaimTicket):
            return ticket
        self._results.forget(key)
        return await self._fetch_earlier_response(key, ticket)

    async def _fetch_earlier_response(
        self, key: bytes, earlier: ExistingClaim
    ) -> StoredResponse:
        """Ask the daemon that holds the claim for the result of its attempt."""
        if earlier.runner == self._incarnation:
            self._claims.release_lost_claim(key, earlier.attempt)
            raise OutcomeUnknownError(Unknown(UnknownReason.IN_PROGRESS))
        reply = await self._calls.call(
            earlier.runner,
            lambda i: ResultRequest(i, key, earlier.attempt),
            ResultReply,
            RESULT_TIMEOUT,
        )
        if reply is None:
            detail = f"{earlier.runner} does not answer"
            raise OutcomeUnknownError(Unknown(UnknownReason.EARLIER_ATTEMPT, detail))
        if reply.state == "absent":
            # That daemon has just released the claim, so the next attempt may run.
            raise OutcomeUnknownError(Unknown(UnknownReason.IN_PROGRESS))
        response = StoredResponse(reply.status, reply.headers, reply.body)
        return _completed_response(
            ResultState(reply.state), response if reply.status else None
        )

    def _check_age(self, ticket: ClaimTicket) -> None:
        age = self._clock.monotonic().total_seconds() - ticket.asked_at
        if age > MAX_CLAIM_AGE.total_seconds():
            raise RefusedError(Refused(RefusalReason.DEADLINE_PASSED, "claim too old"))

    def _on_result_request(self, sender: str, message: ResultRequest) -> None:
        result = self._results.get(message.key_hash)
        if result is None:
            self._claims.release_lost_claim(message.key_hash, message.attempt)
            reply = ResultReply(message.request_id, "absent")
        elif result.response is None:
            reply = ResultReply(message.request_id, result.state.value)
        else:
            response = result.response
            reply = ResultReply(
                message.request_id,
                result.state.value,
                response.status,
                response.headers,
                response.body,
            )
        self._network.send(sender, reply)


class _BodyRecorder:
    """Copies a response's body while it is streamed to the caller."""

    def __init__(self) -> None:
        self.complete = False
        self._chunks: list[bytes] | None = []
        self._size = 0

    async def record(self, chunks: AsyncIterator[bytes]) -> AsyncIterator[bytes]:
        """Yield the chunks; a body over MAX_RESPONSE_BYTES is not copied."""
        async for chunk in chunks:
            self._size += len(chunk)
            if self._size > MAX_RESPONSE_BYTES:
                self._chunks = None
            elif self._chunks is not None:
                self._chunks.append(chunk)
            yield chunk
        self.complete = True

    def response(self, answer: Answer) -> StoredResponse | None:
        """Return the complete response, or None if its body was too long to copy."""
        if self._chunks is None:
            return None
        return StoredResponse(answer.status, answer.headers, b"".join(self._chunks))


def _completed_response(
    state: ResultState, response: StoredResponse | None
) -> StoredResponse:
    if state is ResultState.RUNNING:
        raise OutcomeUnknownError(Unknown(UnknownReason.IN_PROGRESS))
    if response is None:
        detail = "the first attempt's response is not held"
        raise OutcomeUnknownError(Unknown(UnknownReason.EARLIER_ATTEMPT, detail))
    return response


def _replay(response: StoredResponse) -> Answer:
    async def chunks() -> AsyncIterator[bytes]:
        if response.body:
            yield response.body

    return Answer(response.status, (*response.headers, REPLAYED), chunks())
