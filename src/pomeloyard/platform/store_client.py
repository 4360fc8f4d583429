"""Client for the platform's metadata store."""

from __future__ import annotations

import base64
import binascii
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from datetime import timedelta
from typing import TypeVar
from urllib.parse import quote

import anyio
import logbook
import msgspec

from ..errors import (
    CallNotSentError,
    CallUnansweredError,
    CompactedError,
    LeaseLostError,
    StoreOutcomeUnknownError,
    StoreRequestError,
    StoreUnavailableError,
)
from ..keyvalue import layout
from ..keyvalue.adaptive_timeout import AdaptiveTimeout, TransferTimeouts
from ..keyvalue.relay_selection import RelaySelector
from ..keyvalue.store import (
    CallCounter,
    CommitResult,
    Entry,
    Page,
    PollingStore,
    Put,
    Transaction,
    WatchBatch,
    WatchEvent,
)
from .codec import decode_json
from .http import HttpClient, Response

MAX_CALL_TIMEOUT = timedelta(seconds=1.2)
"""A slow store responds within 0.4 s; after this, a new connection is better."""
MIN_CALL_TIMEOUT = timedelta(seconds=0.35)
"""The store usually responds within 10 ms, or 0.25 s later if a packet is lost."""
MAX_TRANSFER_TIMEOUT = timedelta(seconds=4)
"""Limit on the time-out of responses that grow with what is stored, which is also that
of a relayed call."""
MIN_UPLOAD_RATE = 300_000
"""Bytes a second that a request body is allowed for, half of the slowest link."""
POLL_TIMEOUT_MARGIN = timedelta(seconds=0.6)
"""Added to a poll's wait time to get its time-out."""
WATCH_POLL_TIME = timedelta(seconds=10)
MAX_TRANSACTION_ENTRIES = 32
"""Conditions, writes and deletions of one transaction in total."""
RELAY_TIME_HEADER = "x-relay-ms"
"""Time limit for the daemon that relays a call, in whole milliseconds."""
RELAY_TIMEOUT_MARGIN = timedelta(seconds=0.1)
"""Added to the time limit of a relayed call to get its time-out."""
REFUSAL_STATUSES = (503, 429)
"""Statuses with which the store refuses this daemon's calls for now."""
NOT_RELAYED_STATUS = 503
"""The relaying daemon, or the store, refused the call: it had no effect."""
RELAY_UNANSWERED_STATUS = 504
"""The relaying daemon got no response from the store."""
RATE_LIMITED_STATUS = 429
"""A call exceeded the rate limit that all daemons share."""

MAX_SILENT_POLLS = 2
"""Consecutive lost polls that are put down to silent connections."""

PROBE_KEY = layout.ROLES + "placing"
"""A small entry that exists soon after the first start of a system."""

T = TypeVar("T")

log = logbook.Logger("pomeloyard.platform.kv")


class _ReadUnansweredError(StoreUnavailableError):
    """A read got no response, from the store or from the peer that relays it."""


class _Item(msgspec.Struct):
    key: str
    rev: int
    value: str = ""
    """In base64."""
    created: int = 0
    """Revision of the key's creation, not a time."""
    lease: int = 0
    deleted: bool = False


class _ItemResponse(_Item):
    current_rev: int = 0


class _RangeResponse(msgspec.Struct):
    items: list[_Item]
    current_rev: int
    truncated: bool = False


class _WatchResponse(msgspec.Struct):
    events: list[_Item]
    current_rev: int


class _CommitResponse(msgspec.Struct):
    rev: int


class _LeaseResponse(msgspec.Struct):
    ttl_ms: int
    lease: int = 0


