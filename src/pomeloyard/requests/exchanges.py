"""One attempt at one executor, from the permit to the release of its slot."""

from __future__ import annotations

import secrets
from collections.abc import AsyncIterator
from dataclasses import dataclass
from datetime import timedelta

from ..allocation.admission import AdmissionController, Permit
from ..clock import Clock
from ..config.model import ServiceConfig
from ..decisions import DecisionLog
from ..endpoints.client import EndpointClient, EndpointResponse, Progress
from ..errors import OutcomeUnknownError, RefusedError
from ..fleet_state import FleetState
from ..outcomes import RefusalReason, Refused, Unknown, UnknownReason
from .routing import ExecutorRouter

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "PUT", "DELETE", "OPTIONS"})
GATEWAY_FAILURES = frozenset({502, 503, 504})
"""Statuses by which an executor reports that it cannot serve at present."""

REQUEST_ID = b"x-request-id"


@dataclass(frozen=True, slots=True)
class ServiceRequest:
    """A caller's request; ``target`` is path and query below the service.

    ``body`` is an iterator if it is streamed; ``content_length`` is then its
    length, or None if it is unknown.
    """

    service: str
    team: str
    method: str
    target: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes | AsyncIterator[bytes]
    timeout: timedelta | None = None
    urgent: bool = False
    idempotency_key: str = ""
    content_length: int | None = None
    key_id: str = ""
    """Id of the caller's API key, checked again just before the request is sent."""

    @property
    def idempotent(self) -> bool:
        """Tell whether the request may be sent more than once."""
        return self.method in IDEMPOTENT_METHODS

    @property
    def replayable(self) -> bool:
        """Tell whether the body is buffered and can be sent again."""
        return isinstance(self.body, bytes)


class Exchange:
    """A request whose response is being received; must be closed."""

    def __init__(
        self,
        sender: ExchangeSender,
        service: ServiceConfig,
        permit: Permit,
        response: EndpointResponse,
    ) -> None:
        self._sender = sender
        self._service = service
        self._permit: Permit | None = permit
        self.response = response

    async def aclose(self) -> None:
        """Close the response and release the permit, now or when it is safe."""
        permit, self._permit = self._permit, None
        if permit is None:
            return
        try:
            await self.response.aclose()
        finally:
            self._sender.release_permit(
                self._service, permit, maybe_running=not self.response.complete
            )


class ExchangeSender:
    """Admits a request, sends it to the chosen executor and checks the response."""

    def __init__(
        self,
        clock: Clock,
        state: FleetState,
        admission: AdmissionController,
        client: EndpointClient,
        router: ExecutorRouter,
        decisions: DecisionLog,
    ) -> None:
        self._clock = clock
        self._state = state
        self._admission = admission
        self._client = client
        self._router = router
        self._decisions = decisions

    async def open(
        self,
        request: ServiceRequest,
        service: ServiceConfig,
        deadline: timedelta,
        tried: set[str],
        progress: Progress,
    ) -> Exchange:
        """Send a request to an executor that is not in ``tried`` and add it there.

        Raises RefusedError if nothing was sent, else OutcomeUnknownError.
        """
        permit = await self._admit(request, service, deadline, tried)
        tried.add(permit.vm)
        attempt_progress = Progress()
        try:
            response = await self._send(
                request, service, permit, deadline, attempt_progress
            )
        except BaseException as error:
            self.release_permit(service, permit, maybe_running=attempt_progress.sent)
            if isinstance(error, OutcomeUnknownError) or _is_unreachable(error):
                no_response = _is_unreachable(error) or _is_timeout(error)
                self._router.failed(service.name, permit.vm, no_response=no_response)
            raise
        finally:
            progress.sent = progress.sent or attempt_progress.sent
        return Exchange(self, service, permit, response)

    def release_permit(
        self, service: ServiceConfig, permit: Permit, *, maybe_running: bool
    ) -> None:
        """Release a permit; if the request may still run, after its time-out."""
        if maybe_running:
            running_until = self._clock.monotonic() + service.request_timeout
            self._admission.hold_permit_until(permit, running_until)
        else:
            self._admission.release(permit)

    async def _admit(
        self,
        request: ServiceRequest,
        service: ServiceConfig,
        deadline: timedelta,
        tried: set[str],
    ) -> Permit:
        queue_deadline = self._clock.monotonic() + service.queue_timeout
        outcome = await self._admission.acquire(
            request.service,
            request.team,
            deadline=min(deadline, queue_deadline),
            queue_length=service.queue_length,
            urgent=request.urgent,
            exclude=frozenset(tried),
        )
        if isinstance(outcome, Refused):
            raise RefusedError(outcome)
        if isinstance(outcome, Unknown):
            raise OutcomeUnknownError(outcome)
        return outcome.value

    async def _send(
        self,
        request: ServiceRequest,
        service: ServiceConfig,
        permit: Permit,
        deadline: timedelta,
        progress: Progress,
    ) -> EndpointResponse:
        vm = self._state.vm_list.vms_by_name.get(permit.vm)
        if vm is None or not self._state.accepts_work(vm):
            detail = f"{permit.vm} is leaving"
            raise RefusedError(Refused(RefusalReason.NO_EXECUTOR, detail))
        self._decisions.record(self._router.decision(service.name, permit.vm))
        self._router.started(permit.vm)
        request_id = secrets.token_hex(8).encode()
        started = self._clock.monotonic()
        # A daemon that was paused in between must not send after the deadline.
        if started >= deadline:
            raise RefusedError(Refused(RefusalReason.DEADLINE_PASSED, service.name))
        if self._state.is_withdrawn(request.key_id):
            detail = "the key was withdrawn while the request waited"
            raise RefusedError(Refused(RefusalReason.KEY_INVALID, detail))
        response = await self._client.open(
            vm.name,
            vm.address,
            request.method,
            request.target,
            _request_headers(request, vm.address, request_id),
            request.body,
            min(service.request_timeout, deadline - started),
            progress,
        )
        echoed = [v for k, v in response.headers if k.lower() == REQUEST_ID]
        if echoed and echoed != [request_id]:
            await response.aclose()
            raise OutcomeUnknownError(
                Unknown(UnknownReason.ANSWER_MISMATCHED, permit.vm)
            )
        if response.status in GATEWAY_FAILURES:
            self._router.failed(service.name, permit.vm)
        else:
            self._router.succeeded(permit.vm, self._clock.monotonic() - started)
        return response


def _is_timeout(error: BaseException) -> bool:
    return (
        isinstance(error, OutcomeUnknownError)
        and error.unknown.reason is UnknownReason.TIMEOUT
    )


def _is_unreachable(error: BaseException) -> bool:
    return (
        isinstance(error, RefusedError)
        and error.refusal.reason is RefusalReason.ENDPOINT_UNREACHABLE
    )


def _request_headers(
    request: ServiceRequest, address: str, request_id: bytes
) -> list[tuple[bytes, bytes]]:
    headers = [(b"host", address.encode()), *request.headers]
    headers.append((REQUEST_ID, request_id))
    headers.append((b"x-team", request.team.encode()))
    if isinstance(request.body, bytes):
        if request.body or not request.idempotent:
            headers.append((b"content-length", b"%d" % len(request.body)))
    elif request.content_length is not None:
        headers.append((b"content-length", b"%d" % request.content_length))
    else:
        headers.append((b"transfer-encoding", b"chunked"))
    return headers
