"""Store client for the JSON gateway of the etcd v3 API.

Keys and values travel as base64, numbers as decimal strings, as described in
the published gRPC gateway mapping of that API.
"""

from __future__ import annotations

import base64
import json
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from datetime import timedelta
from typing import Any

import anyio
import httpcore

from ..errors import (
    CompactedError,
    LeaseLostError,
    StoreError,
    StoreOutcomeUnknownError,
    StoreRequestError,
    StoreUnavailableError,
)
from .store import (
    CommitResult,
    Entry,
    Operation,
    Page,
    Put,
    Store,
    Transaction,
    WatchBatch,
    WatchEvent,
)

CALL_TIMEOUT = timedelta(seconds=2)
MAX_CALLS_IN_FLIGHT = 8
WATCH_IDLE_TIMEOUT = timedelta(seconds=30)
"""A watch that shows no sign of life for this long is opened again."""

HTTP_UNAVAILABLE = 503
HTTP_CLIENT_ERROR = 400
GRPC_NOT_FOUND = 5
GRPC_UNAVAILABLE = 14

_BEFORE_SENDING = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
)


class EtcdStore(Store):
    """Client of one store address such as ``http://127.0.0.1:2379``."""

    def __init__(self, url: str, call_timeout: timedelta = CALL_TIMEOUT) -> None:
        self._url = url.rstrip("/")
        self._timeout = call_timeout.total_seconds()
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=MAX_CALLS_IN_FLIGHT, keepalive_expiry=30.0
        )
        self._watch_pool = httpcore.AsyncConnectionPool(max_connections=4)

    async def close(self) -> None:
        """Close all connections."""
        await self._pool.aclose()
        await self._watch_pool.aclose()

    async def get(self, key: str) -> Entry | None:
        """Return the entry of a key, or None if it is absent."""
        answer = await self._read("/v3/kv/range", {"key": encode_text(key)})
        kvs = answer.get("kvs") or []
        return decode_entry(kvs[0]) if kvs else None

    async def scan(self, prefix: str, *, start: str = "", limit: int = 1000) -> Page:
        """Return entries whose key has ``prefix``, from key ``start`` on."""
        body = {
            "key": encode_text(max(prefix, start)),
            "range_end": encode_bytes(prefix_end(prefix)),
            "limit": str(limit),
        }
        answer = await self._read("/v3/kv/range", body)
        entries = tuple(decode_entry(kv) for kv in answer.get("kvs") or [])
        revision = int(answer["header"]["revision"])
        return Page(entries, revision, more=bool(answer.get("more")))

    async def commit(self, transaction: Transaction) -> CommitResult:
        """Apply a transaction atomically."""
        body = {
            "compare": [
                {
                    "key": encode_text(compare.key),
                    "target": "MOD",
                    "result": "EQUAL",
                    "mod_revision": str(compare.mod_revision),
                }
                for compare in transaction.compares
            ],
            "success": [encode_operation(op) for op in transaction.operations],
        }
        answer = await self._call("/v3/kv/txn", body)
        revision = int(answer["header"]["revision"])
        return CommitResult(bool(answer.get("succeeded")), revision)

    async def grant_lease(self, ttl: timedelta) -> int:
        """Create a lease and return its id."""
        seconds = max(1, round(ttl.total_seconds()))
        answer = await self._call("/v3/lease/grant", {"TTL": str(seconds), "ID": "0"})
        return int(answer["ID"])

    async def keep_lease_alive(self, lease: int) -> timedelta:
        """Renew a lease and return its time to live."""
        answer = await self._call("/v3/lease/keepalive", {"ID": str(lease)})
        ttl = int(answer.get("result", answer).get("TTL", 0))
        if ttl <= 0:
            raise LeaseLostError(f"lease {lease} has expired")
        return timedelta(seconds=ttl)

    async def revoke_lease(self, lease: int) -> None:
        """End a lease and delete the keys attached to it."""
        try:
            await self._call("/v3/lease/revoke", {"ID": str(lease)})
        except LeaseLostError:
            return

    @asynccontextmanager
    async def watch(
        self, prefix: str, *, from_revision: int
    ) -> AsyncIterator[AsyncIterator[WatchBatch]]:
        """Yield changes under ``prefix`` from ``from_revision`` on."""
        request = {
            "create_request": {
                "key": encode_text(prefix),
                "range_end": encode_bytes(prefix_end(prefix)),
                "start_revision": str(from_revision),
                "progress_notify": True,
            }
        }
        timeout = {
            "connect": self._timeout,
            "read": WATCH_IDLE_TIMEOUT.total_seconds(),
            "write": self._timeout,
            "pool": self._timeout,
        }
        try:
            async with self._watch_pool.stream(
                "POST",
                f"{self._url}/v3/watch",
                headers={"Content-Type": "application/json"},
                content=json.dumps(request).encode(),
                extensions={"timeout": timeout},
            ) as response:
                if response.status != 200:
                    raise StoreUnavailableError(f"watch status {response.status}")
                yield _watch_batches(response)
        except _TRANSPORT_ERRORS as error:
            raise StoreUnavailableError(f"watch: {error!r}") from error

    async def _read(self, path: str, body: Mapping[str, Any]) -> dict[str, Any]:
        try:
            return await self._call(path, body)
        except StoreOutcomeUnknownError as error:
            # A read has no effect, so a lost answer is the same as no call.
            raise StoreUnavailableError(str(error)) from error

    async def _call(self, path: str, body: Mapping[str, Any]) -> dict[str, Any]:
        try:
            with anyio.fail_after(self._timeout):
                response = await self._pool.request(
                    "POST",
                    self._url + path,
                    headers={"Content-Type": "application/json"},
                    content=json.dumps(body).encode(),
                    extensions={"timeout": {"connect": self._timeout}},
                )
        except _BEFORE_SENDING as error:
            raise StoreUnavailableError(f"{path}: {error!r}") from error
        except (TimeoutError, *_TRANSPORT_ERRORS) as error:
            raise StoreOutcomeUnknownError(f"{path}: {error!r}") from error
        return _decode_answer(path, response)


