"""Store client for the JSON gateway of the etcd v3 API.

Keys and values are encoded as base64 and numbers as decimal strings, as the
published gRPC gateway mapping of that API specifies.
"""

from __future__ import annotations

import base64
import contextlib
import json
from collections.abc import AsyncIterator, Callable, Mapping
from contextlib import AsyncExitStack, asynccontextmanager
from datetime import timedelta
from typing import Any, TypeVar

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
    CallCounter,
    CommitResult,
    Entry,
    Operation,
    Page,
    Put,
    Store,
    Transaction,
    WatchBatch,
    WatchEvent,
    check_transaction,
)

CALL_TIMEOUT = timedelta(seconds=2)
MAX_CALLS_IN_FLIGHT = 8
SLOT_WAIT_SHARE = 0.9
"""Longest wait for a free slot, as a share of the call time-out. It ends shortly before
calls that began at the same time free their slots."""
FIRST_SEND_EVENT = "http11.send_request_headers.started"
"""Trace event of httpcore after which bytes of a request may have left."""
WATCH_IDLE_SECONDS = 30.0
"""A watch that receives no data for this long fails and has to be reopened."""

MAX_WATCH_LINE_BYTES = 16 * 1024 * 1024
FIRST_KEY = "\0"
"""Start of a range over all keys, as etcd accepts no empty key."""

GRPC_NOT_FOUND = 5
GRPC_RESOURCE_EXHAUSTED = 8
GRPC_INVALID = frozenset({3, 7, 9, 11, 12, 16})
"""Codes of requests rejected without effect: invalid argument, permission denied,
failed precondition, out of range, unimplemented and unauthenticated."""

T = TypeVar("T")


