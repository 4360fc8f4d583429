"""Relays store calls for daemons whose own calls the platform's store refuses."""

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
from .http import Response
from .store_client import RELAY_TIME_HEADER, PlatformStore

STORE_PATH_PREFIX = "/kv-"
"""Only store calls are relayed."""
MAX_RELAYED_BODY_BYTES = 2 * 1024 * 1024
"""Room for a transaction of 32 entries; the largest value is 1.4 MB in base64."""
MAX_RELAY_TIME = timedelta(seconds=4)
"""A poll waits 1.2 s, and a slow response takes as long again. A call received just
before SIGTERM is answered within the listeners' 1.5 s delay and 3 s shutdown."""
PEER_SCAN_INTERVAL = timedelta(seconds=20)
"""Between scans for other daemons; VMs are replaced a few times a day."""
SECOND_SCAN_DELAY = timedelta(seconds=3)
"""Delay of the second scan: daemons that start together have registered by then."""
PROBE_INTERVAL = timedelta(seconds=0.25)
"""Between probes of the direct route while calls go through peers."""

log = logbook.Logger("pomeloyard.platform.store_relay")


class _RelayEntry(msgspec.Struct, frozen=True, array_like=True):
    """A relay's entry in the store."""

    address: str
    speed: float
    """Core speed of its VM; network links differ as much as cores do."""
    memory_mb: int = 0
    """Memory limit of the daemon, 0 if it is not known."""


class StoreRelay:
    """ASGI application that other daemons call in place of the store."""

    def __init__(self, store: PlatformStore) -> None:
        self._store = store
        self.closing = False
        """Whether the daemon is shutting down; callers then choose another relay."""

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Relay one call, or refuse it if the store is unreachable from this daemon.

        503 means that the call had no effect, 504 that its outcome is unknown.
        """
        if scope["type"] != "http":
            return
        response = await self._relay_call(scope, receive)
        length = str(len(response.body)).encode()
        await send(
            {
                "type": "http.response.start",
                "status": response.status,
                "headers": [(b"content-length", length)],
            }
        )
        await send({"type": "http.response.body", "body": response.body})

    async def _relay_call(self, scope: Scope, receive: Receive) -> Response:
        if not scope["path"].startswith(STORE_PATH_PREFIX):
            return Response(HTTPStatus.NOT_FOUND, b"")
        if self.closing:
            return Response(HTTPStatus.SERVICE_UNAVAILABLE, b"")
        headers = dict(scope["headers"])
        try:
            limit = timedelta(milliseconds=int(headers[RELAY_TIME_HEADER.encode()]))
            body = await read_body(receive, MAX_RELAYED_BODY_BYTES)
        except (KeyError, ValueError, OverflowError, RefusedError) as error:
            log.info("invalid relay request: {!r}", error)
            return Response(HTTPStatus.BAD_REQUEST, b"")
        target = scope["path"]
        if scope["query_string"]:
            target += "?" + scope["query_string"].decode("latin-1")
        try:
            return await self._store.relay(
                scope["method"], target, body, min(limit, MAX_RELAY_TIME)
            )
        except CallNotSentError:
            return Response(HTTPStatus.SERVICE_UNAVAILABLE, b"")
        except CallUnansweredError:
            return Response(HTTPStatus.GATEWAY_TIMEOUT, b"")


class RelayPeers:
    """Registers this daemon's relay and tracks the relays of other daemons."""

    def __init__(
        self,
        clock: Clock,
        store: PlatformStore,
        vm: str,
        address: str,
        speed: float,
        memory_mb: int = 0,
    ) -> None:
        self._clock = clock
        self._store = store
        self._key = layout.RELAYS + vm
        self._own_entry = _RelayEntry(address, speed, memory_mb)
        self.smallest_memory_mb = memory_mb
        """Least memory of the known daemons, each of which may have to place all jobs;
        0 if it is not known of any."""

    async def run(self) -> None:
        """Refresh the list of peers until cancelled."""
        registered = False
        delay = SECOND_SCAN_DELAY
        while True:
            try:
                if not registered:
                    put = Put(self._key, msgspec.msgpack.encode(self._own_entry))
                    registered = (
                        await self._store.commit(Transaction((), (put,)))
                    ).succeeded
                page = await scan_all(self._store, layout.RELAYS)
            except StoreError as error:
                log.info("cannot refresh the list of relays: {}", error)
            else:
                self._store.relay_selector.set_peers(self._decode_others(page.entries))
            await self._clock.sleep(delay * random.uniform(0.7, 1.3))
            delay = PEER_SCAN_INTERVAL

    def _decode_others(self, entries: Iterable[Entry]) -> dict[str, float]:
        """Return the core speeds of the other relays by address."""
        speed_by_address = {}
        memory_mb = [self._own_entry.memory_mb]
        for entry in entries:
            try:
                relay = msgspec.msgpack.decode(entry.value, type=_RelayEntry)
            except msgspec.MsgspecError as error:
                log.warning("ignoring undecodable relay entry {}: {}", entry.key, error)
                continue
            if relay.address != self._own_entry.address:
                speed_by_address[relay.address] = relay.speed
                memory_mb.append(relay.memory_mb)
        self.smallest_memory_mb = min(filter(None, memory_mb), default=0)
        return speed_by_address

    async def probe(self) -> None:
        """Probe the store directly while calls go through peers, until cancelled."""
        selector = self._store.relay_selector
        through_peers = False
        while True:
            await self._clock.sleep(PROBE_INTERVAL * random.uniform(0.7, 1.3))
            if selector.uses_relay != through_peers:
                through_peers = selector.uses_relay
                route = "through other daemons" if through_peers else "directly"
                log.info("the store is called {}", route)
            if through_peers:
                await self._store.probe()