_TRANSPORT_ERRORS = (
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
)


def _decode_answer(path: str, response: httpcore.Response) -> dict[str, Any]:
    try:
        answer = json.loads(response.content)
    except ValueError as error:
        raise StoreOutcomeUnknownError(f"{path}: answer is not JSON") from error
    if not isinstance(answer, dict):
        raise StoreOutcomeUnknownError(f"{path}: answer is not an object")
    if response.status == 200:
        return answer
    raise _status_error(path, response.status, answer)


def _status_error(path: str, status: int, answer: Mapping[str, Any]) -> StoreError:
    detail = f"{path}: status {status}: {answer.get('message', '')}"
    code = answer.get("code")
    if code == GRPC_NOT_FOUND:
        return LeaseLostError(detail)
    if HTTP_CLIENT_ERROR <= status < 500:
        return StoreRequestError(detail)
    # etcd may answer "unavailable" after a proposal was already replicated.
    return StoreOutcomeUnknownError(detail)


async def _watch_batches(response: httpcore.Response) -> AsyncIterator[WatchBatch]:
    buffer = b""
    async for chunk in response.aiter_stream():
        buffer += chunk
        while b"\n" in buffer:
            line, buffer = buffer.split(b"\n", 1)
            if line.strip():
                batch = _decode_watch(line)
                if batch is not None:
                    yield batch
    raise StoreUnavailableError("the store ended the watch")


def _decode_watch(line: bytes) -> WatchBatch | None:
    try:
        result = json.loads(line)["result"]
        compacted = int(result.get("compact_revision", 0))
        revision = int(result["header"]["revision"])
        events = tuple(decode_event(event) for event in result.get("events") or [])
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise StoreUnavailableError(f"malformed watch event: {error!r}") from error
    if compacted:
        raise CompactedError(compacted)
    if result.get("canceled"):
        raise StoreUnavailableError("the store cancelled the watch")
    return WatchBatch(events, revision) if events else None


def decode_event(event: Mapping[str, Any]) -> WatchEvent:
    """Decode one event of a watch answer."""
    kv = event["kv"]
    key = base64.b64decode(kv["key"]).decode()
    revision = int(kv["mod_revision"])
    deleted = event.get("type") == "DELETE"
    return WatchEvent(key, None if deleted else decode_entry(kv), revision)


def decode_entry(kv: Mapping[str, Any]) -> Entry:
    """Decode a key-value pair of the JSON gateway."""
    return Entry(
        key=base64.b64decode(kv["key"]).decode(),
        value=base64.b64decode(kv.get("value", "")),
        create_revision=int(kv["create_revision"]),
        mod_revision=int(kv["mod_revision"]),
        lease=int(kv.get("lease", 0)),
    )


def encode_operation(operation: Operation) -> dict[str, Any]:
    """Encode an operation of a transaction for the JSON gateway."""
    if isinstance(operation, Put):
        return {
            "request_put": {
                "key": encode_text(operation.key),
                "value": encode_bytes(operation.value),
                "lease": str(operation.lease),
            }
        }
    return {"request_delete_range": {"key": encode_text(operation.key)}}


def encode_text(text: str) -> str:
    """Encode a key as base64.

    >>> encode_text("config/head")
    'Y29uZmlnL2hlYWQ='
    """
    return encode_bytes(text.encode())


def encode_bytes(data: bytes) -> str:
    """Encode bytes as base64 text."""
    return base64.b64encode(data).decode()


def prefix_end(prefix: str) -> bytes:
    r"""Return the first key after all keys with ``prefix``.

    >>> prefix_end("jobs/")
    b'jobs0'
    >>> prefix_end("")
    b'\x00'
    """
    data = bytearray(prefix.encode())
    while data:
        if data[-1] < 0xFF:
            data[-1] += 1
            return bytes(data)
        data.pop()
    return b"\0"
