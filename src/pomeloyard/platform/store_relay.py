"""Passes store calls on for daemons that the platform's store turns away."""

from __future__ import annotations

import random
from collections.abc import Iterable
from datetime import timedelta
from http import HTTPStatus

import logbook
import msgspec
from starlette.types import Receive, Scope, Send

from ..clock import Clock
from ..errors import CallNotSentError, CallUnansweredError, RefusedError, StoreError
from ..keyvalue import layout
from ..keyvalue.store import Entry, Put, Transaction, scan_all
from .bodies import read_body
from .http import Answer
from .kv import RELAY_TIME_HEADER, PlatformStore

STORE_PATH = "/kv-"
"""Only calls of the store are passed on."""
MAX_RELAYED_BYTES = 2 * 1024 * 1024
"""A transaction of 32 entries; the largest value takes 1.4 MB in base64."""
LONGEST_RELAY = timedelta(seconds=4)
"""Polls wait 1.2 s and slow answers as long again. A call that came right before the
daemon was told to stop is answered within its closing, 1.5 s, and end, 3 s."""
PEERS_INTERVAL = timedelta(seconds=20)
"""Between looks for other daemons; machines are replaced some times a day."""
FIRST_PEERS = timedelta(seconds=3)
"""All daemons may start at once and have registered by then."""
PROBE_INTERVAL = timedelta(seconds=0.25)
"""While calls take a detour, the store itself is asked this often."""

log = logbook.Logger("pomeloyard.platform.store_relay")


class _Relay(msgspec.Struct, frozen=True, array_like=True):
    """A relay as it is registered."""

    address: str
    speed: float
    """Speed of its VM's core; links are as unequal as cores."""


class StoreRelay:
    """ASGI application that other daemons call instead of the store."""

    def __init__(self, store: PlatformStore) -> None:
        self._store = store
        self.closing = False
        """Whether the daemon stops; callers then find another relay."""

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Pass one call on, or refuse it if the store is not reached from here.

        503 means that nothing was done, 504 that the outcome is unknown.
        """
        if scope["type"] != "http":
            return
        answer = await self._answer(scope, receive)
        length = str(len(answer.body)).encode()
        await send(
            {
                "type": "http.response.start",
                "status": answer.status,
                "headers": [(b"content-length", length)],
            }
        )
        await send({"type": "http.response.body", "body": answer.body})

    async def _answer(self, scope: Scope, receive: Receive) -> Answer:
        if not scope["path"].startswith(STORE_PATH):
            return Answer(HTTPStatus.NOT_FOUND, b"")
        if self.closing:
            return Answer(HTTPStatus.SERVICE_UNAVAILABLE, b"")
        headers = dict(scope["headers"])
        try:
            limit = timedelta(milliseconds=int(headers[RELAY_TIME_HEADER.encode()]))
            body = await read_body(receive, MAX_RELAYED_BYTES)
        except (KeyError, ValueError, OverflowError, RefusedError) as error:
            log.info("call is not relayed: {!r}", error)
            return Answer(HTTPStatus.BAD_REQUEST, b"")
        target = scope["path"]
        if scope["query_string"]:
            target += "?" + scope["query_string"].decode("latin-1")
        try:
            return await self._store.relay(
                scope["method"], target, body, min(limit, LONGEST_RELAY)
            )
        except CallNotSentError:
            return Answer(HTTPStatus.SERVICE_UNAVAILABLE, b"")
        except CallUnansweredError:
            return Answer(HTTPStatus.GATEWAY_TIMEOUT, b"")


class RelayPeers:
    """Registers this daemon's relay, and follows those of the others."""

    def __init__(
        self, clock: Clock, store: PlatformStore, vm: str, address: str, speed: float
    ) -> None:
        self._clock = clock
        self._store = store
        self._key = layout.RELAYS + vm
        self._own = _Relay(address, speed)

    async def run(self) -> None:
        """Keep the peers current until cancelled."""
        registered = False
        pause = FIRST_PEERS
        while True:
            try:
                if not registered:
                    put = Put(self._key, msgspec.msgpack.encode(self._own))
                    registered = (
                        await self._store.commit(Transaction((), (put,)))
                    ).succeeded
                page = await scan_all(self._store, layout.RELAYS)
            except StoreError as error:
                log.info("relays are not followed: {}", error)
            else:
                self._store.detour.set_peers(self._others(page.entries))
            await self._clock.sleep(pause * random.uniform(0.7, 1.3))
            pause = PEERS_INTERVAL

    def _others(self, entries: Iterable[Entry]) -> dict[str, float]:
        """Return the speed of each other relay by its address."""
        found = {}
        for entry in entries:
            try:
                relay = msgspec.msgpack.decode(entry.value, type=_Relay)
            except msgspec.MsgspecError as error:
                log.warning("relay {} is ignored: {}", entry.key, error)
                continue
            if relay.address != self._own.address:
                found[relay.address] = relay.speed
        return found

    async def probe(self) -> None:
        """Ask the store itself while calls take a detour, until cancelled."""
        detour = self._store.detour
        told = False
        while True:
            await self._clock.sleep(PROBE_INTERVAL * random.uniform(0.7, 1.3))
            if detour.is_needed != told:
                told = detour.is_needed
                way = "through other daemons" if told else "directly"
                log.info("the store is called {}", way)
            if told:
                await self._store.probe()