class EtcdStore(Store):
    """Client of one store address such as ``http://127.0.0.1:2379``."""

    def __init__(self, url: str, call_timeout: timedelta = CALL_TIMEOUT) -> None:
        self._url = url.rstrip("/")
        self._timeout = call_timeout.total_seconds()
        self._in_flight = anyio.Semaphore(MAX_CALLS_IN_FLIGHT)
        self._pool = httpcore.AsyncConnectionPool(keepalive_expiry=30.0)
        self._watch_pool = httpcore.AsyncConnectionPool(keepalive_expiry=0.0)
        self.calls = CallCounter()

    async def close(self) -> None:
        """Close all connections."""
        await self._pool.aclose()
        await self._watch_pool.aclose()

    async def get(self, key: str) -> Entry | None:
        """Return the entry of a key, or None if it is absent."""
        page = await self._range({"key": encode_key(key)})
        return page.entries[0] if page.entries else None

    async def scan(self, prefix: str, *, start: str = "", limit: int = 1000) -> Page:
        """Return entries whose key has ``prefix``, from key ``start`` on."""
        body = {
            "key": encode_key(max(prefix, start) or FIRST_KEY),
            "range_end": encode_bytes(prefix_end(prefix)),
            "limit": str(limit),
        }
        return await self._range(body)

    async def commit(self, transaction: Transaction) -> CommitResult:
        """Apply a transaction atomically."""
        check_transaction(transaction)
        body = {
            "compare": [
                {
                    "key": encode_key(compare.key),
                    "target": "MOD",
                    "result": "EQUAL",
                    "mod_revision": str(compare.mod_revision),
                }
                for compare in transaction.compares
            ],
            "success": [encode_operation(op) for op in transaction.operations],
        }
        return await self._write("/v3/kv/txn", body, decode_commit)

    async def grant_lease(self, ttl: timedelta) -> int:
        """Create a lease and return its id."""
        seconds = max(1, round(ttl.total_seconds()))
        body = {"TTL": str(seconds), "ID": "0"}
        return await self._write("/v3/lease/grant", body, lambda a: int(a["ID"]))

    async def keep_lease_alive(self, lease: int) -> timedelta:
        """Renew a lease and return its time to live."""
        body = {"ID": str(lease)}
        ttl = await self._write("/v3/lease/keepalive", body, decode_ttl)
        if ttl <= 0:
            raise LeaseLostError(f"lease {lease} has expired")
        return timedelta(seconds=ttl)

    async def revoke_lease(self, lease: int) -> None:
        """End a lease and delete the keys attached to it."""
        with contextlib.suppress(LeaseLostError):
            await self._write("/v3/lease/revoke", {"ID": str(lease)}, dict)

    @asynccontextmanager
    async def watch(
        self, prefix: str, *, from_revision: int
    ) -> AsyncIterator[AsyncIterator[WatchBatch]]:
        """Yield changes under ``prefix`` from ``from_revision`` on."""
        request = {
            "create_request": {
                "key": encode_key(prefix or FIRST_KEY),
                "range_end": encode_bytes(prefix_end(prefix)),
                "start_revision": str(from_revision),
                "progress_notify": True,
            }
        }
        self.calls.watches_opened += 1
        self.calls.open_watches += 1
        try:
            async with AsyncExitStack() as stack:
                with anyio.fail_after(self._timeout):
                    response = await stack.enter_async_context(
                        self._watch_pool.stream(
                            "POST",
                            f"{self._url}/v3/watch",
                            headers={"Content-Type": "application/json"},
                            content=json.dumps(request).encode(),
                            extensions={"timeout": {"read": WATCH_IDLE_SECONDS}},
                        )
                    )
                if response.status != 200:
                    raise StoreUnavailableError(f"watch status {response.status}")
                yield _watch_batches(response)
        except (TimeoutError, *_TRANSPORT_ERRORS) as error:
            raise StoreUnavailableError(f"watch: {error!r}") from error
        finally:
            self.calls.open_watches -= 1

    async def _range(self, body: Mapping[str, Any]) -> Page:
        self.calls.reads += 1
        try:
            return await self._call("/v3/kv/range", body, decode_page)
        except StoreOutcomeUnknownError as error:
            # A read has no side effects, so a lost response equals a failed call.
            raise StoreUnavailableError(str(error)) from error

    async def _write(
        self, path: str, body: Mapping[str, Any], decode: Callable[[Any], T]
    ) -> T:
        self.calls.writes += 1
        return await self._call(path, body, decode)

    async def _call(
        self, path: str, body: Mapping[str, Any], decode: Callable[[Any], T]
    ) -> T:
        try:
            with anyio.fail_after(self._timeout * SLOT_WAIT_SHARE):
                await self._in_flight.acquire()
        except TimeoutError as error:
            self.calls.failures += 1
            text = f"{path}: {MAX_CALLS_IN_FLIGHT} other calls are in flight"
            raise StoreUnavailableError(text) from error
        try:
            response = await self._send(path, json.dumps(body).encode())
        finally:
            self._in_flight.release()
        return _decode_answer(path, response, decode)

    async def _send(self, path: str, content: bytes) -> httpcore.Response:
        """Send a request; it has an unknown outcome once bytes may have left."""
        sending = False

        async def trace(event: str, info: Mapping[str, Any]) -> None:
            nonlocal sending
            sending = sending or event == FIRST_SEND_EVENT

        try:
            with anyio.fail_after(self._timeout):
                return await self._pool.request(
                    "POST",
                    self._url + path,
                    headers={"Content-Type": "application/json"},
                    content=content,
                    extensions={
                        "timeout": {"connect": self._timeout / 2},
                        "trace": trace,
                    },
                )
        except (TimeoutError, *_TRANSPORT_ERRORS) as error:
            self.calls.failures += 1
            if not sending:
                raise StoreUnavailableError(f"{path}: {error!r}") from error
            await self._close_idle()
            raise StoreOutcomeUnknownError(f"{path}: {error!r}") from error

    async def _close_idle(self) -> None:
        """Close idle connections, as they may hang like the one that failed."""
        for connection in self._pool.connections:
            if connection.is_idle():
                await connection.aclose()


