"""HTTP client of the platform's VM list and VM operations."""

from __future__ import annotations

import json
from datetime import timedelta

import anyio
import httpcore
import msgspec

from ..errors import (
    StoreOutcomeUnknownError,
    StoreRequestError,
    StoreUnavailableError,
)
from .directory import VmDirectory, VmList, VmOperation

CALL_TIMEOUT = timedelta(seconds=2)
HTTP_NOT_MODIFIED = 304
HTTP_CLIENT_ERROR = 400
HTTP_SERVER_ERROR = 500


class HttpVmDirectory(VmDirectory):
    """Client of the VM service at ``url``, for example ``http://127.0.0.1:2379``."""

    def __init__(self, url: str, call_timeout: timedelta = CALL_TIMEOUT) -> None:
        self._url = url.rstrip("/")
        self._timeout = call_timeout.total_seconds()
        self._pool = httpcore.AsyncConnectionPool(max_connections=4)
        self._etag = b""
        self._listing = VmList({}, 0)

    async def list_vms(self) -> VmList:
        """Return the platform's current, possibly outdated, list of VMs.

        The request is conditional (RFC 9110, If-None-Match), since the list is read
        every second and may have a thousand VMs.
        """
        try:
            response = await self._call("GET", "/v1/vms", b"", self._etag)
            if response.status != HTTP_NOT_MODIFIED:
                self._listing = msgspec.json.decode(response.content, type=VmList)
                tags = [v for k, v in response.headers if k.lower() == b"etag"]
                self._etag = tags[0] if tags else b""
            return self._listing
        except (StoreOutcomeUnknownError, msgspec.MsgspecError) as error:
            raise StoreUnavailableError(f"VM list: {error}") from error

    async def operate(
        self, name: str, operation: VmOperation, *, operation_id: str, pool: str = ""
    ) -> None:
        """Start an operation; idempotent by ``operation_id``."""
        body = {"operation": operation.value, "operation_id": operation_id}
        if pool:
            body["pool"] = pool
        path = f"/v1/vms/{name}/operations"
        response = await self._call("POST", path, json.dumps(body).encode())
        if response.status == 200:
            return
        detail = f"{operation.value} {name}: status {response.status}"
        if HTTP_CLIENT_ERROR <= response.status < HTTP_SERVER_ERROR:
            raise StoreRequestError(detail)
        # A gateway may time out after the platform has started the operation.
        raise StoreOutcomeUnknownError(detail)

    async def close(self) -> None:
        """Close all connections."""
        await self._pool.aclose()

    async def _call(
        self, method: str, path: str, body: bytes, etag: bytes = b""
    ) -> httpcore.Response:
        headers = [(b"Content-Type", b"application/json")]
        if etag:
            headers.append((b"If-None-Match", etag))
        try:
            with anyio.fail_after(self._timeout):
                return await self._pool.request(
                    method,
                    self._url + path,
                    headers=headers,
                    content=body,
                )
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
            raise StoreUnavailableError(f"{path}: {error!r}") from error
        except (
            TimeoutError,
            httpcore.NetworkError,
            httpcore.TimeoutException,
            httpcore.ProtocolError,
        ) as error:
            raise StoreOutcomeUnknownError(f"{path}: {error!r}") from error
