"""Replication of configuration, keys and partition table between daemons.

A daemon that cannot use the store, or whose watch is late, sees from the
revisions in heartbeats that a peer has newer records, and requests them.
"""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from typing import Any

import logbook
import msgspec

from ..allocation.partitions import PartitionTable
from ..clock import Clock
from ..config.model import FleetConfig
from ..fleet_state import FleetState
from ..follower import adopt_config, adopt_keys, adopt_partitions
from ..keys import KeyRing
from .messages import (
    ConfigReply,
    ConfigRequest,
    Heartbeat,
    KeysReply,
    KeysRequest,
    KeyWithdrawn,
    Message,
    PartitionsReply,
    PartitionsRequest,
)
from .streams import PeerNetwork

WATCH_GRACE = timedelta(seconds=1)
"""Time for the store's watch to deliver a change before a peer is asked for it."""

REQUEST_INTERVAL = timedelta(seconds=2)
"""Time after which a record is requested again, as a reply may be lost."""

log = logbook.Logger("pomeloyard.peers.replication")


class Replication:
    """Exchanges the records that all daemons need with the other daemons."""

    def __init__(
        self,
        clock: Clock,
        state: FleetState,
        network: PeerNetwork,
        changed: Callable[[], None],
    ) -> None:
        self._clock = clock
        self._state = state
        self._network = network
        self._changed = changed
        self._behind_since_by_kind: dict[type, timedelta] = {}
        self._requested_at_by_kind: dict[type, timedelta] = {}
        network.on(Heartbeat, self._on_heartbeat)
        network.on(ConfigRequest, self._on_config_request)
        network.on(ConfigReply, self._on_config_reply)
        network.on(KeysRequest, self._on_keys_request)
        network.on(KeysReply, self._on_keys_reply)
        network.on(KeyWithdrawn, self._on_key_withdrawn)
        network.on(PartitionsRequest, self._on_partitions_request)
        network.on(PartitionsReply, self._on_partitions_reply)
        network.on_connect.append(self._on_connect)

    def withdraw_key(self, key_id: str) -> None:
        """Invalidate a key at this daemon and all reachable daemons immediately."""
        if key_id in self._state.withdrawn_key_ids:
            return
        self._state.withdrawn_key_ids.add(key_id)
        self._changed()
        # Each receiver broadcasts it again, as not all daemons may be connected.
        self._network.broadcast(KeyWithdrawn(key_id))

    def unstored_withdrawals(self) -> tuple[str, ...]:
        """Return withdrawn keys that are still valid in the current key ring."""
        keys = self._state.keys.keys_by_id
        return tuple(
            key_id
            for key_id in sorted(self._state.withdrawn_key_ids)
            if key_id not in keys or not keys[key_id].withdrawn
        )

    def _on_connect(self, incarnation: str) -> None:
        for key_id in self.unstored_withdrawals():
            self._network.send(incarnation, KeyWithdrawn(key_id))

    def _on_heartbeat(self, sender: str, heartbeat: Heartbeat) -> None:
        state = self._state
        for request, own, offered in (
            (ConfigRequest, state.config.revision, heartbeat.config_revision),
            (KeysRequest, state.keys.version, heartbeat.keys_version),
            (
                PartitionsRequest,
                state.partitions_revision,
                heartbeat.partitions_revision,
            ),
        ):
            if offered <= own:
                continue
            if self._should_request(request):
                self._network.send(sender, request(own))

    def _should_request(self, kind: type) -> bool:
        """Tell whether to request a record of which a peer has a newer revision."""
        now = self._clock.monotonic()
        requested_at = self._requested_at_by_kind.get(kind)
        if requested_at is not None and now - requested_at < REQUEST_INTERVAL:
            return False
        since = self._behind_since_by_kind.get(kind)
        if self._state.store_reachable:
            if since is None or now - since > 2 * REQUEST_INTERVAL:
                self._behind_since_by_kind[kind] = now
                return False
            if now - since < WATCH_GRACE:
                return False
        self._behind_since_by_kind.pop(kind, None)
        self._requested_at_by_kind[kind] = now
        return True

    def _on_config_request(self, sender: str, request: ConfigRequest) -> None:
        state = self._state
        if state.config.revision > request.newer_than:
            reply = ConfigReply(state.config.revision, state.config_content)
            self._network.send(sender, reply)

    def _on_config_reply(self, sender: str, reply: ConfigReply) -> None:
        config = _decode(reply, FleetConfig)
        if config is not None and config.revision == reply.revision:
            self._finish_adoption(adopt_config(self._state, config), sender, reply)

    def _on_keys_request(self, sender: str, request: KeysRequest) -> None:
        state = self._state
        if state.keys.version > request.newer_than:
            content = msgspec.json.encode(state.keys)
            withdrawn = self.unstored_withdrawals()
            reply = KeysReply(state.keys.version, content, withdrawn)
            self._network.send(sender, reply)

    def _on_keys_reply(self, sender: str, reply: KeysReply) -> None:
        for key_id in reply.withdrawn:
            self.withdraw_key(key_id)
        key_ring = _decode(reply, KeyRing)
        if key_ring is not None and key_ring.version == reply.version:
            self._finish_adoption(adopt_keys(self._state, key_ring), sender, reply)

    def _on_key_withdrawn(self, sender: str, message: KeyWithdrawn) -> None:
        self.withdraw_key(message.key_id)

    def _on_partitions_request(self, sender: str, request: PartitionsRequest) -> None:
        state = self._state
        if state.partitions is None or state.partitions_revision <= request.newer_than:
            return
        content = msgspec.json.encode(state.partitions)
        reply = PartitionsReply(state.partitions_revision, content)
        self._network.send(sender, reply)

    def _on_partitions_reply(self, sender: str, reply: PartitionsReply) -> None:
        table = _decode(reply, PartitionTable)
        if table is not None:
            adopted = adopt_partitions(self._state, table, reply.revision)
            self._finish_adoption(adopted, sender, reply)

    def _finish_adoption(self, adopted: bool, sender: str, reply: Message) -> None:
        if adopted:
            log.info("{} adopted from {}", type(reply).__name__, sender)
            self._changed()


def _decode(reply: Any, kind: type[Any]) -> Any:
    """Return the decoded content of a reply, or None if it is invalid."""
    try:
        return msgspec.json.decode(reply.content, type=kind)
    except (msgspec.MsgspecError, RecursionError) as error:
        log.error("invalid {} ignored: {}", type(reply).__name__, error)
        return None
