"""Counters of the traffic with other daemons."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field


@dataclass
class Traffic:
    """Bytes and messages exchanged with other daemons since this one started."""

    sent_bytes_by_type: Counter[str] = field(default_factory=Counter)
    received_bytes_by_type: Counter[str] = field(default_factory=Counter)
    sent_messages_by_type: Counter[str] = field(default_factory=Counter)
    received_messages_by_type: Counter[str] = field(default_factory=Counter)
    dropped_messages: int = 0
    rejected_frames: int = 0
    failed_handlers: int = 0

    @property
    def sent_bytes(self) -> int:
        """Return the bytes of all queued frames."""
        return self.sent_bytes_by_type.total()

    @property
    def received_bytes(self) -> int:
        """Return the bytes of all valid frames received."""
        return self.received_bytes_by_type.total()

    def record_sent(self, kind: type, size: int) -> None:
        """Count a sent message of ``size`` bytes."""
        self.sent_bytes_by_type[kind.__name__] += size
        self.sent_messages_by_type[kind.__name__] += 1

    def record_received(self, kind: type, size: int) -> None:
        """Count a received message of ``size`` bytes."""
        self.received_bytes_by_type[kind.__name__] += size
        self.received_messages_by_type[kind.__name__] += 1
