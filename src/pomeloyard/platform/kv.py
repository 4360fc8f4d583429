"""Client of the platform's metadata store."""

from __future__ import annotations

import base64
import binascii
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
from ..keyvalue.answer_times import AnswerTimes
from ..keyvalue.detour import Detour
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
from .http import Answer, HttpCaller

LONGEST_WAIT = timedelta(seconds=1.2)
"""A slow store answers within 0.4 s; beyond that a new connection is better."""
SHORTEST_WAIT = timedelta(seconds=0.35)
"""The store usually answers within 10 ms, or 0.25 s later if a packet is lost."""
WATCH_SLACK = timedelta(seconds=0.6)
"""Added to the wait of a poll before it counts as silent."""
WATCH_WAIT = timedelta(seconds=10)
MAX_ENTRIES = 32
"""Conditions, writes and deletions together in one transaction."""
RELAY_TIME_HEADER = "x-relay-ms"
"""How long a daemon that relays a call may take for it, in whole milliseconds."""
RELAY_SLACK = timedelta(seconds=0.1)
"""Added to the time of a call that another daemon relays."""
TURNED_AWAY = (503, 429)
"""Answers of a store that does nothing for this daemon at present."""
NOT_RELAYED = 503
"""Answer of a daemon that cannot relay, or of the store to it: nothing was done."""
LOST_BEHIND_RELAY = 504
"""Answer of a daemon that relays and did not get the store's answer."""
TOO_MANY_CALLS = 429
"""Status of a call beyond the rate that all daemons share."""

PROBED_KEY = layout.ROLES + "placing"
"""A small entry that is always there or soon will be."""

T = TypeVar("T")

log = logbook.Logger("pomeloyard.platform.kv")


class _Item(msgspec.Struct):
    key: str
    rev: int
    value: str = ""
    """Base64 text."""
    created: int = 0
    """Revision of the key's creation, not a time."""
    lease: int = 0
    deleted: bool = False


class _ItemAnswer(_Item):
    current_rev: int = 0


class _RangeAnswer(msgspec.Struct):
    items: list[_Item]
    current_rev: int
    truncated: bool = False


class _WatchAnswer(msgspec.Struct):
    events: list[_Item]
    current_rev: int


class _CommitAnswer(msgspec.Struct):
    rev: int


class _LeaseAnswer(msgspec.Struct):
    ttl_ms: int
    lease: int = 0