class PlatformStore(PollingStore):
    """The platform's store, with calls relayed by peers if it refuses them."""

    def __init__(self, client: HttpClient, address: str) -> None:
        self._client = client
        self._address = address
        self._direct_polls: set[anyio.CancelScope] = set()
        """Polls that wait for an answer of the store itself."""
        self._adaptive_timeout = AdaptiveTimeout(MIN_CALL_TIMEOUT, MAX_CALL_TIMEOUT)
        self._transfer_timeouts = TransferTimeouts(MAX_TRANSFER_TIMEOUT)
        self._small_response_at = -MAX_CALL_TIMEOUT
        """When a call with a small response was last answered."""
        self._lost_polls: Counter[str] = Counter()
        """Consecutive polls without a response, by prefix."""
        self.calls = CallCounter()
        self.relay_selector = RelaySelector()

    async def get(self, key: str) -> Entry | None:
        """Return the entry of a key, or None if it does not exist."""
        response = await self._read(f"/kv-key?key={quote(key, safe='')}")
        if response.status == 404:
            return None
        return _entry(_decode(response, _ItemResponse))

    async def scan(self, prefix: str, *, start: str = "", limit: int = 1000) -> Page:
        """Return a page of entries under ``prefix``; the store chooses the page size.

        ``start`` is the last key of the previous page plus a zero byte, or "".
        """
        target = f"/kv-range?prefix={quote(prefix, safe='')}"
        if start:
            target += f"&after={quote(start.removesuffix(chr(0)), safe='')}"
        page = _decode(await self._read_page(prefix, target), _RangeResponse)
        return Page(
            tuple(_entry(item) for item in page.items),
            page.current_rev,
            page.truncated and bool(page.items),
        )

    async def commit(self, transaction: Transaction) -> CommitResult:
        """Apply a transaction atomically."""
        puts = [op for op in transaction.operations if isinstance(op, Put)]
        deleted_keys = [
            op.key for op in transaction.operations if not isinstance(op, Put)
        ]
        if (
            len(transaction.compares) + len(transaction.operations)
            > MAX_TRANSACTION_ENTRIES
        ):
            raise StoreRequestError(f"more than {MAX_TRANSACTION_ENTRIES} entries")
        body = {
            "expected": [
                {"key": compare.key, "rev": compare.mod_revision}
                for compare in transaction.compares
            ],
            "puts": [
                {
                    "key": put.key,
                    "value": base64.b64encode(put.value).decode(),
                    "lease": put.lease,
                }
                for put in puts
            ],
            "drop": deleted_keys,
        }
        response = await self._write("POST", "/kv-txn", body)
        if response.status == 412:
            return CommitResult(False, 0)
        if response.status == 404:
            raise LeaseLostError("a key of the transaction names an ended lease")
        return CommitResult(True, _decode(response, _CommitResponse).rev)

    async def grant_lease(self, ttl: timedelta) -> int:
        """Create a lease and return its id."""
        body = {"ttl_ms": round(ttl.total_seconds() * 1000)}
        response = await self._write("POST", "/kv-lease", body)
        return _decode(response, _LeaseResponse).lease

    async def keep_lease_alive(self, lease: int) -> timedelta:
        """Renew a lease and return its time to live."""
        response = await self._write("POST", f"/kv-keep/{lease}", {})
        if response.status == 404:
            raise LeaseLostError(f"lease {lease} has expired")
        return timedelta(milliseconds=_decode(response, _LeaseResponse).ttl_ms)

    async def revoke_lease(self, lease: int) -> None:
        """Revoke a lease and delete the keys attached to it."""
        await self._write("DELETE", f"/kv-lease-end/{lease}", None)

    async def poll_changes(
        self, prefix: str, after_revision: int, wait: timedelta
    ) -> WatchBatch:
        """Return changes after a revision, or an empty batch after ``wait``."""
        wait_ms = round(wait.total_seconds() * 1000)
        target = (
            f"/kv-watch?prefix={quote(prefix, safe='')}"
            f"&after={after_revision}&wait_ms={wait_ms}"
        )
        self.calls.open_watches += 1
        try:
            response = await self._poll(prefix, target, wait)
        finally:
            self.calls.open_watches -= 1
        if response.status == 410:
            raise CompactedError(after_revision)
        batch = _decode(response, _WatchResponse)
        events = tuple(
            WatchEvent(item.key, None if item.deleted else _entry(item), item.rev)
            for item in batch.events
        )
        return WatchBatch(events, max(batch.current_rev, after_revision))

    @asynccontextmanager
    async def watch(
        self, prefix: str, *, from_revision: int
    ) -> AsyncIterator[AsyncIterator[WatchBatch]]:
        """Yield changes under ``prefix``, starting at ``from_revision``."""
        self.calls.watches_opened += 1

        async def batches() -> AsyncIterator[WatchBatch]:
            revision = from_revision - 1
            while True:
                batch = await self.poll_changes(prefix, revision, WATCH_POLL_TIME)
                revision = batch.revision
                if batch.events:
                    yield batch

        yield batches()

    async def relay(
        self, method: str, target: str, body: bytes, limit: timedelta
    ) -> Response:
        """Make a call for another daemon.

        Raises CallUnansweredError, or CallNotSentError, also when this daemon cannot
        reach the store directly.
        """
        if not self.relay_selector.can_relay(_now()):
            raise CallNotSentError(
                f"{method} {target}: the store is not reachable directly"
            )
        self.calls.relayed += 1
        if method == "GET":
            self.calls.reads += 1
        else:
            self.calls.writes += 1
        return await self._call_directly(method, target, body, limit)

    async def probe(self) -> None:
        """Check whether the store is directly reachable again."""
        self.calls.reads += 1
        target = f"/kv-key?key={quote(PROBE_KEY, safe='')}"
        try:
            await self._call_directly(
                "GET", target, b"", self._adaptive_timeout.timeout(_now())
            )
        except (CallNotSentError, CallUnansweredError) as error:
            log.debug("store probe failed: {}", error)

    async def _call(
        self,
        method: str,
        target: str,
        content: bytes = b"",
        timeout: timedelta | None = None,
    ) -> Response:
        """Make a call; the default time-out adapts to recent response times."""
        started_at = _now()
        limit = timeout or self._adaptive_timeout.timeout(started_at)
        limit += timedelta(seconds=len(content) / MIN_UPLOAD_RATE)
        try:
            if self.relay_selector.uses_relay:
                response = await self._call_through_peer(method, target, content, limit)
            elif timeout is not None:
                response = await self._poll_directly(method, target, content, limit)
            else:
                response = await self._call_directly(
                    method, target, content, limit, MAX_CALL_TIMEOUT
                )
        except CallUnansweredError:
            if timeout is None:
                self._adaptive_timeout.record_loss()
            raise
        if timeout is None:
            self._small_response_at = now = _now()
            self._adaptive_timeout.record_response(now, now - started_at)
        return response

    async def _read_page(self, prefix: str, target: str) -> Response:
        """Read a page, which may take far longer than a small response."""
        started_at = _now()
        usual = self._adaptive_timeout.timeout(started_at)
        if self.relay_selector.uses_relay:
            # The peer reads the whole page before its response begins.
            usual = max(usual, MAX_CALL_TIMEOUT)
        limit = self._transfer_timeouts.timeout(prefix, usual)
        try:
            response = await self._read(target, limit)
        except _ReadUnansweredError:
            if self._small_calls_are_answered(started_at):
                self._transfer_timeouts.record_loss(prefix, limit)
                log.info("page of {} took over {:.1f} s", prefix, limit.total_seconds())
            raise
        self._transfer_timeouts.record_response(prefix, _now() - started_at, usual)
        return response

    async def _poll(self, prefix: str, target: str, wait: timedelta) -> Response:
        """Poll for changes, of which there may be many after an interruption."""
        started_at = _now()
        margin = self._transfer_timeouts.timeout(
            "changes " + prefix, POLL_TIMEOUT_MARGIN
        )
        try:
            response = await self._read(target, wait + margin)
        except _ReadUnansweredError:
            if self._small_calls_are_answered(started_at):
                self._lost_polls[prefix] += 1
                # Two silent connections in a row are not unusual.
                if self._lost_polls[prefix] > MAX_SILENT_POLLS:
                    self._transfer_timeouts.record_loss("changes " + prefix, margin)
            raise
        if self._lost_polls.pop(prefix, 0) <= MAX_SILENT_POLLS:
            self._transfer_timeouts.record_response(
                "changes " + prefix, timedelta(0), margin
            )
        return response

    def _small_calls_are_answered(self, started_at: timedelta) -> bool:
        """Tell whether the store has answered small calls since about then."""
        return self._small_response_at > started_at - MAX_CALL_TIMEOUT

    async def _poll_directly(
        self, method: str, target: str, content: bytes, limit: timedelta
    ) -> Response:
        """Make a call that takes long; it ends once the store fails directly.

        A poll that hangs on a partition would otherwise hide changes for its whole
        wait, while other calls already go through a peer.
        """
        with anyio.CancelScope() as scope:
            self._direct_polls.add(scope)
            try:
                return await self._call_directly(
                    method, target, content, limit, MAX_CALL_TIMEOUT
                )
            finally:
                self._direct_polls.discard(scope)
        raise CallUnansweredError(f"{method} {target}: calls go through a peer now")

    def _record_direct_failure(self) -> None:
        self.relay_selector.record_failure()
        if self.relay_selector.uses_relay:
            for scope in self._direct_polls:
                scope.cancel()

    async def _call_directly(
        self,
        method: str,
        target: str,
        content: bytes,
        limit: timedelta,
        max_pause: timedelta | None = None,
    ) -> Response:
        try:
            response = await self._client.request(
                method,
                self._address,
                target,
                limit,
                content,
                max_pause=max_pause,
            )
        except (CallNotSentError, CallUnansweredError):
            self._record_direct_failure()
            raise
        if response.status in REFUSAL_STATUSES:
            self._record_direct_failure()
        else:
            self.relay_selector.record_response(_now())
        return response

    async def _call_through_peer(
        self, method: str, target: str, content: bytes, limit: timedelta
    ) -> Response:
        """Call through another daemon; one that cannot relay is skipped for a while.

        Raises CallNotSentError if no peer is available now.
        """
        peer = self.relay_selector.select_peer(_now())
        if peer is None:
            raise CallNotSentError(f"{method} {target}: no way to the store")
        headers = {RELAY_TIME_HEADER: str(round(limit / timedelta(milliseconds=1)))}
        try:
            response = await self._client.request(
                method, peer, target, limit + RELAY_TIMEOUT_MARGIN, content, headers
            )
        except (CallNotSentError, CallUnansweredError):
            self.relay_selector.record_relay_failure(peer, _now())
            raise
        if response.status == NOT_RELAYED_STATUS:
            self.relay_selector.record_relay_failure(peer, _now())
        elif response.status != RELAY_UNANSWERED_STATUS:
            self.relay_selector.record_relayed(peer)
        return response

    async def _read(self, target: str, timeout: timedelta | None = None) -> Response:
        self.calls.reads += 1
        try:
            response = await self._call("GET", target, timeout=timeout)
        except CallNotSentError as error:
            self.calls.failures += 1
            raise StoreUnavailableError(str(error)) from error
        except CallUnansweredError as error:
            self.calls.failures += 1
            raise _ReadUnansweredError(str(error)) from error
        if response.status in (200, 404, 410):
            return response
        self.calls.failures += 1
        message = f"GET {target}: status {response.status}"
        if response.status == RELAY_UNANSWERED_STATUS:
            raise _ReadUnansweredError(message)
        raise StoreUnavailableError(message)

    async def _write(self, method: str, target: str, body: object) -> Response:
        self.calls.writes += 1
        content = b"" if body is None else msgspec.json.encode(body)
        try:
            response = await self._call(method, target, content)
        except CallNotSentError as error:
            self.calls.failures += 1
            raise StoreUnavailableError(str(error)) from error
        except CallUnansweredError as error:
            self.calls.failures += 1
            raise StoreOutcomeUnknownError(str(error)) from error
        if response.status in (200, 404, 412):
            return response
        self.calls.failures += 1
        message = f"{method} {target}: status {response.status}"
        if response.status in (503, RATE_LIMITED_STATUS):
            raise StoreUnavailableError(message)
        if 400 <= response.status < 500:
            raise StoreRequestError(message)
        raise StoreOutcomeUnknownError(message)


def _now() -> timedelta:
    return timedelta(seconds=anyio.current_time())


def _decode(response: Response, kind: type[T]) -> T:
    try:
        return decode_json(response.body, kind)
    except msgspec.MsgspecError as error:
        raise StoreOutcomeUnknownError(f"unreadable answer: {error}") from error


def _entry(item: _Item) -> Entry:
    try:
        value = base64.b64decode(item.value, validate=True)
    except (binascii.Error, ValueError):
        # Written by another program; the decoder of the entry rejects this byte and
        # reports why.
        value = b"\xff"
    return Entry(item.key, value, item.created, item.rev, item.lease)
