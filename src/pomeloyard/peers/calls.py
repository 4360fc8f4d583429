"""Calls to other daemons: a request message and the reply to it."""

from __future__ import annotations

import itertools
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any, TypeVar

import anyio

from .messages import Message
from .streams import PeerNetwork

T = TypeVar("T")


@dataclass(eq=False)
class _PendingCall:
    target: str
    ended: anyio.Event = field(default_factory=anyio.Event)
    reply: Any = None


class PeerCalls:
    """Matches replies to requests by their ``request_id``."""

    def __init__(self, network: PeerNetwork) -> None:
        self._network = network
        self._ids = itertools.count(1)
        self._pending_by_id: dict[int, _PendingCall] = {}
        network.on_disconnect.append(self._on_disconnect)

    def register_reply_type(self, reply_type: type) -> None:
        """Register ``reply_type``, so that its messages complete waiting calls."""
        self._network.on(reply_type, self._on_reply)

    async def call(
        self,
        incarnation: str,
        make_message: Callable[[int], Message],
        reply_type: type[T],
        timeout: timedelta,
    ) -> T | None:
        """Return the reply of a daemon, or None if there was none in time.

        None does not tell whether the request arrived.
        """
        request_id = next(self._ids)
        pending = _PendingCall(incarnation)
        self._pending_by_id[request_id] = pending
        try:
            if not self._network.send(incarnation, make_message(request_id)):
                return None
            with anyio.move_on_after(timeout.total_seconds()):
                await pending.ended.wait()
        finally:
            del self._pending_by_id[request_id]
        return pending.reply if isinstance(pending.reply, reply_type) else None

    def _on_disconnect(self, incarnation: str) -> None:
        """End the calls to a disconnected daemon, whose reply can no longer arrive."""
        for pending in self._pending_by_id.values():
            if pending.target == incarnation:
                pending.ended.set()

    def _on_reply(self, sender: str, message: Any) -> None:
        pending = self._pending_by_id.get(message.request_id)
        # Late replies and those of a daemon that was not called are dropped.
        if pending is not None and pending.target == sender:
            pending.reply = message
            pending.ended.set()
