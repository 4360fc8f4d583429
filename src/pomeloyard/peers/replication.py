"""Configuration, keys and partition table from other daemons.

A daemon that cannot use the store, or whose watch is late, learns from the
revisions in heartbeats that a peer knows more, and asks it.
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

GRACE = timedelta(seconds=1)
"""Time for the store's watch to bring a change before a peer is asked for it."""

ASK_INTERVAL = timedelta(seconds=2)
"""Time between two questions for the same record, as an answer may be lost."""

log = logbook.Logger("pomeloyard.peers.replication")


class Replication:
    """Exchanges the records that every daemon needs with the other daemons."""

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
        self._asked_at_by_kind: dict[type, timedelta] = {}
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
        """Make a key invalid here and at all reachable daemons immediately."""
        if key_id in self._state.withdrawn_key_ids:
            return
        self._state.withdrawn_key_ids.add(key_id)
        self._changed()
        # Passed on by each receiver, as not all daemons may be connected.
        self._network.broadcast(KeyWithdrawn(key_id))

    def unstored_withdrawals(self) -> tuple[str, ...]:
        """Return withdrawn keys that the known key ring still calls valid."""
        keys = self._state.keys.keys_by_id
        return tuple(
            key_id
            for key_id in sorted(self._state.withdrawn_key_ids)
            if key_id not in keys or not keys[key_id].withdrawn
        )

    def _on_connect(self, incarnation: str) -> None:
        for key_id in self.unstored_withdrawals():
            self._network.send(incarnation, KeyWithdrawn(key_id))

    def _on_heartbeat(self, sender: str, beat: Heartbeat) -> None:
        state = self._state
        for request, known, offered in (
            (ConfigRequest, state.config.revision, beat.config_revision),
            (KeysRequest, state.keys.version, beat.keys_version),
            (PartitionsRequest, state.partitions_revision, beat.partitions_revision),
        ):
            if offered <= known:
                continue
            if self._should_ask(request):
                self._network.send(sender, request(known))

    def _should_ask(self, kind: type) -> bool:
        """Tell whether to ask for a record now that a peer has a newer one."""
        now = self._clock.monotonic()
        asked = self._asked_at_by_kind.get(kind)
        if asked is not None and now - asked < ASK_INTERVAL:
            return False
        since = self._behind_since_by_kind.get(kind)
        if self._state.store_reachable:
            if since is None or now - since > 2 * ASK_INTERVAL:
                self._behind_since_by_kind[kind] = now
                return False
            if now - since < GRACE:
                return False
        self._behind_since_by_kind.pop(kind, None)
        self._asked_at_by_kind[kind] = now
        return True

    def _on_config_request(self, sender: str, request: ConfigRequest) -> None:
        state = self._state
        if state.config.revision > request.newer_than:
            reply = ConfigReply(state.config.revision, state.config_content)
            self._network.send(sender, reply)

    def _on_config_reply(self, sender: str, reply: ConfigReply) -> None:
        config = _decode(reply, FleetConfig)
        if config is not None and config.revision == reply.revision:
            self._adopted(adopt_config(self._state, config), sender, reply)

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
        ring = _decode(reply, KeyRing)
        if ring is not None and ring.version == reply.version:
            self._adopted(adopt_keys(self._state, ring), sender, reply)

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
            self._adopted(adopted, sender, reply)

    def _adopted(self, adopted: bool, sender: str, reply: Message) -> None:
        if adopted:
            log.info("{} adopted from {}", type(reply).__name__, sender)
            self._changed()


def _decode(reply: Any, kind: type[Any]) -> Any:
    """Return the content of a reply, or None if it is damaged."""
    try:
        return msgspec.json.decode(reply.content, type=kind)
    except (msgspec.MsgspecError, RecursionError) as error:
        log.error("{} ignored: {}", type(reply).__name__, error)
        return None