_TRANSPORT_ERRORS = (
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
)

_DECODE_ERRORS = (ValueError, KeyError, TypeError, AttributeError, IndexError)


def _decode_answer(
    path: str, response: httpcore.Response, decode: Callable[[Any], T]
) -> T:
    try:
        answer = json.loads(response.content)
        if response.status == 200:
            return decode(answer)
        detail = f"{path}: status {response.status}: {answer.get('message', '')}"
        code = answer.get("code")
    except (*_DECODE_ERRORS, RecursionError) as error:
        text = f"{path}: status {response.status}, malformed answer: {error!r}"
        raise StoreOutcomeUnknownError(text) from error
    raise _status_error(response.status, code, detail)


def _status_error(status: int, code: Any, detail: str) -> StoreError:
    if code == GRPC_NOT_FOUND:
        return LeaseLostError(detail)
    if code == GRPC_RESOURCE_EXHAUSTED:
        return StoreUnavailableError(detail)  # Rejected before the proposal.
    if code in GRPC_INVALID:
        return StoreRequestError(detail)
    # etcd may respond "unavailable" after the proposal was replicated.
    return StoreOutcomeUnknownError(detail)


def decode_page(answer: Mapping[str, Any]) -> Page:
    """Decode the response to a range; the gateway omits zero values."""
    entries = tuple(decode_entry(kv) for kv in answer.get("kvs") or ())
    revision = int(answer["header"]["revision"])
    return Page(entries, revision, more=bool(answer.get("more")))


def decode_commit(answer: Mapping[str, Any]) -> CommitResult:
    """Decode the response to a transaction."""
    revision = int(answer["header"]["revision"])
    return CommitResult(bool(answer.get("succeeded")), revision)


def decode_ttl(answer: Mapping[str, Any]) -> int:
    """Decode the first message of a keepalive stream to the TTL in seconds."""
    result = answer["result"]
    int(result["header"]["revision"])
    return int(result.get("TTL", 0))


async def _watch_batches(response: httpcore.Response) -> AsyncIterator[WatchBatch]:
    try:
        async for line in _lines(response):
            batch = _decode_watch(line)
            if batch is not None:
                yield batch
    except _TRANSPORT_ERRORS as error:
        raise StoreUnavailableError(f"watch: {error!r}") from error
    raise StoreUnavailableError("the store ended the watch")


async def _lines(response: httpcore.Response) -> AsyncIterator[bytes]:
    buffer = b""
    async for chunk in response.aiter_stream():
        buffer += chunk
        if len(buffer) > MAX_WATCH_LINE_BYTES:
            raise StoreUnavailableError("a watch event is too large")
        while b"\n" in buffer:
            line, buffer = buffer.split(b"\n", 1)
            if line.strip():
                yield line


def _decode_watch(line: bytes) -> WatchBatch | None:
    try:
        result = json.loads(line)["result"]
        compacted = int(result.get("compact_revision", 0))
        revision = int(result["header"]["revision"])
        cancelled = bool(result.get("canceled"))
        events = tuple(decode_event(event) for event in result.get("events") or ())
    except (*_DECODE_ERRORS, RecursionError) as error:
        raise StoreUnavailableError(f"malformed watch event: {error!r}") from error
    if compacted:
        raise CompactedError(compacted)
    if cancelled:
        raise StoreUnavailableError("the store cancelled the watch")
    return WatchBatch(events, revision) if events else None


def decode_event(event: Mapping[str, Any]) -> WatchEvent:
    """Decode one event of a watch response."""
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
                "key": encode_key(operation.key),
                "value": encode_bytes(operation.value),
                "lease": str(operation.lease),
            }
        }
    return {"request_delete_range": {"key": encode_key(operation.key)}}


def encode_key(text: str) -> str:
    """Encode a key as base64.

    >>> encode_key("config/head")
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