class PlatformStore(PollingStore):
    """Store at one address of the platform."""

    def __init__(self, caller: HttpCaller, address: str) -> None:
        self._caller = caller
        self._address = address
        self._times = AnswerTimes(SHORTEST_WAIT, LONGEST_WAIT)
        self.calls = CallCounter()
        self.detour = Detour()

    async def get(self, key: str) -> Entry | None:
        """Return the entry of a key, or None if it is absent."""
        answer = await self._read(f"/kv-key?key={quote(key, safe='')}")
        if answer.status == 404:
            return None
        return _entry(_decode(answer, _ItemAnswer))

    async def scan(self, prefix: str, *, start: str = "", limit: int = 1000) -> Page:
        """Return entries whose key has ``prefix``; the store chooses the page's size.

        ``start`` is a key of the page before with a zero byte appended, or "".
        """
        target = f"/kv-range?prefix={quote(prefix, safe='')}"
        if start:
            target += f"&after={quote(start.removesuffix(chr(0)), safe='')}"
        page = _decode(await self._read(target), _RangeAnswer)
        return Page(
            tuple(_entry(item) for item in page.items),
            page.current_rev,
            page.truncated and bool(page.items),
        )

    async def commit(self, transaction: Transaction) -> CommitResult:
        """Apply a transaction atomically."""
        puts = [op for op in transaction.operations if isinstance(op, Put)]
        drops = [op.key for op in transaction.operations if not isinstance(op, Put)]
        if len(transaction.compares) + len(transaction.operations) > MAX_ENTRIES:
            raise StoreRequestError(f"more than {MAX_ENTRIES} entries")
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
            "drop": drops,
        }
        answer = await self._write("POST", "/kv-txn", body)
        if answer.status == 412:
            return CommitResult(False, 0)
        if answer.status == 404:
            raise LeaseLostError("a key of the transaction names an ended lease")
        return CommitResult(True, _decode(answer, _CommitAnswer).rev)

    async def grant_lease(self, ttl: timedelta) -> int:
        """Create a lease and return its id."""
        body = {"ttl_ms": round(ttl.total_seconds() * 1000)}
        answer = await self._write("POST", "/kv-lease", body)
        return _decode(answer, _LeaseAnswer).lease

    async def keep_lease_alive(self, lease: int) -> timedelta:
        """Renew a lease and return its time to live."""
        answer = await self._write("POST", f"/kv-keep/{lease}", {})
        if answer.status == 404:
            raise LeaseLostError(f"lease {lease} has expired")
        return timedelta(milliseconds=_decode(answer, _LeaseAnswer).ttl_ms)

    async def revoke_lease(self, lease: int) -> None:
        """End a lease and delete the keys attached to it."""
        await self._write("DELETE", f"/kv-lease-end/{lease}", None)

    async def poll_changes(
        self, prefix: str, after_revision: int, wait: timedelta
    ) -> WatchBatch:
        """Return changes after a revision, or an empty batch when ``wait`` is over."""
        wait_ms = round(wait.total_seconds() * 1000)
        target = (
            f"/kv-watch?prefix={quote(prefix, safe='')}"
            f"&after={after_revision}&wait_ms={wait_ms}"
        )
        self.calls.watches_waiting += 1
        try:
            answer = await self._read(target, wait + WATCH_SLACK)
        finally:
            self.calls.watches_waiting -= 1
        if answer.status == 410:
            raise CompactedError(after_revision)
        batch = _decode(answer, _WatchAnswer)
        events = tuple(
            WatchEvent(item.key, None if item.deleted else _entry(item), item.rev)
            for item in batch.events
        )
        return WatchBatch(events, max(batch.current_rev, after_revision))

    @asynccontextmanager
    async def watch(
        self, prefix: str, *, from_revision: int
    ) -> AsyncIterator[AsyncIterator[WatchBatch]]:
        """Yield changes under ``prefix`` from ``from_revision`` on."""
        self.calls.watches_opened += 1

        async def batches() -> AsyncIterator[WatchBatch]:
            revision = from_revision - 1
            while True:
                batch = await self.poll_changes(prefix, revision, WATCH_WAIT)
                revision = batch.revision
                if batch.events:
                    yield batch

        yield batches()

    async def relay(
        self, method: str, target: str, body: bytes, limit: timedelta
    ) -> Answer:
        """Make a call for another daemon.

        Raises CallNotSentError, also if the store is not reached from here either, or
        CallUnansweredError.
        """
        if not self.detour.may_relay(_now()):
            raise CallNotSentError(f"{method} {target}: no sound way to the store")
        self.calls.relayed += 1
        if method == "GET":
            self.calls.reads += 1
        else:
            self.calls.writes += 1
        return await self._call_directly(method, target, body, limit)

    async def probe(self) -> None:
        """Find out whether the store is reached directly again."""
        self.calls.reads += 1
        target = f"/kv-key?key={quote(PROBED_KEY, safe='')}"
        try:
            await self._call_directly("GET", target, b"", self._times.limit(_now()))
        except (CallNotSentError, CallUnansweredError) as error:
            log.debug("probe of the store: {}", error)

    async def _call(
        self,
        method: str,
        target: str,
        content: bytes = b"",
        timeout: timedelta | None = None,
    ) -> Answer:
        """Make a call within a time that fits what the store takes at present."""
        began_at = _now()
        limit = timeout or self._times.limit(began_at)
        detour = self.detour.is_needed
        call = self._call_through_peer if detour else self._call_directly
        try:
            answer = await call(method, target, content, limit)
        except CallUnansweredError:
            if timeout is None:
                self._times.lost()
            raise
        if timeout is None:
            now = _now()
            self._times.answered(now, now - began_at)
        return answer

    async def _call_directly(
        self, method: str, target: str, content: bytes, limit: timedelta
    ) -> Answer:
        try:
            answer = await self._caller.call(
                method, self._address, target, limit, content
            )
        except (CallNotSentError, CallUnansweredError):
            self.detour.failed()
            raise
        if answer.status in TURNED_AWAY:
            self.detour.failed()
        else:
            self.detour.answered(_now())
        return answer

    async def _call_through_peer(
        self, method: str, target: str, content: bytes, limit: timedelta
    ) -> Answer:
        """Call through another daemon; one that cannot relay is not asked for a while.

        Raises CallNotSentError where none should be asked now.
        """
        peer = self.detour.peer(_now())
        if peer is None:
            raise CallNotSentError(f"{method} {target}: no way to the store")
        headers = {RELAY_TIME_HEADER: str(round(limit / timedelta(milliseconds=1)))}
        try:
            answer = await self._caller.call(
                method, peer, target, limit + RELAY_SLACK, content, headers
            )
        except (CallNotSentError, CallUnansweredError):
            self.detour.refused(peer, _now())
            raise
        if answer.status == NOT_RELAYED:
            self.detour.refused(peer, _now())
        elif answer.status != LOST_BEHIND_RELAY:
            self.detour.relayed(peer)
        return answer

    async def _read(self, target: str, timeout: timedelta | None = None) -> Answer:
        self.calls.reads += 1
        try:
            answer = await self._call("GET", target, timeout=timeout)
        except (CallNotSentError, CallUnansweredError) as error:
            self.calls.failures += 1
            raise StoreUnavailableError(str(error)) from error
        if answer.status in (200, 404, 410):
            return answer
        self.calls.failures += 1
        raise StoreUnavailableError(f"GET {target}: status {answer.status}")

    async def _write(self, method: str, target: str, body: object) -> Answer:
        self.calls.writes += 1
        content = b"" if body is None else msgspec.json.encode(body)
        try:
            answer = await self._call(method, target, content)
        except CallNotSentError as error:
            self.calls.failures += 1
            raise StoreUnavailableError(str(error)) from error
        except CallUnansweredError as error:
            self.calls.failures += 1
            raise StoreOutcomeUnknownError(str(error)) from error
        if answer.status in (200, 404, 412):
            return answer
        self.calls.failures += 1
        message = f"{method} {target}: status {answer.status}"
        if answer.status in (503, TOO_MANY_CALLS):
            raise StoreUnavailableError(message)
        if 400 <= answer.status < 500:
            raise StoreRequestError(message)
        raise StoreOutcomeUnknownError(message)


def _now() -> timedelta:
    return timedelta(seconds=anyio.current_time())


def _decode(answer: Answer, kind: type[T]) -> T:
    try:
        return msgspec.json.decode(answer.body, type=kind)
    except msgspec.MsgspecError as error:
        raise StoreOutcomeUnknownError(f"unreadable answer: {error}") from error


def _entry(item: _Item) -> Entry:
    try:
        value = base64.b64decode(item.value, validate=True)
    except (binascii.Error, ValueError):
        # Another writer's bytes; whoever reads the entry rejects them with a reason.
        value = b"\xff"
    return Entry(item.key, value, item.created, item.rev, item.lease)
