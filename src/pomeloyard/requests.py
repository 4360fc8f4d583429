"""The path of a request: admission, choice of executor, sending, release."""

from __future__ import annotations

import secrets
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from datetime import timedelta

from .admission import AdmissionController, Permit
from .clock import Clock
from .endpoints.client import EndpointClient, EndpointResponse
from .errors import OutcomeUnknownError, RefusedError
from .fleet_state import FleetState
from .outcomes import RefusalReason, Refused, Unknown, UnknownReason

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "PUT", "DELETE", "OPTIONS"})
REQUEST_ID = b"x-request-id"


@dataclass(frozen=True, slots=True)
class ServiceRequest:
    """A caller's request; ``target`` is path and query below the service."""

    service: str
    team: str
    method: str
    target: str
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    timeout: timedelta | None = None
    urgent: bool = False
    idempotency_key: str = ""

    @property
    def idempotent(self) -> bool:
        """Tell whether the request may be sent more than once."""
        return self.method in IDEMPOTENT_METHODS


class RequestService:
    """Runs requests on executors."""

    def __init__(
        self,
        clock: Clock,
        state: FleetState,
        admission: AdmissionController,
        client: EndpointClient,
    ) -> None:
        self._clock = clock
        self._state = state
        self._admission = admission
        self._client = client

    @asynccontextmanager
    async def run(self, request: ServiceRequest) -> AsyncIterator[EndpointResponse]:
        """Run a request and yield its response; raises Refused/OutcomeUnknownError."""
        permit = await self._admit(request)
        held = True
        try:
            async with self._send(request, permit) as response:
                yield response
        except OutcomeUnknownError:
            # The request may still run: its slot and unit stay taken until then.
            held = False
            self._release_later(permit)
            raise
        finally:
            if held:
                self._admission.release(permit)

    async def _admit(self, request: ServiceRequest) -> Permit:
        service = self._state.config.services_by_name.get(request.service)
        if service is None:
            raise RefusedError(Refused(RefusalReason.NOT_FOUND, request.service))
        wait = min(service.queue_timeout, request.timeout or service.queue_timeout)
        outcome = await self._admission.acquire(
            request.service,
            request.team,
            deadline=self._clock.monotonic() + wait,
            queue_length=service.queue_length,
            urgent=request.urgent,
        )
        if isinstance(outcome, Refused):
            raise RefusedError(outcome)
        if isinstance(outcome, Unknown):
            raise OutcomeUnknownError(outcome)
        return outcome.value

    @asynccontextmanager
    async def _send(
        self, request: ServiceRequest, permit: Permit
    ) -> AsyncIterator[EndpointResponse]:
        vm = self._state.vm_list.vms_by_name[permit.vm]
        service = self._state.config.services_by_name[request.service]
        request_id = secrets.token_hex(8).encode()
        headers = (
            *request.headers,
            (b"host", vm.address.encode()),
            (REQUEST_ID, request_id),
            (b"x-team", request.team.encode()),
        )
        async with self._client.send(
            vm.address,
            request.method,
            request.target,
            headers,
            request.body,
            service.request_timeout,
        ) as response:
            echoed = [v for k, v in response.headers if k.lower() == REQUEST_ID]
            if echoed and echoed != [request_id]:
                raise OutcomeUnknownError(
                    Unknown(UnknownReason.ANSWER_MISMATCHED, permit.vm)
                )
            yield response

    def _release_later(self, permit: Permit) -> None:
        self._admission.release(permit)
